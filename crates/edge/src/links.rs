//! State of the links and of the core servers behind them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, ServerId, ServerState};

use crate::LinkId;

/// The other side of a link.
pub enum Peer {
    /// Accepted, and has not sent a hello.
    Unidentified,
    /// A caller, by the name in its hello.
    Caller(Arc<str>),
    /// A core server.
    Core(ServerId),
    /// The pool list.
    List,
}

/// A link and the state of its other side.
pub struct Link {
    /// The other side.
    pub peer: Peer,
    /// The link is connected and the other side has sent a hello.
    pub handshake_done: bool,
    /// The I/O driver guarantees the link: no hello or ping is needed, and it never times out.
    pub trusted: bool,
    /// Time at which the link was accepted or its connection begun.
    pub opened_at: Duration,
    /// Time of the last message received.
    pub last_received: Duration,
    /// A ping was sent since the last message.
    pub ping_sent: bool,
    /// Transit delay of messages received.
    pub delay: TransitDelay,
    /// Held dialogues that use this link.
    pub dialogues: BTreeSet<DialogueId>,
}

impl Link {
    /// Creates a link that has just been accepted or whose connection has just begun.
    pub fn new(peer: Peer, now: Duration) -> Self {
        Self {
            peer,
            handshake_done: false,
            trusted: false,
            opened_at: now,
            last_received: now,
            ping_sent: false,
            delay: TransitDelay::default(),
            dialogues: BTreeSet::new(),
        }
    }
}

/// Transit delay of the messages of a link, relative to the fastest message, by the sender's clock and the
/// local one. It includes every delay after `sent_at`: at the sender, on the link and before the local read.
#[derive(Default)]
pub struct TransitDelay {
    /// Local clock minus the sender's clock for the fastest message, in microseconds, and the time of its update.
    minimum: Option<(i64, Duration)>,
}

impl TransitDelay {
    /// Maximum drift between two clocks, in parts per million.
    const MAX_DRIFT_PPM: u64 = 500;

    /// Delay of a message sent at `sent_at` by the sender's clock; updates the minimum.
    pub fn measure(&mut self, now: Duration, sent_at: Duration) -> Duration {
        let offset = now.as_micros() as i64 - sent_at.as_micros() as i64;
        let minimum = self.minimum.map_or(offset, |(minimum, since)| {
            let drift =
                (now.saturating_sub(since).as_micros() as u64 * Self::MAX_DRIFT_PPM / 1_000_000) as i64;
            offset.min(minimum + drift)
        });
        self.minimum = Some((minimum, now));
        Duration::from_micros((offset - minimum) as u64)
    }
}

/// A core server as the pool list describes it.
pub struct CoreServer {
    /// Address to connect to.
    pub address: Arc<str>,
    /// State in the pool list.
    pub state: ServerState,
    /// Known incarnation.
    pub incarnation: u64,
    /// Start of that incarnation, on the local clock. The list sends it as an age, which varies with the list's delay;
    /// the start is stored once per incarnation, so that the variation does not look like another start.
    pub started: Duration,
    /// The link for new launches.
    pub link: Option<LinkId>,
    /// Dialogues whose launches wait for that link to open.
    pub queued_launches: Vec<DialogueId>,
}
