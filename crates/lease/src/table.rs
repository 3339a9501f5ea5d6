//! The one thing that is agreed on: who votes, and who holds which duty under which number. It is replaced as a whole, so that no
//! log is kept, compacted or repaired.

use serde::{Deserialize, Serialize};

use crate::ids::{Duty, Number, TableId};

/// Bytes of a mark at most.
pub const MOST_MARK: usize = 256;
/// Duties and voters at most.
pub const MOST_DUTIES: usize = 128;
pub const MOST_VOTERS: usize = 7;

/// Stands for a member where nobody could take a duty that was given up.
pub const NOBODY: u16 = u16::MAX;

/// Why a duty changed hands last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// Nobody had it.
    #[default]
    Free,
    /// Its holder was silent for longer than its lease.
    Silent,
    /// Its holder gave it up.
    Given,
    /// Its holder's process is another one.
    Restarted,
    /// A receiver had seen a later number.
    Refused,
}

/// One duty and its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    pub duty: Duty,
    pub member: u16,
    pub life: u64,
    pub number: Number,
    pub why: Why,
    /// What its holders have done so far, in their own words.
    pub mark: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    pub id: TableId,
    pub voters: Vec<u16>,
    /// The highest number that was given, or that a receiver told of.
    pub highest: Number,
    /// In the order of duties.
    pub seats: Vec<Seat>,
}

impl Table {
    pub fn seat(&self, duty: Duty) -> Option<&Seat> {
        self.seats.iter().find(|seat| seat.duty == duty)
    }

    pub fn seat_mut(&mut self, duty: Duty) -> Option<&mut Seat> {
        self.seats.iter_mut().find(|seat| seat.duty == duty)
    }

    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub fn is_voter(&self, member: u16) -> bool {
        self.voters.contains(&member)
    }

    /// Gives a duty to a member, under a number that nobody had. Its marks stay.
    pub fn give(&mut self, duty: Duty, member: u16, life: u64, why: Why) {
        self.highest.0 = self.highest.0.saturating_add(1);
        let (number, mark) =
            (self.highest, self.seat(duty).map(|seat| seat.mark.clone()).unwrap_or_default());
        self.seats.retain(|seat| seat.duty != duty);
        let place = self.seats.partition_point(|seat| seat.duty < duty);
        self.seats.insert(place, Seat { duty, member, life, number, why, mark });
    }

    /// What came over a link is no table of this group.
    pub fn is_odd(&self, members: u16) -> bool {
        let voters = &self.voters;
        voters.is_empty()
            || voters.len() > MOST_VOTERS
            || voters.iter().enumerate().any(|(n, v)| *v >= members || voters[..n].contains(v))
            || self.seats.len() > MOST_DUTIES
            || self.seats.windows(2).any(|pair| pair[0].duty >= pair[1].duty)
            || self.seats.iter().any(|seat| {
                seat.member >= members && seat.member != NOBODY
                    || seat.number > self.highest
                    || seat.mark.len() > MOST_MARK
            })
    }
}
