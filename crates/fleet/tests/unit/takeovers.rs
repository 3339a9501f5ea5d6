//! Tests of the module `takeovers`, with access to its private items.

use std::sync::Arc;

use lotussaddle_trunk::Progress;

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn id(name: &str) -> DialogueId {
    DialogueId(Arc::from(name))
}

fn server(name: &str) -> ServerId {
    ServerId(Arc::from(name))
}

fn owner(round: u32, member: u16, life: u64) -> Owner {
    Owner { round, member, incarnation: life }
}

fn standing(owner: Owner) -> Replica {
    let mut copy = Replica::default();
    let reached = Progress::Stands { server: server("s"), launch: LaunchNumber(1) };
    copy.write(owner, reached, ms(0), lotussaddle_replica::no_expiry());
    copy
}

/// What is asked of others' lines.
fn other(actions: Vec<TakeoverAction>) -> Vec<TakeoverAction> {
    actions.into_iter().filter(|action| !matches!(action, TakeoverAction::What { member: 2, .. })).collect()
}

fn takeovers() -> Takeovers {
    Takeovers::new(2, ms(5000))
}

#[test]
fn the_first_heir_takes_over_what_stood_keeps_it_for_its_caller_and_releases_it() {
    let mut h = takeovers();
    let copy = standing(owner(0, 0, 7));
    assert_eq!(h.look(ms(0), &id("d"), &copy, Some(2), 9), None, "its owner is there");
    h.ended(ms(0), 0, 7);
    assert_eq!(h.look(ms(0), &id("d"), &copy, Some(1), 9), None, "another's turn");
    assert!(std::mem::take(&mut h.look_again));
    let mine = owner(1, 2, 9);
    let adopt = TakeoverAction::Adopt { server: server("s"), dialogue: id("d"), owner: mine, swept: false };
    assert_eq!(h.look(ms(0), &id("d"), &copy, Some(2), 9), Some(adopt.clone()));
    assert_eq!(h.look(ms(0), &id("d"), &copy, Some(2), 9), None, "once");
    assert_eq!(h.alarm(ms(500)), [adopt], "asked again");
    let actions = h.adopted(ms(600), &id("d"), &server("s"), mine, Some(LaunchNumber(1)), mine);
    assert_eq!(
        actions,
        [TakeoverAction::Own {
            dialogue: id("d"),
            owner: mine,
            server: server("s"),
            launch: LaunchNumber(1)
        }]
    );
    assert_eq!(h.adopted(ms(601), &id("d"), &server("s"), mine, Some(LaunchNumber(1)), mine), []);
    assert_eq!(h.alarm(ms(5599)), []);
    let release = TakeoverAction::Release { server: server("s"), dialogue: id("d"), launch: LaunchNumber(1) };
    assert_eq!(h.alarm(ms(5600)), [release, TakeoverAction::Over { dialogue: id("d"), owner: mine }]);
    assert!(h.is_empty() && h.next_due().is_none());
}

#[test]
fn what_is_another_s_by_then_or_over_is_left_alone() {
    let begun = || {
        let mut h = takeovers();
        h.ended(ms(0), 0, 7);
        h.look(ms(0), &id("d"), &standing(owner(0, 0, 7)), Some(2), 9).unwrap();
        h
    };
    let mine = owner(1, 2, 9);
    let mut h = begun();
    assert_eq!(h.adopted(ms(1), &id("d"), &server("s"), mine, None, owner(3, 1, 1)), []);
    assert!(h.is_empty());
    assert_eq!(
        begun().adopted(ms(1), &id("d"), &server("s"), mine, None, mine),
        [TakeoverAction::Over { dialogue: id("d"), owner: mine }]
    );
    let mut h = begun();
    h.adopted(ms(1), &id("d"), &server("s"), mine, Some(LaunchNumber(1)), mine);
    assert_eq!(h.over(&id("d")), [TakeoverAction::Over { dialogue: id("d"), owner: mine }]);
    assert!(h.is_empty() && begun().over(&id("d")).is_empty());
    // Its caller came for it: nothing of it is released.
    let mut h = begun();
    h.adopted(ms(1), &id("d"), &server("s"), mine, Some(LaunchNumber(1)), mine);
    assert!(h.drop_of(&id("d")) && h.alarm(ms(99_000)).is_empty());
    // A core server that never answers is not asked for ever.
    let mut h = begun();
    let asked = (1..100).map(|n| h.alarm(ms(n * 500)).len()).sum::<usize>();
    assert!(asked == 19 && h.is_empty() && h.look_again, "{asked}");
}

