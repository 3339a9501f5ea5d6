//! Digests over ranges of fingerprints, by which two members find the replicas in which they differ without sending all of them.
//!
//! The digests of records are combined by exclusive or, which is independent of order and removes a record as it added it: a write
//! costs one step per level, however many records there are. In a Merkle tree each write would rehash a whole path of nodes.

/// The number of ranges into which a range of the level above is divided.
pub const FAN_OUT: usize = 16;

/// The digests of the records that two members share; one tree for each pair of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestTree {
    /// From the top: 1, 16, 256 ... ranges.
    levels: Vec<Vec<u64>>,
}

impl DigestTree {
    /// Creates an empty tree with this number of levels below the top: it has 16 to the power of `depth` leaf ranges.
    pub fn new(depth: u8) -> Self {
        Self { levels: (0..=u32::from(depth)).map(|level| vec![0; FAN_OUT.pow(level)]).collect() }
    }

    /// A depth at which a leaf range of a group of this size has few records and the trees of all pairs take bounded memory.
    pub fn depth_for(member_count: usize) -> u8 {
        if member_count <= 8 { 4 } else { 3 }
    }

    /// The number of levels below the top.
    pub fn depth(&self) -> u8 {
        self.levels.len() as u8 - 1
    }

    fn index(level: usize, fingerprint: u64) -> usize {
        if level == 0 { 0 } else { (fingerprint >> (64 - 4 * level)) as usize }
    }

    /// Adds a record, or removes it if it was added before.
    pub fn toggle(&mut self, fingerprint: u64, digest: u64) {
        for (level, digests) in self.levels.iter_mut().enumerate() {
            digests[Self::index(level, fingerprint)] ^= digest;
        }
    }

    /// The digests of `count` ranges of a level starting at `first`; none if there are no such ranges.
    pub fn digests(&self, level: u8, first: u32, count: usize) -> Option<&[u64]> {
        let first = first as usize;
        self.levels.get(usize::from(level))?.get(first..first.checked_add(count)?)
    }

    /// The lowest and the highest fingerprint of a leaf range.
    pub fn leaf_bounds(&self, range: u32) -> Option<(u64, u64)> {
        let depth = usize::from(self.depth());
        let width = 64 - 4 * depth;
        (range < FAN_OUT.pow(depth as u32) as u32).then(|| {
            let from = u64::from(range) << width;
            (from, from | (u64::MAX >> (64 - width)))
        })
    }
}
