//! Set-ups that have just ended, in case their callers send them again.
//!
//! A caller whose connection ends while a set-up crosses that end sends the same set-up again, once, on a new
//! connection. The first one may have been answered by then, on a connection that no longer reached the caller, or
//! been given up with its connection.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::SocketId;
use crate::codec::{Start, Tag};

/// A set-up is sent again within 50 ms of the end of its connection; the protocol adds 50 ms to each time limit.
pub const REPEAT_WINDOW: Duration = Duration::from_millis(100);

/// Identifies what a set-up asks for, without its identifier and the time left: a set-up that is sent again has the
/// same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Of a set-up.
    pub fn of(start: &Start) -> Self {
        let mut hasher = DefaultHasher::new();
        (&start.class, &start.key, start.first_choice, start.width.to_bits(), &start.description)
            .hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// How a set-up ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// Its call stands, with this description.
    Stands(String),
    /// It was refused, or failed.
    Refused {
        /// Cause code sent to the caller.
        cause: u8,
        /// Time in milliseconds during which the caller should not retry.
        wait_ms: Option<u64>,
    },
    /// Its connection was lost. If a core server may have it, it may go to one again from this time on.
    GivenUp {
        /// Earliest time of the next launch.
        launch_from: Duration,
    },
}

impl Ending {
    fn bytes(&self) -> usize {
        if let Self::Stands(description) = self { description.len() } else { 0 }
    }
}

/// A set-up that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RecentSetUp {
    /// What it asked for.
    pub fingerprint: Fingerprint,
    /// The connection on which it was received.
    pub caller: SocketId,
    /// How it ended.
    pub ending: Ending,
}

/// Set-ups that have ended within [`REPEAT_WINDOW`].
pub struct RecentSetUps {
    max_count: usize,
    max_bytes: usize,
    /// With the time at which each one ended.
    set_ups: HashMap<Tag, (Duration, RecentSetUp)>,
    /// When each one ended, in that order. One that was taken out may still be listed.
    by_time: VecDeque<(Duration, Tag)>,
    bytes: usize,
    last_expiry: Duration,
}

impl RecentSetUps {
    /// Keeps at most this many, with at most this many bytes of descriptions; the oldest are forgotten first.
    pub fn new(max_count: usize, max_bytes: usize) -> Self {
        Self {
            max_count,
            max_bytes,
            set_ups: HashMap::new(),
            by_time: VecDeque::new(),
            bytes: 0,
            last_expiry: Duration::ZERO,
        }
    }

    /// A set-up has ended.
    pub fn insert(&mut self, now: Duration, tag: Tag, set_up: RecentSetUp) {
        self.bytes += set_up.ending.bytes();
        if let Some((_, replaced)) = self.set_ups.insert(tag, (now, set_up)) {
            self.bytes -= replaced.ending.bytes();
        }
        self.by_time.push_back((now, tag));
        while self.by_time.len() > self.max_count || self.bytes > self.max_bytes {
            self.remove_oldest();
        }
    }

    /// Takes out the set-up with this identifier if it asked for the same on another connection.
    pub fn take_repeated(
        &mut self, tag: Tag, fingerprint: Fingerprint, socket: SocketId,
    ) -> Option<RecentSetUp> {
        let (_, recent) = self.set_ups.get(&tag)?;
        if recent.fingerprint != fingerprint || recent.caller == socket {
            return None;
        }
        self.remove(tag)
    }

    /// All waiting input has been read. Forgets the set-ups whose window had already passed when this was last so: what
    /// was sent within the window has been read since, even if the process was paused.
    pub fn expire(&mut self, now: Duration) {
        while self.by_time.front().is_some_and(|(ended_at, _)| *ended_at + REPEAT_WINDOW <= self.last_expiry)
        {
            self.remove_oldest();
        }
        self.last_expiry = now;
    }

    /// Number of set-ups kept, and the bytes of their descriptions.
    pub fn sizes(&self) -> (usize, usize) {
        (self.by_time.len(), self.bytes)
    }

    fn remove_oldest(&mut self) {
        let Some((ended_at, tag)) = self.by_time.pop_front() else { return };
        if self.set_ups.get(&tag).is_some_and(|(found, _)| *found == ended_at) {
            self.remove(tag);
        }
    }

    fn remove(&mut self, tag: Tag) -> Option<RecentSetUp> {
        let (_, removed) = self.set_ups.remove(&tag)?;
        self.bytes -= removed.ending.bytes();
        Some(removed)
    }
}
