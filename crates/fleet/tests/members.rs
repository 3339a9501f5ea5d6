//! Tests of several members over a simulated network and simulated disks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_fleet::{DutyPlan, Effects, Member, MemberEvent, PeerLink, Plan, Save, Stored, Verdict};
use lotussaddle_trunk::{
    Answer, AuditMessage, DutyAction, Frame, HeldLine, Hello, Owner, PeerMessage, Progress, Role,
    TablesOrder, VERSION, decode_replica,
};

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn id(name: &str) -> DialogueId {
    DialogueId(Arc::from(name))
}

fn server() -> ServerId {
    ServerId(Arc::from("core"))
}

/// Recorded effects of a member, and its disk.
#[derive(Default)]
struct RecordingEffects {
    acts: VecDeque<RecordedEffect>,
    next: u64,
    open: BTreeSet<u64>,
    disk: Option<Vec<Save>>,
    logs: Vec<String>,
}

enum RecordedEffect {
    Send(u64, Frame),
    Connect(u16, u64),
    Close(u64),
    Save(Vec<Save>, u64),
}

impl Effects for RecordingEffects {
    fn send(&mut self, link: PeerLink, frame: Frame) -> bool {
        let is_open = self.open.contains(&link.0);
        if is_open {
            self.acts.push_back(RecordedEffect::Send(link.0, frame));
        }
        is_open
    }

    fn connect(&mut self, member: u16) -> PeerLink {
        self.next += 1;
        self.open.insert(self.next);
        self.acts.push_back(RecordedEffect::Connect(member, self.next));
        PeerLink(self.next)
    }

    fn close(&mut self, link: PeerLink, _why: &str) {
        if self.open.remove(&link.0) {
            self.acts.push_back(RecordedEffect::Close(link.0));
        }
    }

    fn log(&mut self, line: &str) {
        self.logs.push(line.into());
    }

    fn has_disk(&self) -> bool {
        self.disk.is_some()
    }

    fn save(&mut self, what: Vec<Save>, number: u64) -> bool {
        if self.disk.is_some() {
            self.acts.push_back(RecordedEffect::Save(what, number));
        }
        self.disk.is_some()
    }
}

struct TestNetwork {
    now: Duration,
    plan: Plan,
    members: Vec<Option<Member>>,
    ends: Vec<RecordingEffects>,
    /// The other end of a link: its member, and its number there.
    pairs: BTreeMap<(usize, u64), (usize, u64)>,
    /// Pairs of sender and receiver whose frames are held back.
    blocked_pairs: BTreeSet<(usize, usize)>,
    held: VecDeque<(usize, u64, Frame)>,
    /// Members whose disk writes are delayed.
    slow: BTreeSet<usize>,
    unsaved: Vec<(usize, Vec<Save>, u64)>,
    found: Vec<(usize, MemberEvent)>,
    starts: u64,
    /// If set, the link from member 0 to member 1 breaks after each snapshot chunk; the number of breaks so far.
    breaks: Option<usize>,
}

impl TestNetwork {
    fn new(members: usize, disks: bool, change: impl FnOnce(&mut Plan)) -> Self {
        let names = (0..members).map(|n| format!("edge-{n:02}")).collect();
        let mut plan = Plan {
            members: names,
            release_time: ms(300),
            withholds_unacknowledged_launches: true,
            ..Plan::default()
        };
        change(&mut plan);
        let ends = (0..members).map(|place| RecordingEffects {
            next: (place as u64 + 1) << 32,
            disk: disks.then(Vec::new),
            ..RecordingEffects::default()
        });
        let mut net = Self {
            now: Duration::ZERO,
            plan,
            members: (0..members).map(|_| None).collect(),
            ends: ends.collect(),
            pairs: BTreeMap::new(),
            blocked_pairs: BTreeSet::new(),
            held: VecDeque::new(),
            slow: BTreeSet::new(),
            unsaved: Vec::new(),
            found: Vec::new(),
            starts: 0,
            breaks: None,
        };
        (0..members).for_each(|place| net.start(place));
        net.run(ms(1000));
        assert!((0..members).all(|place| net.member(place).caught_up()), "all have caught up");
        net
    }

    fn member(&mut self, place: usize) -> &mut Member {
        self.members[place].as_mut().expect("it runs")
    }

    fn start(&mut self, place: usize) {
        self.starts += 1;
        let mut stored = Stored::default();
        let mut replicas = BTreeMap::new();
        let mut granted = BTreeMap::new();
        for save in self.ends[place].disk.iter().flatten() {
            match save {
                Save::Replica(id, Some(bytes)) => {
                    drop(replicas.insert(id.clone(), decode_replica(bytes).unwrap()))
                }
                Save::Replica(id, None) => drop(replicas.remove(id)),
                Save::Incarnation(incarnation) => stored.incarnation = Some(*incarnation),
                Save::ProposedIncarnation(incarnation) => stored.proposed_incarnation = *incarnation,
                Save::WriteCount(count) => stored.write_count = *count,
                Save::GrantedIncarnation(member, incarnation) => drop(granted.insert(*member, *incarnation)),
                Save::Duties(bytes) => stored.duties = Some(bytes.clone()),
                Save::FencingTokens(bytes) => stored.fencing_tokens = Some(bytes.clone()),
            }
        }
        (stored.replicas, stored.granted_incarnations) =
            (replicas.into_values().collect(), granted.into_iter().collect());
        let plan = Plan { self_member: place as u16, ..self.plan.clone() };
        let random_seed = self.starts.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.members[place] = Some(Member::new(self.now, plan, stored, random_seed));
    }

