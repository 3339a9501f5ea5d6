//! The decision thread.

use std::cell::RefCell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use crossbeam_channel::{Receiver, bounded, never, select};
use lotussaddle::brain::Brain;
use lotussaddle::interface::{DialogueId, RoutePlan};
use lotussaddle_edge::{Decisions, DialogueStep, Edge, EdgeEffects, LinkId, LogTopic};
use lotussaddle_fleet::{Effects, Member, PeerLink, Save, Stored};
use lotussaddle_links::{Hub, HubLimits, LinkEvent, LinkToken, Listener};
use lotussaddle_numbers::{Tables, Timestamp};
use lotussaddle_trunk::{Frame, Message};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::loader::{Loader, read_generation};
use crate::logs::{Log, LogLine};
use crate::look_ups::LookUps;
use crate::proxy::Proxy;
use crate::records::{Made, Order, Records, Wall};
use crate::sheet::EdgeSheet;

/// Inputs taken before due times are looked at again; of peers so many of them, so that no peer takes a turn for itself.
const ROUND: usize = 256;
const OF_PEERS: usize = 128;
const SIGXFSZ: i32 = 25;
/// Told to end, this process waits so long for others to take the duties that it holds.
const HAND_OVER: Duration = Duration::from_millis(500);
/// Between two lines of counts in the log.
const COUNTS_EVERY: Duration = Duration::from_secs(10);

/// Clocks that are wrong: faults that tests put in.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// How fast the clock of this process runs.
    pub rate: f64,
    /// By so many seconds the clock on the wall is off.
    pub wall: i64,
}

impl Default for Clocks {
    fn default() -> Self {
        Self { rate: 1.0, wall: 0 }
    }
}

/// What edge proxy and member share of the shell.
#[derive(Clone)]
struct Shared {
    log: Rc<RefCell<Log>>,
    /// None: nothing is remembered, or no more.
    records: Rc<RefCell<Option<Records>>>,
}

impl Shared {
    fn log(&self, note: LogTopic, line: &str) {
        self.log.borrow_mut().put(LogLine::Said(note, line.into()));
    }
}

fn bye(hub: &mut Hub, token: LinkToken, why: &str) {
    // The peer is told why, where it still takes anything.
    let why: String = why.chars().filter(|c| !c.is_control()).take(100).collect();
    let _ = hub.send(token, Frame::Bye { why: why.into() }.into());
    hub.close(token);
}

struct Sockets {
    hub: Hub,
    shared: Shared,
    loader: Option<Loader>,
    look_ups: Option<LookUps>,
}

impl EdgeEffects for Sockets {
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        self.hub.send(LinkToken(link.0), message)
    }

    fn connect(&mut self, address: &str) -> LinkId {
        LinkId(self.hub.connect(address).0)
    }

    fn close(&mut self, link: LinkId, why: &str) {
        bye(&mut self.hub, LinkToken(link.0), why);
    }

    fn record(&mut self, dialogue: &DialogueId, step: DialogueStep) -> Option<u64> {
        match step {
            DialogueStep::Answer { answer, .. } => {
                self.shared.records.borrow_mut().as_mut()?.record(dialogue, answer)
            }
            _ => None,
        }
    }

    fn load_tables(&mut self, name: &str, bases: Vec<Arc<Tables>>) -> bool {
        self.loader.as_ref().is_some_and(|loader| loader.load(name, bases))
    }

    fn send_look_up(&mut self, server: usize, datagram: &[u8]) {
        if let Some(look_ups) = &self.look_ups {
            look_ups.ask(server, datagram);
        }
    }

    fn drop_tables(&mut self, tables: Vec<Arc<Tables>>) {
        if let Some(loader) = &mut self.loader {
            loader.let_go(tables);
        }
    }

    fn log(&mut self, note: LogTopic, line: &str) {
        self.shared.log(note, line);
    }
}

/// The links of peers, in a hub of their own: what peers say does not stand in the way of what callers and core servers say.
struct PeerSockets {
    /// None: there is no fleet.
    hub: Option<Hub>,
    members: Vec<SocketAddr>,
    shared: Shared,
}

impl Effects for PeerSockets {
    fn send(&mut self, link: PeerLink, frame: Frame) -> bool {
        self.hub.as_mut().is_some_and(|hub| hub.send(LinkToken(link.0), frame.into()))
    }

