//! A host process of a socket run: many hollow members in one thread, on real loopback sockets by readiness. It is told what to do
//! on its standard input and ends when that closes.

use std::io::{BufRead, ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use lotussaddle_fleet::Plan;
use lotussaddle_trunk::Message;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use rustix::time::{ClockId, clock_gettime};

use crate::hollow::{Effect, HollowMember, Input, Verdict, fleet_plan};
use crate::host_protocol::{HostAddresses, HostOrder, HostReport, HostSetup, Sighted, Sighting, monotonic};
use crate::measure::{Direction, FrameKind, MemberTraffic, resident_bytes};
use crate::outcomes::{change_name, change_number};
use crate::peer_sockets::PeerSockets;
use crate::traffic::DrawnCalls;
use crate::virtual_links::mix;

const ORDERS: Token = Token(0);
const FIRST_LISTENER: usize = 1;
const EVENTS: usize = 4096;
/// The longest wait for readiness.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// A connect that was not taken for want of descriptors, say, is not tried at once again.
const BACKLOG_TURN: usize = 256;

/// Runs a host process until it has reported or its standard input closes.
pub fn run_host() -> Result<()> {
    let (orders, input) = channel();
    let setup = read_setup()?;
    let poll = Poll::new().context("no poll")?;
    let waker = Waker::new(poll.registry(), ORDERS).context("no waker")?;
    std::thread::Builder::new().name("orders".into()).spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(order) = serde_json::from_str::<HostOrder>(&line) else { break };
            if orders.send(order).is_err() || waker.wake().is_err() {
                break;
            }
        }
        // Whoever started this process is gone: nothing of it is to stay.
        std::process::exit(0);
    })?;
    let listeners = listen(&poll, setup.members.len())?;
    let addresses = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<Vec<_>>>()?;
    say(&HostAddresses { addresses })?;
    let mut host = SocketHost::new(setup, &poll, listeners)?;
    host.run(poll, &input)
}

fn read_setup() -> Result<HostSetup> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).context("no setup")?;
    serde_json::from_str(&line).context("the setup cannot be read")
}

fn say(message: &impl serde::Serialize) -> Result<()> {
    let mut output = std::io::stdout().lock();
    serde_json::to_writer(&mut output, message)?;
    output.write_all(b"\n")?;
    output.flush().context("nobody reads what this process says")
}

fn listen(poll: &Poll, count: usize) -> Result<Vec<TcpListener>> {
    let mut listeners = Vec::new();
    for number in 0..count {
        let mut listener =
            TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).context("cannot listen")?;
        poll.registry().register(&mut listener, Token(FIRST_LISTENER + number), Interest::READABLE)?;
        listeners.push(listener);
    }
    Ok(listeners)
}

/// Processor time of this process.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, |descriptors| descriptors.count().saturating_sub(1))
}

/// One member of this host.
struct Hosted {
    place: usize,
    /// None: its machine is gone.
    process: Option<HollowMember>,
    starts: u64,
    links_begun: u64,
    due: Duration,
    inputs: Vec<Input>,
    traffic: MemberTraffic,
    /// Connections of a machine that is gone, whose other ends hear nothing.
    frozen: Vec<TcpStream>,
}

struct SocketHost {
    setup: HostSetup,
    figures: Plan,
    members: Vec<Hosted>,
    listeners: Vec<TcpListener>,
    addresses: Vec<SocketAddr>,
    sockets: PeerSockets,
    begins: Option<Duration>,
    sightings: Vec<Sighting>,
    resident_at_start: u64,
    measured: MeasuredProcess,
}

/// What the process has used at the beginning and at the end of the measured time.
#[derive(Default)]
struct MeasuredProcess {
    processor_from: Option<Duration>,
    processor_to: Option<Duration>,
    resident_bytes: u64,
    descriptors: usize,
    links: usize,
}

