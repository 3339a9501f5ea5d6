//! SplitMix64: a small deterministic generator, also used as a 64-bit mixing function.

const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Mixes all bits of a value.
pub(crate) fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(INCREMENT);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A generator of pseudo-random numbers.
pub(crate) struct SplitMix {
    state: u64,
}

impl SplitMix {
    /// A generator with this seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    fn next(&mut self) -> u64 {
        let value = mix(self.state);
        self.state = self.state.wrapping_add(INCREMENT);
        value
    }

    /// A number below `bound`, which is not zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    /// Shuffles a slice (Fisher-Yates).
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            let other = self.below(last + 1);
            items.swap(last, other);
        }
    }
}
