//! Edge cases of one edge proxy: each test is a script of inputs and a trace of the messages and effects that follow.
//! Times are in milliseconds.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use insta::assert_snapshot;
use lotussaddle::interface::*;
use lotussaddle_edge::{DialogueStep, Edge, EdgeEffects, Limits, LinkId, LogTopic, PriorOutcome};
use lotussaddle_trunk::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn id(name: &str) -> DialogueId {
    DialogueId(Arc::from(name))
}

#[derive(Default)]
struct Trace {
    text: String,
    now: u64,
    links: u64,
    /// Links opened by the edge proxy, with their addresses, newest last.
    opened: Vec<(LinkId, String)>,
    closed: BTreeSet<LinkId>,
    full_links: BTreeSet<LinkId>,
    is_muted: bool,
    /// Number of the last record; `None` if nothing is recorded.
    last_record: Option<u64>,
    /// Records all steps, not only answers, and looks up repeated dials.
    records_all_steps: bool,
}

impl Trace {
    fn put(&mut self, line: String) {
        if !self.is_muted {
            let _ = writeln!(self.text, "{:>6} {line}", self.now);
        }
    }
}

impl EdgeEffects for Trace {
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        if self.closed.contains(&link) || self.full_links.contains(&link) {
            return false;
        }
        let extra = if message.extra.is_empty() { String::new() } else { format!(" {:?}", message.extra) };
        let line = match &message.frame {
            Frame::Hello(_) => return true,
            Frame::Launch(l) => format!("launch {} no {} for {:?}", l.dialogue.0, l.launch.0, l.time_left),
            Frame::Cancel { dialogue, launch } => format!("cancel {} no {}", dialogue.0, launch.0),
            Frame::Release { dialogue, launch } => format!("release {} no {}", dialogue.0, launch.0),
            Frame::Stands { dialogue, server } => format!("{} stands at {}", dialogue.0, server.0),
            Frame::Refused { dialogue, .. } => format!("{} refused", dialogue.0),
            Frame::Failed { dialogue } => format!("{} failed", dialogue.0),
            Frame::Declined { dialogue, why, .. } => format!("{} declined: {why:?}", dialogue.0),
            Frame::Over { dialogue, end } => format!("{} over: {end:?}", dialogue.0),
            other => format!("{other:?}"),
        };
        self.put(format!("to {}: {line}{extra}", link.0));
        true
    }

    fn connect(&mut self, address: &str) -> LinkId {
        self.links += 1;
        let link = LinkId(self.links);
        self.opened.push((link, address.into()));
        self.put(format!("connect to {address}: {}", link.0));
        link
    }

    fn close(&mut self, link: LinkId, why: &str) {
        self.closed.insert(link);
        self.put(format!("close {}: {why}", link.0));
    }

    fn record(&mut self, dialogue: &DialogueId, step: DialogueStep) -> Option<u64> {
        if !self.records_all_steps && !matches!(step, DialogueStep::Answer { .. }) {
            return None;
        }
        let number = self.last_record? + 1;
        self.last_record = Some(number);
        let what = match step {
            DialogueStep::Answer { .. } => String::new(),
            DialogueStep::Launch { server, launch, until } => {
                format!(" to {} no {} until {}", server.0, launch.0, until.as_millis())
            }
            other => format!(" {other:?}"),
        };
        self.put(format!("record {number}: {}{what}", dialogue.0));
        Some(number)
    }

    fn look_up_dialogue(&mut self, dialogue: &DialogueId, _: Duration) -> bool {
        self.put(format!("look up {}", dialogue.0));
        self.records_all_steps
    }

    fn log(&mut self, topic: LogTopic, line: &str) {
        if topic == LogTopic::Mode {
            self.put(format!("log: {line}"));
        }
    }
}

struct Bench {
    edge: Edge,
    trace: Trace,
}

fn plan() -> RoutePlan {
    RoutePlan {
        proxies: 4,
        products: vec![Product {
            promised: ms(1500),
            mean_duration: ms(8000),
            redial_window: ms(9000),
            gain: 1.0,
            late_share: 0.25,
            servers: None,
        }],
        tenants: vec![],
        over_quota_share: 0.2,
        tick: ms(5),
        release_time: ms(300),
        resend_after: Duration::ZERO,
        max_launches: 4,
        callers_mark_retries: true,
        may_cancel: true,
        max_retry_after: ms(2000),
        cold_start_share: 0.4,
        warm_up_time: ms(10_000),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
    }
}

fn hello(role: Role, name: &str) -> Frame {
    Frame::Hello(Hello::new(role, Arc::from(name)))
}

fn entry(name: &str, address: &str, state: ServerState, incarnation: u64) -> Entry {
    let number = ServerNumber(i64::from(name.as_bytes()[0] - b'a'));
    let age = if incarnation > 0 { ms(50) } else { Duration::ZERO };
    Entry { server: ServerId(Arc::from(name)), number, address: Arc::from(address), state, incarnation, age }
}

fn dial(name: &str, first_choice: i64, time_left: u64) -> Dial {
    Dial {
        dialogue: id(name),
        key: Some(DialledKey(Arc::from(name))),
        product: 0,
        tenant: None,
        first_choice: ServerNumber(first_choice),
        width: 1.0,
        time_left: ms(time_left),
        is_retry: false,
        redialled_after_cut: false,
        is_repeat: false,
        sent_at: None,
        try_of: None,
        dialled: None,
    }
}

