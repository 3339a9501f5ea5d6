//! The one thing that is agreed on: who votes, and who holds which duty under which number. It is replaced as a whole, so that no
//! log is kept, compacted or repaired.

use serde::{Deserialize, Serialize};

use crate::ids::{Duty, FencingToken, TableId};

/// Bytes of a mark at most.
pub const MAX_CHECKPOINT_BYTES: usize = 256;
/// Duties and voters at most.
pub const MAX_DUTIES: usize = 128;
pub const MAX_VOTERS: usize = 7;

/// Stands for a member where nobody could take a duty that was given up.
pub const NO_MEMBER: u16 = u16::MAX;

/// ChangeReason a duty changed hands last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReason {
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
pub struct DutyAssignment {
    pub duty: Duty,
    pub member: u16,
    pub incarnation: u64,
    pub token: FencingToken,
    pub reason: ChangeReason,
    /// What its holders have done so far, in their own words.
    pub checkpoint: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    pub id: TableId,
    pub voters: Vec<u16>,
    /// The highest number that was given, or that a receiver told of.
    pub highest_token: FencingToken,
    /// In the order of duties.
    pub assignments: Vec<DutyAssignment>,
}

impl Table {
    pub fn assignment(&self, duty: Duty) -> Option<&DutyAssignment> {
        self.assignments.iter().find(|seat| seat.duty == duty)
    }

    pub fn assignment_mut(&mut self, duty: Duty) -> Option<&mut DutyAssignment> {
        self.assignments.iter_mut().find(|seat| seat.duty == duty)
    }

    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub fn is_voter(&self, member: u16) -> bool {
        self.voters.contains(&member)
    }

    /// Gives a duty to a member, under a number that nobody had. Its marks stay.
    pub fn assign(&mut self, duty: Duty, member: u16, life: u64, why: ChangeReason) {
        self.highest_token.0 = self.highest_token.0.saturating_add(1);
        let (number, mark) = (
            self.highest_token,
            self.assignment(duty).map(|seat| seat.checkpoint.clone()).unwrap_or_default(),
        );
        self.assignments.retain(|seat| seat.duty != duty);
        let place = self.assignments.partition_point(|seat| seat.duty < duty);
        self.assignments.insert(
            place,
            DutyAssignment { duty, member, incarnation: life, token: number, reason: why, checkpoint: mark },
        );
    }

    /// What came over a link is no table of this group.
    pub fn is_malformed(&self, members: u16) -> bool {
        let voters = &self.voters;
        voters.is_empty()
            || voters.len() > MAX_VOTERS
            || voters.iter().enumerate().any(|(n, v)| *v >= members || voters[..n].contains(v))
            || self.assignments.len() > MAX_DUTIES
            || self.assignments.windows(2).any(|pair| pair[0].duty >= pair[1].duty)
            || self.assignments.iter().any(|seat| {
                seat.member >= members && seat.member != NO_MEMBER
                    || seat.token > self.highest_token
                    || seat.checkpoint.len() > MAX_CHECKPOINT_BYTES
            })
    }
}
