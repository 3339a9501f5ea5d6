//! Hard cases of one edge proxy, each a script of inputs and the trace of what it says. Times in milliseconds.

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
    /// Links begun from here, by address, newest last.
    begun: Vec<(LinkId, String)>,
    closed: BTreeSet<LinkId>,
    full: BTreeSet<LinkId>,
    quiet: bool,
    /// Answers are recorded: the number of the last.
    records: Option<u64>,
    /// So are all other steps; and what was dialled before is sought.
    keeps: bool,
}

impl Trace {
    fn put(&mut self, line: String) {
        if !self.quiet {
            let _ = writeln!(self.text, "{:>6} {line}", self.now);
        }
    }
}

impl EdgeEffects for Trace {
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        if self.closed.contains(&link) || self.full.contains(&link) {
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
        self.begun.push((link, address.into()));
        self.put(format!("connect to {address}: {}", link.0));
        link
    }

    fn close(&mut self, link: LinkId, why: &str) {
        self.closed.insert(link);
        self.put(format!("close {}: {why}", link.0));
    }

    fn record(&mut self, dialogue: &DialogueId, step: DialogueStep) -> Option<u64> {
        if !self.keeps && !matches!(step, DialogueStep::Answer { .. }) {
            return None;
        }
        let number = self.records? + 1;
        self.records = Some(number);
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
        self.put(format!("seek {}", dialogue.0));
        self.keeps
    }

