//! Tests of the module `redial`, with access to its private items.

use std::sync::Arc;

use lotussaddle_trunk::Progress;

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Five members with two replicas.
fn group() -> ReplicaGroup {
    ReplicaGroup::new(["a", "b", "c", "d", "e"], 2)
}

/// Member 4 asks; candidates are 1, 2 and 3 in some order.
fn id() -> DialogueId {
    let wanted = |id: &DialogueId| {
        let mut candidates: Vec<u16> = group().candidates(fingerprint(id)).iter().collect();
        candidates.sort_unstable();
        candidates == [1, 2, 3]
    };
    (0..).map(|n| DialogueId(Arc::from(format!("d{n}")))).find(wanted).unwrap()
}

fn owner(round: u32, member: u16) -> Owner {
    Owner { round, member, incarnation: 1 }
}

fn replica_of(owner: Owner, reached: Progress, bar: u64) -> Replica {
    let mut copy = Replica::default();
    copy.write(owner, reached, ms(bar), ms(60_000));
    copy
}

fn server() -> ServerId {
    ServerId(Arc::from("s"))
}

/// Launches await both replicas: two of the candidates must answer.
fn asks(reached: &dyn Fn(u16) -> bool, known: Replica) -> (Redials, Vec<RedialAction>) {
    asks_with(2, reached, known)
}

fn asks_with(awaited: usize, reached: &dyn Fn(u16) -> bool, known: Replica) -> (Redials, Vec<RedialAction>) {
    let mut redials = Redials::new(4, group(), awaited, ms(60), ms(1000), ms(300));
    let begin =
        RedialSearch { is_reachable: reached, knows: false, known, owner: owner(1, 4), cut_off: ms(3000) };
    let actions = redials.begin(ms(0), &id(), begin);
    (redials, actions)
}

fn all(_: u16) -> bool {
    true
}

fn asked(actions: &[RedialAction]) -> Vec<u16> {
    let to = |action: &RedialAction| if let RedialAction::Ask { to, .. } = action { Some(*to) } else { None };
    let mut asked: Vec<u16> = actions.iter().filter_map(to).collect();
    asked.sort_unstable();
    asked
}

fn serial(actions: &[RedialAction]) -> u64 {
    actions
        .iter()
        .find_map(|action| if let RedialAction::Ask { serial, .. } = action { Some(*serial) } else { None })
        .unwrap()
}

fn reported(actions: &[RedialAction]) -> Option<Verdict> {
    actions.iter().find_map(|action| {
        if let RedialAction::Report(_, verdict) = action { Some(verdict.clone()) } else { None }
    })
}

const UNSURE: Verdict = Verdict::Unsure { retry_after: Duration::from_secs(1) };

#[test]
fn a_dialogue_unknown_to_all_is_free_at_once() {
    let (mut redials, actions) = asks(&all, Replica::default());
    assert_eq!(asked(&actions), [1, 2, 3]);
    let n = serial(&actions);
    for from in [1, 2] {
        assert_eq!(redials.answered(ms(1), n, from, true, None, None, &all, false), []);
    }
    let actions = redials.answered(ms(1), n, 3, true, None, None, &all, false);
    assert_eq!(reported(&actions), Some(Verdict::Free { not_before: ms(1) }));
    assert!(matches!(actions[0], RedialAction::Claim { .. }));
    assert!(redials.is_empty() && redials.next_due().is_none());
}

#[test]
fn a_missing_quorum_is_detected_at_once_or_at_the_deadline() {
    let (redials, actions) = asks(&|member| member == 2, Replica::default());
    assert_eq!((reported(&actions), redials.len()), (Some(UNSURE), 0));
    // One answers, the second has not caught up, the third is unresponsive.
    let (mut redials, actions) = asks(&all, Replica::default());
    let n = serial(&actions);
    redials.answered(ms(1), n, 1, true, None, None, &all, false);
    redials.answered(ms(1), n, 2, false, None, None, &all, false);
    assert_eq!((redials.timer_fired(ms(59)), redials.next_due()), (vec![], Some(ms(60))));
    assert_eq!(redials.timer_fired(ms(60)), [RedialAction::Report(id(), UNSURE)]);
    // A later answer has no effect.
    assert_eq!(redials.answered(ms(61), n, 3, true, None, None, &all, false), []);
}

#[test]
fn a_quorum_at_the_deadline_is_enough() {
    let (mut redials, actions) = asks(&all, Replica::default());
    let n = serial(&actions);
    redials.answered(ms(1), n, 1, true, None, None, &all, false);
    redials.answered(ms(1), n, 1, true, None, None, &all, false);
    assert_eq!(reported(&redials.timer_fired(ms(60))), Some(UNSURE), "one that answers twice counts once");
    let (mut redials, actions) = asks(&all, Replica::default());
    let n = serial(&actions);
    redials.answered(ms(1), n, 1, true, None, None, &all, false);
    redials.answered(ms(1), n, 2, true, None, None, &all, false);
    assert_eq!(reported(&redials.timer_fired(ms(60))), Some(Verdict::Free { not_before: ms(60) }));
}

