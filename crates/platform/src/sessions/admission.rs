//! The way of set-ups through their queues to the decision module.

use std::collections::VecDeque;
use std::time::Duration;

use lotussaddle_trunk::{Extra, Frame, Message};

use super::Platform;
use super::set_ups::new_call;
use crate::codec::{MAX_MESSAGE_BYTES, MessageToCaller, Start, Tag, cause, code};
use crate::connections::{CALLERS, ConnectionTable, dialogue_id};
use crate::cores::SetUp;
use crate::intake::QueuedSetUp;
use crate::{Net, SocketId};

/// Set-ups that the module is given in one loop iteration, to bound its length.
const MAX_ADMISSIONS_PER_ITERATION: usize = 128;
/// Queued set-ups that are refused in one loop iteration, for the same reason.
const MAX_REFUSALS_PER_ITERATION: usize = 512;
/// A queued set-up is refused this long before its caller stops waiting, so that the refusal arrives in time.
const REFUSE_BEFORE_DEADLINE: Duration = Duration::from_millis(100);

impl Platform {
    /// Queues a set-up until the module is given it.
    pub(super) fn queue_set_up(
        &mut self, socket: SocketId, start: Start, product: u16, launch_from: Duration, net: &mut dyn Net,
    ) {
        let (now, tag, time_left) = (self.connections.now, start.tag, self.time_left(&start));
        let held = self.intake.len() + self.edge.sizes().0;
        let has_room = self.intake.has_room_for(socket) && held < self.connections.bounds.edge.max_dialogues;
        let refusal = if self.edge.is_concluded(&dialogue_id(tag)) {
            Some(cause::UNUSABLE)
        } else {
            (!has_room || time_left.is_zero()).then_some(cause::CONGESTION)
        };
        if let Some(cause) = refusal {
            let message = MessageToCaller::Finish { cause, wait_ms: None };
            self.connections.send_to_caller(net, socket, tag, message);
            return;
        }
        let not_before = if launch_from > now { launch_from } else { Duration::ZERO };
        self.queue(socket, QueuedSetUp { start, product, deadline: now + time_left, not_before });
        self.refuse_excess(net);
    }

    /// Gives the module queued set-ups, from each connection in turn, while it has room for them. The input of a connection
    /// is read before its set-ups are decided on.
    pub(super) fn admit_set_ups(&mut self, net: &mut dyn Net) {
        self.has_more_to_admit = false;
        self.refuse_expired(net);
        self.intake.queue_deferred(self.connections.now);
        let mut in_turn: VecDeque<SocketId> = self.intake.in_turn().into();
        in_turn.retain(|socket| !net.has_unread(*socket));
        let mut admitted = 0;
        while let Some(socket) = in_turn.pop_front()
            && self.may_admit()
        {
            if admitted == MAX_ADMISSIONS_PER_ITERATION {
                self.has_more_to_admit = true;
                return;
            }
            if let Some(set_up) = self.intake.take_first(socket) {
                self.admit(socket, set_up, net);
                self.process_pending(net);
                in_turn.push_back(socket);
                admitted += 1;
            }
        }
    }

    /// Takes set-ups back from the module that cannot be sent now because their connections have unread input: meanwhile
    /// they would occupy core servers, which would seem not to answer.
    pub(super) fn requeue_held_back(&mut self, net: &mut dyn Net) {
        for held_back in std::mem::take(&mut self.connections.held_back) {
            if let Some((socket, set_up)) = self.queued_again(held_back) {
                let tag = set_up.start.tag;
                self.hang_up(tag, net);
                self.edge.forget_concluded(&dialogue_id(tag));
                self.queue(socket, set_up);
                self.refuse_excess(net);
            }
        }
    }

    /// A set-up that the module has, as it was queued; `None` if it is open no more, or was sent to a core server.
    fn queued_again(&mut self, held_back: SetUp) -> Option<(SocketId, QueuedSetUp)> {
        let call = self.connections.calls.get_mut(&held_back.tag)?;
        if !call.is_open || call.was_launched || !self.connections.callers.contains_key(&call.caller) {
            return None;
        }
        let mut start = *call.start.take()?;
        start.description = String::from_utf8(held_back.description).ok()?;
        let product = held_back.class;
        Some((
            call.caller,
            QueuedSetUp { start, product, deadline: call.deadline, not_before: Duration::ZERO },
        ))
    }

