//! Outputs of a member: messages, disk writes, duties acquired and lost, and its status for operators.

use std::time::Duration;

use crate::ids::{Duty, FencingToken, TableId, Term};
use crate::messages::LeaseMessage;
use crate::table::Table;
use crate::voter::PersistedState;

/// What the caller is to do, or is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to a member.
    Send(u16, LeaseMessage),
    /// Write the state to disk, then call [`Lease::state_persisted`](super::Lease::state_persisted) with the number.
    Persist(u64, PersistedState),
    /// This member now holds a duty under this token; with the last committed checkpoint of its holders.
    DutyAcquired(Duty, FencingToken, Vec<u8>),
    /// This member no longer holds the duty, with the reason.
    DutyLost(Duty, FencingToken, &'static str),
    /// A checkpoint under this token is committed: the next holder continues from it.
    CheckpointCommitted(Duty, FencingToken),
    /// A line for operators.
    Log(String),
}

/// The state of a member, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The highest term that this member voted for.
    pub term: Term,
    /// The leader that it follows.
    pub leader: Option<u16>,
    /// Its current table.
    pub table: Table,
    /// The last table that it knows to be committed.
    pub committed_table: TableId,
    /// Whether its state includes everything that it ever sent to others; only then may it vote.
    pub is_consistent: bool,
    /// The duties that it holds, with their tokens.
    pub held_duties: Vec<(Duty, FencingToken)>,
    /// The remaining time of its lease.
    pub lease_remaining: Duration,
}