    fn log(&mut self, note: LogTopic, line: &str) {
        if note == LogTopic::Mode {
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

fn entry(name: &str, address: &str, listed: ServerState, life: u64) -> Entry {
    let number = ServerNumber(i64::from(name.as_bytes()[0] - b'a'));
    let age = if life > 0 { ms(50) } else { Duration::ZERO };
    Entry {
        server: ServerId(Arc::from(name)),
        number,
        address: Arc::from(address),
        state: listed,
        incarnation: life,
        age,
    }
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
    fn bare(limits: Limits) -> Self {
        Self { edge: Edge::new("edge-0", "list", plan(), 7, limits), trace: Trace::default() }
    }

    /// With a caller on link 100 and the named servers up and listed.
    fn new(servers: &str) -> Self {
        let mut bench = Self::bare(Limits::default());
        bench.trace.quiet = true;
        bench.at(0);
        bench.list_up(servers);
        bench.caller(100, "gateway");
        bench.at(10);
        bench.trace.quiet = false;
        bench
    }

    fn list_up(&mut self, servers: &str) -> &mut Self {
        let list = self.link_to("list");
        self.edge.link_connected(ms(self.trace.now), list, &mut self.trace);
        self.hears(list, hello(Role::List, "list"));
        let entries = servers.chars().map(|c| c.to_string());
        let entries = entries.map(|name| entry(&name, &name, ServerState::Active, 0)).collect();
        self.hears(list, Frame::List { is_complete: true, entries });
        for name in servers.chars() {
            self.core_up(&name.to_string());
        }
        self
    }

    fn core_up(&mut self, name: &str) -> &mut Self {
        let link = self.link_to(name);
        self.edge.link_connected(ms(self.trace.now), link, &mut self.trace);
        self.hears(link, hello(Role::Core, name))
    }

    fn link_to(&self, address: &str) -> LinkId {
        self.trace.begun.iter().rev().find(|(_, known)| known == address).expect("it was begun").0
    }

    fn caller(&mut self, link: u64, name: &str) -> &mut Self {
        self.edge.link_opened(ms(self.trace.now), LinkId(link), &mut self.trace);
        self.hears(LinkId(link), hello(Role::Caller, name))
    }

    /// Lets time pass, with every alarm at its time.
    fn at(&mut self, time: u64) -> &mut Self {
        while self.edge.next_due() <= ms(time) {
            let due = self.edge.next_due().max(ms(self.trace.now));
            self.trace.now = due.as_millis() as u64;
            self.edge.timer_fired(due, &mut self.trace);
        }
        self.trace.now = time;
        self
    }

    /// The decision thread stands still until then.
    fn stalls_until(&mut self, time: u64) -> &mut Self {
        self.trace.now = time;
        self
    }

    fn hears(&mut self, link: LinkId, frame: Frame) -> &mut Self {
        self.edge.frame_received(ms(self.trace.now), link, frame.into(), &mut self.trace);
        self
    }

    fn dials(&mut self, link: u64, name: &str, first_choice: i64) -> &mut Self {
        self.hears(LinkId(link), Frame::Dial(dial(name, first_choice, 3000)))
    }

    fn hangs_up(&mut self, link: u64, name: &str) -> &mut Self {
        self.hears(LinkId(link), Frame::HangUp { dialogue: id(name) })
    }

    fn core_says(&mut self, server: &str, frame: Frame) -> &mut Self {
        let link = self.link_to(server);
        self.hears(link, frame)
    }

    fn stood(&mut self, server: &str, name: &str, launch: u32) -> &mut Self {
        let report = LoadReport::default();
        self.core_says(server, Frame::Stood { dialogue: id(name), launch: LaunchNumber(launch), report })
    }

    fn ended(&mut self, server: &str, name: &str, launch: u32, end: DialogueEnd) -> &mut Self {
        let report = LoadReport::default();
        self.core_says(server, Frame::Ended { dialogue: id(name), launch: LaunchNumber(launch), end, report })
    }

    fn loses(&mut self, link: LinkId) -> &mut Self {
        self.edge.link_closed(ms(self.trace.now), link, "closed by its peer", &mut self.trace);
        self
    }

    fn lists(&mut self, whole: bool, entries: Vec<Entry>) -> &mut Self {
        let list = self.link_to("list");
        self.hears(list, Frame::List { is_complete: whole, entries })
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
    assert_eq!(b.edge.sizes().0, 0, "nothing is held of it");
}

#[test]
fn the_answer_crosses_the_cancel() {
    let mut b = Bench::new("ab");
    // The launch at a is called off as lost; its answer is on its way already.
    b.dials(100, "d1", 0).at(20).dials(100, "d2", 0).at(60).stood("a", "d2", 0).at(800);
    b.stood("a", "d1", 0).at(1110);
    assert_snapshot!(b.trace());
}

#[test]
fn a_caller_hangs_up_while_its_launch_is_out() {
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
    // The server never tells that it is over: that is not awaited for ever.
    b.at(6000);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.sizes().0, 0);
}

#[test]
fn a_link_dies_between_launch_and_answer() {
    let mut b = Bench::new("ab");
    let a = b.link_to("a");
    b.dials(100, "d1", 0).at(30).loses(a).at(320).at(331).stood("b", "d1", 1).at(400);
    assert_snapshot!(b.trace());
}

#[test]
fn standing_dialogues_are_cut_with_their_link_and_their_callers_told() {
    let mut b = Bench::new("ab");
    let a = b.link_to("a");
    b.dials(100, "d1", 0).dials(100, "d2", 0).at(30).stood("a", "d1", 0).at(50).loses(a).at(60);
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
    b.dials(102, "d1", 0).dials(101, "d1", 0).at(25).loses(LinkId(100)).at(30);
    b.hangs_up(102, "d1").stood("a", "d1", 0).at(40).dials(102, "d1", 0);
    assert_snapshot!(b.trace());
}

#[test]
fn an_entry_goes_while_launches_are_out_and_its_id_is_used_again() {
    let mut b = Bench::new("ab");
    let former = b.link_to("a");
    b.dials(100, "d1", 0).at(20).lists(false, vec![entry("a", "a", ServerState::Gone, 0)]).at(30);
    b.dials(100, "d2", 0).at(40);
    // Another machine under the old id, elsewhere: the old link ends what is out on it.
    b.lists(false, vec![entry("a", "a2", ServerState::Active, 1)]).at(60);
    let new = b.link_to("a2");
    b.edge.link_connected(ms(60), new, &mut b.trace);
    b.hears(new, hello(Role::Core, "a")).at(200).dials(100, "d3", 0).at(210);
    b.hears(
        former,
        Frame::Stood { dialogue: id("d1"), launch: LaunchNumber(0), report: LoadReport::default() },
    );
    b.at(220).loses(former).at(230);
    assert_snapshot!(b.trace());
}

#[test]
fn a_stall_longer_than_the_cut_off_then_everything_at_once() {
    let mut b = Bench::new("ab");
    b.dials(100, "d1", 0).dials(100, "d2", 1).at(20).stalls_until(4000);
    // What came meanwhile is read first: answers, a hang-up, dials whose time starts when they are read.
    b.stood("a", "d1", 0).hangs_up(100, "d1").dials(100, "d3", 0).at(4010);
    assert_snapshot!(b.trace());
}

#[test]
fn a_dial_that_lay_in_a_socket_has_lost_that_time() {
    let mut b = Bench::new("a");
    b.edge.link_opened(ms(10), LinkId(101), &mut b.trace);
    // By the caller's clock 500 ms later than here.
    let hello = Hello { sent_at: Some(ms(509)), ..Hello::new(Role::Caller, Arc::from("x")) };
    b.hears(LinkId(101), Frame::Hello(hello));
    let sent = |name: &str, at: u64| Frame::Dial(Dial { sent_at: Some(ms(at)), ..dial(name, 0, 1000) });
    b.stalls_until(1500).hears(LinkId(101), sent("gone", 600)).hears(LinkId(101), sent("late", 1400));
    b.hears(LinkId(101), sent("fresh", 1999)).at(1600);
    assert_snapshot!(b.trace());
}

#[test]
fn a_caller_that_never_reads_loses_its_link_and_others_do_not_notice() {
    let mut b = Bench::new("a");
    b.caller(101, "deaf").dials(101, "d1", 0).dials(101, "d2", 0).at(20);
    b.trace.full.insert(LinkId(101));
    b.stood("a", "d1", 0).at(25).dials(100, "d3", 0).at(60).stood("a", "d3", 0).at(70);
    assert_snapshot!(b.trace());
}

#[test]
fn started_before_any_server_or_list_is_there() {
    let mut b = Bench::bare(Limits::default());
    b.at(0).caller(100, "gateway").dials(100, "d1", 0).at(100);
    let list = b.link_to("list");
    b.loses(list).at(400).list_up("a").at(420).stood("a", "d1", 0).at(430);
    assert_snapshot!(b.trace());
}

#[test]
fn a_launch_waits_for_its_link_and_is_out_of_reach_when_that_fails() {
    let mut b = Bench::new("ab");
    let (a, list) = (b.link_to("a"), b.link_to("list"));
    b.loses(a).at(20).dials(100, "d1", 0).at(25);
    let again = b.link_to("a");
    b.loses(again).at(40).stood("b", "d1", 1).at(50).dials(100, "d2", 0).at(60).hangs_up(100, "d2").at(70);
    b.core_up("a").at(80).loses(list).at(90);
    assert_snapshot!(b.trace());
}

#[test]
fn a_link_that_answers_nothing_is_asked_and_then_closed() {
    let mut b = Bench::new("ab");
    b.dials(100, "d1", 0).at(30).stood("a", "d1", 0);
    for time in (500..6000).step_by(500) {
        // The caller, the list and b are there; a is half open.
        let (list, server) = (b.link_to("list"), b.link_to("b"));
        b.at(time);
        b.trace.quiet = true;
        for link in [LinkId(100), list, server] {
            b.hears(link, Frame::Pong { nonce: 0 });
        }
        b.trace.quiet = false;
    }
    assert_snapshot!(b.trace());
}

#[test]
fn what_is_not_for_it_to_say_ends_a_link() {
    let mut b = Bench::bare(Limits::default());
    b.trace.quiet = true;
    b.at(0);
    b.trace.quiet = false;
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
            b.hears(LinkId(200 + link), frame);
        }
    }
    b.at(2500);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.sizes().1, 1, "of the callers' links none is left, the list's is being made");
}

