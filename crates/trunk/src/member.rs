//! What members of a fleet say to each other, and to core servers about whose a dialogue is. Only where a sheet has a
//! fleet; nothing of it is said by callers or lists.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use serde::{Deserialize, Serialize};

use crate::frame::TablesOrder;
use crate::texts;

/// Who writes a dialogue's state: a member of the fleet, by its place in the group, in one of its lives. With each
/// change of owner the round goes up; of two owners of one round the one that compares higher counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    pub round: u32,
    pub member: u16,
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A final answer, as it was or would be given.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    Stands {
        #[serde(with = "texts::ServerText")]
        server: ServerId,
    },
    Refused {
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
        come_back: Option<Duration>,
    },
    Failed,
}

/// How far a dialogue has come, as one owner wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Nothing of it is out, and nothing is in doubt beside what the bar says.
    #[serde(rename = "taken")]
    Accepted,
    /// A launch is out, or was in doubt to be.
    #[serde(rename = "out")]
    Launched {
        #[serde(with = "texts::ServerText")]
        server: ServerId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
    },
    Stands {
        #[serde(with = "texts::ServerText")]
        server: ServerId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
    },
    /// It has had its answer and does not stand, or stands no more.
    #[serde(rename = "over")]
    Ended,
}

/// What one owner wrote of a dialogue last. Versions of an owner go up by one. Times are spans from now.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OwnerRecord {
    pub owner: Owner,
    pub version: u32,
    #[serde(rename = "reached")]
    pub progress: Progress,
    /// For so long a launch of that owner may be out, or its lines may be taken: nothing may be launched.
    #[serde(with = "texts::micros")]
    #[serde(rename = "bar")]
    pub blocked_for: Duration,
    /// It is forgotten after so long.
    #[serde(with = "texts::micros")]
    #[serde(rename = "lasts")]
    pub expires_in: Duration,
}

/// A copy of a dialogue's state on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    #[serde(with = "texts::DialogueText")]
    pub dialogue: DialogueId,
    #[serde(rename = "parts")]
    pub owner_records: Vec<OwnerRecord>,
    /// Final answers that were written, and by whom.
    pub answers: Vec<RecordedAnswer>,
}

/// A final answer, as an owner wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordedAnswer {
    pub owner: Owner,
    pub answer: Answer,
}

/// The longest message of the membership protocol that a frame carries.
pub const MAX_MEMBERSHIP_MESSAGE: usize = 2048;

/// What members say to each other, after hello as [`crate::Role::Edge`] both ways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "peer", rename_all = "snake_case")]
pub enum PeerMessage {
    /// Who is here: the first word of both sides. `group` is a digest of all names and figures that must agree.
    #[serde(rename = "here")]
    Greeting {
        group: u64,
        member: u16,
        /// Zero while none is agreed.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The highest life of the other side that is known here, and how long ago that was last heard.
        #[serde(rename = "yours")]
        known_remote_incarnation: u64,
        /// The highest count of writes on disk that the other side has told.
        saved: u64,
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
        #[serde(rename = "away")]
        last_seen_ago: Option<Duration>,
    },
    /// Is this life new to you?
    #[serde(rename = "new_life")]
    ProposeIncarnation {
        #[serde(rename = "life")]
        incarnation: u64,
    },
    #[serde(rename = "life")]
    IncarnationReply {
        #[serde(rename = "life")]
        incarnation: u64,
        #[serde(rename = "given")]
        granted: bool,
        /// The highest one known of the asker.
        highest: u64,
    },
    /// A message of the membership protocol, in the bytes of the package that decides it; only between overlay neighbours.
    Membership {
        /// At most [`MAX_MEMBERSHIP_MESSAGE`] bytes.
        message: Vec<u8>,
    },
    /// Writes that the sender's disk has had: a disk that has had fewer later on is an older copy. Only between overlay neighbours.
    DiskCount { saved: u64 },
    /// Writes of the sender, consecutive from this number of its stream to the other side; 0: outside the stream.
    #[serde(rename = "copies")]
    Replicas {
        #[serde(rename = "life")]
        incarnation: u64,
        first: u64,
        #[serde(rename = "copies")]
        replicas: Vec<ReplicaUpdate>,
    },
    /// All writes of that life up to this number are kept, but those of dialogues that have a higher owner now.
    #[serde(rename = "kept")]
    Acknowledge {
        #[serde(rename = "life")]
        incarnation: u64,
        up_to: u64,
        /// As in [`Peer::DiskCount`], this one counted.
        saved: u64,
        replaced: Vec<Replaced>,
    },
    /// What is had of the other side's stream; where that is too little, it goes on with a snapshot from here.
    Resume {
        #[serde(rename = "life")]
        incarnation: u64,
        #[serde(rename = "have")]
        received_up_to: u64,
        snapshot: Option<Cursor>,
    },
    /// A piece of a snapshot of all that the sender owns and the other side is to hold.
    #[serde(rename = "piece")]
    SnapshotChunk {
        #[serde(rename = "life")]
        incarnation: u64,
        cursor: Cursor,
        /// Where the next piece begins; none: this was the last.
        next: Option<u64>,
        #[serde(rename = "copies")]
        replicas: Vec<ReplicaUpdate>,
    },
    /// What is known of a dialogue? The asker owns it from now on unless someone higher does; who owned it lets go.
    Ask {
        serial: u64,
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        owner: Owner,
    },
    #[serde(rename = "know")]
    AskReply {
        serial: u64,
        /// It would know, if it was told.
        #[serde(rename = "sure")]
        is_authoritative: bool,
        /// Someone higher owns it.
        higher: Option<Owner>,
        #[serde(rename = "copy")]
        replica: Option<ReplicaUpdate>,
    },
    /// Digests of what both are to hold, of `sums.len()` ranges from this one on at this level.
    #[serde(rename = "sums")]
    RangeDigests {
        level: u8,
        from: u32,
        #[serde(rename = "sums")]
        digests: Vec<u64>,
    },
    /// What is held in a range: the hash of each id and the digest of what is held.
    #[serde(rename = "prints")]
    DialogueDigests {
        range: u32,
        #[serde(rename = "prints")]
        fingerprints: Vec<(u64, u64)>,
    },
    /// These, by the hashes of their ids, are wanted.
    #[serde(rename = "want")]
    RequestReplicas {
        #[serde(rename = "ids")]
        id_hashes: Vec<u64>,
    },
    /// An operator asks; answered by texts.
    Inquire {
        #[serde(rename = "what")]
        query: Arc<str>,
    },
    #[serde(rename = "tell")]
    InquireReply { more: bool, text: String },
    /// A word about who holds which duty, in the bytes of the package that decides it.
    Duties {
        #[serde(rename = "word")]
        message: Vec<u8>,
    },
    /// An act of the duty `circuits`: look whether all that this core server holds of yours is held by you.
    #[serde(rename = "check")]
    CheckLines {
        #[serde(rename = "act")]
        action: DutyAction,
        #[serde(with = "texts::ServerText")]
        server: ServerId,
    },
    /// An act of the duty `publish`: this order about number tables is to be carried out.
    Publish {
        #[serde(rename = "act")]
        action: DutyAction,
        serial: u64,
        order: TablesOrder,
    },
    /// What came of it; none: it is done.
    Published { serial: u64, why: Option<Arc<str>> },
    /// An operator wants this generation of number tables in force on all members; said to whoever holds the duty.
    #[serde(rename = "wanted")]
    PublishRequest { name: Arc<str> },
    /// An act was refused: its number is lower than this one, which was seen.
    Fenced { duty: u16, highest: u64 },
}