impl SocketHost {
    fn new(setup: HostSetup, poll: &Poll, listeners: Vec<TcpListener>) -> Result<Self> {
        let seconds = setup.time.seconds;
        let hosted = |place: &usize| Hosted {
            place: *place,
            process: None,
            starts: 0,
            links_begun: 0,
            due: Duration::MAX,
            inputs: Vec::new(),
            traffic: MemberTraffic::new(seconds),
            frozen: Vec::new(),
        };
        let members: Vec<Hosted> = setup.members.iter().map(hosted).collect();
        let first_token = FIRST_LISTENER + members.len();
        Ok(Self {
            figures: fleet_plan(setup.size),
            members,
            listeners,
            addresses: Vec::new(),
            sockets: PeerSockets::new(poll.registry().try_clone()?, first_token),
            begins: None,
            sightings: Vec::new(),
            resident_at_start: resident_bytes(),
            measured: MeasuredProcess::default(),
            setup,
        })
    }

    /// The time of the run; none before it begins.
    fn now(&self) -> Option<Duration> {
        monotonic().checked_sub(self.begins?)
    }

    fn run(&mut self, mut poll: Poll, orders: &Receiver<HostOrder>) -> Result<()> {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            match poll.poll(&mut events, Some(self.wait())) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                other => other.context("poll")?,
            }
            for event in &events {
                match event.token() {
                    ORDERS => {}
                    Token(token) if token < FIRST_LISTENER + self.listeners.len() => {
                        self.accept(token - FIRST_LISTENER);
                    }
                    token => {
                        let failed = event.is_error() || event.is_read_closed();
                        self.sockets.ready(
                            token,
                            event.is_readable() || failed,
                            event.is_writable() || failed,
                        );
                    }
                }
            }
            // Before the order to finish is obeyed, which comes at the very end of the measured time.
            if let Some(now) = self.now() {
                self.look_at_process(now);
            }
            while let Ok(order) = orders.try_recv() {
                if let HostOrder::Finish = order {
                    return say(&self.report());
                }
                self.obey(order)?;
            }
            let Some(now) = self.now() else { continue };
            self.take_inputs(now);
            for local in 0..self.members.len() {
                self.turn(local, now);
            }
            self.sockets.flush();
        }
    }

    fn wait(&self) -> Duration {
        let Some(now) = self.now() else {
            let begins = self.begins.map(|begins| begins.saturating_sub(monotonic()));
            return begins.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT);
        };
        let due = self.members.iter().map(|member| member.due).min().unwrap_or(Duration::MAX);
        due.saturating_sub(now).min(LONGEST_WAIT)
    }

    fn accept(&mut self, local: usize) {
        for _ in 0..BACKLOG_TURN {
            let Ok((stream, _)) = self.listeners[local].accept() else { return };
            let member = &mut self.members[local];
            if member.process.is_some() {
                self.sockets.accept(local, stream);
            } else {
                member.frozen.push(stream);
            }
        }
    }

    fn take_inputs(&mut self, now: Duration) {
        let second = self.setup.time.second_of(now);
        for received in self.sockets.take_inputs() {
            let member = &mut self.members[received.member];
            if let Input::Received(_, frame) = &received.input {
                member.traffic.count(second, Direction::Received, FrameKind::of(frame), received.bytes);
            }
            member.inputs.push(received.input);
        }
    }

    fn turn(&mut self, local: usize, now: Duration) {
        let member = &mut self.members[local];
        let Some(process) = &mut member.process else { return member.inputs.clear() };
        if member.inputs.is_empty() && member.due > now {
            return;
        }
        let effects = process.turn(now, std::mem::take(&mut member.inputs));
        member.due = process.next_due();
        for effect in effects {
            self.carry_out(local, now, effect);
        }
    }

    fn carry_out(&mut self, local: usize, now: Duration, effect: Effect) {
        let member = &mut self.members[local];
        match effect {
            Effect::Send(link, frame) => {
                let kind = FrameKind::of(&frame);
                let bytes = self.sockets.send((local, link), &Message::from(frame));
                member.traffic.count(self.setup.time.second_of(now), Direction::Sent, kind, bytes);
            }
            Effect::Connect(to, link) => {
                self.sockets.connect(local, link, self.addresses[usize::from(to)]);
            }
            Effect::Close(link) => self.sockets.close((local, link)),
            Effect::InForce(name) => {
                let number = change_number(&name);
                let what = number.map(|number| Sighted::InForce { number });
                self.sightings.extend(what.map(|what| Sighting { at: now, member: member.place, what }));
            }
            Effect::Verdict(Verdict::HeldDead(dead)) => {
                let what = Sighted::HeldDead { member: usize::from(dead) };
                self.sightings.push(Sighting { at: now, member: member.place, what });
            }
            Effect::Verdict(Verdict::HeardAgain(_)) => {}
        }
    }

    fn obey(&mut self, order: HostOrder) -> Result<()> {
        match order {
            HostOrder::Start { addresses, begins } => {
                if addresses.len() != self.setup.size {
                    bail!("{} addresses for {} members", addresses.len(), self.setup.size);
                }
                (self.addresses, self.begins) = (addresses, Some(begins));
                (0..self.members.len()).for_each(|local| self.start(local, Duration::ZERO));
            }
            HostOrder::Change { number, member } => self.order_change(number, member),
            HostOrder::Leave { members } => members.into_iter().for_each(|place| self.leave(place)),
            HostOrder::Return { members } => {
                for place in members {
                    let now = self.now().unwrap_or_default();
                    if let Some(local) =
                        self.local(place).filter(|local| self.members[*local].process.is_none())
                    {
                        self.members[local].frozen.clear();
                        self.start(local, now);
                    }
                }
            }
            HostOrder::Finish => {}
        }
        Ok(())
    }

    /// The number in this host of a member of the fleet.
    fn local(&self, place: usize) -> Option<usize> {
        self.members.iter().position(|member| member.place == place)
    }

    fn start(&mut self, local: usize, now: Duration) {
        let (seed, rate) = (self.setup.seed, self.setup.call_rate);
        let member = &mut self.members[local];
        member.starts += 1;
        let chance = mix(seed ^ (member.place as u64) << 20 ^ member.starts << 40);
        let plan = Plan { self_member: member.place as u16, ..self.figures.clone() };
        let calls =
            (rate > 0.0).then(|| DrawnCalls::new(now, member.place as u16, member.starts, rate, mix(chance)));
        member.process = Some(HollowMember::start(now, plan, chance, member.links_begun, calls));
        member.due = now;
    }

    fn leave(&mut self, place: usize) {
        let Some(local) = self.local(place) else { return };
        let member = &mut self.members[local];
        if let Some(process) = member.process.take() {
            member.links_begun = process.links_begun();
            member.frozen = self.sockets.freeze(local);
        }
    }

    fn order_change(&mut self, number: usize, place: usize) {
        let Some(now) = self.now() else { return };
        let Some(local) = self.local(place) else { return };
        let member = &mut self.members[local];
        if let Some(process) = &mut member.process {
            // Where nobody is there to do it, whoever orders it does so again.
            process.publish(now, &change_name(number));
            member.due = now;
        }
    }

    fn look_at_process(&mut self, now: Duration) {
        let end = self.setup.time.from + Duration::from_secs(self.setup.time.seconds as u64);
        if now >= self.setup.time.from && self.measured.processor_from.is_none() {
            self.measured.processor_from = Some(processor_time());
        }
        if now >= end && self.measured.processor_to.is_none() {
            let links = self.members.iter().filter_map(|member| member.process.as_ref());
            self.measured = MeasuredProcess {
                processor_from: self.measured.processor_from,
                processor_to: Some(processor_time()),
                resident_bytes: resident_bytes().saturating_sub(self.resident_at_start),
                descriptors: open_descriptors(),
                links: links.map(HollowMember::links).sum(),
            };
        }
    }

    fn report(&mut self) -> HostReport {
        let measured = &self.measured;
        let from = measured.processor_from.unwrap_or_default();
        HostReport {
            traffic: self.members.iter().map(|member| member.traffic.clone()).collect(),
            sightings: std::mem::take(&mut self.sightings),
            processor: measured.processor_to.unwrap_or(from).saturating_sub(from),
            links: measured.links,
            descriptors: measured.descriptors,
            resident_bytes: measured.resident_bytes,
        }
    }
}
