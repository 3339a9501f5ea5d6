//! Configuration of a member, and the values derived from it.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle_membership::Overlay;
use lotussaddle_replica::{RankedMembers, ReplicaGroup, digest};

use crate::duties::DutyPlan;

/// Version of the overlay and of the membership messages: members with another version are refused.
const MEMBERSHIP_VERSION: &[u8] = b"overlay-1";

const MS: Duration = Duration::from_millis(1);

/// Configuration of a group. It must be the same on all members, which [`Plan::digest`] checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Names of all members, in order; a member's number is its place here.
    pub members: Vec<String>,
    /// The place of this member.
    pub self_member: u16,
    /// Members beside the owner that hold a replica.
    pub replica_count: usize,
    /// Acknowledgements awaited before a launch is sent.
    pub acks_before_launch: usize,
    /// Acknowledgements awaited before a final answer is given.
    pub acks_before_answer: usize,
    /// Whether a launch without its acknowledgements is withheld.
    pub withholds_unacknowledged_launches: bool,
    /// Release time after a launch with unknown outcome, the same on all members.
    pub release_time: Duration,
    /// Time limit of the search for the records of a redialled dialogue.
    pub search_timeout: Duration,
    /// Response time-out of a neighbour in the overlay, after which it is reported. The dialogues of a member that no path joins to a
    /// majority are taken over.
    pub response_timeout: Duration,
    /// A dialogue that was taken over is released when no caller claims it for this time.
    pub claim_timeout: Duration,
    /// Retention time of concluded dialogues.
    pub retention: Duration,
    /// Max replicas held, own dialogues included.
    pub max_replicas: usize,
    /// Max concurrent searches for redialled dialogues.
    pub max_searches: usize,
    /// Voters and lease time of the duties; none: the fleet has no duties, and successors act by their rank.
    pub duties: Option<DutyPlan>,
    /// Interval at which two members compare their replicas.
    pub compare_interval: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            self_member: 0,
            replica_count: 2,
            acks_before_launch: 1,
            acks_before_answer: 1,
            withholds_unacknowledged_launches: false,
            release_time: Duration::ZERO,
            search_timeout: MS * 60,
            response_timeout: MS * 1000,
            claim_timeout: MS * 5000,
            retention: MS * 60_000,
            max_replicas: 1_000_000,
            max_searches: 4096,
            duties: None,
            compare_interval: MS * 10_000,
        }
    }
}

impl Plan {
    /// Max value of [`Plan::replica_count`].
    pub const MAX_REPLICAS: usize = RankedMembers::MAX - 1;

    /// The replica group.
    pub fn group(&self) -> ReplicaGroup {
        ReplicaGroup::new(self.members.iter().map(String::as_str), self.replica_count)
    }

    /// Digest of all values that must be the same on all members.
    pub fn digest(&self) -> u64 {
        let names = self.members.join("\n");
        let figures = [
            self.replica_count as u64,
            self.acks_before_launch as u64,
            self.acks_before_answer as u64,
            u64::from(self.withholds_unacknowledged_launches),
            self.release_time.as_micros() as u64,
            self.response_timeout.as_micros() as u64,
            self.claim_timeout.as_micros() as u64,
            self.retention.as_micros() as u64,
        ];
        let duties = self.duties.iter().flat_map(|duties| {
            let voters = duties.voters.iter().map(|voter| u64::from(*voter));
            voters.chain([duties.lease_duration.as_micros() as u64])
        });
        let figures: Vec<u64> = figures.into_iter().chain(duties).collect();
        let figures: Vec<u8> = figures.iter().flat_map(|figure| figure.to_le_bytes()).collect();
        digest(&[names.as_bytes(), &figures, MEMBERSHIP_VERSION])
    }

    /// Min number of holders that have a write whose effect was sent: launches and answers may await different numbers of
    /// acknowledgements, and a search must find both.
    pub fn awaited(&self) -> usize {
        [self.acks_before_launch, self.acks_before_answer]
            .into_iter()
            .filter(|acks| *acks > 0)
            .min()
            .unwrap_or_default()
    }

    /// Size of the smallest majority of all members.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The overlay of neighbours, the same for all members with the same list.
    ///
    /// # Panics
    /// If there are no members, or more than [`lotussaddle_membership::MAX_MEMBERS`].
    pub fn overlay(&self) -> Arc<Overlay> {
        let seed = digest(&[self.members.join("\n").as_bytes()]);
        let overlay = Overlay::new(self.members.len(), seed);
        Arc::new(overlay.expect("the overlay supports a fleet of this size"))
    }
}

#[cfg(test)]
#[path = "../tests/unit/plan.rs"]
mod tests;
