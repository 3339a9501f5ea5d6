//! Rules over all edge proxies together, where they act as a fleet: by traffic alone, theirs with each other included.
//!
//! What is promised is promised of writes that were acknowledged; whether they were is seen on the links between members. A launch
//! or an answer that went out without is counted, and what comes of it breaks no rule here. Nor does what comes of a write that was
//! forgotten: where of the owner and those that acknowledged it fewer know it still than acknowledgements are awaited.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber};
use lotussaddle_trunk::{
    AuditMessage, DutyAction, Frame, Launch, PeerMessage, Progress, Replaced, ReplicaUpdate,
};
use serde::{Deserialize, Serialize};

use crate::record::{Brief, Line, Way, What};
use crate::rules::{Break, Rule};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetBrief {
    /// Acknowledgements that a launch and an answer wait for.
    pub before_launch: usize,
    pub before_answer: usize,
    /// A launch without them is not sent.
    pub strictly: bool,
    /// Members keep copies on disk.
    pub stores: bool,
    /// A line whose owner is gone is somebody's, or free, after so many seconds.
    pub line_within_s: f64,
    /// How many members there are, `edge-0` and so on; zero in records of before: no more than ten.
    #[serde(default)]
    pub members: usize,
}

impl FleetBrief {
    /// The edge proxy of each place in the list of members, which is in the order of names: `edge-10` comes before `edge-2`.
    fn edges_by_place(&self) -> Vec<usize> {
        let mut edges: Vec<usize> = (0..self.members).collect();
        edges.sort_by_key(|edge| format!("edge-{edge}"));
        edges
    }
}

/// What came of dialogues that were dialled again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCounts {
    pub repeats: u64,
    /// Of those: answered as before, told that it stands, told that it is over.
    pub same: u64,
    pub stood: u64,
    pub concluded: u64,
    /// Not sure, and not taken; the rest went on as new ones.
    pub unsure: u64,
    /// Launches and answers that went out without the acknowledgements.
    pub launched_bare: u64,
    pub answered_bare: u64,
    /// Dialogues adopted at core servers; lines released there without their callers' word.
    pub adopted: u64,
    /// Lines whose owner was gone, and the longest time one was nobody's, in milliseconds.
    pub orphans: u64,
    pub longest_orphan_ms: u64,
    /// Acts of duties that core servers did, and those that they refused.
    #[serde(default)]
    pub acts: u64,
    #[serde(default)]
    pub fenced: u64,
    /// Bytes of frames between members.
    pub peer_bytes: u64,
    pub peer_frames: u64,
}

/// An edge proxy, and which of its processes.
type Seat = (usize, u32);

#[derive(Clone, Copy)]
struct Mark {
    line: u64,
    at: Duration,
}

#[derive(Clone, Debug, PartialEq)]
enum Said {
    Stands(String),
    Refused,
    Failed,
}

/// A launch that is out.
struct Out {
    seat: Seat,
    launch: LaunchNumber,
    link: u64,
    mark: Mark,
    /// It ends by itself then.
    until: Duration,
    owned: bool,
    bare: bool,
}

#[derive(Default)]
struct Dialogue {
    out: Vec<Out>,
    /// When a launch ended in doubt last, by which edge proxy, and whether it had been acknowledged.
    doubt: Option<(Seat, Mark, bool)>,
    answer: Option<(Seat, Mark, Said, bool)>,
    /// Edge proxies at which it was dialled again and has no answer there.
    repeated: BTreeSet<usize>,
    /// It went on without acknowledgements somewhere: nothing more is promised of it.
    bare: bool,
}

/// A dialogue that stands at a core server.
struct Held {
    /// Its core server knows whose it is, so that it outlasts its link.
    owned: bool,
    edge: usize,
    link: u64,
    /// Since when it is nobody's.
    orphan: Option<Mark>,
}

