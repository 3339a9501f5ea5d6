//! Events of the control feed, and the connection to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::LinkId;
use lotussaddle_trunk::{Entry, Frame};

use super::Platform;
use crate::cores::Incarnation;
use crate::feed::{Event, Host};
use crate::{CloseMode, Net, SocketId};

impl Platform {
    pub(super) fn apply_event(&mut self, event: Event, net: &mut dyn Net) {
        let Some(members) = event.members else { return };
        let now = self.connections.now;
        let mut entries = Vec::new();
        for host in &members.hosts {
            match self.list_entry(host) {
                Some(entry) => entries.push(entry),
                None => net
                    .log(&format!("host {} ignored: invalid entry with address {:?}", host.host, host.dial)),
            }
        }
        let hosts: Vec<String> = members.hosts.iter().map(|h| format!("{} {:?}", h.host, h.health)).collect();
        net.log(&format!("feed event {}: {}", event.n, hosts.join(", ")));
        // A new incarnation at an address, or of a host, means that the process before it no longer exists.
        for entry in &entries {
            let is_listed = entry.state != ServerState::Gone;
            let replaced = self.connections.incarnations.iter().filter(|(_, incarnation)| {
                let is_same_host = *incarnation.host == *entry.server.0;
                let address =
                    Incarnation::from_address(&entry.address, now).map(|incarnation| incarnation.address);
                is_listed
                    && (is_same_host && *incarnation.link_address != *entry.address
                        || !is_same_host && address == Some(incarnation.address))
            });
            let replaced: Vec<LinkId> = replaced.map(|(link, _)| *link).collect();
            for link in replaced {
                self.incarnation_ended(link, "replaced by another incarnation", net);
            }
        }
        if let Some(list) = self.connections.list_link {
            let frame = Frame::List { is_complete: members.whole, entries: entries.clone() };
            self.edge.frame_received(now, list, frame.into(), &mut self.connections.effects(net));
        }
        for incarnation in self.connections.incarnations.values_mut() {
            match entries.iter().find(|entry| *entry.server.0 == *incarnation.host) {
                Some(entry) => {
                    (incarnation.is_gone, incarnation.is_draining) =
                        (entry.state == ServerState::Gone, entry.state != ServerState::Active);
                }
                None => {
                    (incarnation.is_gone, incarnation.is_draining) =
                        (incarnation.is_gone | members.whole, incarnation.is_draining | members.whole)
                }
            }
        }
        self.process_pending(net);
    }

    pub(super) fn list_entry(&self, host: &Host) -> Option<Entry> {
        host.dial.parse::<SocketAddr>().ok()?;
        if host.host.contains(' ') || host.host.len() > 128 || !(0.0..1e15).contains(&host.born_ms) {
            return None;
        }
        let born = Duration::from_secs_f64((host.born_ms + self.unix_zero_ms).max(0.0) / 1000.0);
        let age = if host.born_ms == 0.0 {
            Duration::ZERO
        } else {
            self.connections.now.saturating_sub(born).max(Duration::from_micros(1))
        };
        Some(Entry {
            server: ServerId(Arc::from(&*host.host)),
            number: ServerNumber(host.block),
            address: Arc::from(Incarnation::format_address(&host.host, &host.dial, host.born_ms as u64)),
            state: host.health.server_state(),
            incarnation: host.born_ms as u64,
            age,
        })
    }

    /// Bytes were received on a connection to the feed.
    pub(super) fn feed_bytes_received(&mut self, socket: SocketId, bytes: &[u8], net: &mut dyn Net) {
        let mut events = Vec::new();
        let read = self.feed.receive(self.connections.now, socket, bytes, &mut events);
        for event in events {
            self.apply_event(event, net);
        }
        match read {
            Ok(superseded) => superseded.into_iter().for_each(|other| net.close(other, CloseMode::Now)),
            Err(error) => {
                net.close(socket, CloseMode::Now);
                self.feed_lost(socket, error.0, net);
            }
        }
    }

    pub(super) fn connect_feed(&mut self, net: &mut dyn Net) {
        let now = self.connections.now;
        let mut socket = net.connect(self.feed_address);
        if socket.is_none() && self.close_least_used_caller(net) {
            // Idle callers hold all descriptors; the list is more important than one of them.
            socket = net.connect(self.feed_address);
        }
        match socket {
            Some(socket) => self.feed.connect_started(now, socket),
            None => self.feed.connect_failed(now),
        }
    }

    pub(super) fn feed_lost(&mut self, socket: SocketId, reason: &str, net: &mut dyn Net) {
        net.log(&format!("feed connection lost after event {}: {reason}", self.feed.last_event()));
        self.feed.connection_lost(self.connections.now, socket);
    }

    /// Closes connections to the feed that are unresponsive, and starts one that is wanted. Input that waits to be read,
    /// for example because this process was paused, is read before its connection is judged.
    pub(super) fn sweep_feed(&mut self, net: &mut dyn Net) {
        let now = self.connections.now;
        for socket in self.feed.unresponsive(now) {
            if !net.has_unread(socket) {
                net.close(socket, CloseMode::Now);
                self.feed_lost(socket, "unresponsive", net);
            }
        }
        if self.feed.wants_connection(now) {
            self.connect_feed(net);
        }
    }
}
