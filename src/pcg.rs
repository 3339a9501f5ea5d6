//! Chance: a permuted congruential generator (PCG-XSH-RR, 64 bits of state, 32 bits out).

const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

pub struct Pcg(u64);

impl Pcg {
    pub fn new(seed: u64) -> Self {
        let mut pcg = Self(seed.wrapping_add(INCREMENT));
        pcg.draw();
        pcg
    }

    pub fn draw(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        mixed.rotate_right((old >> 59) as u32)
    }

    /// A number in [0, 1).
    pub fn share(&mut self) -> f64 {
        f64::from(self.draw()) / (f64::from(u32::MAX) + 1.0)
    }
}
