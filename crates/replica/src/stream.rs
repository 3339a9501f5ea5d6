//! What one member writes for another: numbered without gaps, kept until it is acknowledged and a while longer, so that who comes
//! back goes on where it was.
//!
//! A number stands for "this dialogue has changed"; what is sent under it is the dialogue as it is then. One that changes again
//! before it was sent needs no second number.

use std::collections::{HashMap, VecDeque};

use lotussaddle::interface::DialogueId;

/// Numbers kept of a stream after they were sent; who lacks more gets a snapshot.
pub const MAX_RETAINED: usize = 65_536;

#[derive(Debug, Default)]
pub struct ReplicaStream {
    /// The number of the first one kept; numbers begin at 1.
    first: u64,
    tail: VecDeque<DialogueId>,
    /// The next number that is to be sent.
    send: u64,
    /// Not sent yet: under which number.
    unsent: HashMap<DialogueId, u64>,
    kept: u64,
}

impl ReplicaStream {
    pub fn new() -> Self {
        Self { first: 1, tail: VecDeque::new(), send: 1, unsent: HashMap::new(), kept: 0 }
    }

    /// A dialogue has changed; the number under which that goes.
    pub fn record_change(&mut self, dialogue: &DialogueId) -> u64 {
        if let Some(number) = self.unsent.get(dialogue) {
            return *number;
        }
        let number = self.next();
        self.tail.push_back(dialogue.clone());
        self.unsent.insert(dialogue.clone(), number);
        while self.tail.len() > MAX_RETAINED {
            if let Some(dropped) = self.tail.pop_front()
                && self.unsent.get(&dropped) == Some(&self.first)
            {
                self.unsent.remove(&dropped);
            }
            self.first += 1;
        }
        number
    }

    fn next(&self) -> u64 {
        self.first + self.tail.len() as u64
    }

    /// The last number given.
    pub fn last_number(&self) -> u64 {
        self.next() - 1
    }

    pub fn last_acknowledged(&self) -> u64 {
        self.kept
    }

    /// Numbers given and not acknowledged.
    pub fn lag(&self) -> u64 {
        self.last_number() - self.kept
    }

    /// The other side says what it has; true: all behind that can be sent. Else it needs a snapshot, and what changes from now
    /// on is sent behind that. It acknowledges nothing by that: what it has may not be kept, what a snapshot brings not be whole.
    pub fn resume(&mut self, have: u64) -> bool {
        let can = have + 1 >= self.first && have <= self.last_number();
        self.send = if can { have + 1 } else { self.next() };
        self.unsent.clear();
        let from = self.send;
        let again = self.tail.iter().skip((from - self.first) as usize).enumerate();
        // The last number of a dialogue is the one under which it goes out as it is.
        self.unsent = again.map(|(place, dialogue)| (dialogue.clone(), from + place as u64)).collect();
        can
    }

    /// Nothing is sent before the other side has said what it has.
    pub fn halt(&mut self) {
        self.send = self.next();
        self.unsent.clear();
    }

    /// The next to be sent, at most so many: the first number, and the dialogues in order.
    pub fn take_unsent(&mut self, most: usize) -> Option<(u64, Vec<DialogueId>)> {
        if self.is_overrun() {
            return None;
        }
        let from = (self.send - self.first) as usize;
        let first = self.send;
        let taken: Vec<DialogueId> = self.tail.iter().skip(from).take(most).cloned().collect();
        if taken.is_empty() {
            return None;
        }
        for (place, dialogue) in taken.iter().enumerate() {
            if self.unsent.get(dialogue) == Some(&(first + place as u64)) {
                self.unsent.remove(dialogue);
            }
        }
        self.send += taken.len() as u64;
        Some((first, taken))
    }

    pub fn has_unsent(&self) -> bool {
        self.send < self.next()
    }

    /// What was to be sent next is kept no more: the other side is slower than what is written, and needs a snapshot.
    pub fn is_overrun(&self) -> bool {
        self.send < self.first
    }

    /// The other side has kept all up to this number; one that was never given is not believed.
    pub fn acknowledge(&mut self, up_to: u64) -> u64 {
        self.kept = self.kept.max(up_to.min(self.last_number()));
        self.kept
    }
}
