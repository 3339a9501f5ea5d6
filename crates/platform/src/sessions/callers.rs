//! What callers say, and when their connections are closed.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_trunk::{Dial, Extra, Frame, Message};

use super::Platform;
use crate::codec::{self, CallerSaid, Cutter, Form, Start, Tag, ToCaller, Wrong, cause, code};
use crate::desk::{CALLERS, Call, Caller, name};
use crate::{Ending, Net, SocketId};

/// A connection that has said nothing of use for so long is closed, and so is one whose message stays a part.
const SAY_WITHIN: Duration = Duration::from_millis(1800);
/// Callers close a connection that is idle for 4 s; one idle for longer is held for good.
const IDLE: Duration = Duration::from_millis(4800);
/// So many messages that cannot be used end a connection.
const MOST_WRONGS: u32 = 8;

impl Platform {
    /// A caller has connected.
    pub fn accepted(&mut self, now: Duration, socket: SocketId, net: &mut dyn Net) {
        self.desk.now = now;
        if self.desk.callers.len() >= self.desk.bounds.callers && !self.make_room(net) {
            return net.close(socket, Ending::Now);
        }
        let caller = Caller {
            cutter: Cutter::new(Form::Lines),
            since: now,
            used: now,
            open: Default::default(),
            standing: 0,
            good: false,
            served: false,
            wrongs: 0,
        };
        self.desk.callers.insert(socket, caller);
    }

    /// Closes the connection of least use: one that has said nothing of use before one that is idle, one on which calls
    /// stand last, the oldest first; none on which a set-up is open, or may lie to be read.
    pub(super) fn make_room(&mut self, net: &mut dyn Net) -> bool {
        let idle = self.desk.callers.iter().filter(|(_, c)| c.open.is_empty());
        let mut idle: Vec<_> =
            idle.map(|(id, c)| ((c.good, c.standing > 0, c.used, *id), *id, c.good)).collect();
        idle.sort_unstable();
        let least = idle.into_iter().map(|(_, id, good)| (id, good)).find(|(id, _)| !net.unread(*id));
        least.is_some_and(|(socket, good)| {
            // The last answer on one that was of use may not be written yet.
            self.drop_caller(socket, if good { Ending::Told } else { Ending::Now }, net);
            true
        })
    }

    pub(super) fn caller_read(&mut self, socket: SocketId, cutter: &mut Cutter, net: &mut dyn Net) {
        loop {
            let said = match cutter.message() {
                Ok(None) => return,
                Ok(Some(line)) => codec::caller_said(line),
                Err(why) => Err(Wrong { tag: None, why }),
            };
            let now = self.desk.now;
            match said {
                Ok(CallerSaid::Start(start)) => self.start(socket, start, net),
                Ok(CallerSaid::Finish(tag)) => self.caller_finishes(socket, tag, net),
                Ok(CallerSaid::Echo(tag)) => {
                    let well = self.ready && self.ending_since.is_none();
                    if self.desk.tell(net, socket, tag, ToCaller::Echoed(well)) {
                        self.good(socket);
                    }
                }
                Ok(CallerSaid::Finished(tag)) => {
                    self.desk.heard_over(tag);
                    if let Some(caller) = self.desk.callers.get_mut(&socket) {
                        caller.used = now;
                    }
                }
                Ok(CallerSaid::Nothing) => {
                    if let Some(caller) = self.desk.callers.get_mut(&socket) {
                        caller.used = now;
                    }
                }
                Err(wrong) => self.wrong(socket, wrong, net),
            }
            self.settle(net);
            if !self.desk.callers.contains_key(&socket) {
                return;
            }
        }
    }

    pub(super) fn good(&mut self, socket: SocketId) {
        if let Some(caller) = self.desk.callers.get_mut(&socket) {
            (caller.good, caller.used) = (true, self.desk.now);
        }
    }

    /// What cannot be used is refused where it names a call that nobody else has, and else ends its connection.
    pub(super) fn wrong(&mut self, socket: SocketId, wrong: Wrong, net: &mut dyn Net) {
        let Some(caller) = self.desk.callers.get_mut(&socket) else { return };
        caller.wrongs += 1;
        let enough = caller.wrongs >= MOST_WRONGS;
        let free = wrong.tag.filter(|tag| self.edge.dialogue_stands(&name(*tag)).is_none());
        if let Some(tag) = free {
            let said = ToCaller::Finish { cause: cause::UNUSABLE, wait_ms: None };
            self.desk.tell(net, socket, tag, said);
        }
        if enough || free.is_none() {
            self.drop_caller(socket, Ending::Told, net);
        }
    }

