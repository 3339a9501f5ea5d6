//! The incarnation of a member: a number that a majority agrees no other process of the same name has had.
//!
//! A starting member learns from its peers the highest incarnation of its name that they know, and proposes a higher one. The high
//! bits count starts and the low bits are random: two processes with one name that propose at the same time propose different
//! numbers, and the higher one wins. A process that starts from a copy of an old disk learns from its peers that the disk is stale
//! before it writes.

use std::time::Duration;

use crate::membership_view::MemberSet;

/// A proposal that has no majority yet is sent again after this.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Own proposals that are remembered. An older one that is reported again counts as another process's, which only makes the stored
/// replicas stale.
const MAX_OWN_PROPOSALS: usize = 16;
/// Low bits of an incarnation that are random.
const RANDOM_BITS: u32 = 24;

/// The number of the start that an incarnation counts.
pub fn start_count(incarnation: u64) -> u64 {
    incarnation >> RANDOM_BITS
}

struct Proposal {
    incarnation: u64,
    granted: MemberSet,
    at: Duration,
}

/// The own incarnation of this member, and those granted to its peers.
pub struct IncarnationTracker {
    self_member: u16,
    majority: usize,
    /// The incarnation of this process; zero: none yet, or another process has a later one.
    current: u64,
    /// The highest known incarnation of this member's name.
    highest: u64,
    /// What the disk held at the start: the incarnation and its count of writes.
    stored: Option<(u64, u64)>,
    /// The highest number of writes to the disk of this member that it or a peer knew of when this process started.
    write_count: u64,
    /// Peers that have reported a number of writes. What they report later may be what this process has told them.
    counted_by: MemberSet,
    /// Incarnations proposed by this process and by the disk's last process: one that was granted and never used is not a later
    /// incarnation.
    own_proposals: Vec<u64>,
    /// The highest known incarnation that this member did not propose.
    highest_foreign: u64,
    /// Peers that have reported which incarnation and number of writes they know of this member.
    reported_by: MemberSet,
    proposal: Option<Proposal>,
    /// The incarnation granted last to each member.
    granted: Vec<u64>,
    random_state: u64,
}

/// The result of an answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// No majority has agreed yet.
    Pending,
    /// A majority agrees that this incarnation is new.
    New {
        /// The granted incarnation.
        incarnation: u64,
        /// The disk's content is of the previous incarnation and complete.
        fresh: bool,
    },
}

impl IncarnationTracker {
    /// A member without an incarnation. `stored`: incarnation and count of writes on disk; `proposed`: the incarnation that the disk's
    /// last process proposed.
    pub fn new(
        self_member: u16, members: usize, stored: Option<(u64, u64)>, proposed: u64, random_state: u64,
    ) -> Self {
        let (highest, write_count) = stored.unwrap_or_default();
        let (reported_by, granted) = (MemberSet::default(), vec![0; members]);
        let majority = members / 2 + 1;
        let (own_proposals, highest_foreign) = (vec![proposed], highest);
        Self {
            self_member,
            majority,
            current: 0,
            highest,
            stored,
            write_count,
            counted_by: MemberSet::default(),
            own_proposals,
            highest_foreign,
            reported_by,
            proposal: None,
            granted,
            random_state,
        }
    }

    /// The highest number of writes to the disk of this member that it or a peer knew of when this process started.
    pub fn known_write_count(&self) -> u64 {
        self.write_count
    }

    /// Why the disk counts as older than what this member had stored, as text for the log.
    pub fn describe_stale_disk(&self) -> String {
        let (incarnation, write_count) = self.stored.unwrap_or_default();
        format!(
            "the disk has life {incarnation} and {write_count} writes, others know of life {} and {} writes",
            self.highest_foreign, self.write_count
        )
    }

    /// The incarnation of this process; zero: none.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// A peer reports the highest incarnation of this member and the count of disk writes that it knows. True: the incarnation is
    /// another process's and replaces this one. Only the first count of each peer is used: the writes of this process are told to
    /// peers after that, and what they report later may be those.
    pub fn peer_reported(&mut self, peer: u16, highest: u64, write_count: u64) -> bool {
        self.reported_by.set(peer);
        if !self.counted_by.has(peer) {
            self.counted_by.set(peer);
            self.write_count = self.write_count.max(write_count);
        }
        // This process proposed it, and the peer granted it.
        if self.proposal.as_ref().is_some_and(|proposed| proposed.incarnation == highest) {
            return false;
        }
        self.incarnation_seen(highest)
    }