impl Bench {
    fn without_links(limits: Limits) -> Self {
        Self { edge: Edge::new("edge-0", "list", plan(), 7, limits), trace: Trace::default() }
    }

    /// With a caller on link 100, and the named servers listed and connected.
    fn new(servers: &str) -> Self {
        let mut bench = Self::without_links(Limits::default());
        bench.trace.is_muted = true;
        bench.at(0);
        bench.list_up(servers);
        bench.caller(100, "gateway");
        bench.at(10);
        bench.trace.is_muted = false;
        bench
    }

    fn list_up(&mut self, servers: &str) -> &mut Self {
        let list = self.link_to("list");
        self.edge.link_connected(ms(self.trace.now), list, &mut self.trace);
        self.receives(list, hello(Role::List, "list"));
        let entries = servers.chars().map(|c| c.to_string());
        let entries = entries.map(|name| entry(&name, &name, ServerState::Active, 0)).collect();
        self.receives(list, Frame::List { is_complete: true, entries });
        for name in servers.chars() {
            self.core_up(&name.to_string());
        }
        self
    }

    fn core_up(&mut self, name: &str) -> &mut Self {
        let link = self.link_to(name);
        self.edge.link_connected(ms(self.trace.now), link, &mut self.trace);
        self.receives(link, hello(Role::Core, name))
    }

    fn link_to(&self, address: &str) -> LinkId {
        self.trace.opened.iter().rev().find(|(_, known)| known == address).expect("it was opened").0
    }

    fn caller(&mut self, link: u64, name: &str) -> &mut Self {
        self.edge.link_opened(ms(self.trace.now), LinkId(link), &mut self.trace);
        self.receives(LinkId(link), hello(Role::Caller, name))
    }

    /// Advances the time and fires each timer when due.
    fn at(&mut self, time: u64) -> &mut Self {
        while self.edge.next_due() <= ms(time) {
            let due = self.edge.next_due().max(ms(self.trace.now));
            self.trace.now = due.as_millis() as u64;
            self.edge.timer_fired(due, &mut self.trace);
        }
        self.trace.now = time;
        self
    }

    /// Advances the time without firing timers, as in a stall of the decision thread.
    fn stalls_until(&mut self, time: u64) -> &mut Self {
        self.trace.now = time;
        self
    }

    fn receives(&mut self, link: LinkId, frame: Frame) -> &mut Self {
        self.edge.frame_received(ms(self.trace.now), link, frame.into(), &mut self.trace);
        self
    }

    fn dials(&mut self, link: u64, name: &str, first_choice: i64) -> &mut Self {
        self.receives(LinkId(link), Frame::Dial(dial(name, first_choice, 3000)))
    }

    fn hangs_up(&mut self, link: u64, name: &str) -> &mut Self {
        self.receives(LinkId(link), Frame::HangUp { dialogue: id(name) })
    }

    fn core_sends(&mut self, server: &str, frame: Frame) -> &mut Self {
        let link = self.link_to(server);
        self.receives(link, frame)
    }

    fn stood(&mut self, server: &str, name: &str, launch: u32) -> &mut Self {
        let report = LoadReport::default();
        self.core_sends(server, Frame::Stood { dialogue: id(name), launch: LaunchNumber(launch), report })
    }

    fn ended(&mut self, server: &str, name: &str, launch: u32, end: DialogueEnd) -> &mut Self {
        let report = LoadReport::default();
        self.core_sends(
            server,
            Frame::Ended { dialogue: id(name), launch: LaunchNumber(launch), end, report },
        )
    }

    fn loses_link(&mut self, link: LinkId) -> &mut Self {
        self.edge.link_closed(ms(self.trace.now), link, "closed by its peer", &mut self.trace);
        self
    }

    fn list_sends(&mut self, is_complete: bool, entries: Vec<Entry>) -> &mut Self {
        let list = self.link_to("list");
        self.receives(list, Frame::List { is_complete, entries })
    }

    fn trace(&self) -> &str {
        &self.trace.text
    }
}

#[test]
fn a_dialogue_from_dial_to_release() {
    let mut b = Bench::new("ab");
    b.dials(100, "d1", 1).at(40).stood("b", "d1", 0).at(900).hangs_up(100, "d1").at(910);
    b.ended("b", "d1", 0, DialogueEnd::Released).at(1500);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.sizes().0, 0, "the dialogue is no longer held");
}

#[test]
fn the_answer_crosses_the_cancel() {
    let mut b = Bench::new("ab");
    // The launch at a is cancelled as lost while its answer is in transit.
    b.dials(100, "d1", 0).at(20).dials(100, "d2", 0).at(60).stood("a", "d2", 0).at(800);
    b.stood("a", "d1", 0).at(1110);
    assert_snapshot!(b.trace());
}

#[test]
fn a_caller_hangs_up_while_its_launch_is_in_progress() {
    let mut b = Bench::new("a");
    b.dials(100, "d1", 0).at(30).hangs_up(100, "d1").at(35).stood("a", "d1", 0).at(40);
    b.ended("a", "d1", 0, DialogueEnd::Released).at(2000);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.sizes().0, 0);
}