    pub(super) fn start(&mut self, socket: SocketId, start: Start, net: &mut dyn Net) {
        let (now, tag) = (self.desk.now, start.tag);
        let wrong = |why| Wrong { tag: Some(tag), why };
        let Some(product) = self.classes.get(&start.class).copied() else {
            return self.wrong(socket, wrong("no known class"), net);
        };
        if self.widths.get(usize::from(product)).is_some_and(|width| *width != start.width) {
            return self.wrong(socket, wrong("not the width of its class"), net);
        }
        if start.dest != -1 && !self.dests.is_empty() && !self.dests.contains(&start.dest) {
            return self.wrong(socket, wrong("no known first choice"), net);
        }
        let id = name(tag);
        if self.edge.dialogue_stands(&id).is_some() {
            if start.at.is_none() {
                self.wrong(socket, wrong("a call that is in already"), net);
            }
            return;
        }
        let bytes = start.description.len();
        let dial = Dial {
            dialogue: id.clone(),
            key: start.key.map(|key| DialledKey(Arc::from(key))),
            product,
            tenant: None,
            first_choice: ServerNumber(start.dest),
            width: start.width,
            time_left: Duration::from_secs_f64(start.left_ms / 1000.0).min(self.time_here()),
            is_retry: start.again,
            redialled_after_cut: start.came_back,
            is_repeat: false,
            sent_at: None,
            try_of: None,
            dialled: None,
        };
        self.good(socket);
        let call = |open: bool| Call { caller: socket, open, stands: false, bytes, core: None };
        if let Some(server) = start.at {
            if let Some(cause) = self.ends.0.remove(&tag) {
                return self.desk.tell_over(net, tag, cause, Some(socket));
            }
            let server = ServerId(Arc::from(server));
            let hands = &mut self.desk.hands(net);
            if self.edge.adopt_standing(now, CALLERS, &dial, &server, hands) {
                self.desk.calls.insert(tag, call(false));
                self.desk.stands(tag);
            } else {
                self.desk.tell_over(net, tag, cause::RESET, Some(socket));
            }
            return;
        }
        if self.desk.described + bytes > self.desk.bounds.descriptions || dial.time_left.is_zero() {
            let said = ToCaller::Finish { cause: cause::CONGESTION, wait_ms: None };
            self.desk.tell(net, socket, tag, said);
            return;
        }
        self.desk.described += bytes;
        self.desk.calls.insert(tag, call(true));
        if let Some(caller) = self.desk.callers.get_mut(&socket) {
            caller.open.insert(tag);
        }
        let extra = vec![Extra { tag: code::DESCRIPTION, value: start.description.into_bytes() }];
        let message = Message { frame: Frame::Dial(dial), extra };
        self.edge.frame_received(now, CALLERS, message, &mut self.desk.hands(net));
    }

    /// A set-up is given up on its own connection, a call that stands on any.
    pub(super) fn caller_finishes(&mut self, socket: SocketId, tag: Tag, net: &mut dyn Net) {
        match self.edge.dialogue_stands(&name(tag)) {
            Some(false) if self.desk.calls.get(&tag).is_none_or(|call| call.caller != socket) => {
                self.wrong(socket, Wrong { tag: Some(tag), why: "a set-up of another connection" }, net);
            }
            Some(stands) => {
                self.good(socket);
                self.hang_up(tag, net);
                if stands {
                    self.desk.tell(net, socket, tag, ToCaller::Finished);
                }
            }
            None => {
                // It may have crossed the end; whoever says nothing else is not kept.
                let Some(caller) = self.desk.callers.get(&socket) else { return };
                let good = caller.good;
                self.desk.tell(net, socket, tag, ToCaller::Finished);
                if !good {
                    self.wrong(socket, Wrong { tag: None, why: "the end of a call that is not held" }, net);
                }
            }
        }
    }

    pub(super) fn hang_up(&mut self, tag: Tag, net: &mut dyn Net) {
        let message = Frame::HangUp { dialogue: name(tag) }.into();
        self.edge.frame_received(self.desk.now, CALLERS, message, &mut self.desk.hands(net));
        self.desk.drop_call(tag);
    }

    /// Ends a connection of callers from here: what is open on it is answered first, where that can still be told.
    pub(super) fn drop_caller(&mut self, socket: SocketId, how: Ending, net: &mut dyn Net) {
        let open = self.desk.callers.get(&socket).filter(|_| how == Ending::Told);
        for tag in open.map(|caller| caller.open.clone()).unwrap_or_default() {
            self.desk.tell(net, socket, tag, ToCaller::Finish { cause: cause::RESET, wait_ms: None });
        }
        net.close(socket, how);
        self.caller_lost(socket, net);
    }

    /// The set-ups open on it are given up; what stands belongs to no connection.
    pub(super) fn caller_lost(&mut self, socket: SocketId, net: &mut dyn Net) {
        let Some(caller) = self.desk.callers.remove(&socket) else { return };
        for tag in caller.open {
            self.hang_up(tag, net);
        }
    }

    pub(super) fn sweep_callers(&mut self, net: &mut dyn Net) {
        let now = self.desk.now;
        let doomed = self.desk.callers.iter().filter(|(id, c)| {
            let stuck = c.cutter.pending() > 0 && now >= c.used.max(c.since) + SAY_WITHIN;
            let idle = if c.good { now >= c.used + IDLE } else { now >= c.since + SAY_WITHIN };
            c.open.is_empty() && (stuck || c.standing == 0 && idle) && !net.unread(**id)
        });
        let doomed: Vec<SocketId> = doomed.map(|(socket, _)| *socket).collect();
        for socket in doomed {
            self.drop_caller(socket, Ending::Told, net);
        }
    }
}
