//! Plays a plan in virtual time: all members in one process and one thread, frames passed over simulated links. The same plan, size
//! and seed give the same counts; only processor time and memory differ.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use lotussaddle_fleet::{PeerLink, Plan};
use lotussaddle_trunk::{Frame, Message};

use crate::error::ScaleError;
use crate::hollow::{self, Effect, HollowMember, Input, Verdict, far_end, fleet_plan, peer_of};
use crate::measure::{
    Direction, FrameKind, MeasuredTime, MemberTraffic, encoded_length, resident_bytes, traffic_measurements,
};
use crate::outcomes::{Outcomes, change_name, change_number};
use crate::plan::{Bytes, ScalePlan};
use crate::record::{Aggregate, Distribution, Measurement, Observations, Quantity, Role};
use crate::runner::{RunContext, Runner};
use crate::timeline::{Event, Stall, Timeline};
use crate::traffic::DrawnCalls;
use crate::virtual_links::{VirtualLinks, mix};

/// From one turn of a member to the next at least, as a loop with a thread to wake takes.
const TURN_TAKES: Duration = Duration::from_micros(50);
/// A connect that nobody answers is given up after this, as in the product.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
/// Members that start with the fleet are spread over this time.
const STARTS_WITHIN: Duration = Duration::from_secs(1);
/// Calls a second of one hollow member: a few, so that copies and acknowledgements flow.
const CALL_RATE: f64 = 0.2;
/// After the measured time it is waited so long for changes and deaths that are under way.
const SETTLE_WITHIN: Duration = Duration::from_secs(30);
/// A change that is not in force by then in the member that it was ordered at is ordered again: an order is lost with a holder of
/// the duty that is gone or cut off, or behind too many others, and nobody is told.
const ORDER_AGAIN: Duration = Duration::from_secs(10);
/// Bounds are looked at so often in virtual time.
const BOUNDS_EVERY: Duration = Duration::from_millis(100);

/// Plays plans in virtual time.
#[derive(Clone, Debug)]
pub struct VirtualRunner {
    /// Calls a second of each member.
    pub call_rate: f64,
    /// Members whose process stands still for a time.
    pub stalls: Vec<Stall>,
    /// Heap bytes of this process, where a counting allocator tells; without it no heap is measured.
    pub heap_in_use: Option<fn() -> u64>,
}

impl Default for VirtualRunner {
    fn default() -> Self {
        Self { call_rate: CALL_RATE, stalls: Vec::new(), heap_in_use: None }
    }
}

impl Runner for VirtualRunner {
    fn run(&self, plan: &ScalePlan, context: &RunContext) -> Result<Observations, ScaleError> {
        let mut fleet = VirtualFleet::new(self, plan, context);
        fleet.play()?;
        Ok(fleet.observations())
    }
}

/// Memory of this process.
#[derive(Clone, Copy, Debug, Default)]
struct MemoryInUse {
    resident: u64,
    heap: Option<u64>,
}

impl MemoryInUse {
    fn now(runner: &VirtualRunner) -> Self {
        Self { resident: resident_bytes(), heap: runner.heap_in_use.map(|heap_in_use| heap_in_use()) }
    }
}

/// What is on its way to a member.
enum Packet {
    Begin,
    Begun,
    Refused,
    Closed,
    Carries { frame: Frame, kind: FrameKind, bytes: usize },
}

struct Arrival {
    at: Duration,
    /// Of two that arrive at once the one that was sent first comes first.
    sequence: u64,
    /// As the receiver numbers it.
    link: PeerLink,
    packet: Packet,
}

