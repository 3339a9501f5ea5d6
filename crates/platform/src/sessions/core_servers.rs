//! Messages from core servers, and the detection of an incarnation's end.

use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::LinkId;
use lotussaddle_trunk::{DialogueEnd, Extra, Frame, Message};

use super::Platform;
use crate::codec::{self, BinaryMessage, Tag, cause, code, kind};
use crate::connections::{EndedLaunch, dialogue_id};
use crate::cores::CoreConnection;
use crate::{CloseMode, Net, SocketId};

/// Connections kept open to a listed core server.
const MIN_CONNECTIONS: usize = 2;
/// An incarnation that holds dialogues and has sent nothing for this long is probed with a new connection.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1200);
/// It counts as ended if no connection has come up since and nothing was received for this long.
const DEAD_AFTER: Duration = Duration::from_millis(6000);
/// The same for an incarnation that the list says is gone.
const DELISTED_DEAD_AFTER: Duration = Duration::from_millis(1500);
/// Pause between connections to an incarnation that no launch asks for.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Copies of one load report arrive on all connections within this time.
const REPORT_COPY_WINDOW: Duration = Duration::from_millis(60);

/// The outcome of a launch whose release before the answer states that no call stood. `None`: a call has
/// ended or was cut, and its answer is lost or late. A set-up that failed on its way uses the same cause, so
/// it cannot be distinguished from a call whose end must be passed on.
fn refusal_outcome(cause: u8, note: &str) -> Option<Outcome> {
    match (cause, note) {
        (cause::FULL, "atb" | "rtb") => Some(Outcome::NoFreeLine),
        (cause::FULL, _) => Some(Outcome::TurnedBack),
        (cause::BUSY | cause::ERROR, "sub") => Some(Outcome::NumberBusy),
        (cause::BUSY | cause::ERROR, _) => Some(Outcome::Fault),
        (cause::NOT_PROCESSED, _) => Some(Outcome::NotSent),
        _ => None,
    }
}

fn end_for_cause(cause: u8) -> DialogueEnd {
    if cause == cause::NORMAL { DialogueEnd::Released } else { DialogueEnd::Cut }
}

