//! Peer links: the greeting, the identification of both sides, and what is dropped when a link closes.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle_trunk::{Frame, Hello, PeerMessage, Role, VERSION};

use super::Member;
use super::interface::Effects;
use super::search::has_responsive_link;
use crate::incarnations::start_count;
use crate::link_liveness::LinkCheck;
use crate::peers::{LinkInfo, LinkState, PeerLink};

/// Tolerated difference between the durations that two clocks measure for one absence, on top of an eighth of it. Beyond it
/// the local clock is taken to have stopped.
pub(super) const CLOCK_STALL_TOLERANCE: Duration = Duration::from_secs(5);

/// Minimum response time-out of a link without regular heartbeats; the time-out is at least two peer response time-outs.
const MIN_LINK_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum wait before a ping on a link without regular heartbeats; the wait is at least half a peer response time-out.
const MIN_PING_DELAY: Duration = Duration::from_millis(500);

/// Nonce of all pings; it need not differ, since the link identifies the peer that replies.
const PROBE_NONCE: u64 = 0;

impl Member {
    /// A peer link was accepted.
    pub fn link_accepted(&mut self, now: Duration, link: PeerLink) {
        self.now = now;
        self.peers.accepted(now, link);
    }

    /// A link that this member started is open.
    pub fn link_connected(&mut self, now: Duration, link: PeerLink, effects: &mut dyn Effects) {
        self.now = now;
        if let Some(known) = self.peers.links.get_mut(&link) {
            (known.state, known.since) = (LinkState::Unidentified, now);
            self.send_hello(link, effects);
        }
    }

    fn send_hello(&mut self, link: PeerLink, effects: &mut dyn Effects) {
        let name: Arc<str> = Arc::from(&*self.plan.members[usize::from(self.plan.self_member)]);
        self.send_to_link(link, Frame::Hello(Hello::new(Role::Edge, name)), effects);
        if let Some(member) = self.peers.links.get(&link).and_then(|known| known.member) {
            self.send_greeting(link, member, effects);
        }
    }

    pub(super) fn send_greeting(&mut self, link: PeerLink, member: u16, effects: &mut dyn Effects) {
        let known_remote_incarnation =
            self.view.incarnation(member).max(self.incarnations.granted_to(member));
        // Only neighbours exchange heartbeats, so only they can measure an absence.
        let is_measured = self.view.incarnation(member) > 0 && self.view.is_neighbour(member);
        let last_seen_ago = is_measured.then(|| self.view.time_since_frame(self.now, member));
        let saved = self.view.max_write_count(member);
        let (group, self_member, incarnation) =
            (self.group, self.plan.self_member, self.incarnations.current());
        if let Some(known) = self.peers.links.get_mut(&link) {
            known.sent_incarnation = Some(incarnation);
        }
        let greeting = PeerMessage::Greeting {
            group,
            member: self_member,
            incarnation,
            known_remote_incarnation,
            saved,
            last_seen_ago,
        };
        self.send_to_link(link, Frame::PeerMessage(greeting), effects);
    }

    /// Sends a frame, and closes a link that cannot take it, so that no frame is lost unnoticed.
    pub(super) fn send_to_link(&mut self, link: PeerLink, frame: Frame, effects: &mut dyn Effects) -> bool {
        if let Some(known) = self.peers.links.get_mut(&link) {
            known.liveness.sent(self.now, &frame);
        }
        let queued = effects.send(link, frame);
        if !queued {
            self.close(link, "its queue is full", effects);
        }
        queued
    }

    pub(super) fn close(&mut self, link: PeerLink, why: &str, effects: &mut dyn Effects) {
        if self.peers.links.contains_key(&link) {
            effects.close(link, why);
            self.clean_up_link(link, why, effects);
        }
    }

    /// Pings the existing link to a member that is no neighbour. A new link from the same member suggests that the old one is dead.
    fn probe_link_to(&mut self, member: u16, effects: &mut dyn Effects) {
        if self.view.is_neighbour(member) {
            return; // Heartbeats show whether it is alive.
        }
        if let Some(link) = self.peers.link_to(member) {
            self.send_to_link(link, Frame::Ping { nonce: PROBE_NONCE }, effects);
        }
    }

    /// Closes dead links, and pings those that may be dead.
    pub(super) fn review_links(&mut self, effects: &mut dyn Effects) {
        for member in 0..self.plan.members.len() as u16 {
            let Some(link) = self.peers.link_to(member) else { continue };
            match self.check_link(link, member) {
                LinkCheck::Idle => {}
                LinkCheck::Ping => drop(self.send_to_link(link, Frame::Ping { nonce: PROBE_NONCE }, effects)),
                LinkCheck::Dead => {
                    self.close(link, "silent, taken as dead", effects);
                    // The peer may consider the link alive and not start another.
                    self.peers.allow_connection_attempt(member);
                }
            }
        }
    }

    fn check_link(&self, link: PeerLink, member: u16) -> LinkCheck {
        let response_timeout = self.plan.response_timeout;
        if self.view.is_neighbour(member) {
            let is_dead = self.view.time_since_frame(self.now, member) >= response_timeout * 2;
            return if is_dead { LinkCheck::Dead } else { LinkCheck::Idle };
        }
        let Some(known) = self.peers.links.get(&link) else { return LinkCheck::Idle };
        known.liveness.check(
            self.now,
            (response_timeout / 2).max(MIN_PING_DELAY),
            (response_timeout * 2).max(MIN_LINK_RESPONSE_TIMEOUT),
        )
    }

