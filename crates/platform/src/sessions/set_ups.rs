//! Set-ups from callers: their validation, those that are sent again, and calls that are reported as standing.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_trunk::{Dial, Extra, Frame, Message};

use super::Platform;
use crate::codec::{InvalidMessage, MessageToCaller, Start, Tag, cause, code};
use crate::connections::{CALLERS, Call, dialogue_id};
use crate::recent_set_ups::{Ending, Fingerprint, RecentSetUp};
use crate::{Net, SocketId};

/// A set-up that was sent again and waits until it may go to a core server again.
pub(super) struct DeferredSetUp {
    caller: SocketId,
    start: Start,
    /// Earliest time of its launch.
    launch_from: Duration,
    /// When its caller stops waiting.
    deadline: Duration,
}

impl Platform {
    pub(super) fn handle_start(&mut self, socket: SocketId, start: Start, net: &mut dyn Net) {
        let tag = start.tag;
        let invalid = |reason| InvalidMessage { tag: Some(tag), reason };
        let product = match self.validated_product(&start) {
            Ok(product) => product,
            Err(reason) => return self.reject_message(socket, invalid(reason), net),
        };
        match self.edge.dialogue_stands(&dialogue_id(tag)) {
            Some(_) if start.standing_at.is_some() => {}
            Some(stands) => {
                if !self.repeat_of_held_call(socket, &start, stands, net) {
                    self.reject_message(socket, invalid("call is already held"), net);
                }
            }
            None if self.deferred_set_ups.contains_key(&tag) => {
                self.reject_message(socket, invalid("call is already held"), net);
            }
            None => {
                self.mark_valid(socket);
                match start.standing_at.clone() {
                    Some(server) => self.handle_reported_call(socket, &start, product, &server, net),
                    None => self.handle_new_set_up(socket, start, product, net),
                }
            }
        }
    }

