//! Set-ups that were received and are not decided on yet, shared fairly between the callers' connections.
//!
//! The decision module takes set-ups in the order in which they arrive. One connection that sends many would fill its
//! waiting set-ups, and those of all others would wait behind them. Each connection therefore has a queue of its own;
//! the module is given set-ups from all queues in turn, while it has room. A set-up whose connection has unread input
//! stays in its queue, because that input may give it up: it must not occupy a core server meanwhile.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use crate::SocketId;
use crate::codec::{Start, Tag};

/// A set-up that was received and is not decided on yet.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedSetUp {
    /// The set-up; its time left is that when it was received.
    pub start: Start,
    /// Place of the product in the plan.
    pub product: u16,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// The module is not given it before this time.
    pub not_before: Duration,
}

impl QueuedSetUp {
    /// Memory that it takes while it is queued.
    fn bytes(&self) -> usize {
        OVERHEAD_BYTES + self.start.description.len()
    }
}

/// Memory that a queued set-up takes beside its description.
const OVERHEAD_BYTES: usize = 512;

/// Bounds on what is queued.
#[derive(Clone, Copy, Debug)]
pub struct IntakeBounds {
    /// Number of set-ups of one connection.
    pub per_connection: usize,
    /// Memory of all set-ups together.
    pub bytes: usize,
}

/// The set-ups of one connection.
#[derive(Default)]
struct Queue {
    tags: VecDeque<Tag>,
    count: usize,
    bytes: usize,
}

/// The queues of all connections.
pub struct Intake {
    bounds: IntakeBounds,
    set_ups: HashMap<Tag, (SocketId, QueuedSetUp)>,
    /// Set-ups that were removed may still be listed here.
    queues: BTreeMap<SocketId, Queue>,
    /// The connections by the memory of what they have queued.
    by_bytes: BTreeSet<(usize, SocketId)>,
    by_deadline: BTreeSet<(Duration, Tag)>,
    /// Set-ups that may not be given to the module yet, by the time from which they may.
    deferred: BTreeSet<(Duration, Tag)>,
    bytes: usize,
    /// The connection that was served last.
    last_served: SocketId,
}

impl Intake {
    /// Empty queues.
    pub fn new(bounds: IntakeBounds) -> Self {
        Self {
            bounds,
            set_ups: HashMap::new(),
            queues: BTreeMap::new(),
            by_bytes: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            deferred: BTreeSet::new(),
            bytes: 0,
            last_served: SocketId(0),
        }
    }

    /// Whether another set-up of this connection may be queued.
    pub fn has_room_for(&self, socket: SocketId) -> bool {
        self.queues.get(&socket).is_none_or(|queue| queue.count < self.bounds.per_connection)
    }

    /// While the set-ups take more memory than they may: the last one of the connection that takes most (longest queue
    /// drop), so that no connection is refused for what others have queued. It is still queued.
    pub fn excess(&self) -> Option<Tag> {
        if self.bytes <= self.bounds.bytes {
            return None;
        }
        let (_, largest) = *self.by_bytes.last()?;
        let is_own = |tag: &&Tag| self.set_ups.get(tag).is_some_and(|(socket, _)| *socket == largest);
        let waiting = self.queues.get(&largest).and_then(|queue| queue.tags.iter().rev().find(is_own));
        let deferred = || self.deferred.iter().rev().map(|(_, tag)| tag).find(is_own);
        waiting.or_else(deferred).copied()
    }

    /// Appends a set-up to the queue of its connection, also beyond the bounds.
    pub fn push(&mut self, socket: SocketId, set_up: QueuedSetUp) {
        let (tag, bytes) = (set_up.start.tag, set_up.bytes());
        let queue = self.queues.entry(socket).or_default();
        self.by_bytes.remove(&(queue.bytes, socket));
        (queue.count, queue.bytes) = (queue.count + 1, queue.bytes + bytes);
        self.by_bytes.insert((queue.bytes, socket));
        if set_up.not_before.is_zero() {
            queue.tags.push_back(tag);
        } else {
            self.deferred.insert((set_up.not_before, tag));
        }
        self.bytes += bytes;
        self.by_deadline.insert((set_up.deadline, tag));
        self.set_ups.insert(tag, (socket, set_up));
    }

    /// The connection of a queued set-up, and the set-up.
    pub fn get(&self, tag: Tag) -> Option<(SocketId, &QueuedSetUp)> {
        self.set_ups.get(&tag).map(|(socket, set_up)| (*socket, set_up))
    }

    /// Removes a set-up from its queue.
    pub fn remove(&mut self, tag: Tag) -> Option<(SocketId, QueuedSetUp)> {
        let (socket, set_up) = self.set_ups.remove(&tag)?;
        let bytes = set_up.bytes();
        self.bytes -= bytes;
        self.by_deadline.remove(&(set_up.deadline, tag));
        self.deferred.remove(&(set_up.not_before, tag));
        if let Some(queue) = self.queues.get_mut(&socket) {
            self.by_bytes.remove(&(queue.bytes, socket));
            (queue.count, queue.bytes) = (queue.count - 1, queue.bytes - bytes);
            if queue.count > 0 {
                self.by_bytes.insert((queue.bytes, socket));
            }
            if queue.count == 0 {
                self.queues.remove(&socket);
            } else if queue.tags.front() == Some(&tag) {
                queue.tags.pop_front();
            } else if queue.tags.len() > 2 * queue.count {
                queue.tags.retain(|listed| self.set_ups.contains_key(listed));
            }
        }
        Some((socket, set_up))
    }

    /// The connections with queued set-ups, the one whose turn it is first.
    pub fn in_turn(&self) -> Vec<SocketId> {
        let after = self.queues.range(SocketId(self.last_served.0 + 1)..);
        let in_turn = after.chain(self.queues.range(..=self.last_served));
        in_turn.filter(|(_, queue)| !queue.tags.is_empty()).map(|(socket, _)| *socket).collect()
    }

    /// Removes the first set-up of a connection.
    pub fn take_first(&mut self, socket: SocketId) -> Option<QueuedSetUp> {
        self.last_served = socket;
        while let Some(tag) = self.queues.get_mut(&socket)?.tags.pop_front() {
            if self.set_ups.get(&tag).is_some_and(|(owner, _)| *owner == socket) {
                return self.remove(tag).map(|(_, set_up)| set_up);
            }
        }
        None
    }

    /// Queues the set-ups whose time has come.
    pub fn queue_deferred(&mut self, now: Duration) {
        while let Some((due, tag)) = self.deferred.first().copied()
            && due <= now
        {
            self.deferred.pop_first();
            if let Some((socket, _)) = self.set_ups.get(&tag)
                && let Some(queue) = self.queues.get_mut(socket)
            {
                queue.tags.push_back(tag);
            }
        }
    }

    /// When [`Self::queue_deferred`] is due next.
    pub fn deferred_due(&self) -> Option<Duration> {
        self.deferred.first().map(|(due, _)| *due)
    }

    /// A queued set-up whose caller stops waiting at this time or before.
    pub fn expired(&self, now: Duration) -> Option<Tag> {
        self.by_deadline.first().filter(|(deadline, _)| *deadline <= now).map(|(_, tag)| *tag)
    }

    /// Number of set-ups queued.
    pub fn len(&self) -> usize {
        self.set_ups.len()
    }

    /// Whether no set-up is queued.
    pub fn is_empty(&self) -> bool {
        self.set_ups.is_empty()
    }

    /// Memory of the set-ups queued.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