    fn kill(&mut self, place: usize) {
        self.members[place] = None;
        self.ends[place].acts.clear();
        self.unsaved.retain(|(of, ..)| *of != place);
        for link in std::mem::take(&mut self.ends[place].open) {
            self.close_link(place, link);
        }
    }

    /// A link is closed from one end.
    fn close_link(&mut self, place: usize, link: u64) {
        let Some((other, far)) = self.pairs.remove(&(place, link)) else { return };
        self.pairs.remove(&(other, far));
        if self.ends[other].open.remove(&far)
            && let Some(member) = &mut self.members[other]
        {
            member.link_closed(self.now, PeerLink(far), "closed by its peer", &mut self.ends[other]);
        }
    }

    /// A link breaks at both ends.
    fn break_link(&mut self, place: usize, link: u64) {
        self.close_link(place, link);
        if self.ends[place].open.remove(&link)
            && let Some(member) = &mut self.members[place]
        {
            member.link_closed(self.now, PeerLink(link), "broken", &mut self.ends[place]);
        }
    }

    /// Carries out all recorded effects until none is left.
    fn settle(&mut self) {
        loop {
            let now = self.now;
            let mut more = false;
            for place in 0..self.members.len() {
                let Some(member) = &mut self.members[place] else { continue };
                member.flush(now, &mut self.ends[place]);
                while let Some(chore) = member.run_background_slice(now, false, &mut self.ends[place]) {
                    member.background_slice_done(now, chore, Duration::ZERO);
                }
                for finding in member.take_events() {
                    if let MemberEvent::GiveUpDialogue(id) = &finding {
                        member.dialogue_given_up(now, id);
                    }
                    self.found.push((place, finding));
                    more = true;
                }
                if let Some(act) = self.ends[place].acts.pop_front() {
                    more = true;
                    self.act(place, act);
                }
            }
            if !more {
                return;
            }
        }
    }

    fn act(&mut self, place: usize, act: RecordedEffect) {
        let now = self.now;
        match act {
            RecordedEffect::Send(link, frame) => {
                let Some((other, far)) = self.pairs.get(&(place, link)).copied() else { return };
                if self.blocked_pairs.contains(&(place, other)) {
                    return self.held.push_back((other, far, frame));
                }
                let is_snapshot_chunk =
                    matches!(frame, Frame::PeerMessage(PeerMessage::SnapshotChunk { .. }))
                        && (place, other) == (0, 1);
                self.deliver(other, far, frame);
                if let Some(breaks) = self.breaks.as_mut().filter(|_| is_snapshot_chunk) {
                    *breaks += 1;
                    self.break_link(place, link);
                }
            }
            RecordedEffect::Connect(member, link) => {
                let other = usize::from(member);
                if self.members[other].is_none() || self.blocked_pairs.contains(&(place, other)) {
                    return self.break_link(place, link);
                }
                self.ends[other].next += 1;
                let far = self.ends[other].next;
                self.ends[other].open.insert(far);
                self.pairs.insert((place, link), (other, far));
                self.pairs.insert((other, far), (place, link));
                self.member(other).link_accepted(now, PeerLink(far));
                if let Some(member) = &mut self.members[place] {
                    member.link_connected(now, PeerLink(link), &mut self.ends[place]);
                }
            }
            RecordedEffect::Close(link) => self.close_link(place, link),
            RecordedEffect::Save(saves, number) if self.slow.contains(&place) => {
                self.unsaved.push((place, saves, number));
            }
            RecordedEffect::Save(saves, number) => self.complete_save(place, saves, number),
        }
    }

    fn deliver(&mut self, place: usize, link: u64, frame: Frame) {
        if let Some(member) = &mut self.members[place]
            && self.ends[place].open.contains(&link)
        {
            member.frame_received(self.now, PeerLink(link), frame, &mut self.ends[place]);
        }
    }

    /// Completes a disk order.
    fn complete_save(&mut self, place: usize, saves: Vec<Save>, number: u64) {
        self.ends[place].disk.as_mut().expect("there is one").extend(saves);
        if let Some(member) = &mut self.members[place] {
            member.disk_write_done(self.now, number, true, &mut self.ends[place]);
        }
    }

    fn finish_disk_writes(&mut self, place: usize) {
        self.slow.remove(&place);
        let all = std::mem::take(&mut self.unsaved);
        let (of_it, others): (Vec<_>, Vec<_>) = all.into_iter().partition(|(of, ..)| *of == place);
        self.unsaved = others;
        for (_, saves, number) in of_it {
            self.complete_save(place, saves, number);
        }
        self.settle();
    }

