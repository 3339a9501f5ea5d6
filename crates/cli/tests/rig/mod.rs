//! One edge proxy process of the platform, and what it talks to, under a test's hand.

#![allow(dead_code)] // Each test uses a part of it.

pub mod answering_core;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lotussaddle_platform::codec::{
    BinaryMessage, Framing, MessageSplitter, Tag, cause, code, kind, write_binary_message,
};
use rustix::process::{Pid, Signal, kill_process};

pub const LONG: Duration = Duration::from_secs(10);

pub struct Proxy {
    pub child: Child,
    pub at: SocketAddr,
    pub folder: tempfile::TempDir,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn config(listen: SocketAddr, feed: SocketAddr, core: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"5","feed":"{feed}","limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
        "known":{{"n":1,"events":[{{"n":1,"members":{{"seq":0,"whole":true,"hosts":[
            {{"host":"a","dial":"{core}","block":0,"health":"Ready","born_ms":0}}]}}}}]}},
        "settings":{{"categories":[{{"name":"voice","promiseMs":2000.0,"hardLimitMs":8000.0,"worth":1.0}}],
            "domain":{{"classCells":[[0]],"releaseGuardMs":150.0}},"instances":1,"tickMs":1.0,
            "rules":{{"coldFrom":0.35,"rampTimeMs":15000.0,"tipMultiple":2.5}},
            "limits":{{"attemptsCap":6,"cancel":true,"retryAfter":true,"maxRetryAfterMs":2000.0}}}}}}"#
    )
}

/// Where nobody listens, below the ports that the system gives to connections: a caller that tries again there could else be
/// connected with itself, and hold the address.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let next = std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let at = SocketAddr::from(([127, 0, 0, 1], 12_000 + (next % 20_000) as u16));
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}

/// Where the log goes: to a file that may be named, to look at a play afterwards.
fn log() -> Stdio {
    let Ok(path) = std::env::var("LOTUSSADDLE_PLAY_LOG") else { return Stdio::null() };
    std::fs::File::options().create(true).append(true).open(path).unwrap().into()
}

/// The program under test: another build may be named, to compare the two.
fn program() -> String {
    std::env::var("LOTUSSADDLE_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_lotussaddle").to_owned())
}

pub fn proxy(feed: SocketAddr, core: SocketAddr, descriptors: Option<u32>) -> Proxy {
    let at = free_address();
    proxy_by(at, &config(at, feed, core), descriptors)
}

/// With a configuration of the test's own, which names this address.
pub fn proxy_by(at: SocketAddr, config: &str, descriptors: Option<u32>) -> Proxy {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, config).unwrap();
    let limit = descriptors.map(|n| format!("ulimit -n {n}; ")).unwrap_or_default();
    let child = Command::new("sh")
        .args(["-c", &format!("{limit}exec {} serve --platform", program())])
        .env("RELAY_CONFIG", &path)
        .stderr(log())
        .spawn()
        .unwrap();
    Proxy { child, at, folder }
}

