//! The fleet, its clock and its events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle_membership::{MemberIndex, Membership, Message, Overlay, Timing};

use super::SILENCE;
use super::network::Network;
use super::random::TestRandom;
use super::sent_bytes::SentBytes;

/// How often conditions are checked.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Low bits of an incarnation, which are drawn; the high ones count starts.
const DRAWN_BITS: u32 = 24;
const OVERLAY_SEED: u64 = 0x5eed;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Arrival { to: usize, from: usize, bytes: Vec<u8> },
}

/// One entry of the member list.
struct SimulatedMember {
    membership: Option<Membership>,
    starts: u64,
    /// When the next tick is; other tick events of this slot are stale.
    tick_at: Option<Duration>,
    stalled_until: Duration,
    /// Messages received while the member was stalled.
    backlog: Vec<(usize, Vec<u8>)>,
    sent: SentBytes,
}

pub struct Simulation {
    pub now: Duration,
    pub network: Network,
    pub overlay: Arc<Overlay>,
    pub timing: Timing,
    slots: Vec<SimulatedMember>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    random: TestRandom,
}

impl Simulation {
    /// A fleet in which nobody is up.
    pub fn empty(members: usize, seed: u64) -> Self {
        let now = Duration::from_secs(10);
        let slot = || SimulatedMember {
            membership: None,
            starts: 0,
            tick_at: None,
            stalled_until: Duration::ZERO,
            backlog: Vec::new(),
            sent: SentBytes::new(now),
        };
        Self {
            now,
            network: Network::default(),
            overlay: Arc::new(Overlay::new(members, OVERLAY_SEED).expect("an overlay")),
            timing: Timing { silence: SILENCE },
            slots: (0..members).map(|_| slot()).collect(),
            events: BinaryHeap::new(),
            event_count: 0,
            random: TestRandom::new(seed),
        }
    }

    /// A fleet in which all start at once.
    pub fn started(members: usize, seed: u64) -> Self {
        let mut simulation = Self::empty(members, seed);
        (0..members).for_each(|member| simulation.start(member));
        simulation
    }

    /// A fleet in which all are up and have the same registers.
    pub fn settled(members: usize, seed: u64) -> Self {
        let mut simulation = Self::started(members, seed);
        let settled = simulation.run_until(SILENCE * 60, Self::registers_are_equal);
        settled.expect("registers are equal after the start");
        simulation.run_for(SILENCE * 2);
        simulation
    }

    pub fn members(&self) -> usize {
        self.slots.len()
    }

    /// A member starts, with a new incarnation.
    pub fn start(&mut self, member: usize) {
        self.start_without_incarnation(member);
        self.set_incarnation(member);
    }

    /// A member starts and has not been given an incarnation yet.
    pub fn start_without_incarnation(&mut self, member: usize) {
        let membership =
            Membership::new(self.now, member as MemberIndex, Arc::clone(&self.overlay), self.timing);
        let slot = &mut self.slots[member];
        slot.starts += 1;
        slot.membership = Some(membership);
        slot.backlog.clear();
        slot.stalled_until = Duration::ZERO;
        self.tick(member);
    }

    /// A member that is up is given the incarnation of its present start.
    pub fn set_incarnation(&mut self, member: usize) {
        let incarnation = self.incarnation(member);
        let now = self.now;
        self.membership_mut(member).set_self(now, incarnation, true);
        self.tick(member);
    }

    /// The incarnation of the present start of a member.
    pub fn incarnation(&self, member: usize) -> u64 {
        let drawn = (member as u64 * 2_654_435_761) % (1 << DRAWN_BITS);
        self.slots[member].starts << DRAWN_BITS | drawn
    }

    /// Kills a member without notice to others.
    pub fn kill(&mut self, member: usize) {
        let slot = &mut self.slots[member];
        slot.membership = None;
        slot.tick_at = None;
        slot.backlog.clear();
    }

    /// Stalls a member for a time; messages received meanwhile wait.
    pub fn stall(&mut self, member: usize, period: Duration) {
        self.slots[member].stalled_until = self.now + period;
        self.schedule_tick(member, self.now + period);
    }

    pub fn is_up(&self, member: usize) -> bool {
        self.slots[member].membership.is_some()
    }

    pub fn membership(&self, member: usize) -> &Membership {
        self.slots[member].membership.as_ref().expect("the member is up")
    }

    pub fn membership_mut(&mut self, member: usize) -> &mut Membership {
        self.slots[member].membership.as_mut().expect("the member is up")
    }

