//! One client, or hundreds, that send what costs most, beside one that behaves: it goes on being served in time, and
//! the process keeps to its memory limit. `LOTUSSADDLE_PROGRAM` names another build to be played, and
//! `LOTUSSADDLE_PLAY_SECONDS` another length.

mod rig;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{fmt, thread};

use rig::answering_core::{AnsweringCore, config_of_two, steady_feed};
use rig::{Proxy, finish, free_address, proxy_by};

/// What the well-behaved client has waited for its answers.
#[derive(Default)]
struct Probe {
    served: usize,
    refused: usize,
    cut: usize,
    unanswered: usize,
    slowest: Duration,
}

impl fmt::Display for Probe {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Self { served, refused, cut, unanswered, slowest } = self;
        write!(
            f,
            "served {served}, refused {refused}, cut {cut}, unanswered {unanswered}, slowest {slowest:.0?}"
        )
    }
}

/// Limits of the configuration: memory in MiB, and sockets.
#[derive(Clone, Copy)]
struct Limits {
    memory_mb: u64,
    sockets: u64,
}

const SMALL: Limits = Limits { memory_mb: 32, sockets: 1024 };
const LARGE: Limits = Limits { memory_mb: 2048, sockets: 4096 };
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// How long the well-behaved client waits for an answer, in milliseconds.
const PROBE_LEFT_MS: u64 = 1500;
const PROBE_TAGS: u64 = 1 << 60;

/// Plays measure times, so they take turns.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

struct Play {
    _turn: MutexGuard<'static, ()>,
    proxy: Proxy,
    cores: [AnsweringCore; 2],
}

impl Play {
    fn new(limits: Limits) -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let core = || AnsweringCore::new(Duration::from_millis(30), Duration::from_secs(2));
        let cores = [core(), core()];
        let at = free_address();
        let addresses = [cores[0].at, cores[1].at];
        let config = config_of_two(at, steady_feed(), addresses, limits.memory_mb, limits.sockets);
        let play = Self { _turn: turn, proxy: proxy_by(at, &config, None), cores };
        assert!(play.proxy.call().echo());
        thread::sleep(Duration::from_millis(300));
        play
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.proxy.at).expect("the edge proxy accepts connections");
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Lets `hostile` run until its flag is set, beside the well-behaved client.
    fn beside(&self, what: &str, seconds: u64, hostile: impl Fn(&AtomicBool) + Sync) -> Probe {
        let seconds =
            std::env::var("LOTUSSADDLE_PLAY_SECONDS").ok().and_then(|n| n.parse().ok()).unwrap_or(seconds);
        let is_over = AtomicBool::new(false);
        let probe = thread::scope(|scope| {
            scope.spawn(|| hostile(&is_over));
            thread::sleep(Duration::from_millis(500));
            let probe = self.probe(Duration::from_secs(seconds));
            is_over.store(true, Ordering::Relaxed);
            probe
        });
        let standing = self.cores[0].standing() + self.cores[1].standing();
        println!("{what}: {probe}; peak {:.1} MB; calls standing {standing}", self.proxy.peak_memory_mb());
        probe
    }

    /// Sends a set-up at regular times on a connection of its own.
    fn probe(&self, length: Duration) -> Probe {
        let mut caller = self.proxy.call();
        let mut probe = Probe::default();
        let (started, mut tag) = (Instant::now(), PROBE_TAGS);
        while started.elapsed() < length {
            let sent_at = Instant::now();
            tag += 1;
            let text = format!("{tag:016x}");
            caller.say(&rig::start_line(tag, PROBE_LEFT_MS));
            loop {
                let line = caller.hears();
                if line.is_empty() {
                    probe.unanswered += 1;
                    caller = self.proxy.call();
                    break;
                }
                if !line.contains(&text) {
                    continue; // The end of an earlier call.
                }
                probe.slowest = probe.slowest.max(sent_at.elapsed());
                if line.contains("FINISH") {
                    println!("{:.3?} after the start: {}", started.elapsed(), line.trim());
                }
                let is_refused = ["\"rc\":34", "\"rc\":42"].iter().any(|cause| line.contains(cause));
                probe.served += usize::from(line.contains("STARTED"));
                probe.refused += usize::from(is_refused);
                probe.cut += usize::from(line.contains("FINISH") && !is_refused);
                break;
            }
            thread::sleep(PROBE_INTERVAL.saturating_sub(sent_at.elapsed()));
        }
        probe
    }
}

