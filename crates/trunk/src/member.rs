//! Messages between members of a fleet, and between members and core servers about the ownership of dialogues. They
//! are used only where the configuration defines a fleet; callers and pool lists send none of them.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use serde::{Deserialize, Serialize};

use crate::frame::TablesOrder;
use crate::texts;

/// The writer of a dialogue's state: a member of the fleet, by its index in the group, in one of its incarnations. Each
/// change of owner increases the round; of two owners of the same round the greater one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Increases with each change of owner.
    pub round: u32,
    /// Index of the member in the group.
    pub member: u16,
    /// Incarnation of that member.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A final answer to a caller, sent or about to be sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The dialogue stands at this core server.
    Stands {
        #[serde(with = "texts::ServerText")]
        server: ServerId,
    },
    /// The dialogue is refused. Verdict texts of the judge contain the name `come_back`, since they print answers in
    /// their debug form.
    Refused {
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
        come_back: Option<Duration>,
    },
    /// The dialogue could not be set up.
    Failed,
}

/// The progress of a dialogue, as recorded by one owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// No launch is in progress, and none is unresolved beyond the time in `blocked_for`.
    #[serde(rename = "taken")]
    Accepted,
    /// A launch is in progress, or its outcome is unknown.
    #[serde(rename = "out")]
    Launched {
        #[serde(with = "texts::ServerText")]
        server: ServerId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
    },
    /// The dialogue stands.
    Stands {
        #[serde(with = "texts::ServerText")]
        server: ServerId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
    },
    /// The dialogue has had its final answer and does not stand, or no longer stands.
    #[serde(rename = "over")]
    Ended,
}

/// The last state of a dialogue that one owner wrote. Each write of an owner increases the version by one. Times are
/// durations from now.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OwnerRecord {
    pub owner: Owner,
    pub version: u32,
    #[serde(rename = "reached")]
    pub progress: Progress,
    /// For this time a launch of that owner may be in progress or hold lines, so that no other launch is allowed.
    #[serde(with = "texts::micros")]
    #[serde(rename = "bar")]
    pub blocked_for: Duration,
    /// Time until the record expires.
    #[serde(with = "texts::micros")]
    #[serde(rename = "lasts")]
    pub expires_in: Duration,
}

/// A replica of a dialogue's state, as sent to another member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    #[serde(with = "texts::DialogueText")]
    pub dialogue: DialogueId,
    #[serde(rename = "parts")]
    pub owner_records: Vec<OwnerRecord>,
    /// The final answers recorded so far, with their owners.
    pub answers: Vec<RecordedAnswer>,
}

/// A final answer and the owner that recorded it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordedAnswer {
    pub owner: Owner,
    pub answer: Answer,
}

/// Maximum bytes of a membership protocol message in a frame.
pub const MAX_MEMBERSHIP_MESSAGE: usize = 2048;

