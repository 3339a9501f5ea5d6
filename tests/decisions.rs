//! Short scenarios of one edge proxy: its inputs, and a snapshot of its decisions. Times are in milliseconds.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use insta::assert_snapshot;
use lotussaddle::brain::Brain;
use lotussaddle::interface::*;

#[derive(Default)]
struct Trace {
    text: String,
    now: u64,
    timer: Option<u64>,
}

impl Trace {
    fn push_line(&mut self, line: std::fmt::Arguments) {
        let _ = writeln!(self.text, "{:>6} {line}", self.now);
    }
}

impl Signalling for Trace {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration) {
        self.push_line(format_args!("launch {} at {} for {}", dialogue.0, server.0, time_out.as_millis()));
    }
    fn refuse(&mut self, dialogue: &DialogueId, retry_after: Option<Duration>) {
        self.push_line(format_args!(
            "refuse {}, retry after {:?}",
            dialogue.0,
            retry_after.unwrap_or_default()
        ));
    }
    fn fail(&mut self, dialogue: &DialogueId) {
        self.push_line(format_args!("fail {}", dialogue.0));
    }
    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        self.push_line(format_args!("cancel {} launch {}", dialogue.0, launch.0));
    }
    fn set_timer(&mut self, _timer: TimerId, after: Duration) {
        self.timer = Some(self.now + after.as_millis() as u64);
    }
    fn log(&mut self, line: &str) {
        self.push_line(format_args!("log: {line}"));
    }
}

struct Scenario {
    brain: Brain,
    trace: Trace,
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn server(name: &str) -> ServerId {
    ServerId(Arc::from(name))
}

fn dialogue(name: &str) -> DialogueId {
    DialogueId(Arc::from(name))
}

/// A scenario with two products, of gain 1 and gain 6, and with servers a, b, ... of numbers 0, 1, ...
fn scenario(servers: &str) -> Scenario {
    scenario_with(4, 0, servers)
}

fn scenario_with(proxies: u32, resend_ms: u64, servers: &str) -> Scenario {
    let product = |promised, gain| Product {
        promised: ms(promised),
        mean_duration: ms(8000),
        redial_window: ms(9000),
        gain,
        late_share: 0.25,
        servers: None,
    };
    let plan = RoutePlan {
        proxies,
        products: vec![product(1500, 1.0), product(900, 6.0)],
        tenants: vec![Tenant { quota: 30.0 }, Tenant { quota: 10.0 }],
        over_quota_share: 0.2,
        tick: ms(5),
        release_time: ms(300),
        resend_after: ms(resend_ms),
        max_launches: 4,
        callers_mark_retries: true,
        may_cancel: true,
        max_retry_after: ms(2000),
        cold_start_share: 0.4,
        warm_up_time: ms(10_000),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
    };
    let mut scenario = Scenario { brain: Brain::new(plan, 7), trace: Trace::default() };
    for name in servers.chars() {
        scenario.list_server(&name.to_string(), ServerState::Active, 0);
    }
    scenario
}

impl Scenario {
    /// Advances the clock and fires the timers that are due.
    fn advance_to(&mut self, time: u64) -> &mut Self {
        while let Some(timer) = self.trace.timer.filter(|timer| *timer <= time) {
            self.trace.now = timer;
            self.trace.timer = None;
            self.brain.timer_fired(ms(timer), TimerId(0), &mut self.trace);
        }
        self.trace.now = time;
        self
    }

    fn list_server(&mut self, name: &str, state: ServerState, started: u64) -> &mut Self {
        let number = ServerNumber(i64::from(name.as_bytes()[0] - b'a'));
        let entry = ListEntry { server: server(name), number, state, started: ms(started) };
        self.brain.server_list_received(ms(self.trace.now), false, &[entry], &mut self.trace);
        self
    }

    fn report_free_lines(&mut self, name: &str, lines: f64) -> &mut Self {
        let report = LoadReport { free_lines: Some(lines), ..LoadReport::default() };
        self.brain.load_reported(ms(self.trace.now), &server(name), &report, &mut self.trace);
        self
    }

