//! Numbers that identify terms, duties, holders and tables.

use serde::{Deserialize, Serialize};

/// A candidacy: its count, the candidate, and random bits. No two candidacies have the same term, so a voter that has lost the
/// record of a vote cannot vote twice in one term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

impl Term {
    /// The term of a member's next candidacy after this one; the low 16 bits of `random` go into it.
    pub fn next(self, member: u16, random: u64) -> Self {
        Self((self.count() + 1).min(u64::from(u32::MAX)) << 32 | u64::from(member) << 16 | random & 0xffff)
    }

    /// The number of candidacies up to and including this one.
    pub fn count(self) -> u64 {
        self.0 >> 32
    }

    /// The candidate.
    pub fn member(self) -> u16 {
        (self.0 >> 16) as u16
    }
}

/// A duty, by its index in the list that all members share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Duty(pub u16);

/// A fencing token: it increases with each new holder of any duty and is never issued twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// Identifies a table by the term of the leader that wrote it and its version within that term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TableId {
    /// The leader's term.
    pub term: Term,
    /// Counts up from 1 within the term.
    pub version: u32,
}
