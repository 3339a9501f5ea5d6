//! Which connection bears what, and the edge proxy's effects turned into messages.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, LoadReport, Outcome};
use lotussaddle_edge::{EdgeEffects, LinkId, LogTopic};
use lotussaddle_trunk::{DeclineReason, DialogueEnd, Frame, Launch, Message};

use crate::codec::{self, Cutter, Tag, ToCaller, cause, code, kind};
use crate::config::Bounds;
use crate::cores::{Core, Life, SetUp};
use crate::{Ending, Net, SocketId};

/// The logical link that all callers share.
pub const CALLERS: LinkId = LinkId(0);

/// A connection of callers.
pub struct Caller {
    pub cutter: Cutter,
    pub since: Duration,
    /// When the last whole message came or went.
    pub used: Duration,
    /// Set-ups that came on it and are not answered.
    pub open: BTreeSet<Tag>,
    /// Calls that came on it and stand: callers keep a connection for as long as one does, and so is it kept here, since
    /// there may be no other by which the end of that call can be told.
    pub standing: usize,
    /// It has said something that can be used.
    pub good: bool,
    /// It has had an answer.
    pub served: bool,
    pub wrongs: u32,
}

/// Where a dialogue that the edge holds came from, and what bears its launch.
pub struct Call {
    /// The connection it came on.
    pub caller: SocketId,
    /// It has no final answer yet; then bytes of its description are held.
    pub open: bool,
    pub stands: bool,
    pub bytes: usize,
    pub core: Option<(LinkId, SocketId)>,
}

/// A launch has ended without a frame that tells so.
pub struct LaunchOver {
    pub link: LinkId,
    pub tag: Tag,
    pub launch: LaunchNumber,
    pub outcome: Outcome,
}

/// A release towards a caller, until that is heard to take it.
pub struct Untold {
    since: Duration,
    cause: u8,
    /// The connections on which it was said, the last one last, and when it was said there.
    tried: Vec<SocketId>,
    said_at: Duration,
    /// It was said on the connection of its call: whoever is there knows the call.
    on_its_own: bool,
}

pub struct Desk {
    pub now: Duration,
    pub bounds: Bounds,
    pub connect_within: Duration,
    pub idle_after: Duration,
    pub classes: Vec<String>,
    pub callers: HashMap<SocketId, Caller>,
    pub cores: HashMap<SocketId, Core>,
    pub lives: BTreeMap<LinkId, Life>,
    pub calls: HashMap<Tag, Call>,
    /// Bytes of descriptions held.
    pub described: usize,
    /// The logical link to the feed, once there is one.
    pub list: Option<LinkId>,
    pub next_link: u64,
    pub to_admit: Vec<LinkId>,
    pub overs: VecDeque<LaunchOver>,
    /// Connections of callers that turned out to be of no use while they were written to.
    pub broken: Vec<SocketId>,
    /// Connections to core servers to which nothing more could be written.
    pub jammed: Vec<SocketId>,
    /// Connections to core servers on which set-ups wait for the end of the turn.
    pub to_send: BTreeSet<SocketId>,
    /// Releases towards callers that none was heard to take yet.
    pub untold: BTreeMap<Tag, Untold>,
    out: Vec<u8>,
}

pub fn name(tag: Tag) -> DialogueId {
    DialogueId(tag.to_string().into())
}

fn tag(dialogue: &DialogueId) -> Tag {
    Tag::read(&dialogue.0).unwrap_or(Tag(0)) // Every dialogue here was named by `name`.
}

/// A set-up as a core server reads it; none where it is too long.
fn written(set_up: &SetUp, now: Duration, classes: &[String]) -> Option<Vec<u8>> {
    let left = (set_up.until.saturating_sub(now).as_millis() as u64).max(1).to_string();
    let class = classes.get(usize::from(set_up.class)).map(String::as_str).unwrap_or_default();
    let mut parameters: Vec<(u8, &[u8])> =
        vec![(code::CLASS, class.as_bytes()), (code::LEFT, left.as_bytes())];
    parameters.extend(set_up.key.as_ref().map(|key| (code::KEY, key.as_bytes())));
    if !set_up.description.is_empty() {
        parameters.push((code::DESCRIPTION, &set_up.description));
    }
    let mut bytes = Vec::new();
    codec::binary(kind::START, set_up.tag, &parameters, &mut bytes).then_some(bytes)
}

