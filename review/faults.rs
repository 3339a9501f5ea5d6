//! The cases 7 to 10: each starts the edge proxy by the deploy file's `run`, between stand-ins for callers, core servers
//! and the control feed, all on loopback and the real clock, and judges one rule by what these have seen.
//!
//!     faults CASE ROOT RECORD      exit code 1: the rule was broken; 0: it held; 2: the case could not run
//!
//! With TROUBLE=0 in the environment the same is done without the disruption. Only the standard library is used.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The whole run is ended after this.
const WATCHDOG: Duration = Duration::from_secs(112);

const KILL: i32 = 9;

/// `prctl`: the signal that a process gets when the one that started it ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

fn signal(pid: u32, signal: i32) {
    // SAFETY: takes two numbers; the process is one that this program started and has not waited for.
    unsafe { kill(pid as i32, signal) };
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Edge proxies of each deployment here; one of them is started.
const EDGE_PROXIES: u64 = 6;

// The record

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Milliseconds since the start of the record.
fn at(time: Instant) -> f64 {
    time.saturating_duration_since(RECORD.get().expect("the record is open").0).as_secs_f64() * 1000.0
}

fn note(line: &str) {
    let (start, file) = RECORD.get().expect("the record is open");
    let line = format!("{:10.1} {line}\n", start.elapsed().as_secs_f64() * 1000.0);
    let _ = file.lock().unwrap().write_all(line.as_bytes());
}

fn end_children() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        signal(pid, KILL);
    }
}

fn cannot_run(why: &str) -> ! {
    note(&format!("cannot run: {why}"));
    eprintln!("cannot run: {why}");
    end_children();
    std::process::exit(2)
}

fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// Messages between edge proxy and core servers

mod kind {
    pub const START: u8 = 1;
    pub const STARTED: u8 = 9;
    pub const FINISH: u8 = 12;
    pub const FINISHED: u8 = 16;
    pub const LOAD: u8 = 43;
    pub const ECHO: u8 = 52;
    pub const ECHOED: u8 = 53;
}

