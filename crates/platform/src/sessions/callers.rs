//! Messages from callers, and the closing of their connections.

use std::time::Duration;

use lotussaddle_trunk::Frame;

use super::Platform;
use crate::codec::{
    self, CallerMessage, Framing, InvalidMessage, MessageSplitter, MessageToCaller, Tag, cause,
};
use crate::connections::{CALLERS, CallerConnection, dialogue_id};
use crate::recent_set_ups::Ending;
use crate::{CloseMode, Net, SocketId};

/// A connection is closed this long after it was accepted if it has sent no valid message, and this long after
/// the first bytes of a message that stays incomplete, or after the last message sent meanwhile.
const CALLER_MESSAGE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Callers close a connection that has been idle for 4 s; one that is idle for longer will not be closed by
/// its caller.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_millis(4800);
/// A connection is closed after this many invalid messages.
const MAX_INVALID_MESSAGES: u32 = 8;

impl Platform {
    /// A caller has connected.
    pub fn connection_accepted(&mut self, now: Duration, socket: SocketId, net: &mut dyn Net) {
        self.connections.now = now;
        if self.connections.callers.len() >= self.connections.bounds.caller_connections
            && !self.close_least_used_caller(net)
        {
            return net.close(socket, CloseMode::Now);
        }
        let caller = CallerConnection {
            splitter: MessageSplitter::new(Framing::Lines),
            accepted_at: now,
            incomplete_since: None,
            last_used: now,
            open_set_ups: Default::default(),
            standing_calls: 0,
            has_sent_valid: false,
            has_been_answered: false,
            invalid_messages: 0,
        };
        self.connections.callers.insert(socket, caller);
    }

    /// Closes the least useful connection to free a descriptor: those without a valid message first, then
    /// idle ones, those with standing calls last; the least recently used first. Connections with an open
    /// set-up, or with unread input that may be one, are never closed.
    pub(super) fn close_least_used_caller(&mut self, net: &mut dyn Net) -> bool {
        let idle = self.connections.callers.iter().filter(|(_, c)| c.open_set_ups.is_empty());
        let mut idle: Vec<_> = idle
            .map(|(id, c)| {
                ((c.has_sent_valid, c.standing_calls > 0, c.last_used, *id), *id, c.has_sent_valid)
            })
            .collect();
        idle.sort_unstable();
        let least_used = idle
            .into_iter()
            .map(|(_, id, has_sent_valid)| (id, has_sent_valid))
            .find(|(id, _)| !net.has_unread(*id));
        least_used.is_some_and(|(socket, has_sent_valid)| {
            // On a connection that was in use the last answer may not be written yet.
            self.close_caller(
                socket,
                if has_sent_valid { CloseMode::AfterWriting } else { CloseMode::Now },
                net,
            );
            true
        })
    }

    /// Bytes were received on a caller's connection.
    pub(super) fn caller_bytes_received(&mut self, socket: SocketId, bytes: &[u8], net: &mut dyn Net) {
        let now = self.connections.now;
        let Some(caller) = self.connections.callers.get_mut(&socket) else { return };
        let mut splitter = std::mem::replace(&mut caller.splitter, MessageSplitter::new(Framing::Lines));
        splitter.push(bytes);
        self.handle_caller_messages(socket, &mut splitter, net);
        if let Some(caller) = self.connections.callers.get_mut(&socket) {
            if splitter.pending_bytes() > 0 {
                caller.incomplete_since.get_or_insert(now);
            }
            caller.splitter = splitter;
        }
    }

    fn handle_caller_messages(
        &mut self, socket: SocketId, splitter: &mut MessageSplitter, net: &mut dyn Net,
    ) {
        loop {
            let received = match splitter.next_message() {
                Ok(None) => return,
                Ok(Some(line)) => codec::parse_caller_message(line),
                Err(reason) => Err(InvalidMessage { tag: None, reason }),
            };
            let now = self.connections.now;
            if let Some(caller) = self.connections.callers.get_mut(&socket) {
                caller.incomplete_since = None;
            }
            match received {
                Ok(CallerMessage::Start(start)) => self.handle_start(socket, start, net),
                Ok(CallerMessage::Finish(tag)) => self.handle_caller_finish(socket, tag, net),
                Ok(CallerMessage::Echo(tag)) => {
                    let is_healthy = self.is_ready && self.shutdown_since.is_none();
                    if self.connections.send_to_caller(net, socket, tag, MessageToCaller::Echoed(is_healthy))
                    {
                        self.mark_valid(socket);
                    }
                }
                Ok(CallerMessage::Finished(tag)) => {
                    self.connections.release_acknowledged(tag);
                    if let Some(caller) = self.connections.callers.get_mut(&socket) {
                        caller.last_used = now;
                    }
                }
                Ok(CallerMessage::Ignored) => {
                    if let Some(caller) = self.connections.callers.get_mut(&socket) {
                        caller.last_used = now;
                    }
                }
                Err(invalid) => self.reject_message(socket, invalid, net),
            }
            self.process_pending(net);
            if !self.connections.callers.contains_key(&socket) {
                return;
            }
        }
    }

    pub(super) fn mark_valid(&mut self, socket: SocketId) {
        if let Some(caller) = self.connections.callers.get_mut(&socket) {
            (caller.has_sent_valid, caller.last_used) = (true, self.connections.now);
        }
    }

