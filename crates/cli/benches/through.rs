//! What one edge proxy process adds to a set-up over loopback, how many dialogues a second it carries, and what
//! memory and threads it takes, beside a bare relay that passes the same frames and decides nothing.
//! `cargo bench -p lotussaddle-cli --bench through`; with `-- --fleet` what sharing copies costs, by copies/acknowledgements awaited
//! (d: on disk); with `-- --hops DIR` the histograms of one hop that `lotussaddle scale chain` reads.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use hdrhistogram::Histogram;
use lotussaddle::interface::*;
use lotussaddle_links::{Hub, HubLimits, LinkEvent, LinkToken, Listener};
use lotussaddle_trunk::*;

const CORES: usize = 4;
const LINKS: usize = 4;

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn hub() -> (Hub, Receiver<LinkEvent>) {
    Hub::new(HubLimits { max_queued_messages: 1 << 17, max_queued_events: 1 << 17, ..HubLimits::default() })
        .expect("a hub")
}

fn hello(role: Role, name: &str) -> Message {
    Frame::Hello(Hello::new(role, Arc::from(name))).into()
}

fn whole_list(addresses: &[SocketAddr]) -> Frame {
    let entries = (0..CORES).map(|n| Entry {
        server: ServerId(Arc::from(format!("core-{n}"))),
        number: ServerNumber(n as i64),
        address: Arc::from(addresses[n + 1].to_string()),
        state: ServerState::Active,
        incarnation: 0,
        age: Duration::ZERO,
    });
    Frame::List { is_complete: true, entries: entries.collect() }
}

/// Core servers and list: every launch stands at once.
fn cores() -> (SocketAddr, Vec<SocketAddr>) {
    let (mut hub, happenings) = hub();
    let gates: Vec<Listener> =
        (0..=CORES).map(|n| Listener::open(&hub, n as u32, any()).expect("a gate")).collect();
    let addresses: Vec<SocketAddr> = gates.iter().map(|gate| gate.address).collect();
    let told = addresses.clone();
    thread::spawn(move || {
        let _gates = gates;
        let mut at: HashMap<LinkToken, u32> = HashMap::new();
        let report = LoadReport { free_lines: Some(1e6), total_lines: Some(1e6), ..LoadReport::default() };
        while let Ok(happening) = happenings.recv() {
            match happening {
                LinkEvent::Accepted(token, gate, opened) => {
                    hub.admit(token, opened);
                    at.insert(token, gate);
                }
                LinkEvent::Received(token, message) => {
                    let answer = match message.frame {
                        Frame::Hello(_) if at[&token] == 0 => {
                            hub.send(token, hello(Role::List, "list"));
                            whole_list(&addresses)
                        }
                        Frame::Hello(_) => {
                            hub.send(token, hello(Role::Core, &format!("core-{}", at[&token] - 1)));
                            continue;
                        }
                        Frame::Ping { nonce } => Frame::Pong { nonce },
                        Frame::Launch(l) => {
                            Frame::Stood { dialogue: l.dialogue, launch: l.launch, report: report.clone() }
                        }
                        Frame::Release { dialogue, launch } => {
                            let report = LoadReport::default();
                            Frame::Ended { dialogue, launch, end: DialogueEnd::Released, report }
                        }
                        _ => continue,
                    };
                    hub.send(token, answer.into());
                }
                LinkEvent::Closed(token, _) => hub.close(token),
                LinkEvent::Connected(_) => {}
            }
        }
    });
    (told[0], told[1..].to_vec())
}

/// A process under load, ended with it.
struct Process(Child, String);

