//! The order in which callers' connections are read: by the time that their input has taken so far.
//!
//! Each connection has a virtual time, which grows by the time that its input took to process; the one with the
//! earliest is read next (start-time fair queueing, Goyal, Vin and Cheng 1996). A connection that was idle starts at
//! the virtual time of the one read last, so that it is read before those that were busy, and gains nothing by having
//! waited.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use lotussaddle_platform::SocketId;

/// Connections that may have input, in the order in which they are to be read.
#[derive(Default)]
pub struct FairQueue {
    waiting: BTreeSet<(Duration, SocketId)>,
    /// Virtual time of each known connection.
    times: HashMap<SocketId, Duration>,
    /// Virtual time of the connection that was read last.
    now: Duration,
    /// Virtual time at which all connections that waited at the start of the round have been read.
    round_end: Duration,
}

impl FairQueue {
    /// Adds a connection that may have input; it must not be waiting.
    pub fn push(&mut self, socket: SocketId) {
        let time = self.times.entry(socket).or_default();
        *time = self.now.max(*time);
        self.waiting.insert((*time, socket));
    }

    /// Removes the connection that is to be read next.
    pub fn pop(&mut self) -> Option<SocketId> {
        let (time, socket) = self.waiting.pop_first()?;
        self.now = time;
        Some(socket)
    }

    /// The input of a connection has taken this long to process.
    pub fn charge(&mut self, socket: SocketId, cost: Duration) {
        let Some(time) = self.times.get_mut(&socket) else { return };
        let is_waiting = self.waiting.remove(&(*time, socket));
        *time += cost;
        if is_waiting {
            self.waiting.insert((*time, socket));
        }
    }

    /// Forgets a connection that was closed.
    pub fn remove(&mut self, socket: SocketId) {
        if let Some(time) = self.times.remove(&socket) {
            self.waiting.remove(&(time, socket));
        }
    }

    /// Number of connections that wait to be read.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no connection waits to be read.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether all connections that waited when this last returned true have been read since.
    pub fn is_round_over(&mut self) -> bool {
        if self.waiting.first().is_some_and(|(time, _)| *time <= self.round_end) {
            return false;
        }
        self.round_end = self.waiting.last().map_or(self.now, |(time, _)| *time);
        true
    }
}
