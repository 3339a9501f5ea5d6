//! Records of a fleet, doctored to break one of its rules in one way each: the judge finds that, and only that.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_judge::*;
use lotussaddle_trunk::*;

mod common;

const CALLER: u64 = 1;
const LIST: u64 = 2;
const A: u64 = 10;
const PEER: u64 = 20;

fn brief(strictly: bool) -> Brief {
    let (before_launch, before_answer, stores, line_within_s) = (1, 1, true, 3.0);
    let fleet = FleetBrief { before_launch, before_answer, strictly, stores, line_within_s, members: 0 };
    Brief { fleet: Some(fleet), ..common::brief() }
}

fn id(name: &str) -> DialogueId {
    DialogueId(Arc::from(name))
}

fn a() -> ServerId {
    ServerId(Arc::from("a"))
}

/// A record being written, in milliseconds: edge proxies 0 and 1, each with callers, server a, the list, and a link to the other.
struct Script {
    lines: Vec<Line>,
    /// Writes that each has sent to the other.
    writes: [u64; 2],
    strictly: bool,
}

impl Script {
    fn new() -> Self {
        let mut script = Self { lines: Vec::new(), writes: [0; 2], strictly: true };
        for edge in 0..2 {
            script.begin(0, edge);
        }
        script
    }

    fn put(&mut self, at: u64, what: What) {
        self.lines.push(Line { at: at * 1000, what });
    }

    fn begin(&mut self, at: u64, edge: usize) {
        self.put(at, What::Started { edge });
        let other = format!("edge-{}", 1 - edge);
        for (link, far) in [(CALLER, "callers"), (LIST, "list"), (A, "a"), (PEER, &*other)] {
            self.put(at, What::Up { edge, link: link + at * 100, far: far.into() });
        }
        let entry = Entry {
            server: a(),
            number: ServerNumber(0),
            address: Arc::from("x"),
            state: ServerState::Active,
            incarnation: 0,
            age: Duration::ZERO,
        };
        let list = Frame::List { is_complete: true, entries: vec![entry] };
        let message = list.into();
        self.put(at, What::Passed { edge, link: LIST + at * 100, way: Way::In, message });
    }

    fn passed(mut self, at: u64, edge: usize, link: u64, way: Way, frame: Frame) -> Self {
        self.put(at, What::Passed { edge, link, way, message: frame.into() });
        self
    }

    fn dial(self, at: u64, edge: usize, repeat: bool) -> Self {
        let dial = Dial {
            dialogue: id("d"),
            key: None,
            product: 0,
            tenant: None,
            first_choice: ServerNumber(0),
            width: 1.0,
            time_left: Duration::from_millis(3000),
            is_retry: false,
            redialled_after_cut: false,
            is_repeat: repeat,
            sent_at: None,
            try_of: None,
            dialled: None,
        };
        self.passed(at, edge, CALLER, Way::In, Frame::Dial(dial))
    }

    /// An owner's write goes to the other one; acknowledged where it says so.
    fn write(mut self, at: u64, edge: usize, reached: Progress, answer: Option<Answer>, kept: bool) -> Self {
        self.writes[edge] += 1;
        let first = self.writes[edge];
        let owner = Owner { round: edge as u32, member: edge as u16, incarnation: 1 };
        let (bar, lasts) = (Duration::ZERO, Duration::from_secs(60));
        let parts = vec![OwnerRecord {
            owner,
            version: first as u32,
            progress: reached,
            blocked_for: bar,
            expires_in: lasts,
        }];
        let answers = answer.into_iter().map(|answer| RecordedAnswer { owner, answer }).collect();
        let copies = vec![ReplicaUpdate { dialogue: id("d"), owner_records: parts, answers }];
        let copies = Frame::PeerMessage(PeerMessage::Replicas { incarnation: 1, first, replicas: copies });
        let script = self.passed(at, edge, PEER, Way::Out, copies.clone());
        let script = script.passed(at, 1 - edge, PEER, Way::In, copies);
        if !kept {
            return script;
        }
        let kept = Frame::PeerMessage(PeerMessage::Acknowledge {
            incarnation: 1,
            up_to: first,
            saved: 0,
            replaced: Vec::new(),
        });
        let script = script.passed(at, 1 - edge, PEER, Way::Out, kept.clone());
        script.passed(at, edge, PEER, Way::In, kept)
    }

