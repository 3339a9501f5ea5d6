//! The connections, the calls carried on them, and the translation of the edge's effects into messages.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, LoadReport, Outcome};
use lotussaddle_edge::{EdgeEffects, LinkId, LogTopic};
use lotussaddle_trunk::{DeclineReason, DialogueEnd, Frame, Launch, Message};

use crate::codec::{self, MessageSplitter, MessageToCaller, Tag, cause, code, kind};
use crate::config::Bounds;
use crate::cores::{CoreConnection, Incarnation, OpenLaunch, SetUp};
use crate::{CloseMode, Net, SocketId};

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
    /// The connection on which it was received.
    pub caller: SocketId,
    /// Whether it has no final answer yet; its description is held until then.
    pub is_open: bool,
    /// Whether the call stands.
    pub stands: bool,
    /// Length of its description, counted while it is held.
    pub description_bytes: usize,
    /// The link and connection that carry its launch.
    pub core: Option<(LinkId, SocketId)>,
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

/// A release towards a caller that has not been acknowledged.
pub struct PendingRelease {
    ended_at: Duration,
    cause: u8,
    /// The connections on which it was sent, in order.
    sent_on: Vec<SocketId>,
    /// When it was last sent.
    sent_at: Duration,
    /// Whether it was last sent on the connection of its call, whose owner knows the call.
    sent_on_own_connection: bool,
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

/// Encodes a set-up for a core server; `None` if it is too long.
fn encode_set_up(set_up: &SetUp, now: Duration, classes: &[String]) -> Option<Vec<u8>> {
    let left = (set_up.deadline.saturating_sub(now).as_millis() as u64).max(1).to_string();
    let class = classes.get(usize::from(set_up.class)).map(String::as_str).unwrap_or_default();
    let mut parameters: Vec<(u8, &[u8])> =
        vec![(code::CLASS, class.as_bytes()), (code::LEFT, left.as_bytes())];
    parameters.extend(set_up.key.as_ref().map(|key| (code::KEY, key.as_bytes())));
    if !set_up.description.is_empty() {
        parameters.push((code::DESCRIPTION, &set_up.description));
    }
    let mut bytes = Vec::new();
    codec::write_binary_message(kind::START, set_up.tag, &parameters, &mut bytes).then_some(bytes)
}

/// A release that was not sent on the connection on which its call was received may have reached a caller that
/// does not know the call. If it is not acknowledged within this time, it is sent on yet another connection.
const RELEASE_ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of connections on which a release is sent.
const MAX_CONNECTIONS_PER_RELEASE: usize = 6;
/// A release that was sent counts as received after this time even without an acknowledgement, because not
/// every caller acknowledges.
const UNACKNOWLEDGED_RELEASE_LIFETIME: Duration = Duration::from_secs(1);
/// A release that could not be sent on any connection is dropped after this time: it would be too late.
const UNSENT_RELEASE_LIFETIME: Duration = Duration::from_secs(10);

impl ConnectionTable {
    /// A table without connections.
    pub fn new(
        bounds: Bounds, connect_timeout: Duration, idle_timeout: Duration, classes: Vec<String>,
    ) -> Self {
        Self {
            now: Duration::ZERO,
            bounds,
            connect_timeout,
            idle_timeout,
            classes,
            callers: HashMap::new(),
            cores: HashMap::new(),
            incarnations: BTreeMap::new(),
            calls: HashMap::new(),
            held_description_bytes: 0,
            list_link: None,
            next_link: 1,
            links_to_admit: Vec::new(),
            ended_launches: VecDeque::new(),
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

    /// Marks a call as answered or given up and releases its description. Returns the caller's connection.
    pub fn close_call(&mut self, tag: Tag) -> Option<SocketId> {
        let call = self.calls.get_mut(&tag)?;
        if std::mem::take(&mut call.is_open) {
            self.held_description_bytes -= std::mem::take(&mut call.description_bytes);
            if let Some(caller) = self.callers.get_mut(&call.caller) {
                caller.open_set_ups.remove(&tag);
            }
        }
        Some(call.caller)
    }

    /// Removes a call. Returns the caller's connection.
    pub fn remove_call(&mut self, tag: Tag) -> Option<SocketId> {
        let socket = self.close_call(tag)?;
        let call = self.calls.remove(&tag)?;
        if call.stands
            && let Some(caller) = self.callers.get_mut(&socket)
        {
            (caller.standing_calls, caller.last_used) = (caller.standing_calls - 1, self.now);
        }
        Some(socket)
    }

    /// Marks a call as standing, which keeps its caller's connection open.
    pub fn mark_standing(&mut self, tag: Tag) {
        let Some(call) = self.calls.get_mut(&tag).filter(|call| !call.stands) else { return };
        call.stands = true;
        if let Some(caller) = self.callers.get_mut(&call.caller) {
            caller.standing_calls += 1;
        }
    }

    /// A complete message was received on a connection to an incarnation.
    pub fn core_message_received(&mut self, socket: SocketId, link: LinkId) {
        if let Some(core) = self.cores.get_mut(&socket) {
            core.liveness.message_received(self.now);
        }
        if let Some(incarnation) = self.incarnations.get_mut(&link) {
            incarnation.last_message = self.now;
        }
    }

    /// A set-up on a connection to an incarnation has had an outcome.
    pub fn set_up_answered(&mut self, socket: SocketId, link: LinkId, launch: OpenLaunch) {
        if let Some(core) = self.cores.get_mut(&socket) {
            core.liveness.set_up_answered();
        }
        if let Some(incarnation) = self.incarnations.get_mut(&link) {
            incarnation.last_answered_sent_at = incarnation.last_answered_sent_at.max(launch.sent_at);
        }
    }

    /// A load report that is sent on all open connections to an incarnation was received on this one.
    pub fn report_received(&mut self, socket: SocketId, link: LinkId) {
        let Some(incarnation) = self.incarnations.get(&link) else { return };
        for other in incarnation.sockets.iter().filter(|other| **other != socket) {
            if let Some(core) = self.cores.get_mut(other).filter(|core| core.is_up) {
                core.liveness.report_received_elsewhere(self.now);
            }
        }
    }

    /// Whether the server may have sent the end of a standing call on a connection that is no longer open: it
    /// uses the connection of the set-up, or any open one if that is closed.
    pub fn may_have_lost_end(&self, link: LinkId) -> bool {
        let is_own_connection_closed = |call: &Call| match call.core {
            Some((server, socket)) => server == link && !self.cores.contains_key(&socket),
            None => true, // Adopted: it was set up on a connection of an earlier process.
        };
        self.calls.values().any(|call| call.stands && is_own_connection_closed(call))
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

    /// Sends the end of a standing call to its caller: on the connection on which the call was received if it
    /// is open, otherwise on another one, because a standing call is not bound to a connection. If none is
    /// open it is sent on the next one accepted. It is sent again on other connections until it is
    /// acknowledged.
    pub fn release_caller(&mut self, net: &mut dyn Net, tag: Tag, cause: u8, own_socket: Option<SocketId>) {
        let mut release = PendingRelease {
            ended_at: self.now,
            cause,
            sent_on: Vec::new(),
            sent_at: self.now,
            sent_on_own_connection: false,
        };
        self.send_release(net, tag, &mut release, own_socket);
        if self.pending_releases.len() < self.bounds.pending_releases {
            self.pending_releases.insert(tag, release);
        } else if release.sent_on.is_empty() {
            net.log(&format!("release of {tag} could not be sent to any caller"));
        }
    }

    /// Sends a release on one more connection, if there is one. Connections on which calls were answered
    /// before are preferred.
    fn send_release(
        &mut self, net: &mut dyn Net, tag: Tag, release: &mut PendingRelease, own_socket: Option<SocketId>,
    ) -> bool {
        let is_usable = |id: &SocketId| !release.sent_on.contains(id) && !self.unusable_callers.contains(id);
        let own_socket = own_socket.filter(|socket| self.callers.contains_key(socket) && is_usable(socket));
        let others = || {
            let others = self.callers.iter().filter(|(id, _)| is_usable(id));
            others
                .max_by_key(|(id, c)| (c.has_been_answered, c.has_sent_valid, c.last_used, **id))
                .map(|(id, _)| *id)
        };
        let Some(socket) = own_socket.or_else(others) else { return false };
        let sent = self.send_to_caller(
            net,
            socket,
            tag,
            MessageToCaller::Finish { cause: release.cause, wait_ms: None },
        );
        if sent {
            (release.sent_at, release.sent_on_own_connection) = (self.now, own_socket.is_some());
            release.sent_on.push(socket);
        }
        sent
    }

    /// A caller has acknowledged a release.
    pub fn release_acknowledged(&mut self, tag: Tag) {
        self.pending_releases.remove(&tag);
    }

    /// Sends unacknowledged releases on further connections where due, and drops those that have expired.
    pub fn resend_releases(&mut self, net: &mut dyn Net) {
        let now = self.now;
        let mut releases = std::mem::take(&mut self.pending_releases);
        releases.retain(|tag, release| {
            let mut connected = release.sent_on.last().is_some_and(|last| self.callers.contains_key(last));
            let is_unacknowledged =
                !release.sent_on_own_connection && now >= release.sent_at + RELEASE_ACKNOWLEDGE_TIMEOUT;
            if (!connected || is_unacknowledged) && release.sent_on.len() < MAX_CONNECTIONS_PER_RELEASE {
                connected |= self.send_release(net, *tag, release, None);
            }
            let sent = connected || release.sent_on.len() >= MAX_CONNECTIONS_PER_RELEASE;
            let until = if sent {
                release.sent_at + UNACKNOWLEDGED_RELEASE_LIFETIME
            } else {
                release.ended_at + UNSENT_RELEASE_LIFETIME
            };
            if now >= until && release.sent_on.is_empty() {
                net.log(&format!("release of {tag} could not be sent to any caller"));
            }
            now < until
        });
        self.pending_releases = releases;
    }

    fn new_link(&mut self) -> LinkId {
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.links_to_admit.push(link);
        link
    }

    /// Queues a set-up. It is sent at the end of the loop iteration, because a cancellation by the caller may
    /// be waiting to be read.
    fn queue_set_up(
        &mut self, net: &mut dyn Net, link: LinkId, launch: Launch, extra: &[lotussaddle_trunk::Extra],
    ) {
        let tag = tag_of(&launch.dialogue);
        let Some(socket) = self.choose_connection(net, link, Some(tag)) else {
            let outcome = Outcome::Unreachable;
            return self.ended_launches.push_back(EndedLaunch { link, tag, launch: launch.launch, outcome });
        };
        let core = self.cores.get_mut(&socket).expect("the chosen connection exists");
        core.open_launches.insert(tag, OpenLaunch { number: launch.launch, sent_at: None });
        core.unsent_set_ups.push(SetUp {
            tag,
            deadline: self.now + launch.time_left,
            class: launch.product,
            key: launch.key.map(|key| key.0),
            description: extra
                .iter()
                .find(|e| e.tag == code::DESCRIPTION)
                .map(|e| e.value.clone())
                .unwrap_or_default(),
        });
        self.cores_with_unsent_set_ups.insert(socket);
        if let Some(call) = self.calls.get_mut(&tag) {
            call.core = Some((link, socket));
        }
    }

    /// Writes the waiting set-ups to connections that are up. Returns true if some of them ended instead.
    ///
    /// A set-up whose caller's connection has unread input is held back until the next iteration, because
    /// that input may cancel it.
    pub fn send_set_ups(&mut self, net: &mut dyn Net) -> bool {
        let mut ended = false;
        for socket in std::mem::take(&mut self.cores_with_unsent_set_ups) {
            let Some(core) = self.cores.get_mut(&socket).filter(|core| core.is_up) else { continue };
            let (link, mut held_back) = (core.link, Vec::new());
            for set_up in std::mem::take(&mut core.unsent_set_ups) {
                let tag = set_up.tag;
                let Some(launch) = core.open_launches.get(&tag).map(|launch| launch.number) else { continue };
                let Some(call) = self.calls.get(&tag) else {
                    core.open_launches.remove(&tag); // The caller has given up.
                    continue;
                };
                if self.now < set_up.deadline && net.has_unread(call.caller) {
                    held_back.push(set_up);
                    continue;
                }
                // The time spent waiting counts; the edge ends the launch if no time is left.
                let is_draining =
                    self.incarnations.get(&link).is_none_or(|incarnation| incarnation.is_draining);
                let outcome = if self.now >= set_up.deadline || is_draining {
                    Some(Outcome::Unreachable)
                } else {
                    let bytes = encode_set_up(&set_up, self.now, &self.classes);
                    match bytes.map(|bytes| net.send(socket, &bytes)) {
                        None => Some(Outcome::NotSent),
                        Some(false) => Some(Outcome::Unreachable),
                        Some(true) => None,
                    }
                };
                if let Some(outcome) = outcome {
                    core.open_launches.remove(&tag);
                    self.ended_launches.push_back(EndedLaunch { link, tag, launch, outcome });
                    ended = true;
                } else {
                    core.set_up_sent(tag, self.now);
                }
            }
            if !held_back.is_empty() {
                self.cores_with_unsent_set_ups.insert(socket);
            }
            core.unsent_set_ups = held_back;
        }
        ended
    }

    fn cancel_launch(&mut self, net: &mut dyn Net, tag: Tag) {
        let Some((_, socket)) = self.calls.get_mut(&tag).and_then(|call| call.core.take()) else { return };
        let Some(core) = self.cores.get_mut(&socket) else { return };
        let Some(launch) = core.open_launches.remove(&tag) else { return };
        if core.is_unsent(tag) {
            return core.unsent_set_ups.retain(|waiting| waiting.tag != tag);
        }
        let incarnation = self.incarnations.get(&core.link);
        if incarnation.is_some_and(|incarnation| incarnation.last_answered_sent_at > launch.sent_at) {
            core.liveness.overtaken_set_up_cancelled();
        }
        core.record_cancellation(tag);
        self.send_finish(net, socket, tag);
    }

    /// Gives up a set-up, or releases a standing call, towards a core server.
    pub fn send_finish(&mut self, net: &mut dyn Net, socket: SocketId, tag: Tag) -> bool {
        self.write_buffer.clear();
        codec::write_binary_message(
            kind::FINISH,
            tag,
            &[(code::CAUSE, &[cause::NORMAL])],
            &mut self.write_buffer,
        );
        let sent = net.send(socket, &self.write_buffer);
        if !sent {
            // A core server that does not read is not waited for: its connection is closed, and what is open
            // on it is given up.
            self.unwritable_cores.push(socket);
        }
        sent
    }

    fn release_call(&mut self, net: &mut dyn Net, link: LinkId, tag: Tag) {
        let own_socket = self.calls.get(&tag).and_then(|call| call.core).map(|(_, socket)| socket);
        let Some(incarnation) = self.incarnations.get(&link) else { return };
        let known = incarnation.sockets.iter().filter_map(|id| Some((*id, self.cores.get(id)?)));
        let best = known
            .filter(|(_, core)| core.is_up)
            .min_by_key(|(id, core)| (!core.is_usable(), Some(*id) != own_socket));
        let socket = best.map(|(id, _)| id);
        if socket.is_some_and(|socket| self.send_finish(net, socket, tag)) {
            return;
        }
        if let Some(incarnation) = self
            .incarnations
            .get_mut(&link)
            .filter(|incarnation| incarnation.releases.len() < self.bounds.remembered_ends)
        {
            incarnation.releases.push(tag);
        }
    }
}

/// The connection table and the network, through which the edge carries out the effects of one input.
pub struct PlatformEffects<'a> {
    connections: &'a mut ConnectionTable,
    net: &'a mut dyn Net,
}

impl EdgeEffects for PlatformEffects<'_> {
    /// Always returns true: a message that cannot be sent is reported later as an ended launch or a lost
    /// caller connection.
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        let (connections, net) = (&mut *self.connections, &mut *self.net);
        match message.frame {
            Frame::Launch(launch) => connections.queue_set_up(net, link, launch, &message.extra),
            Frame::Cancel { dialogue, .. } => connections.cancel_launch(net, tag_of(&dialogue)),
            Frame::Release { dialogue, .. } => connections.release_call(net, link, tag_of(&dialogue)),
            Frame::Stands { dialogue, .. } => {
                let tag = tag_of(&dialogue);
                let description = message.extra.iter().find(|e| e.tag == code::DESCRIPTION);
                let description =
                    description.and_then(|e| std::str::from_utf8(&e.value).ok()).unwrap_or_default();
                let socket = connections.close_call(tag);
                connections.mark_standing(tag);
                if let Some(socket) = socket
                    && connections.send_to_caller(net, socket, tag, MessageToCaller::Started(description))
                    && let Some(caller) = connections.callers.get_mut(&socket)
                {
                    caller.has_been_answered = true;
                }
            }
            Frame::Refused { dialogue, retry_after } => {
                let wait_ms = retry_after.map(|time| time.as_millis() as u64);
                send_final_answer(
                    connections,
                    net,
                    &dialogue,
                    MessageToCaller::Finish { cause: cause::FULL, wait_ms },
                );
            }
            Frame::Failed { dialogue } => {
                send_final_answer(
                    connections,
                    net,
                    &dialogue,
                    MessageToCaller::Finish { cause: cause::RESET, wait_ms: None },
                );
            }
            Frame::Declined { dialogue, why, .. } => {
                let cause = if why == DeclineReason::Full { cause::CONGESTION } else { cause::UNUSABLE };
                send_final_answer(
                    connections,
                    net,
                    &dialogue,
                    MessageToCaller::Finish { cause, wait_ms: None },
                );
            }
            Frame::Over { dialogue, end } => {
                let tag = tag_of(&dialogue);
                let cause = if end == DialogueEnd::Released { cause::NORMAL } else { cause::RESET };
                let own_socket = connections.remove_call(tag);
                connections.release_caller(net, tag, cause, own_socket);
            }
            _ => {}
        }
        true
    }