#[test]
fn a_caller_hangs_up_while_its_answer_is_written() {
    let mut b = Bench::new("a");
    b.dials(100, "d1", 0).at(30).stood("a", "d1", 0).hangs_up(100, "d1").hangs_up(100, "d1").at(40);
    // The server never reports the end of the dialogue; the wait for it is limited.
    b.at(6000);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.sizes().0, 0);
}

#[test]
fn a_link_closes_between_launch_and_answer() {
    let mut b = Bench::new("ab");
    let a = b.link_to("a");
    b.dials(100, "d1", 0).at(30).loses_link(a).at(320).at(331).stood("b", "d1", 1).at(400);
    assert_snapshot!(b.trace());
}

#[test]
fn standing_dialogues_are_cut_with_their_link_and_their_callers_notified() {
    let mut b = Bench::new("ab");
    let a = b.link_to("a");
    b.dials(100, "d1", 0).dials(100, "d2", 0).at(30).stood("a", "d1", 0).at(50).loses_link(a).at(60);
    assert_snapshot!(b.trace());
}

#[test]
fn an_id_dialled_twice_on_one_link_is_one_dialogue() {
    let mut b = Bench::new("a");
    b.dials(100, "d1", 0).at(20).dials(100, "d1", 0).at(30).stood("a", "d1", 0).at(40).dials(100, "d1", 0);
    b.at(50).hangs_up(100, "d1").ended("a", "d1", 0, DialogueEnd::Released).at(60).dials(100, "d1", 0).at(70);
    assert_snapshot!(b.trace());
}

#[test]
fn an_id_dialled_on_two_links_is_answered_on_the_newest_of_its_caller() {
    let mut b = Bench::new("a");
    b.caller(101, "gateway").caller(102, "stranger").dials(100, "d1", 0).at(20);
    b.dials(102, "d1", 0).dials(101, "d1", 0).at(25).loses_link(LinkId(100)).at(30);
    b.hangs_up(102, "d1").stood("a", "d1", 0).at(40).dials(102, "d1", 0);
    assert_snapshot!(b.trace());
}

#[test]
fn a_server_leaves_the_list_with_launches_in_progress_and_its_id_is_reused() {
    let mut b = Bench::new("ab");
    let previous_link = b.link_to("a");
    b.dials(100, "d1", 0).at(20).list_sends(false, vec![entry("a", "a", ServerState::Gone, 0)]).at(30);
    b.dials(100, "d2", 0).at(40);
    // Another machine at another address reuses the id; launches on the old link end with that link.
    b.list_sends(false, vec![entry("a", "a2", ServerState::Active, 1)]).at(60);
    let new_link = b.link_to("a2");
    b.edge.link_connected(ms(60), new_link, &mut b.trace);
    b.receives(new_link, hello(Role::Core, "a")).at(200).dials(100, "d3", 0).at(210);
    b.receives(
        previous_link,
        Frame::Stood { dialogue: id("d1"), launch: LaunchNumber(0), report: LoadReport::default() },
    );
    b.at(220).loses_link(previous_link).at(230);
    assert_snapshot!(b.trace());
}

#[test]
fn inputs_queued_during_a_stall_beyond_the_cut_off() {
    let mut b = Bench::new("ab");
    b.dials(100, "d1", 0).dials(100, "d2", 1).at(20).stalls_until(4000);
    // Queued inputs are read first: an answer, a hang-up, and a dial whose time starts when it is read.
    b.stood("a", "d1", 0).hangs_up(100, "d1").dials(100, "d3", 0).at(4010);
    assert_snapshot!(b.trace());
}

#[test]
fn time_spent_in_a_socket_reduces_the_time_left_of_a_dial() {
    let mut b = Bench::new("a");
    b.edge.link_opened(ms(10), LinkId(101), &mut b.trace);
    // The caller's clock is 500 ms ahead.
    let hello = Hello { sent_at: Some(ms(509)), ..Hello::new(Role::Caller, Arc::from("x")) };
    b.receives(LinkId(101), Frame::Hello(hello));
    let sent = |name: &str, at: u64| Frame::Dial(Dial { sent_at: Some(ms(at)), ..dial(name, 0, 1000) });
    b.stalls_until(1500).receives(LinkId(101), sent("gone", 600)).receives(LinkId(101), sent("late", 1400));
    b.receives(LinkId(101), sent("fresh", 1999)).at(1600);
    assert_snapshot!(b.trace());
}

#[test]
fn a_caller_that_never_reads_loses_its_link_without_effect_on_others() {
    let mut b = Bench::new("a");
    b.caller(101, "deaf").dials(101, "d1", 0).dials(101, "d2", 0).at(20);
    b.trace.full_links.insert(LinkId(101));
    b.stood("a", "d1", 0).at(25).dials(100, "d3", 0).at(60).stood("a", "d3", 0).at(70);
    assert_snapshot!(b.trace());
}

