//! Short nights of one edge proxy: what comes in, and the trace of what it decides. Times in milliseconds.

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
    alarm: Option<u64>,
}

impl Trace {
    fn put(&mut self, line: std::fmt::Arguments) {
        let _ = writeln!(self.text, "{:>6} {line}", self.now);
    }
}

impl Signalling for Trace {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration) {
        self.put(format_args!("launch {} at {} for {}", dialogue.0, server.0, time_out.as_millis()));
    }
    fn refuse(&mut self, dialogue: &DialogueId, come_back: Option<Duration>) {
        self.put(format_args!("refuse {}, come back in {:?}", dialogue.0, come_back.unwrap_or_default()));
    }
    fn fail(&mut self, dialogue: &DialogueId) {
        self.put(format_args!("fail {}", dialogue.0));
    }
    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        self.put(format_args!("cancel {} launch {}", dialogue.0, launch.0));
    }
    fn set_timer(&mut self, _timer: TimerId, after: Duration) {
        self.alarm = Some(self.now + after.as_millis() as u64);
    }
    fn log(&mut self, line: &str) {
        self.put(format_args!("log: {line}"));
    }
}

struct Night {
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

/// Two products: plain (gain 1) and dear (gain 6). Servers a, b, ... have the numbers 0, 1, ...
fn night(servers: &str) -> Night {
    night_of(4, 0, servers)
}

fn night_of(proxies: u32, resend: u64, servers: &str) -> Night {
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
        resend_after: ms(resend),
        max_launches: 4,
        callers_mark_retries: true,
        may_cancel: true,
        max_retry_after: ms(2000),
        cold_start_share: 0.4,
        warm_up_time: ms(10_000),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
    };
    let mut night = Night { brain: Brain::new(plan, 7), trace: Trace::default() };
    for name in servers.chars() {
        night.list(&name.to_string(), ServerState::Active, 0);
    }
    night
}

impl Night {
    /// Lets the time pass and the alarms ring.
    fn at(&mut self, time: u64) -> &mut Self {
        while let Some(alarm) = self.trace.alarm.filter(|alarm| *alarm <= time) {
            self.trace.now = alarm;
            self.trace.alarm = None;
            self.brain.timer_fired(ms(alarm), TimerId(0), &mut self.trace);
        }
        self.trace.now = time;
        self
    }

    fn list(&mut self, name: &str, listed: ServerState, since: u64) -> &mut Self {
        let number = ServerNumber(i64::from(name.as_bytes()[0] - b'a'));
        let entry = ListEntry { server: server(name), number, state: listed, started: ms(since) };
        self.brain.server_list_received(ms(self.trace.now), false, &[entry], &mut self.trace);
        self
    }

    fn free(&mut self, name: &str, lines: f64) -> &mut Self {
        let report = LoadReport { free_lines: Some(lines), ..LoadReport::default() };
        self.brain.load_reported(ms(self.trace.now), &server(name), &report, &mut self.trace);
        self
    }

    /// So many of a thousand lines are free.
    fn lines(&mut self, name: &str, free: f64) -> &mut Self {
        let report =
            LoadReport { free_lines: Some(free), total_lines: Some(1000.0), ..LoadReport::default() };
        self.brain.load_reported(ms(self.trace.now), &server(name), &report, &mut self.trace);
        self.at(self.trace.now + 600);
        self.brain.load_reported(ms(self.trace.now), &server(name), &report, &mut self.trace);
        self
    }

    fn waits(&mut self, name: &str, wait: u64) -> &mut Self {
        let report = LoadReport { processor_wait: Some(ms(wait)), ..LoadReport::default() };
        self.brain.load_reported(ms(self.trace.now), &server(name), &report, &mut self.trace);
        self
    }

    fn dial_until(&mut self, name: &str, cut_off: u64) -> &mut Self {
        let arrival = Arrival { cut_off: ms(cut_off), ..self.arrival(name, 0, 0, false) };
        self.brain.dialogue_arrived(ms(self.trace.now), arrival, &mut self.trace);
        self
    }

    fn dial_as(&mut self, name: &str, product: usize, choice: i64, again: bool) -> &mut Self {
        let arrival = self.arrival(name, product, choice, again);
        self.brain.dialogue_arrived(ms(self.trace.now), arrival, &mut self.trace);
        self
    }

