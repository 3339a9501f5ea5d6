//! Tests of the module `outcomes`, with access to its private items.

use super::*;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_change_counts_in_members_that_were_up_all_the_time() {
    let mut outcomes = Outcomes::new(3);
    outcomes.ordered(0, seconds(10));
    outcomes.in_force(0, 0, seconds(11));
    outcomes.left(2, seconds(12));
    assert!(!outcomes.is_settled());
    outcomes.in_force(0, 1, seconds(14));
    outcomes.held_dead(0, 2, seconds(13), false);
    outcomes.held_dead(1, 2, seconds(13), false);
    assert!(outcomes.is_settled());
    let figures = outcomes.finish(seconds(20));
    assert_eq!((figures.change_in_force.len(), figures.changes_missing), (2, 0));
    assert!(figures.change_in_force.max() >= 4_000_000);
    assert_eq!((figures.death_known.len(), figures.false_suspicions), (2, 0));
}

#[test]
fn what_did_not_come_about_counts_with_the_time_it_had_taken() {
    let mut outcomes = Outcomes::new(2);
    outcomes.ordered(0, seconds(10));
    outcomes.left(1, seconds(10));
    let figures = outcomes.finish(seconds(30));
    assert_eq!((figures.changes_missing, figures.deaths_missing), (1, 1));
    assert!(figures.change_in_force.max() >= 20_000_000 && figures.death_known.max() >= 20_000_000);
}

#[test]
fn only_a_living_member_within_reach_is_suspected_falsely() {
    let mut outcomes = Outcomes::new(2);
    outcomes.held_dead(0, 1, seconds(1), true);
    outcomes.held_dead(0, 1, seconds(2), false);
    outcomes.left(1, seconds(3));
    outcomes.held_dead(0, 1, seconds(4), true);
    assert_eq!(outcomes.finish(seconds(5)).false_suspicions, 1);
}
