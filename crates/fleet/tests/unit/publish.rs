//! Tests of the module `publish`, with access to its private items.

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn mark(next: &[PublishStep]) -> Publication {
    match next {
        [PublishStep::Checkpoint(mark)] => postcard::from_bytes(mark).unwrap(),
        other => panic!("{other:?}"),
    }
}

/// Members and serials of the orders sent.
fn sent(next: &[PublishStep]) -> Vec<(u16, u64)> {
    let sent = next.iter().map(|next| match next {
        PublishStep::Send(member, serial, _) => (*member, *serial),
        PublishStep::Checkpoint(_) => panic!("{next:?}"),
    });
    sent.collect()
}

const ALL: [(u16, u64); 3] = [(0, 1), (1, 1), (2, 1)];

/// A held duty with a requested generation whose load stage is committed.
fn reads() -> (Publish, u64) {
    let mut publish = Publish::new(9);
    assert!(!publish.request(ms(0), "new") && publish.due_steps(ms(0), &ALL).is_empty(), "not held");
    publish.acquired(ms(0), 3, &[]);
    assert!(publish.due_steps(ms(0), &ALL).is_empty() && publish.request(ms(0), "new"));
    let publication = mark(&publish.due_steps(ms(1), &ALL));
    assert_eq!((&*publication.name, &publication.stage), ("new", &Stage::Reads));
    publish.checkpoint_committed(ms(2));
    assert_eq!(sent(&publish.due_steps(ms(2), &ALL)), [0, 1, 2].map(|member| (member, publication.serial)));
    assert!(publish.due_steps(ms(3), &ALL).is_empty(), "once");
    (publish, publication.serial)
}

#[test]
fn all_members_load_before_any_swaps_and_each_stage_is_committed_before_it_is_sent() {
    let (mut publish, serial) = reads();
    (0..2).for_each(|member| publish.member_answered(ms(3), member, 1, serial, None));
    assert!(publish.due_steps(ms(4), &ALL).is_empty(), "one has not loaded it");
    assert_eq!(sent(&publish.due_steps(ms(600), &ALL)), [(2, serial)], "asked again");
    publish.member_answered(ms(601), 2, 1, serial, None);
    assert_eq!(mark(&publish.due_steps(ms(601), &ALL)).stage, Stage::Swaps);
    assert_eq!(
        mark(&publish.due_steps(ms(602), &ALL)).stage,
        Stage::Swaps,
        "not sent before it is committed"
    );
    publish.checkpoint_committed(ms(603));
    assert_eq!(sent(&publish.due_steps(ms(603), &ALL)), [0, 1, 2].map(|member| (member, serial + 1)));
    (0..3).for_each(|member| publish.member_answered(ms(604), member, 1, serial + 1, None));
    assert_eq!(mark(&publish.due_steps(ms(604), &ALL)).stage, Stage::Done);
    publish.checkpoint_committed(ms(605));
    assert!(publish.due_steps(ms(605), &ALL).is_empty());
    // A member that returns in a new incarnation is brought up to date; the next publication has higher serials.
    let again = [(0, 1), (1, 2), (2, 1)];
    assert_eq!(sent(&publish.due_steps(ms(900), &again)), [(1, serial)]);
    publish.member_answered(ms(901), 1, 1, serial, None);
    let next = publish.due_steps(ms(1500), &again);
    assert_eq!(sent(&next), [(1, serial)], "an answer of its previous incarnation is ignored");
    publish.member_answered(ms(1501), 1, 2, serial, None);
    assert_eq!(sent(&publish.due_steps(ms(1501), &again)), [(1, serial + 1)], "once it has loaded it");
    publish.member_answered(ms(1501), 1, 2, serial + 1, None);
    assert!(publish.request(ms(1502), "newer") && publish.due_steps(ms(2500), &again).len() == 1);
    assert!(publish.publication.as_ref().unwrap().serial > serial + 1);
}

