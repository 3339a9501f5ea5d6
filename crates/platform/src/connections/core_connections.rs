//! The connections to each incarnation of a core server: which one is used, and what they have delivered.

use lotussaddle_edge::LinkId;

use super::{Call, ConnectionTable};
use crate::codec::Tag;
use crate::cores::{CoreConnection, OpenLaunch};
use crate::{CloseMode, Net, SocketId};

impl ConnectionTable {
    /// A complete message was received on a connection to an incarnation.
    pub fn core_message_received(&mut self, socket: SocketId, link: LinkId) {
        if let Some(core) = self.cores.get_mut(&socket) {
            core.liveness.message_received(self.now);
        }
        if let Some(incarnation) = self.incarnations.get_mut(&link) {
            incarnation.last_message = self.now;
        }
    }

    /// A set-up on a connection to an incarnation has had an outcome.
    pub fn set_up_answered(&mut self, socket: SocketId, link: LinkId, launch: OpenLaunch) {
        if let Some(core) = self.cores.get_mut(&socket) {
            core.liveness.set_up_answered();
        }
        if let Some(incarnation) = self.incarnations.get_mut(&link) {
            incarnation.last_answered_sent_at = incarnation.last_answered_sent_at.max(launch.sent_at);
        }
    }

    /// A load report that is sent on all open connections to an incarnation was received on this one.
    pub fn report_received(&mut self, socket: SocketId, link: LinkId) {
        let Some(incarnation) = self.incarnations.get(&link) else { return };
        for other in incarnation.sockets.iter().filter(|other| **other != socket) {
            if let Some(core) = self.cores.get_mut(other).filter(|core| core.is_up) {
                core.liveness.report_received_elsewhere(self.now);
            }
        }
    }

    /// Whether the server may have sent the end of a standing call on a connection that is no longer open: it
    /// uses the connection of the set-up, or any open one if that is closed.
    pub fn may_have_lost_end(&self, link: LinkId) -> bool {
        let is_own_connection_closed = |call: &Call| match call.core {
            Some((server, socket)) => server == link && !self.cores.contains_key(&socket),
            None => true, // Adopted: it was set up on a connection of an earlier process.
        };
        self.calls.values().any(|call| call.stands && is_own_connection_closed(call))
    }

    /// Closes all connections to an incarnation and removes it.
    pub fn close_incarnation(&mut self, net: &mut dyn Net, link: LinkId) {
        let Some(incarnation) = self.incarnations.remove(&link) else { return };
        for socket in incarnation.sockets {
            self.cores.remove(&socket);
            net.close(socket, CloseMode::Now);
        }
    }

    /// Chooses the connection for the next launch to an incarnation: the one with the fewest open launches.
    /// Another connection is started if none is free, since an invalid answer closes its connection and
    /// breaks off everything else open on it. A connection on which the same call was cancelled is avoided: a
    /// late answer to the earlier launch would be taken for an answer to the new one. One that is held to be of
    /// no further use is not chosen.
    pub fn choose_connection(
        &mut self, net: &mut dyn Net, link: LinkId, tag: Option<Tag>,
    ) -> Option<SocketId> {
        let incarnation = self.incarnations.get(&link)?;
        let known = incarnation.sockets.iter().filter_map(|id| Some((*id, self.cores.get(id)?)));
        let best = known.filter(|(_, core)| core.liveness.suspicion.is_none()).min_by_key(|(_, core)| {
            let may_get_late_answer = tag.is_some_and(|tag| core.was_cancelled(tag));
            (
                !core.is_up,
                may_get_late_answer,
                core.open_launches.len(),
                std::cmp::Reverse(core.liveness.last_message),
            )
        });
        let (best, is_free) =
            (best.map(|(id, _)| id), best.is_some_and(|(_, core)| core.open_launches.is_empty()));
        if is_free
            || incarnation.sockets.len() >= self.bounds.connections_per_core
            || self.cores.len() >= self.bounds.core_connections
        {
            return best;
        }
        // If the last attempt failed and no connection is up, the next attempt is left to its own schedule: a
        // launch that waited for it would lose time in which it could go elsewhere.
        if best.is_none_or(|best| !self.cores[&best].is_up) && incarnation.last_connect_failed {
            return None;
        }
        let started = self.start_connection(net, link);
        best.or(started)
    }

    /// Starts another connection to an incarnation; `None` if a bound is reached or no descriptor is free.
    pub fn start_connection(&mut self, net: &mut dyn Net, link: LinkId) -> Option<SocketId> {
        let incarnation = self.incarnations.get_mut(&link)?;
        if incarnation.sockets.len() >= self.bounds.connections_per_core
            || self.cores.len() >= self.bounds.core_connections
        {
            return None;
        }
        let socket = net.connect(incarnation.address)?;
        incarnation.sockets.push(socket);
        incarnation.last_connect_started = self.now;
        self.cores.insert(socket, CoreConnection::new(link, self.now));
        Some(socket)
    }
}
