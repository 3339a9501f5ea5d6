//! Tests of the module `publish`, with access to its private items.

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn mark(next: &[Next]) -> Edition {
    match next {
        [Next::Mark(mark)] => postcard::from_bytes(mark).unwrap(),
        other => panic!("{other:?}"),
    }
}

/// To whom which serials are sent.
fn sent(next: &[Next]) -> Vec<(u16, u64)> {
    let sent = next.iter().map(|next| match next {
        Next::Send(member, serial, _) => (*member, *serial),
        Next::Mark(_) => panic!("{next:?}"),
    });
    sent.collect()
}

const ALL: [(u16, u64); 3] = [(0, 1), (1, 1), (2, 1)];

/// Held, a generation wanted, and its reading agreed on.
fn reads() -> (Publish, u64) {
    let mut publish = Publish::new(9);
    assert!(!publish.want(ms(0), "new") && publish.next(ms(0), &ALL).is_empty(), "not held");
    publish.begins(ms(0), 3, &[]);
    assert!(publish.next(ms(0), &ALL).is_empty() && publish.want(ms(0), "new"));
    let edition = mark(&publish.next(ms(1), &ALL));
    assert_eq!((&*edition.name, &edition.stage), ("new", &Stage::Reads));
    publish.marked(ms(2));
    assert_eq!(sent(&publish.next(ms(2), &ALL)), [0, 1, 2].map(|member| (member, edition.serial)));
    assert!(publish.next(ms(3), &ALL).is_empty(), "once");
    (publish, edition.serial)
}

#[test]
fn all_read_it_before_any_goes_by_it_and_each_stage_is_agreed_on_before_it_is_sent() {
    let (mut publish, serial) = reads();
    (0..2).for_each(|member| publish.answered(ms(3), member, 1, serial, None));
    assert!(publish.next(ms(4), &ALL).is_empty(), "one has not read it");
    assert_eq!(sent(&publish.next(ms(600), &ALL)), [(2, serial)], "asked again");
    publish.answered(ms(601), 2, 1, serial, None);
    assert_eq!(mark(&publish.next(ms(601), &ALL)).stage, Stage::Swaps);
    assert_eq!(mark(&publish.next(ms(602), &ALL)).stage, Stage::Swaps, "not sent before it is agreed on");
    publish.marked(ms(603));
    assert_eq!(sent(&publish.next(ms(603), &ALL)), [0, 1, 2].map(|member| (member, serial + 1)));
    (0..3).for_each(|member| publish.answered(ms(604), member, 1, serial + 1, None));
    assert_eq!(mark(&publish.next(ms(604), &ALL)).stage, Stage::Done);
    publish.marked(ms(605));
    assert!(publish.next(ms(605), &ALL).is_empty());
    // One that comes back in a new life is brought up; the next edition has higher serials.
    let again = [(0, 1), (1, 2), (2, 1)];
    assert_eq!(sent(&publish.next(ms(900), &again)), [(1, serial)]);
    publish.answered(ms(901), 1, 1, serial, None);
    let next = publish.next(ms(1500), &again);
    assert_eq!(sent(&next), [(1, serial)], "what its former life said counts for nothing");
    publish.answered(ms(1501), 1, 2, serial, None);
    assert_eq!(sent(&publish.next(ms(1501), &again)), [(1, serial + 1)], "once it has read it");
    publish.answered(ms(1501), 1, 2, serial + 1, None);
    assert!(publish.want(ms(1502), "newer") && publish.next(ms(2500), &again).len() == 1);
    assert!(publish.edition.as_ref().unwrap().serial > serial + 1);
}

#[test]
fn what_one_cannot_take_nobody_goes_by() {
    let (mut publish, serial) = reads();
    publish.answered(ms(3), 0, 1, serial, None);
    publish.answered(ms(3), 1, 1, serial, Some("line 3: no such trunk group"));
    publish.answered(ms(3), 2, 1, serial, None);
    assert!(matches!(mark(&publish.next(ms(4), &ALL)).stage, Stage::Refused(why) if why.contains("line 3")));
    publish.marked(ms(5));
    assert!(publish.next(ms(9000), &ALL).is_empty());
    assert!(publish.want(ms(9001), "better") && mark(&publish.next(ms(9001), &ALL)).name == "better");
}

#[test]
fn whoever_follows_goes_on_from_the_stage_that_was_agreed_on() {
    for stage in [Stage::Reads, Stage::Swaps, Stage::Done] {
        let edition = Edition { name: "new".into(), serial: 70_000, stage: stage.clone() };
        let mut publish = Publish::new(9);
        publish.begins(ms(0), 9, &postcard::to_allocvec(&edition).unwrap());
        let serials: Vec<u64> =
            sent(&publish.next(ms(0), &[(4, 1)])).into_iter().map(|(_, serial)| serial).collect();
        // Whether it was read there is not known to who follows.
        assert_eq!(serials, [70_000], "{stage:?}");
        publish.ends();
        assert!(publish.next(ms(9000), &[(4, 1)]).is_empty() && publish.next_due().is_none());
    }
}

#[test]
fn one_that_cannot_go_by_it_has_it_published_once_more_and_not_for_ever() {
    let (mut publish, mut serial) = reads();
    let mut editions = 1;
    for n in 1..40u64 {
        let at = ms(n * 1000);
        (0..3).for_each(|member| publish.answered(at, member, 1, serial, None));
        assert_eq!(mark(&publish.next(at, &ALL)).stage, Stage::Swaps);
        publish.marked(at);
        publish.next(at, &ALL);
        publish.answered(at, 2, 1, serial + 1, Some("serial is used up"));
        assert!(matches!(mark(&publish.next(at, &ALL)).stage, Stage::Refused(_)));
        publish.marked(at);
        match &publish.next(at, &ALL)[..] {
            [] => break,
            next => serial = mark(next).serial,
        }
        publish.marked(at);
        publish.next(at, &ALL);
        editions += 1;
    }
    assert_eq!(editions, 1 + MOST_AGAIN);
}

#[test]
fn whoever_holds_it_goes_last() {
    let mut publish = Publish::new(1);
    publish.begins(ms(0), 3, &[]);
    publish.want(ms(0), "new");
    let serial = mark(&publish.next(ms(0), &ALL)).serial;
    publish.marked(ms(1));
    assert_eq!(sent(&publish.next(ms(1), &ALL)), [(0, serial), (2, serial)]);
    publish.answered(ms(2), 0, 1, serial, None);
    assert!(publish.next(ms(2), &ALL).is_empty());
    publish.answered(ms(3), 2, 1, serial, None);
    assert_eq!(sent(&publish.next(ms(3), &ALL)), [(1, serial)]);
}

#[test]
fn too_many_that_wait_and_names_that_do_not_fit_are_refused() {
    let mut publish = Publish::new(9);
    publish.begins(ms(0), 1, &[]);
    assert!(!publish.want(ms(0), &"n".repeat(MOST_NAME + 1)));
    let taken = (0..100).filter(|n| publish.want(ms(0), &format!("{n}"))).count();
    assert_eq!(taken, MOST_WANTED);
    let (name, why) = ("n".repeat(MOST_NAME), "ä".repeat(MOST_WHY));
    let most = Edition { name, serial: u64::MAX, stage: Stage::Refused(cut(&why, MOST_WHY)) };
    assert!(postcard::to_allocvec(&most).unwrap().len() <= 256, "a mark's length");
}
