//! Calls of a hollow member, drawn by its seed: each is launched, answered and ended through the member's state machine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use lotussaddle::interface::DialogueId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::hollow::dialogue_id;

/// How long a call stands.
const CALL_LASTS: Duration = Duration::from_secs(2);
/// How long a core server takes to answer a launch.
const LAUNCH_TAKES: Duration = Duration::from_millis(1);

/// What a call does next.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallStep {
    Launch(DialogueId),
    Answer(DialogueId),
    End(DialogueId),
}

/// The calls of one member.
pub struct DrawnCalls {
    member: u16,
    /// The start of the process that makes them.
    start: u64,
    rate: f64,
    random: Pcg64Mcg,
    next_at: Duration,
    made: u64,
    scheduled: BinaryHeap<Reverse<(Duration, CallStep)>>,
    /// Steps that wait for copies, by the ticket of the write.
    waiting: BTreeMap<u64, CallStep>,
}

impl DrawnCalls {
    /// `rate` is calls a second, above zero.
    pub fn new(now: Duration, member: u16, start: u64, rate: f64, seed: u64) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        let (scheduled, waiting) = (BinaryHeap::new(), BTreeMap::new());
        let mut calls = Self { member, start, rate, random, next_at: now, made: 0, scheduled, waiting };
        calls.draw_next();
        calls
    }

    fn draw_next(&mut self) {
        let share: f64 = self.random.random();
        let gap = -(1.0 - share).ln() / self.rate;
        self.next_at += Duration::from_secs_f64(gap);
    }

    /// When the next step is due.
    pub fn next_due(&self) -> Duration {
        let scheduled = self.scheduled.peek().map_or(Duration::MAX, |Reverse((at, _))| *at);
        scheduled.min(self.next_at)
    }

    /// A step that is due now, if any.
    pub fn due(&mut self, now: Duration) -> Option<CallStep> {
        if self.scheduled.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            return self.scheduled.pop().map(|Reverse((_, step))| step);
        }
        if self.next_at > now {
            return None;
        }
        self.draw_next();
        self.made += 1;
        Some(CallStep::Launch(dialogue_id(self.member, self.start, self.made)))
    }

    /// A step comes after the time that it takes.
    pub fn schedule(&mut self, now: Duration, step: CallStep) {
        let after = if matches!(step, CallStep::End(_)) { CALL_LASTS } else { LAUNCH_TAKES };
        self.scheduled.push(Reverse((now + after, step)));
    }

    /// A step comes once the write of this ticket is kept by as many members as it waits for.
    pub fn wait(&mut self, ticket: u64, step: CallStep) {
        self.waiting.insert(ticket, step);
    }

    /// The write of this ticket is kept.
    pub fn kept(&mut self, now: Duration, ticket: u64) {
        if let Some(step) = self.waiting.remove(&ticket) {
            self.schedule(now, step);
        }
    }
}
