//! Plays a day over sockets: edge proxies are processes of their own, all their links run through this process,
//! and its one clock records every frame at their end.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use crossbeam_channel::{Receiver, Sender, bounded, select, unbounded};
use lotussaddle_edge::Limits;
use lotussaddle_judge::{Judge, Verdict, write_line};
use lotussaddle_links::{Hub, HubLimits, LinkEvent, LinkToken, Listener};
use lotussaddle_numbers::Timestamp;
use lotussaddle_serve::{EdgeSheet, FleetSheet, LookUpSheet, NumbersSheet, StoreSheet};
use lotussaddle_store::Mode;
use lotussaddle_trunk::{Frame, Hello, Message, PeerMessage, Role};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};

use crate::plan::Day;
use crate::world::{Ground, Place, World};

/// Real clocks, real threads: an answer may be seen so late, and a cancel too. Other programs share the cores.
pub const ANSWER_GRACE: Duration = Duration::from_millis(400);
pub const SLACK: Duration = Duration::from_millis(120);
/// All must be up by then.
const UP_WITHIN: Duration = Duration::from_secs(20);
const ROUND: usize = 512;
/// Gates of this number and those behind it are those of edge proxies for their peers.
const PEERS: u32 = 1 << 20;
/// Links to peers that could not be begun are numbered down from here.
const NOT_BEGUN: u64 = u64::MAX - 1;

/// How edge proxies are started.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    /// Before the path of the sheet.
    pub arguments: Vec<String>,
    /// Edge proxies have a store.
    pub remembers: bool,
}

/// Sockets and processes.
struct Site {
    hub: Hub,
    /// Gate 0 is the list's, gate n + 1 that of core server n.
    gates: Vec<Listener>,
    program: Program,
    folder: PathBuf,
    day: Day,
    remembers: bool,
    seats: Vec<Option<Child>>,
    addresses: Vec<Option<SocketAddr>>,
    lives: Vec<u64>,
    told: Sender<Told>,
    /// Where peers come to each edge proxy by way of this process, and where they come in there.
    peer_gates: Vec<Listener>,
    peer_addresses: Vec<Option<SocketAddr>>,
    peer_begun: HashMap<LinkToken, usize>,
    peer_refused: Vec<u64>,
    clocks: Vec<(f64, i64)>,
    /// Links of operators, open until the day is over.
    operators: Vec<TcpStream>,
    /// Links that callers began, and have not come up.
    begun: HashMap<LinkToken, usize>,
    refused: Vec<usize>,
    trouble: Option<anyhow::Error>,
    /// Look-up servers: a socket for each at each edge proxy, and who asked there last.
    look_ups: BTreeMap<(usize, usize), LookUp>,
    asked: Sender<(usize, usize, SocketAddr, Vec<u8>)>,
    over: Arc<AtomicBool>,
}

/// An edge proxy in this life listens there, for callers or for peers.
type Told = (usize, u64, bool, SocketAddr);

struct LookUp {
    socket: UdpSocket,
    address: SocketAddr,
    asker: Option<SocketAddr>,
}

impl Site {
    fn sheet(&self, edge: usize) -> EdgeSheet {
        EdgeSheet {
            name: format!("edge-{edge}"),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            list: self.gates[0].address.to_string(),
            seed: Some(self.day.seed ^ (edge as u64 + 1) << 32 ^ self.lives[edge] << 48),
            limits: Limits { answer_record_timeout: crate::virt::RECORD_WITHIN, ..Limits::default() },
            store: self.has_store().then(|| StoreSheet { folder: self.disk(edge), mode: Mode::Written }),
            numbers: self.day.numbers.as_ref().map(|numbers| NumbersSheet {
                folder: self.folder.join("tables"),
                start: numbers.generations.first().map(|(name, _)| name.clone()),
                look_ups: Some(LookUpSheet {
                    servers: (0..numbers.servers)
                        .map(|server| self.look_ups[&(edge, server)].address)
                        .collect(),
                    plan: numbers.client.clone(),
                }),
            }),
            fleet: self.day.fleet.as_ref().map(|fleet| {
                let members = self.peer_gates.iter().enumerate();
                let mut members: Vec<(String, SocketAddr)> =
                    members.map(|(edge, gate)| (format!("edge-{edge}"), gate.address)).collect();
                members.sort();
                let listen = SocketAddr::from(([127, 0, 0, 1], 0));
                FleetSheet { listen, members, figures: fleet.figures.clone() }
            }),
            plan: self.day.plan.clone(),
        }
    }

    fn has_store(&self) -> bool {
        self.day.fleet.as_ref().map_or(self.remembers, |fleet| fleet.stores)
    }

    fn disk(&self, edge: usize) -> PathBuf {
        self.folder.join(format!("edge-{edge}.store"))
    }

