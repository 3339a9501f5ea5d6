//! Core servers: the connections of each of their lives, and what tells that a life is over.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::LaunchNumber;
use lotussaddle_edge::LinkId;

use crate::SocketId;
use crate::codec::{Cutter, Form, Tag};

/// Set-ups called off on a connection that are remembered, to know an answer that crossed from one unheard of.
const CALLED_OFF: usize = 64;

/// One life of a core server, for as long as something of it is held or the list names it.
pub struct Life {
    /// The text by which the edge knows it.
    pub key: String,
    pub address: SocketAddr,
    pub host: Arc<str>,
    pub sockets: Vec<SocketId>,
    /// Releases that wait for a connection.
    pub releases: Vec<Tag>,
    /// When anything last came from there, or a connection came up.
    pub sign: Duration,
    /// When a connection was last begun, and when the next may be that no launch asks for.
    pub begun: Duration,
    pub again: Duration,
    /// Connections in a row that did not come up in time.
    pub late: u32,
    /// The last connection that was begun did not come up.
    pub failed: bool,
    /// The list says that it is gone.
    pub gone: bool,
    /// The list says that it drains, or is gone: nothing new is sent there.
    pub leaving: bool,
    /// The report that came last by itself: on several connections it comes several times.
    pub report: (Duration, String),
}

impl Life {
    pub fn address(host: &str, dial: &str, born_ms: u64) -> String {
        format!("{host} {dial} {born_ms}")
    }

    pub fn at(address: &str, now: Duration) -> Option<Self> {
        let mut parts = address.split(' ');
        let (host, dial) = (parts.next()?, parts.next()?);
        Some(Self {
            key: address.to_owned(),
            address: dial.parse().ok()?,
            host: Arc::from(host),
            sockets: Vec::new(),
            releases: Vec::new(),
            sign: now,
            begun: now,
            again: now,
            late: 0,
            failed: false,
            gone: false,
            leaving: false,
            report: (Duration::ZERO, String::new()),
        })
    }
}

/// A set-up that is not written yet.
pub struct SetUp {
    pub tag: Tag,
    /// Until when it is of use.
    pub until: Duration,
    pub class: u16,
    pub key: Option<Arc<str>>,
    pub description: Vec<u8>,
}

/// A connection to a core server.
pub struct Core {
    pub link: LinkId,
    pub up: bool,
    pub since: Duration,
    pub heard: Duration,
    /// It has told a report: the first of a connection is the one told last on the others.
    pub told: bool,
    /// When a set-up last went out on it.
    pub used: Duration,
    pub cutter: Cutter,
    pub open: BTreeMap<Tag, LaunchNumber>,
    /// Set-ups that go when the turn is over in which they were decided on, or the connection has come up.
    pub waiting: Vec<SetUp>,
    called_off: VecDeque<Tag>,
}

impl Core {
    pub fn new(link: LinkId, now: Duration) -> Self {
        Self {
            link,
            up: false,
            since: now,
            heard: now,
            told: false,
            used: now,
            cutter: Cutter::new(Form::Binary),
            open: BTreeMap::new(),
            waiting: Vec::new(),
            called_off: VecDeque::new(),
        }
    }

    /// The launch out there under this id, which is out no more; none where it was not sent yet.
    pub fn take_open(&mut self, tag: Tag) -> Option<LaunchNumber> {
        if self.waits(tag) { None } else { self.open.remove(&tag) }
    }

    pub fn waits(&self, tag: Tag) -> bool {
        self.waiting.iter().any(|set_up| set_up.tag == tag)
    }

    pub fn called_off(&mut self, tag: Tag) {
        if self.called_off.len() >= CALLED_OFF {
            self.called_off.pop_front();
        }
        self.called_off.push_back(tag);
    }

    pub fn was_called_off(&self, tag: Tag) -> bool {
        self.called_off.contains(&tag)
    }

    /// What was called off here has ended here too.
    pub fn called_off_is_over(&mut self, tag: Tag) {
        self.called_off.retain(|off| *off != tag);
    }
}