#[test]
fn dials_that_cannot_be_read_as_a_wish_are_declined() {
    let mut b = Bench::new("a");
    let plain = dial("d", 0, 1000);
    let wrong = [
        Dial { dialogue: id("d1"), product: 1, ..plain.clone() },
        Dial { dialogue: id("d2"), tenant: Some(0), ..plain.clone() },
        Dial { dialogue: id("d3"), width: 0.0, ..plain.clone() },
        Dial { dialogue: id("d4"), width: 1e9, ..plain.clone() },
        Dial { dialogue: id("d5"), time_left: Duration::ZERO, ..plain.clone() },
    ];
    for dial in wrong {
        b.hears(LinkId(100), Frame::Dial(dial));
    }
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.counts().taken, 0);
}

#[test]
fn optional_fields_of_a_dial_go_on_with_its_launch() {
    let mut b = Bench::new("a");
    let extra = vec![Extra { tag: 200, value: vec![1, 2, 3] }];
    let message = Message { frame: Frame::Dial(dial("d1", 0, 1000)), extra };
    b.edge.frame_received(ms(10), LinkId(100), message, &mut b.trace);
    assert_snapshot!(b.trace());
}

#[test]
fn ten_thousand_dialogues_on_one_link_end_with_it() {
    let mut b = Bench::new("a");
    b.trace.quiet = true;
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
    b.loses(LinkId(100));
    for n in 0..10_000 {
        b.ended("a", &format!("d{n}"), 0, DialogueEnd::Released);
    }
    assert_eq!(b.edge.sizes().0, 0);
}