fn message(kind: u8, tag: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(tag.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut out = (body.len() as u16).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// The next whole message: type, call and parameters.
fn read_message(stream: &mut impl Read) -> std::io::Result<(u8, u64, BTreeMap<u8, Vec<u8>>)> {
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut body)?;
    let bad = || std::io::Error::other("not a message");
    if body.len() < 9 {
        return Err(bad());
    }
    let tag = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
    let (mut parameters, mut rest) = (BTreeMap::new(), &body[9..]);
    while !rest.is_empty() {
        if rest.len() < 3 {
            return Err(bad());
        }
        let length = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
        let value = rest.get(3..3 + length).ok_or_else(bad)?;
        parameters.insert(rest[0], value.to_vec());
        rest = &rest[3 + length..];
    }
    Ok((body[0], tag, parameters))
}

// Core servers

/// A call that stands, and the connection that its set-up came on.
struct Standing {
    on: usize,
    since: Instant,
}

/// What has come to a core server: a set-up.
#[derive(Clone, Copy)]
struct SetUp {
    tag: u64,
    at: Instant,
}

#[derive(Default)]
struct CoreState {
    connections: Vec<Option<TcpStream>>,
    open: BTreeMap<u64, usize>,
    standing: BTreeMap<u64, Standing>,
    set_ups: Vec<SetUp>,
    /// Calls that ended here by the core server: when and with which cause.
    ended: BTreeMap<u64, (Instant, u8)>,
    /// Calls that the edge proxy released.
    released: BTreeMap<u64, Instant>,
    /// Releases that are sent again on the next connection that is opened.
    again: Vec<(u64, u8)>,
    is_stopped: bool,
    /// It holds all the connections that it takes: connects are refused.
    is_full: bool,
}

/// A core server that follows the protocol page. Calls last for `holding`, where that is given.
#[derive(Clone)]
struct Core {
    name: &'static str,
    at: SocketAddr,
    block: u64,
    /// Unix millisecond of a late start, else 0.
    born_ms: u64,
    answers_after: Duration,
    state: Arc<Mutex<CoreState>>,
}

impl Core {
    fn start(name: &'static str, block: u64, answers_after: Duration, holding: Option<Duration>) -> Self {
        // Below the ports that the system gives to connections, so that a new process can have the address again.
        Self::start_at(free_address(), 0, name, block, answers_after, holding)
    }

    fn start_at(
        at: SocketAddr, born_ms: u64, name: &'static str, block: u64, answers_after: Duration,
        holding: Option<Duration>,
    ) -> Self {
        let listener = TcpListener::bind(at).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let core = Self { name, at, block, born_ms, answers_after, state: Arc::default() };
        let own = core.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let (is_stopped, is_full) = {
                    let state = own.state.lock().unwrap();
                    (state.is_stopped, state.is_full)
                };
                if is_stopped {
                    return; // Closes the listener: connects are refused from now on.
                }
                if is_full {
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(at).ok();
                }
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                    while let Ok((stream, _)) = listener.accept() {
                        let _ = stream.set_nonblocking(false);
                        own.accept(stream);
                    }
                }
                thread::sleep(ms(1));
            }
        });
        let own = core.clone();
        thread::spawn(move || {
            let mut report_at = Instant::now();
            loop {
                thread::sleep(ms(5));
                if let Some(holding) = holding {
                    own.end_those_older_than(holding);
                }
                if report_at.elapsed() >= ms(900) {
                    report_at = Instant::now();
                    own.report();
                }
            }
        });
        core
    }

    fn load(state: &CoreState) -> Vec<u8> {
        // The other edge proxies are counted as carrying as much each.
        let free = 8000 - (state.standing.len() * EDGE_PROXIES as usize).min(8000);
        let report = format!("spare:{free};total:8000;load_share:0.3;depth:0");
        message(kind::LOAD, 0, &[(198, report.as_bytes())])
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut state = self.state.lock().unwrap();
        let on = state.connections.len();
        // Its state comes on each new connection before anything else, then the releases that are owed there.
        let mut first = Self::load(&state);
        let again = std::mem::take(&mut state.again);
        for (tag, cause) in &again {
            first.extend(message(kind::FINISH, *tag, &[(208, &[*cause])]));
        }
        state.connections.push(stream.try_clone().ok());
        let mut reading = stream.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string()));
        note(&format!("core {} connection {on} up, {} releases sent on it", self.name, again.len()));
        let _ = (&stream).write_all(&first);
        drop(state);
        let own = self.clone();
        thread::spawn(move || {
            while let Ok((kind, tag, parameters)) = read_message(&mut reading) {
                own.received(on, kind, tag, &parameters);
            }
            let mut state = own.state.lock().unwrap();
            state.connections[on] = None;
            state.open.retain(|_, carried_on| *carried_on != on); // Given up with their connection.
            drop(state);
            note(&format!("core {} connection {on} ended", own.name));
        });
    }

    fn received(&self, on: usize, kind: u8, tag: u64, parameters: &BTreeMap<u8, Vec<u8>>) {
        match kind {
            kind::START => {
                let left = parameters.get(&182).map(|v| String::from_utf8_lossy(v).into_owned());
                note(&format!(
                    "core {} on {on}: START {tag:016x} left {}",
                    self.name,
                    left.unwrap_or_default()
                ));
                let mut state = self.state.lock().unwrap();
                state.set_ups.push(SetUp { tag, at: Instant::now() });
                state.open.insert(tag, on);
                drop(state);
                if self.answers_after.is_zero() {
                    self.answer(on, tag);
                } else {
                    let (own, after) = (self.clone(), self.answers_after);
                    thread::spawn(move || {
                        thread::sleep(after);
                        own.answer(on, tag);
                    });
                }
            }
            kind::FINISH => {
                note(&format!("core {} on {on}: FINISH {tag:016x}", self.name));
                let mut state = self.state.lock().unwrap();
                state.open.remove(&tag);
                if state.standing.remove(&tag).is_some() {
                    state.released.insert(tag, Instant::now());
                    Self::write(&mut state, on, &message(kind::FINISHED, tag, &[]));
                }
            }
            kind::ECHO => {
                let passed = message(kind::ECHOED, tag, &[(208, &[1])]);
                Self::write(&mut self.state.lock().unwrap(), on, &passed);
            }
            _ => {}
        }
    }

    fn write(state: &mut CoreState, on: usize, bytes: &[u8]) -> bool {
        let sent = state.connections[on].as_mut().is_some_and(|stream| stream.write_all(bytes).is_ok());
        if !sent {
            state.connections[on] = None;
        }
        sent
    }

    /// The call stands, unless its set-up was given up meanwhile.
    fn answer(&self, on: usize, tag: u64) {
        let mut state = self.state.lock().unwrap();
        if state.is_stopped || state.open.remove(&tag).is_none() {
            return;
        }
        let description = format!("c=IN IP4 127.0.0.1\r\no={} {tag:016x}", self.name);
        state.standing.insert(tag, Standing { on, since: Instant::now() });
        Self::write(&mut state, on, &message(kind::STARTED, tag, &[(210, description.as_bytes())]));
        note(&format!("core {} on {on}: STARTED {tag:016x} sent", self.name));
    }

    fn end_those_older_than(&self, holding: Duration) {
        let mut state = self.state.lock().unwrap();
        let old: Vec<u64> = state
            .standing
            .iter()
            .filter(|(_, s)| s.since.elapsed() >= holding)
            .map(|(tag, _)| *tag)
            .collect();
        for tag in old {
            self.end(&mut state, tag, 16);
        }
    }

    /// A standing call ends here: its release goes on the connection of its set-up, else on any open one, and again on
    /// the next one that is opened.
    fn end(&self, state: &mut CoreState, tag: u64, cause: u8) {
        let Some(standing) = state.standing.remove(&tag) else { return };
        state.ended.insert(tag, (Instant::now(), cause));
        let release = message(kind::FINISH, tag, &[(208, &[cause])]);
        let mut sent = Self::write(state, standing.on, &release);
        for on in 0..state.connections.len() {
            sent = sent || Self::write(state, on, &release);
        }
        state.again.push((tag, cause));
        note(&format!("core {}: call {tag:016x} ended, cause {cause}, release sent: {sent}", self.name));
    }

    fn report(&self) {
        let mut state = self.state.lock().unwrap();
        let report = Self::load(&state);
        for on in 0..state.connections.len() {
            if state.connections[on].is_some() {
                Self::write(&mut state, on, &report);
            }
        }
    }

    /// The process stops: all calls through it are cut, its connections end, connects are refused.
    fn stop(&self) {
        let mut state = self.state.lock().unwrap();
        let standing: Vec<u64> = state.standing.keys().copied().collect();
        note(&format!("core {} stops, {} calls cut", self.name, standing.len()));
        for tag in standing {
            self.end(&mut state, tag, 41);
        }
        state.is_stopped = true;
        for stream in state.connections.iter_mut().filter_map(Option::take) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes its connections if no set-up is open on them; from then on others have their places.
    fn close_idle_and_be_full(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let is_idle = state.open.is_empty();
        if is_idle {
            state.is_full = true;
            note(&format!(
                "core {} closes its idle connections and is full; {} calls stand",
                self.name,
                state.standing.len()
            ));
            for stream in state.connections.iter_mut().filter_map(Option::take) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        is_idle
    }

    /// Whether the call has stood here.
    fn knows(&self, tag: u64) -> bool {
        let state = self.state.lock().unwrap();
        state.standing.contains_key(&tag) || state.ended.contains_key(&tag)
    }

    fn host(&self, health: &str) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"seoul","class":"std","block":{},"health":"{health}","share":1,"born_ms":{}}}"#,
            self.name, self.at, self.block, self.born_ms
        )
    }
}

