//! The membership view: which members are gone and whether this one has a majority, by the membership protocol, and the known
//! incarnation and count of disk writes of each member. A gone member may still run: the view decides only when a takeover starts;
//! its safety rests on the numbers that receivers check.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle_membership::{Membership, Message, MessageError, Overlay, Timing};

/// A set of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSet(Vec<u64>);

impl MemberSet {
    /// Adds a member.
    pub fn set(&mut self, member: u16) {
        let (word, bit) = (usize::from(member) / 64, member % 64);
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << bit;
    }

    /// Removes a member.
    pub fn unset(&mut self, member: u16) {
        if let Some(word) = self.0.get_mut(usize::from(member) / 64) {
            *word &= !(1 << (member % 64));
        }
    }

    /// Whether a member is in the set.
    pub fn has(&self, member: u16) -> bool {
        self.0.get(usize::from(member) / 64).is_some_and(|word| word & (1 << (member % 64)) != 0)
    }

    /// How many members are in the set.
    pub fn len(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Whether no member is in the set.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// What is known of one member.
#[derive(Clone, Copy)]
struct KnownMember {
    /// When the last frame was received directly from it; initially the start of this view.
    last_frame: Duration,
    /// Its highest known incarnation.
    incarnation: u64,
    /// The count of writes of its disk that it reported.
    write_count: u64,
}

/// A message of the membership protocol that is to be sent to a neighbour.
pub struct MembershipMessage {
    /// The neighbour.
    pub to: u16,
    /// It is the periodic heartbeat, sent once in each heartbeat interval.
    pub is_heartbeat: bool,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Which members are gone, and what is known of each.
pub struct MembershipView {
    self_member: u16,
    silence: Duration,
    membership: Membership,
    members: Vec<KnownMember>,
}

impl MembershipView {
    /// A view in which all members count as reachable at `now`; a neighbour in the overlay is unresponsive after `silence`.
    pub fn new(now: Duration, self_member: u16, overlay: Arc<Overlay>, silence: Duration) -> Self {
        let members =
            vec![KnownMember { last_frame: now, incarnation: 0, write_count: 0 }; overlay.members()];
        let membership = Membership::new(now, self_member, overlay, Timing { silence });
        Self { self_member, silence, membership, members }
    }

    /// A frame was received directly from a member.
    pub fn frame_received(&mut self, now: Duration, member: u16) {
        if let Some(known) = self.members.get_mut(usize::from(member)) {
            known.last_frame = now;
        }
        self.membership.frame_received(now, member);
    }

    /// Handles a message of the membership protocol from a member. Returns the members whose state changed.
    pub fn received(&mut self, now: Duration, from: u16, bytes: &[u8]) -> Result<Vec<u16>, MessageError> {
        let message = Message::decode(bytes)?;
        self.membership.received(now, from, &message)
    }

    /// Sets this member's incarnation (zero: none) and whether it has caught up, and notifies its neighbours.
    pub fn set_self(&mut self, now: Duration, incarnation: u64, caught_up: bool) {
        self.membership.set_self(now, incarnation, caught_up);
    }

    /// The messages that are to be sent now.
    pub fn tick(&mut self, now: Duration) -> Vec<MembershipMessage> {
        let messages = self.membership.tick(now).into_iter();
        let encoded = messages.map(|(to, message)| MembershipMessage {
            to,
            is_heartbeat: matches!(message, Message::Heartbeat { .. }),
            bytes: message.encode(),
        });
        encoded.collect()
    }

    /// When [`MembershipView::tick`] is due.
    pub fn next_due(&self) -> Duration {
        self.membership.next_due()
    }

    /// A member has reported the count of writes of its disk.
    pub fn write_count_reported(&mut self, member: u16, saved: u64) {
        if let Some(known) = self.members.get_mut(usize::from(member)) {
            known.write_count = known.write_count.max(saved);
        }
    }

    /// The highest known count of writes of a member's disk.
    pub fn max_write_count(&self, member: u16) -> u64 {
        self.members.get(usize::from(member)).map_or(0, |known| known.write_count)
    }

    /// An incarnation of a member has become known; true: it is a new one.
    pub fn incarnation_learned(&mut self, member: u16, incarnation: u64) -> bool {
        let Some(known) = self.members.get_mut(usize::from(member)) else { return false };
        let new = incarnation > known.incarnation;
        known.incarnation = known.incarnation.max(incarnation);
        new
    }

    /// The highest known incarnation of a member; zero: none.
    pub fn incarnation(&self, member: u16) -> u64 {
        self.members.get(usize::from(member)).map_or(0, |known| known.incarnation)
    }

    /// The incarnation in a member's register; zero: there is none.
    pub fn registered_incarnation(&self, member: u16) -> u64 {
        self.membership.register(member).map_or(0, |register| register.incarnation)
    }

    /// Whether a member has reported that it has caught up.
    pub fn has_caught_up(&self, member: u16) -> bool {
        self.membership.register(member).is_some_and(|register| register.caught_up)
    }

    /// This member's neighbours in the overlay: those that send it heartbeats.
    pub fn neighbours(&self) -> &[u16] {
        self.membership.overlay().neighbours(self.self_member)
    }

    /// Whether a member is a neighbour of this one in the overlay.
    pub fn is_neighbour(&self, member: u16) -> bool {
        self.neighbours().contains(&member)
    }

    /// Time since the last frame received directly from a member. Only neighbours send regularly.
    pub fn time_since_frame(&self, now: Duration, member: u16) -> Duration {
        self.members
            .get(usize::from(member))
            .map_or(Duration::MAX, |known| now.saturating_sub(known.last_frame))
    }

    /// Whether a member is reachable: a neighbour by its recent frames, any other by not being gone.
    pub fn is_reachable(&self, now: Duration, member: u16) -> bool {
        if member == self.self_member {
            return true;
        }
        if self.is_neighbour(member) {
            self.time_since_frame(now, member) < self.silence
        } else {
            !self.is_gone(member)
        }
    }

    /// Whether a member is gone: no path of neighbours that receive each other's frames joins it to this member's majority.
    pub fn is_gone(&self, member: u16) -> bool {
        self.membership.is_gone(member)
    }

    /// Whether paths of neighbours that receive each other's frames join this member to a majority of all.
    pub fn has_majority(&self) -> bool {
        self.membership.has_majority()
    }
}

#[cfg(test)]
#[path = "../tests/unit/membership_view.rs"]
mod tests;