    fn spawn(&mut self, edge: usize) -> Result<()> {
        self.lives[edge] += 1;
        let path = self.folder.join(format!("edge-{edge}.kdl"));
        std::fs::write(&path, self.sheet(edge).kdl())
            .with_context(|| format!("cannot write {}", path.display()))?;
        let log = self.folder.join(format!("edge-{edge}.log"));
        let mut log = File::options().create(true).append(true).open(&log)?;
        let (rate, wall) = self.clocks[edge];
        let wrong = [format!("--clock-rate={rate}"), format!("--wall-off={wall}")];
        let wrong = wrong.iter().filter(|_| (rate, wall) != (1.0, 0));
        let mut child = Command::new(&self.program.path)
            .args(&self.program.arguments)
            .args(wrong)
            .arg(&path)
            // It ends with this process, however that ends.
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            // Its log passes through here, so that a full disk of its own does not end it.
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", self.program.path.display()))?;
        let output = child.stdout.take().context("no standard output")?;
        let mut lines = child.stderr.take().context("no standard error")?;
        thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(move || {
            let _ = std::io::copy(&mut lines, &mut log);
        })?;
        let (told, life) = (self.told.clone(), self.lives[edge]);
        thread::Builder::new().name("edge".into()).stack_size(64 * 1024).spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let (callers, peers) = (line.strip_prefix("listening "), line.strip_prefix("peers "));
                if let Some(address) = callers.or(peers).and_then(|a| a.trim().parse().ok()) {
                    let _ = told.send((edge, life, peers.is_some(), address));
                }
            }
        })?;
        self.seats[edge] = Some(child);
        Ok(())
    }

    /// Writes the generations, and opens a socket for each look-up server at each edge proxy.
    fn begin_numbers(&mut self) -> Result<()> {
        let Some(numbers) = self.day.numbers.clone() else { return Ok(()) };
        let folder = self.folder.join("tables");
        std::fs::create_dir_all(&folder).with_context(|| format!("cannot make {}", folder.display()))?;
        for (name, text) in &numbers.generations {
            std::fs::write(folder.join(format!("{name}.kdl")), text)?;
        }
        for edge in 0..self.day.edges {
            for server in 0..numbers.servers {
                let socket = UdpSocket::bind("127.0.0.1:0").context("no port for a look-up server")?;
                socket.set_read_timeout(Some(Duration::from_millis(100)))?;
                let (address, reader) = (socket.local_addr()?, socket.try_clone()?);
                let (asked, over) = (self.asked.clone(), self.over.clone());
                thread::Builder::new().name("look-up".into()).stack_size(64 * 1024).spawn(move || {
                    let mut buffer = [0; 1024];
                    while !over.load(Ordering::Relaxed) {
                        if let Ok((length, from)) = reader.recv_from(&mut buffer) {
                            let _ = asked.try_send((edge, server, from, buffer[..length].to_vec()));
                        }
                    }
                })?;
                self.look_ups.insert((edge, server), LookUp { socket, address, asker: None });
            }
        }
        Ok(())
    }

    fn signal(&self, edge: usize, signal: Signal) {
        if let Some(pid) = self.seats[edge].as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Ground for Site {
    fn say(&mut self, link: u64, message: Message) {
        // A full queue means an edge proxy that stands still: its link would hold this up to the sender.
        if !self.hub.send(LinkToken(link), message) {
            self.hub.reset(LinkToken(link));
        }
    }

    fn close(&mut self, link: u64, reset: bool) {
        if reset { self.hub.reset(LinkToken(link)) } else { self.hub.close(LinkToken(link)) }
    }

    fn dial_in(&mut self, edge: usize) -> u64 {
        let Some(address) = self.addresses[edge] else {
            self.refused.push(edge);
            return u64::MAX;
        };
        let token = self.hub.connect(&address.to_string());
        self.begun.insert(token, edge);
        token.0
    }

    fn open_core(&mut self, core: usize) -> String {
        // An address of its own, so that its port is nobody else's while it refuses connects.
        let address = SocketAddr::from(([127, 0, 1 + (core / 200) as u8, 1 + (core % 200) as u8], 0));
        let gate = Listener::open(&self.hub, core as u32 + 1, address);
        match gate {
            Ok(gate) => {
                let address = gate.address.to_string();
                self.gates.push(gate);
                address
            }
            Err(error) => {
                self.trouble.get_or_insert(anyhow::anyhow!("cannot listen at {address}: {error}"));
                "127.0.0.1:1".into()
            }
        }
    }

    fn shut_core(&mut self, core: usize, shut: bool) {
        let Some(gate) = self.gates.get_mut(core + 1) else { return };
        if shut {
            gate.close();
        } else if let Err(error) = gate.reopen(&self.hub) {
            self.trouble.get_or_insert(anyhow::anyhow!("cannot listen again at {}: {error}", gate.address));
        }
    }

    fn drip(&mut self, link: u64, gap: Duration) -> bool {
        self.hub.throttle(LinkToken(link), gap);
        true
    }

    fn reply(&mut self, edge: usize, server: usize, datagram: Vec<u8>) {
        if let Some(LookUp { socket, asker: Some(asker), .. }) = self.look_ups.get(&(edge, server)) {
            let _ = socket.send_to(&datagram, asker);
        }
    }

    fn dial_peer(&mut self, edge: usize) -> u64 {
        let Some(address) = self.peer_addresses[edge] else {
            let link = NOT_BEGUN - self.peer_refused.len() as u64;
            self.peer_refused.push(link);
            return link;
        };
        let token = self.hub.connect(&address.to_string());
        self.peer_begun.insert(token, edge);
        token.0
    }

    fn keep_disk(&mut self, edge: usize) {
        let kept = self.folder.join(format!("edge-{edge}.kept"));
        let _ = std::fs::remove_dir_all(&kept);
        let _ = copy_folder(&self.disk(edge), &kept);
    }

    fn change_disk(&mut self, edge: usize, kept: bool) {
        let _ = std::fs::remove_dir_all(self.disk(edge));
        if kept {
            let _ = copy_folder(&self.folder.join(format!("edge-{edge}.kept")), &self.disk(edge));
        }
    }

    fn publish(&mut self, edge: usize, generation: &str) {
        // As an operator's command does; what becomes of it is seen in the traffic between members.
        let Some(address) = self.peer_addresses[edge] else { return };
        let (hello, what) = (Hello::new(Role::Edge, "an operator".into()), format!("publish {generation}"));
        let mut bytes = Vec::new();
        for frame in [Frame::Hello(hello), Frame::PeerMessage(PeerMessage::Inquire { query: what.into() })] {
            Message::from(frame).encode(&mut bytes);
        }
        if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            let _ = stream.write_all(&bytes);
            self.operators.push(stream);
        }
    }

    /// Its files may not grow: a write beyond what they have fails, as on a disk without room.
    fn fill_disk(&mut self, edge: usize, full: bool) {
        let pid = self.seats[edge].as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let limit = Rlimit { current: full.then_some(0), maximum: None };
            let _ = prlimit(Some(pid), Resource::Fsize, limit);
        }
    }

    fn set_clocks(&mut self, edge: usize, rate: f64, wall: i64) {
        self.clocks[edge] = (rate, wall);
    }

    fn kill(&mut self, edge: usize) {
        self.addresses[edge] = None;
        self.peer_addresses[edge] = None;
        if let Some(mut child) = self.seats[edge].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn start(&mut self, edge: usize) {
        if let Err(error) = self.spawn(edge) {
            self.trouble.get_or_insert(error);
        }
    }

    fn stall(&mut self, edge: usize, still: bool) {
        self.signal(edge, if still { Signal::STOP } else { Signal::CONT });
    }
}

