//! Core servers that answer and end calls by themselves, at any rate of set-ups, and a feed that sends its number.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lotussaddle_platform::codec::{
    BinaryMessage, Framing, MessageSplitter, Tag, cause, code, kind, write_binary_message,
};

const TOTAL_LINES: usize = 8000;
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// How exactly answers and ends are timed.
const TICK: Duration = Duration::from_millis(2);

/// A set-up that has come to a core server.
#[derive(Clone, Copy, Debug)]
pub struct SetUp {
    pub tag: u64,
    pub at: Instant,
}

#[derive(Default)]
struct State {
    connections: HashMap<usize, TcpStream>,
    last_connection: usize,
    /// Set-ups without an answer, and the connections that carry them.
    open: HashMap<u64, usize>,
    standing: HashMap<u64, usize>,
    /// What happens when: calls that are answered or end.
    due: BTreeMap<(Instant, u64), Due>,
    set_ups: Vec<SetUp>,
    /// Set-ups that came while one under the same identifier was open or stood here.
    doubles: usize,
    cut: usize,
    sequence: u64,
}

#[derive(Clone, Copy)]
enum Due {
    Answer(u64),
    End(u64),
}

/// A core server that answers each set-up after a time and ends each call after another.
#[derive(Clone)]
pub struct AnsweringCore {
    pub at: SocketAddr,
    answers_after: Duration,
    holding: Duration,
    state: Arc<Mutex<State>>,
}

impl AnsweringCore {
    pub fn new(answers_after: Duration, holding: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let core = Self { at: listener.local_addr().unwrap(), answers_after, holding, state: Arc::default() };
        let accepting = core.clone();
        thread::spawn(move || listener.incoming().flatten().for_each(|stream| accepting.accept(stream)));
        let timing = core.clone();
        thread::spawn(move || timing.keep_time());
        core
    }

    fn accept(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut state = self.state.lock().unwrap();
        state.last_connection += 1;
        let on = state.last_connection;
        state.connections.insert(on, stream.try_clone().unwrap());
        let report = report(&state);
        state.write(on, &report);
        drop(state);
        let own = self.clone();
        thread::spawn(move || own.read(stream, on));
    }

    fn read(&self, mut stream: TcpStream, on: usize) {
        let mut splitter = MessageSplitter::new(Framing::Binary);
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(read @ 1..) = stream.read(&mut buffer) {
            splitter.push(&buffer[..read]);
            let mut state = self.state.lock().unwrap();
            while let Ok(Some(message)) = splitter.next_message() {
                let message = BinaryMessage::parse(message).expect("core servers are sent valid messages");
                self.received(&mut state, on, &message);
            }
        }
        let mut state = self.state.lock().unwrap();
        state.connections.remove(&on);
        state.open.retain(|_, carried_on| *carried_on != on);
    }

    fn received(&self, state: &mut State, on: usize, message: &BinaryMessage) {
        let tag = message.tag.0;
        match message.kind {
            kind::START => {
                state.set_ups.push(SetUp { tag, at: Instant::now() });
                let is_double = state.standing.contains_key(&tag) || state.open.insert(tag, on).is_some();
                state.doubles += usize::from(is_double);
                state.schedule(self.answers_after, Due::Answer(tag));
            }
            kind::FINISH => {
                state.open.remove(&tag);
                if state.standing.remove(&tag).is_some() {
                    state.cut += 1;
                    let released = encode(kind::FINISHED, tag, &[]);
                    state.write(on, &released);
                }
            }
            _ => {}
        }
    }

    fn keep_time(&self) {
        let mut report_at = Instant::now();
        loop {
            thread::sleep(TICK);
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            while let Some((at, _)) = state.due.first_key_value().map(|(key, _)| *key)
                && at <= now
            {
                match state.due.pop_first().expect("it was found").1 {
                    Due::Answer(tag) => self.answer(&mut state, tag),
                    Due::End(tag) => end(&mut state, tag),
                }
            }
            if now >= report_at {
                report_at = now + REPORT_INTERVAL;
                let report = report(&state);
                for on in state.connections.keys().copied().collect::<Vec<_>>() {
                    state.write(on, &report);
                }
            }
        }
    }