    /// Whether a peer has reported which number of writes it knew of, so that it may be told of those of this process.
    pub fn has_counted(&self, peer: u16) -> bool {
        self.counted_by.has(peer)
    }

    /// Whether a peer has reported what it knows of this member's incarnations.
    pub fn has_reported(&self, peer: u16) -> bool {
        self.reported_by.has(peer)
    }

    /// An incarnation of this member is known elsewhere. True: it is later than this process's, which loses its own.
    pub fn incarnation_seen(&mut self, incarnation: u64) -> bool {
        self.learn_highest(incarnation);
        let overtaken = self.current > 0 && incarnation > self.current;
        if overtaken {
            self.abandon();
        }
        overtaken
    }

    fn learn_highest(&mut self, incarnation: u64) {
        self.highest = self.highest.max(incarnation);
        if !self.own_proposals.contains(&incarnation) {
            self.highest_foreign = self.highest_foreign.max(incarnation);
        }
    }

    /// The incarnation to propose to all peers now, if any.
    pub fn due_proposal(&mut self, now: Duration) -> Option<u64> {
        if self.current > 0 || self.reported_by.len() + 1 < self.majority {
            return None;
        }
        if let Some(proposed) = self.proposal.as_mut().filter(|proposed| proposed.incarnation > self.highest)
        {
            if now < proposed.at + RETRY_INTERVAL {
                return None;
            }
            proposed.at = now;
            return Some(proposed.incarnation);
        }
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let incarnation =
            (start_count(self.highest) + 1) << RANDOM_BITS | self.random_state >> (64 - RANDOM_BITS);
        let mut granted = MemberSet::default();
        granted.set(self.self_member);
        self.proposal = Some(Proposal { incarnation, granted, at: now });
        if self.own_proposals.len() >= MAX_OWN_PROPOSALS {
            self.own_proposals.remove(0);
        }
        self.own_proposals.push(incarnation);
        Some(incarnation)
    }

    /// When [`IncarnationTracker::due_proposal`] may return a proposal again.
    pub fn next_due(&self) -> Option<Duration> {
        self.proposal.as_ref().filter(|_| self.current == 0).map(|proposed| proposed.at + RETRY_INTERVAL)
    }

    /// A peer whose highest known incarnation is `known` proposes `incarnation`. Returns whether it is granted, and the highest one known.
    pub fn proposal_received(&mut self, peer: u16, known: u64, incarnation: u64) -> (bool, u64) {
        let Some(granted) = self.granted.get_mut(usize::from(peer)) else { return (false, 0) };
        if *granted != incarnation && (incarnation < *granted || incarnation <= known) {
            return (false, known.max(*granted));
        }
        *granted = incarnation;
        (true, incarnation)
    }

    /// The incarnation granted last to a peer, to be stored on disk; zero: none.
    pub fn granted_to(&self, peer: u16) -> u64 {
        self.granted.get(usize::from(peer)).copied().unwrap_or_default()
    }

    /// Restores from disk what was granted to a peer.
    pub fn restore_granted(&mut self, peer: u16, incarnation: u64) {
        if let Some(granted) = self.granted.get_mut(usize::from(peer)) {
            *granted = incarnation.max(*granted);
        }
    }

    /// A peer has answered a proposal.
    pub fn proposal_answered(
        &mut self, peer: u16, incarnation: u64, granted: bool, highest: u64,
    ) -> ProposalOutcome {
        self.reported_by.set(peer);
        if !granted {
            self.learn_highest(highest);
            return ProposalOutcome::Pending;
        }
        let Some(proposed) = self.proposal.as_mut().filter(|proposed| proposed.incarnation == incarnation)
        else {
            return ProposalOutcome::Pending;
        };
        proposed.granted.set(peer);
        if self.current > 0 || proposed.granted.len() < self.majority {
            return ProposalOutcome::Pending;
        }
        (self.current, self.proposal) = (incarnation, None);
        let fresh = self.stored.is_some_and(|(stored, write_count)| {
            self.highest_foreign <= stored && write_count >= self.write_count
        });
        ProposalOutcome::New { incarnation, fresh }
    }

    /// Gives up this incarnation for a newer one. The disk's content no longer counts as that of the previous incarnation.
    pub fn abandon(&mut self) {
        self.highest = self.highest.max(self.current);
        (self.current, self.proposal, self.stored) = (0, None, None);
    }
}

#[cfg(test)]
#[path = "../tests/unit/incarnations.rs"]
mod tests;