    fn arrival(&self, name: &str, product: usize, choice: i64, again: bool) -> Arrival {
        Arrival {
            id: dialogue(name),
            key: Some(DialledKey(Arc::from(&name[..2]))),
            product: ProductId(product),
            tenant: None,
            first_choice: ServerNumber(choice),
            width: 1.0,
            dialled_at: ms(self.trace.now),
            cut_off: ms(self.trace.now + 3000),
            is_retry: again,
            redialled_after_cut: false,
        }
    }

    fn dial(&mut self, name: &str, choice: i64) -> &mut Self {
        self.dial_as(name, 0, choice, false)
    }

    fn stands(&mut self, name: &str, at: &str) -> &mut Self {
        self.stands_by(name, 0, at)
    }

    fn stands_by(&mut self, name: &str, launch: u32, at: &str) -> &mut Self {
        let now = ms(self.trace.now);
        self.brain.dialogue_stands(now, &dialogue(name), LaunchNumber(launch), &server(at), &mut self.trace);
        self
    }

    fn ends(&mut self, name: &str, launch: u32, at: &str, outcome: Outcome) -> &mut Self {
        self.over(name, launch, at, outcome, outcome == Outcome::Ended)
    }

    fn over(&mut self, name: &str, launch: u32, at: &str, outcome: Outcome, closed: bool) -> &mut Self {
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

    /// Dialogues that stand after the given wait, one each half second.
    fn calm(&mut self, at: &str, choice: i64, wait: u64, count: u64) -> &mut Self {
        let begin = self.trace.now;
        for n in 0..count {
            let name = format!("{at}{choice}-{begin}-{n}");
            self.at(begin + n * 500).dial(&name, choice).at(begin + n * 500 + wait).stands(&name, at);
        }
        self
    }

    fn told(&mut self) -> String {
        std::mem::take(&mut self.trace.text)
    }
}

/// The design: first choice while the estimate covers it, else the most estimated free lines.
#[test]
fn first_choice_then_most_free_lines() {
    let mut night = night("abc");
    night.free("a", 1.0).free("b", 2.0).free("c", 5.0);
    night.dial("d1", 0).dial("d2", 0).dial("d3", 1).free("a", 1.0).dial("d4", 0);
    assert_snapshot!(night.told());
}

/// Turned back: zero free until its next report, and the dialogue picks again once.
#[test]
fn turned_back_picks_again_once() {
    let mut night = night("ab");
    night.dial("d1", 0).at(30).ends("d1", 0, "a", Outcome::TurnedBack);
    night.dial("d2", 0).at(60).ends("d1", 1, "b", Outcome::TurnedBack).free("a", 3.0).dial("d3", 0);
    assert_snapshot!(night.told());
}

/// More than the limit wait here; what is freed goes to the highest gain, then to the newest.
#[test]
fn the_waiting_room_serves_gain_then_the_newest() {
    let mut night = night("a");
    night
        .dial("d1", 0)
        .dial("d2", 0)
        .at(5)
        .dial("d3", 0)
        .at(10)
        .dial("d4", 0)
        .at(15)
        .dial_as("d5", 1, 0, false);
    night.at(100).stands("d1", "a").at(150).stands("d5", "a").at(2000);
    assert_snapshot!(night.told());
}

/// A hung server: set aside, its launches called off and, after the release, sent elsewhere; a trial ends it.
#[test]
fn a_silent_server_is_set_aside_until_a_trial() {
    let mut night = night("ab");
    night.calm("a", 0, 50, 4).told();
    night.at(3000).dial("d1", 0).at(3460).dial("d2", 0).at(3500).stands("d2", "b");
    night.at(3905).ends("d1", 0, "a", Outcome::Cancelled).at(4210).stands_by("d1", 1, "b");
    night.at(4300).dial("d3", 0).at(4400).stands("d3", "a").dial("d4", 0);
    assert_snapshot!(night.told());
}

/// A slow server is no hung one: after its late answer the patience with it has doubled.
#[test]
fn slow_is_not_silent() {
    let mut night = night("a");
    night.dial("d1", 0).at(600).stands("d1", "a").at(700).dial("d2", 0).at(1500).stands("d2", "a").at(1600);
    assert_snapshot!(night.told());
}

/// A broken set-up waits for the release and shuns that server, which stays in use for others.
#[test]
fn a_broken_set_up_shuns_the_server() {
    let mut night = night("ab");
    night.dial("d1", 0).at(20).ends("d1", 0, "a", Outcome::BrokenOff).dial("d2", 0).at(400);
    assert_snapshot!(night.told());
}

/// Out of reach twice running is down: set aside, and cold when it answers again before the list tells.
#[test]
fn out_of_reach_is_down_and_comes_back_cold() {
    let mut night = night("ab");
    night.calm("a", 0, 50, 20).told();
    night.at(12_000).dial("d1", 0).ends("d1", 0, "a", Outcome::Unreachable);
    night
        .dial("d2", 0)
        .ends("d2", 0, "a", Outcome::Unreachable)
        .at(12_050)
        .stands("d1", "b")
        .stands("d2", "b");
    night.at(12_600).dial("d3", 0).at(12_650).stands("d3", "a");
    night.dial("d4", 0).dial("d5", 0).at(12_700).stands("d5", "b").at(13_950);
    assert_snapshot!(night.told());
}

/// A replacement under a known number: launches are spaced by what its forerunner bore.
#[test]
fn a_cold_server_gets_spaced_launches() {
    let mut night = night("a");
    night.calm("a", 0, 50, 20).told();
    night.at(20_000).list("a", ServerState::Active, 19_900).dial("d1", 0).dial("d2", 0).dial("d3", 0);
    night.at(20_050).stands("d1", "a").at(20_900).stands("d2", "a").stands("d3", "a").at(22_000);
    assert_snapshot!(night.told());
}

/// Nothing new to a server that drains or is gone, from the very message on.
#[test]
fn a_drain_is_kept_at_once() {
    let mut night = night("ab");
    night.free("a", 50.0).free("b", 9.0).list("a", ServerState::Draining, 0).dial("d1", 0);
    night.list("b", ServerState::Gone, 0).dial("d2", 1).at(2000);
    assert_snapshot!(night.told());
}

/// Whatever hangs, the answer is given before the cut-off; what comes later changes nothing.
#[test]
fn the_cut_off_is_kept_and_late_answers_change_nothing() {
    let mut night = night("a");
    night.calm("a", 0, 300, 3).told();
    night.at(2000).dial("d1", 0).at(2400).dial("d2", 0).at(2900).stands("d2", "a").at(6000);
    night.ends("d1", 0, "a", Outcome::Ended).stands("d1", "a");
    assert_snapshot!(night.told());
}

/// A further try is measured from its caller's first dial, so a fresh dialogue goes before a late one.
#[test]
fn a_further_try_is_late_from_its_first_dial() {
    let mut night = night("a");
    night.dial("d1", 0).dial("d2", 0).dial("d3", 0).at(390).stands("d1", "a").at(391);
    night.brain.caller_left(ms(391), &dialogue("d3"), &mut night.trace);
    night
        .at(1600)
        .dial_as("d3-2", 0, 0, true)
        .dial("d4", 0)
        .stands("d2", "a")
        .at(1700)
        .stands("d4", "a")
        .at(2000);
    assert_snapshot!(night.told());
}

/// A launch that later ones overtake was lost on the way: called off, and launched elsewhere in time.
#[test]
fn an_overtaken_launch_goes_elsewhere() {
    let mut night = night("ab");
    night.calm("a", 0, 50, 4).told();
    night.at(3000).dial("d1", 0).at(3010).dial("d2", 0).at(3060).stands("d2", "a").at(3200);
    night.ends("d1", 0, "a", Outcome::Cancelled).at(3550);
    assert_snapshot!(night.told());
}

/// One that arrives at or past its cut-off is answered at once and never launched.
#[test]
fn past_its_cut_off_a_dialogue_is_answered_at_once() {
    let mut night = night("a");
    night.at(1000).dial("d1", 0).dial_until("d2", 1005).dial_until("d3", 900).at(1100);
    assert_snapshot!(night.told());
}

/// Called off in the moment it stood: the end that leaves its answer owed is answered at once.
#[test]
fn an_end_that_leaves_the_answer_owed_is_answered() {
    let mut night = night("a");
    night.dial("d1", 0).at(40).stands("d1", "a").at(45).ends("d1", 0, "a", Outcome::Cancelled).at(200);
    assert_snapshot!(night.told());
}

/// A tenant that asks more than its part of the quotas is passed over with the excess, when room is short.
#[test]
fn beyond_its_quota_a_tenant_comes_last() {
    let mut night = night("a");
    for n in 0..60 {
        let arrival = Arrival {
            tenant: Some(TenantId(1)),
            dialled_at: ms(n),
            ..night.arrival(&format!("o{n:02}"), 0, 0, false)
        };
        night.brain.dialogue_arrived(ms(n), arrival, &mut night.trace);
        night.at(n).stands(&format!("o{n:02}"), "a");
    }
    night.told();
    night.at(100).dial("d1", 0).dial("d2", 0).dial("d3", 0);
    for (name, tenant) in [("t0", 0), ("t1", 1), ("t2", 1), ("t3", 1), ("t4", 0)] {
        let tenant = Some(TenantId(tenant));
        let arrival = Arrival { tenant, dialled_at: ms(110), ..night.arrival(name, 0, 0, false) };
        night.at(110);
        night.brain.dialogue_arrived(ms(110), arrival, &mut night.trace);
    }
    for (n, name) in ["d1", "d2", "t0", "t4", "t1", "t2", "t3", "d3"].into_iter().enumerate() {
        night.at(120 + 10 * n as u64).stands(name, "a");
    }
    assert_snapshot!(night.told());
}

/// A server that fails all it is sent, and quickly, would draw everything: sixteen running set it aside, and a
/// trial that fails keeps it there.
#[test]
fn a_quick_failer_is_set_aside() {
    let mut night = night("ab");
    night.free("a", 90.0).free("b", 40.0);
    for n in 0..16 {
        let name = format!("f{n:02}");
        night.at(5 * n).dial(&name, 0).at(5 * n + 2).ends(&name, 0, "a", Outcome::Fault);
        night.stands_by(&name, 1, "b");
    }
    night.at(90).dial("d4", 0).at(100).stands("d4", "b");
    night.at(600).dial("d5", 0).at(610).ends("d5", 0, "a", Outcome::Fault).stands_by("d5", 1, "b");
    night.at(620).dial("d6", 0).stands("d6", "b").at(1600).dial("d7", 0).at(1650).stands("d7", "a");
    assert_snapshot!(night.told());
}

/// With 200 proxies, what others turn away comes to a server by turns: not from everyone at once.
#[test]
fn overflow_takes_turns_where_proxies_are_many() {
    let mut night = night_of(200, 0, "ab");
    night.lines("a", 0.0).lines("b", 400.0);
    for n in 0..8 {
        let name = format!("d{n}");
        night.at(2000 + 200 * n).dial(&name, 0).stands(&name, "b");
    }
    assert_snapshot!(night.told());
}

/// A wait told beyond the ease cuts the limit and rests the server; below 1 it is a share of the dialogues, by
/// lot over gain, and a wait told in ease gives a cut back.
#[test]
fn a_told_wait_leaves_a_share_by_lot_over_gain() {
    let mut night = night_of(200, 0, "a");
    night.lines("a", 400.0).waits("a", 2000).at(4000).waits("a", 2000).at(9000);
    for n in 0..6 {
        night.dial(&format!("p{n}"), 0).stands(&format!("p{n}"), "a");
    }
    night.dial_as("dear", 1, 0, false).stands("dear", "a").waits("a", 10).waits("a", 10).waits("a", 10);
    assert_snapshot!(night.told());
}

/// Want of lines is no jam: the server rests only until it tells of free lines.
#[test]
fn want_of_lines_rests_a_server_until_its_next_report() {
    let mut night = night("a");
    night.dial("d1", 0).at(20).ends("d1", 0, "a", Outcome::NoFreeLine).dial("d2", 0);
    night.at(60).free("a", 2.0).at(100).stands("d1", "a");
    assert_snapshot!(night.told());
}

/// All lines of the number are busy: no other server reaches it either, so it is refused at once.
#[test]
fn a_busy_number_is_refused_at_once() {
    let mut night = night("ab");
    night.dial("d1", 0).at(20).ends("d1", 0, "a", Outcome::NumberBusy).dial("d2", 0);
    assert_snapshot!(night.told());
}

/// Trials of 200 proxies at a silent server come far apart; the end of a standing dialogue ends the silence.
#[test]
fn many_proxies_try_a_silent_server_seldom() {
    let mut night = night_of(200, 0, "a");
    night
        .lines("a", 400.0)
        .dial("d0", 0)
        .at(640)
        .stands("d0", "a")
        .at(1000)
        .dial("d1", 0)
        .at(2000)
        .dial("d2", 0);
    night.at(5000).dial("d3", 0).at(6000).ends("d0", 0, "a", Outcome::Ended).dial("d4", 0).at(6100);
    assert_snapshot!(night.told());
}

/// Where what waits is sent again, told lines that fill fast cut the limit before any wait is met.
#[test]
fn lines_that_fill_fast_are_a_surge() {
    let mut night = night_of(200, 500, "a");
    night.lines("a", 600.0).at(2000).lines("a", 500.0).lines("a", 400.0).lines("a", 300.0);
    for n in 0..8 {
        let name = format!("d{n}");
        night.at(5600 + n).dial(&name, 0).stands(&name, "a");
    }
    assert_snapshot!(night.told());
}
