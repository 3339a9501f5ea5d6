//! Links between members: one for each pair, opened by the member that comes first in the group. Connection attempts back off with
//! random jitter, so that a returning member is not contacted by all at once. A starting member makes one connection attempt to each
//! member before it in the group, because those may be backing off.

use std::time::Duration;

use crate::link_liveness::LinkLiveness;

/// The id of a link, assigned by the I/O driver and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerLink(pub u64);

const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(2000);

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Being opened by this member.
    Connecting,
    /// Open; the other side has not identified itself.
    Unidentified,
    /// The other side has identified itself as a member of the same group.
    Identified,
    /// An operator's link, which may send inquiries.
    Operator,
}

/// What is known of a link.
#[derive(Clone, Debug)]
pub struct LinkInfo {
    /// Its state.
    pub state: LinkState,
    /// The member at the other end, if known.
    pub member: Option<u16>,
    /// When the link was opened or accepted.
    pub since: Duration,
    /// The other side has sent its greeting.
    pub greeted: bool,
    /// This member opened the link.
    pub locally_initiated: bool,
    /// Detects a dead link.
    pub liveness: LinkLiveness,
    /// The incarnation that this member sent last over the link.
    pub sent_incarnation: Option<u64>,
    /// The count of disk writes that this member sent last over the link.
    pub sent_write_count: Option<u64>,
}

impl LinkInfo {
    fn new(now: Duration, state: LinkState, member: Option<u16>) -> Self {
        Self {
            state,
            member,
            since: now,
            greeted: false,
            locally_initiated: state == LinkState::Connecting,
            liveness: LinkLiveness::default(),
            sent_incarnation: None,
            sent_write_count: None,
        }
    }
}

struct PeerSlot {
    link: Option<PeerLink>,
    reconnect_at: Duration,
    reconnect_delay: Duration,
    /// The member comes before this one in the group, and the single connection attempt to it is still due.
    connection_attempt_due: bool,
}

/// The links to all members.
pub struct Peers {
    self_member: u16,
    slots: Vec<PeerSlot>,
    pub links: std::collections::BTreeMap<PeerLink, LinkInfo>,
    random_state: u64,
}

impl Peers {
    /// Peers without links, to which connections are due at once.
    pub fn new(now: Duration, self_member: u16, members: usize, random_state: u64) -> Self {
        let slot = |place| PeerSlot {
            link: None,
            reconnect_at: now,
            reconnect_delay: INITIAL_RECONNECT_DELAY,
            connection_attempt_due: place < self_member,
        };
        Self {
            self_member,
            slots: (0..members as u16).map(slot).collect(),
            links: Default::default(),
            random_state,
        }
    }

    /// The identified link to a member.
    pub fn link_to(&self, member: u16) -> Option<PeerLink> {
        let link = self.slots.get(usize::from(member))?.link?;
        self.links.get(&link).filter(|known| known.state == LinkState::Identified).map(|_| link)
    }

    fn unlinked(&self) -> impl Iterator<Item = (u16, &PeerSlot)> {
        let slots = self.slots.iter().enumerate().map(|(place, slot)| (place as u16, slot));
        slots.filter(|(place, slot)| {
            slot.link.is_none() && (*place > self.self_member || slot.connection_attempt_due)
        })
    }

    /// Members to which a connection is to be started now.
    pub fn due_connections(&self, now: Duration) -> Vec<u16> {
        self.unlinked().filter(|(_, slot)| slot.reconnect_at <= now).map(|(place, _)| place).collect()
    }

    /// When a connection is due next.
    pub fn next_due(&self) -> Option<Duration> {
        self.unlinked().map(|(_, slot)| slot.reconnect_at).min()
    }

    /// A connection to a member has been started.
    pub fn connection_started(&mut self, now: Duration, member: u16, link: PeerLink) {
        let slot = &mut self.slots[usize::from(member)];
        (slot.link, slot.connection_attempt_due) = (Some(link), false);
        self.links.insert(link, LinkInfo::new(now, LinkState::Connecting, Some(member)));
    }

    /// An incoming link has been accepted.
    pub fn accepted(&mut self, now: Duration, link: PeerLink) {
        self.links.insert(link, LinkInfo::new(now, LinkState::Unidentified, None));
    }

    /// The other side of a link has been identified as a member. Of two links to one member, the one opened by the
    /// member with the lower index stays; if that does not decide, the newer one stays. So both sides choose the same link.
    /// Returns the link to be closed: this one or the earlier one.
    pub fn identified(&mut self, link: PeerLink, member: u16) -> Option<PeerLink> {
        let self_member = self.self_member;
        let by_first = |known: &LinkInfo| known.locally_initiated == (self_member < member);
        let before = self.slots[usize::from(member)].link.filter(|before| *before != link);
        let stays = before.and_then(|before| self.links.get(&before)).is_some_and(|before| {
            before.state == LinkState::Identified
                && by_first(before)
                && !self.links.get(&link).is_some_and(by_first)
        });
        if stays {
            return Some(link);
        }
        let slot = &mut self.slots[usize::from(member)];
        (slot.reconnect_delay, slot.reconnect_at, slot.link) =
            (INITIAL_RECONNECT_DELAY, Duration::ZERO, Some(link));
        before
    }

    /// Allows one connection attempt to a member that normally opens the link itself.
    pub fn allow_connection_attempt(&mut self, member: u16) {
        if let Some(slot) = self.slots.get_mut(usize::from(member)) {
            slot.connection_attempt_due = member < self.self_member;
        }
    }

    /// A link has been closed. Returns the member at its other end, if that was its current link.
    pub fn closed(&mut self, now: Duration, link: PeerLink) -> Option<u16> {
        let known = self.links.remove(&link)?;
        let member = known.member?;
        let slot = &mut self.slots[usize::from(member)];
        if slot.link != Some(link) {
            return None;
        }
        slot.link = None;
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let share = 0.5 + (self.random_state >> 40) as f64 / (1u64 << 24) as f64;
        slot.reconnect_at = now + slot.reconnect_delay.mul_f64(share);
        slot.reconnect_delay = (slot.reconnect_delay * 2).min(MAX_RECONNECT_DELAY);
        Some(member)
    }
}

#[cfg(test)]
#[path = "../tests/unit/peers.rs"]
mod tests;
