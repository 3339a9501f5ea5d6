//! Which connection bears what, and the edge proxy's effects turned into messages.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNo, LoadReport, Outcome};
use lotussaddle_edge::{LinkId, Note, Wires};
use lotussaddle_trunk::{End, Frame, Launch, Message, NotTaken};

use crate::codec::{self, Cutter, Tag, ToCaller, cause, code, kind};
use crate::config::Bounds;
use crate::cores::{Core, Life};
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
    pub bytes: usize,
    pub core: Option<(LinkId, SocketId)>,
}

/// A launch has ended without a frame that tells so.
pub struct LaunchOver {
    pub link: LinkId,
    pub tag: Tag,
    pub launch: LaunchNo,
    pub outcome: Outcome,
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
    /// Releases towards callers that no connection could take yet, since when.
    pub untold: VecDeque<(Duration, Tag, u8)>,
    out: Vec<u8>,
}

pub fn name(tag: Tag) -> DialogueId {
    DialogueId(tag.to_string().into())
}

fn tag(dialogue: &DialogueId) -> Tag {
    Tag::read(&dialogue.0).unwrap_or(Tag(0)) // Every dialogue here was named by `name`.
}

/// How long a release waits for a connection that was answered on, and for one that has said something of use: others
/// may be nobody's who knows the call.
const PICKY: Duration = Duration::from_millis(600);
const LESS_PICKY: Duration = Duration::from_millis(850);
/// A release that no connection could take for so long is dropped: it would no longer be in time.
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
            untold: VecDeque::new(),
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
        let caller = self.close_call(tag);
        self.calls.remove(&tag);
        caller
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

    /// A dialogue that stood is over: its own connection is told, else another that callers use, since it belongs to
    /// none; where there is none, the next one.
    pub fn tell_over(
        &mut self, net: &mut dyn Net, tag: Tag, cause: u8, own: Option<SocketId>, since: Duration,
    ) {
        let own = own.filter(|own| self.callers.contains_key(own) && !self.broken.contains(own));
        let waited = self.now.saturating_sub(since);
        let used = || {
            let fits = |c: &Caller| c.served || c.good && waited >= PICKY || waited >= LESS_PICKY;
            let callers = self.callers.iter().filter(|(id, c)| !self.broken.contains(id) && fits(c));
            callers.max_by_key(|(_, c)| (c.served, c.good, c.used)).map(|(id, _)| *id)
        };
        if let Some(socket) = own.or_else(used)
            && self.tell(net, socket, tag, ToCaller::Finish { cause, wait_ms: None })
        {
            return;
        }
        if self.untold.len() < self.bounds.untold && self.now < since + UNTOLD_FOR {
            self.untold.push_back((since, tag, cause));
        } else {
            net.log(&format!("release of {tag} could not be told to a caller"));
        }
    }

    pub fn tell_untold(&mut self, net: &mut dyn Net) {
        for (since, tag, cause) in std::mem::take(&mut self.untold) {
            self.tell_over(net, tag, cause, None, since);
        }
    }

    fn link(&mut self) -> LinkId {
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.to_admit.push(link);
        link
    }

    /// Sends a set-up, or has it wait for a connection that comes up.
    fn set_up(
        &mut self, net: &mut dyn Net, link: LinkId, launch: Launch, extra: &[lotussaddle_trunk::Extra],
    ) {
        let tag = tag(&launch.dialogue);
        let over = LaunchOver { link, tag, launch: launch.launch, outcome: Outcome::Unreachable };
        let Some(socket) = self.socket_for(net, link, Some(tag)) else { return self.overs.push_back(over) };
        let until = self.now + launch.time_left;
        let left = (launch.time_left.as_millis() as u64).max(1).to_string();
        let class = self.classes.get(usize::from(launch.product)).cloned().unwrap_or_default();
        let key = launch.key.as_ref().map(|key| key.0.clone());
        let description = extra.iter().find(|e| e.tag == code::DESCRIPTION).map(|e| &*e.value);
        let mut parameters: Vec<(u8, &[u8])> =
            vec![(code::CLASS, class.as_bytes()), (code::LEFT, left.as_bytes())];
        parameters.extend(key.as_ref().map(|key| (code::KEY, key.as_bytes())));
        parameters.extend(description.map(|description| (code::DESCRIPTION, description)));
        let mut bytes = Vec::new();
        if !codec::binary(kind::START, tag, &parameters, &mut bytes) {
            return self.overs.push_back(LaunchOver { outcome: Outcome::NotSent, ..over });
        }
        let now = self.now;
        let core = self.cores.get_mut(&socket).expect("it was chosen");
        if core.up {
            if !net.send(socket, &bytes) {
                return self.overs.push_back(over);
            }
            core.used = now;
        } else {
            core.waiting.push((tag, until, bytes));
        }
        core.open.insert(tag, launch.launch);
        if let Some(call) = self.calls.get_mut(&tag) {
            call.core = Some((link, socket));
        }
    }

    fn cancel(&mut self, net: &mut dyn Net, tag: Tag) {
        let Some((_, socket)) = self.calls.get_mut(&tag).and_then(|call| call.core.take()) else { return };
        let Some(core) = self.cores.get_mut(&socket) else { return };
        if core.open.remove(&tag).is_none() {
            return;
        }
        if !core.up {
            return core.waiting.retain(|(waiting, ..)| *waiting != tag);
        }
        core.called_off(tag);
        self.finish(net, socket, tag);
    }

    /// Gives a set-up up, or releases what stands, towards a core server.
    pub fn finish(&mut self, net: &mut dyn Net, socket: SocketId, tag: Tag) -> bool {
        self.out.clear();
        codec::binary(kind::FINISH, tag, &[(code::CAUSE, &[cause::NORMAL])], &mut self.out);
        net.send(socket, &self.out)
    }

    fn release(&mut self, net: &mut dyn Net, link: LinkId, tag: Tag) {
        let own = self.calls.get(&tag).and_then(|call| call.core).map(|(_, socket)| socket);
        let up = |socket: &SocketId| self.cores.get(socket).is_some_and(|core| core.up && core.link == link);
        let Some(life) = self.lives.get_mut(&link) else { return };
        let socket = own.filter(up).or_else(|| life.sockets.iter().copied().find(up));
        let Some(socket) = socket else {
            if life.releases.len() < self.bounds.ends {
                life.releases.push(tag);
            }
            return;
        };
        self.finish(net, socket, tag);
    }
}

