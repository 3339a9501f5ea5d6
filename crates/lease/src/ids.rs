//! Numbers that identify terms, duties, holders and tables.

use serde::{Deserialize, Serialize};

/// A candidacy: how many there were, whose it is, and bits drawn for it. No two candidates ever have the same one, so that a voter
/// that has forgotten a vote cannot give it twice under one number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

impl Term {
    /// The next candidacy of a member.
    pub fn next(self, member: u16, drawn: u64) -> Self {
        Self((self.count() + 1).min(u64::from(u32::MAX)) << 32 | u64::from(member) << 16 | drawn & 0xffff)
    }

    /// How many candidacies there were up to this one.
    pub fn count(self) -> u64 {
        self.0 >> 32
    }

    /// Whose candidacy it is.
    pub fn member(self) -> u16 {
        (self.0 >> 16) as u16
    }
}

/// A duty, by its place in the list that all members have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Duty(pub u16);

/// A fencing number: it goes up with each holder of any duty, and is never used for two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// Which table: of the chair of a term, its so-manieth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TableId {
    pub term: Term,
    pub version: u32,
}
