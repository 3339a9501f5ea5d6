//! Messages between members about duties.

use serde::{Deserialize, Serialize};

use crate::ids::{Duty, FencingToken, TableId, Term};
use crate::table::Table;

/// Sent by the leader to every member at a regular interval, and after each change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader's term.
    pub term: Term,
    /// Counts heartbeat rounds of this term.
    pub serial: u64,
    /// The leader's current table.
    pub table: TableId,
    /// Whether a majority has persisted that table.
    pub is_committed: bool,
    /// The number of the receiver's last reply that the leader has received: the receiver's lease runs from the time when it sent
    /// that reply. Zero: no lease is granted.
    pub lease_from_reply: u64,
    /// Duties that the receiver is to hand over, with their tokens.
    pub duties_to_release: Vec<(Duty, FencingToken)>,
    /// The whole table, if the receiver's table differs; otherwise none.
    pub full_table: Option<Table>,
}

/// Reply to a heartbeat; also sent unasked when there is a hand-over or a checkpoint to report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The term of the leader that is answered.
    pub term: Term,
    /// The serial of the last heartbeat received.
    pub heartbeat_serial: u64,
    /// The table that the sender has; of a voter, the one it has persisted.
    pub table: TableId,
    /// The number of this reply. The leader grants a lease by returning it in [`Heartbeat::lease_from_reply`].
    pub reply_number: u64,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Whether the sender takes new duties.
    pub accepts_duties: bool,
    /// Duties that the sender has stopped holding.
    pub hand_overs: Vec<HandOver>,
    /// Progress of the duties that the sender holds.
    pub checkpoints: Vec<Checkpoint>,
    /// The highest token reported by a receiver that refused an act of a duty assigned to the sender.
    pub refused_tokens: Vec<(Duty, FencingToken)>,
}

/// A duty that its holder gives up, to a named member or to the next preferred one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// The duty given up.
    pub duty: Duty,
    /// The token under which it was held.
    pub token: FencingToken,
    /// The wanted next holder, if any.
    pub to: Option<u16>,
}

/// Progress of a duty, for its next holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The duty.
    pub duty: Duty,
    /// The token under which it is held.
    pub token: FencingToken,
    /// Opaque to this crate; at most 256 bytes.
    pub data: Vec<u8>,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks whether the receiver would vote for the sender, which has this table, in a term above `above_term`.
    PreVoteRequest {
        /// The sender's current term.
        above_term: Term,
        /// The sender's table.
        table: TableId,
    },
    /// Answers a [`LeaseMessage::PreVoteRequest`].
    PreVoteReply {
        /// As in the request.
        above_term: Term,
        /// Whether the sender would vote for the receiver.
        granted: bool,
        /// The highest term that the sender knows.
        highest_term: Term,
    },
    /// Asks for a vote in this term, which is the sender's.
    VoteRequest {
        /// The term of the candidacy.
        term: Term,
        /// The candidate's table.
        table: TableId,
    },
    /// Answers a [`LeaseMessage::VoteRequest`], or rejects a heartbeat of an outdated term.
    VoteReply {
        /// As in the request.
        term: Term,
        /// Whether the vote is given.
        granted: bool,
        /// The highest term that the sender knows.
        highest_term: Term,
        /// The sender's table, if it is newer than the candidate's.
        newer_table: Option<Table>,
    },
    /// Leader to member.
    Heartbeat(Heartbeat),
    /// Member to leader.
    HeartbeatReply(HeartbeatReply),
    /// The leader of this term has given up: the receiver need not wait for its time-out.
    LeaderResigned {
        /// The term that has ended.
        term: Term,
    },
    /// A voter has lost its persisted state and asks for the state of the others.
    StateLost,
    /// Answers [`LeaseMessage::StateLost`].
    StateReply {
        /// The highest term that the sender voted for.
        term: Term,
        /// Whether the sender's own state is complete.
        is_consistent: bool,
        /// The sender's table.
        table: Table,
    },
    /// Request to the leader: assign this duty to that member, or to the next preferred one.
    MoveDuty {
        /// The duty to move.
        duty: Duty,
        /// The requested holder; none: the next preferred member.
        to: Option<u16>,
    },
    /// Request to the leader: change to this set of voters.
    ChangeVoters {
        /// The wanted voters.
        voters: Vec<u16>,
    },
}