/// Clients that write what is left to be written of their messages as far as their connections take it, and read or
/// leave what they are sent.
struct Clients {
    clients: Vec<(TcpStream, Vec<u8>, usize)>,
    reads: bool,
}

impl Clients {
    fn connect(play: &Play, count: usize, reads: bool) -> Self {
        let client = |_| {
            let stream = play.connect();
            stream.set_nonblocking(true).unwrap();
            (stream, Vec::new(), 0)
        };
        Self { clients: (0..count).map(client).collect(), reads }
    }

    /// Writes once on each connection; a message that was written whole is followed by the next one.
    fn write(&mut self, most: usize, next: &impl Fn() -> Vec<u8>) {
        for (stream, message, written) in &mut self.clients {
            if *written == message.len() {
                (*message, *written) = (next(), 0);
            }
            let until = message.len().min(written.saturating_add(most));
            if let Ok(n) = stream.write(&message[*written..until]) {
                *written += n;
            }
            let mut buffer = [0; 8192];
            while self.reads && matches!(stream.read(&mut buffer), Ok(1..)) {}
        }
    }

    /// Connects again where a connection has ended.
    fn replace_closed(&mut self, play: &Play) {
        for (stream, message, written) in &mut self.clients {
            let is_closed = match stream.peek(&mut [0]) {
                Ok(0) => true,
                Err(e) => e.kind() != ErrorKind::WouldBlock,
                Ok(_) => false,
            };
            if is_closed && let Ok(again) = TcpStream::connect(play.proxy.at) {
                again.set_nonblocking(true).unwrap();
                (*stream, *written) = (again, 0);
                message.clear();
            }
        }
    }
}

static NEXT_TAG: AtomicU64 = AtomicU64::new(1);

fn next_tag() -> u64 {
    NEXT_TAG.fetch_add(1, Ordering::Relaxed)
}

