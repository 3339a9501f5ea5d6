//! What a member is told at its start, and what follows from it.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle_membership::Overlay;
use lotussaddle_replica::{RankedMembers, ReplicaGroup, digest};

use crate::duties::DutyPlan;

/// Of the overlay and the messages over it: members that know others are refused.
const MEMBERSHIP_VERSION: &[u8] = b"overlay-1";

const MS: Duration = Duration::from_millis(1);

/// Figures of a group. All members must have the same ones; [`Plan::digest`] tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Names of all members, in order; a member is its place here.
    pub members: Vec<String>,
    pub me: u16,
    /// Members beside the owner that keep a copy.
    pub copies: usize,
    /// Acknowledgements awaited before a launch is sent, and before a final answer is given.
    pub before_launch: usize,
    pub before_answer: usize,
    /// A launch that cannot be acknowledged is not sent.
    pub strictly: bool,
    /// The rest after a launch in doubt, as all members have it.
    pub release: Duration,
    /// How long is asked for what is known of a dialogue that was dialled before.
    pub ask_within: Duration,
    /// A neighbour in the overlay not heard for so long is reported; a member that no path joins to a majority has its dialogues taken
    /// over.
    pub silence: Duration,
    /// What was taken over and is claimed by no caller for so long is released.
    pub unclaimed: Duration,
    /// What is over is known for so long.
    pub forget: Duration,
    /// Copies kept, own dialogues included.
    pub most: usize,
    /// Dialogues asked for at once.
    pub asks: usize,
    /// Who votes about duties, and for how long one is held; none: nobody has duties, and successors go by their order.
    pub duties: Option<DutyPlan>,
    /// Two members compare what they hold so often.
    pub compare_every: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            me: 0,
            copies: 2,
            before_launch: 1,
            before_answer: 1,
            strictly: false,
            release: Duration::ZERO,
            ask_within: MS * 60,
            silence: MS * 1000,
            unclaimed: MS * 5000,
            forget: MS * 60_000,
            most: 1_000_000,
            asks: 4096,
            duties: None,
            compare_every: MS * 10_000,
        }
    }
}

impl Plan {
    /// The most copies that may be asked for.
    pub const MOST_COPIES: usize = RankedMembers::MAX - 1;

    pub fn group(&self) -> ReplicaGroup {
        ReplicaGroup::new(self.members.iter().map(String::as_str), self.copies)
    }

    /// Of all that must agree.
    pub fn digest(&self) -> u64 {
        let names = self.members.join("\n");
        let figures = [
            self.copies as u64,
            self.before_launch as u64,
            self.before_answer as u64,
            u64::from(self.strictly),
            self.release.as_micros() as u64,
            self.silence.as_micros() as u64,
            self.unclaimed.as_micros() as u64,
            self.forget.as_micros() as u64,
        ];
        let duties = self.duties.iter().flat_map(|duties| {
            let voters = duties.voters.iter().map(|voter| u64::from(*voter));
            voters.chain([duties.lease.as_micros() as u64])
        });
        let figures: Vec<u64> = figures.into_iter().chain(duties).collect();
        let figures: Vec<u8> = figures.iter().flat_map(|figure| figure.to_le_bytes()).collect();
        digest(&[names.as_bytes(), &figures, MEMBERSHIP_VERSION])
    }

    /// How many holders have a write that anyone was told of, at the fewest: launches and answers may wait for different numbers, and
    /// whoever asks has to meet both.
    pub fn awaited(&self) -> usize {
        [self.before_launch, self.before_answer]
            .into_iter()
            .filter(|acks| *acks > 0)
            .min()
            .unwrap_or_default()
    }

    /// More than half of all members.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Which members are neighbours: the same for all that have the same list.
    ///
    /// # Panics
    /// If there are no members, or more than [`lotussaddle_membership::MAX_MEMBERS`].
    pub fn overlay(&self) -> Arc<Overlay> {
        let seed = digest(&[self.members.join("\n").as_bytes()]);
        let overlay = Overlay::new(self.members.len(), seed);
        Arc::new(overlay.expect("a fleet of a size that the overlay has room for"))
    }
}

#[cfg(test)]
#[path = "../tests/unit/plan.rs"]
mod tests;