// The control feed

/// A control feed that follows the protocol page; on each connection its first line comes after `first_line_after`.
#[derive(Clone)]
struct Feed {
    at: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Feed {
    /// The events before `known` are in the configuration.
    fn start(known: u64, first_line_after: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let at = listener.local_addr().expect("a bound listener has an address");
        let feed = Self { at, events: Arc::default() };
        let events = feed.events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = events.clone();
                thread::spawn(move || tell(stream, &events, known, first_line_after));
            }
        });
        feed
    }

    /// From now on the event is in the feed.
    fn publish(&self, n: u64, host: &str) -> Instant {
        let event = format!(r#"{{"n":{n},"members":{{"seq":{n},"whole":false,"hosts":[{host}]}}}}"#);
        self.events.lock().unwrap().push((n, event));
        note(&format!("feed: event {n} is in the feed: {host}"));
        Instant::now()
    }
}

fn tell(mut stream: TcpStream, events: &Mutex<Vec<(u64, String)>>, known: u64, first_line_after: Duration) {
    let _ = stream.set_nodelay(true);
    let mut line = String::new();
    let Ok(reading) = stream.try_clone() else { return };
    if BufReader::new(reading).read_line(&mut line).is_err() {
        return;
    }
    note(&format!("feed: asked {}", line.trim()));
    let Some(mut told) = line.trim().strip_prefix("SUB ").and_then(|n| n.parse::<u64>().ok()) else { return };
    let _ = stream.set_read_timeout(Some(ms(1)));
    let asked = Instant::now();
    let mut number_at = asked + first_line_after;
    loop {
        thread::sleep(ms(2));
        match stream.read(&mut [0; 16]) {
            Ok(0) => break,
            Err(e) if !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                break;
            }
            _ => {}
        }
        if asked.elapsed() < first_line_after {
            continue;
        }
        let later: Vec<(u64, String)> =
            events.lock().unwrap().iter().filter(|(n, _)| *n > told).cloned().collect();
        for (n, event) in later {
            told = n;
            note(&format!("feed: event {n} written to a connection"));
            if stream.write_all(format!("{event}\n").as_bytes()).is_err() {
                return;
            }
        }
        if Instant::now() >= number_at {
            number_at += ms(1000);
            let last = events.lock().unwrap().last().map_or(known, |(n, _)| *n);
            if stream.write_all(format!("{last}\n").as_bytes()).is_err() {
                return;
            }
        }
    }
    note("feed: a connection ended");
}

// The edge proxy

struct Site {
    categories: &'static str,
    holding_ms: &'static str,
    widths: &'static str,
    cells: &'static str,
    release_ms: u64,
    resend_ms: u64,
    attempts: u64,
    instances: u64,
    grace_ms: u64,
    cold_from: f64,
    multiple: f64,
    memory_mb: u64,
    sockets: u64,
}

