//! A core server in virtual time that reports ends as the protocol says, and connections to it that fail while
//! they stay open.
//!
//! It sends the release of a standing call on the connection of its set-up while that is open, otherwise on any
//! open one, and again on the next connection opened.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lotussaddle_platform::SocketId;
use lotussaddle_platform::codec::{Tag, cause, code, kind, write_binary_message};

use super::{FEED, Harness, finish};

/// Time between two looks at what passes.
pub const STEP_MS: u64 = 50;
const REPORT_INTERVAL_MS: u64 = 1000;
/// A caller is told of the end of its call within this time, including the protocol's tolerance.
pub const RELEASE_LIMIT: Duration = Duration::from_millis(8050);
/// Set-ups are waited for up to 8 s, and idle connections are not closed during a test.
const CHANGES: [(&str, &str); 2] = [
    ("\"hardLimitMs\":3000.0", "\"hardLimitMs\":9000.0"),
    ("\"connIdleMs\":10000.0", "\"connIdleMs\":600000.0"),
];
/// All set-ups go to one server.
const OTHER_SERVER_DRAINS: &str = r#"{"host":"b","dial":"127.0.1.2:1","block":1,"health":"Terminating"}"#;

pub fn message(kind: u8, tag: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut bytes = Vec::new();
    assert!(write_binary_message(kind, Tag(tag), parameters, &mut bytes));
    bytes
}

pub fn answer(tag: u64) -> Vec<u8> {
    message(kind::STARTED, tag, &[(code::DESCRIPTION, b"v=0\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000")])
}

/// What a core server does to a connection that stays open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// Half of an answer is sent, and nothing afterwards.
    AnswerStopsShort,
    /// The length of an answer is too large, so that everything sent afterwards counts as part of it.
    AnswerLengthTooLarge,
    /// Noise that begins like the length of a message, and nothing afterwards.
    Noise,
    /// An answer does not arrive, and nothing else does.
    AnswerNeverArrives,
    /// Half of an answer is sent, then single bytes without an end.
    EndlessAnswer,
    /// The first half of a load report is sent, and nothing afterwards.
    ReportStopsShort,
    /// The length of an answer is too small, so that its rest counts as the beginning of the next message.
    AnswerLengthTooSmall,
    /// Load reports arrive, and nothing else does.
    OnlyReportsArrive,
}

/// The failures after which no complete message arrives.
pub const FAILURES: [Failure; 7] = [
    Failure::AnswerStopsShort,
    Failure::AnswerLengthTooLarge,
    Failure::AnswerLengthTooSmall,
    Failure::Noise,
    Failure::AnswerNeverArrives,
    Failure::EndlessAnswer,
    Failure::ReportStopsShort,
];

/// A core server, `a` of the harness, with its connections and the calls that stand there.
pub struct CoreServer {
    pub w: Harness,
    pub started: Duration,
    pub connections: BTreeSet<SocketId>,
    pub failed: BTreeMap<SocketId, Failure>,
    /// Connections on which the network is slow, and the bytes sent there and not delivered yet.
    pub delayed: BTreeMap<SocketId, Vec<u8>>,
    /// Connections that come up from now on deliver nothing.
    pub new_connections_fail: bool,
    /// Whether it sends load reports unasked; otherwise it sends progress on one connection, as if set-ups
    /// were open there.
    pub sends_reports: bool,
    pub is_paused: bool,
    /// The standing calls and the connection of each set-up.
    pub calls: BTreeMap<u64, SocketId>,
    /// Releases that are repeated on the next connection opened.
    pub repeated_on_next: Vec<u64>,
    pub reports_sent: u64,
    pub next_tag: u64,
}

impl CoreServer {
    pub fn new() -> Self {
        Self::with_changes(&[])
    }

    /// With further changes of the harness's configuration.
    pub fn with_changes(changes: &[(&str, &str)]) -> Self {
        let mut w = Harness::with_changes(&[&CHANGES, changes].concat());
        w.send_feed_event(2, OTHER_SERVER_DRAINS);
        let mut server = Self {
            started: w.now,
            w,
            connections: BTreeSet::new(),
            failed: BTreeMap::new(),
            delayed: BTreeMap::new(),
            new_connections_fail: false,
            sends_reports: true,
            is_paused: false,
            calls: BTreeMap::new(),
            repeated_on_next: Vec::new(),
            reports_sent: 0,
            next_tag: 1,
        };
        server.run(100);
        server
    }

    pub fn is_open(&self, socket: SocketId) -> bool {
        self.connections.contains(&socket) && !self.w.net.closed.contains_key(&socket)
    }

