//! The frames of a trunk link, grouped by sender and receiver.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{
    DialledKey, DialogueId, LaunchNumber, LoadReport, ServerId, ServerNumber, ServerState,
};
use serde::{Deserialize, Serialize};

use crate::member::{AuditMessage, Owner, PeerMessage};
use crate::texts;

/// A frame with the optional fields that were received with it and that this version does not know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The frame with its known fields.
    #[serde(flatten)]
    pub frame: Frame,
    /// The unknown optional fields, in the order received.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub extra: Vec<Extra>,
}

/// An optional field (tag 128 or higher) that this version does not know; it is forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Extra {
    /// The field's tag.
    pub tag: u8,
    /// The field's value as received.
    pub value: Vec<u8>,
}

impl From<Frame> for Message {
    fn from(frame: Frame) -> Self {
        Self { frame, extra: Vec::new() }
    }
}

/// The kind of peer at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// A caller.
    Caller,
    /// An edge proxy.
    Edge,
    /// A core server.
    Core,
    /// A pool list.
    List,
}

/// Why an edge proxy did not accept a dialogue. A declined dialogue gets no final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclineReason {
    /// The edge proxy holds its maximum number of dialogues.
    Full,
    /// The dialogue has already had its final answer.
    Concluded,
    /// Its id belongs to another caller's dialogue.
    NotYours,
    /// A product, tenant, width or time that the edge proxy does not accept.
    Unknown,
    /// Its number cannot be analysed yet, because no number tables are in force.
    NotReady,
    /// It was dialled before, and too few of the members that would know its outcome can be reached.
    Unsure,
}

/// Why a core server turned a launch back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnBackCause {
    /// The wait for its processor is too long.
    Processor,
    /// It has no free line.
    Lines,
    /// All lines of the dialled number are busy.
    NumberBusy,
    /// An internal fault.
    Fault,
}

/// How a dialogue that stood ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DialogueEnd {
    /// Released by its caller.
    Released,
    /// Cut by the loss of a line, a stopped processor or a closed link.
    Cut,
}

/// A frame of the trunk protocol. Times are durations, since the clocks of two machines are never compared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum Frame {
    /// The first frame that each side sends.
    Hello(Hello),
    /// Checks that the peer responds. The link answers it, not a core server's processor.
    Ping { nonce: u64 },
    /// The answer to `Ping`, with its nonce.
    Pong { nonce: u64 },
    /// The last frame before a link is closed deliberately.
    Bye { why: Arc<str> },

    // Caller to edge proxy
    /// Requests a dialogue.
    Dial(Dial),
    /// The caller abandons this dialogue, whether or not it stands.
    HangUp {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
    },

    // Edge proxy to caller: the three final answers (`Stands`, `Refused`, `Failed`), `Declined` and `Over`
    /// Final answer: the dialogue stands at this core server.
    Stands {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::ServerText")]
        server: ServerId,
    },
    /// Final answer: the dialogue is refused; the caller may retry after `retry_after`.
    Refused {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
        #[serde(rename = "come_back")]
        retry_after: Option<Duration>,
    },
    /// Final answer: the dialogue could not be set up.
    Failed {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
    },
    /// The dialogue was not accepted; this is not a final answer.
    Declined {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        why: DeclineReason,
        /// When a new attempt may be accepted.
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
        #[serde(rename = "come_back")]
        retry_after: Option<Duration>,
    },
    /// The end of a dialogue that stood and that the caller did not hang up.
    Over {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        end: DialogueEnd,
    },

    // Edge proxy to core server
    /// Requests a set-up.
    Launch(Launch),
    /// Cancels a launch. The core server answers with `Ended` unless another answer was already sent.
    Cancel {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
    },
    /// Releases a dialogue that stands.
    Release {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
    },

    // Core server to edge proxy
    /// The launch succeeded.
    Stood {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
        #[serde(with = "texts::ReportText")]
        report: LoadReport,
    },
    /// The launch was turned back.
    TurnedBack {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
        cause: TurnBackCause,
        #[serde(with = "texts::ReportText")]
        report: LoadReport,
    },
    /// The launch was broken off before it stood.
    BrokenOff {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
        #[serde(with = "texts::ReportText")]
        report: LoadReport,
    },
    /// A dialogue that stood has ended, or a launch was cancelled.
    Ended {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
        end: DialogueEnd,
        #[serde(with = "texts::ReportText")]
        report: LoadReport,
    },
    /// A load report that is not part of an answer.
    Report {
        #[serde(with = "texts::ReportText")]
        report: LoadReport,
    },

    // Pool list to edge proxy
    /// The listed core servers.
    List {
        /// Whether `entries` is the complete list; otherwise it holds only the changes.
        #[serde(rename = "whole")]
        is_complete: bool,
        entries: Vec<Entry>,
    },
    /// An order about the number tables. Serials increase and are never reused.
    Tables { serial: u64, order: TablesOrder },

    // Edge proxy to pool list
    /// The result of an order; `in_force` is the serial of the swap that is in force.
    #[serde(rename = "tabled")]
    TablesResult {
        serial: u64,
        in_force: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        name: Option<Arc<str>>,
        /// Why the order was not carried out; absent on success.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        why: Option<Arc<str>>,
    },

    /// A message between members of a fleet.
    #[serde(rename = "peer")]
    PeerMessage(PeerMessage),
    /// A message between a member of a fleet and a core server about the ownership of dialogues.
    #[serde(rename = "audit")]
    AuditMessage(AuditMessage),
}