/// Chat servers of outlets, with two of the products.
const CHAT: Site = Site {
    categories: r#"{"name":"stock-query","promiseMs":1500.0,"hardLimitMs":9000.0,"worth":1.0,"lateShare":0.25,"effect":"pure","keyScope":"all","dedupWindowMs":5000.0,"streamed":true},{"name":"till-price","promiseMs":800.0,"hardLimitMs":6000.0,"worth":6.0,"lateShare":0.25,"effect":"pure","keyScope":"all","dedupWindowMs":5000.0,"streamed":true}"#,
    holding_ms: "10200.0,6100.0",
    widths: "1,1",
    cells: "[0,1],[0,1]",
    release_ms: 300,
    resend_ms: 500,
    attempts: 6,
    instances: EDGE_PROXIES,
    grace_ms: 2000,
    cold_from: 0.35,
    multiple: 2.5,
    memory_mb: 128,
    sockets: 512,
};

impl Site {
    fn settings(&self) -> String {
        let Self { categories, holding_ms, widths, cells, release_ms, resend_ms, attempts, .. } = self;
        let Self { instances, grace_ms, cold_from, multiple, .. } = self;
        format!(
            r#"{{"categories":[{categories}],"clientHabits":{{"marksRetry":true}},"discovery":"automatic",
"domain":{{"centreAdvises":false,"classCells":[{cells}],"classHoldMs":[{holding_ms}],"farState":"piggyback","releaseGuardMs":{release_ms},"resendMs":{resend_ms},"saysWait":false,"shape":"groups","thisNode":-1,"widths":[{widths}]}},
"family":"trunks","feedback":{{"fields":["spare","total","load_share","depth"],"via":"piggyback"}},"instances":{instances},"kinds":["std"],
"limits":{{"attemptsCap":{attempts},"cancel":true,"connIdleMs":600000.0,"connectTimeoutMs":500.0,"maxOpen":20000,"maxRetryAfterMs":2000.0,"maxStreams":1048576,"mayProbe":false,"peers":false,"retryAfter":true,"secondCopies":false}},
"me":0,"overShareWorth":0.1,"rules":{{"coldFrom":{cold_from},"fallMs":1000.0,"graceToAnswerMs":20.0,"rampTimeMs":15000.0,"stopSendingWithinMs":{grace_ms}.0,"tipMultiple":{multiple}}},
"stages":["servers"],"tenants":[],"tickMs":5.0,"tier":0,"valueBy":"request","weightKind":"silent","zone":0,"zones":["seoul"]}}"#
        )
    }
}

struct Proxy {
    child: Child,
    at: SocketAddr,
    root: PathBuf,
    folder: PathBuf,
}

/// A free address below the ports that the system gives to connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..10_000 {
        let next = u64::from(std::process::id()) * 97 + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], 11_000 + (next % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no free port")
}

fn run_command(root: &Path) -> String {
    let file = root.join("deploy/balancer.toml");
    let text = std::fs::read_to_string(file).unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
    let line = text.lines().find(|line| line.starts_with("run ="));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.unwrap_or_else(|| cannot_run("the deploy file has no `run`")).to_owned()
}

fn random_seed() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}