#[test]
fn a_later_claimant_needs_a_quorum_of_its_own_holders() {
    let ranked: Vec<u16> = group().candidates(fingerprint(&id())).iter().collect();
    let (first, others) = (ranked[0], &ranked[1..]);
    let without_first = |member: u16| member != first;
    // The holders of the first candidate, who wrote last, are the others; those of member 0, who claimed it, the first two.
    let verdict = |claimed: Option<Owner>| {
        let out = Progress::Launched { server: server(), launch: LaunchNumber(0) };
        let mut copy = replica_of(owner(0, first), out, 0);
        claimed.iter().for_each(|owner| copy.merge(&Replica::claimed(*owner, ms(60_000))));
        let (mut redials, actions) = asks_with(1, &without_first, Replica::default());
        let n = serial(&actions);
        for member in others {
            let actions = redials.answered(ms(1), n, *member, true, None, Some(&copy), &without_first, false);
            if let Some(verdict) = reported(&actions) {
                return Some(verdict);
            }
        }
        reported(&redials.timer_fired(ms(60)))
    };
    assert_eq!(verdict(None), Some(Verdict::Free { not_before: ms(1) }));
    assert_eq!(verdict(Some(owner(1, 0))), Some(UNSURE), "it may have gone on, and the first candidate know");
    // An own earlier claim that was abandoned does not block the search.
    assert_eq!(verdict(Some(owner(1, 4))), Some(Verdict::Free { not_before: ms(1) }));
}

#[test]
fn a_search_reports_the_outcome_that_it_finds() {
    let found = |copy: Replica| {
        let (mut redials, actions) = asks(&|member| member < 3, Replica::default());
        let n = serial(&actions);
        redials.answered(ms(1), n, 1, true, None, None, &|member| member < 3, false);
        redials.answered(ms(1), n, 2, true, None, Some(&copy), &|member| member < 3, false)
    };
    let mut refused = replica_of(owner(0, 9), Progress::Ended, 0);
    refused.record_answer(owner(0, 0), &Answer::Refused { come_back: None });
    assert_eq!(reported(&found(refused)), Some(Verdict::Answered(Answer::Refused { come_back: None })));
    let mut over = replica_of(owner(0, 9), Progress::Ended, 0);
    over.record_answer(owner(0, 0), &Answer::Stands { server: server() });
    assert_eq!(reported(&found(over)), Some(Verdict::Concluded));
    let out = Progress::Launched { server: server(), launch: LaunchNumber(0) };
    assert_eq!(
        reported(&found(replica_of(owner(0, 9), out.clone(), 800))),
        Some(Verdict::Free { not_before: ms(800) })
    );
    // A block that leaves no time for a launch is reported at once, not at the cut-off.
    let late = Verdict::Unsure { retry_after: ms(2799) };
    assert_eq!(reported(&found(replica_of(owner(0, 9), out, 2800))), Some(late));
}

#[test]
fn a_discovered_owner_is_asked_and_cancels_its_launch() {
    let (mut redials, actions) = asks(&all, Replica::default());
    let n = serial(&actions);
    let out = Progress::Launched { server: server(), launch: LaunchNumber(0) };
    let copy = replica_of(owner(0, 7), out, 2500);
    let actions = redials.answered(ms(1), n, 1, true, None, Some(&copy), &all, false);
    assert_eq!(asked(&actions), [7]);
    redials.answered(ms(1), n, 2, true, None, None, &all, false);
    assert_eq!(redials.answered(ms(1), n, 3, true, None, None, &all, false), [], "its owner may yet say");
    let mut back = copy.clone();
    back.write(owner(0, 7), Progress::Accepted, ms(302), ms(60_000));
    let actions = redials.answered(ms(2), n, 7, true, None, Some(&back), &all, false);
    assert_eq!(reported(&actions), Some(Verdict::Free { not_before: ms(302) }));
    // If the owner does not answer, its launch ends by itself.
    let (mut redials, actions) = asks(&all, copy);
    assert_eq!(asked(&actions), [1, 2, 3, 7]);
    let n = serial(&actions);
    for from in [1, 2, 3] {
        redials.answered(ms(1), n, from, true, None, None, &all, false);
    }
    assert_eq!(reported(&redials.timer_fired(ms(60))), Some(Verdict::Free { not_before: ms(2500) }));
}

#[test]
fn a_claim_is_raised_above_higher_ones_a_few_times_and_a_lost_claim_is_unresolved() {
    let (mut redials, actions) = asks(&all, Replica::default());
    let mut n = serial(&actions);
    for round in [5, 7] {
        let actions = redials.answered(ms(1), n, 1, true, Some(owner(round, 8)), None, &all, false);
        assert_eq!(asked(&actions), [1, 2, 3]);
        assert!(matches!(&actions[0], RedialAction::Ask { owner, .. } if owner.round == round + 1));
        assert_eq!(redials.answered(ms(1), n, 2, true, None, None, &all, false), [], "of the former claim");
        n = serial(&actions);
    }
    assert_eq!(
        redials.answered(ms(1), n, 1, true, Some(owner(9, 8)), None, &all, false),
        [RedialAction::Report(id(), UNSURE)]
    );
    let (mut redials, _) = asks(&all, Replica::default());
    assert_eq!(redials.competing_claim(&id(), owner(0, 9)), []);
    assert_eq!(redials.competing_claim(&id(), owner(1, 9)), [RedialAction::Report(id(), UNSURE)]);
    assert!(redials.is_empty());
}