#[test]
fn five_thousand_links_that_say_nothing_cost_the_others_nothing() {
    let mut b = Bench::new("a");
    b.trace.quiet = true;
    for n in 0..5000 {
        b.edge.link_opened(ms(b.trace.now), LinkId(1000 + n), &mut b.trace);
        assert!(b.edge.sizes().1 <= 3 + Limits::default().max_unidentified_links, "bounded at every moment");
    }
    b.trace.quiet = false;
    b.dials(100, "d1", 0).at(20).stood("a", "d1", 0);
    b.trace.quiet = true;
    b.at(2600);
    assert_eq!(b.edge.sizes().1, 3, "the caller, the list and the server are left");
    assert_snapshot!(b.trace());
}

#[test]
fn bounds_hold_and_their_answers_are_said() {
    let mut b =
        Bench::bare(Limits { max_dialogues: 2, max_links: 2, max_queued_launches: 1, ..Limits::default() });
    b.trace.quiet = true;
    b.at(0).list_up("a").caller(100, "x").caller(101, "y");
    b.trace.quiet = false;
    b.edge.link_opened(ms(0), LinkId(102), &mut b.trace);
    b.dials(100, "d1", 0).dials(100, "d2", 0).dials(101, "d3", 0);
    assert_snapshot!(b.trace());
}

impl Bench {
    /// With a store that takes its time; answers wait 20 ms for it at most.
    fn recording(servers: &str) -> Self {
        let mut b = Self::bare(Limits { answer_record_timeout: ms(20), ..Limits::default() });
        b.trace.quiet = true;
        b.at(0).list_up(servers).caller(100, "gateway").at(10);
        (b.trace.quiet, b.trace.records) = (false, Some(0));
        b
    }

    fn recorded(&mut self, number: u64) -> &mut Self {
        self.edge.step_recorded(ms(self.trace.now), number, &mut self.trace);
        self
    }
}

#[test]
fn an_answer_waits_for_its_record_and_not_for_ever() {
    let mut b = Bench::recording("a");
    b.dials(100, "d1", 0).at(30).stood("a", "d1", 0).at(32).recorded(1).at(40).dials(100, "d2", 0);
    b.at(50).stood("a", "d2", 0).at(80).recorded(2).at(90);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.counts().unrecorded, 1);
}

#[test]
fn a_caller_that_hangs_up_while_its_answer_waits_gets_none() {
    let mut b = Bench::recording("a");
    b.dials(100, "d1", 0).at(30).stood("a", "d1", 0).at(31).hangs_up(100, "d1").recorded(1).at(60);
    b.ended("a", "d1", 0, DialogueEnd::Released);
    assert_snapshot!(b.trace());
    assert_eq!(b.edge.sizes().0, 0);
}

#[test]
fn what_is_cut_before_its_caller_knew_that_it_stood_is_told_both() {
    let mut b = Bench::recording("a");
    let a = b.link_to("a");
    b.dials(100, "d1", 0).at(30).stood("a", "d1", 0).at(31).loses(a).recorded(1).at(60);
    assert_snapshot!(b.trace());
}

#[test]
fn after_a_stall_an_answer_that_is_late_does_not_wait() {
    let mut b = Bench::recording("a");
    b.dials(100, "d1", 0).stalls_until(4000).dials(100, "d2", 0).at(4001);
    assert_snapshot!(b.trace());
}