#[test]
fn a_proxy_started_before_its_list_and_servers() {
    let mut b = Bench::without_links(Limits::default());
    b.at(0).caller(100, "gateway").dials(100, "d1", 0).at(100);
    let list = b.link_to("list");
    b.loses_link(list).at(400).list_up("a").at(420).stood("a", "d1", 0).at(430);
    assert_snapshot!(b.trace());
}

#[test]
fn a_launch_waits_for_its_link_and_is_unreachable_if_that_fails() {
    let mut b = Bench::new("ab");
    let (a, list) = (b.link_to("a"), b.link_to("list"));
    b.loses_link(a).at(20).dials(100, "d1", 0).at(25);
    let second_link = b.link_to("a");
    b.loses_link(second_link)
        .at(40)
        .stood("b", "d1", 1)
        .at(50)
        .dials(100, "d2", 0)
        .at(60)
        .hangs_up(100, "d2")
        .at(70);
    b.core_up("a").at(80).loses_link(list).at(90);
    assert_snapshot!(b.trace());
}

#[test]
fn an_unresponsive_link_is_pinged_and_then_closed() {
    let mut b = Bench::new("ab");
    b.dials(100, "d1", 0).at(30).stood("a", "d1", 0);
    for time in (500..6000).step_by(500) {
        // The caller, the list and b respond; a is half open.
        let (list, server) = (b.link_to("list"), b.link_to("b"));
        b.at(time);
        b.trace.is_muted = true;
        for link in [LinkId(100), list, server] {
            b.receives(link, Frame::Pong { nonce: 0 });
        }
        b.trace.is_muted = false;
    }
    assert_snapshot!(b.trace());
}

#[test]
fn an_unexpected_frame_closes_the_link() {
    let mut b = Bench::without_links(Limits::default());
    b.trace.is_muted = true;
    b.at(0);
    b.trace.is_muted = false;
    for (link, frames) in [
        (1, vec![Frame::Dial(dial("d1", 0, 1000))]),
        (2, vec![Frame::Hello(Hello { version: 9, ..Hello::new(Role::Caller, Arc::from("x")) })]),
        (3, vec![hello(Role::Core, "a")]),
        (4, vec![hello(Role::Caller, "x"), hello(Role::Caller, "x")]),
        (5, vec![hello(Role::Caller, "x"), Frame::Failed { dialogue: id("d1") }]),
        (6, vec![hello(Role::Caller, "x"), Frame::Bye { why: Arc::from("done") }]),
        (7, vec![]),
    ] {
        b.edge.link_opened(ms(b.trace.now), LinkId(200 + link), &mut b.trace);
        for frame in frames {
            b.receives(LinkId(200 + link), frame);
        }
    }
    b.at(2500);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.sizes().1, 1, "all callers' links are closed; the link to the list is being opened");
}

#[test]
fn invalid_dials_are_declined() {
    let mut b = Bench::new("a");
    let plain = dial("d", 0, 1000);
    let invalid = [
        Dial { dialogue: id("d1"), product: 1, ..plain.clone() },
        Dial { dialogue: id("d2"), tenant: Some(0), ..plain.clone() },
        Dial { dialogue: id("d3"), width: 0.0, ..plain.clone() },
        Dial { dialogue: id("d4"), width: 1e9, ..plain.clone() },
        Dial { dialogue: id("d5"), time_left: Duration::ZERO, ..plain.clone() },
    ];
    for dial in invalid {
        b.receives(LinkId(100), Frame::Dial(dial));
    }
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.counts().taken, 0);
}

#[test]
fn extra_fields_of_a_dial_are_sent_with_its_launch() {
    let mut b = Bench::new("a");
    let extra = vec![Extra { tag: 200, value: vec![1, 2, 3] }];
    let message = Message { frame: Frame::Dial(dial("d1", 0, 1000)), extra };
    b.edge.frame_received(ms(10), LinkId(100), message, &mut b.trace);
    assert_snapshot!(b.trace());
}

#[test]
fn ten_thousand_dialogues_on_one_link_end_with_it() {
    let mut b = Bench::new("a");
    b.trace.is_muted = true;
    for n in 0..10_000 {
        b.dials(100, &format!("d{n}"), 0).stood("a", &format!("d{n}"), 0);
        if n % 10 == 0 {
            let time = b.trace.now + 1;
            b.at(time);
        }
    }
    assert_eq!((b.edge.counts().taken, b.edge.sizes().0), (10_000, 10_000));
    let stood = b.edge.counts().stood;
    assert!(stood > 9_000, "{stood} of 10,000 stand");
    b.loses_link(LinkId(100));
    for n in 0..10_000 {
        b.ended("a", &format!("d{n}"), 0, DialogueEnd::Released);
    }
    assert_eq!(b.edge.sizes().0, 0);
}

#[test]
fn five_thousand_unidentified_links_do_not_affect_the_others() {
    let mut b = Bench::new("a");
    b.trace.is_muted = true;
    for n in 0..5000 {
        b.edge.link_opened(ms(b.trace.now), LinkId(1000 + n), &mut b.trace);
        assert!(
            b.edge.sizes().1 <= 3 + Limits::default().max_unidentified_links,
            "unidentified links are bounded at all times"
        );
    }
    b.trace.is_muted = false;
    b.dials(100, "d1", 0).at(20).stood("a", "d1", 0);
    b.trace.is_muted = true;
    b.at(2600);
    assert_eq!(b.edge.sizes().1, 3, "the links of the caller, the list and the server remain");
    assert_snapshot!(b.trace());
}

