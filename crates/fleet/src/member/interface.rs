//! What a member exchanges with the program around it: the state restored at the start, the effects it asks for, and the
//! findings it reports to its edge proxy.

use lotussaddle::interface::{DialogueId, ServerId};
use lotussaddle_trunk::{Frame, ReplicaUpdate, TablesOrder};

use crate::peers::PeerLink;
use crate::redial::Verdict;

/// What members are told by their disk at the start.
#[derive(Default)]
pub struct Stored {
    pub life: Option<u64>,
    /// The life that was asked for last.
    pub asked: u64,
    /// Writes that it has had.
    pub count: u64,
    pub given: Vec<(u16, u64)>,
    /// What was voted for and agreed on about duties, as [`Save::Duties`] had it.
    pub duties: Option<Vec<u8>>,
    /// Numbers of duties that were seen, as [`Save::Fence`] had them.
    pub fence: Option<Vec<u8>>,
    pub copies: Vec<ReplicaUpdate>,
}

/// What is to be kept on disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Save {
    /// A copy, as its bytes; none: it is forgotten.
    Copy(DialogueId, Option<Vec<u8>>),
    Life(u64),
    /// A life is asked for; it is lost with a kill, or not.
    Asked(u64),
    Given(u16, u64),
    /// What this member voted for, and which table of duties it keeps.
    Duties(Vec<u8>),
    /// Which numbers of duties it has seen: on disk before an act under a new one is done.
    Fence(Vec<u8>),
    /// How many writes the disk has had with this one.
    Count(u64),
}

/// All that a member does to the world. None of it waits, and none of it calls back.
pub trait Effects {
    /// False: the queue is full or the link gone; nothing was queued.
    fn send(&mut self, link: PeerLink, frame: Frame) -> bool;
    /// Begins a connection to a member; [`Member::connected`] or [`Member::lost`] follows.
    fn connect(&mut self, member: u16) -> PeerLink;
    /// Closes a link that the member has given up.
    fn close(&mut self, link: PeerLink, why: &str);
    /// A line for the log.
    fn log(&mut self, line: &str);
    /// There is a disk at all: else nothing is made ready for it.
    fn has_disk(&self) -> bool;
    /// Has it kept on disk; [`Member::saved`] tells by the number when it is. False: there is no disk.
    fn save(&mut self, what: Vec<Save>, number: u64) -> bool;
}

/// What its edge proxy is to be told, or to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// The write under this ticket is kept by as many as is asked for.
    Kept(u64),
    Found(DialogueId, Verdict),
    /// Another has it: it is let go.
    Replaced(DialogueId),
    /// Another wants it: it is let go, and then [`Member::let_go`] is called.
    LetGo(DialogueId),
    /// An order about number tables; [`Member::tabled`] is told what came of it.
    Tables(u64, TablesOrder),
    /// Is to be said to a core server; where it cannot be, [`Member::unreached`] is called.
    ToCore(ServerId, Frame),
}

/// Counters for operators, since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Steps of own dialogues written, and frames and copies sent to peers for them.
    pub writes: u64,
    pub copies_sent: u64,
    pub copies_taken: u64,
    pub copies_refused: u64,
    pub replaced: u64,
    pub differ: u64,
    pub asks: u64,
    pub asks_refused: u64,
    pub taken_over: u64,
    pub released: u64,
    pub repaired: u64,
    pub pieces: u64,
    pub forgotten: u64,
}