fn copy_folder(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

impl Drop for Site {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for edge in 0..self.seats.len() {
            self.kill(edge);
        }
    }
}

/// Plays a day; `folder` takes record.jsonl, verdict.json, the sheets and the logs of the edge proxies.
pub fn play(day: &Day, program: &Program, folder: &Path) -> Result<Verdict> {
    std::fs::create_dir_all(folder).with_context(|| format!("cannot make {}", folder.display()))?;
    let (hub, happenings) = Hub::new(HubLimits::default())?;
    let list = Listener::open(&hub, 0, SocketAddr::from(([127, 0, 0, 1], 0)))
        .context("cannot listen for the list")?;
    let (told, addresses) = unbounded();
    let (asked, questions) = bounded(65_536);
    let mut site = Site {
        hub,
        gates: vec![list],
        program: program.clone(),
        folder: folder.into(),
        day: day.clone(),
        remembers: program.remembers,
        seats: (0..day.edges).map(|_| None).collect(),
        addresses: vec![None; day.edges],
        lives: vec![0; day.edges],
        told,
        operators: Vec::new(),
        begun: HashMap::new(),
        refused: Vec::new(),
        trouble: None,
        look_ups: BTreeMap::new(),
        asked,
        over: Arc::default(),
        peer_gates: Vec::new(),
        peer_addresses: vec![None; day.edges],
        peer_begun: HashMap::new(),
        peer_refused: Vec::new(),
        clocks: vec![(1.0, 0); day.edges],
    };
    if day.fleet.is_some() {
        for edge in 0..day.edges {
            let gate = Listener::open(&site.hub, PEERS + edge as u32, SocketAddr::from(([127, 0, 0, 1], 0)));
            site.peer_gates.push(gate.context("cannot listen for peers")?);
        }
    }
    site.begin_numbers()?;
    let mut world = World::new(day.clone(), &mut site);
    for edge in 0..day.edges {
        site.spawn(edge)?;
    }
    let mut brief = day.brief(ANSWER_GRACE, SLACK);
    if let Some(numbers) = &mut brief.numbers {
        // Edge proxies go by the machine's clock.
        numbers.wall = Timestamp::now().to_string();
    }
    let lines = run(day, &mut world, &mut site, &happenings, &addresses, &questions)?;
    brief.capacities = world.capacities();

    let record = folder.join("record.jsonl");
    let mut out =
        BufWriter::new(File::create(&record).with_context(|| format!("cannot write {}", record.display()))?);
    write_line(&mut out, &brief)?;
    let mut judge = Judge::new(brief);
    for line in &lines {
        write_line(&mut out, line)?;
        judge.line(line);
    }
    out.flush()?;
    let verdict = judge.finish();
    std::fs::write(folder.join("verdict.json"), serde_json::to_string_pretty(&verdict)?)?;
    Ok(verdict)
}