/// What an edge proxy has written to one peer, on one link.
#[derive(Default)]
struct Stream {
    /// Writes of launches and answers that are not acknowledged, by number.
    sent: BTreeMap<u64, Vec<(DialogueId, Wrote)>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Wrote {
    Launch(u32),
    Answer,
}

pub struct Fleet {
    brief: Brief,
    fleet: FleetBrief,
    edges_by_place: Vec<usize>,
    now: Mark,
    dialogues: HashMap<DialogueId, Dialogue>,
    held: HashMap<(String, DialogueId), Held>,
    links: HashMap<(usize, u64), String>,
    streams: HashMap<(usize, String), Stream>,
    /// Members that have acknowledged a write, by edge proxy, dialogue and what was written.
    kept: HashMap<(usize, DialogueId, Wrote), HashSet<u64>>,
    /// Edge proxies that know a write, its owner among them, by the owner's place.
    knows: HashMap<DialogueId, HashMap<(usize, Wrote), HashSet<usize>>>,
    lives: HashMap<usize, u32>,
    /// Edge proxies whose disks lack something.
    spoilt: HashSet<usize>,
    down: HashSet<usize>,
    /// What comes to one that is stalled it has not read: it may be killed, or its link reset, before it does.
    stalled: HashSet<usize>,
    troubled: Duration,
    /// Acts of duties on their way, by edge proxy, link and dialogue.
    acts: HashMap<(usize, u64, DialogueId), DutyAction>,
    /// The highest that a core server has done of a duty, and when it did the first under that number.
    done: HashMap<(String, u16), (DutyAction, Mark)>,
    pub counts: FleetCounts,
    breaks: Vec<Break>,
}

impl Fleet {
    pub fn new(brief: &Brief) -> Option<Self> {
        let fleet = brief.fleet.clone()?;
        Some(Self {
            brief: brief.clone(),
            edges_by_place: fleet.edges_by_place(),
            fleet,
            now: Mark { line: 1, at: Duration::ZERO },
            dialogues: HashMap::new(),
            held: HashMap::new(),
            links: HashMap::new(),
            streams: HashMap::new(),
            kept: HashMap::new(),
            knows: HashMap::new(),
            lives: HashMap::new(),
            spoilt: HashSet::new(),
            down: HashSet::new(),
            stalled: HashSet::new(),
            troubled: Duration::ZERO,
            acts: HashMap::new(),
            done: HashMap::new(),
            counts: FleetCounts::default(),
            breaks: Vec::new(),
        })
    }

    pub fn line(&mut self, number: u64, line: &Line) {
        self.now = Mark { line: number, at: line.time() };
        match &line.what {
            // Last words of one that was killed reach nobody.
            What::Passed { edge, link, way, message } if self.links.contains_key(&(*edge, *link)) => {
                self.passed(*edge, *link, *way, &message.frame);
            }
            What::Up { edge, link, far } => drop(self.links.insert((*edge, *link), far.clone())),
            What::Gone { edge, link } => self.gone(*edge, *link),
            What::Killed { edge } => {
                let gone: Vec<u64> =
                    self.links.keys().filter(|(of, _)| of == edge).map(|(_, l)| *l).collect();
                gone.into_iter().for_each(|link| self.gone(*edge, link));
                self.acts.retain(|(of, ..), _| of != edge);
                self.kept.retain(|(of, ..), _| of != edge);
                self.streams.retain(|(of, _), _| of != edge);
                *self.lives.entry(*edge).or_default() += 1;
                self.down.insert(*edge);
                self.stalled.remove(edge);
                if !self.fleet.stores || self.spoilt.remove(edge) {
                    self.forgets(*edge);
                }
                self.troubled = self.now.at;
            }
            What::Started { edge } => drop(self.down.remove(edge)),
            What::DiskSpoilt { edge } if self.down.contains(edge) => self.forgets(*edge),
            What::DiskSpoilt { edge } => drop(self.spoilt.insert(*edge)),
            What::Stalled { edge } => {
                self.stalled.insert(*edge);
                self.troubled = self.now.at;
            }
            What::Resumed { edge } => {
                self.stalled.remove(edge);
                self.troubled = self.now.at;
            }
            What::CoreStarted { server, .. } | What::CoreGone { server } | What::Fell { server } => {
                self.held.retain(|(at, _), _| at != server);
            }
            What::Note { text } if text.starts_with("begins:") || text.starts_with("ends:") => {
                self.troubled = self.now.at;
            }
            _ => {}
        }
    }

    fn seat(&self, edge: usize) -> Seat {
        (edge, self.lives.get(&edge).copied().unwrap_or_default())
    }