/// Messages between members, after both sides have sent a hello as [`crate::Role::Edge`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "peer", rename_all = "snake_case")]
pub enum PeerMessage {
    /// The first message of both sides. `group` is a digest of all names and figures on which members must agree.
    #[serde(rename = "here")]
    Greeting {
        group: u64,
        member: u16,
        /// Zero until an incarnation is agreed.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The highest known incarnation of the receiver; `last_seen_ago` is the time since it was last seen.
        #[serde(rename = "yours")]
        known_remote_incarnation: u64,
        /// The highest disk write count that the receiver has reported.
        saved: u64,
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
        #[serde(rename = "away")]
        last_seen_ago: Option<Duration>,
    },
    /// Asks whether this incarnation is new to the receiver.
    #[serde(rename = "new_life")]
    ProposeIncarnation {
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// Grants or rejects a proposed incarnation.
    #[serde(rename = "life")]
    IncarnationReply {
        #[serde(rename = "life")]
        incarnation: u64,
        #[serde(rename = "given")]
        granted: bool,
        /// The highest known incarnation of the asker.
        highest: u64,
    },
    /// A membership protocol message, encoded by the package that implements it; only between overlay neighbours.
    Membership {
        /// At most [`MAX_MEMBERSHIP_MESSAGE`] bytes.
        message: Vec<u8>,
    },
    /// The number of writes to the sender's disk. A disk that later reports fewer is an older copy. Sent only between
    /// overlay neighbours.
    DiskCount { saved: u64 },
    /// Writes of the sender, numbered consecutively from `first` in its stream to the receiver; 0 means outside the
    /// stream.
    #[serde(rename = "copies")]
    Replicas {
        #[serde(rename = "life")]
        incarnation: u64,
        first: u64,
        #[serde(rename = "copies")]
        replicas: Vec<ReplicaUpdate>,
    },
    /// All writes of that incarnation up to this number are stored, except for dialogues that now have a higher owner.
    #[serde(rename = "kept")]
    Acknowledge {
        #[serde(rename = "life")]
        incarnation: u64,
        up_to: u64,
        /// As in [`PeerMessage::DiskCount`], including this write.
        saved: u64,
        replaced: Vec<Replaced>,
    },
    /// How much of the receiver's stream the sender has. If the stream no longer reaches back that far, the receiver
    /// continues with a snapshot from this cursor.
    Resume {
        #[serde(rename = "life")]
        incarnation: u64,
        #[serde(rename = "have")]
        received_up_to: u64,
        snapshot: Option<Cursor>,
    },
    /// A chunk of a snapshot of all dialogues that the sender owns and the receiver replicates.
    #[serde(rename = "piece")]
    SnapshotChunk {
        #[serde(rename = "life")]
        incarnation: u64,
        cursor: Cursor,
        /// Where the next chunk begins; absent in the last one.
        next: Option<u64>,
        #[serde(rename = "copies")]
        replicas: Vec<ReplicaUpdate>,
    },
    /// Asks for the state of a dialogue. The asker becomes its owner unless a higher owner is known; the previous owner
    /// releases it.
    Ask {
        serial: u64,
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        owner: Owner,
    },
    /// The answer to `Ask`.
    #[serde(rename = "know")]
    AskReply {
        serial: u64,
        /// Whether the sender would have the dialogue's state if any was sent to it.
        #[serde(rename = "sure")]
        is_authoritative: bool,
        /// The owner known to the sender, if it takes precedence over the asker.
        higher: Option<Owner>,
        #[serde(rename = "copy")]
        replica: Option<ReplicaUpdate>,
    },
    /// Digests of the replicas that both sides should hold, for `digests.len()` ranges from `from` on at this level.
    #[serde(rename = "sums")]
    RangeDigests {
        level: u8,
        from: u32,
        #[serde(rename = "sums")]
        digests: Vec<u64>,
    },
    /// The replicas held in a range: the hash of each dialogue's id and the fingerprint of its state.
    #[serde(rename = "prints")]
    DialogueDigests {
        range: u32,
        #[serde(rename = "prints")]
        fingerprints: Vec<(u64, u64)>,
    },
    /// Requests the replicas of dialogues by the hashes of their ids.
    #[serde(rename = "want")]
    RequestReplicas {
        #[serde(rename = "ids")]
        id_hashes: Vec<u64>,
    },
    /// An operator's query, answered by `InquireReply`.
    Inquire {
        #[serde(rename = "what")]
        query: Arc<str>,
    },
    /// One part of the answer to `Inquire`; `more` means that further parts follow.
    #[serde(rename = "tell")]
    InquireReply { more: bool, text: String },
    /// A message about the assignment of duties, encoded by the package that implements it.
    Duties {
        #[serde(rename = "word")]
        message: Vec<u8>,
    },
    /// An action of the duty `circuits`: check that the receiver holds every dialogue for which this core server holds a
    /// line of the receiver's.
    #[serde(rename = "check")]
    CheckLines {
        #[serde(rename = "act")]
        action: DutyAction,
        #[serde(with = "texts::ServerText")]
        server: ServerId,
    },
    /// An action of the duty `publish`: carry out this order about number tables.
    Publish {
        #[serde(rename = "act")]
        action: DutyAction,
        serial: u64,
        order: TablesOrder,
    },
    /// The result of a published order; `why` is absent on success.
    Published { serial: u64, why: Option<Arc<str>> },
    /// An operator's request to put this generation of number tables in force on all members, sent to the holder of the
    /// duty.
    #[serde(rename = "wanted")]
    PublishRequest { name: Arc<str> },
    /// An action was refused because its fencing token is lower than the highest one seen.
    Fenced { duty: u16, highest: u64 },
}

/// The fencing token and the member under which an action of a duty is carried out. Receivers refuse a token that is
/// lower than the highest that they have seen for the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyAction {
    pub duty: u16,
    #[serde(rename = "number")]
    pub fencing_token: u64,
    pub member: u16,
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A dialogue that has a higher owner than the acknowledged write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replaced {
    #[serde(with = "texts::DialogueText")]
    pub dialogue: DialogueId,
    pub by: Owner,
}

/// The position of a snapshot: it began when the stream was at number `at` and continues from the id hash `from`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    pub at: u64,
    pub from: u64,
}

/// A line in use and its owner, as known to its core server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldLine {
    #[serde(with = "texts::DialogueText")]
    pub dialogue: DialogueId,
    #[serde(with = "texts::LaunchText")]
    pub launch: LaunchNumber,
    pub owner: Owner,
}

/// Messages between a member and a core server about the ownership of dialogues.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "audit", rename_all = "snake_case")]
pub enum AuditMessage {
    /// Asks for the lines held for this member's incarnations up to this one; `incarnation` 0 means all members.
    #[serde(rename = "what")]
    ListLines {
        serial: u64,
        member: u16,
        #[serde(rename = "life")]
        incarnation: u64,
        /// Only lines of dialogues after this one, in the order of ids.
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_dialogue")]
        after: Option<DialogueId>,
    },
    /// One part of the answer to `ListLines`; `more` means that further lines follow.
    #[serde(rename = "holds")]
    Lines { serial: u64, more: bool, lines: Vec<HeldLine> },
    /// Makes this owner the owner of the dialogue: a launch of it that stands moves to this link, and one that does not
    /// stand yet is ended.
    Adopt {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        owner: Owner,
        /// Set if the adoption is an action of a duty.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "act")]
        action: Option<DutyAction>,
    },
    /// The answer to `Adopt`.
    Adopted {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        owner: Owner,
        /// The launch that stands and now belongs to the asker, if any.
        launch: Option<u32>,
        /// The owner known to the core server: the asker, or the owner that takes precedence over it.
        by: Owner,
    },
    /// A dialogue that stood for the receiver on this link now belongs to another owner.
    Moved {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
        by: Owner,
    },
    /// An action was refused because its fencing token is lower than the highest one seen.
    Fenced {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        duty: u16,
        highest: u64,
    },
}

impl PeerMessage {
    /// The dialogue that the message concerns, if any.
    pub fn dialogue(&self) -> Option<&DialogueId> {
        match self {
            Self::Ask { dialogue, .. } => Some(dialogue),
            _ => None,
        }
    }
}

impl AuditMessage {
    /// The dialogue that the message concerns, if any.
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