/// A release said on another connection than its call's, and not heard to be taken for so long, is said on the next: whoever
/// is there may be nobody who knows the call.
const HEARD_WITHIN: Duration = Duration::from_millis(150);
/// One said on so many connections is said on no more.
const MOST_SAID: usize = 6;
/// One that was said, and not heard to be taken for so long, is over all the same: not every caller says that it heard.
const SAID_FOR: Duration = Duration::from_secs(1);
/// One that no connection could take for so long is dropped: it would no longer be in time.
const UNTOLD_FOR: Duration = Duration::from_secs(10);

impl Desk {
    pub fn new(bounds: Bounds, connect_within: Duration, idle_after: Duration, classes: Vec<String>) -> Self {
        Self {
            now: Duration::ZERO,
            bounds,
            connect_within,
            idle_after,
            classes,
            callers: HashMap::new(),
            cores: HashMap::new(),
            lives: BTreeMap::new(),
            calls: HashMap::new(),
            described: 0,
            list: None,
            next_link: 1,
            to_admit: Vec::new(),
            overs: VecDeque::new(),
            broken: Vec::new(),
            jammed: Vec::new(),
            to_send: BTreeSet::new(),
            untold: BTreeMap::new(),
            out: Vec::new(),
        }
    }

    pub fn hands<'a>(&'a mut self, net: &'a mut dyn Net) -> Hands<'a> {
        Hands { desk: self, net }
    }

    /// The dialogue has its answer, or is given up: its description is needed no more.
    pub fn close_call(&mut self, tag: Tag) -> Option<SocketId> {
        let call = self.calls.get_mut(&tag)?;
        if std::mem::take(&mut call.open) {
            self.described -= std::mem::take(&mut call.bytes);
            if let Some(caller) = self.callers.get_mut(&call.caller) {
                caller.open.remove(&tag);
            }
        }
        Some(call.caller)
    }

    pub fn drop_call(&mut self, tag: Tag) -> Option<SocketId> {
        let socket = self.close_call(tag)?;
        let call = self.calls.remove(&tag)?;
        if call.stands
            && let Some(caller) = self.callers.get_mut(&socket)
        {
            (caller.standing, caller.used) = (caller.standing - 1, self.now);
        }
        Some(socket)
    }

    /// A call stands from now on, and so keeps the connection it came on.
    pub fn stands(&mut self, tag: Tag) {
        let Some(call) = self.calls.get_mut(&tag).filter(|call| !call.stands) else { return };
        call.stands = true;
        if let Some(caller) = self.callers.get_mut(&call.caller) {
            caller.standing += 1;
        }
    }

    /// Writes to a caller; false: it could not be.
    pub fn tell(&mut self, net: &mut dyn Net, socket: SocketId, tag: Tag, said: ToCaller) -> bool {
        let Some(caller) = self.callers.get_mut(&socket) else { return false };
        caller.used = self.now;
        self.out.clear();
        codec::to_caller(tag, said, &mut self.out);
        let sent = net.send(socket, &self.out);
        if !sent {
            self.broken.push(socket);
        }
        sent
    }

    /// A dialogue that stood is over: its caller is told at once, on the connection that it came on, else on another,
    /// since it belongs to none, and where there is none, on the next one. It is told again elsewhere until it is heard to
    /// be taken.
    pub fn tell_over(&mut self, net: &mut dyn Net, tag: Tag, cause: u8, own: Option<SocketId>) {
        let mut untold =
            Untold { since: self.now, cause, tried: Vec::new(), said_at: self.now, on_its_own: false };
        self.say_over(net, tag, &mut untold, own);
        if self.untold.len() < self.bounds.untold {
            self.untold.insert(tag, untold);
        } else if untold.tried.is_empty() {
            net.log(&format!("release of {tag} could not be told to a caller"));
        }
    }

