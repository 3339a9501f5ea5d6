//! A simulated group in virtual time, with delayed, lossy or cut links, slow disks, drifting clocks, and processes that stall or are
//! killed. Claims to hold a duty are checked from outside, in true time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use lotussaddle_lease::{Duty, Effect, Fence, FencingToken, Lease, LeaseMessage, PersistedState, Plan};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const MS: Duration = Duration::from_millis(1);
/// The duration of a lease in all tests.
pub const LEASE: Duration = Duration::from_millis(1000);

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

enum Event {
    Message {
        from: usize,
        incarnation: u64,
        to: usize,
        message: LeaseMessage,
    },
    Persisted {
        at: usize,
        incarnation: u64,
        order: u64,
        state: PersistedState,
    },
    /// An act of a duty reaches the receiver.
    Act {
        by: usize,
        incarnation: u64,
        duty: Duty,
        token: FencingToken,
    },
    /// Fires the timer of a member if it is due.
    TimerCheck(usize),
    /// All holders perform an act.
    HoldersAct,
}

/// A member's process with its disk and clock.
pub struct Node {
    pub lease: Option<Lease>,
    pub incarnation: u64,
    pub disk: Option<PersistedState>,
    pub has_disk: bool,
    pub disk_full: bool,
    /// The rate of its clock relative to true time, which it counts from `started`.
    pub rate: f64,
    pub stalled: bool,
    deferred_events: VecDeque<Event>,
    pub held: BTreeMap<Duty, FencingToken>,
    started: Duration,
}

/// The members, the network between them, and a receiver of their acts.
pub struct World {
    pub now: Duration,
    pub rng: Pcg64Mcg,
    pub nodes: Vec<Node>,
    pub voters: Vec<u16>,
    pub duties: u16,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    last_serial: u64,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub jitter: Duration,
    /// Each frame arrives a second time after this delay.
    pub duplicate_after: Option<Duration>,
    pub fence: Fence,
    pub accepted_acts: Vec<(Duration, Duty, FencingToken, usize, u64)>,
    pub refused_acts: usize,
    pub violations: Vec<String>,
    pub sent_frames: u64,
    pub acquisitions: usize,
    pub elections: usize,
    /// By duty, the true time in which it had no holder; and the longest such period.
    pub vacant_time: BTreeMap<Duty, Duration>,
    vacant_since: BTreeMap<Duty, Duration>,
    pub longest_vacancy: Duration,
    pub logs: Vec<String>,
    /// Whether holders perform acts periodically.
    pub holders_act: bool,
    token_owners: BTreeMap<(Duty, FencingToken), (usize, u64)>,
    /// Steps whose checkpoint was reported as committed: later holders must start from them.
    committed_steps: BTreeMap<Duty, u64>,
    reported_steps: BTreeMap<(usize, Duty), u64>,
    /// By link, the arrival time of the last frame; links preserve order.
    last_arrival: BTreeMap<(usize, usize), Duration>,
}

