//! A set of members, one bit for each.

use crate::MemberIndex;

const WORD_BITS: usize = 64;

/// A set of members of a fleet of fixed size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemberSet {
    words: Vec<u64>,
}

impl MemberSet {
    /// The empty set for a fleet of `members`.
    pub(crate) fn empty(members: usize) -> Self {
        Self { words: vec![0; members.div_ceil(WORD_BITS)] }
    }

    /// Adds a member; true: it was not in the set.
    pub(crate) fn insert(&mut self, member: MemberIndex) -> bool {
        let (word, bit) = Self::place(member);
        let is_new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        is_new
    }

    /// Removes a member.
    pub(crate) fn remove(&mut self, member: MemberIndex) {
        let (word, bit) = Self::place(member);
        self.words[word] &= !bit;
    }

    /// Whether a member is in the set; false for one beyond the fleet.
    pub(crate) fn contains(&self, member: MemberIndex) -> bool {
        let (word, bit) = Self::place(member);
        self.words.get(word).is_some_and(|bits| bits & bit != 0)
    }

    /// Removes all members.
    pub(crate) fn clear(&mut self) {
        self.words.fill(0);
    }

    /// Whether no member is in the set.
    pub(crate) fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Up to `max` members, in order of the list from `start` and around its end.
    pub(crate) fn take_from(&self, start: MemberIndex, max: usize) -> Vec<MemberIndex> {
        let after = self.iter().skip_while(|member| *member < start);
        let before = self.iter().take_while(|member| *member < start);
        after.chain(before).take(max).collect()
    }

    /// All members of the set in the order of the list.
    pub(crate) fn iter(&self) -> impl Iterator<Item = MemberIndex> + '_ {
        self.words
            .iter()
            .enumerate()
            .flat_map(|(index, word)| BitsOf { remaining_bits: *word, base: index * WORD_BITS })
    }

    fn place(member: MemberIndex) -> (usize, u64) {
        let index = usize::from(member);
        (index / WORD_BITS, 1 << (index % WORD_BITS))
    }
}

struct BitsOf {
    remaining_bits: u64,
    base: usize,
}

impl Iterator for BitsOf {
    type Item = MemberIndex;

    fn next(&mut self) -> Option<MemberIndex> {
        if self.remaining_bits == 0 {
            return None;
        }
        let bit = self.remaining_bits.trailing_zeros() as usize;
        self.remaining_bits &= self.remaining_bits - 1;
        Some((self.base + bit) as MemberIndex)
    }
}