    fn answer(&self, state: &mut State, tag: u64) {
        let Some(on) = state.open.remove(&tag) else { return };
        state.standing.insert(tag, on);
        let description = format!("for call {tag}");
        let answer = encode(kind::STARTED, tag, &[(code::DESCRIPTION, description.as_bytes())]);
        state.write(on, &answer);
        state.schedule(self.holding, Due::End(tag));
    }

    /// Calls that stand.
    pub fn standing(&self) -> usize {
        self.state.lock().unwrap().standing.len()
    }

    /// All set-ups that have come.
    pub fn set_ups(&self) -> Vec<SetUp> {
        self.state.lock().unwrap().set_ups.clone()
    }

    /// Set-ups that came while one under the same identifier was open or stood here.
    pub fn doubles(&self) -> usize {
        self.state.lock().unwrap().doubles
    }
}

impl State {
    fn schedule(&mut self, after: Duration, due: Due) {
        self.sequence += 1;
        self.due.insert((Instant::now() + after, self.sequence), due);
    }

    fn write(&mut self, on: usize, bytes: &[u8]) -> bool {
        self.connections.get_mut(&on).is_some_and(|stream| stream.write_all(bytes).is_ok())
    }
}

fn end(state: &mut State, tag: u64) {
    let Some(on) = state.standing.remove(&tag) else { return };
    let release = encode(kind::FINISH, tag, &[(code::CAUSE, &[cause::NORMAL])]);
    if !state.write(on, &release) {
        let others: Vec<usize> = state.connections.keys().copied().collect();
        others.into_iter().any(|other| state.write(other, &release));
    }
}

fn report(state: &State) -> Vec<u8> {
    let free = TOTAL_LINES.saturating_sub(state.standing.len());
    let report = format!("spare:{free};total:{TOTAL_LINES};load_share:0.3;depth:0");
    encode(kind::LOAD, 0, &[(code::LOAD, report.as_bytes())])
}

fn encode(kind: u8, tag: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut out = Vec::new();
    assert!(write_binary_message(kind, Tag(tag), parameters, &mut out));
    out
}

/// A feed that sends its last number each second on each connection, and no events.
pub fn steady_feed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                while stream.write_all(b"1\n").is_ok() {
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    });
    at
}

/// The configuration of an edge proxy before two core servers, with these limits.
pub fn config_of_two(
    listen: SocketAddr, feed: SocketAddr, cores: [SocketAddr; 2], memory_mb: u64, sockets: u64,
) -> String {
    let host = |n: usize| {
        format!(r#"{{"host":"s-{n}","dial":"{}","block":{n},"health":"Ready","born_ms":0}}"#, cores[n])
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"5","feed":"{feed}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
        "known":{{"n":1,"events":[{{"n":1,"members":{{"seq":0,"whole":true,"hosts":[{},{}]}}}}]}},
        "settings":{{"categories":[{{"name":"voice","promiseMs":1500.0,"hardLimitMs":9000.0,"worth":1.0}}],
            "domain":{{"classCells":[[0,1]],"classHoldMs":[2000.0],"releaseGuardMs":300.0,"resendMs":500.0,"widths":[1]}},
            "feedback":{{"fields":["spare","total","load_share","depth"],"via":"piggyback"}},
            "instances":1,"tickMs":5.0,"rules":{{"coldFrom":0.35,"rampTimeMs":15000.0,"tipMultiple":2.5}},
            "limits":{{"attemptsCap":6,"cancel":true,"retryAfter":true,"maxRetryAfterMs":2000.0,"connectTimeoutMs":500.0,"connIdleMs":600000.0}}}}}}"#,
        host(0),
        host(1)
    )
}
