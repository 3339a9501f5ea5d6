//! The five rules. Each break names the dialogue, the lines of the record and the times.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerState};
use lotussaddle_trunk::Frame;
use serde::{Deserialize, Serialize};

use crate::numbers::Agreement;
use crate::record::{Brief, Line, Way, What};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// 1: one final answer before the cut-off, nothing after.
    OneAnswer,
    /// 2: never two launches out.
    OneLaunch,
    /// 3: nothing new to a draining or gone server past the grace.
    Drain,
    /// 4: no cold server pushed over.
    Cold,
    /// 5: no relaunch within the release.
    Release,
    /// Beside the five: each launch agrees with exactly one generation of tables, in force since the dialogue came.
    Tables,
    /// Over all edge proxies of a fleet: never two different answers to one dialogue, none launched after its answer;
    FleetAnswer,
    /// never two launches of it out, at whichever;
    FleetLaunch,
    /// no launch within the release after another's in doubt;
    FleetRelease,
    /// no line in use past its time that is nobody's;
    FleetLine,
    /// no act of a duty accepted under a number below one that was, nor two members' under one.
    FleetDuty,
}

/// How many rules there are.
pub const RULES: usize = 11;

impl Rule {
    pub const ALL: [Self; RULES] = [
        Self::OneAnswer,
        Self::OneLaunch,
        Self::Drain,
        Self::Cold,
        Self::Release,
        Self::Tables,
        Self::FleetAnswer,
        Self::FleetLaunch,
        Self::FleetRelease,
        Self::FleetLine,
        Self::FleetDuty,
    ];
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Break {
    pub rule: Rule,
    pub edge: usize,
    pub dialogue: String,
    pub server: String,
    pub what: String,
    /// Lines of the record that show it, the brief being line 1, and their times in seconds.
    pub lines: Vec<u64>,
    pub times: Vec<f64>,
}

#[derive(Default)]
pub struct Counts {
    pub fell: u64,
    pub dialogues: u64,
    pub stood: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    pub declined: u64,
    pub cut: u64,
    pub excused: u64,
    pub launches: u64,
}

/// Where something stands in the record.
#[derive(Clone, Copy)]
struct Mark {
    line: u64,
    at: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Stands,
    Refused,
    Failed,
}

struct Dialogue {
    dialled: Mark,
    cut_off: Duration,
    link: u64,
    answer: Option<(Answer, Mark)>,
    hung_up: Option<Mark>,
    /// The launch that is out: its number, link and place.
    out: Option<(LaunchNumber, u64, Mark)>,
    /// The last launch that ended in doubt.
    doubt: Option<Mark>,
    /// Once it stands: over which link.
    stands: Option<u64>,
    over: bool,
    /// Its answer did not come in time, which has been said.
    missed: bool,
    /// Its caller has dialled it elsewhere since, which is not seen here: no answer is owed.
    moved: bool,
    /// It was dialled again under its id, as one whose answer is not known: the same answer may be given again.
    repeated: bool,
}

#[derive(Default)]
struct Proxy {
    dialogues: HashMap<DialogueId, Dialogue>,
    /// Dialogues not answered, by the time when that is too late.
    owed: BTreeMap<Duration, Vec<DialogueId>>,
    links: HashMap<u64, String>,
    /// Told not to send there, since when.
    barred: HashMap<String, Mark>,
    /// Servers in the list it was told.
    listed: HashMap<String, ServerState>,
    /// Which start of a server it has been told of, by its life.
    lives: HashMap<String, u64>,
    stalls: Vec<(Duration, Option<Duration>)>,
    /// How fast its clock runs; none: as it should.
    rate: Option<f64>,
    /// Answered in a former life of this proxy, and where.
    answered_before: HashMap<DialogueId, (Answer, Mark)>,
    /// Not answered in a former life, and launched: when that launch was in doubt, at the kill or before.
    doubted_before: HashMap<DialogueId, Mark>,
}

/// A core server since it last started.
struct Cold {
    since: Duration,
    /// What the list will call it by.
    life: u64,
    pressed: f64,
    at: Duration,
    /// Launches of late: from which edge proxy, and whether it knew of the start.
    sent: Vec<(Mark, usize, bool)>,
    broken: bool,
}

pub struct Rules {
    brief: Brief,
    proxies: BTreeMap<usize, Proxy>,
    cold: HashMap<String, Cold>,
    breaks: Vec<Break>,
    counts: Counts,
    now: Mark,
    tables: Option<Agreement>,
    /// Numbers of core servers, by name, as any list has told them.
    numbers: HashMap<String, i64>,
}

fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl Rules {
    pub fn new(brief: &Brief) -> Self {
        Self {
            brief: brief.clone(),
            proxies: BTreeMap::new(),
            cold: HashMap::new(),
            breaks: Vec::new(),
            counts: Counts::default(),
            now: Mark { line: 1, at: Duration::ZERO },
            tables: brief.numbers.as_ref().map(|numbers| Agreement::new(brief, numbers)),
            numbers: HashMap::new(),
        }
    }

    pub fn line(&mut self, number: u64, line: &Line) {
        self.now = Mark { line: number, at: line.time() };
        self.overdue();
        match &line.what {
            What::Passed { edge, link, way, message } => {
                self.passed(*edge, *link, *way, &message.frame);
            }
            What::Up { edge, link, far } => {
                self.proxy(*edge).links.insert(*link, far.clone());
            }
            What::Gone { edge, link } => self.gone(*edge, *link),
            What::Started { edge } => {
                if let Some(tables) = &mut self.tables {
                    tables.started(*edge, self.now.at);
                }
            }
            What::Datagram { edge, server, way, bytes } => {
                if let Some(tables) = &mut self.tables {
                    tables.datagram(*edge, *server, *way, bytes);
                }
            }
            What::Killed { edge } => {
                let mut before = std::mem::take(self.proxy(*edge));
                let answered = before.dialogues.iter().filter_map(|(id, d)| Some((id.clone(), d.answer?)));
                before.answered_before.extend(answered);
                let now = self.now;
                let open = before.dialogues.iter().filter(|(_, d)| d.answer.is_none());
                let doubted = open
                    .filter_map(|(id, d)| Some((id.clone(), if d.out.is_some() { now } else { d.doubt? })));
                before.doubted_before.extend(doubted);
                // Of a fleet that is asked of all members together, and of what was acknowledged.
                if self.brief.fleet.is_some() {
                    before.doubted_before.clear();
                    before.answered_before.clear();
                }
                self.proxy(*edge).rate = before.rate;
                self.proxy(*edge).doubted_before = std::mem::take(&mut before.doubted_before);
                self.proxy(*edge).answered_before = std::mem::take(&mut before.answered_before);
                let owed = before.dialogues.values().filter(|d| d.answer.is_none() && d.hung_up.is_none());
                self.counts.excused += owed.count() as u64;
            }
            What::Stalled { edge } => {
                let at = self.now.at;
                self.proxy(*edge).stalls.push((at, None));
            }
            What::Resumed { edge } => {
                let at = self.now.at;
                if let Some(last) = self.proxy(*edge).stalls.last_mut() {
                    last.1 = Some(at);
                }
            }
            What::CoreStarted { server, life } => {
                let cold = Cold {
                    since: self.now.at,
                    life: *life,
                    pressed: 0.0,
                    at: self.now.at,
                    sent: Vec::new(),
                    broken: false,
                };
                self.cold.insert(server.clone(), cold);
            }
            What::CoreGone { .. } => {}
            What::Fell { server } => {
                self.counts.fell += 1;
                self.pushed_over(server, "fell over");
            }
            What::Clock { edge, rate } => self.proxy(*edge).rate = Some(*rate),
            What::DiskSpoilt { .. } | What::Note { .. } => {}
        }
    }

    pub fn finish(mut self, last: Duration) -> (Vec<Break>, Counts) {
        self.now.at = last;
        self.overdue();
        (self.breaks, self.counts)
    }

    fn proxy(&mut self, edge: usize) -> &mut Proxy {
        self.proxies.entry(edge).or_default()
    }

    fn broken(
        &mut self, rule: Rule, edge: usize, dialogue: Option<&DialogueId>, server: &str, what: String,
        marks: &[Mark],
    ) {
        self.breaks.push(Break {
            rule,
            edge,
            dialogue: dialogue.map(|id| id.0.to_string()).unwrap_or_default(),
            server: server.into(),
            what,
            lines: marks.iter().map(|mark| mark.line).collect(),
            times: marks.iter().map(|mark| mark.at.as_secs_f64()).collect(),
        });
    }

    fn passed(&mut self, edge: usize, link: u64, way: Way, frame: &Frame) {
        use Frame::*;
        let now = self.now;
        // Last words of a proxy that has been killed, or of a link that is gone, reach nobody.
        if !self.proxy(edge).links.contains_key(&link) {
            return;
        }
        match (way, frame) {
            (Way::In, Dial(dial)) => {
                if let Some(tables) = &mut self.tables {
                    tables.dialled(edge, now.at, dial);
                }
                let late = now.at + dial.time_left + span(self.brief.answer_grace_s);
                if dial.is_repeat {
                    self.moved_on(edge, &dial.dialogue);
                }
                let proxy = self.proxy(edge);
                let again = dial.is_repeat
                    && proxy
                        .dialogues
                        .get(&dial.dialogue)
                        .is_some_and(|d| d.answer.is_some() || d.hung_up.is_some() || d.moved);
                if let (true, Some(known)) = (again, proxy.dialogues.get_mut(&dial.dialogue)) {
                    (known.link, known.repeated, known.hung_up, known.missed) = (link, true, None, false);
                    known.moved = false;
                    (known.dialled, known.cut_off) = (now, now.at + dial.time_left);
                    proxy.owed.entry(late).or_default().push(dial.dialogue.clone());
                    return;
                }
                if let Some(known) = proxy.dialogues.get_mut(&dial.dialogue) {
                    // Dialled again under its id: still one dialogue, its answer goes to the newest link.
                    if known.answer.is_none() && known.hung_up.is_none() {
                        known.link = link;
                    }
                    return;
                }
                let dialogue = Dialogue {
                    dialled: now,
                    cut_off: now.at + dial.time_left,
                    link,
                    answer: None,
                    hung_up: None,
                    out: None,
                    doubt: proxy.doubted_before.get(&dial.dialogue).copied(),
                    stands: None,
                    over: false,
                    missed: false,
                    moved: false,
                    repeated: dial.is_repeat,
                };
                proxy.dialogues.insert(dial.dialogue.clone(), dialogue);
                proxy.owed.entry(late).or_default().push(dial.dialogue.clone());
                self.counts.dialogues += 1;
            }
            (Way::In, HangUp { dialogue }) => {
                if let Some(known) = self.proxy(edge).dialogues.get_mut(dialogue)
                    && known.link == link
                    && known.hung_up.is_none()
                {
                    known.hung_up = Some(now);
                    if known.answer.is_none() {
                        self.counts.left += 1;
                    }
                }
            }
            (Way::Out, Declined { dialogue, .. }) => {
                self.counts.declined += 1;
                let proxy = self.proxy(edge);
                let known = proxy.dialogues.get_mut(dialogue).filter(|d| d.link == link);
                if let Some(known) = known.filter(|d| d.repeated && (d.answer.is_some() || d.doubt.is_some()))
                {
                    known.hung_up = Some(now); // What was known of it before stays known.
                    return;
                }
                let never_in =
                    proxy.dialogues.get(dialogue).is_some_and(|d| d.answer.is_none() && d.link == link);
                if never_in {
                    proxy.dialogues.remove(dialogue);
                    self.counts.dialogues -= 1;
                }
            }
            (Way::Out, Stands { dialogue, .. }) => self.answered(edge, dialogue, Answer::Stands),
            (Way::Out, Refused { dialogue, .. }) => self.answered(edge, dialogue, Answer::Refused),
            (Way::Out, Failed { dialogue }) => self.answered(edge, dialogue, Answer::Failed),
            (Way::Out, Over { dialogue, .. }) => {
                let known = self.proxy(edge).dialogues.get_mut(dialogue);
                let rightly = known.is_some_and(|known| {
                    let first = !known.over && matches!(known.answer, Some((Answer::Stands, _)));
                    known.over = true;
                    first
                });
                if !rightly {
                    let what = "told that it is over though it did not stand".into();
                    self.broken(Rule::OneAnswer, edge, Some(dialogue), "", what, &[now]);
                }
                self.counts.cut += 1;
            }
            (Way::Out, Launch(launch)) => {
                self.launched(edge, link, &launch.dialogue, launch.launch);
                let far = self.proxy(edge).links.get(&link).cloned().unwrap_or_default();
                let server = self.numbers.get(&far).copied();
                let wrong =
                    self.tables.as_mut().and_then(|tables| tables.launched(edge, now.at, launch, server));
                if let Some((dialled, what)) = wrong {
                    let marks = [Mark { line: now.line, at: dialled }, now];
                    self.broken(Rule::Tables, edge, Some(&launch.dialogue), &far, what, &marks);
                }
            }
            (Way::In, Tables { serial, order }) => {
                if let Some(tables) = &mut self.tables {
                    tables.ordered(edge, now.at, *serial, order);
                }
            }
            // Whoever has all members carry an order out does so itself.
            (_, PeerMessage(lotussaddle_trunk::PeerMessage::Publish { serial, order, .. })) => {
                if let Some(tables) = &mut self.tables {
                    tables.ordered(edge, now.at, *serial, order);
                }
            }
            (Way::Out, TablesResult { serial, in_force, name, .. }) => {
                let wrong = self
                    .tables
                    .as_mut()
                    .and_then(|t| t.tabled(edge, now.at, *serial, *in_force, name.as_deref()));
                if let Some(what) = wrong {
                    self.broken(Rule::Tables, edge, None, "", what, &[now]);
                }
            }
            (Way::Out, Cancel { dialogue, launch }) => {
                if let Some(known) = self.proxy(edge).dialogues.get_mut(dialogue)
                    && known.out.is_some_and(|(out, ..)| out == *launch)
                {
                    (known.out, known.doubt) = (None, Some(now));
                }
            }
            (Way::In, Stood { dialogue, launch, .. }) => {
                self.ended(edge, dialogue, *launch, Some(link), false)
            }
            (Way::In, TurnedBack { dialogue, launch, .. }) => {
                self.ended(edge, dialogue, *launch, None, false)
            }
            (Way::In, BrokenOff { dialogue, launch, .. }) => self.ended(edge, dialogue, *launch, None, true),
            (Way::In, Ended { dialogue, launch, .. }) => {
                if let Some(known) = self.proxy(edge).dialogues.get_mut(dialogue)
                    && known.stands == Some(link)
                {
                    known.stands = None;
                }
                self.ended(edge, dialogue, *launch, None, true);
            }
            (Way::In, List { is_complete: whole, entries }) => self.listed(edge, *whole, entries),
            _ => {}
        }
    }

    // Rule 1

    fn answered(&mut self, edge: usize, id: &DialogueId, answer: Answer) {
        let now = self.now;
        let grace = span(self.brief.answer_grace_s);
        let Some(known) = self.proxy(edge).dialogues.get_mut(id) else {
            let what = "answered, though it was never dialled here".into();
            return self.broken(Rule::OneAnswer, edge, Some(id), "", what, &[now]);
        };
        let (dialled, cut_off) = (known.dialled, known.cut_off);
        let (mut before, hung_up, missed) = (known.answer, known.hung_up, known.missed);
        // Asked again, the same answer may be given once more.
        let again = std::mem::take(&mut known.repeated);
        before = before.filter(|(first, _)| !(again && *first == answer));
        known.answer.get_or_insert((answer, now));
        if again {
            known.over = false;
        }
        match answer {
            Answer::Stands => self.counts.stood += 1,
            Answer::Refused => self.counts.refused += 1,
            Answer::Failed => self.counts.failed += 1,
        }
        let former = self.proxy(edge).answered_before.get(id).copied();
        let former = former.filter(|(first, _)| !(again && *first == answer));
        if let Some((_, former)) = former {
            let what = "answered again after a restart".into();
            self.broken(Rule::OneAnswer, edge, Some(id), "", what, &[former, dialled, now]);
        } else if let Some((_, first)) = before {
            let what = "a second final answer".into();
            self.broken(Rule::OneAnswer, edge, Some(id), "", what, &[dialled, first, now]);
        } else if let Some(hung_up) =
            hung_up.filter(|mark| now.at > self.excuse(edge, mark.at, mark.at + grace))
        {
            let what = "answered after its caller hung up".into();
            self.broken(Rule::OneAnswer, edge, Some(id), "", what, &[dialled, hung_up, now]);
        } else if !missed && now.at > self.excuse(edge, dialled.at, cut_off + grace) {
            let what = format!("answered {:.3} s after its cut-off", (now.at - cut_off).as_secs_f64());
            self.broken(Rule::OneAnswer, edge, Some(id), "", what, &[dialled, now]);
        }
    }

    /// A proxy that is made to stand still is not running: what falls due meanwhile is due after it.
    fn excuse(&self, edge: usize, from: Duration, due: Duration) -> Duration {
        let grace = span(self.brief.answer_grace_s);
        let stalls = self.proxies.get(&edge).map(|p| p.stalls.as_slice()).unwrap_or_default();
        // By a clock that runs slow it is as much later.
        let rate = self.proxies.get(&edge).and_then(|proxy| proxy.rate).unwrap_or(1.0).min(1.0);
        let due = due.max(from + due.saturating_sub(from).div_f64(rate));
        let within =
            stalls.iter().filter(|(begin, end)| *begin <= due && end.is_none_or(|end| end + grace >= from));
        within.fold(due, |due, (_, end)| due.max(end.map_or(Duration::MAX, |end| end + grace)))
    }

    /// When a proxy could read what came at this time.
    fn went_on(&self, edge: usize, at: Duration) -> Duration {
        let stalls = self.proxies.get(&edge).map(|p| p.stalls.as_slice()).unwrap_or_default();
        let within = stalls.iter().find(|(begin, end)| *begin <= at && end.is_none_or(|end| end >= at));
        within.map_or(at, |(_, end)| end.unwrap_or(Duration::MAX / 4))
    }

    fn overdue(&mut self) {
        let now = self.now.at;
        let edges: Vec<usize> = self.proxies.keys().copied().collect();
        for edge in edges {
            while let Some((due, ids)) = self.proxies.get_mut(&edge).and_then(|p| {
                p.owed.first_key_value().is_some_and(|(due, _)| *due < now).then(|| p.owed.pop_first())?
            }) {
                for id in ids {
                    let Some(known) = self.proxies[&edge].dialogues.get(&id) else { continue };
                    // What was dialled again since is owed by another time.
                    let again = due < known.cut_off + span(self.brief.answer_grace_s);
                    if known.answer.is_some() || known.hung_up.is_some() || known.moved || again {
                        continue;
                    }
                    let (dialled, from) = (known.dialled, known.dialled.at);
                    let later = self.excuse(edge, from, due);
                    if later >= now {
                        let proxy = self.proxy(edge);
                        let later =
                            if later == Duration::MAX { now + Duration::from_millis(100) } else { later };
                        proxy.owed.entry(later).or_default().push(id);
                        continue;
                    }
                    let end = Mark { line: self.now.line, at: due };
                    let what = "no final answer before its cut-off".into();
                    self.broken(Rule::OneAnswer, edge, Some(&id), "", what, &[dialled, end]);
                    if let Some(known) = self.proxy(edge).dialogues.get_mut(&id) {
                        known.missed = true;
                    }
                }
            }
        }
    }

    /// Its caller has dialled it again, here or elsewhere: what it asked before is owed no more.
    fn moved_on(&mut self, to: usize, id: &DialogueId) {
        for (edge, proxy) in &mut self.proxies {
            if let Some(known) = proxy.dialogues.get_mut(id)
                && *edge != to
                && known.answer.is_none()
            {
                known.moved = true;
            }
        }
    }

    // Rules 2 and 5

    fn launched(&mut self, edge: usize, link: u64, id: &DialogueId, launch: LaunchNumber) {
        let now = self.now;
        let rate = self.proxy(edge).rate.unwrap_or(1.0).max(1.0); // By its own clock it keeps the release.
        let release = span((self.brief.release_s - self.brief.slack_s).max(0.0)).div_f64(rate);
        self.counts.launches += 1;
        let far = self.proxy(edge).links.get(&link).cloned().unwrap_or_default();
        let crossed = span(self.brief.slack_s);
        let Some(known) = self.proxy(edge).dialogues.get_mut(id) else {
            let what = "launched, though it was never dialled here".into();
            return self.broken(Rule::OneAnswer, edge, Some(id), &far, what, &[now]);
        };
        let before = (known.out, known.answer, known.doubt, known.stands);
        let hung_up = known.hung_up.filter(|mark| now.at > mark.at + crossed);
        known.out = Some((launch, link, now));
        let (out, answer, doubt, stands) = before;
        if let Some((_, _, first)) = out {
            let what = "launched while another launch of it is out".into();
            self.broken(Rule::OneLaunch, edge, Some(id), &far, what, &[first, now]);
        }
        if stands.is_some() {
            let what = "launched while it stands".into();
            self.broken(Rule::OneLaunch, edge, Some(id), &far, what, &[now]);
        }
        let former = self.proxy(edge).answered_before.get(id).copied();
        if let Some((_, mark)) = answer.or(former) {
            let what = "launched after its final answer".into();
            self.broken(Rule::OneAnswer, edge, Some(id), &far, what, &[mark, now]);
        } else if let Some(mark) = hung_up
            && self.excuse(edge, mark.at, mark.at) < now.at
        {
            let what = "launched after its caller hung up".into();
            self.broken(Rule::OneAnswer, edge, Some(id), &far, what, &[mark, now]);
        }
        if let Some(mark) = doubt.filter(|mark| now.at < mark.at + release) {
            let what = format!("launched {:.3} s after a launch in doubt", (now.at - mark.at).as_secs_f64());
            self.broken(Rule::Release, edge, Some(id), &far, what, &[mark, now]);
        }
        self.sent(edge, &far, id);
    }

    fn ended(
        &mut self, edge: usize, id: &DialogueId, launch: LaunchNumber, stands: Option<u64>, doubt: bool,
    ) {
        let now = self.now;
        if let Some(known) = self.proxy(edge).dialogues.get_mut(id)
            && known.out.is_some_and(|(out, ..)| out == launch)
        {
            known.out = None;
            known.stands = stands;
            if doubt {
                known.doubt = Some(now);
            }
        }
    }

    /// A link is gone: what was out there is in doubt, what its callers asked is owed no more.
    fn gone(&mut self, edge: usize, link: u64) {
        let now = self.now;
        let proxy = self.proxy(edge);
        let callers = proxy.links.remove(&link).is_some_and(|far| far == "callers");
        let mut excused = 0;
        for known in proxy.dialogues.values_mut() {
            if callers && known.link == link && known.hung_up.is_none() {
                known.hung_up = Some(now);
                excused += u64::from(known.answer.is_none());
            }
            if known.out.is_some_and(|(_, over, _)| over == link) {
                (known.out, known.doubt) = (None, Some(now));
            }
            if known.stands == Some(link) {
                known.stands = None;
            }
        }
        self.counts.excused += excused;
    }

    // Rules 3 and 4

    fn listed(&mut self, edge: usize, whole: bool, entries: &[lotussaddle_trunk::Entry]) {
        let now = self.now;
        let proxy = self.proxy(edge);
        if whole {
            let listed: Vec<String> = proxy.listed.drain().map(|(server, _)| server).collect();
            for server in listed {
                proxy.barred.entry(server).or_insert(now);
            }
        }
        for entry in entries {
            let server = entry.server.0.to_string();
            self.numbers.insert(server.clone(), entry.number.0);
            let proxy = self.proxies.entry(edge).or_default();
            if entry.state == ServerState::Active {
                proxy.barred.remove(&server);
            } else {
                proxy.barred.entry(server.clone()).or_insert(now);
            }
            proxy.listed.insert(server.clone(), entry.state);
            proxy.lives.insert(server, entry.incarnation);
        }
    }

    /// Something new was sent to a server.
    fn sent(&mut self, edge: usize, far: &str, id: &DialogueId) {
        let now = self.now;
        let grace = span(self.brief.drain_grace_s);
        // What came while it stood still, it was told when it went on.
        if let Some(mark) = self.proxy(edge).barred.get(far).copied()
            && now.at > self.went_on(edge, mark.at) + grace + span(self.brief.slack_s)
        {
            let late = (now.at - mark.at).as_secs_f64();
            let what = format!("launched {late:.3} s after the list said that the server drains or is gone");
            self.broken(Rule::Drain, edge, Some(id), far, what, &[mark, now]);
        }
        let life = self.proxy(edge).lives.get(far).copied();
        let rule = self.brief.cold.clone();
        let Some(capacity) = self.brief.capacities.get(far).copied() else { return };
        let Some(cold) = self.cold.get_mut(far) else { return };
        let warmed = (now.at - cold.since).as_secs_f64() / rule.warm_after_s;
        if warmed >= 1.0 || cold.broken {
            return;
        }
        let knew = life == Some(cold.life);
        cold.sent.push((now, edge, knew));
        let bears = (rule.share + (1.0 - rule.share) * warmed) * capacity * rule.multiple;
        let passed = (now.at - cold.at).as_secs_f64();
        cold.pressed = (cold.pressed - bears * passed).max(0.0) + 1.0;
        cold.at = now.at;
        if cold.pressed > bears * rule.within_s + 3.0 {
            self.pushed_over(far, "sent more than it bears");
        }
    }

    fn pushed_over(&mut self, server: &str, what: &str) {
        let within = span(self.brief.cold.within_s);
        let now = self.now.at;
        let Some(cold) = self.cold.get_mut(server) else { return };
        if cold.broken {
            return;
        }
        cold.broken = true;
        cold.sent.retain(|(mark, ..)| mark.at + within >= now);
        let knew = cold.sent.iter().filter(|(.., knew)| *knew).count();
        let (all, first) = (cold.sent.len(), cold.sent.first().copied());
        // Those that had not been told of the start are not to blame for it.
        if let Some((mark, edge, _)) = first
            && knew * 3 >= all * 2
        {
            let what = format!("cold and {what}: {all} launches in {:.1} s", within.as_secs_f64());
            self.broken(Rule::Cold, edge, None, server, what, &[mark, self.now]);
        }
    }
}
