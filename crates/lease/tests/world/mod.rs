//! Members in virtual time: links that are late, lossy or cut, disks that take their time, clocks that run off, processes that stand
//! still or are killed. Whoever says that it holds a duty is watched from outside, by true time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use lotussaddle_lease::{Duty, Effect, Fence, FencingToken, Lease, LeaseMessage, PersistedState, Plan};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const MS: Duration = Duration::from_millis(1);
pub const LEASE: Duration = Duration::from_millis(1000);

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

enum Event {
    Came {
        from: usize,
        life: u64,
        to: usize,
        word: LeaseMessage,
    },
    Saved {
        at: usize,
        life: u64,
        number: u64,
        kept: PersistedState,
    },
    /// An act of a duty comes to the receiver.
    Act {
        by: usize,
        life: u64,
        duty: Duty,
        number: FencingToken,
    },
    /// Looks whether a member is due.
    Due(usize),
    /// Holders do something.
    Turn,
}

pub struct Node {
    pub lease: Option<Lease>,
    pub life: u64,
    pub disk: Option<PersistedState>,
    pub has_disk: bool,
    pub full: bool,
    /// Its clock: so many times as fast, from this true time and reading on.
    pub rate: f64,
    pub stalled: bool,
    waiting: VecDeque<Event>,
    pub held: BTreeMap<Duty, FencingToken>,
    started: Duration,
}

