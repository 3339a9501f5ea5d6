//! What a member is told about the group at its start.

use std::time::Duration;

/// The members, the voters, the order of each duty's holders, and the length of a lease.
#[derive(Clone, Debug)]
pub struct Plan {
    pub me: u16,
    pub members: u16,
    /// Who votes, where no table says otherwise.
    pub voters: Vec<u16>,
    /// Of each duty, all members in the order in which they are to have it.
    pub ranks: Vec<Vec<u16>>,
    /// A duty is held for so long without a word from the chair, and taken from a silent holder after a little more.
    pub lease: Duration,
}

impl Plan {
    /// A voter helps no other candidate for so long after it heard the chair.
    pub fn promise(&self) -> Duration {
        self.lease / 2
    }

    /// So often the chair says that it is there.
    pub fn beat(&self) -> Duration {
        self.lease / 8
    }
}