impl Proxy {
    /// Connects; the program may be starting yet.
    pub fn call(&self) -> Caller {
        let since = Instant::now();
        loop {
            match TcpStream::connect(self.at) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(LONG)).unwrap();
                    stream.set_nodelay(true).unwrap(); // What is said lies there, and waits for nothing.
                    return Caller { reader: BufReader::new(stream.try_clone().unwrap()), stream };
                }
                Err(_) if since.elapsed() < LONG => thread::sleep(Duration::from_millis(10)),
                Err(e) => panic!("nobody listens: {e}"),
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let signal = match name {
            "-HUP" => Signal::HUP,
            "-TERM" => Signal::TERM,
            "-STOP" => Signal::STOP,
            "-CONT" => Signal::CONT,
            _ => panic!("no signal {name}"),
        };
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Holds the process still: what comes meanwhile lies in the kernel.
    pub fn stop(&self) {
        self.signal("-STOP");
        let since = Instant::now();
        while !self.state().starts_with('T') {
            assert!(since.elapsed() < LONG, "it does not stop");
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// The state and what stands behind it.
    fn state(&self) -> String {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        stat.rsplit(") ").next().unwrap().to_owned()
    }

    /// The largest amount of memory that it has held, in MiB.
    pub fn peak_memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a running process");
        peak.trim().trim_end_matches(" kB").parse::<f64>().unwrap() / 1024.0
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        let since = Instant::now();
        while since.elapsed() < LONG {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("it does not end");
    }
}

pub struct Caller {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn say(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    pub fn start(&mut self, tag: u64) {
        self.say(&start_line(tag, 1500));
    }

    /// The next line; empty: the connection has ended.
    pub fn hears(&mut self) -> String {
        let mut line = String::new();
        let _ = self.reader.read_line(&mut line);
        line
    }

    /// All that is said until the connection ends; an end by a reset is none.
    pub fn hears_out(&mut self) -> std::io::Result<String> {
        let mut said = String::new();
        self.reader.read_to_string(&mut said)?;
        Ok(said)
    }

    pub fn is_served(&mut self, tag: u64) {
        self.start(tag);
        let line = self.hears();
        assert!(line.contains("STARTED") && line.contains(&format!("for call {tag}")), "{line}");
    }

    pub fn echo(&mut self) -> bool {
        self.say(r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
        self.hears().contains("\"rc\":1")
    }
}

/// What a scripted core server has seen.
#[derive(Clone, Debug)]
pub struct Said {
    pub at: Instant,
    pub on: usize,
    pub kind: u8,
    pub tag: u64,
    pub parameters: BTreeMap<u8, Vec<u8>>,
}

/// A core server that says only what a test has it say.
pub struct Core {
    pub at: SocketAddr,
    said: Receiver<Said>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// All that was heard, in order.
    pub heard: Vec<Said>,
    taken: Vec<bool>,
    fences: u64,
}

impl Core {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (say, said) = channel();
        let streams = Arc::new(Mutex::new(Vec::new()));
        let known = streams.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut known = known.lock().unwrap();
                let (on, say) = (known.len(), say.clone());
                stream.set_nodelay(true).unwrap();
                known.push(stream.try_clone().unwrap());
                thread::spawn(move || listen_to(stream, on, &say));
            }
        });
        Self { at, said, streams, heard: Vec::new(), taken: Vec::new(), fences: 0 }
    }

