//! The membership view: who hears whom. A silent member is not known to be dead: what is done about it rests on the majority's word
//! only in when it is done; that it does no harm rests on numbers that receivers check.

use std::time::Duration;

/// A set of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSet(Vec<u64>);

impl MemberSet {
    /// The set with these bits, as [`MemberSet::words`] gave them.
    pub fn of(words: Vec<u64>) -> Self {
        Self(words)
    }

    /// One bit for each member, lowest first, 64 in a word.
    pub fn words(&self) -> &[u64] {
        &self.0
    }

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

struct Seen {
    /// When it was heard last; at first, when this began.
    heard: Duration,
    /// Whom it heard, as it said last; none: it has not said.
    hears: Option<MemberSet>,
    caught_up: bool,
    /// The highest life of it that is known.
    life: u64,
    /// Writes that its disk has had, as it said.
    saved: u64,
}

/// Which members are heard here, and what each has said of itself.
pub struct MembershipView {
    me: u16,
    silence: Duration,
    seen: Vec<Seen>,
}

impl MembershipView {
    /// A view in which all members count as heard `now`; one is silent after `silence`.
    pub fn new(now: Duration, me: u16, members: usize, silence: Duration) -> Self {
        let seen = || Seen { heard: now, hears: None, caught_up: false, life: 0, saved: 0 };
        Self { me, silence, seen: (0..members).map(|_| seen()).collect() }
    }

    /// A frame came from a member.
    pub fn heard(&mut self, now: Duration, member: u16) {
        if let Some(seen) = self.seen.get_mut(usize::from(member)) {
            seen.heard = now;
        }
    }

    /// A heartbeat came: whom the member hears, and whether it has caught up.
    pub fn heartbeat(&mut self, member: u16, hears: MemberSet, caught_up: bool) {
        if let Some(seen) = self.seen.get_mut(usize::from(member)) {
            (seen.hears, seen.caught_up) = (Some(hears), caught_up);
        }
    }

    /// How many writes a member's disk has had, by its own word.
    pub fn saved(&mut self, member: u16, saved: u64) {
        if let Some(seen) = self.seen.get_mut(usize::from(member)) {
            seen.saved = seen.saved.max(saved);
        }
    }

    /// The most writes that a member's disk is known to have had.
    pub fn most_saved(&self, member: u16) -> u64 {
        self.seen.get(usize::from(member)).map_or(0, |seen| seen.saved)
    }

    /// A life of a member is known; true: it is a new one.
    pub fn lives(&mut self, member: u16, life: u64) -> bool {
        let Some(seen) = self.seen.get_mut(usize::from(member)) else { return false };
        let new = life > seen.life;
        seen.life = seen.life.max(life);
        new
    }

    /// The highest life of a member that is known; zero: none.
    pub fn life(&self, member: u16) -> u64 {
        self.seen.get(usize::from(member)).map_or(0, |seen| seen.life)
    }

    /// Whether a member has said that it has caught up.
    pub fn caught_up(&self, member: u16) -> bool {
        self.seen.get(usize::from(member)).is_some_and(|seen| seen.caught_up)
    }

    /// How long ago it was heard.
    pub fn away(&self, now: Duration, member: u16) -> Duration {
        self.seen.get(usize::from(member)).map_or(Duration::MAX, |seen| now.saturating_sub(seen.heard))
    }

    /// This member hears it.
    pub fn hears(&self, now: Duration, member: u16) -> bool {
        member == self.me || self.away(now, member) < self.silence
    }

    /// All members that this one hears, itself included.
    pub fn all_heard(&self, now: Duration) -> MemberSet {
        let mut all = MemberSet::default();
        (0..self.seen.len() as u16)
            .filter(|member| self.hears(now, *member))
            .for_each(|member| all.set(member));
        all
    }

    /// A majority of all does not hear it: those that are heard here say so, or this member itself.
    pub fn gone(&self, now: Duration, member: u16) -> bool {
        if member == self.me {
            return false;
        }
        let deaf = (0..self.seen.len() as u16).filter(|other| *other != member).filter(|other| {
            if *other == self.me {
                !self.hears(now, member)
            } else {
                let said = self.seen[usize::from(*other)].hears.as_ref();
                self.hears(now, *other) && said.is_some_and(|hears| !hears.has(member))
            }
        });
        deaf.count() > self.seen.len() / 2
    }

    /// A majority of all, this member included, is heard here.
    pub fn with_majority(&self, now: Duration) -> bool {
        self.all_heard(now).len() > self.seen.len() / 2
    }
}

#[cfg(test)]
#[path = "../tests/unit/membership_view.rs"]
mod tests;