    /// Reports `free` of 1000 lines as free, twice within 600 ms, so that a placement rate can be estimated.
    fn report_lines(&mut self, name: &str, free: f64) -> &mut Self {
        let report =
            LoadReport { free_lines: Some(free), total_lines: Some(1000.0), ..LoadReport::default() };
        self.brain.load_reported(ms(self.trace.now), &server(name), &report, &mut self.trace);
        self.advance_to(self.trace.now + 600);
        self.brain.load_reported(ms(self.trace.now), &server(name), &report, &mut self.trace);
        self
    }

    fn report_wait(&mut self, name: &str, wait: u64) -> &mut Self {
        let report = LoadReport { processor_wait: Some(ms(wait)), ..LoadReport::default() };
        self.brain.load_reported(ms(self.trace.now), &server(name), &report, &mut self.trace);
        self
    }

    fn dial_until(&mut self, name: &str, cut_off: u64) -> &mut Self {
        let arrival = Arrival { cut_off: ms(cut_off), ..self.arrival(name, 0, 0, false) };
        self.brain.dialogue_arrived(ms(self.trace.now), arrival, &mut self.trace);
        self
    }

    fn dial_product(&mut self, name: &str, product: usize, first_choice: i64, is_retry: bool) -> &mut Self {
        let arrival = self.arrival(name, product, first_choice, is_retry);
        self.brain.dialogue_arrived(ms(self.trace.now), arrival, &mut self.trace);
        self
    }

    fn arrival(&self, name: &str, product: usize, first_choice: i64, is_retry: bool) -> Arrival {
        Arrival {
            id: dialogue(name),
            key: Some(DialledKey(Arc::from(&name[..2]))),
            product: ProductId(product),
            tenant: None,
            first_choice: ServerNumber(first_choice),
            width: 1.0,
            dialled_at: ms(self.trace.now),
            cut_off: ms(self.trace.now + 3000),
            is_retry,
            redialled_after_cut: false,
        }
    }

    fn dial(&mut self, name: &str, first_choice: i64) -> &mut Self {
        self.dial_product(name, 0, first_choice, false)
    }

    fn first_launch_stands(&mut self, name: &str, at: &str) -> &mut Self {
        self.launch_stands(name, 0, at)
    }

    fn launch_stands(&mut self, name: &str, launch: u32, at: &str) -> &mut Self {
        let now = ms(self.trace.now);
        self.brain.dialogue_stands(now, &dialogue(name), LaunchNumber(launch), &server(at), &mut self.trace);
        self
    }

    fn launch_ends(&mut self, name: &str, launch: u32, at: &str, outcome: Outcome) -> &mut Self {
        self.launch_ends_with(name, launch, at, outcome, outcome == Outcome::Ended)
    }

    fn launch_ends_with(
        &mut self, name: &str, launch: u32, at: &str, outcome: Outcome, closed: bool,
    ) -> &mut Self {
        let end = LaunchEnd {
            dialogue: dialogue(name),
            launch: LaunchNumber(launch),
            server: server(at),
            outcome,
            closed,
            report: LoadReport::default(),
        };
        self.brain.launch_ended(ms(self.trace.now), end, &mut self.trace);
        self
    }

    /// `count` dialogues, one every 500 ms, that stand after the given wait.
    fn normal_traffic(&mut self, at: &str, first_choice: i64, wait: u64, count: u64) -> &mut Self {
        let begin = self.trace.now;
        for n in 0..count {
            let name = format!("{at}{first_choice}-{begin}-{n}");
            self.advance_to(begin + n * 500)
                .dial(&name, first_choice)
                .advance_to(begin + n * 500 + wait)
                .first_launch_stands(&name, at);
        }
        self
    }