impl Arrival {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for Arrival {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Arrival {}

impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Arrival {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// The machine of one member.
struct Machine {
    /// None: it is gone.
    process: Option<HollowMember>,
    starts: u64,
    links_begun: u64,
    inbox: BinaryHeap<Reverse<Arrival>>,
    /// When its next turn is queued.
    wakes_at: Duration,
    last_turn: Duration,
    still_until: Duration,
    spent_before: Duration,
}

impl Machine {
    fn new() -> Self {
        Self {
            process: None,
            starts: 0,
            links_begun: 0,
            inbox: BinaryHeap::new(),
            wakes_at: Duration::MAX,
            last_turn: Duration::ZERO,
            still_until: Duration::ZERO,
            spent_before: Duration::ZERO,
        }
    }

    fn next_turn(&self) -> Option<Duration> {
        let process = self.process.as_ref()?;
        let arrives = self.inbox.peek().map_or(Duration::MAX, |Reverse(arrival)| arrival.at);
        Some(arrives.min(process.next_due()).max(self.earliest_turn()))
    }

    fn earliest_turn(&self) -> Duration {
        (self.last_turn + TURN_TAKES).max(self.still_until)
    }

    /// Processor time spent in the state machine, in all processes of this machine.
    fn spent(&self) -> Duration {
        self.spent_before + self.process.as_ref().map_or(Duration::ZERO, HollowMember::spent)
    }
}

struct VirtualFleet<'a> {
    runner: &'a VirtualRunner,
    plan: &'a ScalePlan,
    context: &'a RunContext,
    figures: Plan,
    links: VirtualLinks,
    timeline: Timeline,
    machines: Vec<Machine>,
    /// Turns by time; one that does not match its machine's `wakes_at` is out of date.
    turns: BinaryHeap<Reverse<(Duration, usize)>>,
    now: Duration,
    sequence: u64,
    time: MeasuredTime,
    traffic: Vec<MemberTraffic>,
    outcomes: Outcomes,
    /// Changes that were ordered: when to look for them, their numbers, and where they were ordered.
    orders: VecDeque<(Duration, usize, usize)>,
    buffer: Vec<u8>,
    started: Instant,
    memory_at_start: MemoryInUse,
    memory: MemoryInUse,
    /// By member, over the measured time.
    spent: Vec<Duration>,
}

impl<'a> VirtualFleet<'a> {
    fn new(runner: &'a VirtualRunner, plan: &'a ScalePlan, context: &'a RunContext) -> Self {
        let size = context.size;
        let links = VirtualLinks::new(plan, size, context.seed);
        let timeline = Timeline::draw(plan, &runner.stalls, links.places(), context.seed);
        let time = MeasuredTime { from: plan.warm_up, seconds: plan.duration.as_secs() as usize };
        Self {
            runner,
            plan,
            context,
            figures: fleet_plan(size),
            links,
            timeline,
            machines: (0..size).map(|_| Machine::new()).collect(),
            turns: BinaryHeap::new(),
            now: Duration::ZERO,
            sequence: 0,
            time,
            traffic: vec![MemberTraffic::new(time.seconds); size],
            outcomes: Outcomes::new(size),
            orders: VecDeque::new(),
            buffer: Vec::new(),
            started: Instant::now(),
            memory_at_start: MemoryInUse::now(runner),
            memory: MemoryInUse::default(),
            spent: vec![Duration::ZERO; size],
        }
    }

    fn play(&mut self) -> Result<(), ScaleError> {
        for member in 0..self.context.size {
            self.start(member);
            self.hold(member, self.first_turn(member));
        }
        self.run_until(self.time.from)?;
        let spent_at_start: Vec<Duration> = self.machines.iter().map(Machine::spent).collect();
        for (at, event) in std::mem::take(&mut self.timeline.events) {
            self.run_until(at)?;
            self.happen(event);
        }
        let end = self.plan.warm_up + self.plan.duration;
        self.run_until(end)?;
        for (member, spent) in spent_at_start.into_iter().enumerate() {
            self.spent[member] = self.machines[member].spent().saturating_sub(spent);
        }
        self.memory = MemoryInUse::now(self.runner);
        while !self.outcomes.is_settled() && self.now < end + SETTLE_WITHIN {
            self.run_until(self.now + BOUNDS_EVERY)?;
        }
        Ok(())
    }

