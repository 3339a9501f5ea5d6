//! What core servers say, and when a life of one is over.

use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::LinkId;
use lotussaddle_trunk::{DialogueEnd, Extra, Frame, Message};

use super::Platform;
use crate::codec::{self, Binary, Tag, cause, code, kind};
use crate::cores::Core;
use crate::desk::{LaunchOver, name};
use crate::{Ending, Net, SocketId};

/// Connections kept up to a core server that is listed.
const KEPT: usize = 2;
/// A life that holds dialogues and gives no sign for so long is looked at by way of a new connection ...
const SIGN_WITHIN: Duration = Duration::from_millis(1200);
/// ... and is over when none has come up since and no sign came for so long.
const OVER_AFTER: Duration = Duration::from_millis(6000);
/// One that the list says is gone needs less.
const GONE_AFTER: Duration = Duration::from_millis(1500);
/// Between connections to a life that no launch asks for.
const AGAIN: Duration = Duration::from_millis(250);
/// A report comes on all connections within so long.
const COPIES_WITHIN: Duration = Duration::from_millis(60);

/// What a release before the answer says of its launch, where it says that no call stood. None: a call has come to its end,
/// or was cut, and its answer is lost, or late. A set-up that broke on its way is told in the same words, and cannot be told
/// from one whose end is owed.
fn refusal(cause: u8, note: &str) -> Option<Outcome> {
    match (cause, note) {
        (cause::FULL, "atb" | "rtb") => Some(Outcome::NoFreeLine),
        (cause::FULL, _) => Some(Outcome::TurnedBack),
        (cause::BUSY | cause::ERROR, "sub") => Some(Outcome::NumberBusy),
        (cause::BUSY | cause::ERROR, _) => Some(Outcome::Fault),
        (cause::MOOT, _) => Some(Outcome::NotSent),
        _ => None,
    }
}

fn end_of(cause: u8) -> DialogueEnd {
    if cause == cause::NORMAL { DialogueEnd::Released } else { DialogueEnd::Cut }
}

