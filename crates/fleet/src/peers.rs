//! Links between members: one for each pair, begun by the one that comes first in the group. Connects pause with growing, scattered
//! gaps, so that a member that comes back is not met by all at once; one that starts knocks once at those that come before it, who
//! may be pausing.

use std::time::Duration;

use crate::link_liveness::LinkLiveness;

/// A link, named by the shell and never named again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerLink(pub u64);

const FIRST_GAP: Duration = Duration::from_millis(50);
const LONGEST_GAP: Duration = Duration::from_millis(2000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Begun from here, and not up.
    Begun,
    /// Up, and the other side has not said who it is.
    Fresh,
    /// The other side has said that it is this member, and the group is the same.
    Here,
    /// An operator's, who may ask.
    Operator,
}

#[derive(Clone, Debug)]
pub struct Known {
    pub way: Way,
    pub member: Option<u16>,
    pub since: Duration,
    /// It has said hello.
    pub greeted: bool,
    pub begun_here: bool,
    pub liveness: LinkLiveness,
    /// The life that this member has told there last.
    pub told_life: Option<u64>,
    /// The count of writes on disk that it has told there last.
    pub told_saved: Option<u64>,
}

impl Known {
    fn new(now: Duration, way: Way, member: Option<u16>) -> Self {
        Self {
            way,
            member,
            since: now,
            greeted: false,
            begun_here: way == Way::Begun,
            liveness: LinkLiveness::default(),
            told_life: None,
            told_saved: None,
        }
    }
}

struct Seat {
    link: Option<PeerLink>,
    again_at: Duration,
    gap: Duration,
    /// One that comes before this member, and has not been knocked at.
    knock: bool,
}

pub struct Peers {
    me: u16,
    seats: Vec<Seat>,
    pub links: std::collections::BTreeMap<PeerLink, Known>,
    chance: u64,
}

impl Peers {
    pub fn new(now: Duration, me: u16, members: usize, chance: u64) -> Self {
        let seat = |place| Seat { link: None, again_at: now, gap: FIRST_GAP, knock: place < me };
        Self { me, seats: (0..members as u16).map(seat).collect(), links: Default::default(), chance }
    }

    /// The link to a member that is up and said to be it.
    pub fn to(&self, member: u16) -> Option<PeerLink> {
        let link = self.seats.get(usize::from(member))?.link?;
        self.links.get(&link).filter(|known| known.way == Way::Here).map(|_| link)
    }

    fn waits(&self) -> impl Iterator<Item = (u16, &Seat)> {
        let seats = self.seats.iter().enumerate().map(|(place, seat)| (place as u16, seat));
        seats.filter(|(place, seat)| seat.link.is_none() && (*place > self.me || seat.knock))
    }

    /// Members to which a link is to be begun now.
    pub fn to_begin(&self, now: Duration) -> Vec<u16> {
        self.waits().filter(|(_, seat)| seat.again_at <= now).map(|(place, _)| place).collect()
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.waits().map(|(_, seat)| seat.again_at).min()
    }

    pub fn begun(&mut self, now: Duration, member: u16, link: PeerLink) {
        let seat = &mut self.seats[usize::from(member)];
        (seat.link, seat.knock) = (Some(link), false);
        self.links.insert(link, Known::new(now, Way::Begun, Some(member)));
    }

    /// A link has come in.
    pub fn came(&mut self, now: Duration, link: PeerLink) {
        self.links.insert(link, Known::new(now, Way::Fresh, None));
    }

    /// The other side of a link is this member. Of two links the one that was begun by the first of the pair stays, else the newer:
    /// both sides choose alike. Gives the one that is to be closed: this one, or the one before.
    pub fn seated(&mut self, link: PeerLink, member: u16) -> Option<PeerLink> {
        let me = self.me;
        let by_first = |known: &Known| known.begun_here == (me < member);
        let before = self.seats[usize::from(member)].link.filter(|before| *before != link);
        let stays = before.and_then(|before| self.links.get(&before)).is_some_and(|before| {
            before.way == Way::Here && by_first(before) && !self.links.get(&link).is_some_and(by_first)
        });
        if stays {
            return Some(link);
        }
        let seat = &mut self.seats[usize::from(member)];
        (seat.gap, seat.again_at, seat.link) = (FIRST_GAP, Duration::ZERO, Some(link));
        before
    }

    /// A link to a member is begun from here once, where the other side begins them otherwise.
    pub fn knock_again(&mut self, member: u16) {
        if let Some(seat) = self.seats.get_mut(usize::from(member)) {
            seat.knock = member < self.me;
        }
    }

    /// A link has gone; the member at its other end, if that was its link.
    pub fn lost(&mut self, now: Duration, link: PeerLink) -> Option<u16> {
        let known = self.links.remove(&link)?;
        let member = known.member?;
        let seat = &mut self.seats[usize::from(member)];
        if seat.link != Some(link) {
            return None;
        }
        seat.link = None;
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let share = 0.5 + (self.chance >> 40) as f64 / (1u64 << 24) as f64;
        seat.again_at = now + seat.gap.mul_f64(share);
        seat.gap = (seat.gap * 2).min(LONGEST_GAP);
        Some(member)
    }
}

#[cfg(test)]
#[path = "../tests/unit/peers.rs"]
mod tests;
