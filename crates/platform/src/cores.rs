//! Core servers: the connections to each incarnation, and the signs by which its end is detected.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::LaunchNumber;
use lotussaddle_edge::LinkId;

use crate::SocketId;
use crate::codec::{Framing, MessageSplitter, Tag};
use crate::liveness::Liveness;

/// Cancelled set-ups remembered for each connection, to distinguish an answer that crossed the cancellation
/// from one to an unknown set-up.
const MAX_REMEMBERED_CANCELLATIONS: usize = 64;

/// One incarnation of a core server, remembered while calls are held on it or the list names it.
pub struct Incarnation {
    /// The address by which the edge knows this incarnation.
    pub link_address: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Name of the server.
    pub host: Arc<str>,
    /// Connections that are up or being established.
    pub sockets: Vec<SocketId>,
    /// Releases that wait for a connection to come up.
    pub releases: Vec<Tag>,
    /// When bytes were last received from it, or a connection last came up.
    pub last_activity: Duration,
    /// When a complete message was last received from it.
    pub last_message: Duration,
    /// When the set-up was sent that was sent last of all that had an outcome.
    pub last_answered_sent_at: Option<Duration>,
    /// When a connection last came up. An end that the server sent before is sent again on that connection.
    pub last_up_at: Duration,
    /// When a connection was last started.
    pub last_connect_started: Duration,
    /// Earliest time to start the next connection without a launch that needs it.
    pub next_connect_at: Duration,
    /// Consecutive connection attempts that timed out.
    pub connect_timeouts: u32,
    /// Whether the last connection attempt failed.
    pub last_connect_failed: bool,
    /// When a connection ended on which the end of a standing call may have been sent that was not read. The
    /// server sends it again on the next connection opened; `None` once one has come up.
    pub end_lost_at: Option<Duration>,
    /// Whether the list says that the server is gone.
    pub is_gone: bool,
    /// Whether the list says that the server is draining or gone; nothing new is sent to it then.
    pub is_draining: bool,
    /// When the last unrequested load report was received, and its text. The same report arrives on each
    /// connection.
    pub last_report: (Duration, String),
}

impl Incarnation {
    /// Formats the address by which the edge knows an incarnation.
    pub fn format_address(host: &str, dial: &str, born_ms: u64) -> String {
        format!("{host} {dial} {born_ms}")
    }

    /// Parses an address written by [`Self::format_address`].
    pub fn from_address(address: &str, now: Duration) -> Option<Self> {
        let mut parts = address.split(' ');
        let (host, dial) = (parts.next()?, parts.next()?);
        Some(Self {
            link_address: address.to_owned(),
            address: dial.parse().ok()?,
            host: Arc::from(host),
            sockets: Vec::new(),
            releases: Vec::new(),
            last_activity: now,
            last_message: now,
            last_answered_sent_at: None,
            last_up_at: now,
            last_connect_started: now,
            next_connect_at: now,
            connect_timeouts: 0,
            last_connect_failed: false,
            end_lost_at: None,
            is_gone: false,
            is_draining: false,
            last_report: (Duration::ZERO, String::new()),
        })
    }
}

/// A set-up that has not been written to a connection.
pub struct SetUp {
    /// The call's identifier.
    pub tag: Tag,
    /// When the caller gives up.
    pub deadline: Duration,
    /// Place of the product in the plan.
    pub class: u16,
    /// The called number.
    pub key: Option<Arc<str>>,
    /// The session description.
    pub description: Vec<u8>,
}

/// A launch on a connection that has no outcome.
#[derive(Clone, Copy, Debug)]
pub struct OpenLaunch {
    /// Number of the launch.
    pub number: LaunchNumber,
    /// When its set-up was sent; `None` until then.
    pub sent_at: Option<Duration>,
}

/// A connection to a core server.
pub struct CoreConnection {
    /// The edge's link to the incarnation.
    pub link: LinkId,
    /// Whether it is established.
    pub is_up: bool,
    /// When the connection was started.
    pub started: Duration,
    /// When it was established.
    pub up_at: Option<Duration>,
    /// What it has delivered.
    pub liveness: Liveness,
    /// Whether a load report was received on it. The first report on a new connection repeats the last one
    /// sent on the others.
    pub has_reported: bool,
    /// When a set-up was last sent on it.
    pub last_used: Duration,
    /// Splits the received bytes into messages.
    pub splitter: MessageSplitter,
    /// Launches sent or to be sent on it that have no outcome.
    pub open_launches: BTreeMap<Tag, OpenLaunch>,
    /// Set-ups to be sent at the end of the loop iteration in which they were decided on, or when the
    /// connection comes up.
    pub unsent_set_ups: Vec<SetUp>,
    cancelled: VecDeque<Tag>,
}

impl CoreConnection {
    /// A connection that is being established.
    pub fn new(link: LinkId, now: Duration) -> Self {
        Self {
            link,
            is_up: false,
            started: now,
            up_at: None,
            liveness: Liveness::new(now),
            has_reported: false,
            last_used: now,
            splitter: MessageSplitter::new(Framing::Binary),
            open_launches: BTreeMap::new(),
            unsent_set_ups: Vec::new(),
            cancelled: VecDeque::new(),
        }
    }

    /// Whether it is established and not held to be of no further use.
    pub fn is_usable(&self) -> bool {
        self.is_up && self.liveness.suspicion.is_none()
    }

    /// The set-up of an open launch has been written.
    pub fn set_up_sent(&mut self, tag: Tag, now: Duration) {
        self.last_used = now;
        if let Some(launch) = self.open_launches.get_mut(&tag) {
            launch.sent_at = Some(now);
        }
    }

    /// Removes and returns the launch of a call; `None` if there is none or its set-up was not sent yet.
    pub fn take_open_launch(&mut self, tag: Tag) -> Option<OpenLaunch> {
        if self.is_unsent(tag) { None } else { self.open_launches.remove(&tag) }
    }

    /// Whether the set-up of a call has not been sent yet.
    pub fn is_unsent(&self, tag: Tag) -> bool {
        self.open_launches.get(&tag).is_some_and(|launch| launch.sent_at.is_none())
    }

    /// Remembers that the set-up of a call was cancelled on this connection.
    pub fn record_cancellation(&mut self, tag: Tag) {
        if self.cancelled.len() >= MAX_REMEMBERED_CANCELLATIONS {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(tag);
    }

    /// Whether the set-up of a call was cancelled on this connection.
    pub fn was_cancelled(&self, tag: Tag) -> bool {
        self.cancelled.contains(&tag)
    }

    /// Forgets a cancelled set-up, because the core server has reported its end.
    pub fn clear_cancellation(&mut self, tag: Tag) {
        self.cancelled.retain(|other| *other != tag);
    }
}