    /// The place of a set-up's product in the plan, if its values agree with the configuration.
    fn validated_product(&self, start: &Start) -> Result<u16, &'static str> {
        let product = self.classes.get(&start.class).copied().ok_or("unknown class")?;
        if self.widths.get(usize::from(product)).is_some_and(|width| *width != start.width) {
            return Err("width does not match the class");
        }
        let is_known = self.first_choices.is_empty() || self.first_choices.contains(&start.first_choice);
        if start.first_choice != -1 && !is_known {
            return Err("unknown first choice");
        }
        Ok(product)
    }

    /// A set-up that is held is sent again on another connection, because the one on which it was received has ended for
    /// its caller, which this side need not know yet. It is carried on, and its answer goes to both; an answer sent just
    /// before may be lost and is sent again. Returns false if it is no such set-up.
    fn repeat_of_held_call(
        &mut self, socket: SocketId, start: &Start, stands: bool, net: &mut dyn Net,
    ) -> bool {
        let fingerprint = Fingerprint::of(start);
        let Some(call) = self.connections.calls.get(&start.tag) else { return false };
        if call.fingerprint != fingerprint || call.sockets().any(|own| own == socket) {
            return false;
        }
        if stands {
            let recent = self.connections.recent_set_ups.take_repeated(start.tag, fingerprint, socket);
            let Some(Ending::Stands(description)) = recent.map(|recent| recent.ending) else { return false };
            self.connections.send_answer(net, socket, start.tag, &description);
        }
        self.mark_valid(socket);
        self.connections.add_repeat(start.tag, socket);
        true
    }

    /// A caller reports a call that stands at a core server: its end is passed on, or it is held until its end.
    fn handle_reported_call(
        &mut self, socket: SocketId, start: &Start, product: u16, server: &str, net: &mut dyn Net,
    ) {
        let (now, tag) = (self.connections.now, start.tag);
        if let Some(cause) = self.ended_calls.take(tag, server) {
            return self.connections.release_caller(net, tag, cause, Some(socket));
        }
        let server = ServerId(Arc::from(server));
        let dial = self.dial(start, product);
        let effects = &mut self.connections.effects(net);
        if self.edge.adopt_standing(now, CALLERS, &dial, &server, effects) {
            self.connections.calls.insert(tag, new_call(socket, start, false));
            self.connections.mark_standing(tag);
        } else {
            self.connections.release_caller(net, tag, cause::RESET, Some(socket));
        }
    }

    fn handle_new_set_up(&mut self, socket: SocketId, start: Start, product: u16, net: &mut dyn Net) {
        let fingerprint = Fingerprint::of(&start);
        let recent = self.connections.recent_set_ups.take_repeated(start.tag, fingerprint, socket);
        match recent.map(|recent| recent.ending) {
            None | Some(Ending::Stands(_)) => self.accept_set_up(socket, start, product, net),
            Some(Ending::Refused { cause, wait_ms }) => {
                let answer = MessageToCaller::Finish { cause, wait_ms };
                self.connections.send_to_caller(net, socket, start.tag, answer);
            }
            Some(Ending::GivenUp { launch_from }) => {
                self.resume_set_up(socket, start, product, launch_from, net);
            }
        }
    }

    /// A set-up that was given up with its connection is sent again. It is taken on as a new one, as soon as a core
    /// server that may have had it has released it.
    fn resume_set_up(
        &mut self, socket: SocketId, start: Start, product: u16, launch_from: Duration, net: &mut dyn Net,
    ) {
        let (now, tag) = (self.connections.now, start.tag);
        let time_left = Duration::from_secs_f64(start.time_left_ms / 1000.0).min(self.remaining_time());
        if now >= launch_from {
            self.edge.forget_concluded(&dialogue_id(tag));
            return self.accept_set_up(socket, start, product, net);
        }
        if now + time_left <= launch_from || !self.has_room_for(&start) {
            let answer = MessageToCaller::Finish { cause: cause::RESET, wait_ms: None };
            self.connections.send_to_caller(net, socket, tag, answer);
            return;
        }
        self.connections.held_description_bytes += start.description.len();
        if let Some(caller) = self.connections.callers.get_mut(&socket) {
            caller.open_set_ups.insert(tag);
        }
        let deferred = DeferredSetUp { caller: socket, start, launch_from, deadline: now + time_left };
        self.deferred_set_ups.insert(tag, deferred);
    }

    /// Takes on the set-ups that have waited until they may go to a core server again.
    pub(super) fn launch_deferred(&mut self, net: &mut dyn Net) {
        let now = self.connections.now;
        let is_due = |deferred: &DeferredSetUp| now >= deferred.launch_from;
        let due: Vec<(Tag, SocketId)> = self
            .deferred_set_ups
            .iter()
            .filter(|(_, deferred)| is_due(deferred))
            .map(|(tag, deferred)| (*tag, deferred.caller))
            .collect();
        for (tag, socket) in due {
            let Some(DeferredSetUp { mut start, deadline, .. }) = self.take_deferred(tag) else { continue };
            let Some(product) = self.classes.get(&start.class).copied() else { continue };
            start.time_left_ms = deadline.saturating_sub(now).as_secs_f64() * 1000.0;
            self.edge.forget_concluded(&dialogue_id(tag));
            self.accept_set_up(socket, start, product, net);
        }
    }

    /// When [`Self::launch_deferred`] is due next.
    pub(super) fn deferred_due(&self) -> Option<Duration> {
        self.deferred_set_ups.values().map(|deferred| deferred.launch_from).min()
    }

    /// Removes a set-up that waits for its launch if it belongs to this connection. Returns whether there was one.
    pub(super) fn remove_deferred(&mut self, tag: Tag, socket: SocketId) -> bool {
        let is_own = self.deferred_set_ups.get(&tag).is_some_and(|deferred| deferred.caller == socket);
        is_own && self.take_deferred(tag).is_some()
    }

    pub(super) fn take_deferred(&mut self, tag: Tag) -> Option<DeferredSetUp> {
        let deferred = self.deferred_set_ups.remove(&tag)?;
        self.connections.held_description_bytes -= deferred.start.description.len();
        if let Some(caller) = self.connections.callers.get_mut(&deferred.caller) {
            caller.open_set_ups.remove(&tag);
        }
        Some(deferred)
    }

    /// The connection of a set-up without an answer was lost: it is given up, and may be sent again.
    pub(super) fn remember_given_up(&mut self, tag: Tag) {
        let now = self.connections.now;
        if let Some(deferred) = self.take_deferred(tag) {
            let recent = RecentSetUp {
                fingerprint: Fingerprint::of(&deferred.start),
                caller: deferred.caller,
                ending: Ending::GivenUp { launch_from: deferred.launch_from },
            };
            return self.connections.recent_set_ups.insert(now, tag, recent);
        }
        let was_launched = self.connections.calls.get(&tag).is_some_and(|call| call.was_launched);
        let launch_from = if was_launched { now + self.release_time } else { now };
        self.connections.remember_ending(tag, Ending::GivenUp { launch_from });
    }

    fn has_room_for(&self, start: &Start) -> bool {
        self.connections.held_description_bytes + start.description.len()
            <= self.connections.bounds.description_bytes
    }

    /// Passes a set-up to the edge.
    fn accept_set_up(&mut self, socket: SocketId, start: Start, product: u16, net: &mut dyn Net) {
        let (now, tag) = (self.connections.now, start.tag);
        let dial = self.dial(&start, product);
        if !self.has_room_for(&start) || dial.time_left.is_zero() {
            let message = MessageToCaller::Finish { cause: cause::CONGESTION, wait_ms: None };
            self.connections.send_to_caller(net, socket, tag, message);
            return;
        }
        self.connections.held_description_bytes += start.description.len();
        self.connections.calls.insert(tag, new_call(socket, &start, true));
        if let Some(caller) = self.connections.callers.get_mut(&socket) {
            caller.open_set_ups.insert(tag);
        }
        let extra = vec![Extra { tag: code::DESCRIPTION, value: start.description.into_bytes() }];
        let message = Message { frame: Frame::Dial(dial), extra };
        self.edge.frame_received(now, CALLERS, message, &mut self.connections.effects(net));
    }

    fn dial(&self, start: &Start, product: u16) -> Dial {
        Dial {
            dialogue: dialogue_id(start.tag),
            key: start.key.as_deref().map(|key| DialledKey(Arc::from(key))),
            product,
            tenant: None,
            first_choice: ServerNumber(start.first_choice),
            width: start.width,
            time_left: Duration::from_secs_f64(start.time_left_ms / 1000.0).min(self.remaining_time()),
            is_retry: start.is_retry,
            redialled_after_cut: start.redialled_after_cut,
            is_repeat: false,
            sent_at: None,
            try_of: None,
            dialled: None,
        }
    }
}

fn new_call(caller: SocketId, start: &Start, is_open: bool) -> Call {
    Call {
        fingerprint: Fingerprint::of(start),
        was_launched: false,
        caller,
        repeated_on: None,
        is_open,
        stands: false,
        description_bytes: start.description.len(),
        core: None,
    }
}
