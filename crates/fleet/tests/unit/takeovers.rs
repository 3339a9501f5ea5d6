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

/// Without the queries for this member's own lines.
fn other(actions: Vec<TakeoverAction>) -> Vec<TakeoverAction> {
    actions
        .into_iter()
        .filter(|action| !matches!(action, TakeoverAction::ListLines { member: 2, .. }))
        .collect()
}

fn takeovers() -> Takeovers {
    Takeovers::new(2, ms(5000))
}

#[test]
fn the_first_successor_takes_a_dialogue_over_holds_it_for_its_caller_and_releases_it() {
    let mut takeovers = takeovers();
    let copy = standing(owner(0, 0, 7));
    assert_eq!(takeovers.consider_replica(ms(0), &id("d"), &copy, Some(2), 9), None, "its owner is there");
    takeovers.incarnation_ended(ms(0), 0, 7);
    assert_eq!(takeovers.consider_replica(ms(0), &id("d"), &copy, Some(1), 9), None, "another's turn");
    assert!(std::mem::take(&mut takeovers.rescan_needed));
    let mine = owner(1, 2, 9);
    let adopt = TakeoverAction::Adopt { server: server("s"), dialogue: id("d"), owner: mine, swept: false };
    assert_eq!(takeovers.consider_replica(ms(0), &id("d"), &copy, Some(2), 9), Some(adopt.clone()));
    assert_eq!(takeovers.consider_replica(ms(0), &id("d"), &copy, Some(2), 9), None, "once");
    assert_eq!(takeovers.timer_fired(ms(500)), [adopt], "asked again");
    let actions = takeovers.adopted(ms(600), &id("d"), &server("s"), mine, Some(LaunchNumber(1)), mine);
    assert_eq!(
        actions,
        [TakeoverAction::Own {
            dialogue: id("d"),
            owner: mine,
            server: server("s"),
            launch: LaunchNumber(1)
        }]
    );
    assert_eq!(takeovers.adopted(ms(601), &id("d"), &server("s"), mine, Some(LaunchNumber(1)), mine), []);
    assert_eq!(takeovers.timer_fired(ms(5599)), []);
    let release = TakeoverAction::Release { server: server("s"), dialogue: id("d"), launch: LaunchNumber(1) };
    assert_eq!(
        takeovers.timer_fired(ms(5600)),
        [release, TakeoverAction::Conclude { dialogue: id("d"), owner: mine }]
    );
    assert!(takeovers.is_empty() && takeovers.next_due().is_none());
}

#[test]
fn dialogues_that_were_claimed_or_ended_meanwhile_are_not_released() {
    let begun = || {
        let mut takeovers = takeovers();
        takeovers.incarnation_ended(ms(0), 0, 7);
        takeovers.consider_replica(ms(0), &id("d"), &standing(owner(0, 0, 7)), Some(2), 9).unwrap();
        takeovers
    };
    let mine = owner(1, 2, 9);
    let mut takeovers = begun();
    assert_eq!(takeovers.adopted(ms(1), &id("d"), &server("s"), mine, None, owner(3, 1, 1)), []);
    assert!(takeovers.is_empty());
    assert_eq!(
        begun().adopted(ms(1), &id("d"), &server("s"), mine, None, mine),
        [TakeoverAction::Conclude { dialogue: id("d"), owner: mine }]
    );
    let mut takeovers = begun();
    takeovers.adopted(ms(1), &id("d"), &server("s"), mine, Some(LaunchNumber(1)), mine);
    assert_eq!(takeovers.concluded(&id("d")), [TakeoverAction::Conclude { dialogue: id("d"), owner: mine }]);
    assert!(takeovers.is_empty() && begun().concluded(&id("d")).is_empty());
    // Its caller redialled: nothing is released.
    let mut takeovers = begun();
    takeovers.adopted(ms(1), &id("d"), &server("s"), mine, Some(LaunchNumber(1)), mine);
    assert!(takeovers.remove(&id("d")) && takeovers.timer_fired(ms(99_000)).is_empty());
    // A core server that never answers is asked a limited number of times.
    let mut takeovers = begun();
    let asked = (1..100).map(|n| takeovers.timer_fired(ms(n * 500)).len()).sum::<usize>();
    assert!(asked == 19 && takeovers.is_empty() && takeovers.rescan_needed, "{asked}");
}

