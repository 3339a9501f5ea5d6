//! What is said on a trunk link, by whom to whom.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{
    DialledKey, DialogueId, LaunchNumber, LoadReport, ServerId, ServerNumber, ServerState,
};
use serde::{Deserialize, Serialize};

use crate::member::{AuditMessage, Owner, PeerMessage};
use crate::texts;

/// A frame and the optional fields that came with it and are unknown here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    #[serde(flatten)]
    pub frame: Frame,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub extra: Vec<Extra>,
}

/// A field with a tag of 128 or more that this version does not know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Extra {
    pub tag: u8,
    pub value: Vec<u8>,
}

impl From<Frame> for Message {
    fn from(frame: Frame) -> Self {
        Self { frame, extra: Vec::new() }
    }
}

/// Who speaks at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    Caller,
    Edge,
    Core,
    List,
}

/// Why a dialogue was not taken; it gets no final answer, since it was never in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclineReason {
    /// The edge proxy holds as many as it may.
    Full,
    /// It has had its answer.
    Concluded,
    /// Its id is that of another caller's dialogue.
    NotYours,
    /// A product, tenant, width or time that the edge proxy does not know.
    Unknown,
    /// Its number cannot be analysed yet: no tables are in force.
    NotReady,
    /// It was dialled before, and not enough of those are reached who would know what came of it.
    Unsure,
}

/// How a core server turned a launch back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnBackCause {
    /// Too long a wait at its processor.
    Processor,
    /// No line free there.
    Lines,
    /// All lines of the dialled number are busy.
    NumberBusy,
    Fault,
}

/// How a dialogue that stood came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DialogueEnd {
    /// As its caller wished.
    Released,
    /// Cut: a line lost, a processor stopped, a link gone.
    Cut,
}

/// What is said. Times are spans: no machine's clock is compared with another's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum Frame {
    /// The first frame of each side of a link.
    Hello(Hello),
    /// Is the other end still there? Answered by the link, not by a processor.
    Ping {
        nonce: u64,
    },
    Pong {
        nonce: u64,
    },
    /// The last frame of a link that is closed on purpose.
    Bye {
        why: Arc<str>,
    },

    // Caller to edge proxy
    Dial(Dial),
    /// The caller gives this dialogue up, whether it stands or not.
    HangUp {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
    },

    // Edge proxy to caller: the three final answers ...
    Stands {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::ServerText")]
        server: ServerId,
    },
    Refused {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
        #[serde(rename = "come_back")]
        retry_after: Option<Duration>,
    },
    Failed {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
    },
    /// ... what was never taken ...
    Declined {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        why: DeclineReason,
        /// When it may be otherwise.
        #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
        #[serde(rename = "come_back")]
        retry_after: Option<Duration>,
    },
    /// ... and the end of one that stood, where the caller did not hang up.
    Over {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        end: DialogueEnd,
    },

    // Edge proxy to core server
    Launch(Launch),
    /// The launch is called off; it is answered if the answer is not under way already.
    Cancel {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
    },
    /// A dialogue that stands is over.
    Release {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
    },

    // Core server to edge proxy
    Stood {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
        #[serde(with = "texts::ReportText")]
        report: LoadReport,
    },
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
    /// A dialogue that stood is over, or a launch is called off.
    Ended {
        #[serde(with = "texts::DialogueText")]
        dialogue: DialogueId,
        #[serde(with = "texts::LaunchText")]
        launch: LaunchNumber,
        end: DialogueEnd,
        #[serde(with = "texts::ReportText")]
        report: LoadReport,
    },
    Report {
        #[serde(with = "texts::ReportText")]
        report: LoadReport,
    },

    // Pool list to edge proxy
    List {
        /// All that is listed; else what has changed.
        #[serde(rename = "whole")]
        is_complete: bool,
        entries: Vec<Entry>,
    },
    /// An order about the tables by which numbers are analysed. Serials go up; one is never used twice.
    Tables {
        serial: u64,
        order: TablesOrder,
    },

    // Edge proxy to pool list
    /// What came of an order; `in_force` is the serial of the swap that is in force.
    #[serde(rename = "tabled")]
    TablesResult {
        serial: u64,
        in_force: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        name: Option<Arc<str>>,
        /// Why it was not carried out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        why: Option<Arc<str>>,
    },

    /// Between members of a fleet.
    #[serde(rename = "peer")]
    PeerMessage(PeerMessage),
    /// Between a member of a fleet and a core server, about whose a dialogue is.
    #[serde(rename = "audit")]
    AuditMessage(AuditMessage),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TablesOrder {
    /// Read and check a generation, and keep it ready.
    Load { name: Arc<str> },
    /// It is in force after this time.
    Swap {
        name: Arc<str>,
        #[serde(with = "texts::micros")]
        after: Duration,
    },
    /// What was in force before that swap is in force again, if that swap is the last one. An edge proxy that started
    /// since then does not know what that was, and is told.
    Undo {
        of: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        to: Option<Arc<str>>,
    },
    /// A swap that waits for its time is dropped.
    Drop { of: u64 },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub version: u16,
    pub role: Role,
    pub name: Arc<str>,
    /// As in a dial.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
    pub sent_at: Option<Duration>,
}

