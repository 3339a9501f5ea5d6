//! What members say to each other about duties.

use serde::{Deserialize, Serialize};

use crate::ids::{Duty, FencingToken, TableId, Term};
use crate::table::Table;

/// The chair is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub term: Term,
    pub serial: u64,
    pub table: TableId,
    /// A majority keeps that table.
    pub is_committed: bool,
    /// The last answer of the receiver that was had: its lease runs from when it sent that one. Zero: nothing is lent.
    pub lease_from_reply: u64,
    /// Duties that the receiver is to give up.
    pub duties_to_release: Vec<(Duty, FencingToken)>,
    /// Where the receiver has another one.
    pub full_table: Option<Table>,
}

/// An answer to a beat, and by itself where there is something to give or to mark.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    pub term: Term,
    /// The last beat that was heard.
    pub heartbeat_serial: u64,
    /// The table that is kept here.
    pub table: TableId,
    /// Of this answer: leases are lent by it.
    pub reply_number: u64,
    pub incarnation: u64,
    /// It takes duties.
    pub accepts_duties: bool,
    pub hand_overs: Vec<HandOver>,
    pub checkpoints: Vec<Checkpoint>,
    /// The highest numbers that receivers told where they refused an act of what the table says is this member's.
    pub refused_tokens: Vec<(Duty, FencingToken)>,
}

/// A duty is given up; to somebody, or to whoever is next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    pub duty: Duty,
    pub token: FencingToken,
    pub to: Option<u16>,
}

/// How far a holder has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    pub duty: Duty,
    pub token: FencingToken,
    pub data: Vec<u8>,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Would I be voted for in a term above this one, with this table?
    PreVoteRequest {
        above_term: Term,
        table: TableId,
    },
    /// `known`: the highest term known to whoever answers.
    PreVoteReply {
        above_term: Term,
        granted: bool,
        highest_term: Term,
    },
    /// A vote for this term, which is the sender's.
    VoteRequest {
        term: Term,
        table: TableId,
    },
    VoteReply {
        term: Term,
        granted: bool,
        highest_term: Term,
        newer_table: Option<Table>,
    },
    Heartbeat(Heartbeat),
    HeartbeatReply(HeartbeatReply),
    /// The chair of this term is none any more: nobody need wait for it.
    LeaderResigned {
        term: Term,
    },
    /// A voter has lost what it kept: what do others have?
    StateLost,
    /// `sound`: the sender has not lost it too.
    StateReply {
        term: Term,
        is_consistent: bool,
        table: Table,
    },
    /// For the chair: this duty is to go there; or this is to be the set of voters.
    MoveDuty {
        duty: Duty,
        to: Option<u16>,
    },
    ChangeVoters {
        voters: Vec<u16>,
    },
}