    fn take_trace(&mut self) -> String {
        std::mem::take(&mut self.trace.text)
    }
}

/// A dialogue goes to its first choice while its estimated free lines suffice, else to the server with the most.
#[test]
fn first_choice_then_most_free_lines() {
    let mut scenario = scenario("abc");
    scenario.report_free_lines("a", 1.0).report_free_lines("b", 2.0).report_free_lines("c", 5.0);
    scenario.dial("d1", 0).dial("d2", 0).dial("d3", 1).report_free_lines("a", 1.0).dial("d4", 0);
    assert_snapshot!(scenario.take_trace());
}

/// A server that turns a launch back counts as having no free line until its next report, and the dialogue is routed
/// once more.
#[test]
fn turned_back_dialogue_is_routed_once_more() {
    let mut scenario = scenario("ab");
    scenario.dial("d1", 0).advance_to(30).launch_ends("d1", 0, "a", Outcome::TurnedBack);
    scenario
        .dial("d2", 0)
        .advance_to(60)
        .launch_ends("d1", 1, "b", Outcome::TurnedBack)
        .report_free_lines("a", 3.0)
        .dial("d3", 0);
    assert_snapshot!(scenario.take_trace());
}

/// More dialogues wait than the limit admits; freed capacity goes to the highest gain, then to the newest.
#[test]
fn waiting_queue_serves_highest_gain_then_newest() {
    let mut scenario = scenario("a");
    scenario
        .dial("d1", 0)
        .dial("d2", 0)
        .advance_to(5)
        .dial("d3", 0)
        .advance_to(10)
        .dial("d4", 0)
        .advance_to(15)
        .dial_product("d5", 1, 0, false);
    scenario
        .advance_to(100)
        .first_launch_stands("d1", "a")
        .advance_to(150)
        .first_launch_stands("d5", "a")
        .advance_to(2000);
    assert_snapshot!(scenario.take_trace());
}

/// A server that hangs is ejected; its launches are cancelled and, after the release time, relaunched elsewhere. A
/// successful probe launch ends the ejection.
#[test]
fn unresponsive_server_is_ejected_until_a_probe_succeeds() {
    let mut scenario = scenario("ab");
    scenario.normal_traffic("a", 0, 50, 4).take_trace();
    scenario
        .advance_to(3000)
        .dial("d1", 0)
        .advance_to(3460)
        .dial("d2", 0)
        .advance_to(3500)
        .first_launch_stands("d2", "b");
    scenario
        .advance_to(3905)
        .launch_ends("d1", 0, "a", Outcome::Cancelled)
        .advance_to(4210)
        .launch_stands("d1", 1, "b");
    scenario.advance_to(4300).dial("d3", 0).advance_to(4400).first_launch_stands("d3", "a").dial("d4", 0);
    assert_snapshot!(scenario.take_trace());
}

/// A slow server is not ejected: its late answer has doubled its response time-out.
#[test]
fn slow_server_is_not_ejected() {
    let mut scenario = scenario("a");
    scenario
        .dial("d1", 0)
        .advance_to(600)
        .first_launch_stands("d1", "a")
        .advance_to(700)
        .dial("d2", 0)
        .advance_to(1500)
        .first_launch_stands("d2", "a")
        .advance_to(1600);
    assert_snapshot!(scenario.take_trace());
}

/// After a broken set-up, the dialogue waits for the release time and avoids that server, which stays in use for
/// others.
#[test]
fn broken_set_up_is_relaunched_at_another_server() {
    let mut scenario = scenario("ab");
    scenario
        .dial("d1", 0)
        .advance_to(20)
        .launch_ends("d1", 0, "a", Outcome::BrokenOff)
        .dial("d2", 0)
        .advance_to(400);
    assert_snapshot!(scenario.take_trace());
}

/// A server that is unreachable twice in a row is ejected, and takes few launches when it answers is_retry before the pool
/// list shows its restart.
#[test]
fn unreachable_server_is_ejected_and_returns_cold() {
    let mut scenario = scenario("ab");
    scenario.normal_traffic("a", 0, 50, 20).take_trace();
    scenario.advance_to(12_000).dial("d1", 0).launch_ends("d1", 0, "a", Outcome::Unreachable);
    scenario
        .dial("d2", 0)
        .launch_ends("d2", 0, "a", Outcome::Unreachable)
        .advance_to(12_050)
        .first_launch_stands("d1", "b")
        .first_launch_stands("d2", "b");
    scenario.advance_to(12_600).dial("d3", 0).advance_to(12_650).first_launch_stands("d3", "a");
    scenario.dial("d4", 0).dial("d5", 0).advance_to(12_700).first_launch_stands("d5", "b").advance_to(13_950);
    assert_snapshot!(scenario.take_trace());
}

/// A replacement server of a known number: launches are spaced by the rate that its previous incarnation sustained.
#[test]
fn cold_server_receives_spaced_launches() {
    let mut scenario = scenario("a");
    scenario.normal_traffic("a", 0, 50, 20).take_trace();
    scenario
        .advance_to(20_000)
        .list_server("a", ServerState::Active, 19_900)
        .dial("d1", 0)
        .dial("d2", 0)
        .dial("d3", 0);
    scenario
        .advance_to(20_050)
        .first_launch_stands("d1", "a")
        .advance_to(20_900)
        .first_launch_stands("d2", "a")
        .first_launch_stands("d3", "a")
        .advance_to(22_000);
    assert_snapshot!(scenario.take_trace());
}

/// A server that drains or is gone receives no new launch from the moment the list says so.
#[test]
fn draining_server_receives_no_new_launch() {
    let mut scenario = scenario("ab");
    scenario
        .report_free_lines("a", 50.0)
        .report_free_lines("b", 9.0)
        .list_server("a", ServerState::Draining, 0)
        .dial("d1", 0);
    scenario.list_server("b", ServerState::Gone, 0).dial("d2", 1).advance_to(2000);
    assert_snapshot!(scenario.take_trace());
}

/// Whatever hangs, the caller is answered before the cut-off; events after it have no effect.
#[test]
fn answer_precedes_the_cut_off_and_late_answers_are_ignored() {
    let mut scenario = scenario("a");
    scenario.normal_traffic("a", 0, 300, 3).take_trace();
    scenario
        .advance_to(2000)
        .dial("d1", 0)
        .advance_to(2400)
        .dial("d2", 0)
        .advance_to(2900)
        .first_launch_stands("d2", "a")
        .advance_to(6000);
    scenario.launch_ends("d1", 0, "a", Outcome::Ended).first_launch_stands("d1", "a");
    assert_snapshot!(scenario.take_trace());
}

/// The promised time of a retry runs from its caller's first dial, so that a new dialogue precedes a late one.
#[test]
fn promised_time_of_a_retry_runs_from_the_first_dial() {
    let mut scenario = scenario("a");
    scenario
        .dial("d1", 0)
        .dial("d2", 0)
        .dial("d3", 0)
        .advance_to(390)
        .first_launch_stands("d1", "a")
        .advance_to(391);
    scenario.brain.caller_left(ms(391), &dialogue("d3"), &mut scenario.trace);
    scenario
        .advance_to(1600)
        .dial_product("d3-2", 0, 0, true)
        .dial("d4", 0)
        .first_launch_stands("d2", "a")
        .advance_to(1700)
        .first_launch_stands("d4", "a")
        .advance_to(2000);
    assert_snapshot!(scenario.take_trace());
}

/// A launch that later ones overtake counts as lost: it is cancelled, and the dialogue is launched elsewhere.
#[test]
fn overtaken_launch_is_cancelled_and_relaunched() {
    let mut scenario = scenario("ab");
    scenario.normal_traffic("a", 0, 50, 4).take_trace();
    scenario
        .advance_to(3000)
        .dial("d1", 0)
        .advance_to(3010)
        .dial("d2", 0)
        .advance_to(3060)
        .first_launch_stands("d2", "a")
        .advance_to(3200);
    scenario.launch_ends("d1", 0, "a", Outcome::Cancelled).advance_to(3550);
    assert_snapshot!(scenario.take_trace());
}

/// A dialogue that arrives at or past its cut-off is answered at once and never launched.
#[test]
fn dialogue_past_its_cut_off_is_answered_at_once() {
    let mut scenario = scenario("a");
    scenario.advance_to(1000).dial("d1", 0).dial_until("d2", 1005).dial_until("d3", 900).advance_to(1100);
    assert_snapshot!(scenario.take_trace());
}

/// A launch is cancelled at the moment it stands, so that its caller is still owed an answer, which is given at once.
#[test]
fn launch_cancelled_as_it_stood_is_still_answered() {
    let mut scenario = scenario("a");
    scenario
        .dial("d1", 0)
        .advance_to(40)
        .first_launch_stands("d1", "a")
        .advance_to(45)
        .launch_ends("d1", 0, "a", Outcome::Cancelled)
        .advance_to(200);
    assert_snapshot!(scenario.take_trace());
}

/// When capacity is short, the excess dialogues of a tenant over quota are served last.
#[test]
fn tenant_over_quota_comes_last() {
    let mut scenario = scenario("a");
    for n in 0..60 {
        let arrival = Arrival {
            tenant: Some(TenantId(1)),
            dialled_at: ms(n),
            ..scenario.arrival(&format!("o{n:02}"), 0, 0, false)
        };
        scenario.brain.dialogue_arrived(ms(n), arrival, &mut scenario.trace);
        scenario.advance_to(n).first_launch_stands(&format!("o{n:02}"), "a");
    }
    scenario.take_trace();
    scenario.advance_to(100).dial("d1", 0).dial("d2", 0).dial("d3", 0);
    for (name, tenant) in [("t0", 0), ("t1", 1), ("t2", 1), ("t3", 1), ("t4", 0)] {
        let tenant = Some(TenantId(tenant));
        let arrival = Arrival { tenant, dialled_at: ms(110), ..scenario.arrival(name, 0, 0, false) };
        scenario.advance_to(110);
        scenario.brain.dialogue_arrived(ms(110), arrival, &mut scenario.trace);
    }
    for (n, name) in ["d1", "d2", "t0", "t4", "t1", "t2", "t3", "d3"].into_iter().enumerate() {
        scenario.advance_to(120 + 10 * n as u64).first_launch_stands(name, "a");
    }
    assert_snapshot!(scenario.take_trace());
}

/// A server that quickly fails every launch would attract all traffic. Sixteen consecutive failures eject it, and a failed
/// probe launch leaves it ejected.
#[test]
fn server_that_fails_all_launches_is_ejected() {
    let mut scenario = scenario("ab");
    scenario.report_free_lines("a", 90.0).report_free_lines("b", 40.0);
    for n in 0..16 {
        let name = format!("f{n:02}");
        scenario.advance_to(5 * n).dial(&name, 0).advance_to(5 * n + 2).launch_ends(
            &name,
            0,
            "a",
            Outcome::Fault,
        );
        scenario.launch_stands(&name, 1, "b");
    }
    scenario.advance_to(90).dial("d4", 0).advance_to(100).first_launch_stands("d4", "b");
    scenario
        .advance_to(600)
        .dial("d5", 0)
        .advance_to(610)
        .launch_ends("d5", 0, "a", Outcome::Fault)
        .launch_stands("d5", 1, "b");
    scenario
        .advance_to(620)
        .dial("d6", 0)
        .first_launch_stands("d6", "b")
        .advance_to(1600)
        .dial("d7", 0)
        .advance_to(1650)
        .first_launch_stands("d7", "a");
    assert_snapshot!(scenario.take_trace());
}

/// With 200 edge proxies, a server receives overflow from them in turns, not from all at once.
#[test]
fn many_proxies_take_turns_with_overflow() {
    let mut scenario = scenario_with(200, 0, "ab");
    scenario.report_lines("a", 0.0).report_lines("b", 400.0);
    for n in 0..8 {
        let name = format!("d{n}");
        scenario.advance_to(2000 + 200 * n).dial(&name, 0).first_launch_stands(&name, "b");
    }
    assert_snapshot!(scenario.take_trace());
}

/// A reported wait that indicates overload cuts the limit and blocks the server. Below 1 the limit is a share of the
/// dialogues, selected by random rank; a reported wait under normal load undoes one cut.
#[test]
fn reported_overload_admits_a_share_by_random_rank() {
    let mut scenario = scenario_with(200, 0, "a");
    scenario
        .report_lines("a", 400.0)
        .report_wait("a", 2000)
        .advance_to(4000)
        .report_wait("a", 2000)
        .advance_to(9000);
    for n in 0..6 {
        scenario.dial(&format!("p{n}"), 0).first_launch_stands(&format!("p{n}"), "a");
    }
    scenario
        .dial_product("dear", 1, 0, false)
        .first_launch_stands("dear", "a")
        .report_wait("a", 10)
        .report_wait("a", 10)
        .report_wait("a", 10);
    assert_snapshot!(scenario.take_trace());
}

/// A lack of lines is not an overload: the server is blocked only until it reports free lines.
#[test]
fn server_without_free_lines_is_blocked_until_its_next_report() {
    let mut scenario = scenario("a");
    scenario.dial("d1", 0).advance_to(20).launch_ends("d1", 0, "a", Outcome::NoFreeLine).dial("d2", 0);
    scenario.advance_to(60).report_free_lines("a", 2.0).advance_to(100).first_launch_stands("d1", "a");
    assert_snapshot!(scenario.take_trace());
}

/// If all lines of the dialled number are busy, no other server reaches it either, so the dialogue is refused at once.
#[test]
fn dialogue_to_a_busy_number_is_refused_at_once() {
    let mut scenario = scenario("ab");
    scenario.dial("d1", 0).advance_to(20).launch_ends("d1", 0, "a", Outcome::NumberBusy).dial("d2", 0);
    assert_snapshot!(scenario.take_trace());
}

/// The probe launches of 200 edge proxies to an unresponsive server are far apart; the end of a standing dialogue ends
/// the ejection.
#[test]
fn many_proxies_rarely_probe_an_unresponsive_server() {
    let mut scenario = scenario_with(200, 0, "a");
    scenario
        .report_lines("a", 400.0)
        .dial("d0", 0)
        .advance_to(640)
        .first_launch_stands("d0", "a")
        .advance_to(1000)
        .dial("d1", 0)
        .advance_to(2000)
        .dial("d2", 0);
    scenario
        .advance_to(5000)
        .dial("d3", 0)
        .advance_to(6000)
        .launch_ends("d0", 0, "a", Outcome::Ended)
        .dial("d4", 0)
        .advance_to(6100);
    assert_snapshot!(scenario.take_trace());
}

/// Where waiting set-ups are retransmitted, a fast growth of the lines in use cuts the limit before any wait is
/// measured.
#[test]
fn fast_growth_of_lines_in_use_is_a_traffic_surge() {
    let mut scenario = scenario_with(200, 500, "a");
    scenario
        .report_lines("a", 600.0)
        .advance_to(2000)
        .report_lines("a", 500.0)
        .report_lines("a", 400.0)
        .report_lines("a", 300.0);
    for n in 0..8 {
        let name = format!("d{n}");
        scenario.advance_to(5600 + n).dial(&name, 0).first_launch_stands(&name, "a");
    }
    assert_snapshot!(scenario.take_trace());
}

/// Guards against memory that follows the number of calls given up and not the limit of the process.
#[test]
fn callers_remembered_for_their_redials_keep_to_the_limit() {
    let mut scenario = scenario("a");
    scenario.brain.limit_remembered_callers(50);
    for n in 0..1000 {
        let id = dialogue(&n.to_string());
        let arrival = Arrival {
            id: id.clone(),
            product: ProductId(0),
            tenant: None,
            first_choice: ServerNumber(0),
            width: 1.0,
            dialled_at: ms(scenario.trace.now),
            cut_off: ms(scenario.trace.now + 9000),
            is_retry: false,
            redialled_after_cut: false,
            key: Some(DialledKey(Arc::from(format!("number {n}")))),
        };
        scenario.brain.dialogue_arrived(ms(scenario.trace.now), arrival, &mut scenario.trace);
        scenario.brain.caller_left(ms(scenario.trace.now), &id, &mut scenario.trace);
        scenario.advance_to(scenario.trace.now + 1);
        assert_eq!(scenario.brain.remembered_callers(), 50.min(n + 1));
    }
}
