//! The replicated state that members agree on: the voters, and the holder and token of each duty. It is replaced as a whole, so no log
//! has to be stored, compacted or repaired.

use serde::{Deserialize, Serialize};

use crate::ids::{Duty, FencingToken, TableId};

/// The maximum length of a checkpoint's data.
pub const MAX_CHECKPOINT_BYTES: usize = 256;
/// The maximum number of duties.
pub const MAX_DUTIES: usize = 128;
/// The maximum number of voters.
pub const MAX_VOTERS: usize = 7;

/// Stands for the holder of a duty that was given up while no member could take it.
pub const NO_MEMBER: u16 = u16::MAX;

/// Why a duty was last reassigned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReason {
    /// It had no holder.
    #[default]
    Free,
    /// Its holder was unresponsive for longer than its lease.
    Silent,
    /// Its holder handed it over.
    Given,
    /// Its holder's process was restarted.
    Restarted,
    /// A receiver had accepted a later token.
    Refused,
}

/// One duty and its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyAssignment {
    /// The duty.
    pub duty: Duty,
    /// The holder, or [`NO_MEMBER`].
    pub member: u16,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// The fencing token of the holder's acts.
    pub token: FencingToken,
    /// Why it was last reassigned.
    pub reason: ChangeReason,
    /// The last committed progress of its holders, opaque to this crate.
    pub checkpoint: Vec<u8>,
}

/// Voters and duty assignments, as the leader of a term wrote them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Later tables compare greater.
    pub id: TableId,
    /// The members that vote.
    pub voters: Vec<u16>,
    /// The highest token that was issued, or that a receiver reported.
    pub highest_token: FencingToken,
    /// In order of duties.
    pub assignments: Vec<DutyAssignment>,
}

impl Table {
    /// The assignment of a duty, if it was ever assigned.
    pub fn assignment(&self, duty: Duty) -> Option<&DutyAssignment> {
        self.assignments.iter().find(|assignment| assignment.duty == duty)
    }

    /// As [`Table::assignment`], mutable.
    pub fn assignment_mut(&mut self, duty: Duty) -> Option<&mut DutyAssignment> {
        self.assignments.iter_mut().find(|assignment| assignment.duty == duty)
    }

    /// The number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a member votes.
    pub fn is_voter(&self, member: u16) -> bool {
        self.voters.contains(&member)
    }

    /// Assigns a duty to a member under a new token. Its checkpoint stays.
    pub fn assign(&mut self, duty: Duty, member: u16, incarnation: u64, reason: ChangeReason) {
        self.highest_token.0 = self.highest_token.0.saturating_add(1);
        let (token, checkpoint) = (
            self.highest_token,
            self.assignment(duty).map(|assignment| assignment.checkpoint.clone()).unwrap_or_default(),
        );
        self.assignments.retain(|assignment| assignment.duty != duty);
        let index = self.assignments.partition_point(|assignment| assignment.duty < duty);
        self.assignments
            .insert(index, DutyAssignment { duty, member, incarnation, token, reason, checkpoint });
    }

    /// Whether a received table cannot be one of a group with this number of members.
    pub fn is_malformed(&self, member_count: u16) -> bool {
        let voters = &self.voters;
        voters.is_empty()
            || voters.len() > MAX_VOTERS
            || voters.iter().enumerate().any(|(n, v)| *v >= member_count || voters[..n].contains(v))
            || self.assignments.len() > MAX_DUTIES
            || self.assignments.windows(2).any(|pair| pair[0].duty >= pair[1].duty)
            || self.assignments.iter().any(|assignment| {
                assignment.member >= member_count && assignment.member != NO_MEMBER
                    || assignment.token > self.highest_token
                    || assignment.checkpoint.len() > MAX_CHECKPOINT_BYTES
            })
    }
}
