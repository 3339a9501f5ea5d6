//! Test harness: the platform's edge proxy with simulated connections and a clock that the test advances.

#![allow(dead_code)] // Each test uses a part of it.

pub mod core_server;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use lotussaddle_platform::codec::{
    BinaryMessage, Framing, MessageSplitter, Tag, code, kind, write_binary_message,
};
use lotussaddle_platform::{CloseMode, Config, EPOCH, Net, Platform, SocketId};

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","feed":"127.0.0.9:1",
    "limits":{"cores":1.0,"memory_mb":32,"sockets":256},
    "known":{"n":1,"events":[{"n":1,"members":{"seq":0,"whole":true,"hosts":[
        {"host":"a","dial":"127.0.1.1:1","block":0,"health":"Ready","born_ms":0},
        {"host":"b","dial":"127.0.1.2:1","block":1,"health":"Ready","born_ms":0}]}}]},
    "settings":{"categories":[{"name":"voice","promiseMs":400.0,"hardLimitMs":3000.0,"worth":1.0,"lateShare":0.25}],
        "domain":{"classCells":[[0,1]],"classHoldMs":[1900.0],"releaseGuardMs":150.0,"resendMs":125.0,"widths":[1]},
        "instances":3,"tickMs":1.0,"rules":{"coldFrom":0.35,"rampTimeMs":15000.0,"tipMultiple":2.5},
        "limits":{"attemptsCap":6,"cancel":true,"retryAfter":true,"maxRetryAfterMs":2000.0,"connectTimeoutMs":100.0,"connIdleMs":10000.0}}}"#;

pub const FEED: SocketId = SocketId(3);

/// Records the effects on the network.
#[derive(Default)]
pub struct FakeNet {
    pub last_id: u64,
    pub started_connections: Vec<(SocketId, SocketAddr)>,
    pub sent: BTreeMap<SocketId, Vec<u8>>,
    /// The address to which each connection started by the proxy leads.
    pub address_of: BTreeMap<SocketId, String>,
    pub closed: BTreeMap<SocketId, CloseMode>,
    /// Whether no descriptor is free.
    pub descriptors_exhausted: bool,
    /// Connections with unread input.
    pub unread_sockets: BTreeSet<SocketId>,
    /// Connections whose write queue is full.
    pub full_queues: BTreeSet<SocketId>,
    pub log: Vec<String>,
}

impl Net for FakeNet {
    fn connect(&mut self, address: SocketAddr) -> Option<SocketId> {
        if self.descriptors_exhausted {
            return None;
        }
        self.last_id += 1;
        self.started_connections.push((SocketId(self.last_id), address));
        self.address_of.insert(SocketId(self.last_id), address.ip().to_string());
        Some(SocketId(self.last_id))
    }

    fn send(&mut self, socket: SocketId, bytes: &[u8]) -> bool {
        assert!(!self.closed.contains_key(&socket), "nothing is sent on a closed connection");
        if self.full_queues.contains(&socket) {
            return false;
        }
        self.sent.entry(socket).or_default().extend(bytes);
        true
    }

    fn close(&mut self, socket: SocketId, how: CloseMode) {
        self.closed.insert(socket, how);
    }

    fn has_unread(&mut self, socket: SocketId) -> bool {
        self.unread_sockets.contains(&socket)
    }

    fn log(&mut self, line: &str) {
        self.log.push(line.into());
    }
}

/// The proxy, its simulated network and its clock.
pub struct Harness {
    pub now: Duration,
    pub net: FakeNet,
    pub platform: Platform,
    /// Incomplete messages sent to core servers, by connection.
    pub splitters: BTreeMap<SocketId, MessageSplitter>,
}

/// A message sent to a core server: connection, type, call and parameters.
pub type CoreMessage = (SocketId, u8, Tag, Vec<(u8, Vec<u8>)>);

impl Harness {
    pub fn new() -> Self {
        Self::from_config(CONFIG)
    }

