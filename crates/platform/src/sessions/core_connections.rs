//! The connections to core servers: when one is opened or closed, and the detection of an incarnation's end.

use std::time::Duration;

use lotussaddle::interface::Outcome;
use lotussaddle_edge::LinkId;

use super::Platform;
use crate::connections::EndedLaunch;
use crate::cores::{CoreConnection, Incarnation, OpenLaunch};
use crate::liveness::SILENCE_LIMIT;
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

impl Platform {
    pub(super) fn core_lost(&mut self, socket: SocketId, refused: bool, reason: &str, net: &mut dyn Net) {
        let Some(core) = self.connections.cores.remove(&socket) else { return };
        let link = core.link;
        let outcome = if core.is_up { Outcome::BrokenOff } else { Outcome::Unreachable };
        for (tag, OpenLaunch { number: launch, sent_at }) in core.open_launches {
            // A set-up that was not written never reached the server.
            let outcome = if sent_at.is_none() { Outcome::Unreachable } else { outcome };
            if let Some(call) = self.connections.calls.get_mut(&tag) {
                call.core = None;
            }
            self.connections.ended_launches.push_back(EndedLaunch { link, tag, launch, outcome });
        }
        let now = self.connections.now;
        let may_have_lost_end = core.is_up && self.connections.may_have_lost_end(link);
        let Some(incarnation) = self.connections.incarnations.get_mut(&link) else { return };
        incarnation.sockets.retain(|other| *other != socket);
        if may_have_lost_end {
            incarnation.end_lost_at = Some(now);
        }
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

    /// Closes connections that are of no more use, ends incarnations that have died, and opens connections.
    pub(super) fn sweep_incarnations(&mut self, net: &mut dyn Net) {
        self.close_timed_out_connections(net);
        self.close_idle_connections(net);
        self.suspect_connections(net);
        self.close_suspected_connections(net);
        let links: Vec<LinkId> = self.connections.incarnations.keys().copied().collect();
        for link in links {
            if !self.end_dead_incarnation(link, net) {
                self.open_wanted_connection(link, net);
            }
        }
    }

    fn close_timed_out_connections(&mut self, net: &mut dyn Net) {
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
    }

    /// Closes idle connections slightly before the other side would close them, so that no set-up crosses the
    /// close.
    fn close_idle_connections(&mut self, net: &mut dyn Net) {
        let now = self.connections.now;
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
    }

    /// Marks the connections that are open and of no further use; they get no new set-ups. Set-ups that are open
    /// there keep their time, because the connection may only be slow.
    fn suspect_connections(&mut self, net: &mut dyn Net) {
        let now = self.connections.now;
        let unsuspected = self.connections.cores.iter_mut().filter(|(_, core)| core.is_usable());
        for (socket, core) in unsuspected {
            let Some(incarnation) = self.connections.incarnations.get(&core.link) else { continue };
            let may_carry_end = self.edge.dialogues_on_link(core.link) > 0;
            let suspicion = core.liveness.check(now, incarnation.last_message, may_carry_end);
            if let Some(suspicion) = suspicion.filter(|_| !net.has_unread(*socket)) {
                core.liveness.suspicion = Some(suspicion);
                net.log(&format!(
                    "connection to {} suspected: {suspicion}, {} set-ups open",
                    incarnation.host,
                    core.open_launches.len()
                ));
            }
        }
    }

    /// Closes suspected connections without open set-ups once another one is usable. The ends of calls that were
    /// lost there are sent again on the connection opened next.
    fn close_suspected_connections(&mut self, net: &mut dyn Net) {
        let is_usable = |id: &SocketId| self.connections.cores.get(id).is_some_and(CoreConnection::is_usable);
        let has_usable = |link: &LinkId| {
            self.connections.incarnations.get(link).is_some_and(|known| known.sockets.iter().any(is_usable))
        };
        let suspected = self.connections.cores.iter().filter(|(socket, core)| {
            core.liveness.suspicion.is_some()
                && core.open_launches.is_empty()
                && has_usable(&core.link)
                && !net.has_unread(**socket)
        });
        let suspected: Vec<SocketId> = suspected.map(|(socket, _)| *socket).collect();
        for socket in suspected {
            net.close(socket, CloseMode::Now);
            self.core_lost(socket, false, "of no further use", net);
        }
    }

    /// Whether a server may have sent the end of a call on a connection that lost it, and on no other since: on
    /// one that was closed, or for some time on one that is suspected and kept open for its set-ups.
    fn end_may_be_lost(&self, incarnation: &Incarnation) -> bool {
        let now = self.connections.now;
        let mut known = incarnation.sockets.iter().filter_map(|id| self.connections.cores.get(id));
        let is_lost_on = |core: &CoreConnection| {
            core.is_up
                && core.liveness.suspicion.is_some()
                && now >= core.liveness.last_message.max(incarnation.last_up_at) + SILENCE_LIMIT
        };
        incarnation.end_lost_at.is_some() || known.any(is_lost_on)
    }

    /// Ends an incarnation that has died or, if it is not listed any more, is of no more use. Returns whether
    /// nothing is left to be done for it in this sweep. Input that waits to be read, for example because this process
    /// was paused, is no silence.
    fn end_dead_incarnation(&mut self, link: LinkId, net: &mut dyn Net) -> bool {
        let now = self.connections.now;
        let held_count = self.edge.dialogues_on_link(link);
        let Some(incarnation) = self.connections.incarnations.get(&link) else { return true };
        let has_unread = incarnation.sockets.iter().any(|socket| net.has_unread(*socket));
        let unresponsive_for =
            if has_unread { Duration::ZERO } else { now.saturating_sub(incarnation.last_activity) };
        if incarnation.is_gone {
            let is_over =
                held_count == 0 || incarnation.sockets.is_empty() || unresponsive_for >= DELISTED_DEAD_AFTER;
            if is_over {
                self.incarnation_ended(link, "gone from the list", net);
            }
            return true;
        }
        let is_dead = held_count > 0 && unresponsive_for >= DEAD_AFTER && incarnation.connect_timeouts > 0;
        if is_dead {
            self.incarnation_ended(link, "unresponsive and unreachable", net);
        }
        is_dead
    }

    /// Opens a connection to an incarnation that has fewer usable ones than it needs, may have sent the end of a
    /// call on a connection that lost it, or is unresponsive on all connections.
    fn open_wanted_connection(&mut self, link: LinkId, net: &mut dyn Net) {
        let now = self.connections.now;
        let holds_calls = self.edge.dialogues_on_link(link) > 0;
        let Some(incarnation) = self.connections.incarnations.get(&link) else { return };
        let known = incarnation.sockets.iter().filter_map(|id| self.connections.cores.get(id));
        let is_connecting = known.clone().any(|core| !core.is_up);
        let usable_count = known.filter(|core| core.is_usable()).count();
        let is_unresponsive =
            holds_calls && now.saturating_sub(incarnation.last_activity) >= UNRESPONSIVE_AFTER;
        let end_may_be_lost = holds_calls && self.end_may_be_lost(incarnation);
        let is_wanted = usable_count < MIN_CONNECTIONS || end_may_be_lost || is_unresponsive;
        if is_connecting || now < incarnation.next_connect_at || !is_wanted {
            return;
        }
        let is_full = incarnation.sockets.len() >= self.connections.bounds.connections_per_core;
        if is_full && (usable_count == 0 || end_may_be_lost || is_unresponsive) {
            self.free_connection_slot(link, net);
        }
        if let Some(incarnation) = self.connections.incarnations.get_mut(&link) {
            incarnation.next_connect_at = now + RECONNECT_INTERVAL;
        }
        self.connections.start_connection(net, link);
    }

    /// Frees a connection slot of an incarnation for a new connection: closes one without open set-ups, or else
    /// with few, that is suspected or has delivered nothing for longest. One with open set-ups is closed only
    /// after [`SILENCE_LIMIT`], because closing it gives them up, and a slow server may still answer them.
    fn free_connection_slot(&mut self, link: LinkId, net: &mut dyn Net) {
        let now = self.connections.now;
        let Some(incarnation) = self.connections.incarnations.get(&link) else { return };
        let known = incarnation.sockets.iter().filter_map(|id| Some((*id, self.connections.cores.get(id)?)));
        let closable = known.filter(|(socket, core)| {
            let is_long_silent = now >= core.liveness.last_message + SILENCE_LIMIT;
            (core.open_launches.is_empty() || is_long_silent) && !net.has_unread(*socket)
        });
        let least_useful = closable
            .min_by_key(|(_, core)| (core.open_launches.len(), core.is_usable(), core.liveness.last_message));
        if let Some((socket, _)) = least_useful {
            net.close(socket, CloseMode::Now);
            self.core_lost(socket, false, "unresponsive", net);
        }
    }
}