    fn heal_partition(&mut self) {
        self.blocked_pairs.clear();
        for (to, link, frame) in std::mem::take(&mut self.held) {
            self.deliver(to, link, frame);
        }
        self.settle();
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.settle();
        loop {
            let due = self.members.iter().flatten().map(Member::next_due).min();
            let Some(due) = due.filter(|due| *due <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(due);
            for place in 0..self.members.len() {
                if let Some(member) = &mut self.members[place]
                    && member.next_due() <= self.now
                {
                    member.timer_fired(self.now, &mut self.ends[place]);
                }
            }
            self.settle();
        }
    }

    fn plan_launch(&mut self, place: usize, id: &DialogueId, duration: Duration) {
        let now = self.now;
        let member = self.member(place);
        member.dialogue_accepted(now, id);
        member.launch_planned(now, id, &server(), LaunchNumber(0), now + duration);
        self.settle();
    }

    fn plan_answer(&mut self, place: usize, id: &DialogueId, answer: Answer) {
        let now = self.now;
        self.member(place).answer_planned(now, id, &answer, LaunchNumber(0));
        self.settle();
    }

    fn stands(&mut self, place: usize, id: &DialogueId) {
        self.plan_launch(place, id, ms(1000));
        self.plan_answer(place, id, Answer::Stands { server: server() });
    }

    fn look_up(&mut self, place: usize, id: &DialogueId) {
        let (now, cut_off) = (self.now, self.now + ms(3000));
        self.member(place).look_up_dialogue(now, id, cut_off);
        self.settle();
    }

    /// The owner for which a member asked a core server last to adopt a dialogue.
    fn adopting(&self, place: usize, id: &DialogueId) -> Option<Owner> {
        self.found.iter().rev().find_map(|(of, finding)| match finding {
            MemberEvent::SendToCore(_, Frame::AuditMessage(AuditMessage::Adopt { dialogue, owner, .. })) => {
                (*of == place && dialogue == id).then_some(*owner)
            }
            _ => None,
        })
    }

    /// The core server answers that the dialogue stands there and is adopted.
    fn adopt_line(&mut self, place: usize, id: &DialogueId) {
        let owner = self.adopting(place, id).expect("its core server is asked");
        self.receive_audit(
            place,
            AuditMessage::Adopted { dialogue: id.clone(), owner, launch: Some(0), by: owner },
        );
    }

    fn receive_audit(&mut self, place: usize, audit: AuditMessage) {
        let (now, ends) = (self.now, &mut self.ends[place]);
        let member = self.members[place].as_mut().expect("it runs");
        member.audit_received(now, &server(), audit, &|_| false, ends);
        self.settle();
    }

    /// The latest result of a search at a member.
    fn verdict(&self, place: usize, id: &DialogueId) -> Option<Verdict> {
        self.found.iter().rev().find_map(|(of, finding)| match finding {
            MemberEvent::RedialResolved(found, verdict) if *of == place && found == id => {
                Some(verdict.clone())
            }
            _ => None,
        })
    }

    /// A dialogue of which member 0 is a candidate, the holders of its replicas, and a member that is no candidate.
    fn dialogue(&self) -> (DialogueId, Vec<usize>, usize) {
        let group = self.plan.group();
        let candidates = |id: &DialogueId| group.candidates(lotussaddle_replica::fingerprint(id));
        let id = (0..).map(|n| id(&format!("d{n}"))).find(|id| candidates(id).contains(0)).unwrap();
        let holders = group.holders(lotussaddle_replica::fingerprint(&id), 0).map(usize::from).collect();
        let other = (1..self.members.len()).find(|place| !candidates(&id).contains(*place as u16));
        (id.clone(), holders, other.unwrap_or(1))
    }
}

fn is_unsure(verdict: &Option<Verdict>) -> bool {
    matches!(verdict, Some(Verdict::Unsure { .. }))
}

fn stands() -> Option<Verdict> {
    Some(Verdict::Stands { server: server(), launch: LaunchNumber(0) })
}

#[test]
fn a_standing_dialogue_of_a_dead_member_is_answered_again_after_acknowledgement() {
    let mut net = TestNetwork::new(5, false, |_| ());
    let (d, holders, other) = net.dialogue();
    net.stands(0, &d);
    net.kill(0);
    net.look_up(other, &d);
    assert_eq!(net.verdict(other, &d), None, "its core server is asked first");
    // From here on no holder receives the asker's frames, so its writes are not acknowledged.
    net.blocked_pairs = holders.iter().map(|holder| (other, *holder)).collect();
    net.adopt_line(other, &d);
    assert_eq!(net.verdict(other, &d), None, "only this member knows of the takeover");
    net.heal_partition();
    assert_eq!(net.verdict(other, &d), stands());
}

#[test]
fn an_unacknowledged_takeover_is_not_reported_and_its_line_is_held() {
    let mut net = TestNetwork::new(5, false, |_| ());
    let (d, holders, other) = net.dialogue();
    net.stands(0, &d);
    net.kill(0);
    net.look_up(other, &d);
    net.blocked_pairs = holders.iter().map(|holder| (other, *holder)).collect();
    net.adopt_line(other, &d);
    net.run(ms(60));
    assert!(
        is_unsure(&net.verdict(other, &d)) && net.member(other).table_sizes().0 == 1,
        "held for its caller"
    );
    net.heal_partition();
    net.look_up(other, &d);
    assert_eq!((net.verdict(other, &d), net.member(other).table_sizes().0), (stands(), 0));
}

#[test]
fn a_promise_is_stored_before_it_is_sent() {
    let mut net = TestNetwork::new(5, true, |_| ());
    let (d, holders, other) = net.dialogue();
    net.stands(0, &d);
    net.kill(0);
    net.slow.extend(&holders);
    net.look_up(other, &d);
    net.run(ms(59));
    let has_result =
        |net: &TestNetwork| net.adopting(other, &d).is_some() || net.verdict(other, &d).is_some();
    assert!(!has_result(&net), "no holder has its promise on disk");
    net.run(ms(1));
    assert!(is_unsure(&net.verdict(other, &d)));
    holders.iter().for_each(|holder| net.finish_disk_writes(*holder));
    net.look_up(other, &d);
    net.adopt_line(other, &d);
    assert_eq!(net.verdict(other, &d), stands());
}

#[test]
fn a_record_unused_by_a_later_owner_counts_only_after_that_owner_s_launch() {
    let mut net = TestNetwork::new(5, false, |_| ());
    let (d, holders, other) = net.dialogue();
    net.plan_launch(0, &d, ms(100));
    // The owner's answer is delayed; meanwhile a holder finds the launch and sends its own after it.
    net.blocked_pairs = holders.iter().map(|holder| (0, *holder)).collect();
    net.plan_answer(0, &d, Answer::Stands { server: server() });
    net.look_up(holders[0], &d);
    net.run(ms(60));
    let Some(Verdict::Free { not_before }) = net.verdict(holders[0], &d) else {
        panic!("{:?}", net.verdict(holders[0], &d))
    };
    let wait = not_before.saturating_sub(net.now);
    net.run(wait);
    net.plan_launch(holders[0], &d, ms(1000));
    net.heal_partition();
    // The other holder knows both: the first owner's record that it stood, and the later owner's launch.
    let copy = net.member(holders[1]).replica_table().get(&d).unwrap().clone();
    assert!(copy.newer_launch_until().is_some(), "{copy:?}");
    net.kill(holders[0]);
    net.look_up(other, &d);
    net.run(ms(60));
    assert!(is_unsure(&net.verdict(other, &d)), "{:?}", net.verdict(other, &d));
    assert_eq!(net.adopting(other, &d), None, "the line of that launch is not adopted");
}

#[test]
fn of_two_concurrent_redials_at_most_one_continues() {
    for rotation in 0..2 {
        let mut net = TestNetwork::new(5, false, |_| ());
        let (d, holders, other) = net.dialogue();
        net.plan_launch(0, &d, ms(100));
        net.kill(0);
        let mut places = [other, holders[0]];
        places.rotate_left(rotation);
        let (now, cut_off) = (net.now, net.now + ms(3000));
        for place in places {
            net.member(place).look_up_dialogue(now, &d, cut_off);
        }
        net.run(ms(200));
        let lost = |place: usize| {
            net.found.iter().any(|(of, finding)| {
                let mine = matches!(finding, MemberEvent::GiveUpDialogue(id) | MemberEvent::OwnershipLost(id) if *id == d);
                *of == place && mine
            })
        };
        let free = |place: usize| matches!(net.verdict(place, &d), Some(Verdict::Free { .. }));
        let continuing = places.into_iter().filter(|place| free(*place) && !lost(*place)).count();
        assert!(continuing <= 1, "{continuing}");
        assert!(places.iter().all(|place| net.verdict(*place, &d).is_some()), "each has its answer");
    }
}

#[test]
fn after_a_healed_partition_both_halves_give_one_answer_and_count_the_conflict() {
    let mut net =
        TestNetwork::new(5, false, |plan| (plan.acks_before_launch, plan.acks_before_answer) = (0, 0));
    let (d, holders, _) = net.dialogue();
    net.blocked_pairs = (1..5).flat_map(|place| [(0, place), (place, 0)]).collect();
    net.stands(0, &d);
    // A first dial there starts no search.
    net.plan_launch(holders[0], &d, ms(100));
    net.plan_answer(holders[0], &d, Answer::Refused { come_back: None });
    net.heal_partition();
    net.run(ms(15_000));
    let differ: u64 = (0..5).map(|place| net.member(place).counts().differ).sum();
    assert!(differ >= 1, "it is counted");
    let now = net.now;
    let readings: BTreeSet<String> = [holders[0], holders[1]]
        .into_iter()
        .map(|place| {
            let copy = net.member(place).replica_table().get(&d).expect("it is known").clone();
            assert!(copy.has_conflicting_answers() && copy.answers().len() == 2, "{copy:?}");
            lotussaddle_fleet::dialogue_json(now, &d, Some(&copy), &[])["reads"].to_string()
        })
        .collect();
    assert_eq!(readings.len(), 1, "{readings:?}");
}

#[test]
fn a_fleet_killed_as_a_whole_restores_its_answers_from_disk() {
    let mut net = TestNetwork::new(5, true, |_| ());
    let (d, _, other) = net.dialogue();
    net.stands(0, &d);
    (0..5).for_each(|place| net.kill(place));
    net.run(ms(500));
    for place in [3, 1, 4, 0, 2] {
        net.start(place);
        net.run(ms(70));
    }
    net.run(ms(3000));
    net.look_up(other, &d);
    net.adopt_line(other, &d);
    assert_eq!(net.verdict(other, &d), stands());
}

#[test]
fn a_flood_of_unknown_ids_is_bounded_and_answered() {
    let mut net = TestNetwork::new(5, false, |plan| plan.max_searches = 100);
    net.blocked_pairs = (0..5).filter(|place| *place != 1).map(|place| (place, 1)).collect();
    let (now, cut_off) = (net.now, net.now + ms(3000));
    for n in 0..10_000 {
        net.member(1).look_up_dialogue(now, &id(&format!("nobody-{n}")), cut_off);
    }
    net.run(ms(60));
    let unsure = |(_, finding): &&(usize, MemberEvent)| {
        matches!(finding, MemberEvent::RedialResolved(_, Verdict::Unsure { .. }))
    };
    assert_eq!(net.found.iter().filter(unsure).count(), 10_000, "each has its answer");
    assert!(net.member(1).counts().asks_refused >= 9_800 && net.member(1).table_sizes().1 == 0);
}

#[test]
fn a_peer_of_another_version_name_or_group_gets_no_replicas() {
    let mut net = TestNetwork::new(3, false, |plan| plan.replica_count = 1);
    net.kill(1); // Otherwise the link to it would interfere.
    let hello =
        |name: &str, version: u16| Frame::Hello(Hello { version, ..Hello::new(Role::Edge, Arc::from(name)) });
    let greeting = Frame::PeerMessage(PeerMessage::Greeting {
        group: 7,
        member: 1,
        incarnation: 0,
        known_remote_incarnation: 0,
        saved: 0,
        last_seen_ago: None,
    });
    let request = Frame::PeerMessage(PeerMessage::RequestReplicas { id_hashes: vec![1] });
    for (frames, what) in [
        (vec![hello("edge-01", VERSION + 1)], "another version"),
        (vec![hello("edge-00", VERSION)], "the member's own name"),
        (vec![hello("edge-01", VERSION), greeting], "another group"),
        (vec![hello("nobody", VERSION), request.clone()], "no member"),
        (vec![request], "not identified"),
    ] {
        let link = 77;
        net.ends[0].open.insert(link);
        let now = net.now;
        net.member(0).link_accepted(now, PeerLink(link));
        frames.into_iter().for_each(|frame| net.deliver(0, link, frame));
        net.settle();
        assert!(!net.ends[0].open.contains(&link), "{what}");
    }
}

#[test]
fn a_returned_member_that_has_not_caught_up_is_not_trusted_for_redials() {
    let mut net = TestNetwork::new(5, false, |_| ());
    let (d, holders, other) = net.dialogue();
    net.stands(0, &d);
    net.kill(0);
    net.kill(holders[0]);
    net.run(ms(500));
    net.start(holders[0]);
    net.run(ms(3000));
    assert!(!net.member(holders[0]).caught_up(), "it has not received what member 0 knew");
    net.look_up(other, &d);
    net.run(ms(60));
    assert!(is_unsure(&net.verdict(other, &d)) && net.adopting(other, &d).is_none());
    // By then the retention time has passed for all that it may lack.
    net.run(ms(70_000));
    assert!(net.member(holders[0]).caught_up());
    net.look_up(other, &d);
    assert!(net.adopting(other, &d).is_some());
}

#[test]
fn a_line_that_is_being_taken_over_is_not_released_as_unowned() {
    let mut net = TestNetwork::new(5, false, |_| ());
    let (d, holders, other) = net.dialogue();
    net.stands(0, &d);
    let now = net.now;
    net.member(other).core_up(now, &server());
    net.settle();
    let asked = net.found.iter().rev().find_map(|(of, finding)| match finding {
        MemberEvent::SendToCore(_, Frame::AuditMessage(AuditMessage::ListLines { serial, .. }))
            if *of == other =>
        {
            Some(*serial)
        }
        _ => None,
    });
    net.kill(0);
    net.look_up(other, &d);
    net.blocked_pairs = holders.iter().map(|holder| (other, *holder)).collect();
    net.adopt_line(other, &d);
    // The line is owned by this member there, but its edge proxy does not hold it yet.
    let owner = net.adopting(other, &d).unwrap();
    let lines = vec![lotussaddle_trunk::HeldLine { dialogue: d.clone(), launch: LaunchNumber(0), owner }];
    let serial = asked.expect("its own lines are queried");
    net.receive_audit(other, AuditMessage::Lines { serial, more: false, lines });
    net.heal_partition();
    assert_eq!((net.verdict(other, &d), net.adopting(other, &d)), (stands(), Some(owner)));
    let released = |(_, finding): &(usize, MemberEvent)| {
        matches!(finding, MemberEvent::SendToCore(_, Frame::Release { .. }))
    };
    assert!(!net.found.iter().any(released));
}

#[test]
fn a_later_incarnation_is_followed_by_a_higher_one_and_the_second_time_the_member_yields() {
    let mut net = TestNetwork::new(5, false, |_| ());
    let report_incarnation = |net: &mut TestNetwork, incarnation: u64| {
        let owner = Owner { round: 0, member: 0, incarnation };
        let lines = vec![lotussaddle_trunk::HeldLine { dialogue: id("x"), launch: LaunchNumber(0), owner }];
        net.receive_audit(0, AuditMessage::Lines { serial: 1, more: false, lines });
        net.run(ms(2000));
        net.member(0).incarnation()
    };
    let before = net.member(0).incarnation();
    let higher = report_incarnation(&mut net, before + (7 << 24));
    assert!(higher > before + (7 << 24), "a previous incarnation, or another process");
    assert_eq!(report_incarnation(&mut net, before + (7 << 24)), higher, "that incarnation has ended");
    assert_eq!(
        report_incarnation(&mut net, higher + (7 << 24)),
        0,
        "another process: it keeps on taking later ones"
    );
    net.run(ms(62_000));
    assert!(net.member(0).incarnation() > higher + (7 << 24));
}

#[test]
fn a_snapshot_resumes_when_its_link_breaks_at_every_chunk() {
    let mut net = TestNetwork::new(3, false, |plan| plan.retention = ms(600_000));
    let now = net.now;
    for n in 0..3000 {
        let d = id(&format!("d{n}"));
        net.member(0).dialogue_accepted(now, &d);
        net.member(0).answer_planned(now, &d, &Answer::Failed, LaunchNumber(0));
    }
    net.settle();
    net.kill(1);
    net.run(ms(1500));
    net.start(1);
    // Each link carries a single chunk.
    net.breaks = Some(0);
    net.run(ms(60_000));
    let breaks = net.breaks.take().unwrap_or_default();
    net.run(ms(3000));
    assert_eq!(net.member(1).replica_table().len(), 3000);
    assert!(net.member(1).caught_up() && (11..100).contains(&breaks), "{breaks}");
    let progress = net.member(1).replica_table().get(&id("d7")).unwrap().owner_states()[0].progress.clone();
    assert_eq!(progress, Progress::Ended);
}

#[test]
fn unstored_writes_are_not_acknowledged_over_a_restored_link() {
    let mut net = TestNetwork::new(3, true, |plan| plan.replica_count = 1);
    let group = net.plan.group();
    let d = (0..)
        .map(|n| id(&format!("d{n}")))
        .find(|id| group.holders(lotussaddle_replica::fingerprint(id), 0).eq([1]));
    let d = d.unwrap();
    net.slow.insert(1);
    net.plan_launch(0, &d, ms(1000));
    let confirmed_writes = |net: &TestNetwork| {
        net.found.iter().filter(|(of, f)| *of == 0 && matches!(f, MemberEvent::WriteConfirmed(_))).count()
    };
    let link = net.pairs.iter().find(|((a, _), (b, _))| (*a, *b) == (0, 1)).map(|((_, link), _)| *link);
    net.break_link(0, link.expect("there is one"));
    net.run(ms(900));
    assert!(net.pairs.iter().any(|((a, _), (b, _))| (*a, *b) == (0, 1)), "it is back");
    assert_eq!(confirmed_writes(&net), 0);
    net.finish_disk_writes(1);
    assert_eq!(confirmed_writes(&net), 1);
}

/// Each member in turn checks its own lines: a line that it does not hold is released after a second check, one that it holds is left.
#[test]
fn circuits_release_only_lines_that_their_member_does_not_hold() {
    let duties = DutyPlan { voters: vec![0, 1, 2], lease_duration: ms(400) };
    let mut net = TestNetwork::new(5, true, |plan| {
        (plan.duties, plan.claim_timeout) = (Some(duties), ms(500));
    });
    let now = net.now;
    (0..5).for_each(|place| net.member(place).core_up(now, &server()));
    net.settle();
    let (mut list_count, mut released_lines) = (0, Vec::new());
    for _ in 0..120 {
        net.run(ms(50));
        let now = net.now;
        for (place, finding) in std::mem::take(&mut net.found) {
            match finding {
                MemberEvent::SendToCore(
                    _,
                    Frame::AuditMessage(AuditMessage::ListLines { serial, member, .. }),
                ) if usize::from(member) == place => {
                    list_count += 1;
                    let line = |dialogue: &str| HeldLine {
                        dialogue: id(dialogue),
                        launch: LaunchNumber(0),
                        owner: Owner {
                            round: 0,
                            member,
                            incarnation: net.members[place].as_ref().unwrap().incarnation(),
                        },
                    };
                    let lines = vec![line("busy"), line("held")];
                    let holds = AuditMessage::Lines { serial, more: false, lines };
                    let held = |known: &DialogueId| *known == id("held");
                    // The first check follows the opening of the link, when no dialogue is in progress.
                    let holds = if list_count <= 5 {
                        AuditMessage::Lines { serial, more: false, lines: Vec::new() }
                    } else {
                        holds
                    };
                    let (member, ends) = (net.members[place].as_mut().unwrap(), &mut net.ends[place]);
                    member.audit_received(now, &server(), holds, &held, ends);
                }
                MemberEvent::SendToCore(
                    _,
                    Frame::AuditMessage(AuditMessage::Adopt { dialogue, owner, action: act }),
                ) => {
                    assert_eq!(
                        (usize::from(owner.member), act),
                        (place, None),
                        "its own, without a duty's action"
                    );
                    released_lines.push((now, place, dialogue, list_count));
                }
                _ => {}
            }
        }
    }
    assert!(list_count > 20, "{list_count}");
    assert!(released_lines.iter().all(|(_, _, dialogue, _)| *dialogue == id("busy")), "{released_lines:?}");
    let releasing_members: BTreeSet<usize> = released_lines.iter().map(|(_, place, ..)| *place).collect();
    assert_eq!(releasing_members.len(), 5, "each its own: {released_lines:?}");
    assert!(released_lines[0].3 > 10, "not at the first check: {released_lines:?}");
}

/// A member stores the fencing token of an action on disk before it carries the action out, and refuses lower tokens even after its
/// own restart. Without a disk it refuses them while it runs.
#[test]
fn stale_fencing_tokens_are_refused_after_a_restart() {
    let duties = DutyPlan { voters: vec![2, 3, 4], lease_duration: ms(400) };
    let mut net = TestNetwork::new(5, true, |plan| plan.duties = Some(duties));
    let now = net.now;
    net.member(0).core_up(now, &server());
    net.run(ms(100));
    net.found.clear();
    let orders_carried_out = |net: &TestNetwork| {
        net.found.iter().filter(|(_, found)| matches!(found, MemberEvent::CarryOutTablesOrder(..))).count()
    };
    // Member 4 sends member 0 an order, as the holder of the duty.
    let send_order = |net: &mut TestNetwork, fencing_token: u64, serial: u64| {
        let (link, _) =
            net.pairs.iter().find(|((at, _), (other, _))| (*at, *other) == (0, 4)).expect("linked");
        let link = link.1;
        let act = DutyAction { duty: 2, fencing_token, member: 4, incarnation: 7 };
        let order = TablesOrder::Load { name: Arc::from("new") };
        net.deliver(0, link, Frame::PeerMessage(PeerMessage::Publish { action: act, serial, order }));
        net.settle();
    };
    net.slow.insert(0);
    send_order(&mut net, 1_000_000, 1 << 40);
    assert_eq!(orders_carried_out(&net), 0, "not before the number is on disk");
    net.finish_disk_writes(0);
    assert_eq!(orders_carried_out(&net), 1);
    send_order(&mut net, 999_999, 1 << 41);
    assert_eq!(orders_carried_out(&net), 1, "a lower number");
    net.kill(0);
    net.run(ms(100));
    net.start(0);
    net.run(ms(2000));
    net.found.clear();
    send_order(&mut net, 999_999, 1 << 42);
    assert_eq!(orders_carried_out(&net), 0, "after its restart");
    send_order(&mut net, 1_000_001, 1 << 43);
    assert_eq!(orders_carried_out(&net), 1);
}

/// Size of a fleet in which not all members are neighbours of each other.
const LARGE_FLEET_MEMBERS: usize = 24;

impl TestNetwork {
    fn neighbours(&self, place: usize) -> Vec<usize> {
        let overlay = self.plan.overlay();
        overlay.neighbours(place as u16).iter().copied().map(usize::from).collect()
    }