impl Hello {
    /// In the version that this build speaks.
    pub fn new(role: Role, name: Arc<str>) -> Self {
        Self { version: crate::VERSION, role, name, sent_at: None }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dial {
    #[serde(with = "texts::DialogueText")]
    pub dialogue: DialogueId,
    /// Stands for what was dialled.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_key")]
    pub key: Option<DialledKey>,
    pub product: u16,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<u16>,
    #[serde(with = "texts::NumberText")]
    pub first_choice: ServerNumber,
    /// Lines that it takes.
    pub width: f64,
    /// Until the caller gives this try up.
    #[serde(with = "texts::micros")]
    pub time_left: Duration,
    /// The caller has dialled before ...
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// ... and stood, and was cut.
    #[serde(rename = "came_back")]
    pub redialled_after_cut: bool,
    /// This very dialogue was dialled before, here or at another edge proxy, and what came of it is not known.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "repeat")]
    pub is_repeat: bool,
    /// When the caller said this, by any clock of its own that only goes forward: the slowest dials of a link are
    /// told from the fastest by it, and what they lost on the way is not counted as time left.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_micros")]
    pub sent_at: Option<Duration>,
    /// The dialogue that was its first try.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "texts::maybe_dialogue")]
    pub try_of: Option<DialogueId>,
    /// As it was dialled. Where it is there, the number decides what can take the dialogue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dialled: Option<Arc<str>>,
}

impl Dial {
    /// Shares between trunk groups go by it: the same for all tries of a caller.
    pub fn sharing_hash(&self) -> u64 {
        let own = self.try_of.as_ref().unwrap_or(&self.dialogue);
        let text = self.key.as_ref().map_or(&own.0, |key| &key.0);
        // FNV-1a: whoever judges must come to the same.
        text.bytes()
            .fold(0xcbf2_9ce4_8422_2325, |lot, byte| (lot ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
    }
}

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
    /// Until the edge proxy takes it as timed out.
    #[serde(with = "texts::micros")]
    pub time_left: Duration,
    /// The number that analysis came to ...
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<Arc<str>>,
    /// ... and where it has moved to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routing: Option<Arc<str>>,
    /// Whose dialogue it is, where edge proxies act as a fleet: then what stands outlasts its link.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Owner>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    #[serde(with = "texts::ServerText")]
    pub server: ServerId,
    #[serde(with = "texts::NumberText")]
    pub number: ServerNumber,
    /// Where it is reached: an address and port.
    pub address: Arc<str>,
    #[serde(with = "listed_text")]
    #[serde(rename = "listed")]
    pub state: ServerState,
    /// Which of its lives this is; another one is a start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How long ago that life began; zero: long ago.
    #[serde(with = "texts::micros")]
    pub age: Duration,
}

mod listed_text {
    use super::*;

    #[derive(Serialize, Deserialize)]
    #[serde(remote = "ServerState")]
    enum ServerStateText {
        Active,
        #[serde(rename = "Leaving")]
        Draining,
        Gone,
    }

    pub fn serialize<S: serde::Serializer>(listed: &ServerState, out: S) -> Result<S::Ok, S::Error> {
        ServerStateText::serialize(listed, out)
    }

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(input: D) -> Result<ServerState, D::Error> {
        ServerStateText::deserialize(input)
    }
}

impl Frame {
    /// The dialogue that it speaks of, if one.
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
            PeerMessage(peer) => peer.dialogue(),
            AuditMessage(audit) => audit.dialogue(),
        }
    }
}