#[test]
fn a_standing_dialogue_is_adopted_at_its_core_server_or_concluded() {
    let stands = replica_of(owner(0, 9), Progress::Stands { server: server(), launch: LaunchNumber(2) }, 0);
    let adopting = || {
        let (mut redials, actions) = asks(&|member| member < 3, Replica::default());
        let n = serial(&actions);
        redials.answered(ms(1), n, 1, true, None, Some(&stands), &|member| member < 3, false);
        let actions = redials.answered(ms(1), n, 2, true, None, None, &|member| member < 3, false);
        let adopt = RedialAction::Adopt { server: server(), dialogue: id(), owner: owner(1, 4) };
        assert!(actions.contains(&adopt) && reported(&actions).is_none());
        redials
    };
    let mine = owner(1, 4);
    let verdict = |launch, by| reported(&adopting().adopted(&id(), &server(), mine, launch, by));
    let there = Verdict::Stands { server: server(), launch: LaunchNumber(2) };
    assert_eq!(verdict(Some(LaunchNumber(2)), mine), Some(there));
    assert_eq!(verdict(None, mine), Some(Verdict::Concluded));
    assert_eq!(verdict(None, owner(2, 8)), Some(UNSURE));
    assert_eq!(
        adopting().adopted(&id(), &server(), owner(0, 4), None, mine),
        [],
        "another question's answer"
    );
    assert_eq!(reported(&adopting().server_unreachable(&id())), Some(UNSURE));
    assert_eq!(reported(&adopting().timer_fired(ms(121))), Some(UNSURE));
    assert_eq!(adopting().timer_fired(ms(120)), []);
}

#[test]
fn a_discovered_owner_needs_a_quorum_of_its_holders() {
    // One acknowledgement is awaited: all three candidates must answer, or both holders of its owner.
    let out = Progress::Launched { server: server(), launch: LaunchNumber(0) };
    let copy = replica_of(owner(0, 1), out, 500);
    let dead = |member: u16| member != 1;
    let (mut redials, actions) = asks_with(1, &dead, Replica::default());
    assert_eq!(asked(&actions), [2, 3]);
    let n = serial(&actions);
    redials.answered(ms(1), n, 2, true, None, Some(&copy), &dead, false);
    let actions = redials.answered(ms(1), n, 3, true, None, None, &dead, false);
    assert_eq!(reported(&actions), Some(Verdict::Free { not_before: ms(500) }));
    // Nothing is found, and the unreachable candidate may have acknowledged a write.
    let (mut redials, actions) = asks_with(1, &dead, Replica::default());
    let n = serial(&actions);
    redials.answered(ms(1), n, 2, true, None, None, &dead, false);
    let actions = redials.answered(ms(1), n, 3, true, None, None, &dead, false);
    assert_eq!(reported(&actions), Some(UNSURE));
    // The same holds where another member is the owner and the dead one holds a replica.
    let (mut redials, actions) = asks_with(1, &dead, Replica::default());
    let n = serial(&actions);
    let copy = replica_of(owner(0, 0), Progress::Accepted, 0);
    redials.answered(ms(1), n, 2, true, None, Some(&copy), &dead, false);
    redials.answered(ms(1), n, 3, true, None, None, &dead, false);
    let actions = redials.answered(ms(1), n, 0, true, None, Some(&copy), &dead, false);
    let holders: Vec<u16> = group().holders(fingerprint(&id()), 0).collect();
    assert_eq!(reported(&actions) == Some(UNSURE), holders.contains(&1), "{holders:?}");
    assert_eq!(
        asks_with(1, &|member| member == 2, Replica::default()).1,
        [RedialAction::Report(id(), UNSURE)],
        "too few at once"
    );
}

#[test]
fn in_a_group_of_two_a_replica_holder_decides_alone() {
    let mut redials = Redials::new(1, ReplicaGroup::new(["a", "b"], 1), 1, ms(60), ms(1000), ms(300));
    let copy = replica_of(owner(0, 0), Progress::Accepted, 0);
    let begin = |known| RedialSearch {
        is_reachable: &|_| false,
        knows: true,
        known,
        owner: owner(1, 1),
        cut_off: ms(3000),
    };
    assert_eq!(
        reported(&redials.begin(ms(0), &id(), begin(copy))),
        Some(Verdict::Free { not_before: ms(0) })
    );
    assert_eq!(reported(&redials.begin(ms(0), &id(), begin(Replica::default()))), Some(UNSURE));
}
