//! Releases of standing calls: a connected caller receives the end in time, whatever connections open and
//! close.

mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use harness::{Harness, finish};
use lotussaddle_platform::SocketId;
use lotussaddle_platform::codec::{Tag, cause, kind};

#[test]
fn a_connection_is_kept_open_while_one_of_its_calls_stands() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    w.advance_connecting(9000);
    assert!(!w.net.closed.contains_key(&caller), "no other connection can carry the end");
    let core = if w.net.closed.contains_key(&core) { w.open_connections_to("127.0.1.1")[0] } else { core };
    w.end_from_core(core, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::NORMAL));
    w.assert_nothing_held();
    w.advance(4700);
    assert!(!w.net.closed.contains_key(&caller), "callers close it first");
    w.advance(200);
    assert!(w.net.closed.contains_key(&caller));
}

#[test]
fn a_connection_with_standing_calls_is_closed_last() {
    let mut w = Harness::new();
    let (caller, _) = w.new_standing_call(5);
    let others: Vec<SocketId> = (0..127).map(|_| w.new_caller()).collect();
    for other in &others {
        w.send_line(*other, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    }
    w.new_caller();
    assert!(!w.net.closed.contains_key(&caller) && w.net.closed.contains_key(&others[0]));
}

#[test]
fn a_release_without_a_connection_is_sent_on_the_next_one() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    w.lose_connection(caller, false);
    w.end_from_core(core, 5, cause::NORMAL);
    w.advance(3000);
    let other = w.new_caller();
    w.advance(50);
    assert_eq!(w.take_sent_and_acknowledge(other), finish(5, cause::NORMAL));
    w.assert_nothing_held();
}

#[test]
fn an_unacknowledged_release_is_sent_on_the_next_connection() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    let unacknowledging = w.new_caller();
    w.send_line(unacknowledging, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    w.take_sent_and_acknowledge(unacknowledging);
    let (caller_of_six, server_of_six) = w.new_standing_call(6);
    w.lose_connection(caller, false);
    w.lose_connection(caller_of_six, false);
    w.end_from_core(core, 5, cause::NORMAL);
    assert_eq!(w.take_sent(unacknowledging), finish(5, cause::NORMAL));
    let other = w.new_caller();
    w.advance(250);
    assert_eq!(
        (w.take_sent(unacknowledging), w.take_sent_and_acknowledge(other)),
        (String::new(), finish(5, cause::NORMAL))
    );
    w.advance_connecting(9000);
    assert_eq!(w.platform.auxiliary_sizes().1, 0);
    // A release not acknowledged on its own connection is not sent elsewhere, unless that connection is lost.
    let late = w.new_caller();
    let core = w.open_connections_to("127.0.1.1")[0];
    assert_ne!(core, server_of_six);
    w.end_from_core(core, 6, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(late), finish(6, cause::NORMAL));
    let (own, core) = w.new_standing_call(7);
    let (other, _) = w.new_standing_call(8);
    w.end_from_core(core, 7, cause::NORMAL);
    w.advance(400);
    assert_eq!(
        (w.take_sent(own), w.take_sent_and_acknowledge(other)),
        (finish(7, cause::NORMAL), String::new())
    );
    w.lose_connection(own, false);
    w.advance(50);
    assert_eq!(w.take_sent_and_acknowledge(other), finish(7, cause::NORMAL));
}

/// Pseudo-random numbers from a seed.
struct RandomSource(u64);