    /// An empty address means the list; any other is an incarnation of a core server, formatted by
    /// [`Incarnation::format_address`].
    fn connect(&mut self, address: &str) -> LinkId {
        let link = self.connections.new_link();
        if address.is_empty() {
            self.connections.list_link = Some(link);
        } else if let Some(incarnation) = Incarnation::from_address(address, self.connections.now) {
            self.connections.incarnations.insert(link, incarnation);
            self.connections.choose_connection(self.net, link, None);
        }
        link
    }

    fn close(&mut self, link: LinkId, _why: &str) {
        self.connections.close_incarnation(self.net, link);
    }

    fn log(&mut self, _topic: LogTopic, line: &str) {
        self.net.log(line);
    }
}

fn send_final_answer(
    connections: &mut ConnectionTable, net: &mut dyn Net, dialogue: &DialogueId, message: MessageToCaller,
) {
    let tag = tag_of(dialogue);
    if let Some(socket) = connections.remove_call(tag) {
        connections.send_to_caller(net, socket, tag, message);
    }
}

impl ConnectionTable {
    /// Closes all connections to an incarnation and removes it.
    pub fn close_incarnation(&mut self, net: &mut dyn Net, link: LinkId) {
        let Some(incarnation) = self.incarnations.remove(&link) else { return };
        for socket in incarnation.sockets {
            self.cores.remove(&socket);
            net.close(socket, CloseMode::Now);
        }
    }