    /// All that this edge proxy knew is gone.
    fn forgets(&mut self, edge: usize) {
        let fleet = &self.fleet;
        for (id, writes) in &mut self.knows {
            for ((_, wrote), known) in writes {
                let needs = match wrote {
                    Wrote::Launch(_) => fleet.before_launch,
                    Wrote::Answer => fleet.before_answer,
                };
                if known.remove(&edge) && known.len() < needs.max(1) {
                    self.dialogues.entry(id.clone()).or_default().bare = true;
                }
            }
        }
    }

    /// An edge proxy has been sent copies, or sends its own.
    fn learns(&mut self, edge: usize, copies: &[ReplicaUpdate]) {
        for copy in copies {
            let known = self.knows.entry(copy.dialogue.clone()).or_default();
            for (place, wrote) in wrote(copy) {
                let owner = self.edges_by_place.get(place).copied().unwrap_or(place);
                known.entry((place, wrote)).or_default().extend([edge, owner]);
            }
        }
    }

    fn broken(
        &mut self, rule: Rule, edge: usize, id: &DialogueId, server: &str, what: String, marks: &[Mark],
    ) {
        self.breaks.push(Break {
            rule,
            edge,
            dialogue: id.0.to_string(),
            server: server.into(),
            what,
            lines: marks.iter().map(|mark| mark.line).collect(),
            times: marks.iter().map(|mark| mark.at.as_secs_f64()).collect(),
        });
    }

    fn acknowledged(&self, edge: usize, id: &DialogueId, wrote: Wrote, needs: usize) -> bool {
        needs == 0 || self.kept.get(&(edge, id.clone(), wrote)).is_some_and(|by| by.len() >= needs)
    }

    fn passed(&mut self, edge: usize, link: u64, way: Way, frame: &Frame) {
        let now = self.now;
        match (way, frame) {
            (_, Frame::PeerMessage(peer)) => self.peer(edge, link, way, peer),
            (Way::In, Frame::Dial(dial)) if dial.is_repeat => {
                self.counts.repeats += 1;
                let known = self.dialogues.entry(dial.dialogue.clone()).or_default();
                known.repeated.insert(edge);
            }
            (Way::Out, Frame::Declined { dialogue, why, .. }) => {
                let repeated = self.dialogues.get_mut(dialogue).is_some_and(|d| d.repeated.remove(&edge));
                match why {
                    lotussaddle_trunk::DeclineReason::Unsure => self.counts.unsure += u64::from(repeated),
                    lotussaddle_trunk::DeclineReason::Concluded => {
                        self.counts.concluded += u64::from(repeated)
                    }
                    _ => {}
                }
            }
            (Way::Out, Frame::Stands { dialogue, server }) => {
                self.answered(edge, dialogue, Said::Stands(server.0.to_string()));
            }
            (Way::Out, Frame::Refused { dialogue, .. }) => self.answered(edge, dialogue, Said::Refused),
            (Way::Out, Frame::Failed { dialogue }) => self.answered(edge, dialogue, Said::Failed),
            (Way::Out, Frame::Launch(launch)) => self.launched(edge, link, launch),
            (Way::Out, Frame::Cancel { dialogue, launch }) => self.over(edge, dialogue, *launch, true),
            (Way::Out, Frame::Release { dialogue, .. }) => {
                if let Some(server) = self.links.get(&(edge, link)) {
                    self.free(&server.clone(), dialogue);
                }
            }
            (Way::In, Frame::Stood { dialogue, launch, .. }) => {
                let server = self.links[&(edge, link)].clone();
                let owned = self.out_of(edge, dialogue, *launch).map(|out| out.owned);
                self.over(edge, dialogue, *launch, false);
                // An answer that crossed a cancel is released at once, and that is seen.
                if let Some(owned) = owned {
                    let held = Held { owned, edge, link, orphan: None };
                    self.held.insert((server, dialogue.clone()), held);
                }
            }
            (Way::In, Frame::TurnedBack { dialogue, launch, .. }) => {
                self.over(edge, dialogue, *launch, false)
            }
            (Way::In, Frame::BrokenOff { dialogue, launch, .. }) => self.over(edge, dialogue, *launch, true),
            (Way::In, Frame::Ended { dialogue, launch, .. }) => {
                self.over(edge, dialogue, *launch, true);
                let server = self.links[&(edge, link)].clone();
                self.free(&server, dialogue);
            }
            (Way::Out, Frame::AuditMessage(AuditMessage::Adopt { dialogue, action: Some(act), .. })) => {
                self.acts.insert((edge, link, dialogue.clone()), *act);
            }
            (Way::In, Frame::AuditMessage(AuditMessage::Fenced { dialogue, .. })) => {
                self.acts.remove(&(edge, link, dialogue.clone()));
                self.counts.fenced += 1;
            }
            (Way::In, Frame::AuditMessage(AuditMessage::Adopted { dialogue, launch, .. })) => {
                let server = self.links[&(edge, link)].clone();
                if let Some(act) = self.acts.remove(&(edge, link, dialogue.clone())) {
                    self.acted(edge, dialogue, &server, act);
                }
                if launch.is_some() {
                    self.counts.adopted += 1;
                    if let Some(held) = self.held.get_mut(&(server, dialogue.clone())) {
                        if let Some(orphan) = held.orphan {
                            let nobody = (now.at - orphan.at).as_millis() as u64;
                            self.counts.longest_orphan_ms = self.counts.longest_orphan_ms.max(nobody);
                        }
                        (held.edge, held.link, held.orphan, held.owned) = (edge, link, None, true);
                    }
                } else {
                    self.free(&server, dialogue);
                }
            }
            // Its core server has ended what was out there for a former owner.
            (Way::In, Frame::AuditMessage(AuditMessage::Moved { dialogue, launch, .. })) => {
                self.over(edge, dialogue, *launch, true);
            }
            _ => {}
        }
    }