impl Platform {
    pub(super) fn handle_core_message(
        &mut self, socket: SocketId, link: LinkId, message: &BinaryMessage, net: &mut dyn Net,
    ) -> Result<(), &'static str> {
        let report = message.text(code::LOAD)?;
        let report = self.connections.parse_report(report).ok_or("invalid load report")?;
        match message.kind {
            kind::STARTED => self.handle_started(socket, link, message, report, net),
            kind::FINISH => self.handle_core_finish(socket, link, message, report, net),
            kind::FINISHED => {
                let id = dialogue_id(message.tag);
                if self.edge.dialogue_stands(&id) == Some(true)
                    && !self.connections.calls.contains_key(&message.tag)
                {
                    self.end_call(link, message.tag, DialogueEnd::Released, report, net);
                }
                Ok(())
            }
            kind::LOAD => {
                self.handle_load(socket, link, message.text(code::LOAD)?, report, net);
                Ok(())
            }
            kind::ECHO => {
                let mut out = Vec::new();
                codec::write_binary_message(kind::ECHOED, message.tag, &[(code::CAUSE, &[1])], &mut out);
                net.send(socket, &out);
                Ok(())
            }
            kind::PENDING | kind::ECHOED => Ok(()),
            _ => Err("unknown message type"),
        }
    }

    pub(super) fn handle_started(
        &mut self, socket: SocketId, link: LinkId, message: &BinaryMessage, report: LoadReport,
        net: &mut dyn Net,
    ) -> Result<(), &'static str> {
        let tag = message.tag;
        let now = self.connections.now;
        let Some(core) = self.connections.cores.get_mut(&socket) else { return Ok(()) };
        let Some(launch) = core.open_launches.get(&tag).copied().filter(|_| !core.is_unsent(tag)) else {
            // A duplicate, or an answer with an unknown identifier, is ignored.
            if core.was_cancelled(tag) {
                self.stood_after_cancel(socket, link, tag, net);
            }
            return Ok(());
        };
        let description =
            message.parameter(code::DESCRIPTION).filter(|d| !d.is_empty()).ok_or("missing description")?;
        std::str::from_utf8(description).map_err(|_| "description is not UTF-8")?;
        core.open_launches.remove(&tag);
        let extra = vec![Extra { tag: code::DESCRIPTION, value: description.to_vec() }];
        let frame = Frame::Stood { dialogue: dialogue_id(tag), launch, report };
        self.edge.frame_received(now, link, Message { frame, extra }, &mut self.connections.effects(net));
        Ok(())
    }

    /// An answer that arrives after its launch was cancelled is released, unless the call is at that server
    /// again: the server has only one call with this identifier.
    fn stood_after_cancel(&mut self, socket: SocketId, link: LinkId, tag: Tag, net: &mut dyn Net) {
        if self.server_of_call(tag) == Some(link) {
            return;
        }
        self.connections.send_finish(net, socket, tag);
        let now = self.connections.now;
        self.edge.stood_after_cancel(now, link, &dialogue_id(tag), &mut self.connections.effects(net));
    }

    /// The server at which the call is being set up, or stands.
    fn server_of_call(&self, tag: Tag) -> Option<LinkId> {
        self.connections.calls.get(&tag)?.core.map(|(link, _)| link)
    }

    pub(super) fn handle_core_finish(
        &mut self, socket: SocketId, link: LinkId, message: &BinaryMessage, report: LoadReport,
        net: &mut dyn Net,
    ) -> Result<(), &'static str> {
        let (tag, cause) = (message.tag, message.cause()?);
        let note = message.text(code::NOTE)?;
        let core = self.connections.cores.get_mut(&socket);
        if let Some(launch) = core.and_then(|core| core.take_open_launch(tag)) {
            if let Some(call) = self.connections.calls.get_mut(&tag) {
                call.core = None;
            }
            let (now, id) = (self.connections.now, dialogue_id(tag));
            let effects = &mut self.connections.effects(net);
            match refusal_outcome(cause, note) {
                Some(outcome) => {
                    self.edge.launch_outcome_reported(now, link, &id, launch, outcome, report, effects)
                }
                None => {
                    self.edge.unanswered_launch_ended(
                        now,
                        link,
                        &id,
                        Some(launch),
                        end_for_cause(cause),
                        report,
                        effects,
                    );
                }
            }
            return Ok(());
        }
        if refusal_outcome(cause, note).is_none() && self.edge.has_previous_launch(&dialogue_id(tag)) {
            self.end_previous_launch(socket, link, tag, end_for_cause(cause), report, net);
            return Ok(());
        }
        // A server that has answered a later launch has one call with this identifier and may report its end
        // on the connection on which an earlier launch was cancelled; a refusal there belongs to that earlier
        // launch.
        let is_refusal = refusal_outcome(cause, note).is_some();
        let belongs_to_other_launch =
            self.server_of_call(tag).is_some_and(|server| server != link || is_refusal);
        if let Some(core) = self.connections.cores.get_mut(&socket)
            && core.was_cancelled(tag)
            && belongs_to_other_launch
        {
            // The end of a cancelled set-up has crossed the cancellation; the call stands through another
            // launch.
            core.clear_cancellation(tag);
            return Ok(());
        }
        self.end_call(link, tag, end_for_cause(cause), report, net);
        Ok(())
    }

    /// Handles the end of a call that stood through an earlier launch, while its caller still waits for an
    /// answer: the end has crossed the cancellation, or the answer was lost with its connection.
    fn end_previous_launch(
        &mut self, socket: SocketId, link: LinkId, tag: Tag, end: DialogueEnd, report: LoadReport,
        net: &mut dyn Net,
    ) {
        if let Some(core) = self.connections.cores.get_mut(&socket) {
            core.clear_cancellation(tag);
        }
        let now = self.connections.now;
        self.edge.unanswered_launch_ended(
            now,
            link,
            &dialogue_id(tag),
            None,
            end,
            report,
            &mut self.connections.effects(net),
        );
    }

    /// Handles the end of a standing call. The end of a call that is not held is remembered, because a caller
    /// may still report that call as standing.
    pub(super) fn end_call(
        &mut self, link: LinkId, tag: Tag, end: DialogueEnd, report: LoadReport, net: &mut dyn Net,
    ) {
        let (now, id) = (self.connections.now, dialogue_id(tag));
        if self.edge.standing_dialogue_ended(now, link, &id, end, report, &mut self.connections.effects(net))
            || self.edge.dialogue_stands(&id).is_some()
        {
            return;
        }
        let cause = if end == DialogueEnd::Released { cause::NORMAL } else { cause::RESET };
        let (ends, order) = &mut self.remembered_ends;
        if ends.insert(tag, cause).is_none() {
            order.push_back(tag);
        }
        while order.len() > self.connections.bounds.remembered_ends {
            if let Some(oldest) = order.pop_front() {
                ends.remove(&oldest);
            }
        }
    }

    /// An unrequested load report arrives on several connections at once, and a new connection repeats the
    /// last one. It is applied once, because the decision module takes each report as newer than all launches
    /// it has placed before.
    pub(super) fn handle_load(
        &mut self, socket: SocketId, link: LinkId, text: &str, report: LoadReport, net: &mut dyn Net,
    ) {
        let now = self.connections.now;
        let is_first = self
            .connections
            .cores
            .get_mut(&socket)
            .is_some_and(|core| !std::mem::replace(&mut core.has_reported, true));
        let Some(incarnation) = self.connections.incarnations.get_mut(&link) else { return };
        if incarnation.last_report.1 == text
            && (is_first || now < incarnation.last_report.0 + REPORT_COPY_WINDOW)
        {
            return;
        }
        incarnation.last_report = (now, text.to_owned());
        self.edge.frame_received(
            now,
            link,
            Frame::Report { report }.into(),
            &mut self.connections.effects(net),
        );
    }

    pub(super) fn core_lost(&mut self, socket: SocketId, refused: bool, reason: &str, net: &mut dyn Net) {
        let Some(core) = self.connections.cores.remove(&socket) else { return };
        let link = core.link;
        let outcome = if core.is_up { Outcome::BrokenOff } else { Outcome::Unreachable };
        let unsent: Vec<Tag> = core.unsent_set_ups.iter().map(|set_up| set_up.tag).collect();
        for (tag, launch) in core.open_launches {
            // A set-up that was not written never reached the server.
            let outcome = if unsent.contains(&tag) { Outcome::Unreachable } else { outcome };
            if let Some(call) = self.connections.calls.get_mut(&tag) {
                call.core = None;
            }
            self.connections.ended_launches.push_back(EndedLaunch { link, tag, launch, outcome });
        }
        let now = self.connections.now;
        let Some(incarnation) = self.connections.incarnations.get_mut(&link) else { return };
        incarnation.sockets.retain(|other| *other != socket);
        if !core.is_up {
            (incarnation.next_connect_at, incarnation.last_connect_failed) = (now + RECONNECT_INTERVAL, true);
            if !refused {
                incarnation.connect_timeouts += 1;
            }
        }
        let host = incarnation.host.clone();
        net.log(&format!("connection to {host} ended: {reason}"));
        let sockets = &self.connections.incarnations[&link].sockets;
        let none_up = !sockets.iter().any(|s| self.connections.cores.get(s).is_some_and(|core| core.is_up));
        self.process_pending(net);
        if refused && none_up && self.edge.dialogues_on_link(link) > 0 {
            self.incarnation_ended(link, "connection refused", net);
        }
    }

    /// A process or its machine has died: the calls standing there are cut.
    pub(super) fn incarnation_ended(&mut self, link: LinkId, reason: &str, net: &mut dyn Net) {
        self.connections.close_incarnation(net, link);
        let now = self.connections.now;
        self.edge.link_closed(now, link, reason, &mut self.connections.effects(net));
        self.process_pending(net);
    }

    pub(super) fn sweep_incarnations(&mut self, net: &mut dyn Net) {
        let now = self.connections.now;
        let has_timed_out =
            |core: &CoreConnection| !core.is_up && now >= core.started + self.connections.connect_timeout;
        let timed_out: Vec<SocketId> =
            self.connections.cores.iter().filter(|(_, c)| has_timed_out(c)).map(|(id, _)| *id).collect();
        for socket in timed_out {
            net.close(socket, CloseMode::Now);
            self.core_lost(socket, false, "connect timed out", net);
            self.process_pending(net);
        }
        // Closed slightly before the other side would close it, so that no set-up crosses the close.
        let is_idle = |core: &CoreConnection| {
            core.is_up
                && core.open_launches.is_empty()
                && now >= core.last_used + self.connections.idle_timeout.mul_f64(0.9)
        };
        let idle = self.connections.cores.iter().filter(|(id, c)| is_idle(c) && !net.has_unread(**id));
        let idle: Vec<SocketId> = idle.map(|(id, _)| *id).collect();
        for socket in idle {
            net.close(socket, CloseMode::Now);
            self.core_lost(socket, false, "idle", net);
        }
        let links: Vec<LinkId> = self.connections.incarnations.keys().copied().collect();
        for link in links {
            let held_count = self.edge.dialogues_on_link(link);
            let Some(incarnation) = self.connections.incarnations.get(&link) else { continue };
            let up_count = incarnation
                .sockets
                .iter()
                .filter(|s| self.connections.cores.get(s).is_some_and(|core| core.is_up))
                .count();
            let connecting_count = incarnation.sockets.len() - up_count;
            let unresponsive_for = now.saturating_sub(incarnation.last_activity);
            if incarnation.is_gone {
                if held_count == 0
                    || up_count == 0 && connecting_count == 0
                    || unresponsive_for >= DELISTED_DEAD_AFTER
                {
                    self.incarnation_ended(link, "gone from the list", net);
                }
                continue;
            }
            if held_count > 0 && unresponsive_for >= DEAD_AFTER && incarnation.connect_timeouts > 0 {
                self.incarnation_ended(link, "unresponsive and unreachable", net);
                continue;
            }
            let is_unresponsive = held_count > 0 && unresponsive_for >= UNRESPONSIVE_AFTER;
            if connecting_count == 0
                && now >= incarnation.next_connect_at
                && (up_count < MIN_CONNECTIONS || is_unresponsive)
            {
                if is_unresponsive
                    && incarnation.sockets.len() >= self.connections.bounds.connections_per_core
                {
                    self.close_unresponsive_connection(link, net);
                }
                if let Some(incarnation) = self.connections.incarnations.get_mut(&link) {
                    incarnation.next_connect_at = now + RECONNECT_INTERVAL;
                }
                self.connections.start_connection(net, link);
            }
        }
    }

    /// Frees a connection slot of an incarnation that is unresponsive on all its connections, for a new
    /// connection.
    pub(super) fn close_unresponsive_connection(&mut self, link: LinkId, net: &mut dyn Net) {
        let sockets = self
            .connections
            .incarnations
            .get(&link)
            .map(|incarnation| incarnation.sockets.clone())
            .unwrap_or_default();
        let longest_unresponsive = sockets.into_iter().min_by_key(|s| {
            self.connections
                .cores
                .get(s)
                .map_or((0, Duration::ZERO), |core| (core.open_launches.len(), core.last_received))
        });
        if let Some(socket) = longest_unresponsive {
            net.close(socket, CloseMode::Now);
            self.core_lost(socket, false, "unresponsive", net);
        }
    }
}