#[test]
fn dials_and_links_beyond_the_limits_are_declined() {
    let mut b = Bench::without_links(Limits {
        max_dialogues: 2,
        max_links: 2,
        max_queued_launches: 1,
        ..Limits::default()
    });
    b.trace.is_muted = true;
    b.at(0).list_up("a").caller(100, "x").caller(101, "y");
    b.trace.is_muted = false;
    b.edge.link_opened(ms(0), LinkId(102), &mut b.trace);
    b.dials(100, "d1", 0).dials(100, "d2", 0).dials(101, "d3", 0);
    assert_snapshot!(b.trace());
}

impl Bench {
    /// With a store that records answers with a delay; answers wait for it up to 20 ms.
    fn recording_answers(servers: &str) -> Self {
        let mut b = Self::without_links(Limits { answer_record_timeout: ms(20), ..Limits::default() });
        b.trace.is_muted = true;
        b.at(0).list_up(servers).caller(100, "gateway").at(10);
        (b.trace.is_muted, b.trace.last_record) = (false, Some(0));
        b
    }

    fn recorded(&mut self, number: u64) -> &mut Self {
        self.edge.step_recorded(ms(self.trace.now), number, &mut self.trace);
        self
    }
}

#[test]
fn an_answer_waits_for_its_record_for_a_limited_time() {
    let mut b = Bench::recording_answers("a");
    b.dials(100, "d1", 0).at(30).stood("a", "d1", 0).at(32).recorded(1).at(40).dials(100, "d2", 0);
    b.at(50).stood("a", "d2", 0).at(80).recorded(2).at(90);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.counts().unrecorded, 1);
}

#[test]
fn a_caller_that_hangs_up_while_its_answer_waits_receives_none() {
    let mut b = Bench::recording_answers("a");
    b.dials(100, "d1", 0).at(30).stood("a", "d1", 0).at(31).hangs_up(100, "d1").recorded(1).at(60);
    b.ended("a", "d1", 0, DialogueEnd::Released);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.sizes().0, 0);
}

#[test]
fn a_caller_is_notified_of_the_set_up_before_the_cut() {
    let mut b = Bench::recording_answers("a");
    let a = b.link_to("a");
    b.dials(100, "d1", 0).at(30).stood("a", "d1", 0).at(31).loses_link(a).recorded(1).at(60);
    assert_snapshot!(b.trace());
}

#[test]
fn a_late_answer_after_a_stall_does_not_wait_for_its_record() {
    let mut b = Bench::recording_answers("a");
    b.dials(100, "d1", 0).stalls_until(4000).dials(100, "d2", 0).at(4001);
    assert_snapshot!(b.trace());
}

#[test]
fn dialogues_answered_in_a_previous_incarnation_are_declined() {
    let mut b = Bench::recording_answers("a");
    b.edge.remember_concluded(&id("d1"));
    b.dials(100, "d1", 0).dials(100, "d2", 0);
    assert_snapshot!(b.trace());
}

/// While launches are on hold after a start, dials wait, are refused before their cut-off, or hang up without residue.
#[test]
fn a_proxy_on_hold_launches_nothing_and_answers_by_the_cut_off() {
    let mut b = Bench::new("ab");
    b.edge.hold_launches_until(ms(300));
    b.dials(100, "d1", 1).dials(100, "d2", 0);
    b.receives(LinkId(100), Frame::Dial(dial("d3", 0, 200)));
    b.at(100).hangs_up(100, "d2");
    assert_eq!(
        b.edge.sizes().0,
        1,
        "d1 is held; d3, whose cut-off comes before the end of the hold, was refused at once"
    );
    b.caller(101, "gateway").dials(101, "d1", 1);
    b.at(290).at(320).stood("b", "d1", 0).at(400);
    assert_snapshot!(b.trace());
}

/// The link to a previous incarnation of a server is closed after its last dialogue.
#[test]
fn the_link_to_a_previous_incarnation_is_closed() {
    let mut b = Bench::new("a");
    let previous_link = b.link_to("a");
    b.dials(100, "d1", 0).at(20).stood("a", "d1", 0);
    b.list_sends(false, vec![entry("a", "a2", ServerState::Active, 2)]).at(1000);
    assert!(!b.trace.closed.contains(&previous_link), "d1 stands there");
    b.receives(previous_link, Frame::Pong { nonce: 0 }).hangs_up(100, "d1");
    let (dialogue, launch, report) = (id("d1"), LaunchNumber(0), LoadReport::default());
    b.receives(previous_link, Frame::Ended { dialogue, launch, end: DialogueEnd::Released, report });
    b.at(1500);
    assert!(b.trace.closed.contains(&previous_link), "no dialogue is left on it");
}

/// The table of core servers is bounded, however many servers the list names.
#[test]
fn servers_beyond_the_maximum_are_ignored_and_logged() {
    let mut b = Bench::new("a");
    b.trace.is_muted = true;
    for part in 0..21 {
        let entries = (0..500).map(|n| entry(&format!("b{part}-{n}"), "x", ServerState::Active, 0)).collect();
        b.trace.is_muted = part < 20;
        b.list_sends(false, entries);
    }
    assert_eq!(b.edge.decisions().held_counts().1, 10_000);
    assert!(b.trace().contains("500 servers of the list ignored"), "{}", b.trace());
}