    fn connect(&mut self, member: u16) -> PeerLink {
        let address = self.members.get(usize::from(member)).map(SocketAddr::to_string).unwrap_or_default();
        PeerLink(self.hub.as_mut().map_or(u64::MAX, |hub| hub.connect(&address).0))
    }

    fn close(&mut self, link: PeerLink, why: &str) {
        if let Some(hub) = &mut self.hub {
            bye(hub, LinkToken(link.0), why);
        }
    }

    fn log(&mut self, line: &str) {
        self.shared.log(LogTopic::Link, &format!("fleet: {line}"));
    }

    fn has_disk(&self) -> bool {
        self.shared.records.borrow().is_some()
    }

    fn save(&mut self, what: Vec<Save>, number: u64) -> bool {
        self.shared.records.borrow_mut().as_mut().is_some_and(|records| records.save(what, number))
    }
}

/// Runs an edge proxy until the process ends. Prints the address it listens at as the first line of standard
/// output, so that whoever started it with port 0 learns the port; in a fleet, on a second line, the one for peers.
pub fn serve(sheet: EdgeSheet) -> Result<()> {
    serve_with(sheet, Clocks::default(), Brain::new)
}

/// The same with other decisions than the module's, for baselines, or with clocks that are wrong.
pub fn serve_with<D: Decisions>(
    sheet: EdgeSheet, clocks: Clocks, decisions: impl FnOnce(RoutePlan, u64) -> D,
) -> Result<()> {
    // A write beyond the largest file that is allowed is to fail like any other, not to end the process.
    let _ = signal_hook::flag::register(SIGXFSZ, Arc::default());
    let bounds = HubLimits { connect_timeout: sheet.limits.connect_timeout, ..HubLimits::default() };
    let (hub, happenings) = Hub::new(bounds.clone()).context("no thread to begin links")?;
    let gate = Listener::open(&hub, 0, sheet.listen)
        .with_context(|| format!("cannot listen at {}", sheet.listen))?;
    let chance = |n: u64| std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), n);
    let seed = sheet.seed.unwrap_or_else(|| chance(0));
    let decisions = |plan| decisions(plan, seed);
    let mut edge =
        Edge::with_decisions(&sheet.name, &sheet.list, sheet.plan.plan(), sheet.limits.clone(), decisions);
    // Whether there was a former life is not known; that a launch of it may be out yet, is.
    edge.hold_launches_until(sheet.plan.release);
    let log = Log::begin(sheet.name.clone()).context("no thread for the log")?;
    let shared = Shared { log: Rc::new(RefCell::new(log)), records: Rc::default() };
    let mut wires = Sockets { hub, shared: shared.clone(), loader: None, look_ups: None };
    let (mut read, mut replies) = (never(), never());
    if let Some(numbers) = &sheet.numbers {
        let look_ups = numbers.look_ups.as_ref().map(|look_ups| (look_ups.plan.clone(), chance(1)));
        let mut analysis = sheet.plan.numbers(Timestamp::now(), look_ups);
        if let Some(start) = &numbers.start {
            let tables = read_generation(&numbers.folder, start, &sheet.plan.known(), &[]);
            analysis.set_initial_tables(tables.map_err(|mistakes| anyhow::anyhow!("{mistakes}"))?);
        }
        edge.use_number_analysis(analysis);
        let (loader, done) =
            Loader::begin(numbers.folder.clone(), sheet.plan.known()).context("no thread for tables")?;
        (wires.loader, read) = (Some(loader), done);
        if let Some(sheet) = &numbers.look_ups {
            let (look_ups, heard) =
                LookUps::open(&sheet.servers).context("cannot open a port for look-ups")?;
            (wires.look_ups, replies) = (Some(look_ups), heard);
        }
    }
    let (mut made, mut stored) = (never(), Stored::default());
    if let Some(store) = &sheet.store {
        let wall = Wall { off: clocks.wall };
        let (records, found, told) = Records::open(store, sheet.limits.concluded_retention, wall)?;
        found.answered.iter().for_each(|id| edge.remember_concluded(id));
        let copies = found.member.replicas.len();
        let line =
            format!("the store remembers {} answered dialogues, {copies} copies", found.answered.len());
        shared.log(LogTopic::Link, &line);
        found
            .refused
            .iter()
            .for_each(|why| shared.log(LogTopic::Link, &format!("refused, not trusted: {why}")));
        *shared.records.borrow_mut() = Some(records);
        (made, stored) = (told, found.member);
    }
    let mut effects = PeerSockets { hub: None, members: Vec::new(), shared: shared.clone() };
    let (mut peers, mut peer_gate) = (never(), None);
    let member = match &sheet.fleet {
        None => None,
        Some(fleet) => {
            let (hub, happenings) = Hub::new(bounds).context("no thread to begin links of peers")?;
            let gate = Listener::open(&hub, 0, fleet.listen)
                .with_context(|| format!("cannot listen for peers at {}", fleet.listen))?;
            (effects.hub, peers) = (Some(hub), happenings);
            effects.members = fleet.members.iter().map(|(_, address)| *address).collect();
            peer_gate = Some(gate);
            let plan = fleet.plan(&sheet.name, sheet.plan.release);
            Some(Member::new(Duration::ZERO, plan, stored, chance(2)))
        }
    };
    // Without duties there is nothing to hand over, and the word to end ends the process as it always did.
    let ends = match sheet.fleet.as_ref().and_then(|fleet| fleet.figures.duties.as_ref()) {
        Some(_) => told_to_end()?,
        None => never(),
    };
    let proxy = Proxy::new(edge, member);
    println!("listening {}", gate.address);
    if let Some(gate) = &peer_gate {
        println!("peers {}", gate.address);
    }
    let _ = std::io::stdout().flush();
    shared.log(LogTopic::Link, &format!("listening at {}", gate.address));
    let start = Instant::now();
    let mut shell = Shell { proxy, wires, effects, shared, start, rate: clocks.rate, ends_by: None };
    shell.run(&Inputs { happenings, peers, made, read, replies, ends });
    drop(peer_gate);
    Ok(())
}