    fn launch_with(self, at: u64, edge: usize, launch: u32, kept: bool) -> Self {
        let reached = Progress::Launched { server: a(), launch: LaunchNumber(launch) };
        let script = self.write(at, edge, reached, None, kept);
        let launch = Launch {
            dialogue: id("d"),
            launch: LaunchNumber(launch),
            key: None,
            product: 0,
            width: 1.0,
            time_left: Duration::from_millis(500),
            number: None,
            routing: None,
            owner: Some(Owner { round: edge as u32, member: edge as u16, incarnation: 1 }),
        };
        script.passed(at, edge, A, Way::Out, Frame::Launch(launch))
    }

    fn launch(self, at: u64, edge: usize) -> Self {
        self.launch_with(at, edge, 0, true)
    }

    fn broken_off(self, at: u64, edge: usize) -> Self {
        let report = LoadReport::default();
        self.passed(
            at,
            edge,
            A,
            Way::In,
            Frame::BrokenOff { dialogue: id("d"), launch: LaunchNumber(0), report },
        )
    }

    fn stood(self, at: u64, edge: usize) -> Self {
        let report = LoadReport::default();
        self.passed(at, edge, A, Way::In, Frame::Stood { dialogue: id("d"), launch: LaunchNumber(0), report })
    }

    fn stands_with(self, at: u64, edge: usize, kept: bool) -> Self {
        let reached = Progress::Stands { server: a(), launch: LaunchNumber(0) };
        let script = self.write(at, edge, reached, Some(Answer::Stands { server: a() }), kept);
        script.passed(at, edge, CALLER, Way::Out, Frame::Stands { dialogue: id("d"), server: a() })
    }

    fn stands(self, at: u64, edge: usize) -> Self {
        self.stands_with(at, edge, true)
    }

    fn failed(self, at: u64, edge: usize) -> Self {
        let script = self.write(at, edge, Progress::Ended, Some(Answer::Failed), true);
        script.passed(at, edge, CALLER, Way::Out, Frame::Failed { dialogue: id("d") })
    }

    fn hang_up(self, at: u64, edge: usize) -> Self {
        let script = self.passed(at, edge, CALLER, Way::In, Frame::HangUp { dialogue: id("d") });
        let release = Frame::Release { dialogue: id("d"), launch: LaunchNumber(0) };
        script.passed(at, edge, A, Way::Out, release)
    }

    fn kill(mut self, at: u64, edge: usize) -> Self {
        self.put(at, What::Killed { edge });
        self
    }

    fn adopted(self, at: u64, edge: usize) -> Self {
        let owner = Owner { round: 1, member: edge as u16, incarnation: 1 };
        let adopted = AuditMessage::Adopted { dialogue: id("d"), owner, launch: Some(0), by: owner };
        self.passed(at, edge, A, Way::In, Frame::AuditMessage(adopted))
    }

    fn loose(mut self) -> Self {
        self.strictly = false;
        self
    }

    fn found(mut self) -> Vec<(Rule, String)> {
        self.put(20_000, What::Note { text: "end".into() });
        let mut judge = Judge::new(brief(self.strictly));
        self.lines.iter().for_each(|line| judge.line(line));
        judge.finish().breaks.into_iter().map(|b| (b.rule, b.what)).collect()
    }
}

fn only(found: &[(Rule, String)], rule: Rule, what: &str) {
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].0 == rule && found[0].1.starts_with(what), "{found:?}");
}

/// Edge proxy 0 has answered that it stands, and is killed.
fn stood_and_killed() -> Script {
    Script::new().dial(100, 0, false).launch(101, 0).stood(120, 0).stands(121, 0).kill(1000, 0)
}

/// Its launch is out when it is killed.
fn launched_and_killed() -> Script {
    Script::new().dial(100, 0, false).launch(101, 0).kill(150, 0)
}

#[test]
fn a_dialogue_known_elsewhere_and_taken_over_is_found_good() {
    let script = stood_and_killed()
        .dial(1200, 1, true)
        .adopted(1201, 1)
        .passed(1202, 1, CALLER, Way::Out, Frame::Stands { dialogue: id("d"), server: a() })
        .hang_up(2000, 1);
    assert_eq!(script.found(), []);
    let script = launched_and_killed().dial(200, 1, true).launch(950, 1).stood(970, 1).stands(971, 1);
    assert_eq!(script.hang_up(1500, 1).found(), []);
}

#[test]
fn an_other_answer_than_was_given() {
    let found = stood_and_killed().dial(1200, 1, true).adopted(1210, 1).failed(1220, 1).found();
    only(&found, Rule::FleetAnswer, "answered Failed, and edge-0 had answered Stands");
}

#[test]
fn a_launch_after_an_answer() {
    let script = stood_and_killed().dial(1200, 1, true).launch(1800, 1).stood(1810, 1).stands(1811, 1);
    let found = script.hang_up(2000, 1).found();
    only(&found, Rule::FleetAnswer, "launched though edge-0 had answered Stands");
}