/// Callers and servers on links that the I/O driver guarantees, as where dialogues are not bound to a connection.
fn with_trusted_links() -> Bench {
    let mut b = Bench::without_links(Limits::default());
    b.trace.is_muted = true;
    b.at(0);
    let list = b.link_to("list");
    b.edge.link_trusted(ms(0), list, &mut b.trace);
    b.receives(
        list,
        Frame::List { is_complete: true, entries: vec![entry("a", "a", ServerState::Active, 0)] },
    );
    b.edge.link_opened(ms(0), LinkId(100), &mut b.trace);
    b.edge.link_trusted(ms(0), LinkId(100), &mut b.trace);
    b.trace.is_muted = false;
    b
}

#[test]
fn trusted_links_send_queued_launches_and_are_never_pinged_or_closed() {
    let mut b = with_trusted_links();
    b.dials(100, "d1", 0);
    assert_eq!(b.trace(), "", "the launch waits for the link");
    let link = b.link_to("a");
    b.edge.link_trusted(ms(0), link, &mut b.trace);
    b.stood("a", "d1", 0).at(20_000);
    let lines: Vec<&str> = b.trace().lines().filter(|line| line.contains("d1")).collect();
    assert_eq!(lines, ["     0 to 2: launch d1 no 0 for 1.5s", "     0 to 100: d1 stands at a"]);
    assert!(!b.trace().contains("Ping") && b.trace.closed.is_empty(), "{}", b.trace());
    assert_eq!(b.edge.dialogues_on_link(link), 1);
}

#[test]
fn a_launch_and_a_standing_dialogue_may_end_without_a_frame() {
    let mut b = with_trusted_links();
    let link = b.link_to("a");
    b.edge.link_trusted(ms(0), link, &mut b.trace);
    b.dials(100, "d1", 0).at(10);
    let report = LoadReport::default;
    let at = |b: &Bench| ms(b.trace.now);
    // The end of another launch, or on another link, has no effect.
    b.edge.launch_outcome_reported(
        at(&b),
        link,
        &id("d1"),
        LaunchNumber(7),
        Outcome::NotSent,
        report(),
        &mut b.trace,
    );
    b.edge.launch_outcome_reported(
        at(&b),
        LinkId(9),
        &id("d1"),
        LaunchNumber(0),
        Outcome::NotSent,
        report(),
        &mut b.trace,
    );
    assert_eq!(b.edge.counts().launches, 1);
    b.edge.launch_outcome_reported(
        at(&b),
        link,
        &id("d1"),
        LaunchNumber(0),
        Outcome::NotSent,
        report(),
        &mut b.trace,
    );
    assert_eq!(
        b.edge.counts().launches,
        2,
        "a launch that was not sent is followed by another at once: {}",
        b.trace()
    );
    assert!(
        !b.edge.standing_dialogue_ended(
            at(&b),
            link,
            &id("d1"),
            DialogueEnd::Released,
            report(),
            &mut b.trace
        ),
        "the dialogue does not stand"
    );
    b.stood("a", "d1", 1).at(500);
    assert!(!b.edge.standing_dialogue_ended(
        at(&b),
        LinkId(9),
        &id("d1"),
        DialogueEnd::Cut,
        report(),
        &mut b.trace
    ));
    assert!(b.edge.standing_dialogue_ended(
        at(&b),
        link,
        &id("d1"),
        DialogueEnd::Cut,
        report(),
        &mut b.trace
    ));
    assert!(b.trace().ends_with("to 100: d1 over: Cut\n"), "{}", b.trace());
    assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0));
}

#[test]
fn an_adopted_standing_dialogue_is_held_without_an_answer() {
    let mut b = with_trusted_links();
    let link = b.link_to("a");
    b.edge.link_trusted(ms(0), link, &mut b.trace);
    let adopt = |b: &mut Bench, name: &str, server: &str| {
        let server = ServerId(Arc::from(server));
        b.edge.adopt_standing(ms(b.trace.now), LinkId(100), &dial(name, 0, 1000), &server, &mut b.trace)
    };
    assert!(adopt(&mut b, "d1", "a") && adopt(&mut b, "d1", "a"));
    assert!(!adopt(&mut b, "d2", "z"), "the server is unknown");
    assert_eq!((b.trace(), b.edge.sizes().0, b.edge.dialogues_on_link(link)), ("", 1, 1));
    b.hangs_up(100, "d1");
    assert!(b.trace().contains("release d1"), "{}", b.trace());
    b.edge.standing_dialogue_ended(
        ms(b.trace.now),
        link,
        &id("d1"),
        DialogueEnd::Released,
        LoadReport::default(),
        &mut b.trace,
    );
    assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0));
    // When its server is lost, it is cut like any other dialogue.
    assert!(adopt(&mut b, "d3", "a"));
    b.loses_link(link);
    assert!(b.trace().ends_with("to 100: d3 over: Cut\n"), "{}", b.trace());
}

