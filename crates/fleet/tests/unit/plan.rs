//! Tests of the module `plan`, with access to its private items.

use super::*;

#[test]
fn awaited_acknowledgements_are_the_minimum_of_both_settings() {
    let awaited = |acks_before_launch, acks_before_answer| {
        Plan { acks_before_launch, acks_before_answer, ..Plan::default() }.awaited()
    };
    assert_eq!([awaited(3, 1), awaited(1, 3), awaited(2, 2)], [1, 1, 2]);
    // A setting of zero awaits nothing and does not count.
    assert_eq!([awaited(0, 2), awaited(2, 0), awaited(0, 0)], [2, 2, 0]);
}