    /// Says it on one more connection, where there is one: first those of callers that were answered before.
    fn say_over(&mut self, net: &mut dyn Net, tag: Tag, untold: &mut Untold, own: Option<SocketId>) -> bool {
        let fit = |id: &SocketId| !untold.tried.contains(id) && !self.broken.contains(id);
        let own = own.filter(|own| self.callers.contains_key(own) && fit(own));
        let others = || {
            let others = self.callers.iter().filter(|(id, _)| fit(id));
            others.max_by_key(|(id, c)| (c.served, c.good, c.used, **id)).map(|(id, _)| *id)
        };
        let Some(socket) = own.or_else(others) else { return false };
        let said = self.tell(net, socket, tag, ToCaller::Finish { cause: untold.cause, wait_ms: None });
        if said {
            (untold.said_at, untold.on_its_own) = (self.now, own.is_some());
            untold.tried.push(socket);
        }
        said
    }

    /// Whoever is there has taken the release.
    pub fn heard_over(&mut self, tag: Tag) {
        self.untold.remove(&tag);
    }

    pub fn tell_untold(&mut self, net: &mut dyn Net) {
        let now = self.now;
        let mut untold = std::mem::take(&mut self.untold);
        untold.retain(|tag, untold| {
            let mut there = untold.tried.last().is_some_and(|last| self.callers.contains_key(last));
            let unheard = !untold.on_its_own && now >= untold.said_at + HEARD_WITHIN;
            if (!there || unheard) && untold.tried.len() < MOST_SAID {
                there |= self.say_over(net, *tag, untold, None);
            }
            let said = there || untold.tried.len() >= MOST_SAID;
            let until = if said { untold.said_at + SAID_FOR } else { untold.since + UNTOLD_FOR };
            if now >= until && untold.tried.is_empty() {
                net.log(&format!("release of {tag} could not be told to a caller"));
            }
            now < until
        });
        self.untold = untold;
    }

    fn link(&mut self) -> LinkId {
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.to_admit.push(link);
        link
    }

    /// A set-up goes when the turn is over: whoever called it off meanwhile has not been read yet.
    fn set_up(
        &mut self, net: &mut dyn Net, link: LinkId, launch: Launch, extra: &[lotussaddle_trunk::Extra],
    ) {
        let tag = tag(&launch.dialogue);
        let Some(socket) = self.socket_for(net, link, Some(tag)) else {
            let outcome = Outcome::Unreachable;
            return self.overs.push_back(LaunchOver { link, tag, launch: launch.launch, outcome });
        };
        let core = self.cores.get_mut(&socket).expect("it was chosen");
        core.open.insert(tag, launch.launch);
        core.waiting.push(SetUp {
            tag,
            until: self.now + launch.time_left,
            class: launch.product,
            key: launch.key.map(|key| key.0),
            description: extra
                .iter()
                .find(|e| e.tag == code::DESCRIPTION)
                .map(|e| e.value.clone())
                .unwrap_or_default(),
        });
        self.to_send.insert(socket);
        if let Some(call) = self.calls.get_mut(&tag) {
            call.core = Some((link, socket));
        }
    }