impl Bench {
    /// Every step is recorded; launches and answers wait for their records up to 20 ms.
    fn recording_all_steps(servers: &str, withhold_unrecorded_launches: bool) -> Self {
        let timeout = ms(20);
        let limits = Limits {
            answer_record_timeout: timeout,
            launch_record_timeout: timeout,
            withhold_unrecorded_launches,
            ..Limits::default()
        };
        let mut b = Self::without_links(limits);
        b.trace.is_muted = true;
        b.at(0).list_up(servers).caller(100, "gateway").at(10);
        (b.trace.is_muted, b.trace.last_record, b.trace.records_all_steps) = (false, Some(0), true);
        b
    }

    fn repeats(&mut self, link: u64, name: &str) -> &mut Self {
        self.receives(LinkId(link), Frame::Dial(Dial { is_repeat: true, ..dial(name, 0, 3000) }))
    }

    fn outcome_found(&mut self, name: &str, outcome: PriorOutcome) -> &mut Self {
        self.edge.prior_outcome_found(ms(self.trace.now), &id(name), outcome, &mut self.trace);
        self
    }

    fn replaced(&mut self, name: &str) -> &mut Self {
        self.edge.dialogue_replaced(ms(self.trace.now), &id(name), &mut self.trace);
        self
    }
}

#[test]
fn a_launch_waits_for_its_record_and_each_step_is_recorded() {
    let mut b = Bench::recording_all_steps("ab", false);
    b.dials(100, "d1", 0).at(15).recorded(2).at(30).stood("a", "d1", 0).recorded(3).at(40);
    b.hangs_up(100, "d1").ended("a", "d1", 0, DialogueEnd::Released);
    assert_snapshot!(b.trace());
    assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0));
}

#[test]
fn an_unrecorded_launch_is_sent_or_withheld_as_configured() {
    for withhold in [false, true] {
        let mut b = Bench::recording_all_steps("a", withhold);
        b.dials(100, "d1", 0).at(29);
        assert!(!b.trace().contains("launch d1"), "{}", b.trace());
        b.at(31).recorded(2);
        assert_eq!(b.trace().contains("launch d1 no 0"), !withhold, "{}", b.trace());
        let counts = b.edge.counts();
        assert_eq!(
            (counts.launched_unrecorded, counts.withheld),
            (u64::from(!withhold), u64::from(withhold))
        );
        if withhold {
            // The module receives the launch as unreachable, which blocks nothing, and launches again at once.
            assert!(b.trace().contains("record 4: d1 to a no 1"), "{}", b.trace());
            b.recorded(4);
            assert!(b.trace().contains("launch d1 no 1"), "{}", b.trace());
        }
    }
}

/// The server answered before it read the cancel: until then the launch was in progress, here and for the replicas.
#[test]
fn an_answer_that_crosses_its_cancel_restarts_the_release_time() {
    let mut b = Bench::recording_all_steps("a", false);
    b.dials(100, "d1", 0).at(15).recorded(2).at(30);
    let (link, timed_out_at) = (b.link_to("a"), b.trace.now);
    let report = LoadReport::default();
    b.edge.launch_outcome_reported(
        ms(timed_out_at),
        link,
        &id("d1"),
        LaunchNumber(0),
        Outcome::TimedOut,
        report,
        &mut b.trace,
    );
    let returned_launches =
        |b: &Bench| b.trace().matches("d1 LaunchReturned { outcome_unknown: true }").count();
    assert_eq!(returned_launches(&b), 1, "{}", b.trace());
    b.at(timed_out_at + 200).stood("a", "d1", 0);
    assert_eq!(returned_launches(&b), 2, "{}", b.trace());
    b.at(timed_out_at + 200 + 295);
    assert!(
        !b.trace().contains("d1 to a no 1"),
        "no launch before the release time has passed: {}",
        b.trace()
    );
    b.at(timed_out_at + 200 + 320);
    assert!(b.trace().contains("d1 to a no 1"), "{}", b.trace());
}

#[test]
fn a_launch_cancelled_while_it_waits_is_never_sent() {
    let mut b = Bench::recording_all_steps("a", false);
    b.dials(100, "d1", 0).at(12).hangs_up(100, "d1").recorded(2).at(60);
    assert!(
        !b.trace().contains("launch") && b.trace().contains("LaunchReturned { outcome_unknown: false }"),
        "{}",
        b.trace()
    );
    assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0));
    // Nor is it sent after a stall that outlasts its time-out.
    b.dials(100, "d2", 0).stalls_until(4000).recorded(5);
    assert!(!b.trace().contains("launch d2"), "{}", b.trace());
}

