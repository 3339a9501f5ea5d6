//! Peer links: the greeting, the identification of both sides, and what is dropped when a link closes.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle_trunk::{Frame, Hello, PeerMessage, Role, VERSION};

use super::Member;
use super::interface::Effects;
use super::search::is_reached;
use crate::incarnations::start_count;
use crate::link_liveness::LinkCheck;
use crate::peers::{LinkInfo, LinkState, PeerLink};

/// Clocks may differ by so much over an absence before one is taken to have stood still, in parts of it, and in itself.
pub(super) const STOOD_STILL: Duration = Duration::from_secs(5);

/// A link over which nothing comes regularly is taken as dead when nothing has followed what was sent for so long, and two silences.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);

/// There a ping asks when nothing has followed what was sent for so long, and half a silence.
const PING_AFTER: Duration = Duration::from_millis(500);

/// The number of a ping; who answers is told by the link.
const PROBE: u64 = 0;

impl Member {
    /// A link has come in where peers come in.
    pub fn linked(&mut self, now: Duration, link: PeerLink) {
        self.now = now;
        self.peers.accepted(now, link);
    }

    /// A link begun from here is up.
    pub fn connected(&mut self, now: Duration, link: PeerLink, effects: &mut dyn Effects) {
        self.now = now;
        if let Some(known) = self.peers.links.get_mut(&link) {
            (known.state, known.since) = (LinkState::Unidentified, now);
            self.greet(link, effects);
        }
    }

    fn greet(&mut self, link: PeerLink, effects: &mut dyn Effects) {
        let name: Arc<str> = Arc::from(&*self.plan.members[usize::from(self.plan.self_member)]);
        self.tell(link, Frame::Hello(Hello::new(Role::Edge, name)), effects);
        if let Some(member) = self.peers.links.get(&link).and_then(|known| known.member) {
            self.say_here(link, member, effects);
        }
    }

    pub(super) fn say_here(&mut self, link: PeerLink, member: u16, effects: &mut dyn Effects) {
        let yours = self.view.incarnation(member).max(self.lives.granted_to(member));
        // Only neighbours send regularly, so that only what they tell is how long it was away.
        let was_heard = self.view.incarnation(member) > 0 && self.view.is_neighbour(member);
        let away = was_heard.then(|| self.view.time_since_frame(self.now, member));
        let saved = self.view.max_write_count(member);
        let (group, me, life) = (self.group, self.plan.self_member, self.lives.current());
        if let Some(known) = self.peers.links.get_mut(&link) {
            known.sent_incarnation = Some(life);
        }
        let here = PeerMessage::Greeting {
            group,
            member: me,
            incarnation: life,
            known_remote_incarnation: yours,
            saved,
            last_seen_ago: away,
        };
        self.tell(link, Frame::PeerMessage(here), effects);
    }

    /// Closes a link that cannot take what is said: what was to be said is not lost in silence.
    pub(super) fn tell(&mut self, link: PeerLink, frame: Frame, effects: &mut dyn Effects) -> bool {
        if let Some(known) = self.peers.links.get_mut(&link) {
            known.liveness.sent(self.now, &frame);
        }
        let said = effects.send(link, frame);
        if !said {
            self.close(link, "its queue is full", effects);
        }
        said
    }

    pub(super) fn close(&mut self, link: PeerLink, why: &str, effects: &mut dyn Effects) {
        if self.peers.links.contains_key(&link) {
            effects.close(link, why);
            self.forget_link(link, why, effects);
        }
    }

    /// Asks whether the link to a member that is no neighbour is still there: a new one from the same member says that it may not be.
    fn probe_link_to(&mut self, member: u16, effects: &mut dyn Effects) {
        if self.view.is_neighbour(member) {
            return; // Heartbeats tell.
        }
        if let Some(link) = self.peers.link_to(member) {
            self.tell(link, Frame::Ping { nonce: PROBE }, effects);
        }
    }

    /// Closes links that are dead, and asks over those that may be.
    pub(super) fn review_links(&mut self, effects: &mut dyn Effects) {
        for member in 0..self.plan.members.len() as u16 {
            let Some(link) = self.peers.link_to(member) else { continue };
            match self.check_link(link, member) {
                LinkCheck::Idle => {}
                LinkCheck::Ping => drop(self.tell(link, Frame::Ping { nonce: PROBE }, effects)),
                LinkCheck::Dead => {
                    self.close(link, "silent, taken as dead", effects);
                    // The other side may hold it for alive, and would not begin another.
                    self.peers.allow_connection_attempt(member);
                }
            }
        }
    }

