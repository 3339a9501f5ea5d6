//! The membership view: which members are gone, and whether this one has a majority, as the membership protocol tells; and what is
//! known of each member's incarnation and disk. A member that is gone is not known to be dead: the verdict decides only when something
//! is done about it; that it does no harm rests on numbers that receivers check.

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
    /// When a frame came straight from it last; at first, when this began.
    heard: Duration,
    /// The highest life of it that is known.
    life: u64,
    /// Writes that its disk has had, as it said.
    saved: u64,
}

/// A message of the membership protocol that is to be sent to a neighbour.
pub struct MembershipMessage {
    /// The neighbour.
    pub to: u16,
    /// It is the regular one, which is sent once in each heartbeat interval.
    pub is_heartbeat: bool,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Who is gone, and what is known of each member.
pub struct MembershipView {
    me: u16,
    silence: Duration,
    membership: Membership,
    members: Vec<KnownMember>,
}

impl MembershipView {
    /// A view in which all members count as heard `now`; a neighbour in the overlay is silent after `silence`.
    pub fn new(now: Duration, me: u16, overlay: Arc<Overlay>, silence: Duration) -> Self {
        let members = vec![KnownMember { heard: now, life: 0, saved: 0 }; overlay.members()];
        let membership = Membership::new(now, me, overlay, Timing { silence });
        Self { me, silence, membership, members }
    }

    /// A frame came straight from a member.
    pub fn heard(&mut self, now: Duration, member: u16) {
        if let Some(known) = self.members.get_mut(usize::from(member)) {
            known.heard = now;
        }
        self.membership.frame_received(now, member);
    }

    /// A message of the membership protocol came from a member. Gives the members of which something is new.
    pub fn received(&mut self, now: Duration, from: u16, bytes: &[u8]) -> Result<Vec<u16>, MessageError> {
        let message = Message::decode(bytes)?;
        self.membership.received(now, from, &message)
    }

    /// This member is in this life, none: zero, and has caught up or not: its neighbours are told.
    pub fn set_self(&mut self, now: Duration, life: u64, caught_up: bool) {
        self.membership.set_self(now, life, caught_up);
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

    /// How many writes a member's disk has had, by its own word.
    pub fn saved(&mut self, member: u16, saved: u64) {
        if let Some(known) = self.members.get_mut(usize::from(member)) {
            known.saved = known.saved.max(saved);
        }
    }

    /// The most writes that a member's disk is known to have had.
    pub fn most_saved(&self, member: u16) -> u64 {
        self.members.get(usize::from(member)).map_or(0, |known| known.saved)
    }

    /// A life of a member is known; true: it is a new one.
    pub fn lives(&mut self, member: u16, life: u64) -> bool {
        let Some(known) = self.members.get_mut(usize::from(member)) else { return false };
        let new = life > known.life;
        known.life = known.life.max(life);
        new
    }

    /// The highest life of a member that is known; zero: none.
    pub fn life(&self, member: u16) -> u64 {
        self.members.get(usize::from(member)).map_or(0, |known| known.life)
    }

    /// The life that a member's register tells; zero: there is none.
    pub fn registered_life(&self, member: u16) -> u64 {
        self.membership.register(member).map_or(0, |register| register.incarnation)
    }

    /// Whether a member has said that it has caught up.
    pub fn caught_up(&self, member: u16) -> bool {
        self.membership.register(member).is_some_and(|register| register.caught_up)
    }

    /// This member's neighbours in the overlay: those that send it heartbeats.
    pub fn neighbours(&self) -> &[u16] {
        self.membership.overlay().neighbours(self.me)
    }

    /// Whether a member is a neighbour of this one in the overlay.
    pub fn is_neighbour(&self, member: u16) -> bool {
        self.neighbours().contains(&member)
    }

    /// How long ago a frame came straight from it. Only neighbours send regularly.
    pub fn away(&self, now: Duration, member: u16) -> Duration {
        self.members.get(usize::from(member)).map_or(Duration::MAX, |known| now.saturating_sub(known.heard))
    }

    /// This member hears it: a neighbour by its frames, another by not being held gone.
    pub fn hears(&self, now: Duration, member: u16) -> bool {
        if member == self.me {
            return true;
        }
        if self.is_neighbour(member) { self.away(now, member) < self.silence } else { !self.gone(member) }
    }

    /// Whether a member is held gone: no path of neighbours that hear each other leads there from the majority that this one is in.
    pub fn gone(&self, member: u16) -> bool {
        self.membership.is_gone(member)
    }

    /// A majority of all is joined to this member by paths of neighbours that hear each other.
    pub fn with_majority(&self) -> bool {
        self.membership.has_majority()
    }
}

#[cfg(test)]
#[path = "../tests/unit/membership_view.rs"]
mod tests;