pub struct World {
    pub now: Duration,
    pub rng: Pcg64Mcg,
    pub nodes: Vec<Node>,
    pub voters: Vec<u16>,
    pub duties: u16,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    what: BTreeMap<u64, Event>,
    serial: u64,
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub jitter: Duration,
    /// Each frame comes twice, the second time after so long.
    pub again: Option<Duration>,
    pub fence: Fence,
    pub accepted: Vec<(Duration, Duty, FencingToken, usize, u64)>,
    pub refused: usize,
    pub broken: Vec<String>,
    pub frames: u64,
    pub began: usize,
    pub chairs: usize,
    /// True time in which nobody held a duty, and the longest such time of one.
    pub vacant: BTreeMap<Duty, Duration>,
    vacant_since: BTreeMap<Duty, Duration>,
    pub longest: Duration,
    pub logs: Vec<String>,
    /// Holders act so often.
    pub acts: bool,
    numbers: BTreeMap<(Duty, FencingToken), (usize, u64)>,
    /// Marks that were told to be agreed on: what is begun later must bear them.
    marked: BTreeMap<Duty, u64>,
    asked: BTreeMap<(usize, Duty), u64>,
    /// Links keep their order.
    last: BTreeMap<(usize, usize), Duration>,
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
            what: BTreeMap::new(),
            serial: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            jitter: MS * 2,
            again: None,
            fence: Fence::default(),
            accepted: Vec::new(),
            refused: 0,
            broken: Vec::new(),
            frames: 0,
            began: 0,
            chairs: 0,
            vacant: BTreeMap::new(),
            vacant_since: (0..duties).map(|duty| (Duty(duty), Duration::ZERO)).collect(),
            longest: Duration::ZERO,
            logs: Vec::new(),
            acts: true,
            numbers: BTreeMap::new(),
            marked: BTreeMap::new(),
            asked: BTreeMap::new(),
            last: BTreeMap::new(),
        };
        for _ in 0..members {
            world.nodes.push(Node {
                lease: None,
                life: 0,
                disk: None,
                has_disk: disks,
                full: false,
                rate: 1.0,
                stalled: false,
                waiting: VecDeque::new(),
                held: BTreeMap::new(),
                started: Duration::ZERO,
            });
        }
        (0..members).for_each(|at| world.start(at));
        world.put(MS, Event::Turn);
        world
    }

    fn plan(&self, me: usize) -> Plan {
        let members = self.nodes.len() as u16;
        // Each duty begins with another member.
        let ranks =
            (0..self.duties).map(|duty| (0..members).map(|n| (n + duty) % members).collect()).collect();
        Plan {
            self_member: me as u16,
            member_count: members,
            voters: self.voters.clone(),
            preferred_holders: ranks,
            lease_duration: LEASE,
        }
    }

    /// A process's own reading of its clock.
    fn clock(&self, at: usize) -> Duration {
        let node = &self.nodes[at];
        (self.now - node.started).mul_f64(node.rate)
    }

    pub fn start(&mut self, at: usize) {
        let (plan, chance) = (self.plan(at), self.rng.random());
        let now = self.now;
        let node = &mut self.nodes[at];
        node.started = now;
        node.life += 1;
        node.stalled = false;
        node.waiting.clear();
        let kept = node.disk.clone().filter(|_| node.has_disk);
        let mut lease = Lease::new(Duration::ZERO, plan, kept, chance);
        lease.set_incarnation(Duration::ZERO, node.life);
        node.lease = Some(lease);
        self.after(at);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at].lease = None;
        self.let_go(at);
    }

    pub fn stall(&mut self, at: usize) {
        self.nodes[at].stalled = true;
    }

    pub fn wake(&mut self, at: usize) {
        self.nodes[at].stalled = false;
        // What it thought before it stood still is done first: an act by what it held then.
        let held: Vec<(Duty, FencingToken)> =
            self.nodes[at].held.iter().map(|(duty, number)| (*duty, *number)).collect();
        for (duty, number) in held {
            let life = self.nodes[at].life;
            self.put(MS, Event::Act { by: at, life, duty, number });
        }
        let waiting = std::mem::take(&mut self.nodes[at].waiting);
        // A process that wakes sees its clock before it reads.
        self.due(at);
        waiting.into_iter().for_each(|event| self.happens(event));
    }

    pub fn cut_off(&mut self, at: usize, in_: bool, out: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            if out {
                self.cut.insert((at, other));
            }
            if in_ {
                self.cut.insert((other, at));
            }
        }
    }

    fn put(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((self.now + after, self.serial)));
        self.what.insert(self.serial, event);
    }

    pub fn with(&mut self, at: usize, act: impl FnOnce(&mut Lease, Duration)) {
        let clock = self.clock(at);
        if let Some(lease) = &mut self.nodes[at].lease {
            act(lease, clock);
        }
        self.after(at);
    }

    fn delay(&mut self) -> Duration {
        let jitter = self.jitter;
        MS / 4 + jitter.mul_f64(self.rng.random::<f64>())
    }

    /// What an input of a member has brought.
    fn after(&mut self, at: usize) {
        let Some(lease) = &mut self.nodes[at].lease else { return };
        let outs = lease.take_effects();
        let life = self.nodes[at].life;
        for out in outs {
            match out {
                Effect::Send(to, word) => {
                    self.frames += 1;
                    let to = usize::from(to);
                    if self.cut.contains(&(at, to)) || self.rng.random::<f64>() < self.loss {
                        continue;
                    }
                    let last = self.last.get(&(at, to)).copied().unwrap_or_default();
                    let delay = self.delay().max(last.saturating_sub(self.now));
                    self.last.insert((at, to), self.now + delay);
                    self.put(delay, Event::Came { from: at, life, to, word: word.clone() });
                    if let Some(again) = self.again {
                        self.put(delay + again, Event::Came { from: at, life, to, word });
                    }
                }
                Effect::Persist(number, kept) => {
                    let took = if self.nodes[at].has_disk { self.delay() } else { Duration::ZERO };
                    self.put(took, Event::Saved { at, life, number, kept });
                }
                Effect::DutyAcquired(duty, number, mark) => self.begins(at, duty, number, &mark),
                Effect::DutyLost(duty, number, _) => {
                    if self.nodes[at].held.get(&duty) == Some(&number) {
                        self.nodes[at].held.remove(&duty);
                        self.ends(duty);
                    }
                }
                Effect::CheckpointCommitted(duty, _) => {
                    let asked = self.asked.get(&(at, duty)).copied().unwrap_or_default();
                    let known = self.marked.entry(duty).or_default();
                    *known = (*known).max(asked);
                }
                Effect::Log(line) => {
                    self.chairs += usize::from(line.starts_with("chair of"));
                    self.logs.push(format!("{:?} {at}: {line}", self.now));
                }
            }
        }
        let due = self.nodes[at].lease.as_ref().expect("it runs").next_due();
        let wait = due.saturating_sub(self.clock(at)).div_f64(self.nodes[at].rate);
        self.put(wait + Duration::from_micros(1), Event::Due(at));
    }

    fn begins(&mut self, at: usize, duty: Duty, number: FencingToken, mark: &[u8]) {
        let life = self.nodes[at].life;
        self.began += 1;
        let first = *self.numbers.entry((duty, number)).or_insert((at, life));
        if first != (at, life) {
            self.broken.push(format!("{:?}: {number:?} of {duty:?} is {first:?}'s and {at}'s", self.now));
        }
        let bears = mark.try_into().map(u64::from_le_bytes).unwrap_or_default();
        if bears < self.marked.get(&duty).copied().unwrap_or_default() {
            self.broken
                .push(format!("{:?}: {at} begins {duty:?} behind a mark that was agreed on", self.now));
        }
        self.nodes[at].held.insert(duty, number);
        if let Some(since) = self.vacant_since.remove(&duty) {
            let long = self.now - since;
            *self.vacant.entry(duty).or_default() += long;
            self.longest = self.longest.max(long);
        }
        // By their own clocks, two never hold it at once.
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            let clock = self.clock(other);
            let node = &self.nodes[other];
            if node.lease.as_ref().is_some_and(|lease| lease.held_token(clock, duty).is_some()) {
                self.broken.push(format!("{:?}: {at} and {other} hold {duty:?}", self.now));
            }
        }
    }

    fn ends(&mut self, duty: Duty) {
        if !self.nodes.iter().any(|node| node.held.contains_key(&duty)) {
            self.vacant_since.entry(duty).or_insert(self.now);
        }
    }

    fn let_go(&mut self, at: usize) {
        for duty in std::mem::take(&mut self.nodes[at].held).into_keys() {
            self.ends(duty);
        }
    }

    fn due(&mut self, at: usize) {
        let clock = self.clock(at);
        let Some(lease) = &mut self.nodes[at].lease else { return };
        if lease.next_due() <= clock {
            lease.timer_fired(clock);
            self.after(at);
        }
    }

    fn happens(&mut self, event: Event) {
        let at = match &event {
            Event::Came { to, .. } => *to,
            Event::Saved { at, .. } | Event::Due(at) => *at,
            Event::Act { by, life, duty, number } => {
                let (by, life, duty, number) = (*by, *life, *duty, *number);
                return self.act(by, life, duty, number);
            }
            Event::Turn => {
                self.put(MS * 40, Event::Turn);
                return (0..self.nodes.len()).for_each(|at| self.holders_act(at));
            }
        };
        if self.nodes[at].stalled {
            return self.nodes[at].waiting.push_back(event);
        }
        let clock = self.clock(at);
        match event {
            Event::Came { from, life, to, word } => {
                // Links tell lives apart: what a former one said comes only where a test lets it.
                if self.nodes[to].lease.is_some() && (life == self.nodes[from].life || self.again.is_some()) {
                    self.nodes[to].lease.as_mut().expect("it runs").message_received(
                        clock,
                        from as u16,
                        word,
                    );
                    self.after(to);
                }
            }
            Event::Saved { at, life, number, kept } => {
                let node = &mut self.nodes[at];
                if let (true, Some(lease)) = (life == node.life, &mut node.lease) {
                    let well = !node.full;
                    if node.has_disk && well {
                        node.disk = Some(kept);
                    }
                    lease.state_persisted(clock, number, well);
                    self.after(at);
                }
            }
            Event::Due(at) => {
                self.due(at);
            }
            Event::Act { .. } | Event::Turn => {}
        }
    }

    fn holders_act(&mut self, at: usize) {
        if !self.acts || self.nodes[at].stalled {
            return;
        }
        let clock = self.clock(at);
        let held: Vec<Duty> = self.nodes[at].held.keys().copied().collect();
        for duty in held {
            if let Some(number) =
                self.nodes[at].lease.as_ref().and_then(|lease| lease.held_token(clock, duty))
            {
                let delay = self.delay();
                let life = self.nodes[at].life;
                self.put(delay, Event::Act { by: at, life, duty, number });
                let step = self.serial;
                self.asked.insert((at, duty), step);
                self.with(at, |lease, now| {
                    lease.report_checkpoint(now, duty, step.to_le_bytes().to_vec());
                });
            }
        }
    }

    fn act(&mut self, by: usize, life: u64, duty: Duty, number: FencingToken) {
        match self.fence.admit(duty, number, by as u16, life) {
            Ok(_) => self.accepted.push((self.now, duty, number, by, life)),
            Err(refused) => {
                self.refused += 1;
                if !self.nodes[by].stalled && self.nodes[by].life == life {
                    self.with(by, |lease, now| lease.token_refused(now, duty, refused.highest));
                }
            }
        }
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, serial))) = self.events.peek().copied()
            && at <= until
        {
            self.events.pop();
            self.now = at;
            let event = self.what.remove(&serial).expect("it was put");
            self.happens(event);
        }
        self.now = until;
    }

    pub fn holder(&self, duty: u16) -> Option<usize> {
        (0..self.nodes.len()).find(|at| {
            let lease = self.nodes[*at].lease.as_ref().filter(|_| !self.nodes[*at].stalled);
            lease.is_some_and(|lease| lease.held_token(self.clock(*at), Duty(duty)).is_some())
        })
    }

    pub fn chair(&self) -> Option<usize> {
        let chairs = |at: &usize| self.nodes[*at].lease.as_ref().is_some_and(Lease::is_leader);
        (0..self.nodes.len()).find(|at| chairs(at) && !self.nodes[*at].stalled)
    }

    /// Nobody is down, or has yet to be told what it lost.
    pub fn all_know(&self) -> bool {
        let knows =
            |node: &Node| node.lease.as_ref().is_some_and(|lease| lease.status(self.now).is_consistent);
        self.nodes.iter().all(knows)
    }

    /// What a receiver accepted never goes down, and no number is two members'.
    pub fn kept(&self, what: &str) {
        assert!(self.broken.is_empty(), "{what}: {:#?}\n{:#?}", self.broken, self.logs);
        let mut highest: BTreeMap<Duty, (FencingToken, usize, u64)> = BTreeMap::new();
        for (at, duty, number, by, life) in &self.accepted {
            let seen = highest.entry(*duty).or_insert((*number, *by, *life));
            let same = *number == seen.0 && (*by, *life) == (seen.1, seen.2);
            assert!(*number > seen.0 || same, "{what}: {duty:?} at {at:?}");
            *seen = (*number, *by, *life);
        }
    }
}