    fn run_until(&mut self, until: Duration) -> Result<(), ScaleError> {
        while let Some((at, number, member)) = self.orders.front().copied().filter(|(at, ..)| *at <= until) {
            self.orders.pop_front();
            self.run_turns_until(at)?;
            if !self.outcomes.is_in_force(number, member) {
                self.order(number, member);
            }
        }
        self.run_turns_until(until)
    }

    fn run_turns_until(&mut self, until: Duration) -> Result<(), ScaleError> {
        let mut look_at = self.now;
        while let Some(Reverse((at, member))) = self.turns.peek().copied() {
            if at > until {
                break;
            }
            self.turns.pop();
            if self.machines[member].wakes_at != at {
                continue;
            }
            self.now = at;
            self.turn(member);
            if self.now >= look_at {
                look_at = self.now + BOUNDS_EVERY;
                self.check_bounds()?;
            }
        }
        self.now = until;
        Ok(())
    }

    fn check_bounds(&self) -> Result<(), ScaleError> {
        let past = |what: &str, found: String, bound: String| {
            Err(ScaleError::PastBound { size: self.context.size, what: what.into(), found, bound })
        };
        let (time, bounds) = (self.started.elapsed(), &self.plan.bounds);
        if time > bounds.time {
            let reached = format!("{} s at {} s of virtual time", time.as_secs(), self.now.as_secs());
            return past("time on the wall", reached, format!("{} s", bounds.time.as_secs()));
        }
        let resident = resident_bytes();
        if resident > bounds.memory.0 {
            return past("resident memory", Bytes(resident).to_string(), bounds.memory.to_string());
        }
        Ok(())
    }

    // Machines

    /// A process starts on a machine, with nothing of a former one.
    fn start(&mut self, member: usize) {
        let machine = &mut self.machines[member];
        machine.starts += 1;
        let chance = mix(self.context.seed ^ (member as u64) << 20 ^ machine.starts << 40);
        let plan = Plan { self_member: member as u16, ..self.figures.clone() };
        let rate = self.runner.call_rate;
        let calls =
            (rate > 0.0).then(|| DrawnCalls::new(self.now, member as u16, machine.starts, rate, mix(chance)));
        machine.process = Some(HollowMember::start(self.now, plan, chance, machine.links_begun, calls));
        machine.still_until = Duration::ZERO;
        machine.wakes_at = Duration::MAX;
        self.schedule(member);
    }

    /// When a member that starts with the fleet has its first turn, so that not all say at once that they are there.
    fn first_turn(&self, member: usize) -> Duration {
        let drawn = mix(self.context.seed ^ (member as u64) << 20);
        Duration::from_micros(drawn % STARTS_WITHIN.as_micros() as u64)
    }

    /// A process does nothing until then.
    fn hold(&mut self, member: usize, until: Duration) {
        self.machines[member].still_until = until;
        self.machines[member].wakes_at = Duration::MAX;
        self.schedule(member);
    }

    /// A machine is gone: what its process had is lost, and nobody is told.
    fn stop(&mut self, member: usize) {
        let machine = &mut self.machines[member];
        if let Some(process) = machine.process.take() {
            machine.links_begun = process.links_begun();
            machine.spent_before += process.spent();
        }
        machine.inbox.clear();
        machine.wakes_at = Duration::MAX;
    }

    /// Queues the next turn of a machine, if it is sooner than the one that is queued.
    fn schedule(&mut self, member: usize) {
        let now = self.now;
        let machine = &mut self.machines[member];
        let Some(at) = machine.next_turn().map(|at| at.max(now)) else { return };
        if at < machine.wakes_at {
            machine.wakes_at = at;
            self.turns.push(Reverse((at, member)));
        }
    }

