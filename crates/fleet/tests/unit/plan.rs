//! Tests of the module `plan`, with access to its private items.

use super::*;

#[test]
fn whoever_asks_has_to_meet_what_fewest_have_acknowledged() {
    let awaited =
        |before_launch, before_answer| Plan { before_launch, before_answer, ..Plan::default() }.awaited();
    assert_eq!([awaited(3, 1), awaited(1, 3), awaited(2, 2)], [1, 1, 2]);
    // What nothing waits for promises nothing, and costs those who ask nothing.
    assert_eq!([awaited(0, 2), awaited(2, 0), awaited(0, 0)], [2, 2, 0]);
}