impl Proxy {
    fn start(root: &Path, site: &Site, cores: &[&Core], known: u64, feed: &Feed) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}-{:x}", std::process::id(), random_seed()));
        let made = std::fs::create_dir_all(folder.join("tmp"));
        made.unwrap_or_else(|e| cannot_run(&format!("temporary folder: {e}")));
        let address = free_address();
        let hosts: Vec<String> = cores.iter().map(|core| core.host("Ready")).collect();
        let known = format!(
            r#"{{"n":{known},"events":[{{"n":{known},"members":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}}"#,
            hosts.join(",")
        );
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"feed":"{}","known":{known},"settings":{}}}"#,
            random_seed(),
            site.memory_mb,
            site.sockets,
            feed.at,
            site.settings()
        );
        std::fs::write(folder.join("config.json"), config)
            .unwrap_or_else(|e| cannot_run(&format!("configuration: {e}")));
        let child = Self::spawn(root, &folder, address);
        let proxy = Self { child, at: address, root: root.to_owned(), folder };
        proxy.wait_until_ready();
        proxy
    }

    fn spawn(root: &Path, folder: &Path, address: SocketAddr) -> Child {
        let log = File::options().create(true).append(true).open(folder.join("proxy.log"));
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        // SAFETY: one system call with numbers. However this program ends, the edge proxy ends with it.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, u64::from(KILL.unsigned_abs()));
                Ok(())
            });
        }
        let child = command
            .args(["-c", &run_command(root)])
            .current_dir(root)
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("edge proxy: {e}")));
        CHILDREN.lock().unwrap().push(child.id());
        note("edge proxy started");
        child
    }

    /// A test passes, as the front asks it before it takes the edge proxy in.
    fn wait_until_ready(&self) {
        let since = Instant::now();
        while since.elapsed() < ms(30_000) {
            if let Ok(mut stream) = TcpStream::connect(self.at) {
                let _ = stream.set_read_timeout(Some(ms(1000)));
                let mut line = String::new();
                let asked = stream
                    .write_all(b"{\"verb\":\"ECHO\",\"tag\":\"00000000000000aa\",\"opts\":{},\"rc\":0}\n");
                if asked.is_ok()
                    && BufReader::new(stream).read_line(&mut line).is_ok()
                    && line.contains("\"rc\":1")
                {
                    note("edge proxy ready");
                    return;
                }
            }
            thread::sleep(ms(20));
        }
        cannot_run("the edge proxy does not get ready");
    }

    fn kill(&mut self) {
        let pid = self.child.id();
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|other| *other != pid);
        note("edge proxy killed");
    }

    /// Under the same name and address, from nothing, with a new seed.
    fn restart(&mut self) {
        self.child = Self::spawn(&self.root, &self.folder, self.at);
        self.wait_until_ready();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
        if let Ok(log) = std::fs::read_to_string(self.folder.join("proxy.log")) {
            for line in log.lines().filter(|line| {
                ["feed", "shutdown", "ended", "suspected", "closed", "panic"]
                    .iter()
                    .any(|word| line.contains(word))
            }) {
                note(&format!("log of the edge proxy: {line}"));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// Callers

/// What a caller has been told of a call.
#[derive(Clone, Debug)]
struct Heard {
    at: Instant,
    /// `STARTED`, `FINISH` or `FINISHED`.
    verb: String,
    cause: u64,
}

type Told = Arc<Mutex<HashMap<u64, Vec<Heard>>>>;

/// One connection of a caller.
struct Caller {
    stream: TcpStream,
    told: Told,
    has_ended: Arc<AtomicBool>,
}

fn text_field(line: &str, name: &str) -> Option<String> {
    let rest = line.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let rest = rest.strip_prefix('"').unwrap_or(rest);
    Some(rest.chars().take_while(|c| !matches!(c, '"' | ',' | '}')).collect())
}

impl Caller {
    fn connect(address: SocketAddr, name: &str, told: &Told) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let (reading, mut answering) = (stream.try_clone()?, stream.try_clone()?);
        let (has_ended, own_told, name) = (Arc::new(AtomicBool::new(false)), told.clone(), name.to_owned());
        let ended = has_ended.clone();
        thread::spawn(move || {
            let mut lines = BufReader::new(reading);
            loop {
                let mut line = String::new();
                if !matches!(lines.read_line(&mut line), Ok(1..)) || !line.ends_with('\n') {
                    break;
                }
                let tag = text_field(&line, "tag").and_then(|tag| u64::from_str_radix(&tag, 16).ok());
                let (Some(tag), Some(verb)) = (tag, text_field(&line, "verb")) else { continue };
                let cause = text_field(&line, "rc").and_then(|rc| rc.parse().ok()).unwrap_or(0);
                note(&format!("caller {name}: told {verb} {tag:016x} cause {cause}"));
                own_told.lock().unwrap().entry(tag).or_default().push(Heard {
                    at: Instant::now(),
                    verb: verb.clone(),
                    cause,
                });
                if verb == "FINISH" {
                    let heard = format!("{{\"verb\":\"FINISHED\",\"tag\":\"{tag:016x}\",\"opts\":{{}}}}\n");
                    let _ = answering.write_all(heard.as_bytes());
                }
            }
            ended.store(true, Ordering::SeqCst);
            note(&format!("caller {name}: its connection ended"));
        });
        Ok(Self { stream, told: told.clone(), has_ended })
    }

    fn start(&mut self, tag: u64, class: &str, left_ms: u64, dest: u64, at_core: Option<&str>) -> bool {
        let standing = at_core.map(|core| format!(";at:{core}")).unwrap_or_default();
        let line = format!(
            "{{\"verb\":\"START\",\"tag\":\"{tag:016x}\",\"opts\":{{\"class\":\"{class}\",\"left\":\"{left_ms}\",\"key\":\"{:016x}\",\"extras\":\"dest:{dest};width:1;via:-1{standing}\"}},\"blob\":\"{tag:016x}\\r\\nc=IN IP4 127.0.0.1\\r\\n\"}}\n",
            tag ^ 0x5bd1_e995
        );
        note(&format!("caller: START {tag:016x} left {left_ms} dest {dest}{standing}"));
        self.stream.write_all(line.as_bytes()).is_ok()
    }

    fn heard(&self, tag: u64) -> Vec<Heard> {
        self.told.lock().unwrap().get(&tag).cloned().unwrap_or_default()
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }
}

fn is_final(heard: &[Heard]) -> bool {
    heard.iter().any(|heard| matches!(heard.verb.as_str(), "STARTED" | "FINISH"))
}

fn new_tag() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    static BASE: OnceLock<u64> = OnceLock::new();
    let base = *BASE.get_or_init(|| random_seed() << 20);
    // Ids are spread, so that nothing can be read from them.
    (base + NEXT.fetch_add(1, Ordering::Relaxed)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

// Cases: each returns how often the rule was broken

/// Case 8. A set-up crosses the end of a resting connection: it has come to the edge proxy, the caller sees the connection
/// end, and sends the set-up again, once, on a new connection.
fn set_up_crosses_an_end(root: &Path) -> usize {
    let a = Core::start("s-0a", 0, ms(150), Some(ms(1000)));
    let b = Core::start("s-0b", 1, ms(150), Some(ms(1000)));
    let feed = Feed::start(1, Duration::ZERO);
    let proxy = Proxy::start(root, &CHAT, &[&a, &b], 1, &feed);
    let (mut lost, mut answered) = (0, 0);
    for round in 0..10 {
        let told: Told = Arc::default();
        let path = Path1::open(proxy.at);
        let connect = |name: &str| {
            Caller::connect(path.at, name, &told).unwrap_or_else(|e| cannot_run(&format!("connect: {e}")))
        };
        let mut first = connect("x");
        let earlier = new_tag();
        first.start(earlier, "stock-query", 3000, round % 2, None);
        // It is served, lasts a second and ends; then the connection rests.
        let since = Instant::now();
        while first.heard(earlier).len() < 2 && since.elapsed() < ms(4000) {
            thread::sleep(ms(2));
        }
        if first.heard(earlier).len() < 2 {
            cannot_run("the first call was not served and released");
        }
        thread::sleep(ms(1500));
        let tag = new_tag();
        if is_troubled() {
            path.end_after_next_input.store(true, Ordering::SeqCst);
        }
        let sent_at = Instant::now();
        first.start(tag, "stock-query", 3000, round % 2, None);
        while !first.has_ended() && sent_at.elapsed() < ms(50) {
            thread::sleep(ms(1));
        }
        // What comes on the second connection alone counts for it.
        let told_again: Told = Arc::default();
        let mut judged = &first;
        let second;
        if first.has_ended() && !is_final(&first.heard(tag)) {
            let passed = sent_at.elapsed().as_millis() as u64;
            let mut other = Caller::connect(path.at, "y", &told_again)
                .unwrap_or_else(|e| cannot_run(&format!("connect: {e}")));
            other.start(tag, "stock-query", 3000 - passed, round % 2, None);
            second = other;
            judged = &second;
        }
        // The caller waits for 3 s; the pages allow half a second more.
        while !is_final(&judged.heard(tag)) && !judged.has_ended() && sent_at.elapsed() < ms(3500) {
            thread::sleep(ms(2));
        }
        thread::sleep(ms(20));
        let heard = judged.heard(tag);
        if is_final(&heard) {
            answered += 1;
            note(&format!("set-up {tag:016x} answered after {:.0} ms", at(heard[0].at) - at(sent_at)));
        } else {
            lost += 1;
            note(&format!(
                "LOST: set-up {tag:016x} has no answer; its connection has ended: {}, {:.1} ms after it was sent first",
                judged.has_ended(),
                sent_at.elapsed().as_secs_f64() * 1000.0
            ));
        }
    }
    note(&format!("answered {answered}, lost {lost}"));
    lost
}

/// The way between callers and the edge proxy. On demand it ends a caller's connection after the caller's next bytes, which
/// are passed on; the edge proxy hears of the end 40 ms later.
struct Path1 {
    at: SocketAddr,
    end_after_next_input: Arc<AtomicBool>,
}

impl Path1 {
    fn open(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let at = listener.local_addr().expect("a bound listener has an address");
        let end_after_next_input = Arc::new(AtomicBool::new(false));
        let flag = end_after_next_input.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(edge) = TcpStream::connect(to) else { return };
                let _ = (caller.set_nodelay(true), edge.set_nodelay(true));
                let (mut from_caller, mut to_edge) =
                    (caller.try_clone().expect("a clone"), edge.try_clone().expect("a clone"));
                let flag = flag.clone();
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    while let Ok(read @ 1..) = from_caller.read(&mut buffer) {
                        let ends = flag.swap(false, Ordering::SeqCst);
                        if to_edge.write_all(&buffer[..read]).is_err() {
                            break;
                        }
                        if ends {
                            note("path: set-up passed on; the caller's connection ends here");
                            let _ = from_caller.shutdown(Shutdown::Both);
                            thread::sleep(ms(40));
                            break;
                        }
                    }
                    let _ = to_edge.shutdown(Shutdown::Both);
                });
                let (mut from_edge, mut to_caller) = (edge, caller);
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    while let Ok(read @ 1..) = from_edge.read(&mut buffer) {
                        if to_caller.write_all(&buffer[..read]).is_err() {
                            break;
                        }
                    }
                    let _ = to_caller.shutdown(Shutdown::Both);
                });
            }
        });
        Self { at, end_after_next_input }
    }
}

