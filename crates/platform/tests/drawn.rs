//! Random runs: whatever the order of inputs, each obligation to a caller is met exactly once. The checker
//! derives the obligations only from what passes on the connections. More seeds, outside CI:
//! `LOTUSSADDLE_SEEDS=5000 cargo test -p lotussaddle-platform --test drawn`.

mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use harness::{FEED, Harness, assert_no_violations, finish};
use lotussaddle::pcg::Pcg;
use lotussaddle_platform::codec::{cause, kind};
use lotussaddle_platform::{EPOCH, SocketId};

const RELEASE_TIME: Duration = Duration::from_millis(150);
/// Time after a caller has left during which a launch for it may still be sent.
const CALLER_LEFT_GRACE: Duration = Duration::from_millis(100);

/// What is known of one call: answers sent, when its caller left, the connection of its open launch, and when
/// the outcome of its last launch became unknown.
#[derive(Default)]
struct CallObligations {
    answers: u32,
    caller_left_at: Option<Duration>,
    launch_connection: Option<SocketId>,
    unresolved_since: Option<Duration>,
}

/// The obligations to all calls, and their violations.
#[derive(Default)]
struct Obligations {
    calls: BTreeMap<u64, CallObligations>,
    violations: Vec<String>,
}

impl Obligations {
    fn set_up_accepted(&mut self, tag: u64) {
        self.calls.insert(tag, CallObligations::default());
    }

    fn caller_left(&mut self, tag: u64, at: Duration) {
        self.calls.entry(tag).or_default().caller_left_at.get_or_insert(at);
    }

    fn answer_sent(&mut self, tag: u64) {
        let call = self.calls.entry(tag).or_default();
        call.answers += 1;
        if call.answers > 1 {
            self.violations.push(format!("{tag}: a second answer"));
        }
        if call.launch_connection.is_some() {
            self.violations.push(format!("{tag}: answered while a launch is open"));
        }
    }

    fn launch_sent(&mut self, tag: u64, on: SocketId, at: Duration) {
        let call = self.calls.entry(tag).or_default();
        let mut violations = Vec::new();
        if call.launch_connection.is_some() {
            violations.push("two open launches");
        }
        if call.answers > 0 {
            violations.push("launched after its answer");
        }
        if call.caller_left_at.is_some_and(|left| at > left + CALLER_LEFT_GRACE) {
            violations.push("launched for a caller that has left");
        }
        if call.unresolved_since.is_some_and(|end| at < end + RELEASE_TIME) {
            violations.push("launched before the release time has passed");
        }
        call.launch_connection = Some(on);
        self.violations.extend(violations.into_iter().map(|what| format!("{tag}: {what}")));
    }

    fn launch_ended(&mut self, tag: u64, at: Duration, is_unresolved: bool) {
        let call = self.calls.entry(tag).or_default();
        if call.launch_connection.take().is_some() && is_unresolved {
            call.unresolved_since = Some(at);
        }
    }

    fn connection_ended(&mut self, on: SocketId, at: Duration) {
        let affected = self.calls.iter().filter(|(_, call)| call.launch_connection == Some(on));
        for tag in affected.map(|(tag, _)| *tag).collect::<Vec<_>>() {
            self.launch_ended(tag, at, true);
        }
    }

    fn violations(mut self) -> Vec<String> {
        for (tag, call) in &self.calls {
            if call.answers == 0 && call.caller_left_at.is_none() {
                self.violations.push(format!("{tag}: never answered"));
            }
            if call.launch_connection.is_some() {
                self.violations.push(format!("{tag}: a launch stays open for ever"));
            }
        }
        self.violations
    }
}

