//! Who keeps copies of a dialogue: by rendezvous hashing (Thaler and Ravishankar 1998), so that a member that is lost moves only
//! its own share, and everyone names the same ones without being told.

use std::hash::Hasher;

use lotussaddle::interface::DialogueId;
use siphasher::sip::SipHasher13;

/// The same on all machines and in all versions.
const KEY: (u64, u64) = (0x6c6f_7475_7373_6164, 0x646c_655f_666c_6565);

fn hasher() -> SipHasher13 {
    SipHasher13::new_with_keys(KEY.0, KEY.1)
}

/// A digest of bytes, the same everywhere.
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = hasher();
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

/// The hash of a dialogue's id: its place in every order here.
pub fn fingerprint(dialogue: &DialogueId) -> u64 {
    digest(&[dialogue.0.as_bytes()])
}

/// A group of members, by their names in order: a member is its place among them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaGroup {
    names: Vec<u64>,
    copies: usize,
}

impl ReplicaGroup {
    /// `copies` is how many members beside the owner keep a copy; with fewer members, all do.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>, copies: usize) -> Self {
        let names: Vec<u64> = names.into_iter().map(|name| digest(&[name.as_bytes()])).collect();
        let copies = copies.min(names.len().saturating_sub(1));
        Self { names, copies }
    }

    pub fn member_count(&self) -> usize {
        self.names.len()
    }

    pub fn replica_count(&self) -> usize {
        self.copies
    }

    /// All members in the order in which they come for what hashes to this.
    pub fn ranked_members(&self, print: u64) -> Vec<u16> {
        let mut ranked: Vec<(u64, u16)> =
            (self.names.iter().enumerate()).map(|(place, name)| (mix(*name, print), place as u16)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, place)| place).collect()
    }

    /// The first so many of `ranked`, in order.
    fn first(&self, print: u64, count: usize) -> RankedMembers {
        let mut first = RankedMembers::default();
        for (place, name) in self.names.iter().enumerate() {
            first.offer(mix(*name, print), place as u16, count);
        }
        first
    }

    /// Those who may keep copies, whoever owns it: one more than there are copies, since the owner may be one of them.
    pub fn candidates(&self, print: u64) -> RankedMembers {
        self.first(print, self.copies + 1)
    }

    /// Those who keep copies of what this member owns.
    pub fn holders(&self, print: u64, owner: u16) -> impl Iterator<Item = u16> {
        let copies = self.copies;
        self.candidates(print).into_iter().filter(move |member| *member != owner).take(copies)
    }

    /// Whether this member owns it or keeps a copy.
    pub fn shares(&self, print: u64, owner: u16, member: u16) -> bool {
        member == owner || self.holders(print, owner).any(|holder| holder == member)
    }
}

fn mix(name: u64, print: u64) -> u64 {
    // Both are hashes already: a round of mixing tells the pairs apart (the finalizer of splitmix64).
    let mut x = name ^ print.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A few members in order; without the heap, since each step of a dialogue asks for them.
#[derive(Clone, Copy, Default, Debug)]
pub struct RankedMembers {
    ranks: [(u64, u16); Self::MAX],
    len: usize,
}

impl RankedMembers {
    /// One more than copies at most.
    pub const MAX: usize = 9;

    fn offer(&mut self, rank: u64, member: u16, count: usize) {
        let count = count.min(Self::MAX);
        let place = self.ranks[..self.len].partition_point(|known| *known > (rank, member));
        if place < count {
            self.len = (self.len + 1).min(count);
            self.ranks.copy_within(place..self.len - 1, place + 1);
            self.ranks[place] = (rank, member);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = u16> + '_ {
        self.ranks[..self.len].iter().map(|(_, member)| *member)
    }

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