impl World {
    pub fn new(seed: u64, members: usize, voters: usize, duties: u16, disks: bool) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: Vec::new(),
            voters: (0..voters as u16).collect(),
            duties,
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_serial: 0,
            cut_links: BTreeSet::new(),
            loss: 0.0,
            jitter: MS * 2,
            duplicate_after: None,
            fence: Fence::default(),
            accepted_acts: Vec::new(),
            refused_acts: 0,
            violations: Vec::new(),
            sent_frames: 0,
            acquisitions: 0,
            elections: 0,
            vacant_time: BTreeMap::new(),
            vacant_since: (0..duties).map(|duty| (Duty(duty), Duration::ZERO)).collect(),
            longest_vacancy: Duration::ZERO,
            logs: Vec::new(),
            holders_act: true,
            token_owners: BTreeMap::new(),
            committed_steps: BTreeMap::new(),
            reported_steps: BTreeMap::new(),
            last_arrival: BTreeMap::new(),
        };
        for _ in 0..members {
            world.nodes.push(Node {
                lease: None,
                incarnation: 0,
                disk: None,
                has_disk: disks,
                disk_full: false,
                rate: 1.0,
                stalled: false,
                deferred_events: VecDeque::new(),
                held: BTreeMap::new(),
                started: Duration::ZERO,
            });
        }
        (0..members).for_each(|at| world.start(at));
        world.schedule(MS, Event::HoldersAct);
        world
    }

    fn plan(&self, me: usize) -> Plan {
        let members = self.nodes.len() as u16;
        // Each duty prefers another member first.
        let preferred_holders =
            (0..self.duties).map(|duty| (0..members).map(|n| (n + duty) % members).collect()).collect();
        Plan {
            self_member: me as u16,
            member_count: members,
            voters: self.voters.clone(),
            preferred_holders,
            lease_duration: LEASE,
        }
    }

    /// The reading of a member's own clock.
    fn clock(&self, at: usize) -> Duration {
        let node = &self.nodes[at];
        (self.now - node.started).mul_f64(node.rate)
    }

    pub fn start(&mut self, at: usize) {
        let (plan, random_seed) = (self.plan(at), self.rng.random());
        let now = self.now;
        let node = &mut self.nodes[at];
        node.started = now;
        node.incarnation += 1;
        node.stalled = false;
        node.deferred_events.clear();
        let stored = node.disk.clone().filter(|_| node.has_disk);
        let mut lease = Lease::new(Duration::ZERO, plan, stored, random_seed);
        lease.set_incarnation(Duration::ZERO, node.incarnation);
        node.lease = Some(lease);
        self.process_effects(at);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at].lease = None;
        self.drop_held(at);
    }

    pub fn stall(&mut self, at: usize) {
        self.nodes[at].stalled = true;
    }

    pub fn resume(&mut self, at: usize) {
        self.nodes[at].stalled = false;
        // An act that it had begun before it stalled, under a token that it held then, is performed first.
        let held: Vec<(Duty, FencingToken)> =
            self.nodes[at].held.iter().map(|(duty, token)| (*duty, *token)).collect();
        for (duty, token) in held {
            let incarnation = self.nodes[at].incarnation;
            self.schedule(MS, Event::Act { by: at, incarnation, duty, token });
        }
        let deferred_events = std::mem::take(&mut self.nodes[at].deferred_events);
        // A resumed process checks its timers before it reads messages.
        self.fire_due_timer(at);
        deferred_events.into_iter().for_each(|event| self.handle_event(event));
    }

    pub fn isolate(&mut self, at: usize, inbound: bool, outbound: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            if outbound {
                self.cut_links.insert((at, other));
            }
            if inbound {
                self.cut_links.insert((other, at));
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_serial += 1;
        self.events.push(Reverse((self.now + after, self.last_serial)));
        self.scheduled.insert(self.last_serial, event);
    }

    pub fn with_lease(&mut self, at: usize, act: impl FnOnce(&mut Lease, Duration)) {
        let clock = self.clock(at);
        if let Some(lease) = &mut self.nodes[at].lease {
            act(lease, clock);
        }
        self.process_effects(at);
    }

    fn delay(&mut self) -> Duration {
        let jitter = self.jitter;
        MS / 4 + jitter.mul_f64(self.rng.random::<f64>())
    }

    /// Carries out the effects of a member's last input and schedules its timer.
    fn process_effects(&mut self, at: usize) {
        let Some(lease) = &mut self.nodes[at].lease else { return };
        let effects = lease.take_effects();
        let incarnation = self.nodes[at].incarnation;
        for effect in effects {
            match effect {
                Effect::Send(to, message) => {
                    self.sent_frames += 1;
                    let to = usize::from(to);
                    if self.cut_links.contains(&(at, to)) || self.rng.random::<f64>() < self.loss {
                        continue;
                    }
                    let last = self.last_arrival.get(&(at, to)).copied().unwrap_or_default();
                    let delay = self.delay().max(last.saturating_sub(self.now));
                    self.last_arrival.insert((at, to), self.now + delay);
                    self.schedule(
                        delay,
                        Event::Message { from: at, incarnation, to, message: message.clone() },
                    );
                    if let Some(duplicate_after) = self.duplicate_after {
                        self.schedule(
                            delay + duplicate_after,
                            Event::Message { from: at, incarnation, to, message },
                        );
                    }
                }
                Effect::Persist(order, state) => {
                    let took = if self.nodes[at].has_disk { self.delay() } else { Duration::ZERO };
                    self.schedule(took, Event::Persisted { at, incarnation, order, state });
                }
                Effect::DutyAcquired(duty, token, checkpoint) => {
                    self.duty_acquired(at, duty, token, &checkpoint)
                }
                Effect::DutyLost(duty, token, _) => {
                    if self.nodes[at].held.get(&duty) == Some(&token) {
                        self.nodes[at].held.remove(&duty);
                        self.duty_released(duty);
                    }
                }
                Effect::CheckpointCommitted(duty, _) => {
                    let reported = self.reported_steps.get(&(at, duty)).copied().unwrap_or_default();
                    let known = self.committed_steps.entry(duty).or_default();
                    *known = (*known).max(reported);
                }
                Effect::Log(line) => {
                    self.elections += usize::from(line.starts_with("elected leader of"));
                    self.logs.push(format!("{:?} {at}: {line}", self.now));
                }
            }
        }
        let due = self.nodes[at].lease.as_ref().expect("the member runs").next_due();
        let wait = due.saturating_sub(self.clock(at)).div_f64(self.nodes[at].rate);
        self.schedule(wait + Duration::from_micros(1), Event::TimerCheck(at));
    }

    fn duty_acquired(&mut self, at: usize, duty: Duty, token: FencingToken, checkpoint: &[u8]) {
        let incarnation = self.nodes[at].incarnation;
        self.acquisitions += 1;
        let first = *self.token_owners.entry((duty, token)).or_insert((at, incarnation));
        if first != (at, incarnation) {
            self.violations
                .push(format!("{:?}: {token:?} of {duty:?} belongs to {first:?} and to {at}", self.now));
        }
        let step = checkpoint.try_into().map(u64::from_le_bytes).unwrap_or_default();
        if step < self.committed_steps.get(&duty).copied().unwrap_or_default() {
            self.violations.push(format!(
                "{:?}: {at} acquires {duty:?} with a checkpoint older than the committed one",
                self.now
            ));
        }
        self.nodes[at].held.insert(duty, token);
        if let Some(since) = self.vacant_since.remove(&duty) {
            let vacancy = self.now - since;
            *self.vacant_time.entry(duty).or_default() += vacancy;
            self.longest_vacancy = self.longest_vacancy.max(vacancy);
        }
        // By their own clocks, no two members hold it at the same time.
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            let clock = self.clock(other);
            let node = &self.nodes[other];
            if node.lease.as_ref().is_some_and(|lease| lease.held_token(clock, duty).is_some()) {
                self.violations.push(format!("{:?}: {at} and {other} hold {duty:?}", self.now));
            }
        }
    }

    fn duty_released(&mut self, duty: Duty) {
        if !self.nodes.iter().any(|node| node.held.contains_key(&duty)) {
            self.vacant_since.entry(duty).or_insert(self.now);
        }
    }

    fn drop_held(&mut self, at: usize) {
        for duty in std::mem::take(&mut self.nodes[at].held).into_keys() {
            self.duty_released(duty);
        }
    }

    fn fire_due_timer(&mut self, at: usize) {
        let clock = self.clock(at);
        let Some(lease) = &mut self.nodes[at].lease else { return };
        if lease.next_due() <= clock {
            lease.timer_fired(clock);
            self.process_effects(at);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let at = match &event {
            Event::Message { to, .. } => *to,
            Event::Persisted { at, .. } | Event::TimerCheck(at) => *at,
            Event::Act { by, incarnation, duty, token } => {
                let (by, incarnation, duty, token) = (*by, *incarnation, *duty, *token);
                return self.receive_act(by, incarnation, duty, token);
            }
            Event::HoldersAct => {
                self.schedule(MS * 40, Event::HoldersAct);
                return (0..self.nodes.len()).for_each(|at| self.perform_acts(at));
            }
        };
        if self.nodes[at].stalled {
            return self.nodes[at].deferred_events.push_back(event);
        }
        let clock = self.clock(at);
        match event {
            Event::Message { from, incarnation, to, message } => {
                // Links distinguish incarnations: messages of a previous one are delivered only where a test duplicates frames.
                if self.nodes[to].lease.is_some()
                    && (incarnation == self.nodes[from].incarnation || self.duplicate_after.is_some())
                {
                    self.nodes[to].lease.as_mut().expect("the member runs").message_received(
                        clock,
                        from as u16,
                        message,
                    );
                    self.process_effects(to);
                }
            }
            Event::Persisted { at, incarnation, order, state } => {
                let node = &mut self.nodes[at];
                if let (true, Some(lease)) = (incarnation == node.incarnation, &mut node.lease) {
                    let succeeded = !node.disk_full;
                    if node.has_disk && succeeded {
                        node.disk = Some(state);
                    }
                    lease.state_persisted(clock, order, succeeded);
                    self.process_effects(at);
                }
            }
            Event::TimerCheck(at) => {
                self.fire_due_timer(at);
            }
            Event::Act { .. } | Event::HoldersAct => {}
        }
    }

    fn perform_acts(&mut self, at: usize) {
        if !self.holders_act || self.nodes[at].stalled {
            return;
        }
        let clock = self.clock(at);
        let held: Vec<Duty> = self.nodes[at].held.keys().copied().collect();
        for duty in held {
            if let Some(token) = self.nodes[at].lease.as_ref().and_then(|lease| lease.held_token(clock, duty))
            {
                let delay = self.delay();
                let incarnation = self.nodes[at].incarnation;
                self.schedule(delay, Event::Act { by: at, incarnation, duty, token });
                let step = self.last_serial;
                self.reported_steps.insert((at, duty), step);
                self.with_lease(at, |lease, now| {
                    lease.report_checkpoint(now, duty, step.to_le_bytes().to_vec());
                });
            }
        }
    }

    fn receive_act(&mut self, by: usize, incarnation: u64, duty: Duty, token: FencingToken) {
        match self.fence.admit(duty, token, by as u16, incarnation) {
            Ok(_) => self.accepted_acts.push((self.now, duty, token, by, incarnation)),
            Err(refusal) => {
                self.refused_acts += 1;
                if !self.nodes[by].stalled && self.nodes[by].incarnation == incarnation {
                    self.with_lease(by, |lease, now| lease.token_refused(now, duty, refusal.highest));
                }
            }
        }
    }

    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((at, serial))) = self.events.peek().copied()
            && at <= until
        {
            self.events.pop();
            self.now = at;
            let event = self.scheduled.remove(&serial).expect("the event was scheduled");
            self.handle_event(event);
        }
        self.now = until;
    }

    pub fn holder(&self, duty: u16) -> Option<usize> {
        (0..self.nodes.len()).find(|at| {
            let lease = self.nodes[*at].lease.as_ref().filter(|_| !self.nodes[*at].stalled);
            lease.is_some_and(|lease| lease.held_token(self.clock(*at), Duty(duty)).is_some())
        })
    }

    pub fn leader(&self) -> Option<usize> {
        let is_leader = |at: &usize| self.nodes[*at].lease.as_ref().is_some_and(Lease::is_leader);
        (0..self.nodes.len()).find(|at| is_leader(at) && !self.nodes[*at].stalled)
    }

    /// Whether all members run and have consistent state.
    pub fn all_consistent(&self) -> bool {
        let is_consistent =
            |node: &Node| node.lease.as_ref().is_some_and(|lease| lease.status(self.now).is_consistent);
        self.nodes.iter().all(is_consistent)
    }

    /// Asserts that no violation was found, that accepted tokens never decrease, and that no token has two owners.
    pub fn assert_invariants(&self, context: &str) {
        assert!(self.violations.is_empty(), "{context}: {:#?}\n{:#?}", self.violations, self.logs);
        let mut highest: BTreeMap<Duty, (FencingToken, usize, u64)> = BTreeMap::new();
        for (at, duty, token, by, incarnation) in &self.accepted_acts {
            let seen = highest.entry(*duty).or_insert((*token, *by, *incarnation));
            let same = *token == seen.0 && (*by, *incarnation) == (seen.1, seen.2);
            assert!(*token > seen.0 || same, "{context}: {duty:?} at {at:?}");
            *seen = (*token, *by, *incarnation);
        }
    }
}