    /// Refuses an invalid message if it names a call that nobody holds; otherwise closes its connection.
    pub(super) fn reject_message(&mut self, socket: SocketId, invalid: InvalidMessage, net: &mut dyn Net) {
        let Some(caller) = self.connections.callers.get_mut(&socket) else { return };
        caller.invalid_messages += 1;
        let too_many = caller.invalid_messages >= MAX_INVALID_MESSAGES;
        let unheld_tag = invalid.tag.filter(|tag| self.edge.dialogue_stands(&dialogue_id(*tag)).is_none());
        if let Some(tag) = unheld_tag {
            let message = MessageToCaller::Finish { cause: cause::UNUSABLE, wait_ms: None };
            self.connections.send_to_caller(net, socket, tag, message);
        }
        if too_many || unheld_tag.is_none() {
            self.close_caller(socket, CloseMode::AfterWriting, net);
        }
    }

    /// A set-up can be given up only on its own connection, a standing call on any.
    pub(super) fn handle_caller_finish(&mut self, socket: SocketId, tag: Tag, net: &mut dyn Net) {
        if self.intake.get(tag).is_some_and(|(caller, _)| caller == socket) {
            return self.give_up_queued(tag);
        }
        match self.edge.dialogue_stands(&dialogue_id(tag)) {
            Some(false) if !self.connections.callers_of(tag).contains(&socket) => {
                self.reject_message(
                    socket,
                    InvalidMessage { tag: Some(tag), reason: "set-up belongs to another connection" },
                    net,
                );
            }
            Some(stands) => {
                self.mark_valid(socket);
                self.hang_up(tag, net);
                if stands {
                    self.connections.send_to_caller(net, socket, tag, MessageToCaller::Finished);
                }
            }
            None => {
                // The message may have crossed the end of the call; a connection that has sent nothing else
                // of use is closed.
                let Some(caller) = self.connections.callers.get(&socket) else { return };
                let has_sent_valid = caller.has_sent_valid;
                self.connections.send_to_caller(net, socket, tag, MessageToCaller::Finished);
                if !has_sent_valid {
                    self.reject_message(
                        socket,
                        InvalidMessage { tag: None, reason: "call is not held" },
                        net,
                    );
                }
            }
        }
    }

    /// Notifies the edge that the caller has given up the set-up or ended the call.
    pub(super) fn hang_up(&mut self, tag: Tag, net: &mut dyn Net) {
        let message = Frame::HangUp { dialogue: dialogue_id(tag) }.into();
        self.edge.frame_received(self.connections.now, CALLERS, message, &mut self.connections.effects(net));
        self.connections.remove_call(tag);
    }

    /// Closes a caller's connection; the set-ups open on it are answered first if the answer can still be
    /// written.
    pub(super) fn close_caller(&mut self, socket: SocketId, how: CloseMode, net: &mut dyn Net) {
        if how == CloseMode::AfterWriting {
            self.fail_open_set_ups(socket, net);
        }
        net.close(socket, how);
        self.caller_lost(socket, net);
    }

    /// Answers the set-ups open on a connection that is about to be closed, unless they were sent again on another one.
    fn fail_open_set_ups(&mut self, socket: SocketId, net: &mut dyn Net) {
        let Some(caller) = self.connections.callers.get(&socket) else { return };
        for tag in caller.open_set_ups.clone() {
            if self.connections.callers_of(tag).len() > 1 {
                continue;
            }
            self.connections.remember_ending(tag, Ending::Refused { cause: cause::RESET, wait_ms: None });
            let message = MessageToCaller::Finish { cause: cause::RESET, wait_ms: None };
            self.connections.send_to_caller(net, socket, tag, message);
            self.remove_queued(tag);
            self.hang_up(tag, net);
        }
    }

    /// Gives up the set-ups open on a lost connection; standing calls are not bound to a connection.
    pub(super) fn caller_lost(&mut self, socket: SocketId, net: &mut dyn Net) {
        let Some(caller) = self.connections.callers.remove(&socket) else { return };
        for tag in caller.open_set_ups {
            if self.connections.is_open_elsewhere(tag, socket) {
                continue;
            }
            let is_queued = self.intake.get(tag).is_some();
            self.remember_given_up(tag);
            if !is_queued {
                self.hang_up(tag, net);
            }
        }
    }

    pub(super) fn sweep_callers(&mut self, net: &mut dyn Net) {
        let now = self.connections.now;
        let expired = self.connections.callers.iter().filter(|(id, c)| {
            let is_incomplete = c
                .incomplete_since
                .is_some_and(|since| now >= since.max(c.last_used) + CALLER_MESSAGE_TIMEOUT);
            let is_idle = if c.has_sent_valid {
                now >= c.last_used + CALLER_IDLE_TIMEOUT
            } else {
                now >= c.accepted_at + CALLER_MESSAGE_TIMEOUT
            };
            c.open_set_ups.is_empty()
                && (is_incomplete || c.standing_calls == 0 && is_idle)
                && !net.has_unread(**id)
        });
        let expired: Vec<SocketId> = expired.map(|(socket, _)| *socket).collect();
        for socket in expired {
            self.close_caller(socket, CloseMode::AfterWriting, net);
        }
    }
}
