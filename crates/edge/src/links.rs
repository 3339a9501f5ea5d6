//! What is known of each link, and of the core servers behind them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, ServerId, ServerState};

use crate::LinkId;

pub enum Peer {
    /// Accepted, and has not said hello.
    Unidentified,
    Caller(Arc<str>),
    Core(ServerId),
    List,
}

pub struct Link {
    pub peer: Peer,
    /// It is up and the other side has said hello.
    pub handshake_done: bool,
    /// The shell vouches for it: no hello, no pings, never swept for silence.
    pub trusted: bool,
    /// When it was begun.
    pub opened_at: Duration,
    pub last_received: Duration,
    pub ping_sent: bool,
    pub delay: TransitDelay,
    /// Dialogues that came or went over it and are still held.
    pub dialogues: BTreeSet<DialogueId>,
}

impl Link {
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

/// How much longer than the minimum a message of a link was on its way, by the sender's clock and this one. A
/// reader that stood still, a link that trickles and a peer that could not write show alike.
#[derive(Default)]
pub struct TransitDelay {
    /// This clock less the sender's, at the quickest message, in microseconds; and when that was last seen to.
    minimum: Option<(i64, Duration)>,
}

impl TransitDelay {
    /// Clocks drift offset by less than this, in parts of a million.
    const MAX_DRIFT_PPM: u64 = 500;

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

/// A core server as the list names it.
pub struct CoreServer {
    pub address: Arc<str>,
    pub state: ServerState,
    /// Which life of it is known, and since when that runs on this clock: it is told as an age, which wavers
    /// with the list's delay, and a start must not seem to be another one for that.
    pub incarnation: u64,
    pub started: Duration,
    /// The link for new launches.
    pub link: Option<LinkId>,
    /// Launches that wait for that link to come up.
    pub queued_launches: Vec<DialogueId>,
}