#[test]
fn a_repeated_dial_follows_the_prior_outcome() {
    let dialled = |outcome: PriorOutcome| {
        let mut b = Bench::recording_all_steps("a", false);
        b.repeats(100, "d1").at(20);
        assert!(b.trace().ends_with("look up d1\n"), "{}", b.trace());
        b.outcome_found("d1", outcome).outcome_found("d1", PriorOutcome::Concluded).at(25);
        b
    };
    let b = dialled(PriorOutcome::Free { launch_not_before: ms(5) });
    assert!(b.trace().contains("20 record 1: d1 to a no 0"), "{}", b.trace());
    let mut b = dialled(PriorOutcome::Free { launch_not_before: ms(220) });
    b.at(219);
    assert!(!b.trace().contains("record"), "{}", b.trace());
    b.at(221);
    assert!(b.trace().contains("220 record 1: d1 to a no 0"), "{}", b.trace());
    let mut b = dialled(PriorOutcome::Answered(Frame::Refused { dialogue: id("d1"), retry_after: None }));
    assert!(b.trace().ends_with("to 100: d1 refused\n"), "{}", b.trace());
    b.dials(100, "d1", 0);
    assert!(b.trace().ends_with("d1 declined: Concluded\n"), "{}", b.trace());
    let mut b = dialled(PriorOutcome::Stands { server: ServerId(Arc::from("a")), launch: LaunchNumber(3) });
    assert!(b.trace().ends_with("to 100: d1 stands at a\n"), "{}", b.trace());
    b.hangs_up(100, "d1").ended("a", "d1", 3, DialogueEnd::Released);
    assert!(b.trace().contains("release d1 no 3"), "{}", b.trace());
    assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0));
    let b = dialled(PriorOutcome::Concluded);
    assert!(b.trace().ends_with("d1 declined: Concluded\n"), "{}", b.trace());
    // The dial was declined, so it may be repeated, and its outcome is looked up again.
    let mut b = dialled(PriorOutcome::Unresolved { retry_after: Some(ms(500)) });
    assert!(b.trace().ends_with("d1 declined: Unsure\n"), "{}", b.trace());
    b.repeats(100, "d1");
    assert!(b.trace().ends_with("look up d1\n"), "{}", b.trace());
}

#[test]
fn a_repeated_dial_without_a_known_outcome_is_declined_at_its_cut_off() {
    let mut b = Bench::recording_all_steps("a", false);
    b.repeats(100, "d1").at(3009);
    assert!(!b.trace().contains("declined"));
    b.at(3011).outcome_found("d1", PriorOutcome::Free { launch_not_before: ms(0) }).at(3100);
    assert!(b.trace().ends_with("d1 declined: Unsure\n"), "{}", b.trace());
    // A hang-up during the look-up or while blocked leaves no residue.
    for is_blocked in [false, true] {
        b.repeats(100, "d2");
        if is_blocked {
            b.outcome_found("d2", PriorOutcome::Free { launch_not_before: ms(9000) });
        }
        let later = b.trace.now + 4000;
        b.hangs_up(100, "d2").at(later);
    }
    assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0));
    assert!(!b.trace().contains("launch"), "{}", b.trace());
}

#[test]
fn a_repeated_dial_without_a_look_up_is_an_ordinary_dial() {
    let mut b = Bench::new("a");
    b.repeats(100, "d1").at(20).stood("a", "d1", 0).hangs_up(100, "d1").ended(
        "a",
        "d1",
        0,
        DialogueEnd::Released,
    );
    b.at(30).repeats(100, "d1").dials(100, "d1", 0);
    assert!(b.trace().contains("launch d1 no 0") && b.trace().ends_with("d1 declined: Concluded\n"));
    assert_eq!(b.trace().matches("declined: Concluded").count(), 2, "{}", b.trace());
}

#[test]
fn a_dialogue_owned_by_another_proxy_is_dropped_and_its_caller_may_ask_again() {
    // Stages: waiting for a record, launched, answer waiting, standing, releasing. Nothing more of the dialogue is sent.
    for stage in 0..5 {
        let mut b = Bench::recording_all_steps("a", false);
        b.dials(100, "d1", 0);
        if stage >= 1 {
            b.recorded(2);
        }
        if stage >= 2 {
            b.at(20).stood("a", "d1", 0);
        }
        if stage >= 3 {
            b.recorded(3);
        }
        if stage >= 4 {
            b.hangs_up(100, "d1");
        }
        let before = b.trace().len();
        b.replaced("d1");
        let after = b.trace()[before..].to_string();
        assert_eq!(after.contains("cancel d1"), stage == 1, "{stage}: {after}");
        b.recorded(2).recorded(3).at(900);
        let sent = &b.trace()[before..];
        let about_dialogue: Vec<&str> = sent.lines().filter(|line| line.contains(" d1")).collect();
        // A caller that was notified that the dialogue stands is notified of the cut; one without an answer may ask again.
        let is_cut = |line: &&str| line.ends_with("to 100: d1 over: Cut") && stage == 3;
        let may_ask_again = |line: &&str| line.contains("to 100: d1 declined: Unsure") && stage < 3;
        let is_expected = |line: &&str| {
            line.contains("cancel") || line.contains("record") || is_cut(line) || may_ask_again(line)
        };
        assert!(about_dialogue.iter().all(is_expected), "{stage}: {about_dialogue:?}");
        let notifications = about_dialogue.iter().filter(|line| is_cut(line) || may_ask_again(line)).count();
        assert_eq!(notifications, usize::from(stage < 4), "{stage}: {about_dialogue:?}");
        assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0), "{stage}");
        assert_eq!(b.edge.counts().replaced, 1);
        // The caller may dial it here again.
        b.repeats(100, "d1");
        assert!(b.trace().ends_with("look up d1\n"), "{stage}: {}", b.trace());
    }
}
