//! What a member asks for and reports: messages, disk writes, duties gained and lost, and its status for operators.

use std::time::Duration;

use crate::ids::{Duty, Number, TableId, Term};
use crate::table::Table;
use crate::voter::Kept;
use crate::words::Word;

/// What is to be done, and what has come of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Say(u16, Word),
    /// Is to be kept on disk; [`Lease::kept`] is told by the number.
    Keep(u64, Kept),
    /// This member holds a duty, under this number; what its holders have done so far.
    Began(Duty, Number, Vec<u8>),
    Lost(Duty, Number, &'static str),
    /// A mark under this number is agreed on: whoever follows goes on from it.
    Marked(Duty, Number),
    Log(String),
}

/// For operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub term: Term,
    pub chair: Option<u16>,
    pub table: Table,
    pub agreed: TableId,
    pub sound: bool,
    pub holds: Vec<(Duty, Number)>,
    /// How much of the lease is left.
    pub left: Duration,
}