    /// Whether messages are expected to reach a member: there is a link and the member is responsive.
    pub(super) fn can_reach(&self, member: u16) -> bool {
        has_responsive_link(&self.peers, &self.view, self.now, member)
    }

    /// A link was closed, or could not be opened.
    pub fn link_closed(&mut self, now: Duration, link: PeerLink, why: &str, effects: &mut dyn Effects) {
        self.now = now;
        self.clean_up_link(link, why, effects);
    }

    fn clean_up_link(&mut self, link: PeerLink, why: &str, effects: &mut dyn Effects) {
        let was_identified =
            self.peers.links.get(&link).is_some_and(|known| known.state == LinkState::Identified);
        let Some(member) = self.peers.closed(self.now, link) else { return };
        let place = usize::from(member);
        self.peer_resumed[place] = false;
        self.replica_table.stream(member).halt();
        self.incoming[place].acknowledgement_due = false;
        self.incoming[place].replaced.clear();
        self.snapshot_requests.retain(|(to, _)| *to != member);
        self.repairs.remove_member(member);
        if was_identified {
            effects.log(&format!("member {} gone: {why}", self.plan.members[place]));
        }
    }

    pub(super) fn hello_received(
        &mut self, link: PeerLink, known: &LinkInfo, hello: &Hello, effects: &mut dyn Effects,
    ) {
        let place = self.plan.members.iter().position(|name| **name == *hello.name);
        let member = place.map(|place| place as u16);
        let mismatch = match (hello.role, hello.version, member, known.member) {
            (Role::Edge, VERSION, Some(member), _) if member == self.plan.self_member => {
                Some("has this member's name".into())
            }
            (Role::Edge, VERSION, Some(member), Some(expected)) if member != expected => {
                Some(format!("is {}, not {}", hello.name, self.name(expected)))
            }
            (Role::Edge, VERSION, _, _) => None,
            (Role::Edge, version, ..) => Some(format!("speaks version {version}, not {VERSION}")),
            (role, ..) => Some(format!("is a {role:?}")),
        };
        if let Some(mismatch) = mismatch {
            return self.close(link, &mismatch, effects);
        }
        let is_incoming = known.member.is_none();
        if let Some(known) = self.peers.links.get_mut(&link) {
            known.greeted = true;
            known.member = member;
            if member.is_none() {
                known.state = LinkState::Operator;
            }
        }
        if is_incoming {
            self.send_hello(link, effects);
        }
    }

    #[expect(clippy::too_many_arguments)]
    pub(super) fn greeting_received(
        &mut self, link: PeerLink, member: u16, group: u64, place: u16, incarnation: u64,
        (known_remote_incarnation, saved): (u64, u64), away: Option<Duration>, effects: &mut dyn Effects,
    ) {
        if group != self.group || place != member {
            let line = format!(
                "member {} has a different group or plan: no replicas are sent to it",
                self.name(member)
            );
            effects.log(&line);
            return self.close(link, "another group", effects);
        }
        // The local clock stopped while the peer's went on: replicas held here may have expired elsewhere and would be
        // restored by mistake.
        let mine = self.view.time_since_frame(self.now, member);
        let clock_stall = away.filter(|away| {
            *away > mine + mine / 8 + CLOCK_STALL_TOLERANCE
                && known_remote_incarnation == self.incarnations.current()
        });
        if self.incarnations.current() == 0
            && let Some(away) = away
        {
            self.min_time_since_previous_incarnation =
                Some(self.min_time_since_previous_incarnation.map_or(away, |known| known.min(away)));
        }
        if self.incarnations.peer_reported(member, known_remote_incarnation, saved) {
            self.later_incarnation_known(effects);
        } else if clock_stall.is_some() && self.incarnations.current() > 0 {
            let dropped = self.replica_table.drop_not_owned();
            effects.log(&format!(
                "the local clock was stopped: dropped {dropped} replicas, requesting a new incarnation"
            ));
            self.incarnations.abandon();
            self.end_incarnation(effects);
        }
        if let Some(known) = self.peers.links.get_mut(&link) {
            known.state = LinkState::Identified;
        }
        match self.peers.identified(link, member) {
            Some(closed) if closed == link => {
                self.probe_link_to(member, effects);
                return self.close(link, "there is a link already", effects);
            }
            Some(before) => {
                effects.close(before, "another link of the same member");
                self.peers.closed(self.now, before);
            }
            None => {}
        }
        let new = self.peers.links.contains_key(&link) && !self.view.is_reachable(self.now, member);
        if new {
            effects.log(&format!(
                "member {} here, in incarnation {}",
                self.name(member),
                start_count(incarnation)
            ));
        }
        self.view.frame_received(self.now, member);
        self.peer_resumed[usize::from(member)] = false;
        if incarnation >= self.view.incarnation(member) && incarnation > 0 {
            self.peer_incarnation_known(member, incarnation, effects);
        }
        // An incarnation that began after the greeting was reported only on links that were open.
        let sent_incarnation = self.peers.links.get(&link).map(|known| known.sent_incarnation);
        if sent_incarnation.is_some_and(|announced| announced != Some(self.incarnations.current())) {
            self.send_greeting(link, member, effects);
        }
        self.propose_incarnation(effects);
        self.send_resume(member, effects);
    }
}