#[test]
fn a_generation_that_one_member_cannot_load_is_used_by_none() {
    let (mut publish, serial) = reads();
    publish.member_answered(ms(3), 0, 1, serial, None);
    publish.member_answered(ms(3), 1, 1, serial, Some("line 3: no such trunk group"));
    publish.member_answered(ms(3), 2, 1, serial, None);
    assert!(
        matches!(mark(&publish.due_steps(ms(4), &ALL)).stage, Stage::Refused(why) if why.contains("line 3"))
    );
    publish.checkpoint_committed(ms(5));
    assert!(publish.due_steps(ms(9000), &ALL).is_empty());
    assert!(publish.request(ms(9001), "better") && mark(&publish.due_steps(ms(9001), &ALL)).name == "better");
}

#[test]
fn a_new_holder_continues_from_the_committed_stage() {
    for stage in [Stage::Reads, Stage::Swaps, Stage::Done] {
        let publication = Publication { name: "new".into(), serial: 70_000, stage: stage.clone() };
        let mut publish = Publish::new(9);
        publish.acquired(ms(0), 9, &postcard::to_allocvec(&publication).unwrap());
        let serials: Vec<u64> =
            sent(&publish.due_steps(ms(0), &[(4, 1)])).into_iter().map(|(_, serial)| serial).collect();
        // The new holder does not know whether the member loaded it.
        assert_eq!(serials, [70_000], "{stage:?}");
        publish.lost();
        assert!(publish.due_steps(ms(9000), &[(4, 1)]).is_empty() && publish.next_due().is_none());
    }
}

#[test]
fn a_failed_swap_is_republished_a_limited_number_of_times() {
    let (mut publish, mut serial) = reads();
    let mut publications = 1;
    for n in 1..40u64 {
        let at = ms(n * 1000);
        (0..3).for_each(|member| publish.member_answered(at, member, 1, serial, None));
        assert_eq!(mark(&publish.due_steps(at, &ALL)).stage, Stage::Swaps);
        publish.checkpoint_committed(at);
        publish.due_steps(at, &ALL);
        publish.member_answered(at, 2, 1, serial + 1, Some("serial is used up"));
        assert!(matches!(mark(&publish.due_steps(at, &ALL)).stage, Stage::Refused(_)));
        publish.checkpoint_committed(at);
        match &publish.due_steps(at, &ALL)[..] {
            [] => break,
            next => serial = mark(next).serial,
        }
        publish.checkpoint_committed(at);
        publish.due_steps(at, &ALL);
        publications += 1;
    }
    assert_eq!(publications, 1 + MAX_REPUBLISH_ATTEMPTS);
}

#[test]
fn the_holder_loads_last() {
    let mut publish = Publish::new(1);
    publish.acquired(ms(0), 3, &[]);
    publish.request(ms(0), "new");
    let serial = mark(&publish.due_steps(ms(0), &ALL)).serial;
    publish.checkpoint_committed(ms(1));
    assert_eq!(sent(&publish.due_steps(ms(1), &ALL)), [(0, serial), (2, serial)]);
    publish.member_answered(ms(2), 0, 1, serial, None);
    assert!(publish.due_steps(ms(2), &ALL).is_empty());
    publish.member_answered(ms(3), 2, 1, serial, None);
    assert_eq!(sent(&publish.due_steps(ms(3), &ALL)), [(1, serial)]);
}

#[test]
fn requests_beyond_the_queue_limit_and_too_long_names_are_refused() {
    let mut publish = Publish::new(9);
    publish.acquired(ms(0), 1, &[]);
    assert!(!publish.request(ms(0), &"n".repeat(MAX_NAME_BYTES + 1)));
    let taken = (0..100).filter(|n| publish.request(ms(0), &format!("{n}"))).count();
    assert_eq!(taken, MAX_QUEUED);
    let (name, why) = ("n".repeat(MAX_NAME_BYTES), "ä".repeat(MAX_REASON_BYTES));
    let most =
        Publication { name, serial: u64::MAX, stage: Stage::Refused(truncate_text(&why, MAX_REASON_BYTES)) };
    assert!(postcard::to_allocvec(&most).unwrap().len() <= 256, "the max length of a checkpoint");
}