/// Case 9. The edge proxy is killed with calls standing; most end before it is back, and their callers name the calls to it.
fn ends_during_a_restart(root: &Path) -> usize {
    let holding = ms(11_000);
    let a = Core::start("s-0a", 0, Duration::ZERO, Some(holding));
    let b = Core::start("s-0b", 1, Duration::ZERO, Some(holding));
    let feed = Feed::start(1, Duration::ZERO);
    let mut proxy = Proxy::start(root, &CHAT, &[&a, &b], 1, &feed);
    let told: Told = Arc::default();
    let connect = |at: SocketAddr| {
        Caller::connect(at, "gateway", &told).unwrap_or_else(|e| cannot_run(&format!("connect: {e}")))
    };
    let mut callers: Vec<Caller> = (0..8).map(|_| connect(proxy.at)).collect();
    let mut calls: Vec<(u64, u64)> = Vec::new();
    let start = Instant::now();
    // 170 calls a second, for longer than a call lasts.
    for n in 0..170 * 12u64 {
        let due = Duration::from_micros(1_000_000 / 170) * n as u32;
        thread::sleep(due.saturating_sub(start.elapsed()));
        let (tag, dest) = (new_tag(), n % 2);
        callers[(n % 8) as usize].start(tag, "stock-query", 3000, dest, None);
        calls.push((tag, dest));
    }
    thread::sleep(ms(100));
    let standing = |told: &Told| -> Vec<(u64, u64)> {
        let told = told.lock().unwrap();
        let stands = |tag: &u64| {
            told.get(tag).is_some_and(|heard| {
                heard.iter().any(|h| h.verb == "STARTED") && !heard.iter().any(|h| h.verb == "FINISH")
            })
        };
        calls.iter().filter(|(tag, _)| stands(tag)).copied().collect()
    };
    if is_troubled() {
        proxy.kill();
        thread::sleep(ms(500));
        let named = standing(&told);
        note(&format!("{} calls stand as their callers know", named.len()));
        thread::sleep(ms(7500));
        proxy.restart();
        callers = (0..8).map(|_| connect(proxy.at)).collect();
        for (n, (tag, dest)) in named.iter().enumerate() {
            let core = if a.knows(*tag) { &a } else { &b };
            callers[n % 8].start(*tag, "stock-query", 3000, *dest, Some(core.name));
        }
    }
    // All calls have ended by then, and more than 8 s are left for their releases.
    thread::sleep(holding + ms(10_000));
    drop(callers);
    let mut lost = 0;
    for (tag, _) in standing(&told) {
        let ended = [&a, &b].iter().find_map(|core| core.state.lock().unwrap().ended.get(&tag).copied());
        if let Some((ended, cause)) = ended {
            lost += 1;
            note(&format!(
                "LOST: call {tag:016x} ended {:.0} ms ago with cause {cause}, and its caller was never told",
                ended.elapsed().as_secs_f64() * 1000.0
            ));
        }
    }
    let stood =
        told.lock().unwrap().values().filter(|heard| heard.iter().any(|h| h.verb == "STARTED")).count();
    note(&format!("calls {}, stood {stood}, never released to their callers {lost}", calls.len()));
    if stood < 1500 {
        cannot_run("too few calls stood");
    }
    lost
}

