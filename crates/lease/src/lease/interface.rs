//! What a member asks for and reports: messages, disk writes, duties gained and lost, and its status for operators.

use std::time::Duration;

use crate::ids::{Duty, FencingToken, TableId, Term};
use crate::messages::LeaseMessage;
use crate::table::Table;
use crate::voter::PersistedState;

/// What is to be done, and what has come of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send(u16, LeaseMessage),
    /// Is to be kept on disk; [`Lease::state_persisted`] is told by the number.
    Persist(u64, PersistedState),
    /// This member holds a duty, under this number; what its holders have done so far.
    DutyAcquired(Duty, FencingToken, Vec<u8>),
    DutyLost(Duty, FencingToken, &'static str),
    /// A mark under this number is agreed on: whoever follows goes on from it.
    CheckpointCommitted(Duty, FencingToken),
    Log(String),
}

/// For operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub term: Term,
    pub leader: Option<u16>,
    pub table: Table,
    pub committed_table: TableId,
    pub is_consistent: bool,
    pub held_duties: Vec<(Duty, FencingToken)>,
    /// How much of the lease is left.
    pub lease_remaining: Duration,
}
