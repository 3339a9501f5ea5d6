//! Pseudo-random numbers without a dependency.

/// The least of a sequence of numbers drawn for tries that would else meet for ever.
pub(crate) fn draw(chance: &mut u64) -> u64 {
    *chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    *chance >> 33
}