#[test]
fn unclaimed_lines_are_released_by_one_member_and_others_are_left() {
    let mut takeovers = takeovers();
    let cores: BTreeSet<ServerId> = [server("s"), server("t")].into();
    takeovers.incarnation_ended(ms(0), 0, 7);
    assert_eq!(other(takeovers.sweep(ms(4999), |_| true, &cores)), []);
    assert_eq!(other(takeovers.sweep(ms(5000), |_| false, &cores)), []);
    let asked = other(takeovers.sweep(ms(5000), |_| true, &cores));
    assert_eq!((asked.len(), takeovers.sweep(ms(5001), |_| true, &cores).len()), (2, 0));
    let TakeoverAction::ListLines { serial, member: 0, incarnation: 7, after: None, .. } = &asked[0] else {
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
    let actions =
        takeovers.lines_listed(ms(5010), &server("s"), *serial, &lines, true, 9, |line| {
            match &*line.dialogue.0 {
                "kept" => LineOwnership::Held,
                _ => LineOwnership::Unowned,
            }
        });
    let adopt = |name: &str, round| TakeoverAction::Adopt {
        server: server("s"),
        dialogue: id(name),
        owner: owner(round, 2, 9),
        swept: true,
    };
    assert!(
        matches!(&actions[0], TakeoverAction::ListLines { after: Some(after), .. } if *after == id("kept"))
    );
    assert_eq!(actions[1..], [adopt("a", 1), adopt("b", 3)]);
    let released = takeovers.adopted(
        ms(5020),
        &id("a"),
        &server("s"),
        owner(1, 2, 9),
        Some(LaunchNumber(0)),
        owner(1, 2, 9),
    );
    assert!(matches!(released[..], [TakeoverAction::Release { .. }, TakeoverAction::Conclude { .. }]));
    assert_eq!(
        takeovers.lines_listed(ms(5030), &server("s"), *serial, &[], false, 9, |_| LineOwnership::Unowned),
        []
    );
    assert_eq!(
        takeovers.lines_listed(ms(5030), &server("s"), *serial, &lines, false, 9, |_| LineOwnership::Unowned),
        [],
        "nobody asked"
    );
    // Unanswered queries for other and own lines expire and are repeated.
    assert_eq!(
        takeovers
            .timer_fired(ms(7000))
            .iter()
            .filter(|d| matches!(d, TakeoverAction::ListLines { .. }))
            .count(),
        0
    );
    assert_eq!(other(takeovers.sweep(ms(7001), |_| true, &cores)).len(), 1);
    // A slow member is no longer swept; after a restart its previous incarnations are.
    takeovers.member_returned(0, 7);
    assert!(!takeovers.has_ended_incarnations());
    takeovers.incarnation_ended(ms(8000), 0, 7);
    takeovers.member_returned(0, 8);
    assert!(takeovers.is_ended(owner(5, 0, 7)) && !takeovers.is_ended(owner(0, 0, 8)));
}

#[test]
fn a_claimed_line_is_released_only_after_its_claim_expired() {
    let cores: BTreeSet<ServerId> = [server("s")].into();
    let lines = [HeldLine { dialogue: id("d"), launch: LaunchNumber(0), owner: owner(0, 0, 7) }];
    let serial = |actions: Vec<TakeoverAction>| match other(actions)[..] {
        [TakeoverAction::ListLines { serial, .. }] => serial,
        _ => panic!("not asked"),
    };
    let mut takeovers = takeovers();
    takeovers.incarnation_ended(ms(0), 0, 7);
    let asked = serial(takeovers.sweep(ms(5000), |_| true, &cores));
    assert_eq!(
        takeovers.lines_listed(ms(5010), &server("s"), asked, &lines, false, 9, |_| LineOwnership::Claimed),
        []
    );
    assert_eq!(other(takeovers.sweep(ms(9999), |_| true, &cores)), [], "not before its time");
    let again = serial(takeovers.sweep(ms(10_000), |_| true, &cores));
    assert_eq!(
        takeovers.lines_listed(ms(10_009), &server("s"), again, &lines, false, 9, |_| LineOwnership::Claimed),
        []
    );
    let third = serial(takeovers.sweep(ms(15_000), |_| true, &cores));
    let released =
        takeovers.lines_listed(ms(15_010), &server("s"), third, &lines, false, 9, |_| LineOwnership::Claimed);
    assert!(
        matches!(&released[..], [TakeoverAction::Adopt { owner, .. }] if *owner == super::Owner { round: 1, member: 2, incarnation: 9 })
    );
    assert_eq!(other(takeovers.sweep(ms(99_000), |_| true, &cores)), [], "nothing was left");
    // A dialogue that this member yielded is queried among its own lines.
    let mine = takeovers.sweep(ms(99_000), |_| true, &cores);
    assert!(mine.is_empty(), "{mine:?}");
    takeovers.claim_yielded(ms(99_000), &server("s"));
    assert_eq!(takeovers.sweep(ms(103_999), |_| true, &cores), []);
    let mine = takeovers.sweep(ms(104_000), |_| true, &cores);
    assert!(
        matches!(mine[..], [TakeoverAction::ListLines { member: 2, incarnation: ANY_INCARNATION, .. }]),
        "{mine:?}"
    );
    // With a steady flow of yielded dialogues, the time of the first one counts.
    (200..210).for_each(|second| takeovers.claim_yielded(ms(second * 1000), &server("s")));
    assert_eq!(takeovers.sweep(ms(204_999), |_| true, &cores), []);
    assert_eq!(takeovers.sweep(ms(205_000), |_| true, &cores).len(), 1);
}