#[test]
fn two_launches_out_at_two_edge_proxies() {
    let script = Script::new().dial(100, 0, false).launch(101, 0).dial(200, 1, true).launch(210, 1);
    let found = script.broken_off(220, 1).failed(230, 1).kill(240, 0).found();
    only(&found, Rule::FleetLaunch, "launched while edge-0 has a launch of it out");
}

#[test]
fn a_launch_that_was_not_acknowledged_where_that_is_asked_for() {
    let script = |script: Script| {
        script.dial(100, 0, false).launch_with(101, 0, 0, false).broken_off(120, 0).failed(130, 0)
    };
    only(
        &script(Script::new()).found(),
        Rule::FleetLaunch,
        "launched without the acknowledgements asked for",
    );
    assert_eq!(script(Script::new().loose()).found(), []);
}

#[test]
fn a_relaunch_within_the_release_of_another_s() {
    let script = launched_and_killed().dial(160, 1, true).launch(300, 1).broken_off(320, 1).failed(330, 1);
    only(&script.found(), Rule::FleetRelease, "launched 0.150 s after edge-0's in doubt");
}

#[test]
fn a_line_that_nobody_comes_for() {
    only(&stood_and_killed().found(), Rule::FleetLine, "its line is in use for nobody");
    assert_eq!(stood_and_killed().adopted(1500, 1).found(), []);
    // Not past its time yet.
    assert_eq!(
        Script::new()
            .dial(17_000, 0, false)
            .launch(17_001, 0)
            .stood(17_020, 0)
            .stands(17_021, 0)
            .kill(18_000, 0)
            .found(),
        []
    );
}

/// What was never acknowledged binds nobody else: the caller may hear another answer, and that is counted, not found.
#[test]
fn what_was_not_acknowledged_is_not_promised() {
    let script = Script::new().dial(100, 0, false).launch(101, 0).stood(120, 0).stands_with(121, 0, false);
    let script = script.kill(1000, 0).dial(1200, 1, true).launch(1900, 1).stood(1910, 1).stands(1911, 1);
    assert_eq!(script.hang_up(2000, 1).found(), []);
}

/// Acts of a duty that a core server did, by whom and under which number, a tenth of a second apart; those with no answer were refused.
fn acts(acts: &[(u16, u64, bool)]) -> Vec<(Rule, String)> {
    let mut script = Script::new();
    for (n, (member, number, done)) in acts.iter().enumerate() {
        let (at, edge) = (1000 + n as u64 * 100, usize::from(*member));
        let owner = Owner { round: 1, member: *member, incarnation: 1 };
        let act = Some(DutyAction { duty: 0, fencing_token: *number, member: *member, incarnation: 1 });
        let adopt = AuditMessage::Adopt { dialogue: id("d"), owner, action: act };
        script = script.passed(at, edge, A, Way::Out, Frame::AuditMessage(adopt));
        let answer = match done {
            true => AuditMessage::Adopted { dialogue: id("d"), owner, launch: None, by: owner },
            false => AuditMessage::Fenced { dialogue: id("d"), duty: 0, highest: 99 },
        };
        script = script.passed(at + 5, edge, A, Way::In, Frame::AuditMessage(answer));
    }
    script.found()
}

#[test]
fn acts_of_a_duty_under_numbers_that_go_down_or_are_two_members() {
    assert_eq!(acts(&[(0, 5, true), (0, 5, true), (1, 6, true), (0, 5, false), (1, 6, true)]), []);
    only(
        &acts(&[(0, 5, true), (1, 6, true), (0, 5, true)]),
        Rule::FleetDuty,
        "number 5 of duty 0 done after number 6",
    );
    only(
        &acts(&[(0, 5, true), (1, 5, true)]),
        Rule::FleetDuty,
        "number 5 of duty 0 is edge-0's and edge-1's",
    );
}

/// Where nothing is awaited, nobody but its own edge proxy has to know of it.
#[test]
fn what_nothing_waits_for_is_not_promised() {
    let mut script = Script::new().dial(100, 0, false).launch(101, 0).stood(120, 0).stands(121, 0);
    script = script.kill(1000, 0).dial(1200, 1, true).launch(1900, 1).stood(1910, 1).stands(1911, 1);
    let script = script.hang_up(2000, 1);
    let none = FleetBrief { before_launch: 0, before_answer: 0, ..brief(false).fleet.unwrap() };
    let mut judge = Judge::new(Brief { fleet: Some(none), ..brief(false) });
    script.lines.iter().for_each(|line| judge.line(line));
    let found = judge.finish().breaks;
    assert!(found.iter().all(|found| found.rule != Rule::FleetAnswer), "{found:?}");
}
