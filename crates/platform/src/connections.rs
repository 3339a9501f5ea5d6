//! The connections and the calls carried on them.

mod caller_releases;
mod core_connections;
mod effects;
mod launches;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, LoadReport, Outcome};
use lotussaddle_edge::LinkId;

use crate::codec::{self, MessageSplitter, MessageToCaller, Start, Tag};
use crate::config::Bounds;
use crate::cores::{CoreConnection, Incarnation, SetUp};
use crate::recent_set_ups::{Ending, Fingerprint, RecentSetUp, RecentSetUps};
use crate::{Net, SocketId};

use caller_releases::PendingRelease;
use effects::PlatformEffects;

/// The logical link that all callers share.
pub const CALLERS: LinkId = LinkId(0);

/// A connection from a caller.
pub struct CallerConnection {
    /// Splits the received bytes into messages.
    pub splitter: MessageSplitter,
    /// When it was accepted.
    pub accepted_at: Duration,
    /// When the first bytes of a message were received that is still incomplete.
    pub incomplete_since: Option<Duration>,
    /// When the last complete message was received or sent.
    pub last_used: Duration,
    /// Unanswered set-ups received on it.
    pub open_set_ups: BTreeSet<Tag>,
    /// Number of standing calls received on it. Callers keep a connection open while one of its calls stands.
    /// It is kept open here as well, because no other connection may exist on which the end of that call can
    /// be sent.
    pub standing_calls: usize,
    /// Whether a valid message was received on it.
    pub has_sent_valid: bool,
    /// Whether a call set up on it has been answered.
    pub has_been_answered: bool,
    /// Number of invalid messages received on it.
    pub invalid_messages: u32,
}

/// Where a held call came from, and which connection carries its launch.
pub struct Call {
    /// What its set-up asks for.
    pub fingerprint: Fingerprint,
    /// Whether its set-up was sent to a core server.
    pub was_launched: bool,
    /// The set-up, without its description; `None` for a call that was reported as standing.
    pub start: Option<Box<Start>>,
    /// The connection on which it was received.
    pub caller: SocketId,
    /// Another connection on which it was sent again: the first one may have ended for its caller, or may not, so both
    /// are sent what its caller is owed.
    pub repeated_on: Option<SocketId>,
    /// When the caller of its set-up stops waiting.
    pub deadline: Duration,
    /// Whether it has no final answer yet; its description is held until then.
    pub is_open: bool,
    /// Whether the call stands.
    pub stands: bool,
    /// When its core server's answer was received; `None` before that, and for a call that was reported as standing.
    pub answered_at: Option<Duration>,
    /// Length of its description, counted while it is held.
    pub description_bytes: usize,
    /// The link and connection that carry its launch.
    pub core: Option<(LinkId, SocketId)>,
}

impl Call {
    /// The connections on which its set-up was received.
    pub fn sockets(&self) -> impl Iterator<Item = SocketId> + use<> {
        std::iter::once(self.caller).chain(self.repeated_on)
    }
}

/// A launch that ended without a message from the core server.
pub struct EndedLaunch {
    /// The link to the incarnation.
    pub link: LinkId,
    /// The call's identifier.
    pub tag: Tag,
    /// Number of the launch.
    pub launch: LaunchNumber,
    /// How it ended.
    pub outcome: Outcome,
}

