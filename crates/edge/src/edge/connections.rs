//! Links: opening, time-outs, and what ends with a link.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LoadReport, Outcome, ServerId, ServerState};
use lotussaddle_trunk::{DialogueEnd, Frame, Hello, Role};

use super::Edge;
use crate::held::Stage;
use crate::links::{CoreServer, Link, Peer};
use crate::{Decisions, EdgeEffects, LinkId, LogTopic};

/// Time between attempts to connect to the pool list.
const LIST_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl<D: Decisions> Edge<D> {
    /// Sends a core server a frame that concerns no dialogue held here. Returns false if no link to it is open.
    pub fn send_to_core(
        &mut self, now: Duration, server: &ServerId, frame: Frame, effects: &mut dyn EdgeEffects,
    ) -> bool {
        self.state.now = now;
        let link = self.state.servers.get(server).and_then(|core| core.link);
        let link = link.filter(|link| self.state.links.get(link).is_some_and(|known| known.handshake_done));
        if let Some(link) = link {
            self.signalling(effects).send_frame(link, frame);
        }
        self.finish_input(effects);
        link.is_some()
    }

    /// The core server on this link, if there is one and the link is open.
    pub fn connected_core(&self, link: LinkId) -> Option<ServerId> {
        self.server_of_link(link)
            .filter(|_| self.state.links.get(&link).is_some_and(|known| known.handshake_done))
    }

    /// Core servers with an open link.
    pub fn connected_cores(&self) -> impl Iterator<Item = &ServerId> {
        let is_up = |core: &CoreServer| {
            core.link.and_then(|link| self.state.links.get(&link)).is_some_and(|l| l.handshake_done)
        };
        self.state.servers.iter().filter(move |(_, core)| is_up(core)).map(|(id, _)| id)
    }

    /// A link was accepted.
    pub fn link_opened(&mut self, now: Duration, link: LinkId, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        if self.state.caller_links >= self.state.limits.max_links {
            self.state.counts.links_closed += 1;
            effects.close(link, "too many links");
            return;
        }
        self.state.caller_links += 1;
        self.state.links.insert(link, Link::new(Peer::Unidentified, now));
        self.state.unidentified.push_back(link);
        if self.state.unidentified.len() > self.state.limits.max_unidentified_links
            && let Some(oldest) = self.state.unidentified.front().copied()
        {
            self.drop_link(oldest, "too many links that say no hello", effects);
        }
    }

    /// A link that this edge proxy opened is connected.
    pub fn link_connected(&mut self, now: Duration, link: LinkId, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        if self.state.links.contains_key(&link) {
            let hello = Hello::new(Role::Edge, self.name.clone());
            self.signalling(effects).send_frame(link, Frame::Hello(hello));
        }
        self.finish_input(effects);
    }

    /// The I/O driver guarantees a link: it is open without a hello and lasts until the driver reports it closed. This is
    /// used where dialogues are not bound to a connection.
    pub fn link_trusted(&mut self, now: Duration, link: LinkId, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        if let Some(known) = self.state.links.get_mut(&link) {
            (known.handshake_done, known.trusted) = (true, true);
            if matches!(known.peer, Peer::Unidentified) {
                known.peer = Peer::Caller(Arc::from("callers"));
                self.state.unidentified.retain(|known| *known != link);
            }
            self.send_queued_launches(link, effects);
        }
        self.finish_input(effects);
    }

    /// The core server on this link, whether or not the link is open.
    pub(super) fn server_of_link(&self, link: LinkId) -> Option<ServerId> {
        match &self.state.links.get(&link)?.peer {
            Peer::Core(server) => Some(server.clone()),
            _ => None,
        }
    }

    /// A link was closed or could not be opened.
    pub fn link_closed(&mut self, now: Duration, link: LinkId, why: &str, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        self.remove_link(link, why, effects);
        self.finish_input(effects);
    }

    /// Sends the launches that waited for this link to open.
    pub(super) fn send_queued_launches(&mut self, link: LinkId, effects: &mut dyn EdgeEffects) {
        let Some(server) = self.server_of_link(link) else { return };
        let core = self.state.servers.get_mut(&server).filter(|core| core.link == Some(link));
        let queued = core.map(|core| std::mem::take(&mut core.queued_launches)).unwrap_or_default();
        for id in queued {
            if !self.signalling(effects).send_launch(&id, link) {
                self.end_launch_as_unreachable(&id, &server, effects);
            }
        }
    }

    /// Ends the launch of a dialogue because its core server cannot be reached.
    pub(super) fn end_launch_as_unreachable(
        &mut self, id: &DialogueId, server: &ServerId, effects: &mut dyn EdgeEffects,
    ) {
        let stage = self.state.held.get(id).map(|held| &held.stage);
        if let Some(&Stage::Launched { launch, .. }) = stage {
            self.signalling(effects).end_unreachable_launch(id, launch, server);
        }
    }

    /// Pings idle links and closes those that are unresponsive or abandoned.
    pub(super) fn check_links(&mut self, effects: &mut dyn EdgeEffects) {
        let (now, limits) = (self.state.now, self.state.limits.clone());
        let mut closing: Vec<(LinkId, &str)> = Vec::new();
        let mut unresponsive = Vec::new();
        for (id, link) in &mut self.state.links {
            let timeout = if matches!(link.peer, Peer::Unidentified) {
                limits.hello_timeout
            } else {
                limits.connect_timeout
            };
            // A link to a previous incarnation, or to a server no longer listed, is closed after its last dialogue.
            let is_abandoned = |server| {
                let core: Option<&CoreServer> = self.state.servers.get(server);
                core.is_none_or(|core| core.link != Some(*id) || core.state == ServerState::Gone)
            };
            if matches!(&link.peer, Peer::Core(server) if link.dialogues.is_empty() && is_abandoned(server)) {
                closing.push((*id, "nobody is there any more"));
            } else if link.trusted {
            } else if !link.handshake_done && now >= link.opened_at + timeout {
                closing.push((*id, "no hello in time"));
            } else if link.handshake_done && now >= link.last_received + limits.response_timeout {
                closing.push((*id, "silent, taken as dead"));
            } else if link.handshake_done && !link.ping_sent && now >= link.last_received + limits.ping_after
            {
                link.ping_sent = true;
                unresponsive.push(*id);
            }
        }
        for link in unresponsive {
            self.signalling(effects).send_frame(link, Frame::Ping { nonce: now.as_micros() as u64 });
        }
        for (link, why) in closing {
            self.drop_link(link, why, effects);
        }
    }

    /// Closes a link from this side.
    pub(super) fn drop_link(&mut self, link: LinkId, why: &str, effects: &mut dyn EdgeEffects) {
        if self.state.links.contains_key(&link) {
            effects.close(link, why);
            self.remove_link(link, why, effects);
        }
    }

    /// Removes a closed link and ends what depended on it.
    fn remove_link(&mut self, link: LinkId, why: &str, effects: &mut dyn EdgeEffects) {
        let Some(mut known) = self.state.links.remove(&link) else { return };
        self.state.counts.links_closed += 1;
        let dialogues = std::mem::take(&mut known.dialogues);
        match known.peer {
            Peer::Unidentified => self.remove_caller_link(link, "(no hello)", dialogues, why, effects),
            Peer::Caller(name) => self.remove_caller_link(link, &name, dialogues, why, effects),
            Peer::List => {
                effects.log(LogTopic::Link, &format!("link to the pool list closed: {why}"));
                self.next_list_connect = Some(self.state.now + LIST_RETRY_INTERVAL);
            }
            Peer::Core(server) => self.remove_core_link(link, &server, dialogues, why, effects),
        }
    }

    fn remove_caller_link(
        &mut self, link: LinkId, name: &str, dialogues: BTreeSet<DialogueId>, why: &str,
        effects: &mut dyn EdgeEffects,
    ) {
        self.state.caller_links -= 1;
        self.state.unidentified.retain(|known| *known != link);
        let open = dialogues.len();
        effects.log(LogTopic::Link, &format!("link of caller {name} closed with {open} dialogues: {why}"));
        for id in dialogues {
            self.caller_hung_up(&id, effects);
            self.report_launch_ends(effects);
        }
    }

    fn remove_core_link(
        &mut self, link: LinkId, server: &ServerId, dialogues: BTreeSet<DialogueId>, why: &str,
        effects: &mut dyn EdgeEffects,
    ) {
        let open = dialogues.len();
        effects.log(LogTopic::Link, &format!("link to {} closed with {open} dialogues: {why}", server.0));
        let core = self.state.servers.get_mut(server).filter(|core| core.link == Some(link));
        let queued = core.map(|core| {
            core.link = None;
            std::mem::take(&mut core.queued_launches)
        });
        for id in queued.unwrap_or_default() {
            self.end_launch_as_unreachable(&id, server, effects);
        }
        for id in dialogues {
            self.end_dialogue_of_lost_link(&id, server, effects);
            self.report_launch_ends(effects);
        }
        self.remove_server_if_gone(server);
    }

    /// Ends a dialogue whose link to its core server was lost.
    fn end_dialogue_of_lost_link(
        &mut self, id: &DialogueId, server: &ServerId, effects: &mut dyn EdgeEffects,
    ) {
        let stage = self.state.held.get(id).map(|held| held.stage.clone());
        match stage {
            Some(Stage::Launched { launch, .. }) => {
                let mut signalling = self.signalling(effects);
                signalling.clear_launch(id);
                signalling.record_launch_returned(id, true);
                signalling.queue_launch_end(id, launch, server, Outcome::BrokenOff);
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
