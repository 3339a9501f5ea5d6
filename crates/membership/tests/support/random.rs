//! A deterministic generator for tests (xorshift64*).

pub struct TestRandom {
    state: u64,
}

impl TestRandom {
    pub fn new(seed: u64) -> Self {
        Self { state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 }
    }

    pub fn next(&mut self) -> u64 {
        self.state ^= self.state >> 12;
        self.state ^= self.state << 25;
        self.state ^= self.state >> 27;
        self.state.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound
    }

    /// True in `percent` of a hundred draws.
    pub fn percent(&mut self, percent: u64) -> bool {
        percent > 0 && self.below(100) < percent
    }
}