fn run(
    day: &Day, world: &mut World, site: &mut Site, happenings: &Receiver<LinkEvent>,
    addresses: &Receiver<Told>, questions: &Receiver<(usize, usize, SocketAddr, Vec<u8>)>,
) -> Result<Vec<lotussaddle_judge::Line>> {
    let start = Instant::now();
    let mut lines = Vec::new();
    let mut begun = false;
    while !world.is_over() {
        if let Some(trouble) = site.trouble.take() {
            return Err(trouble);
        }
        while let Ok((edge, life, for_peers, address)) = addresses.try_recv() {
            if life == site.lives[edge] && site.seats[edge].is_some() {
                let known = if for_peers { &mut site.peer_addresses } else { &mut site.addresses };
                known[edge] = Some(address);
            }
        }
        for link in std::mem::take(&mut site.peer_refused) {
            world.peer_refused(start.elapsed(), link);
        }
        for edge in std::mem::take(&mut site.refused) {
            world.refused(start.elapsed(), edge);
        }
        let now = start.elapsed();
        if !begun {
            let links = day.edges * (day.cores.count + 2);
            if world.callers_linked() == day.edges && world.links_up() >= links {
                begun = true;
                world.begin(now);
            } else if now > UP_WITHIN {
                bail!(
                    "not all edge proxies were up within {UP_WITHIN:?}; see their logs in {}",
                    site.folder.display()
                );
            }
        }
        let wait = world.next_due().saturating_sub(now).min(Duration::from_millis(20));
        let mut next = select! {
            recv(happenings) -> happening => happening.ok(),
            recv(questions) -> question => {
                question.into_iter().for_each(|question| ask(world, site, start.elapsed(), question));
                None
            }
            default(wait) => None,
        };
        for question in questions.try_iter().take(ROUND) {
            ask(world, site, start.elapsed(), question);
        }
        for _ in 0..ROUND {
            let Some(happening) = next else { break };
            take(world, site, start.elapsed(), happening);
            next = happenings.try_recv().ok();
        }
        if let Some(happening) = next {
            take(world, site, start.elapsed(), happening);
        }
        let now = start.elapsed();
        if world.next_due() <= now {
            world.alarm(now, site);
        }
        lines.append(&mut world.take_lines());
    }
    Ok(lines)
}

fn ask(world: &mut World, site: &mut Site, now: Duration, question: (usize, usize, SocketAddr, Vec<u8>)) {
    let (edge, server, from, datagram) = question;
    if let Some(look_up) = site.look_ups.get_mut(&(edge, server)) {
        look_up.asker = Some(from);
    }
    world.asked(now, edge, server, &datagram);
}

fn take(world: &mut World, site: &mut Site, now: Duration, happening: LinkEvent) {
    match happening {
        LinkEvent::Accepted(token, gate, opened) => {
            site.hub.admit(token, opened);
            let place = match gate {
                0 => Place::List,
                PEERS.. => Place::Peer((gate - PEERS) as usize),
                core => Place::Core(core as usize - 1),
            };
            world.came(now, token.0, place, site);
        }
        LinkEvent::Connected(token) => {
            if let Some(edge) = site.begun.remove(&token) {
                world.up(now, token.0, edge, site);
            } else if site.peer_begun.remove(&token).is_some() {
                world.peer_up(now, token.0, site);
            }
        }
        LinkEvent::Received(token, message) => world.said(now, token.0, message),
        LinkEvent::Closed(token, _) => {
            site.hub.close(token);
            if site.peer_begun.remove(&token).is_some() {
                return world.peer_refused(now, token.0);
            }
            match site.begun.remove(&token) {
                Some(edge) => world.refused(now, edge),
                None => world.lost(now, token.0),
            }
        }
    }
}