struct Run {
    w: Harness,
    random: Pcg,
    obligations: Obligations,
    /// Open connections of callers, and the unanswered set-ups on each.
    callers: BTreeMap<SocketId, BTreeSet<u64>>,
    /// Standing calls, and the connections of their set-ups.
    standing: BTreeMap<u64, SocketId>,
    closed: BTreeSet<SocketId>,
    next: u64,
    events: u64,
    ended: bool,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut w = Harness::new();
        w.advance_connecting(100);
        Self {
            w,
            random: Pcg::new(seed),
            obligations: Obligations::default(),
            callers: BTreeMap::new(),
            standing: BTreeMap::new(),
            closed: BTreeSet::new(),
            next: 0,
            events: 1,
            ended: false,
        }
    }

    fn below(&mut self, n: usize) -> usize {
        (self.random.share() * n as f64) as usize
    }

    fn pick<T: Copy>(&mut self, from: &[T]) -> Option<T> {
        let at = self.below(from.len().max(1));
        from.get(at).copied()
    }

    /// Records everything sent and closed since the last call.
    fn observe(&mut self) {
        let now = self.w.now;
        for (socket, what, tag, _) in self.w.take_core_messages() {
            match what {
                kind::START => self.obligations.launch_sent(tag.0, socket, now),
                kind::FINISH => {
                    self.obligations.launch_ended(tag.0, now, true);
                    self.standing.remove(&tag.0);
                }
                _ => {}
            }
        }
        let closed: Vec<SocketId> = self.w.net.closed.keys().copied().collect();
        for socket in closed.iter().filter(|socket| !self.callers.contains_key(socket)) {
            if self.closed.insert(*socket) {
                self.obligations.connection_ended(*socket, now);
            }
        }
        for socket in self.callers.keys().copied().collect::<Vec<_>>() {
            for line in self.w.take_sent(socket).lines() {
                let tag =
                    line.split("\"tag\":\"").nth(1).map(|rest| &rest[..16]).expect("the message has a tag");
                let tag = u64::from_str_radix(tag, 16).unwrap();
                let open = self.callers.get_mut(&socket).expect("the connection is known");
                if line.contains("\"STARTED\"") {
                    open.remove(&tag);
                    self.obligations.answer_sent(tag);
                } else if line.contains("\"FINISH\"") && open.remove(&tag) {
                    self.obligations.answer_sent(tag);
                }
            }
        }
        for socket in closed {
            if self.closed.insert(socket)
                && let Some(open) = self.callers.remove(&socket)
            {
                open.into_iter().for_each(|tag| self.obligations.connection_closed_locally(tag, now));
            }
        }
    }

    fn open_launches(&self) -> Vec<(u64, SocketId)> {
        let launches =
            self.obligations.calls.iter().filter_map(|(tag, call)| Some((*tag, call.launch_connection?)));
        launches.filter(|(_, on)| !self.w.net.closed.contains_key(on)).collect()
    }

    fn send_host_event(&mut self, letter: &str, place: usize, health: &str) {
        self.events += 1;
        let at = format!("127.0.1.{}:1", place + 1);
        let host = format!(r#"{{"host":"{letter}","dial":"{at}","block":{place},"health":"{health}"}}"#);
        if !self.w.net.closed.contains_key(&FEED) {
            self.w.send_feed_event(self.events, &host);
        }
    }

    fn step(&mut self) {
        let callers: Vec<SocketId> = self.callers.keys().copied().collect();
        let open = self.open_launches();
        match self.below(30) {
            0 | 1 => {
                let caller = self.w.new_caller();
                self.callers.insert(caller, BTreeSet::new());
            }
            2..=8 => {
                let Some(caller) = self.pick(&callers) else { return };
                self.next += 1;
                let tag = self.next;
                self.obligations.set_up_accepted(tag);
                self.callers.get_mut(&caller).expect("the connection is known").insert(tag);
                self.w.send_start(caller, tag, "dest:0");
            }
            9 => {
                // Cancelled on its own connection.
                let Some(caller) = self.pick(&callers) else { return };
                if let Some(tag) = self.callers[&caller].first().copied() {
                    self.callers.get_mut(&caller).expect("the connection is known").remove(&tag);
                    self.obligations.caller_left(tag, self.w.now);
                    self.w.send_line(caller, finish(tag, cause::NORMAL).trim());
                }
            }
            10 => {
                let Some(caller) = self.pick(&callers) else { return };
                for tag in self.callers.remove(&caller).expect("the connection is known") {
                    self.obligations.caller_left(tag, self.w.now);
                }
                self.closed.insert(caller);
                self.w.lose_connection(caller, false);
            }
            11 => {
                let Some(caller) = self.pick(&callers) else { return };
                if !self.w.net.unread_sockets.remove(&caller) {
                    self.w.net.unread_sockets.insert(caller);
                }
            }
            12..=17 => {
                let Some((tag, on)) = self.pick(&open) else { return };
                self.obligations.launch_ended(tag, self.w.now, false);
                self.standing.insert(tag, on);
                self.w.answer_from_core(on, tag);
                if self.below(8) == 0 && !self.w.net.closed.contains_key(&on) {
                    self.w.answer_from_core(on, tag);
                }
            }
            18 | 19 => {
                let Some((tag, on)) = self.pick(&open) else { return };
                let causes =
                    [cause::FULL, cause::ERROR, cause::NOT_PROCESSED, cause::RESET, cause::NORMAL, 99];
                let cause = self.pick(&causes).expect("the list is not empty");
                self.obligations.launch_ended(tag, self.w.now, cause == cause::RESET);
                self.w.end_from_core(on, tag, cause);
            }
            20 => {
                let Some((_, on)) = self.pick(&open) else { return };
                self.w.platform.bytes_received(self.w.now, on, &[0xff; 40], &mut self.w.net);
                self.w.end_iteration();
            }
            21 => {
                let Some((_, on)) = self.pick(&open) else { return };
                self.w.lose_connection(on, false);
            }
            22..=24 => {
                let standing: Vec<(u64, SocketId)> =
                    self.standing.iter().map(|(tag, on)| (*tag, *on)).collect();
                let Some((tag, on)) = self.pick(&standing) else { return };
                if self.w.net.closed.contains_key(&on) {
                    return;
                }
                if self.below(2) == 0 {
                    self.standing.remove(&tag);
                    self.w.end_from_core(on, tag, cause::NORMAL);
                } else if let Some(caller) = self.pick(&callers) {
                    self.w.send_line(caller, finish(tag, cause::NORMAL).trim());
                }
            }
            25 => {
                let place = self.below(2);
                let health =
                    self.pick(&["Terminating", "Ready", "Ready", "Gone"]).expect("the list is not empty");
                self.send_host_event(["a", "b"][place], place, health);
            }
            _ => {
                for _ in 0..1 + self.below(50) {
                    self.w.advance(5);
                    self.observe();
                }
            }
        }
        self.observe();
        // Connections that were started come up, are refused, or do neither.
        for (socket, _) in std::mem::take(&mut self.w.net.started_connections) {
            if socket == FEED || self.w.net.closed.contains_key(&socket) {
                continue;
            }
            match self.below(10) {
                0 => self.w.lose_connection(socket, true),
                1 => {}
                _ => self.w.bring_up(socket),
            }
            self.observe();
        }
    }

    fn run(mut self) -> Vec<String> {
        for step in 0..400 {
            self.step();
            if step == 300 && self.below(3) == 0 {
                self.ended = true;
                self.w.platform.start_shutdown(self.w.now, &mut self.w.net);
            }
            if step % 5 == 0 && !self.w.net.closed.contains_key(&FEED) {
                let n = self.events.to_string();
                self.w.send_line(FEED, &n);
            }
        }
        self.w.net.unread_sockets.clear();
        // No further input comes from callers; core servers end the standing calls.
        for _ in 0..3000 {
            self.w.advance(5);
            self.observe();
            for (socket, _) in std::mem::take(&mut self.w.net.started_connections) {
                if socket != FEED && !self.w.net.closed.contains_key(&socket) {
                    self.w.bring_up(socket);
                }
            }
            self.observe();
            for (tag, on) in self.standing.clone() {
                // On the connection of its set-up, otherwise on any open one; if there is none, on the next.
                let own = Some(on).filter(|on| !self.w.net.closed.contains_key(on));
                let connection = own.or_else(|| {
                    self.w.open_connections_to(&self.w.net.address_of[&on].clone()).first().copied()
                });
                if let Some(connection) = connection {
                    self.standing.remove(&tag);
                    self.w.end_from_core(connection, tag, cause::NORMAL);
                }
            }
            self.observe();
        }
        let mut violations = self.obligations.violations();
        let (calls, pending_releases, description_bytes) = self.w.platform.auxiliary_sizes();
        let held = self.w.platform.sizes().0;
        if (held, calls, pending_releases, description_bytes) != (0, 0, 0, 0) {
            violations.push(format!("left at the end: {held} held, {calls} calls, {pending_releases} releases, {description_bytes} description bytes"));
        }
        if self.ended && !self.w.platform.can_exit(self.w.now) {
            violations.push("shutdown requested but not completed".into());
        }
        violations
    }
}