    pub fn open_connections(&self) -> Vec<SocketId> {
        self.connections.iter().copied().filter(|socket| self.is_open(*socket)).collect()
    }

    pub fn deliver(&mut self, socket: SocketId, bytes: &[u8]) {
        self.w.platform.bytes_received(self.w.now, socket, bytes, &mut self.w.net);
        self.w.end_iteration();
    }

    /// Sends bytes that the network delivers as far as the connection's failure lets it.
    pub fn send(&mut self, socket: SocketId, bytes: &[u8]) {
        let is_lost = match self.failed.get(&socket) {
            None | Some(Failure::AnswerLengthTooLarge | Failure::AnswerLengthTooSmall) => false,
            Some(Failure::OnlyReportsArrive) => bytes[2] != kind::LOAD,
            Some(_) => true,
        };
        if !self.is_open(socket) || is_lost {
            return;
        }
        match self.delayed.get_mut(&socket) {
            Some(queue) => queue.extend(bytes),
            None => self.deliver(socket, bytes),
        }
    }

    /// Delivers the first bytes that the network has delayed on a connection.
    pub fn deliver_delayed(&mut self, socket: SocketId, count: usize) {
        let queue = self.delayed.get_mut(&socket).expect("the connection is slow");
        let bytes: Vec<u8> = queue.drain(..count.min(queue.len())).collect();
        if self.is_open(socket) {
            self.deliver(socket, &bytes);
        }
    }

    /// Delivers everything that the network has delayed on a connection.
    pub fn resume(&mut self, socket: SocketId) {
        self.deliver_delayed(socket, usize::MAX);
        self.delayed.remove(&socket);
    }

    pub fn report(&mut self) -> Vec<u8> {
        self.reports_sent += 1;
        let load = format!("x0:{};x1:1000;queue:0", 900 + self.reports_sent % 7);
        message(kind::LOAD, 0, &[(code::LOAD, load.as_bytes())])
    }

    pub fn accept(&mut self) {
        let connected: BTreeSet<SocketId> = self.w.open_connections_to("127.0.1.1").into_iter().collect();
        for socket in connected.difference(&self.connections.clone()).copied() {
            self.connections.insert(socket);
            if self.new_connections_fail {
                self.failed.insert(socket, Failure::AnswerNeverArrives);
                continue;
            }
            let report = self.report();
            self.send(socket, &report);
            for tag in std::mem::take(&mut self.repeated_on_next) {
                self.send(socket, &message(kind::FINISH, tag, &[(code::CAUSE, &[cause::NORMAL])]));
            }
        }
    }