    /// With a changed configuration: each pair is a text of the configuration and its replacement.
    pub fn with_changes(changes: &[(&str, &str)]) -> Self {
        let changed = changes.iter().fold(CONFIG.to_owned(), |config, (from, to)| {
            assert!(config.contains(from), "{from}");
            config.replace(from, to)
        });
        Self::from_config(&changed)
    }

    fn from_config(config: &str) -> Self {
        let config = Config::parse(config).unwrap();
        let mut net = FakeNet::default();
        let mut platform = Platform::new(EPOCH, 1e12, config);
        platform.start(EPOCH, &mut net);
        let mut harness = Self { now: EPOCH, net, platform, splitters: BTreeMap::new() };
        assert_eq!(harness.net.started_connections.last().unwrap().0, FEED);
        harness.bring_up(FEED);
        harness.establish_connections();
        harness
    }

    /// Ends a loop iteration of the I/O driver, as happens here after each input: set-ups are sent.
    pub fn end_iteration(&mut self) {
        self.platform.send_set_ups(self.now, &mut self.net);
        self.platform.callers_read(self.now);
    }

    /// Advances the time, firing timers when they are due.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while self.platform.next_due() <= until {
            self.now = self.now.max(self.platform.next_due());
            self.platform.timer_fired(self.now, &mut self.net);
            self.end_iteration();
        }
        self.now = until;
    }

    pub fn bring_up(&mut self, socket: SocketId) {
        self.platform.connection_up(self.now, socket, &mut self.net);
        self.end_iteration();
    }

    /// Establishes all started connections to core servers.
    pub fn establish_connections(&mut self) {
        for (socket, _) in std::mem::take(&mut self.net.started_connections) {
            if socket != FEED && !self.net.closed.contains_key(&socket) {
                self.bring_up(socket);
            }
        }
    }

    /// Advances the time while establishing connections.
    pub fn advance_connecting(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.advance(50);
            self.establish_connections();
        }
    }

    pub fn lose_connection(&mut self, socket: SocketId, refused: bool) {
        self.net.closed.insert(socket, CloseMode::Now);
        self.platform.connection_lost(self.now, socket, refused, "test", &mut self.net);
        self.end_iteration();
    }

    /// Connections to an address that are not closed, oldest first.
    pub fn open_connections_to(&self, ip: &str) -> Vec<SocketId> {
        let known = self
            .net
            .address_of
            .iter()
            .filter(|(socket, at)| *at == ip && !self.net.closed.contains_key(socket));
        known.map(|(socket, _)| *socket).collect()
    }

    pub fn new_caller(&mut self) -> SocketId {
        self.net.last_id += 1;
        let socket = SocketId(self.net.last_id);
        self.platform.connection_accepted(self.now, socket, &mut self.net);
        socket
    }

    pub fn send_line(&mut self, socket: SocketId, line: &str) {
        let line = line.trim_end();
        self.platform.bytes_received(self.now, socket, format!("{line}\n").as_bytes(), &mut self.net);
        self.end_iteration();
    }

    pub fn send_start(&mut self, socket: SocketId, tag: u64, extras: &str) {
        let line = format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","left":"2000","key":"k{tag}","extras":"{extras}"}},"blob":"in {tag}\r\n"}}"#
        );
        self.send_line(socket, &line);
    }

    /// Takes what was sent on a caller's connection since the last call, and acknowledges the releases in it.
    pub fn take_sent_and_acknowledge(&mut self, socket: SocketId) -> String {
        let sent = self.take_sent(socket);
        for line in sent.lines().filter(|line| line.contains("\"FINISH\"")) {
            let tag = line
                .split("\"tag\":\"")
                .nth(1)
                .and_then(|rest| rest.get(..16))
                .expect("the message has a tag");
            if !self.net.closed.contains_key(&socket) {
                self.send_line(socket, &format!(r#"{{"verb":"FINISHED","tag":"{tag}","opts":{{}}}}"#));
            }
        }
        sent
    }

    /// Takes what was sent on a caller's connection since the last call, without acknowledging releases.
    pub fn take_sent(&mut self, socket: SocketId) -> String {
        String::from_utf8(self.net.sent.remove(&socket).unwrap_or_default()).unwrap()
    }

    /// Takes the messages sent to core servers since the last call.
    pub fn take_core_messages(&mut self) -> Vec<CoreMessage> {
        let mut messages = Vec::new();
        for (socket, bytes) in std::mem::take(&mut self.net.sent) {
            if bytes.starts_with(b"{") || bytes.starts_with(b"SUB") {
                self.net.sent.insert(socket, bytes);
                continue;
            }
            let splitter =
                self.splitters.entry(socket).or_insert_with(|| MessageSplitter::new(Framing::Binary));
            splitter.push(&bytes);
            while let Some(message) = splitter.next_message().unwrap() {
                let message = BinaryMessage::parse(message).unwrap();
                let parameters =
                    message.parameters.iter().map(|(code, value)| (*code, value.to_vec())).collect();
                messages.push((socket, message.kind, message.tag, parameters));
            }
        }
        messages
    }

    /// Takes the only message sent to core servers, which must be a set-up; returns its connection.
    pub fn take_only_set_up(&mut self) -> SocketId {
        let messages = self.take_core_messages();
        assert_eq!(messages.len(), 1, "{messages:?}");
        assert_eq!(messages[0].1, kind::START);
        messages[0].0
    }

    pub fn send_from_core(&mut self, socket: SocketId, kind: u8, tag: u64, parameters: &[(u8, &[u8])]) {
        let mut bytes = Vec::new();
        assert!(write_binary_message(kind, Tag(tag), parameters, &mut bytes));
        self.platform.bytes_received(self.now, socket, &bytes, &mut self.net);
        self.end_iteration();
    }

    pub fn answer_from_core(&mut self, socket: SocketId, tag: u64) {
        self.send_from_core(socket, kind::STARTED, tag, &[(code::DESCRIPTION, b"out\r\n\"x\"")]);
    }

    pub fn end_from_core(&mut self, socket: SocketId, tag: u64, cause: u8) {
        self.send_from_core(socket, kind::FINISH, tag, &[(code::CAUSE, &[cause])]);
    }

    /// Sets up a call that stands; returns its caller's connection and its core server's.
    pub fn new_standing_call(&mut self, tag: u64) -> (SocketId, SocketId) {
        let caller = self.new_caller();
        self.send_start(caller, tag, "dest:0;width:1;via:-1");
        let core = self.take_only_set_up();
        self.answer_from_core(core, tag);
        assert!(self.take_sent_and_acknowledge(caller).contains("STARTED"));
        (caller, core)
    }

    pub fn assert_nothing_held(&mut self) {
        assert_eq!(self.platform.sizes().0, 0);
        assert_eq!(self.platform.auxiliary_sizes(), (0, 0, 0));
    }

    pub fn send_feed_event(&mut self, n: u64, hosts: &str) {
        let line = format!(r#"{{"n":{n},"members":{{"seq":{n},"whole":false,"hosts":[{hosts}]}}}}"#);
        self.send_line(FEED, &line);
    }
}

pub fn finish(tag: u64, cause: u8) -> String {
    format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag:016x}\",\"opts\":{{}},\"rc\":{cause}}}\n")
}

/// Runs the seeds from 1 to `count`, or to `LOTUSSADDLE_SEEDS`, and asserts that none has violations.
pub fn assert_no_violations(count: u64, run: impl Fn(u64) -> Vec<String>) {
    let seeds = std::env::var("LOTUSSADDLE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(count);
    let mut violations = Vec::new();
    for seed in 1..=seeds {
        violations.extend(run(seed).into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(
        violations.is_empty(),
        "{} violations, first {:#?}",
        violations.len(),
        &violations[..violations.len().min(12)]
    );
}