impl Platform {
    pub(super) fn core_said(
        &mut self, socket: SocketId, link: LinkId, message: &Binary, net: &mut dyn Net,
    ) -> Result<(), &'static str> {
        let report = message.text(code::LOAD)?;
        let report = self.desk.reported(report).ok_or("a report that cannot be read")?;
        match message.kind {
            kind::STARTED => self.started(socket, link, message, report, net),
            kind::FINISH => self.core_finishes(socket, link, message, report, net),
            kind::FINISHED => {
                let id = name(message.tag);
                if self.edge.dialogue_stands(&id) == Some(true) && !self.desk.calls.contains_key(&message.tag)
                {
                    self.over(link, message.tag, DialogueEnd::Released, report, net);
                }
                Ok(())
            }
            kind::LOAD => {
                self.load(socket, link, message.text(code::LOAD)?, report, net);
                Ok(())
            }
            kind::ECHO => {
                let mut out = Vec::new();
                codec::binary(kind::ECHOED, message.tag, &[(code::CAUSE, &[1])], &mut out);
                net.send(socket, &out);
                Ok(())
            }
            kind::PENDING | kind::ECHOED => Ok(()),
            _ => Err("no known type"),
        }
    }

    pub(super) fn started(
        &mut self, socket: SocketId, link: LinkId, message: &Binary, report: LoadReport, net: &mut dyn Net,
    ) -> Result<(), &'static str> {
        let tag = message.tag;
        let now = self.desk.now;
        let Some(core) = self.desk.cores.get_mut(&socket) else { return Ok(()) };
        let Some(launch) = core.open.get(&tag).copied().filter(|_| !core.waits(tag)) else {
            // A second copy, or an answer under an id unheard of, is passed over.
            if core.was_called_off(tag) {
                self.stood_after_give_up(socket, link, tag, net);
            }
            return Ok(());
        };
        let description = message.get(code::DESCRIPTION).filter(|d| !d.is_empty()).ok_or("no description")?;
        std::str::from_utf8(description).map_err(|_| "a description that is no text")?;
        core.open.remove(&tag);
        let extra = vec![Extra { tag: code::DESCRIPTION, value: description.to_vec() }];
        let frame = Frame::Stood { dialogue: name(tag), launch, report };
        self.edge.frame_received(now, link, Message { frame, extra }, &mut self.desk.hands(net));
        Ok(())
    }

    /// An answer that comes after its launch was called off is released, unless the call is at that server again: the server
    /// has one call under this id.
    fn stood_after_give_up(&mut self, socket: SocketId, link: LinkId, tag: Tag, net: &mut dyn Net) {
        if self.server_of_call(tag) == Some(link) {
            return;
        }
        self.desk.finish(net, socket, tag);
        let now = self.desk.now;
        self.edge.stood_after_cancel(now, link, &name(tag), &mut self.desk.hands(net));
    }

    /// The server at which the call is set up, or stands.
    fn server_of_call(&self, tag: Tag) -> Option<LinkId> {
        self.desk.calls.get(&tag)?.core.map(|(link, _)| link)
    }

    pub(super) fn core_finishes(
        &mut self, socket: SocketId, link: LinkId, message: &Binary, report: LoadReport, net: &mut dyn Net,
    ) -> Result<(), &'static str> {
        let (tag, cause) = (message.tag, message.cause()?);
        let note = message.text(code::NOTE)?;
        let core = self.desk.cores.get_mut(&socket);
        if let Some(launch) = core.and_then(|core| core.take_open(tag)) {
            if let Some(call) = self.desk.calls.get_mut(&tag) {
                call.core = None;
            }
            let (now, id) = (self.desk.now, name(tag));
            let hands = &mut self.desk.hands(net);
            match refusal(cause, note) {
                Some(outcome) => {
                    self.edge.launch_outcome_reported(now, link, &id, launch, outcome, report, hands)
                }
                None => {
                    self.edge.unanswered_launch_ended(
                        now,
                        link,
                        &id,
                        Some(launch),
                        end_of(cause),
                        report,
                        hands,
                    );
                }
            }
            return Ok(());
        }
        if refusal(cause, note).is_none() && self.edge.has_previous_launch(&name(tag)) {
            self.former_launch_is_over(socket, link, tag, end_of(cause), report, net);
            return Ok(());
        }
        // A server that has answered a later launch has one call under this id, and may tell its end where an earlier launch
        // was called off; a refusal there is of that earlier launch.
        let refused = refusal(cause, note).is_some();
        let of_another = self.server_of_call(tag).is_some_and(|server| server != link || refused);
        if let Some(core) = self.desk.cores.get_mut(&socket)
            && core.was_called_off(tag)
            && of_another
        {
            // The end of a set-up that was called off here has crossed that; the call stands by another one.
            core.called_off_is_over(tag);
            return Ok(());
        }
        self.over(link, tag, end_of(cause), report, net);
        Ok(())
    }

    /// The end of a call that stood by a launch which is out no more, while its caller still waits for an answer: the end
    /// has crossed the give-up, or the answer was lost with its connection.
    fn former_launch_is_over(
        &mut self, socket: SocketId, link: LinkId, tag: Tag, end: DialogueEnd, report: LoadReport,
        net: &mut dyn Net,
    ) {
        if let Some(core) = self.desk.cores.get_mut(&socket) {
            core.called_off_is_over(tag);
        }
        let now = self.desk.now;
        self.edge.unanswered_launch_ended(
            now,
            link,
            &name(tag),
            None,
            end,
            report,
            &mut self.desk.hands(net),
        );
    }

    /// What stood there is over; what is not held may be told of yet by a caller.
    pub(super) fn over(
        &mut self, link: LinkId, tag: Tag, end: DialogueEnd, report: LoadReport, net: &mut dyn Net,
    ) {
        let (now, id) = (self.desk.now, name(tag));
        if self.edge.standing_dialogue_ended(now, link, &id, end, report, &mut self.desk.hands(net))
            || self.edge.dialogue_stands(&id).is_some()
        {
            return;
        }
        let cause = if end == DialogueEnd::Released { cause::NORMAL } else { cause::RESET };
        let (ends, order) = &mut self.ends;
        if ends.insert(tag, cause).is_none() {
            order.push_back(tag);
        }
        while order.len() > self.desk.bounds.ends {
            if let Some(oldest) = order.pop_front() {
                ends.remove(&oldest);
            }
        }
    }

    /// A report that comes by itself comes on several connections at once, and on a new one the last is told again: it
    /// counts once, since the module takes each as newer than all that it placed before.
    pub(super) fn load(
        &mut self, socket: SocketId, link: LinkId, text: &str, report: LoadReport, net: &mut dyn Net,
    ) {
        let now = self.desk.now;
        let first =
            self.desk.cores.get_mut(&socket).is_some_and(|core| !std::mem::replace(&mut core.told, true));
        let Some(life) = self.desk.lives.get_mut(&link) else { return };
        if life.report.1 == text && (first || now < life.report.0 + COPIES_WITHIN) {
            return;
        }
        life.report = (now, text.to_owned());
        self.edge.frame_received(now, link, Frame::Report { report }.into(), &mut self.desk.hands(net));
    }

    pub(super) fn core_lost(&mut self, socket: SocketId, refused: bool, why: &str, net: &mut dyn Net) {
        let Some(core) = self.desk.cores.remove(&socket) else { return };
        let link = core.link;
        let outcome = if core.up { Outcome::BrokenOff } else { Outcome::Unreachable };
        let unsent: Vec<Tag> = core.waiting.iter().map(|set_up| set_up.tag).collect();
        for (tag, launch) in core.open {
            // What was not written never ran.
            let outcome = if unsent.contains(&tag) { Outcome::Unreachable } else { outcome };
            if let Some(call) = self.desk.calls.get_mut(&tag) {
                call.core = None;
            }
            self.desk.overs.push_back(LaunchOver { link, tag, launch, outcome });
        }
        let now = self.desk.now;
        let Some(life) = self.desk.lives.get_mut(&link) else { return };
        life.sockets.retain(|other| *other != socket);
        if !core.up {
            (life.again, life.failed) = (now + AGAIN, true);
            if !refused {
                life.late += 1;
            }
        }
        let host = life.host.clone();
        net.log(&format!("connection to {host} ended: {why}"));
        let sockets = &self.desk.lives[&link].sockets;
        let none_up = !sockets.iter().any(|s| self.desk.cores.get(s).is_some_and(|core| core.up));
        self.settle(net);
        if refused && none_up && self.edge.dialogues_on_link(link) > 0 {
            self.life_over(link, "nobody listens there", net);
        }
    }

    /// A process has died, or its machine: what stood there is cut.
    pub(super) fn life_over(&mut self, link: LinkId, why: &str, net: &mut dyn Net) {
        self.desk.end_life(net, link);
        let now = self.desk.now;
        self.edge.link_closed(now, link, why, &mut self.desk.hands(net));
        self.settle(net);
    }

    pub(super) fn sweep_lives(&mut self, net: &mut dyn Net) {
        let now = self.desk.now;
        let late = |core: &Core| !core.up && now >= core.since + self.desk.connect_within;
        let late: Vec<SocketId> =
            self.desk.cores.iter().filter(|(_, c)| late(c)).map(|(id, _)| *id).collect();
        for socket in late {
            net.close(socket, Ending::Now);
            self.core_lost(socket, false, "did not come up in time", net);
            self.settle(net);
        }
        // Closed a little before the other side does: no set-up is to cross that.
        let idle = |core: &Core| {
            core.up && core.open.is_empty() && now >= core.used + self.desk.idle_after.mul_f64(0.9)
        };
        let idle = self.desk.cores.iter().filter(|(id, c)| idle(c) && !net.unread(**id));
        let idle: Vec<SocketId> = idle.map(|(id, _)| *id).collect();
        for socket in idle {
            net.close(socket, Ending::Now);
            self.core_lost(socket, false, "idle", net);
        }
        let links: Vec<LinkId> = self.desk.lives.keys().copied().collect();
        for link in links {
            let held = self.edge.dialogues_on_link(link);
            let Some(life) = self.desk.lives.get(&link) else { continue };
            let up =
                life.sockets.iter().filter(|s| self.desk.cores.get(s).is_some_and(|core| core.up)).count();
            let making = life.sockets.len() - up;
            let quiet = now.saturating_sub(life.sign);
            if life.gone {
                if held == 0 || up == 0 && making == 0 || quiet >= GONE_AFTER {
                    self.life_over(link, "gone from the list", net);
                }
                continue;
            }
            if held > 0 && quiet >= OVER_AFTER && life.late > 0 {
                self.life_over(link, "gives no sign and cannot be reached", net);
                continue;
            }
            let silent = held > 0 && quiet >= SIGN_WITHIN;
            if making == 0 && now >= life.again && (up < KEPT || silent) {
                if silent && life.sockets.len() >= self.desk.bounds.per_core {
                    self.drop_silent(link, net);
                }
                if let Some(life) = self.desk.lives.get_mut(&link) {
                    life.again = now + AGAIN;
                }
                self.desk.begin(net, link);
            }
        }
    }

    /// Makes room for a new connection to a life that is silent on all it has.
    pub(super) fn drop_silent(&mut self, link: LinkId, net: &mut dyn Net) {
        let sockets = self.desk.lives.get(&link).map(|life| life.sockets.clone()).unwrap_or_default();
        let quietest = sockets.into_iter().min_by_key(|s| {
            self.desk.cores.get(s).map_or((0, Duration::ZERO), |core| (core.open.len(), core.heard))
        });
        if let Some(socket) = quietest {
            net.close(socket, Ending::Now);
            self.core_lost(socket, false, "silent", net);
        }
    }
}
