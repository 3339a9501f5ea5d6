//! What a member is told about the group at its start.

use std::time::Duration;

/// The members, the voters, the order of each duty's holders, and the length of a lease.
#[derive(Clone, Debug)]
pub struct Plan {
    pub self_member: u16,
    pub member_count: u16,
    /// Who votes, where no table says otherwise.
    pub voters: Vec<u16>,
    /// Of each duty, all members in the order in which they are to have it.
    pub preferred_holders: Vec<Vec<u16>>,
    /// A duty is held for so long without a word from the chair, and taken from a silent holder after a little more.
    pub lease_duration: Duration,
}

impl Plan {
    /// A voter helps no other candidate for so long after it heard the chair.
    pub fn vote_lock_duration(&self) -> Duration {
        self.lease_duration / 2
    }

    /// So often the chair says that it is there.
    pub fn heartbeat_interval(&self) -> Duration {
        self.lease_duration / 8
    }
}