/// SIGTERM and SIGINT, from a thread that does nothing else.
fn told_to_end() -> Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signals cannot be taken")?;
    let (told, ends) = bounded(1);
    let wait = move || {
        for _ in signals.forever() {
            let _ = told.try_send(());
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .stack_size(64 * 1024)
        .spawn(wait)
        .context("no thread for signals")?;
    Ok(ends)
}

/// Where inputs come from.
struct Inputs {
    happenings: Receiver<LinkEvent>,
    peers: Receiver<LinkEvent>,
    made: Receiver<Made>,
    read: Receiver<(String, Result<Arc<Tables>, String>)>,
    replies: Receiver<(usize, Vec<u8>)>,
    ends: Receiver<()>,
}

struct Shell<D> {
    proxy: Proxy<D>,
    wires: Sockets,
    effects: PeerSockets,
    shared: Shared,
    start: Instant,
    rate: f64,
    /// It was told to end, and waits until then for others to take its duties.
    ends_by: Option<Duration>,
}

impl<D: Decisions> Shell<D> {
    fn now(&self) -> Duration {
        let elapsed = self.start.elapsed();
        if self.rate == 1.0 { elapsed } else { elapsed.mul_f64(self.rate) }
    }

    fn run(&mut self, inputs: &Inputs) {
        let mut counts_at = COUNTS_EVERY;
        let mut busy = false;
        loop {
            if self.ends_by.is_some_and(|by| self.proxy.is_done() || self.now() >= by) {
                self.shared.log(LogTopic::Link, "ends, as it was told");
                return;
            }
            let wait = if busy { Duration::ZERO } else { self.proxy.next_due().saturating_sub(self.now()) };
            let (mut next, mut next_peer) = (None, None);
            select! {
                recv(inputs.happenings) -> happening => match happening {
                    Ok(happening) => next = Some(happening),
                    Err(_) => return,
                },
                recv(inputs.peers) -> happening => next_peer = happening.ok(),
                recv(inputs.made) -> made => made.into_iter().for_each(|made| self.made(made)),
                recv(inputs.read) -> found => {
                    if let Ok((name, tables)) = found {
                        let now = self.now();
                        self.proxy.loaded(now, &name, tables, &mut self.wires);
                    }
                }
                recv(inputs.replies) -> reply => {
                    reply.into_iter().for_each(|(server, datagram)| self.replied(server, &datagram));
                }
                recv(inputs.ends) -> told => {
                    if told.is_ok() && self.ends_by.is_none() {
                        let now = self.now();
                        self.ends_by = Some(now + HAND_OVER);
                        self.proxy.ends(now);
                    }
                }
                default(wait) => {}
            };
            for (server, datagram) in inputs.replies.try_iter().take(ROUND) {
                self.replied(server, &datagram);
            }
            while let Ok(made) = inputs.made.try_recv() {
                self.made(made);
            }
            next = next.or_else(|| inputs.happenings.try_recv().ok());
            for _ in 0..=ROUND {
                let Some(happening) = next else { break };
                self.take(happening);
                next = inputs.happenings.try_recv().ok();
            }
            let pressed = next.is_some();
            if let Some(happening) = next {
                self.take(happening);
            }
            next_peer = next_peer.or_else(|| inputs.peers.try_recv().ok());
            for _ in 0..=OF_PEERS {
                let Some(happening) = next_peer else { break };
                self.take_peer(happening);
                next_peer = inputs.peers.try_recv().ok();
            }
            busy = next_peer.is_some();
            if let Some(happening) = next_peer {
                self.take_peer(happening);
            }
            let now = self.now();
            if self.proxy.next_due() <= now {
                self.proxy.alarm(now, &mut self.wires, &mut self.effects);
            }
            self.proxy.flush(now, &mut self.wires, &mut self.effects);
            if self.proxy.member().is_some() {
                let (start, rate) = (self.start, self.rate);
                let clock = move || start.elapsed().mul_f64(rate);
                let now = self.now();
                self.proxy.work(now, pressed, &mut self.effects, &clock);
                self.proxy.flush(now, &mut self.wires, &mut self.effects);
            }
            if now >= counts_at {
                counts_at = now + COUNTS_EVERY;
                self.tell_counts(now);
            }
        }
    }

    fn tell_counts(&mut self, now: Duration) {
        // The machine's clock may have been set.
        if let Some(numbers) = self.proxy.edge_mut().number_analysis() {
            numbers.set_wall_clock(now, Timestamp::now());
        }
        let edge = self.proxy.edge();
        let counts = LogLine::Counts(Box::new(edge.counts().clone()), edge.sizes());
        let mut log = self.shared.log.borrow_mut();
        log.put(counts);
        if let Some(member) = self.proxy.member() {
            log.put(LogLine::Fleet(
                Box::new(member.counts().clone()),
                member.replica_table().len(),
                member.replica_table().max_lag(),
            ));
        }
    }

    fn replied(&mut self, server: usize, datagram: &[u8]) {
        let now = self.now();
        self.proxy.replied(now, server, datagram, &mut self.wires);
    }

    /// An order to the disk is done, or cannot be: then answers are given without from now on, copies are kept in memory alone,
    /// and the log says so.
    fn made(&mut self, (order, outcome): Made) {
        let well = outcome.is_ok();
        if let Err(error) = outcome
            && self.shared.records.borrow_mut().take().is_some()
        {
            let line = format!("the store fails, answers are given without a record: {error}");
            self.shared.log(LogTopic::Link, &line);
        }
        let now = self.now();
        let (wires, effects) = (&mut self.wires, &mut self.effects);
        match order {
            Order::Answer(number) => self.proxy.recorded(now, number, wires),
            Order::Member(number) => self.proxy.saved(now, number, well, wires, effects),
        }
    }

    fn take(&mut self, happening: LinkEvent) {
        let now = self.now();
        let (proxy, wires, effects) = (&mut self.proxy, &mut self.wires, &mut self.effects);
        match happening {
            LinkEvent::Accepted(token, _, opened) => {
                wires.hub.admit(token, opened);
                proxy.linked(now, LinkId(token.0), wires);
            }
            LinkEvent::Connected(token) => proxy.connected(now, LinkId(token.0), wires),
            LinkEvent::Received(token, message) => proxy.heard(now, LinkId(token.0), message, wires, effects),
            LinkEvent::Closed(token, why) => {
                wires.hub.close(token);
                proxy.lost(now, LinkId(token.0), &why, wires);
            }
        }
    }

    fn take_peer(&mut self, happening: LinkEvent) {
        let now = self.now();
        let (proxy, wires, effects) = (&mut self.proxy, &mut self.wires, &mut self.effects);
        match happening {
            LinkEvent::Accepted(token, _, opened) => {
                if let Some(hub) = &mut effects.hub {
                    hub.admit(token, opened);
                }
                proxy.peer_linked(now, PeerLink(token.0));
            }
            LinkEvent::Connected(token) => proxy.peer_connected(now, PeerLink(token.0), wires, effects),
            LinkEvent::Received(token, message) => {
                proxy.peer_heard(now, PeerLink(token.0), message.frame, wires, effects);
            }
            LinkEvent::Closed(token, why) => {
                if let Some(hub) = &mut effects.hub {
                    hub.close(token);
                }
                proxy.peer_lost(now, PeerLink(token.0), &why, wires, effects);
            }
        }
    }
}