impl RandomSource {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

/// A call of the simulated callers.
struct Call {
    /// The connection on which it was set up, while that is open.
    connection: SocketId,
    core: Option<SocketId>,
    ends_at: Duration,
}

/// Callers as the platform describes them: few, each with a connection that it keeps open while one of its
/// calls stands and closes after 4 s without one. Beside them are connections that send one valid message and
/// accept releases without acknowledging them.
struct CallerSimulation {
    w: Harness,
    random: RandomSource,
    next: u64,
    /// Open connections, and when each last had a call.
    connections: BTreeMap<SocketId, Duration>,
    unrelated_connections: BTreeSet<SocketId>,
    calls: BTreeMap<Tag, Call>,
    /// Ended calls: since when, and the connections open ever since, including the call's own while it lasts.
    ended: BTreeMap<Tag, (Duration, BTreeSet<SocketId>)>,
}

impl CallerSimulation {
    fn new(seed: u64) -> Self {
        Self {
            w: Harness::new(),
            random: RandomSource(seed.wrapping_mul(0x9e3779b97f4a7c15)),
            next: 1,
            connections: BTreeMap::new(),
            unrelated_connections: BTreeSet::new(),
            calls: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    fn start_call(&mut self) {
        let known: Vec<SocketId> = self.connections.keys().copied().collect();
        let socket = match self.random.below(3) {
            0 if !known.is_empty() => known[self.random.below(known.len() as u64) as usize],
            _ => self.w.new_caller(),
        };
        self.connections.insert(socket, self.w.now);
        let tag = self.next;
        self.next += 1;
        self.w.send_start(socket, tag, "dest:0;width:1;via:-1");
        // The critical ends lie around the time at which idle connections are closed.
        let duration_ms = match self.random.below(3) {
            0 => self.random.below(2000),
            1 => 3900 + self.random.below(1500),
            _ => self.random.below(12_000),
        };
        let ends_at = self.w.now + Duration::from_millis(duration_ms);
        self.calls.insert(Tag(tag), Call { connection: socket, core: None, ends_at });
    }

    fn forget_connection(&mut self, socket: SocketId) {
        self.connections.remove(&socket);
        self.ended
            .values_mut()
            .for_each(|(_, connections_since)| connections_since.retain(|other| *other != socket));
    }

    /// Handles what callers were sent, and closes connections as callers do.
    fn handle_sent(&mut self) {
        let now = self.w.now;
        for socket in self.unrelated_connections.clone() {
            self.w.take_sent(socket);
        }
        for socket in self.connections.keys().copied().collect::<Vec<_>>() {
            let sent = self.w.take_sent_and_acknowledge(socket);
            for line in sent.lines().filter(|line| line.contains("\"FINISH\"")) {
                let tag = Tag::parse(&line.split("\"tag\":\"").nth(1).unwrap()[..16]).unwrap();
                self.ended.remove(&tag);
                self.calls.remove(&tag);
            }
            let busy = self.calls.values().any(|call| call.connection == socket);
            assert!(!(busy && self.w.net.closed.contains_key(&socket)), "closed during a call");
            if self.w.net.closed.contains_key(&socket) {
                self.forget_connection(socket);
            } else if busy {
                self.connections.insert(socket, now);
            } else if now >= self.connections[&socket] + Duration::from_secs(4) {
                self.w.lose_connection(socket, false);
                self.forget_connection(socket);
            }
        }
        for (tag, (since, connections_since)) in &self.ended {
            let (late, waited) = (now - *since, now > *since + Duration::from_secs(1));
            assert!(
                !waited || connections_since.is_empty(),
                "{tag} ended {late:?} ago; connections open since: {connections_since:?}"
            );
        }
    }

    fn reset_connection(&mut self, socket: SocketId) {
        self.w.lose_connection(socket, false);
        self.forget_connection(socket);
        let lost = |call: &Call| call.connection == socket && call.core.is_none();
        self.calls.retain(|_, call| !lost(call));
    }

    fn run(&mut self) {
        for step in 0..700 {
            self.w.advance(50);
            self.w.send_line(harness::FEED, "1");
            self.w.establish_connections();
            for core in self.w.open_connections_to("127.0.1.1").into_iter().filter(|_| step % 10 == 0) {
                self.w.send_from_core(core, kind::PENDING, 0, &[]);
            }
            if step < 400 && self.random.below(40) == 0 {
                self.start_call();
            }
            for (socket, kind, tag, _) in self.w.take_core_messages() {
                if kind == kind::START {
                    self.w.answer_from_core(socket, tag.0);
                    if let Some(call) = self.calls.get_mut(&tag) {
                        call.core = Some(socket);
                    }
                }
            }
            let now = self.w.now;
            let ending: Vec<Tag> = self
                .calls
                .iter()
                .filter(|(_, c)| c.ends_at <= now && c.core.is_some())
                .map(|(t, _)| *t)
                .collect();
            for tag in ending {
                let call = self.calls.get_mut(&tag).unwrap();
                (call.ends_at, call.core) = (Duration::MAX, call.core.take());
                self.ended.insert(tag, (now, self.connections.keys().copied().collect()));
                let any = self.w.open_connections_to("127.0.1.1")[0];
                self.w.end_from_core(any, tag.0, cause::NORMAL);
            }
            match self.random.below(200) {
                0 if !self.connections.is_empty() => {
                    let known: Vec<SocketId> = self.connections.keys().copied().collect();
                    let place = self.random.below(known.len() as u64) as usize;
                    self.reset_connection(known[place]);
                }
                1 if self.unrelated_connections.len() < 3 => {
                    let socket = self.w.new_caller();
                    self.w.send_line(socket, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
                    self.unrelated_connections.insert(socket);
                }
                _ => {}
            }
            self.unrelated_connections.retain(|socket| !self.w.net.closed.contains_key(socket));
            self.handle_sent();
        }
        assert_eq!(self.w.platform.sizes().0, 0);
    }
}

/// `LOTUSSADDLE_SEEDS` sets the number of seeds; CI runs 300.
#[test]
fn callers_with_short_connections_receive_every_release() {
    let seeds = std::env::var("LOTUSSADDLE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    for seed in 1..=seeds {
        let mut callers = CallerSimulation::new(seed);
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| callers.run()));
        assert!(outcome.is_ok(), "seed {seed}: {:?}", callers.w.net.log.last());
    }
}
