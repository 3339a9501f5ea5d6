//! Which members hold replicas of a dialogue, by rendezvous hashing (Thaler and Ravishankar 1998): losing a member moves only that
//! member's share, and all members compute the same holders without coordination.

use std::hash::Hasher;

use lotussaddle::interface::DialogueId;
use siphasher::sip::SipHasher13;

/// The hash key; it must be the same on all machines and in all versions.
const HASH_KEY: (u64, u64) = (0x6c6f_7475_7373_6164, 0x646c_655f_666c_6565);

fn hasher() -> SipHasher13 {
    SipHasher13::new_with_keys(HASH_KEY.0, HASH_KEY.1)
}

/// A digest of byte strings, the same on all machines.
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = hasher();
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

/// The hash of a dialogue's id, by which this crate orders and places dialogues.
pub fn fingerprint(dialogue: &DialogueId) -> u64 {
    digest(&[dialogue.0.as_bytes()])
}

/// A group of members; a member is identified by its index in the list of names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaGroup {
    /// Hashes of the names.
    names: Vec<u64>,
    replica_count: usize,
}

impl ReplicaGroup {
    /// `replica_count` is the number of members beside the owner that hold a replica; with fewer members, all of them do.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>, replica_count: usize) -> Self {
        let names: Vec<u64> = names.into_iter().map(|name| digest(&[name.as_bytes()])).collect();
        let replica_count = replica_count.min(names.len().saturating_sub(1));
        Self { names, replica_count }
    }

    /// The number of members.
    pub fn member_count(&self) -> usize {
        self.names.len()
    }

    /// The number of members beside the owner that hold a replica.
    pub fn replica_count(&self) -> usize {
        self.replica_count
    }

    /// All members in their order of preference for this fingerprint.
    pub fn ranked_members(&self, fingerprint: u64) -> Vec<u16> {
        let mut ranked: Vec<(u64, u16)> = (self.names.iter().enumerate())
            .map(|(index, name)| (mix(*name, fingerprint), index as u16))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// The first `count` of [`ReplicaGroup::ranked_members`].
    fn top_ranked(&self, fingerprint: u64, count: usize) -> RankedMembers {
        let mut top = RankedMembers::default();
        for (index, name) in self.names.iter().enumerate() {
            top.offer(mix(*name, fingerprint), index as u16, count);
        }
        top
    }

    /// The members that may hold replicas, whoever is the owner: one more than there are replicas, since the owner may be among them.
    pub fn candidates(&self, fingerprint: u64) -> RankedMembers {
        self.top_ranked(fingerprint, self.replica_count + 1)
    }

    /// The members that hold replicas of what this member owns.
    pub fn holders(&self, fingerprint: u64, owner: u16) -> impl Iterator<Item = u16> {
        let replica_count = self.replica_count;
        self.candidates(fingerprint).into_iter().filter(move |member| *member != owner).take(replica_count)
    }

    /// Whether `member` is the owner or holds a replica.
    pub fn shares(&self, fingerprint: u64, owner: u16, member: u16) -> bool {
        member == owner || self.holders(fingerprint, owner).any(|holder| holder == member)
    }
}

fn mix(name: u64, fingerprint: u64) -> u64 {
    // Both inputs are hashes, so the finalizer of splitmix64 is enough to distinguish the pairs.
    let mut x = name ^ fingerprint.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A few members in order of preference. It uses no heap, since each step of a dialogue computes one.
#[derive(Clone, Copy, Default, Debug)]
pub struct RankedMembers {
    ranks: [(u64, u16); Self::MAX],
    len: usize,
}

impl RankedMembers {
    /// One more than the maximum number of replicas.
    pub const MAX: usize = 9;

    fn offer(&mut self, rank: u64, member: u16, count: usize) {
        let count = count.min(Self::MAX);
        let index = self.ranks[..self.len].partition_point(|known| *known > (rank, member));
        if index < count {
            self.len = (self.len + 1).min(count);
            self.ranks.copy_within(index..self.len - 1, index + 1);
            self.ranks[index] = (rank, member);
        }
    }

    /// The members, the most preferred first.
    pub fn iter(&self) -> impl Iterator<Item = u16> + '_ {
        self.ranks[..self.len].iter().map(|(_, member)| *member)
    }

    /// Whether a member is among them.
    pub fn contains(&self, member: u16) -> bool {
        self.iter().any(|known| known == member)
    }
}

impl IntoIterator for RankedMembers {
    type Item = u16;
    type IntoIter = std::iter::Map<
        std::iter::Take<std::array::IntoIter<(u64, u16), { Self::MAX }>>,
        fn((u64, u16)) -> u16,
    >;

    fn into_iter(self) -> Self::IntoIter {
        self.ranks.into_iter().take(self.len).map(|(_, member)| member)
    }
}
