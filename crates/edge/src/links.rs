//! What is known of each link, and of the core servers behind them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, ServerId, ServerState};

use crate::LinkId;

pub enum Peer {
    /// Accepted, and has not said hello.
    Fresh,
    Caller(Arc<str>),
    Core(ServerId),
    List,
}

pub struct Link {
    pub kind: Peer,
    /// It is up and the other side has said hello.
    pub greeted: bool,
    /// The shell vouches for it: no hello, no pings, never swept for silence.
    pub vouched: bool,
    /// When it was begun.
    pub since: Duration,
    pub heard: Duration,
    pub asked: bool,
    pub delay: Delay,
    /// Dialogues that came or went over it and are still held.
    pub dialogues: BTreeSet<DialogueId>,
}

impl Link {
    pub fn new(kind: Peer, now: Duration) -> Self {
        Self {
            kind,
            greeted: false,
            vouched: false,
            since: now,
            heard: now,
            asked: false,
            delay: Delay::default(),
            dialogues: BTreeSet::new(),
        }
    }
}

/// How much longer than the quickest a message of a link was on its way, by the sender's clock and this one. A
/// reader that stood still, a link that trickles and a peer that could not write show alike.
#[derive(Default)]
pub struct Delay {
    /// This clock less the sender's, at the quickest message, in microseconds; and when that was last seen to.
    quickest: Option<(i64, Duration)>,
}

impl Delay {
    /// Clocks drift apart by less than this, in parts of a million.
    const DRIFT: u64 = 500;

    pub fn of(&mut self, now: Duration, sent_at: Duration) -> Duration {
        let apart = now.as_micros() as i64 - sent_at.as_micros() as i64;
        let quickest = self.quickest.map_or(apart, |(quickest, since)| {
            let drift = (now.saturating_sub(since).as_micros() as u64 * Self::DRIFT / 1_000_000) as i64;
            apart.min(quickest + drift)
        });
        self.quickest = Some((quickest, now));
        Duration::from_micros((apart - quickest) as u64)
    }
}

/// A core server as the list names it.
pub struct CoreServer {
    pub address: Arc<str>,
    pub listed: ServerState,
    /// Which life of it is known, and since when that runs on this clock: it is told as an age, which wavers
    /// with the list's delay, and a start must not seem to be another one for that.
    pub life: u64,
    pub since: Duration,
    /// The link for new launches.
    pub link: Option<LinkId>,
    /// Launches that wait for that link to come up.
    pub queued: Vec<DialogueId>,
}