    /// The first member from `from` on that is no neighbour of this one.
    fn next_non_neighbour(&self, place: usize, from: usize) -> usize {
        let neighbours = self.neighbours(place);
        (from..self.members.len()).find(|other| *other != place && !neighbours.contains(other)).expect("one")
    }

    fn link(&self, from: usize, to: usize) -> Option<u64> {
        let found = self.pairs.iter().find(|((at, _), (other, _))| (*at, *other) == (from, to));
        found.map(|((_, link), _)| *link)
    }

    /// A dialogue of which `holder` holds a replica when `owner` owns it.
    fn dialogue_held_by(&self, owner: usize, holder: usize) -> DialogueId {
        let group = self.plan.group();
        let holds = |id: &DialogueId| {
            group
                .holders(lotussaddle_replica::fingerprint(id), owner as u16)
                .any(|place| usize::from(place) == holder)
        };
        (0..).map(|n| id(&format!("d{n}"))).find(holds).expect("one of many")
    }
}

#[test]
fn a_dead_link_without_heartbeats_is_detected_when_it_is_used() {
    let mut net = TestNetwork::new(LARGE_FLEET_MEMBERS, false, |plan| plan.compare_interval = ms(1_000_000));
    net.run(ms(5000));
    let used = net.next_non_neighbour(0, 1);
    let idle = net.next_non_neighbour(0, used + 1);
    let links = [net.link(0, used), net.link(0, idle)];
    net.blocked_pairs = [used, idle].into_iter().flat_map(|other| [(0, other), (other, 0)]).collect();
    net.run(ms(8000));
    assert_eq!([net.link(0, used), net.link(0, idle)], links, "nothing is sent over an idle link");
    assert!(net.held.is_empty(), "{}", net.held.len());
    let d = net.dialogue_held_by(0, used);
    net.plan_launch(0, &d, ms(1000));
    net.run(ms(3500));
    assert_eq!(net.link(0, used), None, "no answer came");
    assert_eq!(net.link(0, idle), links[1]);
    assert!(!net.member(0).view().is_gone(used as u16), "others receive its frames");
    net.heal_partition();
    net.run(ms(4000));
    assert!(net.link(0, used).is_some(), "a new link was opened");
    assert!(
        net.member(used).replica_table().get(&d).is_some(),
        "the pending write arrives over the new link"
    );
}

#[test]
fn a_new_link_replaces_a_dead_one_eventually() {
    let mut net = TestNetwork::new(LARGE_FLEET_MEMBERS, false, |plan| plan.compare_interval = ms(1_000_000));
    net.run(ms(3000));
    let other = net.next_non_neighbour(0, 1);
    // Member 0, which opens the links to all others, does not notice the loss of this one.
    let old = net.link(0, other).expect("linked");
    let (_, far) = net.pairs.remove(&(0, old)).expect("linked");
    net.pairs.remove(&(other, far));
    net.kill(other);
    net.run(ms(500));
    net.start(other);
    net.run(ms(5000));
    assert!(net.link(0, other).is_some_and(|link| link != old));
    assert!(net.member(other).caught_up() && !net.ends[0].open.contains(&old));
}

#[test]
fn a_disk_older_than_neighbours_know_is_discarded_in_a_large_fleet() {
    let mut net = TestNetwork::new(LARGE_FLEET_MEMBERS, true, |_| ());
    let member = 7;
    net.run(ms(1000));
    let d = net.dialogue_held_by(0, member);
    net.stands(0, &d);
    let older = net.ends[member].disk.as_ref().expect("it has one").len();
    // It acknowledges nothing after that: its neighbours learn of these writes from its heartbeats.
    (0..5).for_each(|n| net.stands(member, &id(&format!("own-{n}"))));
    net.run(ms(1000));
    net.kill(member);
    net.ends[member].disk.as_mut().expect("it has one").truncate(older);
    net.run(ms(300));
    net.start(member);
    net.run(ms(3000));
    let logs = &net.ends[member].logs;
    assert!(logs.iter().any(|line| line.contains("replicas are incomplete and are dropped")), "{logs:#?}");
    assert!(
        net.member(member).caught_up() && net.member(member).replica_table().get(&d).is_some(),
        "it received the replicas again"
    );
}

#[test]
fn a_disk_that_no_neighbour_reports_does_not_count_as_complete() {
    let mut net = TestNetwork::new(LARGE_FLEET_MEMBERS, true, |_| ());
    let member = 7;
    net.run(ms(1000));
    let d = net.dialogue_held_by(0, member);
    net.stands(0, &d);
    net.run(ms(500));
    net.kill(member);
    let neighbours = net.neighbours(member);
    net.blocked_pairs = neighbours.iter().flat_map(|other| [(member, *other), (*other, member)]).collect();
    net.run(ms(200));
    net.start(member);
    net.run(ms(900));
    assert_eq!(
        net.member(member).incarnation(),
        0,
        "it waits for its neighbours, although a majority has reported"
    );
    net.run(ms(1200));
    assert!(net.member(member).incarnation() > 0, "but only for a limited time");
    let logs = &net.ends[member].logs;
    assert!(logs.iter().any(|line| line.contains("replicas are incomplete and are dropped")), "{logs:#?}");
}

#[test]
fn an_invalid_membership_message_closes_its_link() {
    let mut net = TestNetwork::new(LARGE_FLEET_MEMBERS, false, |_| ());
    let heartbeat = vec![1, 0, 0, 0, 0, 0, 0, 0, 0];
    let neighbour = net.neighbours(0)[0];
    let non_neighbour = net.next_non_neighbour(0, 1);
    for (from, message, ends) in [
        (neighbour, heartbeat.clone(), false),
        (non_neighbour, heartbeat, true),
        (neighbour, vec![99], true),
        (neighbour, Vec::new(), true),
        (neighbour, vec![2, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1], true),
    ] {
        let link = net.link(0, from).expect("linked");
        net.deliver(0, link, Frame::PeerMessage(PeerMessage::Membership { message }));
        net.settle();
        assert_eq!(!net.ends[0].open.contains(&link), ends, "from {from}");
        net.run(ms(3000));
    }
}
