//! A register: the latest state that a member has published of itself.

use crate::MemberIndex;
use crate::random::mix;

/// The state that a member publishes of itself. The later of two registers of one member wins, so merging is a join: lost, duplicate, late and
/// reordered messages are harmless, and a register of a previous incarnation never wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Register {
    /// The incarnation of the member; zero: none is known.
    pub incarnation: u64,
    /// Counts the registers of one incarnation.
    pub sequence: u32,
    /// One bit for each neighbour, in the order of the overlay: set when the member does not hear it.
    pub unheard: u16,
    /// Whether the member has caught up.
    pub caught_up: bool,
}

impl Register {
    /// Whether this register replaces `other`. The content decides between equal numbers, so that all members choose alike.
    pub fn is_later_than(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Whether a register is known at all.
    pub fn is_known(&self) -> bool {
        self.incarnation > 0
    }

    fn rank(&self) -> (u64, u32, u16, bool) {
        (self.incarnation, self.sequence, self.unheard, self.caught_up)
    }

    /// The digest of this register as that of `member`; zero when none is known.
    pub(crate) fn digest(&self, member: MemberIndex) -> u64 {
        if !self.is_known() {
            return 0;
        }
        let content =
            u64::from(self.sequence) << 32 | u64::from(self.unheard) << 16 | u64::from(self.caught_up);
        mix(mix(mix(u64::from(member)) ^ self.incarnation) ^ content)
    }
}

/// A register and the member that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRegister {
    /// The member that the register belongs to.
    pub member: MemberIndex,
    /// The published state of that member.
    pub register: Register,
}