#[test]
fn lines_that_nobody_claimed_are_freed_by_one_and_the_rest_left() {
    let mut h = takeovers();
    let cores: BTreeSet<ServerId> = [server("s"), server("t")].into();
    h.ended(ms(0), 0, 7);
    assert_eq!(other(h.sweep(ms(4999), |_| true, &cores)), []);
    assert_eq!(other(h.sweep(ms(5000), |_| false, &cores)), []);
    let asked = other(h.sweep(ms(5000), |_| true, &cores));
    assert_eq!((asked.len(), h.sweep(ms(5001), |_| true, &cores).len()), (2, 0));
    let TakeoverAction::What { serial, member: 0, life: 7, after: None, .. } = &asked[0] else {
        panic!("{asked:?}")
    };
    let line = |name: &str, owner| HeldLine { dialogue: id(name), launch: LaunchNumber(0), owner };
    let lines = [
        line("a", owner(0, 0, 7)),
        line("b", owner(2, 0, 6)),
        line("c", owner(0, 1, 1)),
        line("d", owner(0, 0, 8)),
        line("kept", owner(0, 0, 7)),
    ];
    let actions = h.holds(ms(5010), &server("s"), *serial, &lines, true, 9, |line| match &*line.dialogue.0 {
        "kept" => LineOf::Held,
        _ => LineOf::Nobody,
    });
    let adopt = |name: &str, round| TakeoverAction::Adopt {
        server: server("s"),
        dialogue: id(name),
        owner: owner(round, 2, 9),
        swept: true,
    };
    assert!(matches!(&actions[0], TakeoverAction::What { after: Some(after), .. } if *after == id("kept")));
    assert_eq!(actions[1..], [adopt("a", 1), adopt("b", 3)]);
    let freed =
        h.adopted(ms(5020), &id("a"), &server("s"), owner(1, 2, 9), Some(LaunchNumber(0)), owner(1, 2, 9));
    assert!(matches!(freed[..], [TakeoverAction::Release { .. }, TakeoverAction::Over { .. }]));
    assert_eq!(h.holds(ms(5030), &server("s"), *serial, &[], false, 9, |_| LineOf::Nobody), []);
    assert_eq!(
        h.holds(ms(5030), &server("s"), *serial, &lines, false, 9, |_| LineOf::Nobody),
        [],
        "nobody asked"
    );
    // Neither the other one nor those asked for its own lines answer: they are asked again.
    assert_eq!(h.alarm(ms(7000)).iter().filter(|d| matches!(d, TakeoverAction::What { .. })).count(), 0);
    assert_eq!(other(h.sweep(ms(7001), |_| true, &cores)).len(), 1);
    // One that was only slow is swept no more; in a new life it is, up to the life before.
    h.returned(0, 7);
    assert!(!h.any_ended());
    h.ended(ms(8000), 0, 7);
    h.returned(0, 8);
    assert!(h.is_ended(owner(5, 0, 7)) && !h.is_ended(owner(0, 0, 8)));
}

#[test]
fn a_line_that_was_claimed_is_left_at_first_and_freed_when_nothing_came_of_it() {
    let cores: BTreeSet<ServerId> = [server("s")].into();
    let lines = [HeldLine { dialogue: id("d"), launch: LaunchNumber(0), owner: owner(0, 0, 7) }];
    let serial = |actions: Vec<TakeoverAction>| match other(actions)[..] {
        [TakeoverAction::What { serial, .. }] => serial,
        _ => panic!("not asked"),
    };
    let mut h = takeovers();
    h.ended(ms(0), 0, 7);
    let asked = serial(h.sweep(ms(5000), |_| true, &cores));
    assert_eq!(h.holds(ms(5010), &server("s"), asked, &lines, false, 9, |_| LineOf::Claimed), []);
    assert_eq!(other(h.sweep(ms(9999), |_| true, &cores)), [], "not before its time");
    let again = serial(h.sweep(ms(10_000), |_| true, &cores));
    assert_eq!(h.holds(ms(10_009), &server("s"), again, &lines, false, 9, |_| LineOf::Claimed), []);
    let third = serial(h.sweep(ms(15_000), |_| true, &cores));
    let freed = h.holds(ms(15_010), &server("s"), third, &lines, false, 9, |_| LineOf::Claimed);
    assert!(
        matches!(&freed[..], [TakeoverAction::Adopt { owner, .. }] if *owner == super::Owner { round: 1, member: 2, incarnation: 9 })
    );
    assert_eq!(other(h.sweep(ms(99_000), |_| true, &cores)), [], "nothing was left");
    // What this member let go is looked for among its own lines.
    let mine = h.sweep(ms(99_000), |_| true, &cores);
    assert!(mine.is_empty(), "{mine:?}");
    h.let_go(ms(99_000), &server("s"));
    assert_eq!(h.sweep(ms(103_999), |_| true, &cores), []);
    let mine = h.sweep(ms(104_000), |_| true, &cores);
    assert!(matches!(mine[..], [TakeoverAction::What { member: 2, life: ANY_LIFE, .. }]), "{mine:?}");
    // Where much is let go, one after the other, the time of the first one counts.
    (200..210).for_each(|second| h.let_go(ms(second * 1000), &server("s")));
    assert_eq!(h.sweep(ms(204_999), |_| true, &cores), []);
    assert_eq!(h.sweep(ms(205_000), |_| true, &cores).len(), 1);
}
