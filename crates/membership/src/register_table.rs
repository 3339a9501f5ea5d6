//! The registers of all members, with a digest of all of them and a digest for each bucket (consecutive members of the list).

use std::time::Duration;

use crate::MemberIndex;
use crate::register::{MemberRegister, Register};

/// How many members of the list share a bucket. The registers of a bucket fit into one message.
pub(crate) const BUCKET_MEMBERS: usize = 64;

/// The result of merging a register into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// The register in the table is later and stays.
    Older,
    /// The table already had this register.
    Equal,
    /// The register replaced this previous one.
    Replaced(Register),
}

/// The registers that this member knows.
pub(crate) struct RegisterTable {
    started_at: Duration,
    registers: Vec<Register>,
    /// When each register was replaced last, in milliseconds since the start.
    replaced_at: Vec<u32>,
    bucket_digests: Vec<u64>,
    digest: u64,
}

impl RegisterTable {
    /// A table in which no register is known.
    pub(crate) fn new(now: Duration, members: usize) -> Self {
        Self {
            started_at: now,
            registers: vec![Register::default(); members],
            replaced_at: vec![0; members],
            bucket_digests: vec![0; members.div_ceil(BUCKET_MEMBERS)],
            digest: 0,
        }
    }

    /// The register of a member, known or not.
    pub(crate) fn get(&self, member: MemberIndex) -> &Register {
        &self.registers[usize::from(member)]
    }

    /// Stores the later of a register and the one in the table.
    pub(crate) fn merge(&mut self, now: Duration, member: MemberIndex, register: Register) -> Merge {
        let index = usize::from(member);
        let before = self.registers[index];
        if before == register {
            return Merge::Equal;
        }
        if !register.is_later_than(&before) {
            return Merge::Older;
        }
        let difference = before.digest(member) ^ register.digest(member);
        self.bucket_digests[index / BUCKET_MEMBERS] ^= difference;
        self.digest ^= difference;
        self.registers[index] = register;
        self.replaced_at[index] = self.milliseconds(now);
        Merge::Replaced(before)
    }

    /// The digest of all registers.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// The digests of the buckets; zero for one without a known register.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_digests.iter().map(|digest| fold(*digest)).collect()
    }

    /// The known registers of a bucket.
    pub(crate) fn bucket(&self, bucket: u16) -> Vec<MemberRegister> {
        let start = usize::from(bucket) * BUCKET_MEMBERS;
        let end = (start + BUCKET_MEMBERS).min(self.registers.len());
        let members = (start..end).map(|index| index as MemberIndex);
        members.map(|member| self.entry(member)).filter(|entry| entry.register.is_known()).collect()
    }

    /// The register of a member with its name.
    pub(crate) fn entry(&self, member: MemberIndex) -> MemberRegister {
        MemberRegister { member, register: *self.get(member) }
    }

    /// Members whose registers were replaced within the last `period`.
    pub(crate) fn replaced_within(&self, now: Duration, period: Duration) -> Vec<MemberIndex> {
        let since = self.milliseconds(now.saturating_sub(period));
        let members = 0..self.registers.len();
        let recent =
            members.filter(|index| self.registers[*index].is_known() && self.replaced_at[*index] >= since);
        recent.map(|index| index as MemberIndex).collect()
    }

    fn milliseconds(&self, at: Duration) -> u32 {
        u32::try_from(at.saturating_sub(self.started_at).as_millis()).unwrap_or(u32::MAX)
    }
}

/// The bucket that a member belongs to.
pub(crate) fn bucket_of(member: MemberIndex) -> u16 {
    (usize::from(member) / BUCKET_MEMBERS) as u16
}

/// Folds a digest to half its length; a digest other than zero almost never folds to zero.
fn fold(digest: u64) -> u32 {
    (digest >> 32) as u32 ^ digest as u32
}
