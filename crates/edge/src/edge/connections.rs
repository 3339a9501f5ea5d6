//! Links: how they come up, how long they may be silent, and what ends with them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LoadReport, Outcome, ServerId, ServerState};
use lotussaddle_trunk::{DialogueEnd, Frame, Hello, Role};

use super::Edge;
use crate::held::Stage;
use crate::links::{CoreServer, Link, Peer};
use crate::{Decisions, EdgeEffects, LinkId, LogTopic};

/// Between tries to reach the list.
const LIST_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl<D: Decisions> Edge<D> {
    /// Says something to a core server that is no matter of this edge proxy's own; false: there is no link to it.
    pub fn send_to_core(
        &mut self, now: Duration, server: &ServerId, frame: Frame, effects: &mut dyn EdgeEffects,
    ) -> bool {
        self.state.now = now;
        let link = self.state.servers.get(server).and_then(|core| core.link);
        let link = link.filter(|link| self.state.links.get(link).is_some_and(|known| known.greeted));
        if let Some(link) = link {
            self.signalling(effects).say(link, frame);
        }
        self.settle(effects);
        link.is_some()
    }

    /// The server at the other end of a link that is up, where that is one.
    pub fn connected_core(&self, link: LinkId) -> Option<ServerId> {
        self.server_of(link).filter(|_| self.state.links.get(&link).is_some_and(|known| known.greeted))
    }

    /// Core servers to which a link is up.
    pub fn connected_cores(&self) -> impl Iterator<Item = &ServerId> {
        let up = |core: &CoreServer| {
            core.link.and_then(|link| self.state.links.get(&link)).is_some_and(|l| l.greeted)
        };
        self.state.servers.iter().filter(move |(_, core)| up(core)).map(|(id, _)| id)
    }

    /// A link has come in.
    pub fn link_opened(&mut self, now: Duration, link: LinkId, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        if self.state.callers >= self.state.limits.max_links {
            self.state.counts.links_closed += 1;
            effects.close(link, "too many links");
            return;
        }
        self.state.callers += 1;
        self.state.links.insert(link, Link::new(Peer::Fresh, now));
        self.state.fresh.push_back(link);
        if self.state.fresh.len() > self.state.limits.max_unidentified_links
            && let Some(oldest) = self.state.fresh.front().copied()
        {
            self.drop_link(oldest, "too many links that say no hello", effects);
        }
    }

    /// A link that was begun from here is up.
    pub fn link_connected(&mut self, now: Duration, link: LinkId, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        if self.state.links.contains_key(&link) {
            let hello = Hello::new(Role::Edge, self.name.clone());
            self.signalling(effects).say(link, Frame::Hello(hello));
        }
        self.settle(effects);
    }

    /// The shell vouches for a link that came in or was begun: it is up, whoever is there needs no hello, and it lasts
    /// until the shell says that it is lost. So it is where dialogues belong to no connection.
    pub fn link_trusted(&mut self, now: Duration, link: LinkId, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        if let Some(known) = self.state.links.get_mut(&link) {
            (known.greeted, known.vouched) = (true, true);
            if matches!(known.kind, Peer::Fresh) {
                known.kind = Peer::Caller(Arc::from("callers"));
                self.state.fresh.retain(|fresh| *fresh != link);
            }
            self.send_queued(link, effects);
        }
        self.settle(effects);
    }

    pub(super) fn server_of(&self, link: LinkId) -> Option<ServerId> {
        match &self.state.links.get(&link)?.kind {
            Peer::Core(server) => Some(server.clone()),
            _ => None,
        }
    }

    /// A link has gone, or did not come up.
    pub fn link_closed(&mut self, now: Duration, link: LinkId, why: &str, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        self.forget_link(link, why, effects);
        self.settle(effects);
    }

    /// What waited for this link to come up goes.
    pub(super) fn send_queued(&mut self, link: LinkId, effects: &mut dyn EdgeEffects) {
        let Some(server) = self.server_of(link) else { return };
        let core = self.state.servers.get_mut(&server).filter(|core| core.link == Some(link));
        let queued = core.map(|core| std::mem::take(&mut core.queued)).unwrap_or_default();
        for id in queued {
            if !self.signalling(effects).send_launch(&id, link) {
                self.server_unreachable(&id, &server, effects);
            }
        }
    }

    pub(super) fn server_unreachable(
        &mut self, id: &DialogueId, server: &ServerId, effects: &mut dyn EdgeEffects,
    ) {
        let at = self.state.held.get(id).map(|held| &held.at);
        if let Some(&Stage::Out { launch, .. }) = at {
            self.signalling(effects).launch_unreachable(id, launch, server);
        }
    }

    pub(super) fn sweep(&mut self, effects: &mut dyn EdgeEffects) {
        let (now, limits) = (self.state.now, self.state.limits.clone());
        let mut closing: Vec<(LinkId, &str)> = Vec::new();
        let mut silent = Vec::new();
        for (id, link) in &mut self.state.links {
            let within =
                if matches!(link.kind, Peer::Fresh) { limits.hello_timeout } else { limits.connect_timeout };
            // The link to a former life of a server, or to one that is gone, ends with the last dialogue there.
            let left = |server| {
                let core: Option<&CoreServer> = self.state.servers.get(server);
                core.is_none_or(|core| core.link != Some(*id) || core.listed == ServerState::Gone)
            };
            if matches!(&link.kind, Peer::Core(server) if link.dialogues.is_empty() && left(server)) {
                closing.push((*id, "nobody is there any more"));
            } else if link.vouched {
            } else if !link.greeted && now >= link.since + within {
                closing.push((*id, "no hello in time"));
            } else if link.greeted && now >= link.heard + limits.response_timeout {
                closing.push((*id, "silent, taken as dead"));
            } else if link.greeted && !link.asked && now >= link.heard + limits.ping_after {
                link.asked = true;
                silent.push(*id);
            }
        }
        for link in silent {
            self.signalling(effects).say(link, Frame::Ping { nonce: now.as_micros() as u64 });
        }
        for (link, why) in closing {
            self.drop_link(link, why, effects);
        }
    }

    /// Ends a link from this side.
    pub(super) fn drop_link(&mut self, link: LinkId, why: &str, effects: &mut dyn EdgeEffects) {
        if self.state.links.contains_key(&link) {
            effects.close(link, why);
            self.forget_link(link, why, effects);
        }
    }

    /// What was on a link that is gone, ends.
    fn forget_link(&mut self, link: LinkId, why: &str, effects: &mut dyn EdgeEffects) {
        let Some(mut known) = self.state.links.remove(&link) else { return };
        self.state.counts.links_closed += 1;
        let dialogues = std::mem::take(&mut known.dialogues);
        match known.kind {
            Peer::Fresh => self.forget_caller_link(link, "that said no hello", dialogues, why, effects),
            Peer::Caller(name) => self.forget_caller_link(link, &name, dialogues, why, effects),
            Peer::List => {
                effects.log(LogTopic::Link, &format!("list gone: {why}"));
                self.list_at = Some(self.state.now + LIST_RETRY_INTERVAL);
            }
            Peer::Core(server) => self.forget_core_link(link, &server, dialogues, why, effects),
        }
    }

    fn forget_caller_link(
        &mut self, link: LinkId, name: &str, dialogues: BTreeSet<DialogueId>, why: &str,
        effects: &mut dyn EdgeEffects,
    ) {
        self.state.callers -= 1;
        self.state.fresh.retain(|fresh| *fresh != link);
        let open = dialogues.len();
        effects.log(LogTopic::Link, &format!("caller {name} gone with {open} dialogues: {why}"));
        for id in dialogues {
            self.hung_up(&id, effects);
            self.hand_over_ends(effects);
        }
    }

    fn forget_core_link(
        &mut self, link: LinkId, server: &ServerId, dialogues: BTreeSet<DialogueId>, why: &str,
        effects: &mut dyn EdgeEffects,
    ) {
        let there = dialogues.len();
        effects.log(LogTopic::Link, &format!("link to {} gone with {there} dialogues: {why}", server.0));
        let core = self.state.servers.get_mut(server).filter(|core| core.link == Some(link));
        let queued = core.map(|core| {
            core.link = None;
            std::mem::take(&mut core.queued)
        });
        for id in queued.unwrap_or_default() {
            self.server_unreachable(&id, server, effects);
        }
        for id in dialogues {
            self.cut_off(&id, server, effects);
            self.hand_over_ends(effects);
        }
        self.remove_server_if_gone(server);
    }

    /// The link that this dialogue was on is gone.
    fn cut_off(&mut self, id: &DialogueId, server: &ServerId, effects: &mut dyn EdgeEffects) {
        let at = self.state.held.get(id).map(|held| held.at.clone());
        match at {
            Some(Stage::Out { launch, .. }) => {
                let mut signalling = self.signalling(effects);
                signalling.launch_over(id);
                signalling.back(id, true);
                signalling.end(id, launch, server, Outcome::BrokenOff);
            }
            Some(Stage::Standing { launch, link, .. }) => {
                self.standing_ended(
                    id,
                    launch,
                    server,
                    link,
                    DialogueEnd::Cut,
                    LoadReport::default(),
                    effects,
                );
            }
            Some(Stage::Releasing { launch, link, .. }) => {
                self.standing_ended(
                    id,
                    launch,
                    server,
                    link,
                    DialogueEnd::Released,
                    LoadReport::default(),
                    effects,
                );
            }
            _ => {}
        }
    }
}