    /// One turn of a member: all that has arrived, and what is due.
    fn turn(&mut self, member: usize) {
        let now = self.now;
        let mut inputs = Vec::new();
        while self.machines[member].inbox.peek().is_some_and(|Reverse(arrival)| arrival.at <= now) {
            let Some(Reverse(arrival)) = self.machines[member].inbox.pop() else { break };
            inputs.extend(self.receive(member, arrival));
        }
        let machine = &mut self.machines[member];
        machine.last_turn = now;
        machine.wakes_at = Duration::MAX;
        let Some(process) = &mut machine.process else { return };
        for effect in process.turn(now, inputs) {
            self.carry_out(member, effect);
        }
        self.schedule(member);
    }

    /// What an arrival is to its member.
    fn receive(&mut self, member: usize, arrival: Arrival) -> Option<Input> {
        let link = arrival.link;
        match arrival.packet {
            Packet::Begin => Some(Input::Accepted(link)),
            Packet::Begun => Some(Input::Connected(link)),
            Packet::Refused | Packet::Closed => Some(Input::Lost(link)),
            Packet::Carries { frame, kind, bytes } => {
                let second = self.time.second_of(self.now);
                self.traffic[member].count(second, Direction::Received, kind, bytes);
                let known =
                    self.machines[member].process.as_ref().is_some_and(|process| process.has_link(link));
                if !known {
                    // A process that does not know a connection resets it.
                    self.send(member, link, Packet::Closed);
                }
                Some(Input::Received(link, frame))
            }
        }
    }

    // Effects

    fn carry_out(&mut self, member: usize, effect: Effect) {
        match effect {
            Effect::Send(link, frame) => {
                let message = Message::from(frame);
                let bytes = encoded_length(&message, &mut self.buffer);
                let frame = message.frame;
                let kind = FrameKind::of(&frame);
                let second = self.time.second_of(self.now);
                self.traffic[member].count(second, Direction::Sent, kind, bytes);
                self.send(member, link, Packet::Carries { frame, kind, bytes });
            }
            Effect::Connect(to, link) => self.connect(member, usize::from(to), link),
            Effect::Close(link) => self.send(member, link, Packet::Closed),
            Effect::InForce(name) => {
                if let Some(number) = change_number(&name) {
                    self.outcomes.in_force(number, member, self.now);
                }
            }
            Effect::Verdict(Verdict::HeldDead(dead)) => self.held_dead(member, usize::from(dead)),
            Effect::Verdict(Verdict::HeardAgain(_)) => {}
        }
    }

    /// Puts a packet on its way over a link of a member.
    fn send(&mut self, from: usize, link: PeerLink, packet: Packet) {
        let to = usize::from(peer_of(link));
        let at = self.links.arrival(self.now, from, to);
        self.deliver(to, at, far_end(link), packet);
    }

    fn deliver(&mut self, to: usize, at: Duration, link: PeerLink, packet: Packet) {
        self.sequence += 1;
        let now = self.now;
        let machine = &mut self.machines[to];
        if machine.process.is_none() {
            return;
        }
        machine.inbox.push(Reverse(Arrival { at, sequence: self.sequence, link, packet }));
        // What is due by itself was queued at the end of the last turn.
        let wakes_at = at.max(machine.earliest_turn()).max(now);
        if wakes_at < machine.wakes_at {
            machine.wakes_at = wakes_at;
            self.turns.push(Reverse((wakes_at, to)));
        }
    }

    fn connect(&mut self, from: usize, to: usize, link: PeerLink) {
        let cut = self.links.cut_until(self.now, from, to).is_some();
        if cut || self.machines[to].process.is_none() {
            return self.deliver(from, self.now + CONNECT_WITHIN, link, Packet::Refused);
        }
        let delay = self.links.delay(from, to);
        self.deliver(to, self.now + delay, far_end(link), Packet::Begin);
        self.deliver(from, self.now + delay * 2, link, Packet::Begun);
    }

    fn held_dead(&mut self, observer: usize, dead: usize) {
        // It was to be heard for as long as it takes to be missed, and as its word takes to get round.
        let grace = self.figures.response_timeout * 2;
        let since = self.now.saturating_sub(grace);
        let machine = &self.machines[dead];
        let was_up =
            self.outcomes.up_since(dead).is_some_and(|up| up <= since) && machine.still_until <= since;
        let reachable = was_up && !self.links.was_cut_since(since, self.now, observer, dead);
        self.outcomes.held_dead(observer, dead, self.now, reachable);
    }