    /// Writes the set-ups that wait on connections that are up; true: some came to an end instead.
    ///
    /// One whose caller's connection has more to be read is kept for the next turn: what lies there may call it off.
    pub fn send_off(&mut self, net: &mut dyn Net) -> bool {
        let mut ended = false;
        for socket in std::mem::take(&mut self.to_send) {
            let Some(core) = self.cores.get_mut(&socket).filter(|core| core.up) else { continue };
            let (link, mut kept) = (core.link, Vec::new());
            for set_up in std::mem::take(&mut core.waiting) {
                let tag = set_up.tag;
                let Some(launch) = core.open.get(&tag).copied() else { continue };
                let Some(call) = self.calls.get(&tag) else {
                    core.open.remove(&tag); // Nobody wants it any more.
                    continue;
                };
                if self.now < set_up.until && net.unread(call.caller) {
                    kept.push(set_up);
                    continue;
                }
                // What waited has lost that time; the edge ends it where all of it is gone.
                let leaving = self.lives.get(&link).is_none_or(|life| life.leaving);
                let outcome = if self.now >= set_up.until || leaving {
                    Some(Outcome::Unreachable)
                } else {
                    let bytes = written(&set_up, self.now, &self.classes);
                    match bytes.map(|bytes| net.send(socket, &bytes)) {
                        None => Some(Outcome::NotSent),
                        Some(false) => Some(Outcome::Unreachable),
                        Some(true) => None,
                    }
                };
                if let Some(outcome) = outcome {
                    core.open.remove(&tag);
                    self.overs.push_back(LaunchOver { link, tag, launch, outcome });
                    ended = true;
                } else {
                    core.used = self.now;
                }
            }
            if !kept.is_empty() {
                self.to_send.insert(socket);
            }
            core.waiting = kept;
        }
        ended
    }

    fn cancel(&mut self, net: &mut dyn Net, tag: Tag) {
        let Some((_, socket)) = self.calls.get_mut(&tag).and_then(|call| call.core.take()) else { return };
        let Some(core) = self.cores.get_mut(&socket) else { return };
        if core.open.remove(&tag).is_none() {
            return;
        }
        if core.waits(tag) {
            return core.waiting.retain(|waiting| waiting.tag != tag);
        }
        core.called_off(tag);
        self.finish(net, socket, tag);
    }

    /// Gives a set-up up, or releases what stands, towards a core server.
    pub fn finish(&mut self, net: &mut dyn Net, socket: SocketId, tag: Tag) -> bool {
        self.out.clear();
        codec::binary(kind::FINISH, tag, &[(code::CAUSE, &[cause::NORMAL])], &mut self.out);
        let sent = net.send(socket, &self.out);
        if !sent {
            // Whoever reads nothing for so long is not waited for: with the connection, what is open on it is given up.
            self.jammed.push(socket);
        }
        sent
    }

    fn release(&mut self, net: &mut dyn Net, link: LinkId, tag: Tag) {
        let own = self.calls.get(&tag).and_then(|call| call.core).map(|(_, socket)| socket);
        let up = |socket: &SocketId| self.cores.get(socket).is_some_and(|core| core.up && core.link == link);
        let Some(life) = self.lives.get(&link) else { return };
        let socket = own.filter(up).or_else(|| life.sockets.iter().copied().find(up));
        if socket.is_some_and(|socket| self.finish(net, socket, tag)) {
            return;
        }
        if let Some(life) = self.lives.get_mut(&link).filter(|life| life.releases.len() < self.bounds.ends) {
            life.releases.push(tag);
        }
    }
}

/// The desk and the world, lent to the edge for one input.
pub struct Hands<'a> {
    desk: &'a mut Desk,
    net: &'a mut dyn Net,
}