/// All connections and calls, and the work that waits for the next call into the edge.
pub struct ConnectionTable {
    /// Time of the current input.
    pub now: Duration,
    /// Resource bounds.
    pub bounds: Bounds,
    /// Time within which a connection to a core server must come up.
    pub connect_timeout: Duration,
    /// Idle time after which a connection to a core server is closed.
    pub idle_timeout: Duration,
    /// Names of the products, in the plan's order.
    pub classes: Vec<String>,
    /// Connections from callers.
    pub callers: HashMap<SocketId, CallerConnection>,
    /// Connections to core servers.
    pub cores: HashMap<SocketId, CoreConnection>,
    /// Incarnations of core servers by their link.
    pub incarnations: BTreeMap<LinkId, Incarnation>,
    /// Held calls.
    pub calls: HashMap<Tag, Call>,
    /// Set-ups that have just ended, in case they are sent again.
    pub recent_set_ups: RecentSetUps,
    /// Number of calls without an answer.
    pub open_calls: usize,
    /// Total bytes of the descriptions held.
    pub held_description_bytes: usize,
    /// The logical link to the feed, once it exists.
    pub list_link: Option<LinkId>,
    /// Number of the last link created.
    pub next_link: u64,
    /// Links that are not yet reported to the edge as admitted.
    pub links_to_admit: Vec<LinkId>,
    /// Ended launches that are not yet reported to the edge.
    pub ended_launches: VecDeque<EndedLaunch>,
    /// Set-ups that were to be sent to a core server for the first time while their caller's connection had unread input.
    pub held_back: Vec<SetUp>,
    /// Caller connections on which a write failed; they are to be closed.
    pub unusable_callers: Vec<SocketId>,
    /// Connections to core servers on which a write failed; they are to be closed.
    pub unwritable_cores: Vec<SocketId>,
    /// Connections to core servers with set-ups that wait for the end of the loop iteration.
    pub cores_with_unsent_set_ups: BTreeSet<SocketId>,
    /// Releases that no caller has acknowledged yet.
    pub pending_releases: BTreeMap<Tag, PendingRelease>,
    write_buffer: Vec<u8>,
}

/// The edge's identifier of a call.
pub fn dialogue_id(tag: Tag) -> DialogueId {
    DialogueId(tag.to_string().into())
}