/// An order about a generation of number tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TablesOrder {
    /// Read and check a generation and hold it ready.
    Load { name: Arc<str> },
    /// Put a generation in force after this delay.
    Swap {
        name: Arc<str>,
        #[serde(with = "texts::micros")]
        after: Duration,
    },
    /// Undo the swap with serial `of`, if it is the last one. `to` names the generation that was in force before, for
    /// edge proxies that started after that swap.
    Undo {
        of: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        to: Option<Arc<str>>,
    },
    /// Drop a swap whose delay has not yet passed.
    Drop { of: u64 },
}

/// Identifies the sender of a link's first frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub version: u16,
    pub role: Role,
    pub name: Arc<str>,
    /// Sender's clock, as in [`Dial::sent_at`].
    #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
    pub sent_at: Option<Duration>,
}

impl Hello {
    /// A greeting with this build's protocol version.
    pub fn new(role: Role, name: Arc<str>) -> Self {
        Self { version: crate::VERSION, role, name, sent_at: None }
    }
}

/// A caller's request for a dialogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dial {
    #[serde(with = "texts::DialogueText")]
    pub dialogue: DialogueId,
    /// Opaque key of the dialled destination.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_key")]
    pub key: Option<DialledKey>,
    pub product: u16,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<u16>,
    #[serde(with = "texts::NumberText")]
    pub first_choice: ServerNumber,
    /// Number of lines that the dialogue occupies.
    pub width: f64,
    /// Time until the caller gives this attempt up.
    #[serde(with = "texts::micros")]
    pub time_left: Duration,
    /// Whether the caller has dialled before.
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// Whether the caller dials again because an earlier dialogue that stood was cut.
    #[serde(rename = "came_back")]
    pub redialled_after_cut: bool,
    /// Whether this same dialogue was dialled before, at this or another edge proxy, with unknown outcome.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "repeat")]
    pub is_repeat: bool,
    /// When the caller sent the frame, by any monotonic clock of its own. The edge proxy compares the delays of a
    /// link's dials and subtracts the time lost in transit from the time left.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
    pub sent_at: Option<Duration>,
    /// The dialogue of the caller's first attempt, if this one is a retry.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_dialogue")]
    pub try_of: Option<DialogueId>,
    /// The number as dialled. If present, it decides which core servers can take the dialogue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dialled: Option<Arc<str>>,
}

impl Dial {
    /// Hash by which dialogues are shared between trunk groups; equal for all attempts of a caller.
    pub fn sharing_hash(&self) -> u64 {
        let first = self.try_of.as_ref().unwrap_or(&self.dialogue);
        let text = self.key.as_ref().map_or(&first.0, |key| &key.0);
        // FNV-1a: the judge of traffic records has to compute the same value.
        text.bytes()
            .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
    }
}

/// An edge proxy's request for a set-up at a core server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Launch {
    #[serde(with = "texts::DialogueText")]
    pub dialogue: DialogueId,
    #[serde(with = "texts::LaunchText")]
    pub launch: LaunchNumber,
    #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_key")]
    pub key: Option<DialledKey>,
    pub product: u16,
    pub width: f64,
    /// Time until the edge proxy treats the launch as timed out.
    #[serde(with = "texts::micros")]
    pub time_left: Duration,
    /// The number that results from number analysis.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<Arc<str>>,
    /// The routing number, if `number` has been ported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routing: Option<Arc<str>>,
    /// The dialogue's owner, if the edge proxies form a fleet: a dialogue that stands then survives its link.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Owner>,
}

/// A core server in the pool list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    #[serde(with = "texts::ServerText")]
    pub server: ServerId,
    #[serde(with = "texts::NumberText")]
    pub number: ServerNumber,
    /// Its address and port.
    pub address: Arc<str>,
    #[serde(with = "server_state_text")]
    #[serde(rename = "listed")]
    pub state: ServerState,
    /// The core server's incarnation; a new value means that it has restarted.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time since that incarnation began; zero means a long time.
    #[serde(with = "texts::micros")]
    pub age: Duration,
}

mod server_state_text {
    use super::*;

    #[derive(Serialize, Deserialize)]
    #[serde(remote = "ServerState")]
    enum ServerStateText {
        Active,
        #[serde(rename = "Leaving")]
        Draining,
        Gone,
    }

    pub fn serialize<S: serde::Serializer>(state: &ServerState, out: S) -> Result<S::Ok, S::Error> {
        ServerStateText::serialize(state, out)
    }

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(input: D) -> Result<ServerState, D::Error> {
        ServerStateText::deserialize(input)
    }
}

impl Frame {
    /// The dialogue that the frame concerns, if any.
    pub fn dialogue(&self) -> Option<&DialogueId> {
        use Frame::*;
        match self {
            Dial(dial) => Some(&dial.dialogue),
            Launch(launch) => Some(&launch.dialogue),
            HangUp { dialogue }
            | Stands { dialogue, .. }
            | Refused { dialogue, .. }
            | Failed { dialogue }
            | Declined { dialogue, .. }
            | Over { dialogue, .. }
            | Cancel { dialogue, .. }
            | Release { dialogue, .. }
            | Stood { dialogue, .. }
            | TurnedBack { dialogue, .. }
            | BrokenOff { dialogue, .. }
            | Ended { dialogue, .. } => Some(dialogue),
            Hello(_) | Ping { .. } | Pong { .. } | Bye { .. } | Report { .. } | List { .. } => None,
            Tables { .. } | TablesResult { .. } => None,
            PeerMessage(message) => message.dialogue(),
            AuditMessage(message) => message.dialogue(),
        }
    }
}