    fn check_link(&self, link: PeerLink, member: u16) -> LinkCheck {
        let silence = self.plan.response_timeout;
        if self.view.is_neighbour(member) {
            let is_dead = self.view.time_since_frame(self.now, member) >= silence * 2;
            return if is_dead { LinkCheck::Dead } else { LinkCheck::Idle };
        }
        let Some(known) = self.peers.links.get(&link) else { return LinkCheck::Idle };
        known.liveness.check(self.now, (silence / 2).max(PING_AFTER), (silence * 2).max(ANSWER_WITHIN))
    }

    /// Whether what is said to a member now reaches it, as far as is known: there is a link, and it is heard.
    pub(super) fn reaches(&self, member: u16) -> bool {
        is_reached(&self.peers, &self.view, self.now, member)
    }

    /// A link has gone, or did not come up.
    pub fn lost(&mut self, now: Duration, link: PeerLink, why: &str, effects: &mut dyn Effects) {
        self.now = now;
        self.forget_link(link, why, effects);
    }

    fn forget_link(&mut self, link: PeerLink, why: &str, effects: &mut dyn Effects) {
        let up = self.peers.links.get(&link).is_some_and(|known| known.state == LinkState::Identified);
        let Some(member) = self.peers.closed(self.now, link) else { return };
        let place = usize::from(member);
        self.resumed[place] = false;
        self.book.stream(member).halt();
        self.incoming[place].owed = false;
        self.incoming[place].replaced.clear();
        self.wants_pieces.retain(|(to, _)| *to != member);
        self.repairs.forget(member);
        if up {
            effects.log(&format!("member {} gone: {why}", self.plan.members[place]));
        }
    }

    pub(super) fn greeted(
        &mut self, link: PeerLink, known: &LinkInfo, hello: &Hello, effects: &mut dyn Effects,
    ) {
        let place = self.plan.members.iter().position(|name| **name == *hello.name);
        let member = place.map(|place| place as u16);
        let wrong = match (hello.role, hello.version, member, known.member) {
            (Role::Edge, VERSION, Some(member), _) if member == self.plan.self_member => {
                Some("has this member's name".into())
            }
            (Role::Edge, VERSION, Some(member), Some(meant)) if member != meant => {
                Some(format!("is {}, not {}", hello.name, self.name(meant)))
            }
            (Role::Edge, VERSION, _, _) => None,
            (Role::Edge, version, ..) => Some(format!("speaks version {version}, not {VERSION}")),
            (role, ..) => Some(format!("is a {role:?}")),
        };
        if let Some(wrong) = wrong {
            return self.close(link, &wrong, effects);
        }
        let came_in = known.member.is_none();
        if let Some(known) = self.peers.links.get_mut(&link) {
            known.greeted = true;
            known.member = member;
            if member.is_none() {
                known.state = LinkState::Operator;
            }
        }
        if came_in {
            self.greet(link, effects);
        }
    }

    #[expect(clippy::too_many_arguments)]
    pub(super) fn is_here(
        &mut self, link: PeerLink, member: u16, group: u64, place: u16, life: u64,
        (yours, saved): (u64, u64), away: Option<Duration>, effects: &mut dyn Effects,
    ) {
        if group != self.group || place != member {
            let line = format!(
                "member {} has another group or other figures: no copies go there",
                self.name(member)
            );
            effects.log(&line);
            return self.close(link, "another group", effects);
        }
        // A clock here that stood still while the other's went on: what is kept here may be forgotten elsewhere, and would be
        // brought back to life.
        let mine = self.view.time_since_frame(self.now, member);
        let still =
            away.filter(|away| *away > mine + mine / 8 + STOOD_STILL && yours == self.lives.current());
        if self.lives.current() == 0
            && let Some(away) = away
        {
            self.away = Some(self.away.map_or(away, |known| known.min(away)));
        }
        if self.lives.peer_reported(member, yours, saved) {
            self.overtaken(effects);
        } else if still.is_some() && self.lives.current() > 0 {
            let dropped = self.book.drop_not_owned();
            effects.log(&format!("this clock stood still: {dropped} copies let go, a new life begins"));
            self.lives.abandon();
            self.end_life(effects);
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
            effects.log(&format!("member {} here, in life {}", self.name(member), start_count(life)));
        }
        self.view.frame_received(self.now, member);
        self.resumed[usize::from(member)] = false;
        if life >= self.view.incarnation(member) && life > 0 {
            self.peer_lives(member, life, effects);
        }
        // A life that began between the greeting and now was told only on links that were up.
        let sent_incarnation = self.peers.links.get(&link).map(|known| known.sent_incarnation);
        if sent_incarnation.is_some_and(|told| told != Some(self.lives.current())) {
            self.say_here(link, member, effects);
        }
        self.ask_for_life(effects);
        self.resume(member, effects);
    }
}
