//! Events of the control feed, and the connection to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::LinkId;
use lotussaddle_trunk::{DialogueEnd, Entry, Frame};

use super::Platform;
use crate::codec::Tag;
use crate::connections::dialogue_id;
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
        entries.iter().for_each(|entry| self.replace_incarnations(entry, net));
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

    /// Ends the incarnations that are known to be replaced by a listed one. Connections may lead to the new process before
    /// the list tells of its start; what was set up there goes on.
    fn replace_incarnations(&mut self, entry: &Entry, net: &mut dyn Net) {
        let now = self.connections.now;
        let Some(listed) = Incarnation::from_address(&entry.address, now) else { return };
        if entry.state == ServerState::Gone {
            return;
        }
        let replaced = self.connections.incarnations.iter().filter(|(_, known)| {
            let is_same_host = known.host == listed.host;
            is_same_host && *known.link_address != *entry.address
                || !is_same_host && known.address == listed.address
        });
        let replaced: Vec<LinkId> = replaced.map(|(link, _)| *link).collect();
        for link in replaced {
            let is_in_use = self.connections.incarnations.get(&link).is_some_and(|known| {
                known.host == listed.host
                    && known.address == listed.address
                    && self.has_reached(link, known, entry)
            });
            if is_in_use {
                self.continue_on_incarnation(link, entry, net);
            } else {
                self.release_calls_of(link, net);
                self.incarnation_ended(link, "replaced by another incarnation", net);
            }
        }
    }

    /// Whether a listed process was reached on a link before the list told of it: a connection came up, or a call was
    /// answered, since it started. The process before it no longer existed then.
    fn has_reached(&self, link: LinkId, known: &Incarnation, entry: &Entry) -> bool {
        let Some(started) = start_of(entry, self.connections.now) else { return false };
        let is_new = |up_at: Option<Duration>| up_at.is_some_and(|up_at| up_at >= started);
        let mut cores = known.sockets.iter().filter_map(|socket| self.connections.cores.get(socket));
        let mut calls = self.connections.calls.values();
        cores.any(|core| core.is_up && is_new(core.up_at))
            || calls
                .any(|call| call.core.is_some_and(|(server, _)| server == link) && is_new(call.answered_at))
    }

    /// The link leads to the listed process already. What belonged to the process before it has ended with that.
    fn continue_on_incarnation(&mut self, link: LinkId, entry: &Entry, net: &mut dyn Net) {
        let now = self.connections.now;
        let Some(started) = start_of(entry, now) else { return };
        let is_older = |time: Option<Duration>| time.is_none_or(|time| time < started);
        let cores = self.connections.cores.iter();
        let older = cores.filter(|(_, core)| core.link == link && core.is_up && is_older(core.up_at));
        let older: Vec<SocketId> = older.map(|(socket, _)| *socket).collect();
        for socket in older {
            net.close(socket, CloseMode::Now);
            self.core_lost(socket, false, "of the process before", net);
        }
        let calls = self.connections.calls.iter();
        let cut = calls.filter(|(_, call)| {
            let may_be_there = call.core.is_none_or(|(server, _)| server == link);
            call.stands && may_be_there && is_older(call.answered_at)
        });
        let cut: Vec<Tag> = cut.map(|(tag, _)| *tag).collect();
        for tag in cut {
            let effects = &mut self.connections.effects(net);
            let (id, report) = (dialogue_id(tag), LoadReport::default());
            self.edge.standing_dialogue_ended(now, link, &id, DialogueEnd::Cut, report, effects);
        }
        self.edge.link_leads_to_incarnation(now, entry);
        if let Some(incarnation) = self.connections.incarnations.get_mut(&link) {
            incarnation.link_address = entry.address.to_string();
        }
        self.process_pending(net);
    }

    /// Releases the calls that stand at an incarnation which is about to be ended, in case its process goes on.
    fn release_calls_of(&mut self, link: LinkId, net: &mut dyn Net) {
        let calls = self.connections.calls.iter();
        let standing = calls.filter(|(_, call)| call.stands && call.core.is_some_and(|(on, _)| on == link));
        let standing: Vec<Tag> = standing.map(|(tag, _)| *tag).collect();
        let Some(incarnation) = self.connections.incarnations.get(&link) else { return };
        let is_up = |socket: &&SocketId| self.connections.cores.get(socket).is_some_and(|core| core.is_up);
        let Some(socket) = incarnation.sockets.iter().rfind(is_up).copied() else { return };
        for tag in standing {
            self.connections.send_finish(net, socket, tag);
        }
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

/// When a listed process started, on the local clock; `None` if it started before the others were listed.
fn start_of(entry: &Entry, now: Duration) -> Option<Duration> {
    (!entry.age.is_zero()).then(|| now.saturating_sub(entry.age))
}
