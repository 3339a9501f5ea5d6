//! What a member exchanges with the program around it: the state restored at the start, the effects it asks for, and the
//! findings it reports to its edge proxy.

use lotussaddle::interface::{DialogueId, ServerId};
use lotussaddle_trunk::{Frame, ReplicaUpdate, TablesOrder};

use crate::peers::PeerLink;
use crate::redial::Verdict;

/// State that a member restores from its disk at the start.
#[derive(Default)]
pub struct Stored {
    pub incarnation: Option<u64>,
    /// The incarnation that was proposed last.
    pub proposed_incarnation: u64,
    /// Number of writes that the disk has taken.
    pub write_count: u64,
    /// The last incarnation that this member granted to each peer, by member index.
    pub granted_incarnations: Vec<(u16, u64)>,
    /// Votes and agreed assignments of duties, in the form of [`Save::Duties`].
    pub duties: Option<Vec<u8>>,
    /// The highest fencing tokens that this member has received, in the form of [`Save::FencingTokens`].
    pub fencing_tokens: Option<Vec<u8>>,
    pub replicas: Vec<ReplicaUpdate>,
}

/// A change to be persisted on disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Save {
    /// An encoded replica; `None` deletes it.
    Replica(DialogueId, Option<Vec<u8>>),
    /// The incarnation that this member has begun.
    Incarnation(u64),
    /// An incarnation that is being proposed to the peers.
    ProposedIncarnation(u64),
    /// A peer and the incarnation that this member granted it.
    GrantedIncarnation(u16, u64),
    /// The votes of this member and its table of duty assignments.
    Duties(Vec<u8>),
    /// The highest fencing tokens that this member has received. They are on disk before an action under a new token is carried out.
    FencingTokens(Vec<u8>),
    /// Number of writes that the disk has taken, this one included.
    WriteCount(u64),
}

/// Side effects of a member on its surroundings. No method blocks or calls back into the member.
pub trait Effects {
    /// Queues a frame. False: the queue is full or the link is closed, and nothing was queued.
    fn send(&mut self, link: PeerLink, frame: Frame) -> bool;
    /// Starts a connection attempt to a member; [`Member::link_connected`] or [`Member::link_closed`] follows.
    fn connect(&mut self, member: u16) -> PeerLink;
    /// Closes a link for the given reason.
    fn close(&mut self, link: PeerLink, why: &str);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
    /// Whether there is a disk; without one no records are encoded.
    fn has_disk(&self) -> bool;
    /// Submits changes to the disk; [`Member::disk_write_done`] reports the result under this number. False: there is no disk.
    fn save(&mut self, what: Vec<Save>, number: u64) -> bool;
}

/// A report or a request from a member to its edge proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// The write with this ticket has been acknowledged by the required number of replicas.
    WriteConfirmed(u64),
    /// The result of a look-up that [`Member::look_up_dialogue`] started.
    RedialResolved(DialogueId, Verdict),
    /// Another member owns the dialogue: the edge proxy drops it.
    OwnershipLost(DialogueId),
    /// Another member claims the dialogue: the edge proxy drops it and then calls [`Member::dialogue_given_up`].
    GiveUpDialogue(DialogueId),
    /// An order about number tables to carry out; [`Member::tables_order_done`] takes the result.
    CarryOutTablesOrder(u64, TablesOrder),
    /// A frame to send to a core server; where that fails, [`Member::core_send_failed`] is called.
    SendToCore(ServerId, Frame),
}

/// Counters for operators, since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberCounters {
    /// Steps of this member's own dialogues that were written to its replica table.
    pub writes: u64,
    /// Replicas sent to peers.
    pub copies_sent: u64,
    /// Received replicas that changed the replica table.
    pub copies_taken: u64,
    /// Received replicas that were rejected.
    pub copies_refused: u64,
    /// Dialogues whose ownership this member lost to another one.
    pub replaced: u64,
    /// Dialogues for which two replicas recorded different answers.
    pub differ: u64,
    /// Look-ups of redialled dialogues.
    pub asks: u64,
    /// Look-ups refused for lack of an incarnation or of capacity.
    pub asks_refused: u64,
    /// Orphaned dialogues taken over.
    pub taken_over: u64,
    /// Orphaned lines released.
    pub released: u64,
    /// Replicas sent, requested or dropped by anti-entropy.
    pub repaired: u64,
    /// Snapshot chunks received.
    pub pieces: u64,
    /// Replicas removed because they had expired.
    pub forgotten: u64,
}