/// The desk and the world, lent to the edge for one input.
pub struct Hands<'a> {
    desk: &'a mut Desk,
    net: &'a mut dyn Net,
}

impl Wires for Hands<'_> {
    /// Always true: what cannot be said comes back as an end, or as a caller's connection that is lost.
    fn say(&mut self, link: LinkId, message: Message) -> bool {
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
                if let Some(socket) = desk.close_call(tag)
                    && desk.tell(net, socket, tag, ToCaller::Started(description))
                    && let Some(caller) = desk.callers.get_mut(&socket)
                {
                    caller.served = true;
                }
            }
            Frame::Refused { dialogue, come_back } => {
                let wait_ms = come_back.map(|time| time.as_millis() as u64);
                answer(desk, net, &dialogue, ToCaller::Finish { cause: cause::FULL, wait_ms });
            }
            Frame::Failed { dialogue } => {
                answer(desk, net, &dialogue, ToCaller::Finish { cause: cause::RESET, wait_ms: None });
            }
            Frame::Declined { dialogue, why } => {
                let cause = if why == NotTaken::Full { cause::CONGESTION } else { cause::UNUSABLE };
                answer(desk, net, &dialogue, ToCaller::Finish { cause, wait_ms: None });
            }
            Frame::Over { dialogue, end } => {
                let tag = tag(&dialogue);
                let cause = if end == End::Released { cause::NORMAL } else { cause::RESET };
                let own = desk.drop_call(tag);
                desk.tell_over(net, tag, cause, own, desk.now);
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

    fn log(&mut self, _note: Note, line: &str) {
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