impl Process {
    fn begin(mut command: Command) -> Self {
        let command = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().expect("it starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
        let address = line.trim().strip_prefix("listening ").expect("where it listens").to_string();
        Self(child, address)
    }

    /// KiB in memory, and threads.
    fn size(&self) -> (u64, u64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap_or_default();
        let of = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok()).unwrap_or(0)
        };
        (of("VmRSS:"), of("Threads:"))
    }

    /// Processor time that it has used, in seconds.
    fn used(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn edge(list: SocketAddr, folder: &std::path::Path) -> Process {
    let sheet = folder.join("edge.kdl");
    let text = format!(
        "name \"edge-0\"\nlisten \"127.0.0.1:0\"\nlist \"{list}\"\nseed 1\nlimits {{ dialogues 1000000; remembered 200000; \
         remember-for \"1s\"; }}\nplan {{ proxies 1; release \"300ms\"; cold-share 0.4; warm-after \"5s\"; \
         fall-multiple 2.0; product \"p\" {{ promised \"1s\"; lasts \"2s\"; cut-off \"9s\"; }}; }}\n"
    );
    std::fs::write(&sheet, text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotussaddle"));
    command.args(["serve", "--tied"]).arg(&sheet);
    Process::begin(command)
}

/// Three edge proxies that share copies; the first one is given the load.
fn fleet(list: SocketAddr, folder: &std::path::Path, copies: u32, awaited: u32, disks: bool) -> Vec<Process> {
    let held: Vec<_> = (0..3).map(|_| std::net::TcpListener::bind(any()).expect("a port")).collect();
    let ports: Vec<SocketAddr> = held.iter().map(|held| held.local_addr().expect("bound")).collect();
    drop(held);
    let members = ports.iter().enumerate().map(|(n, port)| format!("member \"edge-{n}\" \"{port}\"; "));
    let members: String = members.collect();
    let begin = |(n, port): (usize, &SocketAddr)| {
        let sheet = folder.join(format!("edge-{n}.kdl"));
        let store = folder.join(format!("{copies}-{awaited}-{}.{n}", rand_name()));
        let store = match disks {
            true => format!("store {{ folder \"{}\"; mode \"written\"; }}\n", store.display()),
            false => String::new(),
        };
        let text = format!(
            "name \"edge-{n}\"\nlisten \"127.0.0.1:0\"\nlist \"{list}\"\nseed {n}\n{store}limits {{ dialogues 1000000; \
             remembered 200000; remember-for \"1s\"; }}\nfleet {{ listen \"{port}\"; copies {copies}; before-launch {awaited}; \
             before-answer {awaited}; within \"20ms\"; forget \"5s\"; {members}}}\nplan {{ proxies 3; release \"300ms\"; \
             cold-share 0.4; warm-after \"5s\"; fall-multiple 2.0; product \"p\" {{ promised \"1s\"; lasts \"2s\"; \
             cut-off \"9s\"; }}; }}\n"
        );
        std::fs::write(&sheet, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lotussaddle"));
        command.args(["serve", "--tied"]).arg(&sheet);
        Process::begin(command)
    };
    ports.iter().enumerate().map(begin).collect()
}

fn rand_name() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_nanos()
}

fn measure_fleets(list: SocketAddr, folder: &std::path::Path) {
    let only = std::env::var("LOTUSSADDLE_RATE").ok().and_then(|rate| rate.parse::<f64>().ok());
    for rate in [2000.0_f64, 8000.0, 30_000.0].into_iter().filter(|rate| only.is_none_or(|o| o == *rate)) {
        for _ in 0..2 {
            let settings =
                [(1, 0, false), (2, 0, false), (1, 1, false), (2, 1, false), (2, 2, false), (2, 1, true)];
            let alone = edge(list, folder);
            thread::sleep(Duration::from_millis(300));
            let mut callers = Callers::new(&alone.1, LINKS);
            callers.dial(rate.min(3000.0), 1.0, true);
            let used = alone.used();
            let load = callers.dial(rate, 3.0, true);
            told("alone", rate, &load, (alone.used() - used) / load.seconds);
            drop((callers, alone));
            for (copies, awaited, disks) in settings {
                let members = fleet(list, folder, copies, awaited, disks);
                thread::sleep(Duration::from_millis(1500));
                let mut callers = Callers::new(&members[0].1, LINKS);
                callers.dial(rate.min(3000.0), 1.0, true);
                let used = members[0].used();
                let load = callers.dial(rate, 3.0, true);
                let name = format!("{copies}/{awaited}{}", if disks { " d" } else { "" });
                told(&name, rate, &load, (members[0].used() - used) / load.seconds);
            }
        }
    }
}

/// The relay: the same links, codec and threads, one loop between them, and no decision.
fn relay(cores: &[String]) {
    let (mut hub, happenings) = hub();
    let gate = Listener::open(&hub, 0, any()).expect("a gate");
    println!("listening {}", gate.address);
    let far: Vec<LinkToken> = cores.iter().map(|address| hub.connect(address)).collect();
    let mut callers: HashMap<DialogueId, (LinkToken, LinkToken)> = HashMap::new();
    let mut next = 0;
    while let Ok(happening) = happenings.recv() {
        match happening {
            LinkEvent::Accepted(token, _, opened) => hub.admit(token, opened),
            LinkEvent::Connected(token) => drop(hub.send(token, hello(Role::Edge, "relay"))),
            LinkEvent::Received(token, message) => match message.frame {
                Frame::Hello(h) if h.role == Role::Caller => {
                    hub.send(token, hello(Role::Edge, "relay"));
                }
                Frame::Dial(d) => {
                    next = (next + 1) % far.len();
                    callers.insert(d.dialogue.clone(), (token, far[next]));
                    let launch = Launch {
                        dialogue: d.dialogue,
                        launch: LaunchNumber(0),
                        key: d.key,
                        product: d.product,
                        width: d.width,
                        time_left: d.time_left,
                        number: None,
                        routing: None,
                        owner: None,
                    };
                    hub.send(far[next], Frame::Launch(launch).into());
                }
                Frame::Stood { dialogue, .. } => {
                    if let Some((caller, _)) = callers.get(&dialogue) {
                        let server = ServerId(Arc::from("core"));
                        hub.send(*caller, Frame::Stands { dialogue, server }.into());
                    }
                }
                Frame::HangUp { dialogue } => {
                    if let Some((_, far)) = callers.remove(&dialogue) {
                        hub.send(far, Frame::Release { dialogue, launch: LaunchNumber(0) }.into());
                    }
                }
                _ => {}
            },
            LinkEvent::Closed(token, _) => hub.close(token),
        }
    }
}

struct Load {
    times: Histogram<u64>,
    sent: u64,
    stood: u64,
    seconds: f64,
}

struct Callers {
    hub: Hub,
    happenings: Receiver<LinkEvent>,
    links: Vec<LinkToken>,
    count: u64,
}

impl Callers {
    fn new(address: &str, links: usize) -> Self {
        let (mut hub, happenings) = hub();
        let links: Vec<LinkToken> = (0..links).map(|_| hub.connect(address)).collect();
        for (n, link) in links.iter().enumerate() {
            hub.send(*link, hello(Role::Caller, &format!("gateway-{n}")));
        }
        Self { hub, happenings, links, count: 0 }
    }

    fn dial_one(&mut self) -> DialogueId {
        self.count += 1;
        let dialogue = DialogueId(Arc::from(format!("gateway-17-{}", self.count)));
        let dial = Dial {
            dialogue: dialogue.clone(),
            key: Some(DialledKey(Arc::from(format!("key-{}", self.count)))),
            product: 0,
            tenant: None,
            first_choice: ServerNumber((self.count % CORES as u64) as i64),
            width: 1.0,
            time_left: Duration::from_secs(3),
            is_retry: false,
            redialled_after_cut: false,
            is_repeat: false,
            sent_at: None,
            try_of: None,
            dialled: None,
        };
        let link = self.links[self.count as usize % self.links.len()];
        self.hub.send(link, Frame::Dial(dial).into());
        dialogue
    }

    /// Dials at a rate, whatever comes back; each that stands is hung up at once, or kept.
    fn dial(&mut self, rate: f64, seconds: f64, hang_up: bool) -> Load {
        let mut out: HashMap<DialogueId, Instant> = HashMap::new();
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("allowed");
        let mut load = Load { times, sent: 0, stood: 0, seconds };
        let begun = Instant::now();
        loop {
            let now = begun.elapsed().as_secs_f64();
            let due = if now < seconds { (now * rate) as u64 } else { load.sent };
            while load.sent < due {
                load.sent += 1;
                // From when it was due, so that a sender held up does not hide the wait.
                let at = begun + Duration::from_secs_f64(load.sent as f64 / rate);
                out.insert(self.dial_one(), at);
            }
            if now > seconds && (out.is_empty() || now > seconds + 3.0) {
                return load;
            }
            let until = (load.sent + 1) as f64 / rate - begun.elapsed().as_secs_f64();
            let wait = Duration::from_secs_f64(until.clamp(0.0, 0.001));
            let mut next = self.happenings.recv_timeout(wait).ok();
            for _ in 0..200 {
                let Some(happening) = next else { break };
                if let LinkEvent::Received(token, message) = happening {
                    match message.frame {
                        Frame::Stands { dialogue, .. } => {
                            if let Some(at) = out.remove(&dialogue) {
                                load.times.saturating_record((at.elapsed().as_micros() as u64).max(1));
                                load.stood += 1;
                            }
                            if hang_up {
                                self.hub.send(token, Frame::HangUp { dialogue }.into());
                            }
                        }
                        Frame::Refused { dialogue, .. } | Frame::Failed { dialogue } => {
                            out.remove(&dialogue);
                        }
                        Frame::Ping { nonce } => {
                            self.hub.send(token, Frame::Pong { nonce }.into());
                        }
                        _ => {}
                    }
                }
                next = self.happenings.try_recv().ok();
            }
        }
    }
}

/// Rates of one edge proxy at the target: its share of all calls, and that share when each call passes 15 edge proxies.
const HOP_RATES: [f64; 2] = [85.0, 1280.0];
const HOP_SECONDS: f64 = 10.0;

/// Set-ups sent straight to core servers, with no edge proxy between: what the network and the core server take.
fn measure_direct(addresses: &[SocketAddr], rate: f64) -> Histogram<u64> {
    let (mut hub, happenings) = hub();
    let links: Vec<LinkToken> =
        addresses[1..].iter().map(|address| hub.connect(&address.to_string())).collect();
    greet_when_up(&mut hub, &happenings, links.len());
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("allowed");
    let begun = Instant::now();
    for count in 0..(rate * HOP_SECONDS) as u64 {
        let due = begun + Duration::from_secs_f64(count as f64 / rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let dialogue = DialogueId(Arc::from(format!("direct-{count}")));
        let launch = Launch {
            dialogue: dialogue.clone(),
            launch: LaunchNumber(0),
            key: None,
            product: 0,
            width: 1.0,
            time_left: Duration::from_secs(3),
            number: None,
            routing: None,
            owner: None,
        };
        let sent = Instant::now();
        hub.send(links[count as usize % links.len()], Frame::Launch(launch).into());
        await_stood(&mut hub, &happenings, &dialogue);
        times.saturating_record((sent.elapsed().as_micros() as u64).max(1));
    }
    times
}

/// Says hello on each link as it comes up, and returns when all are.
fn greet_when_up(hub: &mut Hub, happenings: &Receiver<LinkEvent>, links: usize) {
    let mut up = 0;
    while up < links {
        match happenings.recv_timeout(Duration::from_secs(3)).expect("links to core servers") {
            LinkEvent::Connected(token) => {
                hub.send(token, hello(Role::Edge, "direct"));
                up += 1;
            }
            LinkEvent::Closed(..) => panic!("a link to a core server did not come up"),
            _ => {}
        }
    }
}

fn await_stood(hub: &mut Hub, happenings: &Receiver<LinkEvent>, awaited: &DialogueId) {
    while let Ok(happening) = happenings.recv_timeout(Duration::from_secs(3)) {
        match happening {
            LinkEvent::Received(token, Message { frame: Frame::Ping { nonce }, .. }) => {
                hub.send(token, Frame::Pong { nonce }.into());
            }
            LinkEvent::Received(_, Message { frame: Frame::Stood { dialogue, .. }, .. })
                if dialogue == *awaited =>
            {
                return;
            }
            _ => {}
        }
    }
    panic!("a core server did not answer");
}

/// The list of `[upper bound in microseconds, count]` that `lotussaddle scale chain` reads.
fn write_hops(folder: &std::path::Path, name: &str, rate: f64, times: &Histogram<u64>) {
    let buckets: Vec<[u64; 2]> =
        times.iter_recorded().map(|bucket| [bucket.value_iterated_to(), bucket.count_at_value()]).collect();
    let path = folder.join(format!("{name}-{rate:.0}.json"));
    std::fs::write(&path, serde_json::to_string(&buckets).expect("numbers")).expect("written");
    let at = |quantile: f64| times.value_at_quantile(quantile);
    println!("{name:<6} {rate:>8.0}/s p50 {} p99 {} most {} us", at(0.5), at(0.99), times.max());
}

fn measure_hops(
    list: SocketAddr, addresses: &[SocketAddr], scratch: &std::path::Path, out: &std::path::Path,
) {
    std::fs::create_dir_all(out).expect("a folder");
    for rate in HOP_RATES {
        write_hops(out, "direct", rate, &measure_direct(addresses, rate));
        let alone = vec![edge(list, scratch)];
        for (name, processes) in [("alone", alone), ("fleet", fleet(list, scratch, 2, 1, false))] {
            thread::sleep(Duration::from_millis(1500));
            let mut callers = Callers::new(&processes[0].1, LINKS);
            callers.dial(rate, 1.0, true);
            write_hops(out, name, rate, &callers.dial(rate, HOP_SECONDS, true).times);
        }
    }
}

fn told(name: &str, rate: f64, load: &Load, busy: f64) {
    let at = |q: f64| load.times.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "{name:<6} {rate:>8.0} {:>9.0} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>9.2} {:>8.2}%",
        load.stood as f64 / load.seconds,
        at(0.5),
        at(0.99),
        at(0.999),
        at(1.0),
        busy,
        100.0 * (load.sent - load.stood) as f64 / load.sent.max(1) as f64,
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(place) = arguments.iter().position(|a| a == "--relay") {
        return relay(&arguments[place + 1..]);
    }
    let folder = tempfile::tempdir().expect("a folder");
    let (list, addresses) = cores();
    if let Some(place) = arguments.iter().position(|a| a == "--hops") {
        let out = arguments.get(place + 1).expect("a folder for the histograms");
        return measure_hops(list, &addresses, folder.path(), std::path::Path::new(out));
    }
    println!("dial to stands, ms; busy: processors used by the process");
    println!(
        "{:<6} {:>8} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "", "asked/s", "stood/s", "p50", "p99", "p99.9", "most", "busy", "let go"
    );
    if arguments.iter().any(|a| a == "--fleet") {
        return measure_fleets(list, folder.path());
    }
    let memory_alone = arguments.iter().any(|a| a == "--memory");
    for rate in [1000.0_f64, 5000.0, 10_000.0, 20_000.0, 30_000.0] {
        for _ in 0..if memory_alone { 0 } else { 3 } {
            for name in ["relay", "edge"] {
                let process = if name == "edge" {
                    edge(list, folder.path())
                } else {
                    let mut command = Command::new(&arguments[0]);
                    command.arg("--relay").args(addresses.iter().map(SocketAddr::to_string));
                    Process::begin(command)
                };
                thread::sleep(Duration::from_millis(300));
                let mut callers = Callers::new(&process.1, LINKS);
                callers.dial(rate.min(3000.0), 1.0, true);
                let used = process.used();
                let load = callers.dial(rate, 3.0, true);
                told(name, rate, &load, (process.used() - used) / load.seconds);
            }
        }
    }
    // Memory and threads.
    let process = edge(list, folder.path());
    thread::sleep(Duration::from_millis(300));
    let (bare, threads) = process.size();
    println!("edge proxy with {CORES} core servers: {bare} KiB, {threads} threads");
    let mut callers = Callers::new(&process.1, 400);
    thread::sleep(Duration::from_secs(1));
    let (linked, threads) = process.size();
    let each = (linked - bare) as f64 / 400.0;
    println!("400 callers' links: {linked} KiB, {threads} threads; {each:.1} KiB a link");
    // First as many that come and go, so that what is remembered of concluded ones is there already.
    callers.dial(10_000.0, 3.0, true);
    thread::sleep(Duration::from_secs(2));
    let (before, _) = process.size();
    let load = callers.dial(10_000.0, 10.0, false);
    let (after, _) = process.size();
    let each = after.saturating_sub(before) as f64 * 1024.0 / load.stood as f64;
    println!("{} dialogues open: {before} to {after} KiB, {each:.0} bytes a dialogue", load.stood);
}