    /// Chooses the connection for the next launch to an incarnation: the one with the fewest open launches.
    /// Another connection is started if none is free, since an invalid answer closes its connection and
    /// breaks off everything else open on it. A connection on which the same call was cancelled is avoided: a
    /// late answer to the earlier launch would be taken for an answer to the new one. One that is held to be of
    /// no further use is not chosen.
    pub fn choose_connection(
        &mut self, net: &mut dyn Net, link: LinkId, tag: Option<Tag>,
    ) -> Option<SocketId> {
        let incarnation = self.incarnations.get(&link)?;
        let known = incarnation.sockets.iter().filter_map(|id| Some((*id, self.cores.get(id)?)));
        let best = known.filter(|(_, core)| core.liveness.suspicion.is_none()).min_by_key(|(_, core)| {
            let may_get_late_answer = tag.is_some_and(|tag| core.was_cancelled(tag));
            (
                !core.is_up,
                may_get_late_answer,
                core.open_launches.len(),
                std::cmp::Reverse(core.liveness.last_message),
            )
        });
        let (best, is_free) =
            (best.map(|(id, _)| id), best.is_some_and(|(_, core)| core.open_launches.is_empty()));
        if is_free
            || incarnation.sockets.len() >= self.bounds.connections_per_core
            || self.cores.len() >= self.bounds.core_connections
        {
            return best;
        }
        // If the last attempt failed and no connection is up, the next attempt is left to its own schedule: a
        // launch that waited for it would lose time in which it could go elsewhere.
        if best.is_none_or(|best| !self.cores[&best].is_up) && incarnation.last_connect_failed {
            return None;
        }
        let started = self.start_connection(net, link);
        best.or(started)
    }

    /// Starts another connection to an incarnation; `None` if a bound is reached or no descriptor is free.
    pub fn start_connection(&mut self, net: &mut dyn Net, link: LinkId) -> Option<SocketId> {
        let incarnation = self.incarnations.get_mut(&link)?;
        if incarnation.sockets.len() >= self.bounds.connections_per_core
            || self.cores.len() >= self.bounds.core_connections
        {
            return None;
        }
        let socket = net.connect(incarnation.address)?;
        incarnation.sockets.push(socket);
        incarnation.last_connect_started = self.now;
        self.cores.insert(socket, CoreConnection::new(link, self.now));
        Some(socket)
    }

    /// Parses a load report; `None` if it is invalid.
    pub fn parse_report(&self, text: &str) -> Option<LoadReport> {
        lotussaddle_settings::load_report(text, ';').ok()
    }
}