    /// A core server has done an act of a duty. What it did at once before or after on another link may pass here the other way round.
    fn acted(&mut self, edge: usize, id: &DialogueId, server: &str, act: DutyAction) {
        let now = self.now;
        self.counts.acts += 1;
        let slack = Duration::from_secs_f64(self.brief.slack_s);
        let (highest, mark) = *self.done.entry((server.into(), act.duty)).or_insert((act, now));
        let whose = |act: &DutyAction| (act.member, act.incarnation);
        let what = if act.fencing_token == highest.fencing_token && whose(&act) != whose(&highest) {
            format!(
                "number {} of duty {} is edge-{}'s and edge-{}'s",
                act.fencing_token, act.duty, highest.member, act.member
            )
        } else if act.fencing_token < highest.fencing_token && now.at > mark.at + slack {
            format!(
                "number {} of duty {} done after number {}",
                act.fencing_token, act.duty, highest.fencing_token
            )
        } else {
            if act.fencing_token > highest.fencing_token {
                self.done.insert((server.into(), act.duty), (act, now));
            }
            return;
        };
        self.broken(Rule::FleetDuty, edge, id, server, what, &[mark, now]);
    }

    /// No line of it is in use there any more.
    fn free(&mut self, server: &str, id: &DialogueId) {
        if let Some(held) = self.held.remove(&(server.to_string(), id.clone()))
            && let Some(orphan) = held.orphan
        {
            let nobody = (self.now.at - orphan.at).as_millis() as u64;
            self.counts.longest_orphan_ms = self.counts.longest_orphan_ms.max(nobody);
        }
    }

    fn out_of(&self, edge: usize, id: &DialogueId, launch: LaunchNumber) -> Option<&Out> {
        self.dialogues.get(id)?.out.iter().find(|out| (out.seat.0, out.launch) == (edge, launch))
    }

    fn over(&mut self, edge: usize, id: &DialogueId, launch: LaunchNumber, doubt: bool) {
        let now = self.now;
        let Some(known) = self.dialogues.get_mut(id) else { return };
        let Some(place) = known.out.iter().position(|out| (out.seat.0, out.launch) == (edge, launch)) else {
            return;
        };
        let out = known.out.remove(place);
        if doubt {
            known.doubt = Some((out.seat, now, out.bare));
        }
    }

    fn gone(&mut self, edge: usize, link: u64) {
        let now = self.now;
        let Some(far) = self.links.remove(&(edge, link)) else { return };
        for known in self.dialogues.values_mut() {
            if let Some(place) = known.out.iter().position(|out| (out.seat.0, out.link) == (edge, link)) {
                let out = known.out.remove(place);
                known.doubt = Some((out.seat, now, out.bare));
            }
        }
        self.held.retain(|(server, _), held| {
            held.owned || (held.edge, held.link) != (edge, link) || *server != far
        });
        for ((server, _), held) in &mut self.held {
            if (held.edge, held.link) == (edge, link) && *server == far && held.orphan.is_none() {
                held.orphan = Some(now);
                self.counts.orphans += 1;
            }
        }
    }