    /// Lets time pass: connections come up, reports are sent, the feed sends its number.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.w.advance(STEP_MS);
            self.w.send_line(FEED, "2");
            self.w.establish_connections();
            if self.is_paused {
                continue;
            }
            self.accept();
            let elapsed = (self.w.now - self.started).as_millis() as u64;
            if self.sends_reports && elapsed.is_multiple_of(REPORT_INTERVAL_MS) {
                let report = self.report();
                for socket in self.open_connections() {
                    self.send(socket, &report);
                }
            }
            if !self.sends_reports && elapsed.is_multiple_of(REPORT_INTERVAL_MS / 2) {
                let usable = self.open_connections().into_iter().find(|c| !self.failed.contains_key(c));
                if let Some(socket) = usable {
                    self.send(socket, &message(kind::PENDING, 0, &[]));
                }
            }
            let endless = self.failed.iter().filter(|(_, failure)| **failure == Failure::EndlessAnswer);
            for socket in endless.map(|(socket, _)| *socket).collect::<Vec<_>>() {
                if self.is_open(socket) {
                    self.deliver(socket, &[0]);
                }
            }
        }
    }

    /// Lets a caller send a set-up; returns its tag, its caller's connection, and the connection of the set-up.
    pub fn set_up(&mut self) -> (u64, SocketId, SocketId) {
        self.try_set_up().expect("the set-up is sent on")
    }

    /// The same; `None` if the decision module does not let it go to the server now, and its caller leaves.
    pub fn try_set_up(&mut self) -> Option<(u64, SocketId, SocketId)> {
        let tag = self.next_tag;
        self.next_tag += 1;
        let caller = self.w.new_caller();
        let line = format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","left":"8000","extras":"dest:0;width:1;via:-1"}},"blob":"x"}}"#
        );
        self.w.take_core_messages();
        self.w.send_line(caller, &line);
        let sent = self.w.take_core_messages();
        let set_up = sent.iter().find(|(_, kind, sent, _)| *kind == kind::START && sent.0 == tag);
        if set_up.is_none() {
            self.w.lose_connection(caller, false);
        }
        Some((tag, caller, set_up?.0))
    }

    /// The next set-up that the decision module lets go to the server, which it avoids for some time after the
    /// server was silent.
    pub fn next_set_up(&mut self) -> (u64, SocketId, SocketId) {
        let next = (0..100).find_map(|_| {
            self.run(STEP_MS);
            self.try_set_up()
        });
        next.expect("the server is used again")
    }

    /// Sets a call up that stands.
    pub fn standing_call(&mut self) -> (u64, SocketId, SocketId) {
        let (tag, caller, core) = self.set_up();
        self.calls.insert(tag, core);
        self.send(core, &answer(tag));
        assert!(self.w.take_sent(caller).contains("STARTED"), "{tag} is answered");
        (tag, caller, core)
    }

    /// Sets calls up until each open connection bears one; returns those on the connection of the first one.
    pub fn standing_calls(&mut self) -> (SocketId, Vec<(u64, SocketId)>) {
        let (tag, caller, first) = self.standing_call();
        let mut on_first = vec![(tag, caller)];
        for _ in 0..5 {
            self.run(STEP_MS);
            let (tag, caller, core) = self.standing_call();
            if core == first {
                on_first.push((tag, caller));
            }
        }
        (first, on_first)
    }

    /// Lets a connection fail while a set-up is open on it where that is possible.
    pub fn fail(&mut self, socket: SocketId, failure: Failure) {
        let spoilt = match failure {
            Failure::AnswerStopsShort | Failure::EndlessAnswer => answer(1)[..20].to_vec(),
            Failure::AnswerLengthTooLarge => {
                let mut bytes = answer(1);
                bytes[..2].copy_from_slice(&16_000u16.to_be_bytes());
                bytes
            }
            Failure::Noise => vec![0x1f, 0xa3, 0x77, 0x02, 0xee, 0x31],
            Failure::AnswerLengthTooSmall => {
                let mut bytes = answer(1);
                bytes[..2].copy_from_slice(&9u16.to_be_bytes());
                bytes
            }
            Failure::AnswerNeverArrives | Failure::OnlyReportsArrive => Vec::new(),
            Failure::ReportStopsShort => self.report()[..12].to_vec(),
        };
        self.send(socket, &spoilt);
        self.failed.insert(socket, failure);
    }

    /// A call ends normally: its release is sent on the connection of its set-up, otherwise on any open one.
    pub fn end(&mut self, tag: u64) {
        let own = self.calls.remove(&tag).expect("the call stands");
        let socket = if self.is_open(own) { Some(own) } else { self.open_connections().first().copied() };
        self.repeated_on_next.push(tag);
        if let Some(socket) = socket {
            self.send(socket, &message(kind::FINISH, tag, &[(code::CAUSE, &[cause::NORMAL])]));
        }
    }

    /// Lets time pass until the caller is told that its call is over.
    pub fn time_until_released(&mut self, tag: u64, caller: SocketId) -> Option<Duration> {
        let ended_at = self.w.now;
        while self.w.now < ended_at + RELEASE_LIMIT {
            if self.w.take_sent(caller).contains(&finish(tag, cause::NORMAL)) {
                return Some(self.w.now - ended_at);
            }
            self.run(STEP_MS);
        }
        None
    }

    /// Opens as many set-ups at the same time as the decision module allows; returns tags, callers, connections.
    pub fn concurrent_set_ups(&mut self) -> Vec<(u64, SocketId, SocketId)> {
        let mut open = Vec::new();
        while let Some(set_up) = self.try_set_up() {
            open.push(set_up);
            self.w.establish_connections();
            self.accept();
        }
        open
    }

    /// Lets set-ups be open at the same time until the decision module allows this many; each is answered and
    /// ends. Connections are opened for them meanwhile.
    pub fn allow_concurrent_set_ups(&mut self, count: usize) {
        for _ in 0..50 {
            let open = self.concurrent_set_ups();
            let is_enough = open.len() >= count;
            for (tag, caller, core) in open {
                self.send(core, &answer(tag));
                assert!(self.w.take_sent(caller).contains("STARTED"));
                self.send(core, &message(kind::FINISH, tag, &[(code::CAUSE, &[cause::NORMAL])]));
                assert!(self.w.take_sent(caller).contains("FINISH"));
            }
            if is_enough {
                return;
            }
        }
        panic!("the decision module does not allow {count} set-ups");
    }

    /// Brings the number of open connections up to this.
    pub fn open_up_to(&mut self, count: usize) {
        self.allow_concurrent_set_ups(count);
        assert!(self.open_connections().len() >= count, "connections: {:?}", self.open_connections());
    }
}