/// Case 10. The control feed is slow: what it tells first on a connection comes 2 s after it was asked.
fn slow_feed(root: &Path) -> usize {
    let a = Core::start("s-0a", 0, ms(30), Some(ms(9000)));
    let b = Core::start("s-0b", 1, ms(30), Some(ms(9000)));
    let feed = Feed::start(1, if is_troubled() { ms(2000) } else { Duration::ZERO });
    let proxy = Proxy::start(root, &CHAT, &[&a, &b], 1, &feed);
    let told: Told = Arc::default();
    let connect = || {
        Caller::connect(proxy.at, "gateway", &told).unwrap_or_else(|e| cannot_run(&format!("connect: {e}")))
    };
    let mut callers: Vec<Caller> = (0..4).map(|_| connect()).collect();
    let start = Instant::now();
    let (drain_at, end_at) = (ms(5000), ms(20_000));
    let mut drained = None;
    let mut n = 0u64;
    while start.elapsed() < end_at {
        if drained.is_none() && start.elapsed() >= drain_at {
            drained = Some(feed.publish(2, &a.host("Terminating")));
        }
        n += 1;
        let on = (n % 4) as usize;
        if callers[on].has_ended() {
            callers[on] = connect();
        }
        callers[on].start(new_tag(), "stock-query", 3000, n % 2, None);
        thread::sleep(ms(100));
    }
    a.stop();
    thread::sleep(ms(300));
    let drained = drained.unwrap_or_else(|| cannot_run("no drain"));
    // What a feed that fell silent would have told counts as told after 4 s; then the grace of the settings, and 50 ms.
    let limit = drained + ms(4000 + CHAT.grace_ms + 50);
    let state = a.state.lock().unwrap();
    let before = state.set_ups.iter().filter(|set_up| set_up.at <= drained).count();
    let late: Vec<&SetUp> = state.set_ups.iter().filter(|set_up| set_up.at > limit).collect();
    let cut = late
        .iter()
        .filter(|set_up| state.ended.get(&set_up.tag).is_some_and(|(_, cause)| *cause == 41))
        .count();
    for set_up in &late {
        note(&format!(
            "LATE: set-up {:016x} came to {} {:.0} ms after the event was in the feed",
            set_up.tag,
            a.name,
            at(set_up.at) - at(drained)
        ));
    }
    note(&format!(
        "set-ups at {} before the drain: {before}; too late: {}; of these cut when it stopped: {cut}",
        a.name,
        late.len()
    ));
    if before == 0 {
        cannot_run("no set-up came to the server that drains");
    }
    late.len()
}

