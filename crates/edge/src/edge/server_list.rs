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
    pub(super) fn listed(&mut self, whole: bool, entries: Vec<Entry>, effects: &mut dyn EdgeEffects) {
        if whole {
            self.state.servers.values_mut().for_each(|core| core.listed = ServerState::Gone);
        }
        let (known, replaced_links) = self.take_in(entries, effects);
        for entry in &known {
            if entry.state == ServerState::Active {
                self.signalling(effects).link_to(&entry.server);
            }
        }
        let mut signalling = ModuleSignalling { state: &mut self.state, effects };
        self.brain.list_received(signalling.state.now, whole, &known, &mut signalling);
        self.return_queued_of_inactive(effects);
        self.remove_gone(replaced_links, effects);
    }

    /// Takes the entries in, up to the bound; gives what the module is to know of them, and the links to former lives.
    fn take_in(
        &mut self, entries: Vec<Entry>, effects: &mut dyn EdgeEffects,
    ) -> (Vec<ListEntry>, Vec<LinkId>) {
        let mut known = Vec::new();
        let mut replaced_links = Vec::new();
        let mut left_out = 0;
        for entry in entries {
            if !self.state.servers.contains_key(&entry.server) && self.state.servers.len() >= MAX_SERVERS {
                left_out += 1;
                continue;
            }
            let (entry, replaced_link) = self.take_in_entry(entry);
            known.push(entry);
            replaced_links.extend(replaced_link);
        }
        if left_out > 0 {
            let line =
                format!("{left_out} servers of the list are left out: {MAX_SERVERS} are known already");
            effects.log(LogTopic::Mode, &line);
        }
        (known, replaced_links)
    }

    /// Takes one entry in; gives the link to a former life of that server, where there is one.
    fn take_in_entry(&mut self, entry: Entry) -> (ListEntry, Option<LinkId>) {
        let since = since_of(self.state.now, entry.age);
        let mut replaced_link = None;
        let core = self.state.servers.entry(entry.server.clone()).or_insert_with(|| CoreServer {
            address: entry.address.clone(),
            listed: entry.state,
            life: entry.incarnation,
            since,
            link: None,
            queued: Vec::new(),
        });
        if core.life != entry.incarnation || core.address != entry.address {
            // Another process answers there; what is out on the old link ends with that.
            replaced_link = core.link.take();
            if core.life != entry.incarnation {
                core.since = since;
            }
            (core.address, core.life) = (entry.address.clone(), entry.incarnation);
        }
        core.listed = entry.state;
        let (number, listed, since) = (entry.number, core.listed, core.since);
        (ListEntry { server: entry.server, number, state: listed, started: since }, replaced_link)
    }

    /// What waits for the link of a server that drains is not sent there when the link is up.
    fn return_queued_of_inactive(&mut self, effects: &mut dyn EdgeEffects) {
        let leaving = self.state.servers.iter_mut().filter(|(_, core)| core.listed != ServerState::Active);
        let returned: Vec<_> = leaving
            .flat_map(|(id, core)| std::mem::take(&mut core.queued).into_iter().map(|d| (d, id.clone())))
            .collect();
        for (dialogue, server) in returned {
            self.server_unreachable(&dialogue, &server, effects);
        }
    }

    /// Ends links on which nothing is left of those to former lives and to servers that are gone, and forgets the latter.
    fn remove_gone(&mut self, mut unused_links: Vec<LinkId>, effects: &mut dyn EdgeEffects) {
        let gone = self.state.servers.iter().filter(|(_, core)| core.listed == ServerState::Gone);
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
            core.listed == ServerState::Gone && core.link.is_none() && core.queued.is_empty()
        };
        if self.state.servers.get(id).is_some_and(unused) {
            self.state.servers.remove(id);
        }
    }
}

/// The start of a server of that age, on this clock. Zero means long ago and stays zero; no other
/// age gives it.
fn since_of(now: Duration, age: Duration) -> Duration {
    if age.is_zero() {
        return Duration::ZERO;
    }
    now.saturating_sub(age).max(Duration::from_micros(1))
}