/// Under which number a duty's act is done, and by whom: receivers refuse what is lower than the highest that they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyAction {
    pub duty: u16,
    #[serde(rename = "number")]
    pub fencing_token: u64,
    pub member: u16,
    #[serde(rename = "life")]
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replaced {
    #[serde(with = "texts::DialogueText")]
    pub dialogue: DialogueId,
    pub by: Owner,
}

/// Where a snapshot stands: it began when the stream had this number, and goes on from this hash of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    pub at: u64,
    pub from: u64,
}

/// A line in use, as its core server knows whose it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldLine {
    #[serde(with = "texts::DialogueText")]
    pub dialogue: DialogueId,
    #[serde(with = "texts::LaunchText")]
    pub launch: LaunchNumber,
    pub owner: Owner,
}

/// What is said between a member and a core server about whose a dialogue is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "audit", rename_all = "snake_case")]
pub enum AuditMessage {
    /// What stands there of this member's lives up to this one? `life` 0: of all members.
    #[serde(rename = "what")]
    ListLines {
        serial: u64,
        member: u16,
        #[serde(rename = "life")]
        incarnation: u64,
        /// Those behind this one, in the order of ids.
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_dialogue")]
        after: Option<DialogueId>,
    },
    #[serde(rename = "holds")]
    Lines { serial: u64, more: bool, lines: Vec<HeldLine> },
    /// The dialogue is this owner's from now on, whatever stands of it comes to this link; what is out of it is ended.
    Adopt {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        owner: Owner,
        /// It is a duty's act.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "act")]
        action: Option<DutyAction>,
    },
    Adopted {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        owner: Owner,
        /// What stands of it, if anything does and is the asker's now.
        launch: Option<u32>,
        /// Who owns it as far as is known there: someone higher, if not the asker.
        by: Owner,
    },
    /// What stood for the other side on this link is another's now.
    Moved {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
        by: Owner,
    },
    /// An act was refused: its number is lower than this one, which was seen.
    Fenced {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        duty: u16,
        highest: u64,
    },
}

impl PeerMessage {
    pub fn dialogue(&self) -> Option<&DialogueId> {
        match self {
            Self::Ask { dialogue, .. } => Some(dialogue),
            _ => None,
        }
    }
}

impl AuditMessage {
    pub fn dialogue(&self) -> Option<&DialogueId> {
        match self {
            Self::Adopt { dialogue, .. }
            | Self::Adopted { dialogue, .. }
            | Self::Moved { dialogue, .. }
            | Self::Fenced { dialogue, .. } => Some(dialogue),
            Self::ListLines { .. } | Self::Lines { .. } => None,
        }
    }
}