    /// The first message that fits and was not taken before; none within the time: none.
    pub fn next(&mut self, within: Duration, fits: impl Fn(&Said) -> bool) -> Option<Said> {
        let until = Instant::now() + within;
        loop {
            let fit = (0..self.heard.len()).find(|n| !self.taken[*n] && fits(&self.heard[*n]));
            if let Some(fit) = fit {
                self.taken[fit] = true;
                return Some(self.heard[fit].clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            self.heard.push(self.said.recv_timeout(left).ok()?);
            self.taken.push(false);
        }
    }

    /// The set-up of this call, which is waited for.
    pub fn start(&mut self, tag: u64) -> Said {
        self.next(LONG, |said| said.kind == kind::START && said.tag == tag).expect("a set-up")
    }

    /// Whether this set-up has been given up, by all that has come until now.
    pub fn is_given_up(&mut self, set_up: &Said) -> bool {
        while let Ok(said) = self.said.try_recv() {
            self.heard.push(said);
            self.taken.push(false);
        }
        let gives_up = |said: &&Said| said.kind == kind::FINISH && said.at >= set_up.at;
        self.heard.iter().filter(gives_up).any(|said| (said.on, said.tag) == (set_up.on, set_up.tag))
    }

    pub fn starts(&self, tag: u64) -> usize {
        self.heard.iter().filter(|said| said.kind == kind::START && said.tag == tag).count()
    }

    pub fn say(&self, on: usize, kind: u8, tag: u64, parameters: &[(u8, &[u8])]) {
        let mut out = Vec::new();
        assert!(write_binary_message(kind, Tag(tag), parameters, &mut out));
        self.write(on, &out);
    }

    pub fn write(&self, on: usize, bytes: &[u8]) {
        let mut stream = self.streams.lock().unwrap()[on].try_clone().unwrap();
        stream.write_all(bytes).unwrap();
    }

    pub fn close(&self, on: usize) {
        let _ = self.streams.lock().unwrap()[on].shutdown(std::net::Shutdown::Both);
    }

    /// Closes a connection, and returns when the edge proxy has made another: it knows.
    pub fn is_left(&self, on: usize) {
        let before = self.streams.lock().unwrap().len();
        self.close(on);
        let since = Instant::now();
        while self.streams.lock().unwrap().len() == before {
            assert!(since.elapsed() < LONG, "no other connection comes");
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn stands(&self, on: usize, tag: u64) {
        self.say(on, kind::STARTED, tag, &[(code::DESCRIPTION, format!("for call {tag}").as_bytes())]);
    }

    pub fn ends(&self, on: usize, tag: u64, cause: u8) {
        self.say(on, kind::FINISH, tag, &[(code::CAUSE, &[cause])]);
    }

    /// Returns when the edge proxy has read all that was said on this connection.
    pub fn is_read(&mut self, on: usize) {
        self.fences += 1;
        let fence = u64::MAX - self.fences;
        self.say(on, kind::ECHO, fence, &[(code::CAUSE, &[0])]);
        self.next(LONG, |said| said.kind == kind::ECHOED && said.tag == fence).expect("a test passes");
    }

    /// Takes the next call whole, to show that service goes on: it stands, and is released.
    pub fn serves(&mut self, caller: &mut Caller, tag: u64) {
        caller.start(tag);
        let on = self.start(tag).on;
        self.stands(on, tag);
        let line = caller.hears();
        assert!(line.contains("STARTED") && line.contains(&format!("{tag:016x}")), "{line}");
        self.ends(on, tag, cause::NORMAL);
        let line = caller.hears();
        assert!(line.contains("FINISH") && line.contains(&format!("{tag:016x}")), "{line}");
        caller.say(&finished(tag));
    }
}

fn listen_to(mut stream: TcpStream, on: usize, say: &Sender<Said>) {
    let mut splitter = MessageSplitter::new(Framing::Binary);
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        splitter.push(&buffer[..read]);
        while let Ok(Some(message)) = splitter.next_message() {
            let message = BinaryMessage::parse(message).expect("core servers are told what can be read");
            let parameters = message.parameters.iter().map(|(code, value)| (*code, value.to_vec())).collect();
            let (kind, tag) = (message.kind, message.tag.0);
            if say.send(Said { at: Instant::now(), on, kind, tag, parameters }).is_err() {
                return;
            }
        }
    }
}

pub fn finish(tag: u64) -> String {
    format!(r#"{{"verb":"FINISH","tag":"{tag:016x}","opts":{{}},"rc":16}}"#)
}

pub fn finished(tag: u64) -> String {
    format!(r#"{{"verb":"FINISHED","tag":"{tag:016x}","opts":{{}}}}"#)
}

pub fn start_line(tag: u64, left_ms: u64) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","left":"{left_ms}","extras":"dest:0"}},"blob":"call {tag}"}}"#
    )
}

/// A feed that notes what it is asked, and tells what a test has it tell.
pub struct Feed {
    pub at: SocketAddr,
    asked: Receiver<(String, TcpStream)>,
}

impl Feed {
    pub fn new() -> Self {
        Self::at("127.0.0.1:0".parse().unwrap())
    }

    pub fn at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let at = listener.local_addr().unwrap();
        let (note, asked) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                if note.send((line.trim().to_owned(), stream)).is_err() {
                    return;
                }
            }
        });
        Self { at, asked }
    }

    /// The next connection, and what it asks.
    pub fn asked(&self, within: Duration) -> Option<(String, TcpStream)> {
        self.asked.recv_timeout(within).ok()
    }
}