/// Calls whose callers were told that they are over while they stood at their core server.
fn told_over_while_standing(cores: &[&Core], told: &Told) -> usize {
    let mut broken = 0;
    let (mut stood, mut sound) = (0, 0);
    let told = told.lock().unwrap();
    for core in cores {
        let state = core.state.lock().unwrap();
        for (tag, (ended, cause)) in &state.ended {
            let Some(heard) = told.get(tag) else { continue };
            if !heard.iter().any(|heard| heard.verb == "STARTED") {
                continue;
            }
            stood += 1;
            let Some(release) = heard.iter().find(|heard| heard.verb == "FINISH") else { continue };
            // Nobody has ended the call when its caller is told that it is over: neither the core server, nor the edge
            // proxy at the core server within the second that a release may take.
            let early = ended.saturating_duration_since(release.at);
            if early > ms(1000) {
                broken += 1;
                note(&format!(
                    "LOST: the caller of {tag:016x} was told cause {} while the call stood at {} (born {}); it ended there {:.0} ms later, cause {cause}",
                    release.cause,
                    core.name,
                    core.born_ms,
                    early.as_secs_f64() * 1000.0
                ));
            } else {
                sound += 1;
            }
        }
    }
    note(&format!(
        "calls that stood {stood}, told of their end in time {sound}, told it while they stood {broken}"
    ));
    if stood < 50 {
        cannot_run("too few calls stood");
    }
    broken
}

/// Case 7. A core server closes idle connections while calls stand, and holds all the connections that it takes for a while.
fn full_of_connections(root: &Path) -> usize {
    let holding = Some(ms(9000));
    let a = Core::start("s-0a", 0, ms(30), holding);
    let b = Core::start("s-0b", 1, ms(30), holding);
    let feed = Feed::start(1, Duration::ZERO);
    let proxy = Proxy::start(root, &CHAT, &[&a, &b], 1, &feed);
    let told: Told = Arc::default();
    let connect = || {
        Caller::connect(proxy.at, "gateway", &told).unwrap_or_else(|e| cannot_run(&format!("connect: {e}")))
    };
    let mut callers: Vec<Caller> = (0..4).map(|_| connect()).collect();
    let start = Instant::now();
    let mut full_since: Option<Instant> = None;
    let mut n = 0u64;
    while start.elapsed() < ms(14_000) {
        if is_troubled() && full_since.is_none() && start.elapsed() >= ms(6000) && a.close_idle_and_be_full()
        {
            full_since = Some(Instant::now());
        }
        if full_since.is_some_and(|since| since.elapsed() >= ms(1500)) {
            a.state.lock().unwrap().is_full = false;
        }
        n += 1;
        let on = (n % 4) as usize;
        if callers[on].has_ended() {
            callers[on] = connect();
        }
        callers[on].start(new_tag(), "stock-query", 3600, n % 2, None);
        for _ in 0..125 {
            // Between two calls nothing is open.
            thread::sleep(ms(1));
            if is_troubled()
                && full_since.is_none()
                && start.elapsed() >= ms(6000)
                && a.close_idle_and_be_full()
            {
                full_since = Some(Instant::now());
            }
        }
    }
    thread::sleep(ms(10_000));
    told_over_while_standing(&[&a, &b], &told)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: faults CASE ROOT RECORD");
        std::process::exit(2)
    };
    let file = File::create(record).unwrap_or_else(|e| {
        eprintln!("{record}: {e}");
        std::process::exit(2)
    });
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        cannot_run("it takes too long");
    });
    std::panic::set_hook(Box::new(|info| {
        note(&format!("panic: {info}"));
        eprintln!("{info}");
        end_children();
        std::process::exit(2);
    }));
    note(&format!("case {case}, with the disruption: {}", is_troubled()));
    let case: fn(&Path) -> usize = match case.as_str() {
        "set-up-crosses-an-end" => set_up_crosses_an_end,
        "ends-during-a-restart" => ends_during_a_restart,
        "slow-feed" => slow_feed,
        "full-of-connections" => full_of_connections,
        _ => cannot_run("no such case"),
    };
    let broken = case(Path::new(root));
    end_children();
    note(&format!("broken: {broken}"));
    println!("broken: {broken}");
    std::process::exit(i32::from(broken > 0))
}