    fn launched(&mut self, edge: usize, link: u64, launch: &Launch) {
        let (now, id, seat) = (self.now, &launch.dialogue, self.seat(edge));
        let wrote = Wrote::Launch(launch.launch.0);
        let bare = !self.acknowledged(edge, id, wrote, self.fleet.before_launch);
        let release = Duration::from_secs_f64((self.brief.release_s - self.brief.slack_s).max(0.0));
        let slack = Duration::from_secs_f64(self.brief.slack_s);
        self.counts.launched_bare += u64::from(bare);
        let known = self.dialogues.entry(id.clone()).or_default();
        // Where nothing is awaited nothing is promised: only its own edge proxy is sure of it.
        known.bare |= bare || self.fleet.before_launch == 0;
        known.out.retain(|out| out.until + release > now.at || out.seat == seat);
        let other = known.out.iter().find(|out| out.seat != seat);
        let mut found = Vec::new();
        if let Some(other) = other {
            let what = if now.at + slack < other.until {
                (Rule::FleetLaunch, format!("launched while edge-{} has a launch of it out", other.seat.0))
            } else {
                (
                    Rule::FleetRelease,
                    format!("launched within the release after edge-{}'s time-out", other.seat.0),
                )
            };
            if !other.bare && !known.bare {
                found.push((what.0, what.1, other.mark));
            }
        }
        if let Some((by, mark, was_bare)) = known.doubt.filter(|(by, ..)| *by != seat)
            && now.at < mark.at + release
            && !was_bare
            && !known.bare
        {
            let since = (now.at - mark.at).as_secs_f64();
            found.push((
                Rule::FleetRelease,
                format!("launched {since:.3} s after edge-{}'s in doubt", by.0),
                mark,
            ));
        }
        if let Some((by, mark, said, was_bare)) = &known.answer
            && *by != seat
            && !was_bare
            && !known.bare
        {
            found.push((
                Rule::FleetAnswer,
                format!("launched though edge-{} had answered {said:?}", by.0),
                *mark,
            ));
        }
        let until = now.at + launch.time_left;
        let owned = launch.owner.is_some();
        known.out.push(Out { seat, launch: launch.launch, link, mark: now, until, owned, bare });
        if bare && self.fleet.strictly {
            found.push((Rule::FleetLaunch, "launched without the acknowledgements asked for".into(), now));
        }
        let far = self.links.get(&(edge, link)).cloned().unwrap_or_default();
        // There it stands for no former owner any more.
        if launch.owner.is_some() {
            self.free(&far, id);
        }
        for (rule, what, mark) in found {
            self.broken(rule, edge, id, &far, what, &[mark, now]);
        }
    }

    fn answered(&mut self, edge: usize, id: &DialogueId, said: Said) {
        let (now, seat) = (self.now, self.seat(edge));
        let acknowledged = self.acknowledged(edge, id, Wrote::Answer, self.fleet.before_answer);
        let known = self.dialogues.entry(id.clone()).or_default();
        let repeated = known.repeated.remove(&edge);
        match known.answer.clone() {
            None => {
                self.counts.answered_bare += u64::from(!acknowledged);
                known.bare |= !acknowledged || self.fleet.before_answer == 0;
                known.answer = Some((seat, now, said, !acknowledged));
            }
            Some((by, mark, before, bare)) => {
                if repeated && before == said {
                    match said {
                        Said::Stands(_) => self.counts.stood += 1,
                        _ => self.counts.same += 1,
                    }
                } else if by != seat && !bare && !known.bare {
                    let what = if before == said {
                        format!("answered again as edge-{} had, undialled", by.0)
                    } else {
                        format!("answered {said:?}, and edge-{} had answered {before:?}", by.0)
                    };
                    self.broken(Rule::FleetAnswer, edge, id, "", what, &[mark, now]);
                }
            }
        }
    }

    // What members say to each other