#[test]
fn what_was_answered_in_a_former_life_is_declined() {
    let mut b = Bench::recording("a");
    b.edge.remember_concluded(&id("d1"));
    b.dials(100, "d1", 0).dials(100, "d2", 0);
    assert_snapshot!(b.trace());
}

/// After a start nothing is launched for a while: dials wait, are let go in time, or hang up and leave nothing behind.
#[test]
fn a_proxy_that_rests_launches_nothing_and_keeps_nobody_too_long() {
    let mut b = Bench::new("ab");
    b.edge.hold_launches_until(ms(300));
    b.dials(100, "d1", 1).dials(100, "d2", 0);
    b.hears(LinkId(100), Frame::Dial(dial("d3", 0, 200)));
    b.at(100).hangs_up(100, "d2");
    assert_eq!(b.edge.sizes().0, 1, "d1; d3, whose cut-off comes first, was refused at once");
    b.caller(101, "gateway").dials(101, "d1", 1);
    b.at(290).at(320).stood("b", "d1", 0).at(400);
    assert_snapshot!(b.trace());
}

/// The link to a former life of a server ends with the last dialogue there.
#[test]
fn the_link_of_a_former_life_is_not_kept() {
    let mut b = Bench::new("a");
    let former = b.link_to("a");
    b.dials(100, "d1", 0).at(20).stood("a", "d1", 0);
    b.lists(false, vec![entry("a", "a2", ServerState::Active, 2)]).at(1000);
    assert!(!b.trace.closed.contains(&former), "d1 stands there");
    b.hears(former, Frame::Pong { nonce: 0 }).hangs_up(100, "d1");
    let (dialogue, launch, report) = (id("d1"), LaunchNumber(0), LoadReport::default());
    b.hears(former, Frame::Ended { dialogue, launch, end: DialogueEnd::Released, report });
    b.at(1500);
    assert!(b.trace.closed.contains(&former), "nobody is there any more");
}

/// A list that never ends of servers with names of their own fills a bounded table.
#[test]
fn more_servers_than_the_bound_are_left_out_and_said() {
    let mut b = Bench::new("a");
    b.trace.quiet = true;
    for part in 0..21 {
        let entries = (0..500).map(|n| entry(&format!("b{part}-{n}"), "x", ServerState::Active, 0)).collect();
        b.trace.quiet = part < 20;
        b.lists(false, entries);
    }
    assert_eq!(b.edge.decisions().held_counts().1, 10_000);
    assert!(b.trace().contains("500 servers of the list are left out"), "{}", b.trace());
}

/// Callers and servers on links that the shell vouches for, as where dialogues belong to no connection.
fn vouched() -> Bench {
    let mut b = Bench::bare(Limits::default());
    b.trace.quiet = true;
    b.at(0);
    let list = b.link_to("list");
    b.edge.link_trusted(ms(0), list, &mut b.trace);
    b.hears(list, Frame::List { is_complete: true, entries: vec![entry("a", "a", ServerState::Active, 0)] });
    b.edge.link_opened(ms(0), LinkId(100), &mut b.trace);
    b.edge.link_trusted(ms(0), LinkId(100), &mut b.trace);
    b.trace.quiet = false;
    b
}

