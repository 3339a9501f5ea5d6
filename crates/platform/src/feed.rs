//! The control feed: numbered changes to the list of core servers. The number of the last event applied is
//! stored, so that a repeated event is skipped and a missing one is detected.

use std::time::Duration;

use lotussaddle::interface::ServerState;
use serde::Deserialize;

use crate::codec::{Framing, MessageSplitter};

/// A number is sent each second; the feed counts as unresponsive if nothing is received for this long.
const FEED_TIMEOUT: Duration = Duration::from_millis(1600);
/// Pause between two connection attempts.
const FEED_RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Maximum length of a line.
const MAX_FEED_LINE_BYTES: usize = 1 << 20;

/// The field `known` of the configuration file.
#[derive(Debug, Deserialize)]
pub struct KnownEvents {
    /// Number of the last event included.
    pub n: u64,
    /// Events up to that number.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// One event of the feed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Event {
    /// Its number; consecutive events have consecutive numbers.
    pub n: u64,
    /// The change to the list; `None` for events of other kinds.
    #[serde(default)]
    pub members: Option<Members>,
}

/// A change to the list of core servers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Members {
    /// Whether `hosts` is the complete list.
    #[serde(default)]
    pub whole: bool,
    /// The servers that changed.
    pub hosts: Vec<Host>,
}

/// A core server as the feed describes it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Host {
    /// Name of the server.
    pub host: String,
    /// Its address and port.
    pub dial: String,
    /// Its server number.
    pub block: i64,
    /// Its state.
    pub health: Health,
    /// Unix time in milliseconds at which it started, if it started after the others; otherwise zero.
    #[serde(default)]
    pub born_ms: f64,
}

/// State of a core server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub enum Health {
    /// It accepts set-ups.
    Ready,
    /// It is draining.
    Terminating,
    /// It no longer exists.
    Gone,
}

impl Health {
    /// The state as the edge's list expresses it.
    pub fn server_state(self) -> ServerState {
        match self {
            Self::Ready => ServerState::Active,
            Self::Terminating => ServerState::Draining,
            Self::Gone => ServerState::Gone,
        }
    }
}

/// The reader's state of the connection to the feed.
pub struct Feed {
    last_event: u64,
    splitter: MessageSplitter,
    last_received: Duration,
    retry_at: Duration,
}

/// The feed must be requested again on a new connection; holds the reason.
#[derive(Debug, PartialEq)]
pub struct FeedError(pub &'static str);

impl Feed {
    /// `last_event` is the number of the last event known.
    pub fn new(last_event: u64) -> Self {
        let splitter = MessageSplitter::new(Framing::LinesUpTo(MAX_FEED_LINE_BYTES));
        Self { last_event, splitter, last_received: Duration::ZERO, retry_at: Duration::ZERO }
    }

    /// Number of the last event applied.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// The connection ended or did not come up. An incomplete line is discarded.
    pub fn connection_lost(&mut self, now: Duration) {
        self.splitter = MessageSplitter::new(Framing::LinesUpTo(MAX_FEED_LINE_BYTES));
        self.retry_at = now + FEED_RECONNECT_DELAY;
    }

    /// When to try the next connection after a loss.
    pub fn retry_at(&self) -> Duration {
        self.retry_at
    }

    /// A connection attempt has started.
    pub fn connect_started(&mut self, now: Duration) {
        self.last_received = now;
    }

    /// The line that requests all later events.
    pub fn subscribe_line(&self) -> Vec<u8> {
        format!("SUB {}\n", self.last_event).into_bytes()
    }

    /// When the feed counts as unresponsive unless something is received before.
    pub fn timeout_at(&self) -> Duration {
        self.last_received + FEED_TIMEOUT
    }

    /// Handles received bytes; appends each new event once and in order.
    pub fn receive(&mut self, now: Duration, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), FeedError> {
        self.splitter.push(bytes);
        while let Some(line) = self.splitter.next_message().map_err(FeedError)? {
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            self.last_received = now;
            if let Ok(number) = serde_json::from_slice::<u64>(line) {
                if number > self.last_event {
                    return Err(FeedError("an event is missing"));
                }
                continue;
            }
            let event: Event =
                serde_json::from_slice(line).map_err(|_| FeedError("a line is not an event"))?;
            if event.n <= self.last_event {
                continue; // A repeated event.
            }
            if event.n > self.last_event + 1 {
                return Err(FeedError("an event is missing"));
            }
            self.last_event = event.n;
            events.push(event);
        }
        Ok(())
    }
}
