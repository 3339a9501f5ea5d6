//! Background work: what is to be done next, and how much of it, so that it neither holds up what cannot wait nor is
//! put off for ever.
//!
//! It does nothing itself: whoever has work tells it ([`Chores::wanted`]), asks for a slice ([`Chores::next`]), does
//! about that much and says how long it took ([`Chores::done`]). Times are brought. Two promises, with their figures
//! in [`Budget`]:
//!
//! - While others wait, one slice lasts about `slice` and slices together take no more than `share` of the time, so that
//!   what cannot wait is held up by one slice at most, and that seldom.
//! - A chore that has waited longer than `patience` goes before all others, whatever its priority; so each of n chores
//!   gets a slice within `patience` and n slices' worth of that share.
//!
//! Start reading at [`Chores`].

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChoreId(pub u32);

#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// How long one slice is to last.
    pub slice: Duration,
    /// The part of the time that slices may take while others wait.
    pub share: f64,
    /// Bytes a second, whoever waits.
    pub bytes: f64,
    /// A chore that has waited so long goes first.
    pub patience: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            slice: Duration::from_millis(2),
            share: 0.25,
            bytes: 64.0 * 1024.0 * 1024.0,
            patience: Duration::from_secs(2),
        }
    }
}

/// Do about so many bytes of this one now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slice {
    pub chore: ChoreId,
    pub bytes: usize,
}

/// A slice is never smaller, or it would all be overhead.
const LEAST: f64 = 4096.0;
/// Nor larger, whatever was learned.
const MOST: f64 = 16.0 * 1024.0 * 1024.0;
/// The first of a chore, of which nothing is known.
const FIRST: f64 = 16.0 * 1024.0;
/// Weight of the newest slice in what is learned of a chore's speed.
const NEWEST: f64 = 0.3;

struct Chore {
    priority: u8,
    deadline: Option<Duration>,
    /// Since when it waits for its next slice; none: it has nothing to do.
    since: Option<Duration>,
    /// Bytes a second that it gets done; 0: not known.
    speed: f64,
}

pub struct Chores {
    budget: Budget,
    chores: BTreeMap<ChoreId, Chore>,
    now: Duration,
    /// Time that slices may take while others wait; below zero it is owed.
    time: f64,
    /// The same in bytes.
    bytes: f64,
}

impl Chores {
    pub fn new(budget: Budget) -> Self {
        let (time, bytes) = (budget.slice.as_secs_f64(), budget.bytes * 0.1);
        Self { budget, chores: BTreeMap::new(), now: Duration::ZERO, time, bytes }
    }

    /// A kind of work; a higher priority goes first.
    pub fn add(&mut self, id: ChoreId, priority: u8) {
        self.chores.insert(id, Chore { priority, deadline: None, since: None, speed: 0.0 });
    }

    /// It has something to do, to be done by the deadline if there is one; or nothing more.
    pub fn wanted(&mut self, now: Duration, id: ChoreId, wanted: bool, deadline: Option<Duration>) {
        self.turn_to(now);
        if let Some(chore) = self.chores.get_mut(&id) {
            chore.since = if wanted { chore.since.or(Some(now)) } else { None };
            chore.deadline = deadline.filter(|_| wanted);
        }
    }

    pub fn any_wanted(&self) -> bool {
        self.chores.values().any(|chore| chore.since.is_some())
    }

    /// What to do now, if anything; `pressed` says that others wait.
    pub fn next(&mut self, now: Duration, pressed: bool) -> Option<Slice> {
        self.turn_to(now);
        if self.bytes < 0.0 || pressed && self.time < 0.0 {
            return None;
        }
        let patience = self.budget.patience;
        let waiting = self.chores.iter().filter_map(|(id, chore)| Some((id, chore, chore.since?)));
        let rank = |chore: &Chore, since: Duration| {
            let late = chore.deadline.is_some_and(|by| by <= now) || since + patience <= now;
            // Of those that cannot wait longer, the one that has waited longest.
            (late, if late { 0 } else { chore.priority }, now.saturating_sub(since))
        };
        let (id, chore, _) =
            waiting.max_by_key(|(id, chore, since)| (rank(chore, *since), std::cmp::Reverse(**id)))?;
        let learned = if chore.speed > 0.0 { chore.speed * self.budget.slice.as_secs_f64() } else { FIRST };
        Some(Slice { chore: *id, bytes: learned.clamp(LEAST, MOST) as usize })
    }

    /// When `next` has something again though it has nothing now; none: not before something changes.
    pub fn due(&self, pressed: bool) -> Option<Duration> {
        if !self.any_wanted() {
            return None;
        }
        let bytes = (-self.bytes / self.budget.bytes).max(0.0);
        let time = if pressed { (-self.time / self.budget.share).max(0.0) } else { 0.0 };
        let wait = bytes.max(time);
        // Rounded up: who comes back then finds that it is time.
        let wait = Duration::from_secs_f64(wait) + Duration::from_micros(u64::from(wait > 0.0));
        Some(self.now + wait)
    }

    /// A slice is done: so many bytes, in so long; is there more?
    pub fn done(&mut self, now: Duration, id: ChoreId, bytes: usize, took: Duration, more: bool) {
        self.turn_to(now);
        let seconds = took.as_secs_f64();
        self.time -= seconds;
        self.bytes -= bytes as f64;
        if let Some(chore) = self.chores.get_mut(&id) {
            chore.since = more.then_some(now);
            if !more {
                chore.deadline = None;
            }
            if bytes > 0 && seconds > 0.0 {
                let speed = bytes as f64 / seconds;
                let before = if chore.speed > 0.0 { chore.speed } else { speed };
                // One slow slice is believed at once, a fast one by and by: a slice that lasts too long is what hurts.
                chore.speed = if speed < before { speed } else { before + NEWEST * (speed - before) };
            }
        }
    }

    fn turn_to(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.now).as_secs_f64();
        self.now = self.now.max(now);
        self.time = (self.time + passed * self.budget.share).min(self.budget.slice.as_secs_f64());
        self.bytes = (self.bytes + passed * self.budget.bytes).min(self.budget.bytes * 0.1);
    }
}
