//! Which life of itself a member is in: a number that no other process of its name has had, as a majority agrees.
//!
//! A member that starts learns from its peers the highest life of its name that they know of, and asks them to give it a higher one.
//! The number counts starts, and its low bits are drawn: two processes under one name that ask at once ask for different ones, and
//! the higher counts. Who starts from a copy of an old disk sees by what its peers know that it is old, before it writes.

use std::time::Duration;

use crate::membership_view::MemberSet;

/// Not all have answered by then: it is asked again.
const AGAIN: Duration = Duration::from_millis(500);
/// Lives asked for that are remembered; an older one, told again, passes for another's, which only costs copies.
const MOST_OWN: usize = 16;
/// Bits of a life that are drawn.
const DRAWN: u32 = 24;

/// The start that a life counts.
pub fn start_of(life: u64) -> u64 {
    life >> DRAWN
}

struct Try {
    life: u64,
    given: MemberSet,
    at: Duration,
}

pub struct Lives {
    me: u16,
    majority: usize,
    /// What this member has; zero: none yet, or it was taken by another process.
    mine: u64,
    /// The highest of its name that is known.
    highest: u64,
    /// What its disk said at the start: the life, and how many writes it had had.
    stored: Option<(u64, u64)>,
    /// The most writes of this member's disk that a peer knows of.
    saved: u64,
    /// What this member's disk and this process have asked for: a life that was given and never begun is no later one.
    own: Vec<u64>,
    /// The highest that is known and was not asked for from here.
    others: u64,
    /// Peers that have said what they know.
    told: MemberSet,
    asking: Option<Try>,
    /// What was given last, by member.
    given: Vec<u64>,
    chance: u64,
}

/// What came of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Agreed {
    NotYet,
    /// A majority agrees that this life is new. `fresh`: what the disk remembered was of the life before it, and nothing of
    /// it is missing.
    New {
        life: u64,
        fresh: bool,
    },
}

impl Lives {
    /// `asked`: the life that the disk's last process asked for.
    pub fn new(me: u16, members: usize, stored: Option<(u64, u64)>, asked: u64, chance: u64) -> Self {
        let (highest, saved) = stored.unwrap_or_default();
        let (told, given) = (MemberSet::default(), vec![0; members]);
        let majority = members / 2 + 1;
        let (own, others) = (vec![asked], highest);
        Self { me, majority, mine: 0, highest, stored, saved, own, others, told, asking: None, given, chance }
    }

    /// The most writes of this member's disk that are known of, here or by a peer.
    pub fn saved(&self) -> u64 {
        self.saved
    }

    /// Why the disk is taken as older than what this member had kept, in words.
    pub fn why_older(&self) -> String {
        let (life, saved) = self.stored.unwrap_or_default();
        format!(
            "the disk has life {life} and {saved} writes, others know of life {} and {} writes",
            self.others, self.saved
        )
    }

    pub fn mine(&self) -> u64 {
        self.mine
    }

    /// A peer has said which is the highest life of this member that it knows of, and how many writes its disk has had. True: it
    /// is another process's, and this one is not the member any more.
    pub fn told(&mut self, peer: u16, highest: u64, saved: u64) -> bool {
        self.told.set(peer);
        self.saved = self.saved.max(saved);
        // What this process itself has asked for, and was given there, is nobody else's.
        if self.asking.as_ref().is_some_and(|asked| asked.life == highest) {
            return false;
        }
        self.witnessed(highest)
    }

    /// Whether a peer has said what it knows of this member's lives.
    pub fn has_told(&self, peer: u16) -> bool {
        self.told.has(peer)
    }

    /// This life of this member is known of elsewhere. True: it is a later one than this process's, which has none any more.
    pub fn witnessed(&mut self, life: u64) -> bool {
        self.is_known(life);
        let overtaken = self.mine > 0 && life > self.mine;
        if overtaken {
            self.renew();
        }
        overtaken
    }

    fn is_known(&mut self, life: u64) {
        self.highest = self.highest.max(life);
        if !self.own.contains(&life) {
            self.others = self.others.max(life);
        }
    }

    /// What is to be asked of all peers now, if anything.
    pub fn ask(&mut self, now: Duration) -> Option<u64> {
        if self.mine > 0 || self.told.len() + 1 < self.majority {
            return None;
        }
        if let Some(asked) = self.asking.as_mut().filter(|asked| asked.life > self.highest) {
            if now < asked.at + AGAIN {
                return None;
            }
            asked.at = now;
            return Some(asked.life);
        }
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let life = (start_of(self.highest) + 1) << DRAWN | self.chance >> (64 - DRAWN);
        let mut given = MemberSet::default();
        given.set(self.me);
        self.asking = Some(Try { life, given, at: now });
        if self.own.len() >= MOST_OWN {
            self.own.remove(0);
        }
        self.own.push(life);
        Some(life)
    }

    /// When `ask` may have something again.
    pub fn next_due(&self) -> Option<Duration> {
        self.asking.as_ref().filter(|_| self.mine == 0).map(|asked| asked.at + AGAIN)
    }

    /// A peer, of which this life is known, asks for another: is it given, and which is the highest known?
    pub fn asked(&mut self, peer: u16, known: u64, life: u64) -> (bool, u64) {
        let Some(given) = self.given.get_mut(usize::from(peer)) else { return (false, 0) };
        if *given != life && (life < *given || life <= known) {
            return (false, known.max(*given));
        }
        *given = life;
        (true, life)
    }

    /// What was given to a peer, to be kept on disk; and what a disk kept.
    pub fn given_to(&self, peer: u16) -> u64 {
        self.given.get(usize::from(peer)).copied().unwrap_or_default()
    }

    pub fn recall_given(&mut self, peer: u16, life: u64) {
        if let Some(given) = self.given.get_mut(usize::from(peer)) {
            *given = life.max(*given);
        }
    }

    /// A peer has answered.
    pub fn answered(&mut self, peer: u16, life: u64, given: bool, highest: u64) -> Agreed {
        self.told.set(peer);
        if !given {
            self.is_known(highest);
            return Agreed::NotYet;
        }
        let Some(asked) = self.asking.as_mut().filter(|asked| asked.life == life) else {
            return Agreed::NotYet;
        };
        asked.given.set(peer);
        if self.mine > 0 || asked.given.len() < self.majority {
            return Agreed::NotYet;
        }
        (self.mine, self.asking) = (life, None);
        let fresh = self.stored.is_some_and(|(stored, saved)| self.others <= stored && saved >= self.saved);
        Agreed::New { life, fresh }
    }

    /// This life is given up for a newer one; what the disk says is not of the last one any more.
    pub fn renew(&mut self) {
        self.highest = self.highest.max(self.mine);
        (self.mine, self.asking, self.stored) = (0, None, None);
    }
}

#[cfg(test)]
#[path = "../tests/unit/lives.rs"]
mod tests;