impl Obligations {
    /// The connection of an unanswered call was closed by the proxy, which is a violation.
    fn connection_closed_locally(&mut self, tag: u64, at: Duration) {
        if self.calls.get(&tag).is_some_and(|call| call.answers == 0 && call.caller_left_at.is_none()) {
            self.violations.push(format!("{tag}: its connection was closed without an answer at {at:?}"));
        }
    }
}

#[test]
fn each_obligation_is_met_exactly_once_in_random_runs() {
    assert_no_violations(150, |seed| Run::new(seed).run());
}

#[test]
fn each_checked_property_can_fail() {
    let (a, b) = (SocketId(1), SocketId(2));
    let ms = |ms| EPOCH + Duration::from_millis(ms);
    let violations_of = |record: &dyn Fn(&mut Obligations)| {
        let mut obligations = Obligations::default();
        obligations.set_up_accepted(7);
        record(&mut obligations);
        obligations.violations().join("; ")
    };
    assert_eq!(violations_of(&|d| d.answer_sent(7)), "");
    assert!(violations_of(&|_| ()).contains("never answered"));
    assert!(violations_of(&|d| (0..2).for_each(|_| d.answer_sent(7))).contains("a second answer"));
    let two = |d: &mut Obligations| [a, b].into_iter().for_each(|on| d.launch_sent(7, on, ms(0)));
    assert!(violations_of(&two).contains("two open launches"));
    let gone = |d: &mut Obligations| {
        d.caller_left(7, ms(0));
        d.launch_sent(7, a, ms(101));
    };
    assert!(violations_of(&gone).contains("for a caller that has left"));
    let early = |d: &mut Obligations| {
        d.launch_sent(7, a, ms(0));
        d.connection_ended(a, ms(10));
        d.launch_sent(7, b, ms(159));
    };
    assert!(violations_of(&early).contains("before the release time"));
    let after = |d: &mut Obligations| {
        d.answer_sent(7);
        d.launch_sent(7, a, ms(0));
    };
    assert!(
        violations_of(&after).contains("after its answer") && violations_of(&after).contains("open for ever")
    );
    let out = |d: &mut Obligations| {
        d.launch_sent(7, a, ms(0));
        d.answer_sent(7);
    };
    assert!(violations_of(&out).contains("while a launch is open"));
    assert!(violations_of(&|d| d.connection_closed_locally(7, ms(0))).contains("closed without an answer"));
}
