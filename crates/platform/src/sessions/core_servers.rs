//! Messages from core servers.

use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::LinkId;
use lotussaddle_trunk::{DialogueEnd, Extra, Frame, Message};

use super::Platform;
use crate::codec::{self, BinaryMessage, Framing, MessageSplitter, Tag, cause, code, kind};
use crate::connections::dialogue_id;
use crate::ended_calls::CallEnd;
use crate::{CloseMode, Net, SocketId};

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
    /// Bytes were received on a connection to a core server.
    pub(super) fn core_bytes_received(&mut self, socket: SocketId, bytes: &[u8], net: &mut dyn Net) {
        let now = self.connections.now;
        let Some(core) = self.connections.cores.get_mut(&socket) else { return };
        let link = core.link;
        let mut splitter = std::mem::replace(&mut core.splitter, MessageSplitter::new(Framing::Binary));
        if let Some(incarnation) = self.connections.incarnations.get_mut(&link) {
            incarnation.last_activity = now;
        }
        splitter.push(bytes);
        loop {
            let handled = match splitter.next_message() {
                Ok(None) => break,
                Ok(Some(message)) => {
                    self.connections.core_message_received(socket, link);
                    BinaryMessage::parse(message)
                        .and_then(|m| self.handle_core_message(socket, link, &m, net))
                }
                Err(reason) => Err(reason),
            };
            if let Err(reason) = handled {
                net.close(socket, CloseMode::Now);
                self.core_lost(socket, false, reason, net);
                break;
            }
            self.process_pending(net);
            if !self.connections.cores.contains_key(&socket) {
                break;
            }
        }
        if let Some(core) = self.connections.cores.get_mut(&socket) {
            core.liveness.input_split(now, splitter.pending_bytes());
            core.splitter = splitter;
        }
    }

    fn handle_core_message(
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

    fn handle_started(
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
        self.connections.set_up_answered(socket, link, launch);
        let extra = vec![Extra { tag: code::DESCRIPTION, value: description.to_vec() }];
        let frame = Frame::Stood { dialogue: dialogue_id(tag), launch: launch.number, report };
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

    fn handle_core_finish(
        &mut self, socket: SocketId, link: LinkId, message: &BinaryMessage, report: LoadReport,
        net: &mut dyn Net,
    ) -> Result<(), &'static str> {
        let (tag, cause) = (message.tag, message.cause()?);
        let note = message.text(code::NOTE)?;
        let core = self.connections.cores.get_mut(&socket);
        if let Some(launch) = core.and_then(|core| core.take_open_launch(tag)) {
            self.connections.set_up_answered(socket, link, launch);
            let launch = launch.number;
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
        let Some(incarnation) = self.connections.incarnations.get(&link) else { return };
        let cause = if end == DialogueEnd::Released { cause::NORMAL } else { cause::RESET };
        let end = CallEnd { server: incarnation.host.clone(), cause };
        let forgotten = self.ended_calls.insert(tag, end, self.edge.is_concluded(&id));
        if let Some(forgotten) = forgotten {
            net.log(&format!(
                "end of {forgotten} forgotten: too many calls ended that no caller has reported"
            ));
        }
    }

    /// An unrequested load report arrives on several connections at once, and a new connection repeats the
    /// last one. It is applied once, because the decision module takes each report as newer than all launches
    /// it has placed before.
    fn handle_load(
        &mut self, socket: SocketId, link: LinkId, text: &str, report: LoadReport, net: &mut dyn Net,
    ) {
        let now = self.connections.now;
        let is_first = self
            .connections
            .cores
            .get_mut(&socket)
            .is_some_and(|core| !std::mem::replace(&mut core.has_reported, true));
        if !is_first {
            self.connections.report_received(socket, link);
        }
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
}