/// A set-up of about 15 KB whose `opts` hold many short fields.
fn set_up_of_many_fields() -> Vec<u8> {
    let tag = next_tag();
    let fields: String = (0..1900).map(|n| format!(r#","{n:x}":1"#)).collect();
    let line = format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","left":"1500","extras":"dest:0"{fields}}},"blob":"x"}}"#
    );
    (line + "\n").into_bytes()
}

/// Runs clients in a few threads, each until the play is over.
fn run_clients(
    play: &Play, count: usize, reads: bool, most: usize, is_over: &AtomicBool,
    next: impl Fn() -> Vec<u8> + Sync,
) {
    const THREADS: usize = 4;
    thread::scope(|scope| {
        for n in 0..THREADS {
            let next = &next;
            scope.spawn(move || {
                let mut clients = Clients::connect(play, (count + n) / THREADS, reads);
                while !is_over.load(Ordering::Relaxed) {
                    clients.write(most, next);
                    clients.replace_closed(play);
                    thread::sleep(Duration::from_millis(1));
                }
            });
        }
    });
}

/// One client that writes as fast as the edge proxy reads, and reads all that it is sent.
fn flood(play: &Play, is_over: &AtomicBool, next: impl Fn() -> Vec<u8>) {
    let mut stream = play.connect();
    let mut reading = stream.try_clone().unwrap();
    thread::scope(|scope| {
        scope.spawn(move || {
            let mut buffer = vec![0; 1 << 16];
            while matches!(reading.read(&mut buffer), Ok(1..)) {}
        });
        while !is_over.load(Ordering::Relaxed) {
            let batch: Vec<u8> = (0..50).flat_map(|_| next()).collect();
            if stream.write_all(&batch).is_err() {
                stream = play.connect();
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
}

/// A set-up to a number of its own.
fn start_line(tag: u64) -> String {
    let key = tag.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    rig::start_line(tag, 1500).replace(r#""left""#, &format!(r#""key":"{key:016x}","left""#))
}

fn sound_set_up() -> Vec<u8> {
    (start_line(next_tag()) + "\n").into_bytes()
}

/// Each set-up is given up `behind` set-ups later.
fn set_up_and_give_up(behind: u64) -> impl Fn() -> Vec<u8> {
    move || {
        let tag = next_tag();
        let give_up = finish(tag.saturating_sub(behind));
        format!("{}\n{give_up}\n", start_line(tag)).into_bytes()
    }
}

/// Sends as many health checks as fit into one write, whose answers are not read.
fn health_checks() -> Vec<u8> {
    let line = r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#;
    format!("{line}\n").repeat(100).into_bytes()
}

/// A set-up that is as long as one may be, and its rest never comes.
fn half_a_set_up() -> Vec<u8> {
    let mut line = set_up_of_many_fields();
    line.pop();
    line.resize(16_000, b' ');
    line
}

impl Probe {
    /// Lines are free and nothing fails, so each set-up is served before its caller stops waiting.
    fn assert_served(&self) {
        let Self { served, refused, cut, unanswered, slowest } = self;
        assert_eq!((*refused, *cut, *unanswered), (0, 0, 0), "{self}");
        assert!(*served > 0 && *slowest < Duration::from_millis(PROBE_LEFT_MS), "{self}");
    }
}

impl Play {
    fn assert_within_limits(&self, limits: Limits) {
        let peak = self.proxy.peak_memory_mb();
        assert!(peak <= limits.memory_mb as f64, "{peak} MB of {} MB", limits.memory_mb);
        assert_eq!(self.cores.iter().map(AnsweringCore::doubles).sum::<usize>(), 0, "launched twice");
    }
}

/// Guards against a pass of the loop that grows with the callers, until peers are taken for silent.
#[test]
fn hundreds_of_clients_with_many_short_fields_cost_the_others_little() {
    for (limits, count) in [(SMALL, 341), (LARGE, 1365)] {
        let play = Play::new(limits);
        let what = format!("{count} clients, 1,900 fields");
        let probe = play.beside(&what, 3, |is_over| {
            run_clients(&play, count, true, usize::MAX, is_over, set_up_of_many_fields);
        });
        probe.assert_served();
        play.assert_within_limits(limits);
    }
}

/// Guards against buffers of many connections that together exceed the memory limit.
#[test]
fn hundreds_of_clients_that_stop_or_do_not_read_keep_to_the_memory_limit() {
    type Message = fn() -> Vec<u8>;
    let plays: [(&str, usize, Message); 3] = [
        ("half a set-up", usize::MAX, half_a_set_up),
        ("a byte at a time", 1, set_up_of_many_fields),
        ("not reading", usize::MAX, health_checks),
    ];
    for (what, most, message) in plays {
        let play = Play::new(SMALL);
        let probe = play.beside(&format!("341 clients, {what}"), 2, |is_over| {
            run_clients(&play, 341, false, most, is_over, message);
        });
        probe.assert_served();
        play.assert_within_limits(SMALL);
    }
}

/// Guards against one caller that fills what the decision module has, and against memory that follows its rate.
#[test]
fn set_ups_given_up_at_once_cost_the_others_little() {
    for behind in [0, 20, 500] {
        let play = Play::new(SMALL);
        let what = format!("set-up and give-up {behind} later");
        let probe = play.beside(&what, 2, |is_over| flood(&play, is_over, set_up_and_give_up(behind)));
        probe.assert_served();
        play.assert_within_limits(SMALL);
    }
}

/// Guards against the same by set-ups that nobody gives up.
#[test]
fn set_ups_at_full_speed_cost_the_others_little() {
    for limits in [SMALL, LARGE] {
        let play = Play::new(limits);
        let probe = play.beside("sound set-ups", 2, |is_over| flood(&play, is_over, sound_set_up));
        probe.assert_served();
        play.assert_within_limits(limits);
    }
}

/// Guards against set-ups that are sent on after their client has left with much unread.
#[test]
fn nothing_is_launched_for_a_client_that_closed_its_connection_with_much_unread() {
    const TOLERANCE: Duration = Duration::from_millis(150);
    for count in [5000, 20_000] {
        let play = Play::new(SMALL);
        let mut stream = play.connect();
        for _ in 0..count {
            stream.write_all(&sound_set_up()).unwrap();
        }
        drop(stream);
        let closed_at = Instant::now();
        thread::sleep(Duration::from_secs(1));
        let set_ups: Vec<_> = play.cores.iter().flat_map(AnsweringCore::set_ups).collect();
        let late = set_ups.iter().filter(|set_up| set_up.at > closed_at + TOLERANCE).count();
        println!("{count} set-ups, then closed: {} launched, {late} late", set_ups.len());
        assert_eq!(late, 0);
        play.assert_within_limits(SMALL);
        play.probe(Duration::from_millis(500)).assert_served();
    }
}