    pub fn sent(&self, member: usize) -> &SentBytes {
        &self.slots[member].sent
    }

    pub fn restart_counts(&mut self) {
        self.slots.iter_mut().for_each(|slot| slot.sent.restart_counts());
    }

    pub fn restart_windows(&mut self) {
        self.slots.iter_mut().for_each(|slot| slot.sent.restart_window());
    }

    /// All members that are up.
    pub fn up(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.members()).filter(|member| self.is_up(*member))
    }

    /// Hands a message to a member as if a neighbour had just sent it.
    pub fn inject(&mut self, to: usize, from: usize, message: &Message) {
        self.deliver(to, from, message.encode());
    }

    pub fn run_for(&mut self, period: Duration) {
        let end = self.now + period;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Reverse((at, _, event)) = self.events.pop().expect("it was there");
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until the condition holds; how long that took, or none if it did not within `limit`.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run_for(CHECK_PERIOD);
        }
        Some(self.now - start)
    }

    /// Runs for a period and looks at each step.
    pub fn run_checked(&mut self, period: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + period;
        while self.now < end {
            self.run_for(CHECK_PERIOD.min(end - self.now));
            check(self);
        }
    }

    /// Whether each member that is up has the same registers.
    pub fn registers_are_equal(&self) -> bool {
        let mut digests = self.up().map(|member| self.membership(member).digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    /// Whether each of `observers` has a majority and holds exactly `gone` gone.
    pub fn all_hold_gone(&self, observers: &[usize], gone: &[usize]) -> bool {
        let has_count = |observer: &usize| {
            let membership = self.membership(*observer);
            membership.has_majority() && membership.gone_count() == gone.len()
        };
        let has_each = |observer: &usize| {
            let membership = self.membership(*observer);
            gone.iter().all(|member| membership.is_gone(*member as MemberIndex))
        };
        observers.iter().all(has_count) && observers.iter().all(has_each)
    }

    /// Whether each member that is up holds exactly those that are not gone.
    pub fn views_are_right(&self) -> bool {
        let up: Vec<usize> = self.up().collect();
        let down: Vec<usize> = (0..self.members()).filter(|member| !self.is_up(*member)).collect();
        self.all_hold_gone(&up, &down)
    }

    /// Whether nobody that is up holds anybody gone but those in `allowed`.
    pub fn only_gone(&self, allowed: &[usize]) -> bool {
        self.up().all(|observer| {
            let membership = self.membership(observer);
            let held = allowed.iter().filter(|member| membership.is_gone(**member as MemberIndex)).count();
            membership.gone_count() == held
        })
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(member) => {
                if self.slots[member].tick_at == Some(self.now) {
                    self.wake(member);
                }
            }
            Event::Arrival { to, from, bytes } => self.deliver(to, from, bytes),
        }
    }

    fn wake(&mut self, member: usize) {
        let backlog = std::mem::take(&mut self.slots[member].backlog);
        for (from, bytes) in backlog {
            self.hand_over(member, from, &bytes);
        }
        self.tick(member);
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        if !self.is_up(to) {
            return;
        }
        if self.now < self.slots[to].stalled_until {
            self.slots[to].backlog.push((from, bytes));
            return;
        }
        self.hand_over(to, from, &bytes);
        let due = self.membership(to).next_due().max(self.now);
        self.schedule_tick(to, due);
    }

    fn hand_over(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let message = Message::decode(bytes).expect("members encode valid messages");
        let now = self.now;
        self.membership_mut(to)
            .received(now, from as MemberIndex, &message)
            .expect("members send valid messages");
    }

    fn tick(&mut self, member: usize) {
        let now = self.now;
        let messages = self.membership_mut(member).tick(now);
        for (to, message) in messages {
            self.send(member, usize::from(to), &message);
        }
        let due = self.membership(member).next_due();
        assert!(due > now, "a tick at {now:?} is due again at {due:?}");
        self.schedule_tick(member, due);
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let bytes = message.encode();
        self.slots[from].sent.add(self.now, bytes.len());
        for delay in self.network.delays(&mut self.random, from, to) {
            self.push(self.now + delay, Event::Arrival { to, from, bytes: bytes.clone() });
        }
    }

    fn schedule_tick(&mut self, member: usize, at: Duration) {
        let at = at.max(self.slots[member].stalled_until);
        if self.slots[member].tick_at != Some(at) {
            self.slots[member].tick_at = Some(at);
            self.push(at, Event::Tick(member));
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }
}
