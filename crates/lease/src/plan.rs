//! Configuration of a member: the group and its timings.

use std::time::Duration;

/// The members, the voters, the preferred holders of each duty, and the duration of a lease.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of this member.
    pub self_member: u16,
    /// The number of members; they are numbered from 0.
    pub member_count: u16,
    /// The voters until a table names others.
    pub voters: Vec<u16>,
    /// For each duty, all members in order of preference.
    pub preferred_holders: Vec<Vec<u16>>,
    /// How long a member holds a duty without contact to the leader; the leader reassigns the duty a little later than that.
    pub lease_duration: Duration,
}

impl Plan {
    /// How long a voter supports no other candidate after a heartbeat of the leader.
    pub fn vote_lock_duration(&self) -> Duration {
        self.lease_duration / 2
    }

    /// The time between two heartbeats of the leader.
    pub fn heartbeat_interval(&self) -> Duration {
        self.lease_duration / 8
    }
}
