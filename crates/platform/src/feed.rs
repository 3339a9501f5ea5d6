//! The control feed: numbered changes to the list of core servers. The number of the last event applied is
//! stored, so that a repeated event is skipped and a missing one is detected, on whichever connection it arrives.

use std::time::Duration;

use lotussaddle::interface::ServerState;
use serde::Deserialize;

use crate::SocketId;
use crate::codec::{Framing, MessageSplitter};

/// A number is sent each second: a connection that has delivered a line counts as unresponsive if none follows for this
/// long. Also the time in which a connection must come up, and between attempts while the feed does not answer.
const FEED_TIMEOUT: Duration = Duration::from_millis(1600);
/// A request that was not answered for this long is given up, although a feed may be slow to answer.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(16);
/// Maximum number of connections while none has delivered a line.
const MAX_FEED_CONNECTIONS: usize = 2;
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

/// A connection to the feed.
struct FeedConnection {
    socket: SocketId,
    started_at: Duration,
    /// Whether it is established and the events have been requested.
    is_up: bool,
    /// When the last complete line was received.
    last_line_at: Option<Duration>,
    splitter: MessageSplitter,
}

/// The reader's state of the connections to the feed.
///
/// There is one connection once it has delivered a line. Until then the feed may be slow to answer: the request that
/// has waited longest is kept, and beside it a further connection is tried at intervals, in case the first is of no
/// use. Whichever delivers a line first is used.
pub struct Feed {
    last_event: u64,
    /// In the order in which they were started.
    connections: Vec<FeedConnection>,
    retry_at: Duration,
}

/// The feed must be requested again on a new connection; holds the reason.
#[derive(Debug, PartialEq)]
pub struct FeedError(pub &'static str);

impl Feed {
    /// `last_event` is the number of the last event known.
    pub fn new(last_event: u64) -> Self {
        Self { last_event, connections: Vec::new(), retry_at: Duration::ZERO }
    }

    /// Number of the last event applied.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Whether this is a connection to the feed.
    pub fn has_connection(&self, socket: SocketId) -> bool {
        self.connections.iter().any(|connection| connection.socket == socket)
    }

    /// A connection attempt has started.
    pub fn connect_started(&mut self, now: Duration, socket: SocketId) {
        self.connections.push(FeedConnection {
            socket,
            started_at: now,
            is_up: false,
            last_line_at: None,
            splitter: MessageSplitter::new(Framing::LinesUpTo(MAX_FEED_LINE_BYTES)),
        });
    }

    /// A connection is established. Returns the line that requests all later events.
    pub fn connection_up(&mut self, socket: SocketId) -> Vec<u8> {
        if let Some(connection) = self.connection_mut(socket) {
            connection.is_up = true;
        }
        format!("SUB {}\n", self.last_event).into_bytes()
    }

    /// A connection ended or did not come up. An incomplete line is discarded.
    pub fn connection_lost(&mut self, now: Duration, socket: SocketId) {
        self.connections.retain(|connection| connection.socket != socket);
        self.retry_at = now + FEED_RECONNECT_DELAY;
    }

    /// No connection could be started.
    pub fn connect_failed(&mut self, now: Duration) {
        self.retry_at = now + FEED_RECONNECT_DELAY;
    }

    /// Removes all connections, and returns them for closing: the feed has another address.
    pub fn take_connections(&mut self) -> Vec<SocketId> {
        std::mem::take(&mut self.connections).into_iter().map(|connection| connection.socket).collect()
    }

    /// Whether a connection is to be started now.
    pub fn wants_connection(&self, now: Duration) -> bool {
        let Some(newest) = self.connections.last() else { return now >= self.retry_at };
        let has_delivered = self.connections.iter().any(|connection| connection.last_line_at.is_some());
        !has_delivered
            && self.connections.len() < MAX_FEED_CONNECTIONS
            && now >= self.retry_at.max(newest.started_at + FEED_TIMEOUT)
    }

    /// When a connection counts as unresponsive unless a line is received on it before; `None` if there is no such
    /// connection.
    pub fn timeout_at(&self, socket: SocketId) -> Option<Duration> {
        let connection = self.connections.iter().find(|connection| connection.socket == socket)?;
        let is_waiting = |connection: &&FeedConnection| connection.is_up && connection.last_line_at.is_none();
        let longest_waiting = self.connections.iter().find(is_waiting).map(|waiting| waiting.socket);
        Some(match connection.last_line_at {
            Some(last_line_at) => last_line_at + FEED_TIMEOUT,
            None if longest_waiting == Some(socket) => connection.started_at + FIRST_LINE_TIMEOUT,
            None => connection.started_at + FEED_TIMEOUT,
        })
    }

    /// The connections that count as unresponsive.
    pub fn unresponsive(&self, now: Duration) -> Vec<SocketId> {
        let sockets = self.connections.iter().map(|connection| connection.socket);
        sockets
            .filter(|socket| self.timeout_at(*socket).is_some_and(|timeout_at| now >= timeout_at))
            .collect()
    }

    /// Handles received bytes; appends each new event once and in order. Returns the other connections, which are to
    /// be closed, if this one has delivered a line.
    pub fn receive(
        &mut self, now: Duration, socket: SocketId, bytes: &[u8], events: &mut Vec<Event>,
    ) -> Result<Vec<SocketId>, FeedError> {
        let mut last_event = self.last_event;
        let Some(connection) = self.connection_mut(socket) else { return Ok(Vec::new()) };
        let read = connection.read_lines(now, bytes, &mut last_event, events);
        let has_delivered = connection.last_line_at == Some(now);
        self.last_event = last_event;
        read?;
        if !has_delivered {
            return Ok(Vec::new());
        }
        let others = self.connections.extract_if(.., |connection| connection.socket != socket);
        Ok(others.map(|connection| connection.socket).collect())
    }

    fn connection_mut(&mut self, socket: SocketId) -> Option<&mut FeedConnection> {
        self.connections.iter_mut().find(|connection| connection.socket == socket)
    }
}

impl FeedConnection {
    /// Splits received bytes into lines; appends each event that follows `last_event`.
    fn read_lines(
        &mut self, now: Duration, bytes: &[u8], last_event: &mut u64, events: &mut Vec<Event>,
    ) -> Result<(), FeedError> {
        self.splitter.push(bytes);
        while let Some(line) = self.splitter.next_message().map_err(FeedError)? {
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            self.last_line_at = Some(now);
            if let Ok(number) = serde_json::from_slice::<u64>(line) {
                if number > *last_event {
                    return Err(FeedError("an event is missing"));
                }
                continue;
            }
            let event: Event =
                serde_json::from_slice(line).map_err(|_| FeedError("a line is not an event"))?;
            if event.n <= *last_event {
                continue; // A repeated event.
            }
            if event.n > *last_event + 1 {
                return Err(FeedError("an event is missing"));
            }
            *last_event = event.n;
            events.push(event);
        }
        Ok(())
    }
}
