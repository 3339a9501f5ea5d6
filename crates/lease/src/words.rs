//! What members say to each other about duties.

use serde::{Deserialize, Serialize};

use crate::ids::{Duty, Number, TableId, Term};
use crate::table::Table;

/// The chair is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    pub term: Term,
    pub serial: u64,
    pub table: TableId,
    /// A majority keeps that table.
    pub agreed: bool,
    /// The last answer of the receiver that was had: its lease runs from when it sent that one. Zero: nothing is lent.
    pub lent: u64,
    /// Duties that the receiver is to give up.
    pub give: Vec<(Duty, Number)>,
    /// Where the receiver has another one.
    pub whole: Option<Table>,
}

/// An answer to a beat, and by itself where there is something to give or to mark.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Back {
    pub term: Term,
    /// The last beat that was heard.
    pub serial: u64,
    /// The table that is kept here.
    pub table: TableId,
    /// Of this answer: leases are lent by it.
    pub number: u64,
    pub life: u64,
    /// It takes duties.
    pub willing: bool,
    pub gives: Vec<Give>,
    pub marks: Vec<Mark>,
    /// The highest numbers that receivers told where they refused an act of what the table says is this member's.
    pub refused: Vec<(Duty, Number)>,
}

/// A duty is given up; to somebody, or to whoever is next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Give {
    pub duty: Duty,
    pub number: Number,
    pub to: Option<u16>,
}

/// How far a holder has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    pub duty: Duty,
    pub number: Number,
    pub mark: Vec<u8>,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Would I be voted for in a term above this one, with this table?
    Try {
        above: Term,
        table: TableId,
    },
    /// `known`: the highest term known to whoever answers.
    Would {
        above: Term,
        yes: bool,
        known: Term,
    },
    /// A vote for this term, which is the sender's.
    Ask {
        term: Term,
        table: TableId,
    },
    Vote {
        term: Term,
        yes: bool,
        known: Term,
        newer: Option<Table>,
    },
    Beat(Beat),
    Back(Back),
    /// The chair of this term is none any more: nobody need wait for it.
    Resigns {
        term: Term,
    },
    /// A voter has lost what it kept: what do others have?
    Lost,
    /// `sound`: the sender has not lost it too.
    Have {
        term: Term,
        sound: bool,
        table: Table,
    },
    /// For the chair: this duty is to go there; or this is to be the set of voters.
    Move {
        duty: Duty,
        to: Option<u16>,
    },
    Voters {
        voters: Vec<u16>,
    },
}