#[test]
fn links_that_are_vouched_for_take_what_waited_and_are_never_asked_nor_swept() {
    let mut b = vouched();
    b.dials(100, "d1", 0);
    assert_eq!(b.trace(), "", "it waits for the link");
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
    let mut b = vouched();
    let link = b.link_to("a");
    b.edge.link_trusted(ms(0), link, &mut b.trace);
    b.dials(100, "d1", 0).at(10);
    let report = LoadReport::default;
    let at = |b: &Bench| ms(b.trace.now);
    // Another launch than the one that is out, and one on another link, end nothing.
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
    assert_eq!(b.edge.counts().launches, 2, "what never left goes again at once: {}", b.trace());
    assert!(
        !b.edge.standing_dialogue_ended(
            at(&b),
            link,
            &id("d1"),
            DialogueEnd::Released,
            report(),
            &mut b.trace
        ),
        "it does not stand"
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
fn a_dialogue_that_stands_already_is_held_without_an_answer() {
    let mut b = vouched();
    let link = b.link_to("a");
    b.edge.link_trusted(ms(0), link, &mut b.trace);
    let there = |b: &mut Bench, name: &str, server: &str| {
        let server = ServerId(Arc::from(server));
        b.edge.adopt_standing(ms(b.trace.now), LinkId(100), &dial(name, 0, 1000), &server, &mut b.trace)
    };
    assert!(there(&mut b, "d1", "a") && there(&mut b, "d1", "a"));
    assert!(!there(&mut b, "d2", "z"), "no such server is known");
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
    // With its server lost it is cut like any other.
    assert!(there(&mut b, "d3", "a"));
    b.loses(link);
    assert!(b.trace().ends_with("to 100: d3 over: Cut\n"), "{}", b.trace());
}

impl Bench {
    /// Every step is kept by somebody, launches and answers wait 20 ms for it at most.
    fn kept(servers: &str, withhold_unrecorded_launches: bool) -> Self {
        let within = ms(20);
        let limits = Limits {
            answer_record_timeout: within,
            launch_record_timeout: within,
            withhold_unrecorded_launches,
            ..Limits::default()
        };
        let mut b = Self::bare(limits);
        b.trace.quiet = true;
        b.at(0).list_up(servers).caller(100, "gateway").at(10);
        (b.trace.quiet, b.trace.records, b.trace.keeps) = (false, Some(0), true);
        b
    }

    fn repeats(&mut self, link: u64, name: &str) -> &mut Self {
        self.hears(LinkId(link), Frame::Dial(Dial { is_repeat: true, ..dial(name, 0, 3000) }))
    }

    fn found(&mut self, name: &str, found: PriorOutcome) -> &mut Self {
        self.edge.prior_outcome_found(ms(self.trace.now), &id(name), found, &mut self.trace);
        self
    }

    fn replaced(&mut self, name: &str) -> &mut Self {
        self.edge.dialogue_replaced(ms(self.trace.now), &id(name), &mut self.trace);
        self
    }
}

#[test]
fn a_launch_waits_until_it_is_kept_and_each_step_is_told() {
    let mut b = Bench::kept("ab", false);
    b.dials(100, "d1", 0).at(15).recorded(2).at(30).stood("a", "d1", 0).recorded(3).at(40);
    b.hangs_up(100, "d1").ended("a", "d1", 0, DialogueEnd::Released);
    assert_snapshot!(b.trace());
    assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0));
}

#[test]
fn a_launch_that_nobody_keeps_in_time_goes_or_does_not_as_the_limits_say() {
    for strictly in [false, true] {
        let mut b = Bench::kept("a", strictly);
        b.dials(100, "d1", 0).at(29);
        assert!(!b.trace().contains("launch d1"), "{}", b.trace());
        b.at(31).recorded(2);
        assert_eq!(b.trace().contains("launch d1 no 0"), !strictly, "{}", b.trace());
        let counts = b.edge.counts();
        assert_eq!(
            (counts.launched_unrecorded, counts.withheld),
            (u64::from(!strictly), u64::from(strictly))
        );
        if strictly {
            // The module hears that it did not get out, and tries again at once, as out of reach asks for no bar.
            assert!(b.trace().contains("record 4: d1 to a no 1"), "{}", b.trace());
            b.recorded(4);
            assert!(b.trace().contains("launch d1 no 1"), "{}", b.trace());
        }
    }
}

/// The server had not read the give-up: until then the launch was out, for this edge proxy and for whoever keeps a copy.
#[test]
fn an_answer_that_crosses_its_give_up_begins_the_release_time_anew() {
    let mut b = Bench::kept("a", false);
    b.dials(100, "d1", 0).at(15).recorded(2).at(30);
    let (link, given_up_at) = (b.link_to("a"), b.trace.now);
    let report = LoadReport::default();
    b.edge.launch_outcome_reported(
        ms(given_up_at),
        link,
        &id("d1"),
        LaunchNumber(0),
        Outcome::TimedOut,
        report,
        &mut b.trace,
    );
    let backs = |b: &Bench| b.trace().matches("d1 LaunchReturned { outcome_unknown: true }").count();
    assert_eq!(backs(&b), 1, "{}", b.trace());
    b.at(given_up_at + 200).stood("a", "d1", 0);
    assert_eq!(backs(&b), 2, "{}", b.trace());
    b.at(given_up_at + 200 + 295);
    assert!(!b.trace().contains("d1 to a no 1"), "not before the release time: {}", b.trace());
    b.at(given_up_at + 200 + 320);
    assert!(b.trace().contains("d1 to a no 1"), "{}", b.trace());
}

