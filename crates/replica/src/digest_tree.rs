//! Digests over ranges of ids, by which two members find what they hold differently without sending it all.
//!
//! The digests of records are joined by exclusive or, which knows no order and takes a record out as it put it in: a write costs
//! one step a level, however many records there are (a Merkle tree whose nodes would have to be hashed anew costs a path).

/// Ranges that a range of the level above is cut into.
pub const FAN_OUT: usize = 16;

/// One for each pair of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestTree {
    /// From the top: 1, 16, 256 ... ranges.
    levels: Vec<Vec<u64>>,
}

impl DigestTree {
    /// With so many levels below the top: 16 to the power of that many ranges at the bottom.
    pub fn new(depth: u8) -> Self {
        Self { levels: (0..=u32::from(depth)).map(|level| vec![0; FAN_OUT.pow(level)]).collect() }
    }

    /// Ranges so fine that a range of a group of so many members has few records, and all pairs together bounded memory.
    pub fn depth_for(members: usize) -> u8 {
        if members <= 8 { 4 } else { 3 }
    }

    pub fn depth(&self) -> u8 {
        self.levels.len() as u8 - 1
    }

    fn place(level: usize, print: u64) -> usize {
        if level == 0 { 0 } else { (print >> (64 - 4 * level)) as usize }
    }

    /// Puts a record in, or takes it out.
    pub fn toggle(&mut self, print: u64, digest: u64) {
        for (level, sums) in self.levels.iter_mut().enumerate() {
            sums[Self::place(level, print)] ^= digest;
        }
    }

    /// Digests of so many ranges of a level, from one on; none where there are no such ranges.
    pub fn digests(&self, level: u8, from: u32, count: usize) -> Option<&[u64]> {
        let from = from as usize;
        self.levels.get(usize::from(level))?.get(from..from.checked_add(count)?)
    }

    /// The whole range of ids that a range at the bottom stands for: from, and up to.
    pub fn leaf_bounds(&self, range: u32) -> Option<(u64, u64)> {
        let depth = usize::from(self.depth());
        let width = 64 - 4 * depth;
        (range < FAN_OUT.pow(depth as u32) as u32).then(|| {
            let from = u64::from(range) << width;
            (from, from | (u64::MAX >> (64 - width)))
        })
    }
}
