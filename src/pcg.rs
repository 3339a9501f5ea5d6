//! Random numbers from a permuted congruential generator (PCG-XSH-RR, 64 bits of state, 32 bits of output).

const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

/// A deterministic pseudo-random generator; not for cryptographic use.
pub struct Pcg(u64);

impl Pcg {
    /// Creates a generator; equal seeds give equal sequences.
    pub fn new(seed: u64) -> Self {
        let mut pcg = Self(seed.wrapping_add(INCREMENT));
        pcg.draw();
        pcg
    }

    /// The next 32 random bits.
    pub fn draw(&mut self) -> u32 {
        let state = self.0;
        self.0 = state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        let mixed = (((state >> 18) ^ state) >> 27) as u32;
        mixed.rotate_right((state >> 59) as u32)
    }

    /// The next random number, uniformly distributed in [0, 1).
    pub fn share(&mut self) -> f64 {
        f64::from(self.draw()) / (f64::from(u32::MAX) + 1.0)
    }
}