impl EdgeEffects for Hands<'_> {
    /// Always true: what cannot be said comes back as an end, or as a caller's connection that is lost.
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        let (desk, net) = (&mut *self.desk, &mut *self.net);
        match message.frame {
            Frame::Launch(launch) => desk.set_up(net, link, launch, &message.extra),
            Frame::Cancel { dialogue, .. } => desk.cancel(net, tag(&dialogue)),
            Frame::Release { dialogue, .. } => desk.release(net, link, tag(&dialogue)),
            Frame::Stands { dialogue, .. } => {
                let tag = tag(&dialogue);
                let description = message.extra.iter().find(|e| e.tag == code::DESCRIPTION);
                let description =
                    description.and_then(|e| std::str::from_utf8(&e.value).ok()).unwrap_or_default();
                let socket = desk.close_call(tag);
                desk.stands(tag);
                if let Some(socket) = socket
                    && desk.tell(net, socket, tag, ToCaller::Started(description))
                    && let Some(caller) = desk.callers.get_mut(&socket)
                {
                    caller.served = true;
                }
            }
            Frame::Refused { dialogue, retry_after: come_back } => {
                let wait_ms = come_back.map(|time| time.as_millis() as u64);
                answer(desk, net, &dialogue, ToCaller::Finish { cause: cause::FULL, wait_ms });
            }
            Frame::Failed { dialogue } => {
                answer(desk, net, &dialogue, ToCaller::Finish { cause: cause::RESET, wait_ms: None });
            }
            Frame::Declined { dialogue, why, .. } => {
                let cause = if why == DeclineReason::Full { cause::CONGESTION } else { cause::UNUSABLE };
                answer(desk, net, &dialogue, ToCaller::Finish { cause, wait_ms: None });
            }
            Frame::Over { dialogue, end } => {
                let tag = tag(&dialogue);
                let cause = if end == DialogueEnd::Released { cause::NORMAL } else { cause::RESET };
                let own = desk.drop_call(tag);
                desk.tell_over(net, tag, cause, own);
            }
            _ => {}
        }
        true
    }

    /// The list is the one without an address; else it is a life of a core server, named by [`Life::address`].
    fn connect(&mut self, address: &str) -> LinkId {
        let link = self.desk.link();
        if address.is_empty() {
            self.desk.list = Some(link);
        } else if let Some(life) = Life::at(address, self.desk.now) {
            self.desk.lives.insert(link, life);
            self.desk.socket_for(self.net, link, None);
        }
        link
    }

    fn close(&mut self, link: LinkId, _why: &str) {
        self.desk.end_life(self.net, link);
    }

    fn log(&mut self, _note: LogTopic, line: &str) {
        self.net.log(line);
    }
}

fn answer(desk: &mut Desk, net: &mut dyn Net, dialogue: &DialogueId, said: ToCaller) {
    let tag = tag(dialogue);
    if let Some(socket) = desk.drop_call(tag) {
        desk.tell(net, socket, tag, said);
    }
}

impl Desk {
    /// All connections to a life are closed; it is known no more.
    pub fn end_life(&mut self, net: &mut dyn Net, link: LinkId) {
        let Some(life) = self.lives.remove(&link) else { return };
        for socket in life.sockets {
            self.cores.remove(&socket);
            net.close(socket, Ending::Now);
        }
    }

    /// The connection for the next launch to a life: the one with the fewest set-ups open, and another is begun where
    /// none is free; one that spoils an answer takes along what else is open on it. Where the same call was called off
    /// before, another connection is better: a late answer to the former launch would pass for the new one's.
    pub fn socket_for(&mut self, net: &mut dyn Net, link: LinkId, tag: Option<Tag>) -> Option<SocketId> {
        let life = self.lives.get(&link)?;
        let known = life.sockets.iter().filter_map(|id| Some((*id, self.cores.get(id)?)));
        let best = known.min_by_key(|(_, core)| {
            let doubtful = tag.is_some_and(|tag| core.was_called_off(tag));
            (!core.up, doubtful, core.open.len(), std::cmp::Reverse(core.heard))
        });
        let (best, free) = (best.map(|(id, _)| id), best.is_some_and(|(_, core)| core.open.is_empty()));
        if free || life.sockets.len() >= self.bounds.per_core || self.cores.len() >= self.bounds.cores {
            return best;
        }
        // Where the last connect did not come up and none is up, the next one is tried in its own time: a launch that
        // waited for it would lose the time in which it can go elsewhere.
        if best.is_none_or(|best| !self.cores[&best].up) && life.failed {
            return None;
        }
        let begun = self.begin(net, link);
        best.or(begun)
    }

    /// Begins another connection to a life.
    pub fn begin(&mut self, net: &mut dyn Net, link: LinkId) -> Option<SocketId> {
        let life = self.lives.get_mut(&link)?;
        if life.sockets.len() >= self.bounds.per_core || self.cores.len() >= self.bounds.cores {
            return None;
        }
        let socket = net.connect(life.address)?;
        life.sockets.push(socket);
        life.begun = self.now;
        self.cores.insert(socket, Core::new(link, self.now));
        Some(socket)
    }

    pub fn reported(&self, text: &str) -> Option<LoadReport> {
        lotussaddle_settings::load_report(text, ';').ok()
    }
}
