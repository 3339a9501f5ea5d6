//! The pool list: which core servers there are, and on which links.

use std::time::Duration;

use lotussaddle::interface::{ListEntry, Listed, ServerId};
use lotussaddle_trunk::Entry;

use super::Edge;
use crate::hands::Hands;
use crate::links::Far;
use crate::{Decisions, Note, Wires};

/// Core servers known at once; beyond it a new one of the list is left out, and the log says so.
const MOST_SERVERS: usize = 10_000;

impl<D: Decisions> Edge<D> {
    pub(super) fn listed(&mut self, whole: bool, entries: Vec<Entry>, wires: &mut dyn Wires) {
        let now = self.state.now;
        if whole {
            self.state.servers.values_mut().for_each(|far| far.listed = Listed::Gone);
        }
        let mut told = Vec::new();
        let mut renewed = Vec::new();
        let mut left_out = 0;
        for entry in entries {
            let since = if entry.age.is_zero() {
                Duration::ZERO
            } else {
                now.saturating_sub(entry.age).max(Duration::from_micros(1))
            };
            let full = self.state.servers.len() >= MOST_SERVERS;
            let known = self.state.servers.get_mut(&entry.server);
            let far = match known {
                Some(far) => {
                    if far.life != entry.life || far.address != entry.address {
                        // Another process answers there; what is out on the old link ends with that.
                        renewed.extend(far.link.take());
                        if far.life != entry.life {
                            far.since = since;
                        }
                        (far.address, far.life) = (entry.address.clone(), entry.life);
                    }
                    far.listed = entry.listed;
                    far
                }
                None if full => {
                    left_out += 1;
                    continue;
                }
                None => self.state.servers.entry(entry.server.clone()).or_insert(Far {
                    address: entry.address.clone(),
                    listed: entry.listed,
                    life: entry.life,
                    since,
                    link: None,
                    queued: Vec::new(),
                }),
            };
            let (number, listed, since) = (entry.number, far.listed, far.since);
            told.push(ListEntry { server: entry.server, number, listed, since });
        }
        if left_out > 0 {
            let line =
                format!("{left_out} servers of the list are left out: {MOST_SERVERS} are known already");
            wires.log(Note::Mode, &line);
        }
        for entry in &told {
            if entry.listed == Listed::Active {
                self.hands(wires).link_to(&entry.server);
            }
        }
        let mut hands = Hands { state: &mut self.state, wires };
        self.brain.listed(now, whole, &told, &mut hands);
        // What waits for the link of a server that drains is not sent there when the link is up.
        let leaving = self.state.servers.iter_mut().filter(|(_, far)| far.listed != Listed::Active);
        let stranded: Vec<_> = leaving
            .flat_map(|(id, far)| std::mem::take(&mut far.queued).into_iter().map(|d| (d, id.clone())))
            .collect();
        for (dialogue, server) in stranded {
            self.unreached(&dialogue, &server, wires);
        }
        let gone = self.state.servers.iter().filter(|(_, far)| far.listed == Listed::Gone);
        let gone: Vec<ServerId> = gone.map(|(id, _)| id.clone()).collect();
        renewed.extend(gone.iter().filter_map(|id| self.state.servers.get(id)?.link));
        for link in renewed {
            if self.state.links.get(&link).is_some_and(|known| known.here.is_empty()) {
                self.drop_link(link, "its server is gone from the list", wires);
            }
        }
        for id in gone {
            if self.state.servers.get(&id).is_some_and(|far| far.link.is_none() && far.queued.is_empty()) {
                self.state.servers.remove(&id);
            }
        }
    }
}
