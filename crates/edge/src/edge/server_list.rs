//! The pool list: which core servers there are, and on which links.

use std::time::Duration;

use lotussaddle::interface::{ListEntry, ServerId, ServerState};
use lotussaddle_trunk::Entry;

use super::Edge;
use crate::links::CoreServer;
use crate::signalling::ModuleSignalling;
use crate::{Decisions, EdgeEffects, LinkId, LogTopic};

/// Core servers known at once; beyond it a new one of the list is left out, and the log says so.
const MAX_SERVERS: usize = 10_000;

impl<D: Decisions> Edge<D> {
    /// A list has come, whole or with the entries that changed.
    pub(super) fn list_received(&mut self, whole: bool, entries: Vec<Entry>, effects: &mut dyn EdgeEffects) {
        if whole {
            self.state.servers.values_mut().for_each(|core| core.state = ServerState::Gone);
        }
        let (known, replaced_links) = self.apply_entries(entries, effects);
        for entry in &known {
            if entry.state == ServerState::Active {
                self.signalling(effects).link_to_core(&entry.server);
            }
        }
        let mut signalling = ModuleSignalling { state: &mut self.state, effects };
        self.brain.server_list_received(signalling.state.now, whole, &known, &mut signalling);
        self.return_queued_of_inactive(effects);
        self.remove_gone_servers(replaced_links, effects);
    }

    /// Takes the entries in, up to the bound; gives what the module is to know of them, and the links to former lives.
    fn apply_entries(
        &mut self, entries: Vec<Entry>, effects: &mut dyn EdgeEffects,
    ) -> (Vec<ListEntry>, Vec<LinkId>) {
        let mut known = Vec::new();
        let mut replaced_links = Vec::new();
        let mut skipped = 0;
        for entry in entries {
            if !self.state.servers.contains_key(&entry.server) && self.state.servers.len() >= MAX_SERVERS {
                skipped += 1;
                continue;
            }
            let (entry, replaced_link) = self.apply_entry(entry);
            known.push(entry);
            replaced_links.extend(replaced_link);
        }
        if skipped > 0 {
            let line = format!("{skipped} servers of the list are left out: {MAX_SERVERS} are known already");
            effects.log(LogTopic::Mode, &line);
        }
        (known, replaced_links)
    }

    /// Takes one entry in; gives the link to a former life of that server, where there is one.
    fn apply_entry(&mut self, entry: Entry) -> (ListEntry, Option<LinkId>) {
        let started = start_time(self.state.now, entry.age);
        let mut replaced_link = None;
        let core = self.state.servers.entry(entry.server.clone()).or_insert_with(|| CoreServer {
            address: entry.address.clone(),
            state: entry.state,
            incarnation: entry.incarnation,
            started,
            link: None,
            queued_launches: Vec::new(),
        });
        if core.incarnation != entry.incarnation || core.address != entry.address {
            // Another process answers there; what is out on the old link ends with that.
            replaced_link = core.link.take();
            if core.incarnation != entry.incarnation {
                core.started = started;
            }
            (core.address, core.incarnation) = (entry.address.clone(), entry.incarnation);
        }
        core.state = entry.state;
        let (number, state, started) = (entry.number, core.state, core.started);
        (ListEntry { server: entry.server, number, state, started }, replaced_link)
    }

    /// What waits for the link of a server that drains is not sent there when the link is up.
    fn return_queued_of_inactive(&mut self, effects: &mut dyn EdgeEffects) {
        let inactive = self.state.servers.iter_mut().filter(|(_, core)| core.state != ServerState::Active);
        let returned: Vec<_> = inactive
            .flat_map(|(id, core)| {
                std::mem::take(&mut core.queued_launches).into_iter().map(|d| (d, id.clone()))
            })
            .collect();
        for (dialogue, server) in returned {
            self.end_launch_as_unreachable(&dialogue, &server, effects);
        }
    }

    /// Ends links on which nothing is left of those to former lives and to servers that are gone, and forgets the latter.
    fn remove_gone_servers(&mut self, mut unused_links: Vec<LinkId>, effects: &mut dyn EdgeEffects) {
        let gone = self.state.servers.iter().filter(|(_, core)| core.state == ServerState::Gone);
        let gone: Vec<ServerId> = gone.map(|(id, _)| id.clone()).collect();
        unused_links.extend(gone.iter().filter_map(|id| self.state.servers.get(id)?.link));
        for link in unused_links {
            if self.state.links.get(&link).is_some_and(|known| known.dialogues.is_empty()) {
                self.drop_link(link, "its server is gone from the list", effects);
            }
        }
        for id in gone {
            self.remove_server_if_gone(&id);
        }
    }

    /// Forgets a server that is gone from the list, once no link to it is left and nothing waits for one.
    pub(super) fn remove_server_if_gone(&mut self, id: &ServerId) {
        let unused = |core: &CoreServer| {
            core.state == ServerState::Gone && core.link.is_none() && core.queued_launches.is_empty()
        };
        if self.state.servers.get(id).is_some_and(unused) {
            self.state.servers.remove(id);
        }
    }
}

/// The start of a server of that age, on this clock. Zero means long ago and stays zero; no other
/// age gives it.
fn start_time(now: Duration, age: Duration) -> Duration {
    if age.is_zero() {
        return Duration::ZERO;
    }
    now.saturating_sub(age).max(Duration::from_micros(1))
}
