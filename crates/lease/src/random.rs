//! Pseudo-random numbers without a dependency.

/// Advances a linear congruential generator and returns 31 random bits. They spread attempts that would otherwise keep colliding.
pub(crate) fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    *state >> 33
}