#[test]
fn a_launch_called_off_while_it_waits_is_never_sent() {
    let mut b = Bench::kept("a", false);
    b.dials(100, "d1", 0).at(12).hangs_up(100, "d1").recorded(2).at(60);
    assert!(
        !b.trace().contains("launch") && b.trace().contains("LaunchReturned { outcome_unknown: false }"),
        "{}",
        b.trace()
    );
    assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0));
    // Nor after a stall that outlasts it.
    b.dials(100, "d2", 0).stalls_until(4000).recorded(5);
    assert!(!b.trace().contains("launch d2"), "{}", b.trace());
}

#[test]
fn what_was_dialled_before_is_sought_and_what_is_found_is_done() {
    let dialled = |found: PriorOutcome| {
        let mut b = Bench::kept("a", false);
        b.repeats(100, "d1").at(20);
        assert!(b.trace().ends_with("seek d1\n"), "{}", b.trace());
        b.found("d1", found).found("d1", PriorOutcome::Concluded).at(25);
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
    // It was never taken, so it may come again, and is asked for again.
    let mut b = dialled(PriorOutcome::Unresolved { retry_after: Some(ms(500)) });
    assert!(b.trace().ends_with("d1 declined: Unsure\n"), "{}", b.trace());
    b.repeats(100, "d1");
    assert!(b.trace().ends_with("seek d1\n"), "{}", b.trace());
}

#[test]
fn what_is_sought_and_never_found_is_declined_at_its_cut_off() {
    let mut b = Bench::kept("a", false);
    b.repeats(100, "d1").at(3009);
    assert!(!b.trace().contains("declined"));
    b.at(3011).found("d1", PriorOutcome::Free { launch_not_before: ms(0) }).at(3100);
    assert!(b.trace().ends_with("d1 declined: Unsure\n"), "{}", b.trace());
    // Whoever hangs up meanwhile leaves nothing behind, sought or barred.
    for barred in [false, true] {
        b.repeats(100, "d2");
        if barred {
            b.found("d2", PriorOutcome::Free { launch_not_before: ms(9000) });
        }
        let later = b.trace.now + 4000;
        b.hangs_up(100, "d2").at(later);
    }
    assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0));
    assert!(!b.trace().contains("launch"), "{}", b.trace());
}

#[test]
fn a_repeat_that_nobody_can_be_asked_about_is_a_dial_like_any_other() {
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
fn what_another_has_now_is_let_go_and_its_caller_may_ask_again() {
    // Waiting for its record, out, standing, being released: nothing more of it is sent.
    for stage in 0..5 {
        let mut b = Bench::kept("a", false);
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
        let said = &b.trace()[before..];
        let of_it: Vec<&str> = said.lines().filter(|line| line.contains(" d1")).collect();
        // Its caller hears that it is over where it had heard that it stands, and may ask again where it had heard nothing.
        let over = |line: &&str| line.ends_with("to 100: d1 over: Cut") && stage == 3;
        let ask = |line: &&str| line.contains("to 100: d1 declined: Unsure") && stage < 3;
        let silent =
            |line: &&str| line.contains("cancel") || line.contains("record") || over(line) || ask(line);
        assert!(of_it.iter().all(silent), "{stage}: {of_it:?}");
        let words = of_it.iter().filter(|line| over(line) || ask(line)).count();
        assert_eq!(words, usize::from(stage < 4), "{stage}: {of_it:?}");
        assert_eq!((b.edge.sizes().0, b.edge.auxiliary_entries()), (0, 0), "{stage}");
        assert_eq!(b.edge.counts().replaced, 1);
        // Its caller may dial it here again.
        b.repeats(100, "d1");
        assert!(b.trace().ends_with("seek d1\n"), "{stage}: {}", b.trace());
    }
}
