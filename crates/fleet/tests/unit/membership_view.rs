//! Tests of the module `membership_view`, with access to its private items.

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn all_but(but: u16) -> MemberSet {
    let mut all = MemberSet::default();
    (0..5).filter(|member| *member != but).for_each(|member| all.set(member));
    all
}

#[test]
fn a_member_is_gone_when_a_majority_says_so_and_not_before() {
    let mut view = MembershipView::new(ms(0), 0, 5, ms(1000));
    assert!(!view.gone(ms(999), 4), "it was never heard, and has had no time to be");
    for member in 1..4 {
        view.heard(ms(1100), member);
        view.heartbeat(member, all_but(9), true);
    }
    assert!(!view.gone(ms(1100), 4), "this one alone does not hear it");
    view.heartbeat(1, all_but(4), true);
    assert!(!view.gone(ms(1100), 4));
    view.heartbeat(2, all_but(4), true);
    assert!(view.gone(ms(1100), 4), "three of five");
    // What those say that are silent themselves does not count.
    assert!(!view.gone(ms(2200), 4));
    // One that is heard here is gone all the same, if a majority of others does not hear it.
    for member in 1..5 {
        view.heard(ms(3000), member);
    }
    view.heartbeat(3, all_but(4), true);
    assert!(view.gone(ms(3000), 4) && view.hears(ms(3000), 4));
    assert!(!view.gone(ms(9000), 0), "nobody is gone for itself");
}

#[test]
fn of_two_nobody_is_ever_gone_and_a_cut_off_member_has_no_majority() {
    let view = MembershipView::new(ms(0), 0, 2, ms(1000));
    assert!(!view.gone(ms(5000), 1) && !view.with_majority(ms(5000)));
    assert!(MembershipView::new(ms(0), 0, 1, ms(1000)).with_majority(ms(5000)));
    let mut many = MembershipView::new(ms(0), 0, 300, ms(1000));
    (1..150).for_each(|member| many.heard(ms(5000), member));
    assert!(!many.with_majority(ms(5000)));
    many.heard(ms(5000), 299);
    assert!(many.with_majority(ms(5000)) && many.all_heard(ms(5000)).has(299));
}

#[test]
fn lives_only_go_up() {
    let mut view = MembershipView::new(ms(0), 0, 3, ms(1000));
    assert!(view.lives(1, 4) && !view.lives(1, 4) && !view.lives(1, 3) && view.lives(1, 5));
    assert_eq!((view.life(1), view.life(2), view.life(9)), (5, 0, 0));
}