fn tag_of(dialogue: &DialogueId) -> Tag {
    Tag::parse(&dialogue.0).unwrap_or(Tag(0)) // Every dialogue is named by `dialogue_id`.
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(
        bounds: Bounds, connect_timeout: Duration, idle_timeout: Duration, classes: Vec<String>,
    ) -> Self {
        let recent_set_ups = RecentSetUps::new(bounds.edge.max_dialogues, bounds.recent_answer_bytes);
        Self {
            now: Duration::ZERO,
            recent_set_ups,
            bounds,
            connect_timeout,
            idle_timeout,
            classes,
            callers: HashMap::new(),
            cores: HashMap::new(),
            incarnations: BTreeMap::new(),
            calls: HashMap::new(),
            open_calls: 0,
            held_description_bytes: 0,
            list_link: None,
            next_link: 1,
            links_to_admit: Vec::new(),
            ended_launches: VecDeque::new(),
            held_back: Vec::new(),
            unusable_callers: Vec::new(),
            unwritable_cores: Vec::new(),
            cores_with_unsent_set_ups: BTreeSet::new(),
            pending_releases: BTreeMap::new(),
            write_buffer: Vec::new(),
        }
    }

    /// Lends the table and the network to the edge for one input.
    pub fn effects<'a>(&'a mut self, net: &'a mut dyn Net) -> PlatformEffects<'a> {
        PlatformEffects { connections: self, net }
    }

    /// Marks a call as answered or given up and releases its description.
    pub fn close_call(&mut self, tag: Tag) {
        let Some(call) = self.calls.get_mut(&tag).filter(|call| call.is_open) else { return };
        call.is_open = false;
        call.start = None;
        self.open_calls -= 1;
        self.held_description_bytes -= std::mem::take(&mut call.description_bytes);
        for socket in call.sockets() {
            if let Some(caller) = self.callers.get_mut(&socket) {
                caller.open_set_ups.remove(&tag);
            }
        }
    }

    /// The set-up of a call ends in this way: keeps it for a moment, in case it is sent again.
    pub fn remember_ending(&mut self, tag: Tag, ending: Ending) {
        let Some(call) = self.calls.get(&tag).filter(|call| call.is_open) else { return };
        let recent = RecentSetUp { fingerprint: call.fingerprint, caller: call.caller, ending };
        self.recent_set_ups.insert(self.now, tag, recent);
    }

    /// The set-up of a call was sent again on another connection of its caller.
    pub fn add_repeat(&mut self, tag: Tag, socket: SocketId) {
        let Some(call) = self.calls.get_mut(&tag) else { return };
        let previous = call.repeated_on.replace(socket);
        let (is_open, standing) = (call.is_open, usize::from(call.stands));
        if let Some(caller) = previous.and_then(|previous| self.callers.get_mut(&previous)) {
            caller.open_set_ups.remove(&tag);
            caller.standing_calls -= standing;
        }
        if let Some(caller) = self.callers.get_mut(&socket) {
            caller.standing_calls += standing;
            if is_open {
                caller.open_set_ups.insert(tag);
            }
        }
    }

    /// A connection was lost on which the set-up of a call was received. Returns whether the set-up is open on another
    /// connection, on which it was sent again.
    pub fn is_open_elsewhere(&mut self, tag: Tag, lost: SocketId) -> bool {
        let Some(call) = self.calls.get_mut(&tag) else { return false };
        if call.caller == lost {
            let Some(other) = call.repeated_on.take() else { return false };
            call.caller = other;
        } else if call.repeated_on == Some(lost) {
            call.repeated_on = None;
        }
        self.callers.contains_key(&call.caller)
    }

    /// The open connections on which the set-up of a call was received.
    pub fn callers_of(&self, tag: Tag) -> Vec<SocketId> {
        let sockets = self.calls.get(&tag).map(Call::sockets).into_iter().flatten();
        sockets.filter(|socket| self.callers.contains_key(socket)).collect()
    }

    /// Removes a call.
    pub fn remove_call(&mut self, tag: Tag) {
        self.close_call(tag);
        let Some(call) = self.calls.remove(&tag).filter(|call| call.stands) else { return };
        for socket in call.sockets() {
            if let Some(caller) = self.callers.get_mut(&socket) {
                (caller.standing_calls, caller.last_used) = (caller.standing_calls - 1, self.now);
            }
        }
    }

    /// Marks a call as standing, which keeps its caller's connection open.
    pub fn mark_standing(&mut self, tag: Tag) {
        let Some(call) = self.calls.get_mut(&tag).filter(|call| !call.stands) else { return };
        call.stands = true;
        for socket in call.sockets() {
            if let Some(caller) = self.callers.get_mut(&socket) {
                caller.standing_calls += 1;
            }
        }
    }

    /// Sends a message to a caller; false if it could not be queued.
    pub fn send_to_caller(
        &mut self, net: &mut dyn Net, socket: SocketId, tag: Tag, message: MessageToCaller,
    ) -> bool {
        let Some(caller) = self.callers.get_mut(&socket) else { return false };
        caller.last_used = self.now;
        self.write_buffer.clear();
        codec::write_caller_message(tag, message, &mut self.write_buffer);
        let sent = net.send(socket, &self.write_buffer);
        if !sent {
            self.unusable_callers.push(socket);
        }
        sent
    }

    /// Records when the answer of a call was received.
    pub fn mark_answered(&mut self, tag: Tag) {
        if let Some(call) = self.calls.get_mut(&tag) {
            call.answered_at = Some(self.now);
        }
    }

    /// Sends a caller the answer that its call stands.
    pub fn send_answer(&mut self, net: &mut dyn Net, socket: SocketId, tag: Tag, description: &str) {
        let sent = self.send_to_caller(net, socket, tag, MessageToCaller::Started(description));
        if let Some(caller) = self.callers.get_mut(&socket).filter(|_| sent) {
            caller.has_been_answered = true;
        }
    }

    fn new_link(&mut self) -> LinkId {
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.links_to_admit.push(link);
        link
    }

    /// Parses a load report; `None` if it is invalid.
    pub fn parse_report(&self, text: &str) -> Option<LoadReport> {
        lotussaddle_settings::load_report(text, ';').ok()
    }
}
