//! The stream of updates from one member to another: numbered without gaps, and retained until acknowledged and for a while after, so
//! that a member that reconnects resumes where it was.
//!
//! A number stands for "this dialogue has changed"; what is sent under it is the dialogue's state at the time of sending. A dialogue
//! that changes again before it was sent needs no second number.

use std::collections::{HashMap, VecDeque};

use lotussaddle::interface::DialogueId;

/// The count of numbers of a stream that are retained; a receiver that lacks more gets a snapshot.
pub const MAX_RETAINED: usize = 65_536;

/// The sending side of a stream.
#[derive(Debug, Default)]
pub struct ReplicaStream {
    /// The first number retained; numbers begin at 1.
    first: u64,
    /// The dialogue of each retained number.
    retained: VecDeque<DialogueId>,
    /// The next number that is to be sent.
    next_to_send: u64,
    /// The number under which each dialogue that was not sent yet will be sent.
    unsent: HashMap<DialogueId, u64>,
    last_acknowledged: u64,
}

impl ReplicaStream {
    /// Creates an empty stream.
    pub fn new() -> Self {
        Self {
            first: 1,
            retained: VecDeque::new(),
            next_to_send: 1,
            unsent: HashMap::new(),
            last_acknowledged: 0,
        }
    }

    /// Records that a dialogue has changed; returns the number under which it will be sent.
    pub fn record_change(&mut self, dialogue: &DialogueId) -> u64 {
        if let Some(number) = self.unsent.get(dialogue) {
            return *number;
        }
        let number = self.next_number();
        self.retained.push_back(dialogue.clone());
        self.unsent.insert(dialogue.clone(), number);
        while self.retained.len() > MAX_RETAINED {
            if let Some(dropped) = self.retained.pop_front()
                && self.unsent.get(&dropped) == Some(&self.first)
            {
                self.unsent.remove(&dropped);
            }
            self.first += 1;
        }
        number
    }

    fn next_number(&self) -> u64 {
        self.first + self.retained.len() as u64
    }

    /// The last number assigned.
    pub fn last_number(&self) -> u64 {
        self.next_number() - 1
    }

    /// The last number that the receiver has acknowledged.
    pub fn last_acknowledged(&self) -> u64 {
        self.last_acknowledged
    }

    /// The count of numbers assigned and not acknowledged.
    pub fn lag(&self) -> u64 {
        self.last_number() - self.last_acknowledged
    }

    /// Restarts the stream behind the last number that the receiver says it has. False: not everything after it is retained, so the
    /// receiver needs a snapshot, and the stream continues with later changes only. The call acknowledges nothing: the receiver may
    /// not have persisted what it has, and a snapshot may be incomplete.
    pub fn resume(&mut self, receiver_has: u64) -> bool {
        let is_retained = receiver_has + 1 >= self.first && receiver_has <= self.last_number();
        self.next_to_send = if is_retained { receiver_has + 1 } else { self.next_number() };
        self.unsent.clear();
        let from = self.next_to_send;
        let pending = self.retained.iter().skip((from - self.first) as usize).enumerate();
        // If a dialogue has several numbers it is pending under the last one.
        self.unsent = pending.map(|(offset, dialogue)| (dialogue.clone(), from + offset as u64)).collect();
        is_retained
    }

    /// Sends nothing of what has been recorded until [`ReplicaStream::resume`] is called.
    pub fn halt(&mut self) {
        self.next_to_send = self.next_number();
        self.unsent.clear();
    }

    /// Takes at most `max_count` dialogues that are to be sent next: the first number, and the dialogues in order.
    pub fn take_unsent(&mut self, max_count: usize) -> Option<(u64, Vec<DialogueId>)> {
        if self.is_overrun() {
            return None;
        }
        let offset = (self.next_to_send - self.first) as usize;
        let first = self.next_to_send;
        let taken: Vec<DialogueId> = self.retained.iter().skip(offset).take(max_count).cloned().collect();
        if taken.is_empty() {
            return None;
        }
        for (offset, dialogue) in taken.iter().enumerate() {
            if self.unsent.get(dialogue) == Some(&(first + offset as u64)) {
                self.unsent.remove(dialogue);
            }
        }
        self.next_to_send += taken.len() as u64;
        Some((first, taken))
    }

    /// Whether there are numbers that were not sent yet.
    pub fn has_unsent(&self) -> bool {
        self.next_to_send < self.next_number()
    }

    /// Whether the next number to be sent is no longer retained: the receiver is slower than the writes and needs a snapshot.
    pub fn is_overrun(&self) -> bool {
        self.next_to_send < self.first
    }

    /// The receiver has persisted everything up to this number; a number that was never assigned is ignored. Returns the last
    /// acknowledged number.
    pub fn acknowledge(&mut self, up_to: u64) -> u64 {
        self.last_acknowledged = self.last_acknowledged.max(up_to.min(self.last_number()));
        self.last_acknowledged
    }
}