    // Events

    fn happen(&mut self, event: Event) {
        match event {
            Event::Change { number, at_member } => self.order(number, at_member),
            Event::Leave(members) => {
                for member in members {
                    self.stop(member);
                    self.outcomes.left(member, self.now);
                }
            }
            Event::Return(members) => {
                for member in members {
                    if self.machines[member].process.is_none() {
                        self.outcomes.returned(member, self.now);
                        self.start(member);
                    }
                }
            }
            Event::Stall { member, lasts } => self.hold(member, self.now + lasts),
        }
    }

    /// A change is ordered at a member, or at the next one that takes it.
    fn order(&mut self, number: usize, at_member: usize) {
        let now = self.now;
        self.outcomes.ordered(number, now);
        self.orders.push_back((now + ORDER_AGAIN, number, at_member));
        for step in 0..self.machines.len() {
            let member = (at_member + step) % self.machines.len();
            let process = self.machines[member].process.as_mut();
            if process.is_some_and(|process| process.publish(now, &change_name(number))) {
                return self.wake(member);
            }
        }
    }

    /// A member has something to send without an input.
    fn wake(&mut self, member: usize) {
        let at = self.now.max(self.machines[member].still_until);
        self.machines[member].wakes_at = at;
        self.turns.push(Reverse((at, member)));
    }

    // Figures

    fn observations(&self) -> Observations {
        let measured = &self.plan.measure;
        let voters = hollow::voters(self.context.size);
        let mut measurements = traffic_measurements(&self.traffic, &voters, self.time, measured);
        measurements.extend(self.processor(measured));
        let size = self.context.size as f64;
        let mut add = |quantity: Quantity, aggregate, value: f64| {
            if measured.contains(&quantity) {
                measurements.push(Measurement::new(quantity, aggregate, value));
            }
        };
        let resident = self.memory.resident.saturating_sub(self.memory_at_start.resident);
        add(Quantity::ResidentMemory, Aggregate::Mean, resident as f64 / size);
        if let (Some(heap), Some(at_start)) = (self.memory.heap, self.memory_at_start.heap) {
            add(Quantity::Heap, Aggregate::Mean, heap.saturating_sub(at_start) as f64 / size);
        }
        let links = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        add(Quantity::Links, Aggregate::Mean, links.map(HollowMember::links).sum::<usize>() as f64 / size);
        let outcomes = self.outcomes.finish(self.now);
        add(Quantity::FalseSuspicions, Aggregate::Total, outcomes.false_suspicions as f64);
        let distributions = [
            (Quantity::ChangeInForce, outcomes.change_in_force),
            (Quantity::DeathKnown, outcomes.death_known),
        ];
        let distributions = distributions.iter().filter(|(quantity, _)| measured.contains(quantity));
        let distributions = distributions
            .filter_map(|(quantity, times)| Distribution::summary(*quantity, Some(Role::EdgeProxy), times));
        Observations { measurements, distributions: distributions.collect() }
    }

    /// Processor time spent inside the state machine a second, without the codec and the links.
    fn processor(&self, measured: &BTreeSet<Quantity>) -> Vec<Measurement> {
        if !measured.contains(&Quantity::Processor) {
            return Vec::new();
        }
        let seconds = self.plan.duration.as_secs_f64();
        let cores: Vec<f64> = self.spent.iter().map(|spent| spent.as_secs_f64() / seconds).collect();
        let mean = cores.iter().sum::<f64>() / cores.len() as f64;
        let most = cores.iter().copied().fold(0.0, f64::max);
        [(Aggregate::Mean, mean), (Aggregate::MaxMember, most)]
            .map(|(aggregate, value)| {
                Measurement::new(Quantity::Processor, aggregate, value).of_role(Role::EdgeProxy)
            })
            .to_vec()
    }
}
