//! The pool list: core servers and the links to them.

use std::time::Duration;

use lotussaddle::interface::{ListEntry, ServerId, ServerState};
use lotussaddle_trunk::Entry;

use super::Edge;
use crate::links::CoreServer;
use crate::signalling::ModuleSignalling;
use crate::{Decisions, EdgeEffects, LinkId, LogTopic};

/// Maximum number of known core servers. Further ones in the list are ignored and logged.
const MAX_SERVERS: usize = 10_000;

impl<D: Decisions> Edge<D> {
    /// Handles a list, either complete or with the changed entries only.
    pub(super) fn list_received(
        &mut self, is_complete: bool, entries: Vec<Entry>, effects: &mut dyn EdgeEffects,
    ) {
        if is_complete {
            self.state.servers.values_mut().for_each(|core| core.state = ServerState::Gone);
        }
        let (known, replaced_links) = self.apply_entries(entries, effects);
        for entry in &known {
            if entry.state == ServerState::Active {
                self.signalling(effects).link_to_core(&entry.server);
            }
        }
        let mut signalling = ModuleSignalling { state: &mut self.state, effects };
        self.brain.server_list_received(signalling.state.now, is_complete, &known, &mut signalling);
        self.end_queued_launches_of_inactive(effects);
        self.remove_gone_servers(replaced_links, effects);
    }

    /// Applies entries up to the maximum; returns them for the decisions, with the links to previous incarnations.
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
            let line = format!(
                "{skipped} servers of the list ignored: the maximum of {MAX_SERVERS} servers is reached"
            );
            effects.log(LogTopic::Mode, &line);
        }
        (known, replaced_links)
    }

    /// Applies one entry; returns the link to a previous incarnation of that server, if there is one.
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
            // Another process answers at this address; launches on the old link end with that link.
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

    /// The list is about to report a new incarnation of a server, and the link to that server leads to it already: the
    /// link is kept, with the launches and dialogues on it.
    pub fn link_leads_to_incarnation(&mut self, now: Duration, entry: &Entry) {
        if let Some(core) = self.state.servers.get_mut(&entry.server) {
            (core.address, core.incarnation) = (entry.address.clone(), entry.incarnation);
            core.started = start_time(now, entry.age);
        }
    }

    /// Ends launches that wait for the link of a server that no longer accepts launches.
    fn end_queued_launches_of_inactive(&mut self, effects: &mut dyn EdgeEffects) {
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

    /// Closes unused links to previous incarnations and to servers no longer listed, and removes those servers.
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

    /// Removes a server that is no longer listed, once it has no link and no queued launches.
    pub(super) fn remove_server_if_gone(&mut self, id: &ServerId) {
        let unused = |core: &CoreServer| {
            core.state == ServerState::Gone && core.link.is_none() && core.queued_launches.is_empty()
        };
        if self.state.servers.get(id).is_some_and(unused) {
            self.state.servers.remove(id);
        }
    }
}

/// Start of a server of this age, on the local clock. An age of zero means that it started long ago. Only then is the
/// result zero.
fn start_time(now: Duration, age: Duration) -> Duration {
    if age.is_zero() {
        return Duration::ZERO;
    }
    now.saturating_sub(age).max(Duration::from_micros(1))
}