    fn peer(&mut self, edge: usize, link: u64, way: Way, peer: &PeerMessage) {
        if way == Way::Out {
            self.counts.peer_frames += 1;
            let mut bytes = Vec::new();
            lotussaddle_trunk::Message::from(Frame::PeerMessage(peer.clone())).encode(&mut bytes);
            self.counts.peer_bytes += bytes.len() as u64;
        }
        if let PeerMessage::SnapshotChunk { replicas: copies, .. }
        | PeerMessage::Replicas { replicas: copies, .. } = peer
            && !self.stalled.contains(&edge)
        {
            self.learns(edge, copies);
        }
        match (way, peer) {
            // What goes outside the stream, a snapshot's pieces among it, is had before whatever is acknowledged later on that link.
            (
                Way::Out,
                PeerMessage::SnapshotChunk { replicas: copies, .. }
                | PeerMessage::Replicas { first: 0, replicas: copies, .. },
            ) => {
                let far = self.links.get(&(edge, link)).cloned().unwrap_or_default();
                let outside = copies
                    .iter()
                    .flat_map(|copy| wrote(copy).into_iter().map(|(_, w)| (copy.dialogue.clone(), w)));
                self.streams.entry((edge, far)).or_default().sent.entry(0).or_default().extend(outside);
            }
            (Way::Out, PeerMessage::Replicas { first, replicas: copies, .. }) => {
                let far = self.links.get(&(edge, link)).cloned().unwrap_or_default();
                let stream = self.streams.entry((edge, far)).or_default();
                for (place, copy) in copies.iter().enumerate() {
                    let wrote = wrote(copy);
                    if !wrote.is_empty() {
                        let wrote = wrote.into_iter().map(|(_, wrote)| (copy.dialogue.clone(), wrote));
                        stream.sent.insert(first + place as u64, wrote.collect());
                    }
                }
            }
            (Way::In, PeerMessage::Acknowledge { up_to, replaced, .. }) => {
                self.kept_by(edge, link, *up_to, replaced)
            }
            _ => {}
        }
    }

    fn kept_by(&mut self, edge: usize, link: u64, up_to: u64, replaced: &[Replaced]) {
        let refused: HashSet<&DialogueId> = replaced.iter().map(|r| &r.dialogue).collect();
        let far = self.links.get(&(edge, link)).cloned().unwrap_or_default();
        let peer = member_of(&far);
        let Some(stream) = self.streams.get_mut(&(edge, far)).filter(|_| up_to > 0) else { return };
        let left = stream.sent.split_off(&(up_to + 1));
        for (_, all) in std::mem::replace(&mut stream.sent, left) {
            for (id, wrote) in all.into_iter().filter(|(id, _)| !refused.contains(id)) {
                self.kept.entry((edge, id, wrote)).or_default().insert(peer);
            }
        }
    }

    /// A line is left that is nobody's, past its time: judged at the end, when troubles have been over for long enough.
    pub fn finish(mut self, last: Duration) -> (Vec<Break>, FleetCounts) {
        let within = Duration::from_secs_f64(self.fleet.line_within_s);
        self.now.at = last;
        let now = self.now;
        let mut left: Vec<(String, DialogueId, usize, Mark)> = (self.held.iter())
            .filter_map(|((server, id), held)| Some((server.clone(), id.clone(), held.edge, held.orphan?)))
            .filter(|(.., mark)| mark.at.max(self.troubled) + within <= last)
            .collect();
        left.sort_by(|a, b| (&a.0, &a.1).cmp(&(&b.0, &b.1)));
        for (server, id, edge, mark) in left {
            let since = (last - mark.at).as_secs_f64();
            let what = format!("its line is in use for nobody, {since:.1} s after edge-{edge} was gone");
            self.broken(Rule::FleetLine, edge, &id, &server, what, &[mark, now]);
        }
        (self.breaks, self.counts)
    }
}

fn member_of(far: &str) -> u64 {
    far.strip_prefix("edge-").and_then(|n| n.parse().ok()).unwrap_or(u64::MAX)
}

/// The launch of whoever wrote last and the answers that a copy brings, and at which place whoever wrote them stands.
fn wrote(copy: &ReplicaUpdate) -> Vec<(usize, Wrote)> {
    let mut all = Vec::new();
    let last = copy.owner_records.iter().max_by_key(|part| part.owner);
    if let Some(Progress::Launched { launch, .. }) = last.map(|part| &part.progress) {
        all.push((last.map_or(0, |part| usize::from(part.owner.member)), Wrote::Launch(launch.0)));
    }
    all.extend(copy.answers.iter().map(|given| (usize::from(given.owner.member), Wrote::Answer)));
    all
}