    /// Appends a set-up to the queue of its connection.
    pub(super) fn queue(&mut self, socket: SocketId, set_up: QueuedSetUp) {
        if let Some(caller) = self.connections.callers.get_mut(&socket) {
            caller.open_set_ups.insert(set_up.start.tag);
            self.intake.push(socket, set_up);
        }
    }

    fn may_admit(&self) -> bool {
        let ConnectionTable { open_calls, held_description_bytes, bounds, .. } = &self.connections;
        *open_calls < bounds.admitted_set_ups
            && held_description_bytes + MAX_MESSAGE_BYTES <= bounds.description_bytes
    }

    /// Refuses set-ups beyond the memory that may be used for queued ones.
    fn refuse_excess(&mut self, net: &mut dyn Net) {
        while let Some((socket, set_up)) = self.intake.excess().and_then(|tag| self.remove_queued(tag)) {
            let message = MessageToCaller::Finish { cause: cause::CONGESTION, wait_ms: None };
            self.connections.send_to_caller(net, socket, set_up.start.tag, message);
        }
    }

    /// Refuses queued set-ups whose callers stop waiting soon. One that had very little time from the beginning is decided
    /// on at once, if its connection's input was read.
    fn refuse_expired(&mut self, net: &mut dyn Net) {
        let now = self.connections.now;
        for _ in 0..MAX_REFUSALS_PER_ITERATION {
            let expired = self.intake.expired(now + REFUSE_BEFORE_DEADLINE);
            let Some((socket, set_up)) = expired.and_then(|tag| self.remove_queued(tag)) else { return };
            let may_be_decided = set_up.not_before.is_zero() && set_up.deadline > now;
            if may_be_decided && self.may_admit() && !net.has_unread(socket) {
                self.admit(socket, set_up, net);
                continue;
            }
            let message = MessageToCaller::Finish { cause: cause::CONGESTION, wait_ms: None };
            self.connections.send_to_caller(net, socket, set_up.start.tag, message);
        }
        self.has_more_to_admit = true;
    }

    /// Passes a set-up to the edge.
    fn admit(&mut self, socket: SocketId, set_up: QueuedSetUp, net: &mut dyn Net) {
        let QueuedSetUp { mut start, product, deadline, .. } = set_up;
        let (now, tag) = (self.connections.now, start.tag);
        start.time_left_ms = deadline.saturating_sub(now).as_secs_f64() * 1000.0;
        let dial = self.dial(&start, product);
        self.connections.held_description_bytes += start.description.len();
        self.connections.open_calls += 1;
        let mut call = new_call(socket, &start, true);
        let description = std::mem::take(&mut start.description);
        (call.start, call.deadline) = (Some(Box::new(start)), deadline);
        self.connections.calls.insert(tag, call);
        if let Some(caller) = self.connections.callers.get_mut(&socket) {
            caller.open_set_ups.insert(tag);
        }
        let extra = vec![Extra { tag: code::DESCRIPTION, value: description.into_bytes() }];
        let message = Message { frame: Frame::Dial(dial), extra };
        self.edge.frame_received(now, CALLERS, message, &mut self.connections.effects(net));
    }

    /// Removes a queued set-up from its queue and from its connection.
    pub(super) fn remove_queued(&mut self, tag: Tag) -> Option<(SocketId, QueuedSetUp)> {
        let (socket, set_up) = self.intake.remove(tag)?;
        if let Some(caller) = self.connections.callers.get_mut(&socket) {
            caller.open_set_ups.remove(&tag);
        }
        Some((socket, set_up))
    }

    /// A caller gives up a set-up that the module was not given.
    pub(super) fn give_up_queued(&mut self, tag: Tag) {
        if let Some((socket, _)) = self.remove_queued(tag) {
            self.mark_valid(socket);
            self.edge.remember_concluded(&dialogue_id(tag));
        }
    }
}
