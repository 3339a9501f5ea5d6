//! The feed: its events, and how it is reached.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::LinkId;
use lotussaddle_trunk::{Entry, Frame};

use super::Platform;
use crate::cores::Life;
use crate::feed::{Event, Host};
use crate::{Ending, Net};

impl Platform {
    pub(super) fn event(&mut self, event: Event, net: &mut dyn Net) {
        let Some(members) = event.members else { return };
        let now = self.desk.now;
        let mut entries = Vec::new();
        for host in &members.hosts {
            match self.entry(host) {
                Some(entry) => entries.push(entry),
                None => net.log(&format!("host {} is left out: {:?} is no address", host.host, host.dial)),
            }
        }
        let hosts: Vec<String> = members.hosts.iter().map(|h| format!("{} {:?}", h.host, h.health)).collect();
        net.log(&format!("feed event {}: {}", event.n, hosts.join(", ")));
        // A new life at an address, or of a host, ends the one before it: that process is no more.
        for entry in &entries {
            let new = entry.state != ServerState::Gone;
            let before = self.desk.lives.iter().filter(|(_, life)| {
                let same = *life.host == *entry.server.0;
                let at = Life::at(&entry.address, now).map(|life| life.address);
                new && (same && *life.key != *entry.address || !same && at == Some(life.address))
            });
            let before: Vec<LinkId> = before.map(|(link, _)| *link).collect();
            for link in before {
                self.life_over(link, "another life is in its place", net);
            }
        }
        if let Some(list) = self.desk.list {
            let frame = Frame::List { is_complete: members.whole, entries: entries.clone() };
            self.edge.frame_received(now, list, frame.into(), &mut self.desk.hands(net));
        }
        for life in self.desk.lives.values_mut() {
            match entries.iter().find(|entry| *entry.server.0 == *life.host) {
                Some(entry) => {
                    (life.gone, life.leaving) =
                        (entry.state == ServerState::Gone, entry.state != ServerState::Active);
                }
                None => (life.gone, life.leaving) = (life.gone | members.whole, life.leaving | members.whole),
            }
        }
        self.settle(net);
    }

    pub(super) fn entry(&self, host: &Host) -> Option<Entry> {
        host.dial.parse::<SocketAddr>().ok()?;
        if host.host.contains(' ') || host.host.len() > 128 || !(0.0..1e15).contains(&host.born_ms) {
            return None;
        }
        let born = Duration::from_secs_f64((host.born_ms + self.unix_zero_ms).max(0.0) / 1000.0);
        let age = if host.born_ms == 0.0 {
            Duration::ZERO
        } else {
            self.desk.now.saturating_sub(born).max(Duration::from_micros(1))
        };
        Some(Entry {
            server: ServerId(Arc::from(&*host.host)),
            number: ServerNumber(host.block),
            address: Arc::from(Life::address(&host.host, &host.dial, host.born_ms as u64)),
            state: host.health.listed(),
            incarnation: host.born_ms as u64,
            age,
        })
    }

    pub(super) fn reach_feed(&mut self, net: &mut dyn Net) {
        if self.feed_socket.is_none() {
            self.feed.begun(self.desk.now);
            self.feed_socket = net.connect(self.feed_at);
            if self.feed_socket.is_none() && self.make_room(net) {
                // Idle callers hold all descriptors: the list is worth more than one of them.
                self.feed_socket = net.connect(self.feed_at);
            }
            if self.feed_socket.is_none() {
                self.feed.lost(self.desk.now);
            }
        }
    }

    pub(super) fn feed_lost(&mut self, why: &str, net: &mut dyn Net) {
        net.log(&format!("feed lost after event {}: {why}", self.feed.last()));
        self.feed_socket = None;
        self.feed.lost(self.desk.now);
    }

    pub(super) fn sweep_feed(&mut self, net: &mut dyn Net) {
        let now = self.desk.now;
        if let Some(socket) = self.feed_socket
            && now >= self.feed.silent_at()
        {
            net.close(socket, Ending::Now);
            self.feed_lost("silent", net);
        }
        if self.feed_socket.is_none() && now >= self.feed.try_at() {
            self.reach_feed(net);
        }
    }
}
