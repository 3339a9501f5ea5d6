//! Tests of the module `incarnations`, with access to its private items.

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn start(n: u64) -> u64 {
    n << RANDOM_BITS
}

#[test]
fn an_incarnation_needs_grants_of_a_majority() {
    let mut lives = IncarnationTracker::new(0, 5, None, 0, 1);
    assert_eq!(lives.due_proposal(ms(0)), None, "no peer has reported");
    lives.peer_reported(1, start(7), 0);
    assert_eq!(lives.due_proposal(ms(0)), None);
    lives.peer_reported(2, start(3), 0);
    let life = lives.due_proposal(ms(0)).unwrap();
    assert_eq!((start_count(life), lives.due_proposal(ms(10))), (8, None));
    assert_eq!(lives.due_proposal(ms(500)), Some(life), "asked again under the same number");
    assert_eq!(lives.proposal_answered(1, life, true, life), ProposalOutcome::Pending);
    assert_eq!(
        lives.proposal_answered(1, life, true, life),
        ProposalOutcome::Pending,
        "one peer counts once"
    );
    assert_eq!(
        lives.proposal_answered(2, life + 1, true, life + 1),
        ProposalOutcome::Pending,
        "granted to another process"
    );
    assert_eq!(
        lives.proposal_answered(2, life, true, life),
        ProposalOutcome::New { incarnation: life, fresh: false }
    );
    assert_eq!((lives.current(), lives.due_proposal(ms(9000))), (life, None));
}

#[test]
fn of_two_processes_with_one_name_the_higher_incarnation_wins() {
    let mut voters: Vec<IncarnationTracker> =
        (0..5).map(|me| IncarnationTracker::new(me, 5, None, 0, 9)).collect();
    let mut processes =
        [IncarnationTracker::new(0, 5, None, 0, 1), IncarnationTracker::new(0, 5, None, 0, 2)];
    for process in &mut processes {
        (1..5).for_each(|peer| assert!(!process.peer_reported(peer, 0, 0)));
    }
    let asked = [processes[0].due_proposal(ms(0)).unwrap(), processes[1].due_proposal(ms(0)).unwrap()];
    assert_ne!(asked[0], asked[1]);
    // The proposals reach the peers in different orders: both may be granted, but never the same one.
    for peer in 1..5u16 {
        for attempt in 0..2 {
            let which = (attempt + usize::from(peer > 2)) % 2;
            let (given, highest) = voters[usize::from(peer)].proposal_received(0, 0, asked[which]);
            processes[which].proposal_answered(peer, asked[which], given, highest);
        }
    }
    let highest = asked[0].max(asked[1]);
    assert!(processes.iter().any(|process| process.current() == highest));
    // The process with the lower incarnation learns of the higher one from any peer and loses its own.
    for process in &mut processes {
        let lower = process.current() > 0 && process.current() < highest;
        assert_eq!(process.peer_reported(3, highest, 0), lower);
        assert!(process.current() == 0 || process.current() == highest);
    }
}

#[test]
fn stale_disks_and_foreign_incarnations_are_detected() {
    // A restored old disk: peers know later incarnations.
    let mut old = IncarnationTracker::new(0, 3, Some((start(4), 0)), 0, 1);
    old.peer_reported(1, start(9), 0);
    let life = old.due_proposal(ms(0)).unwrap();
    assert_eq!(start_count(life), 10);
    assert_eq!(
        old.proposal_answered(1, life, true, life),
        ProposalOutcome::New { incarnation: life, fresh: false }
    );
    // With no incarnation in between, the disk has all that was acknowledged.
    let mut next = IncarnationTracker::new(0, 3, Some((start(4), 17)), 0, 1);
    next.peer_reported(1, start(4), 17);
    let life = next.due_proposal(ms(0)).unwrap();
    assert!(
        !next.peer_reported(2, life, 0) && next.due_proposal(ms(1)).is_none(),
        "granted there, and the answer was lost"
    );
    assert_eq!(
        next.proposal_answered(1, life, true, life),
        ProposalOutcome::New { incarnation: life, fresh: true }
    );
    assert!(!next.peer_reported(2, life, 0) && next.peer_reported(2, start(6), 0) && next.current() == 0);
    // The same incarnation with fewer writes than reported: the disk was restored from shortly before.
    let mut older = IncarnationTracker::new(0, 3, Some((start(4), 17)), 0, 1);
    older.peer_reported(1, start(4), 18);
    let life = older.due_proposal(ms(0)).unwrap();
    assert_eq!(
        older.proposal_answered(1, life, true, life),
        ProposalOutcome::New { incarnation: life, fresh: false }
    );
    // A refused process proposes a higher one.
    let refused = next.due_proposal(ms(1)).unwrap();
    assert_eq!(next.proposal_answered(1, refused, false, start(12)), ProposalOutcome::Pending);
    assert_eq!(start_count(next.due_proposal(ms(2)).unwrap()), 13);
}

#[test]
fn an_incarnation_is_granted_once_and_only_above_known_ones() {
    let mut voter = IncarnationTracker::new(1, 3, None, 0, 1);
    assert_eq!(voter.proposal_received(0, start(3), start(3)), (false, start(3)));
    assert_eq!(voter.proposal_received(0, start(3), start(4)), (true, start(4)));
    assert_eq!(voter.proposal_received(0, start(3), start(4) - 1), (false, start(4)));
    assert_eq!(voter.proposal_received(0, start(4), start(4)), (true, start(4)), "its answer was lost");
    voter.restore_granted(2, start(9));
    assert_eq!((voter.proposal_received(2, 0, start(8)), voter.granted_to(2)), ((false, start(9)), start(9)));
    assert_eq!(voter.proposal_received(8, 0, start(1)), (false, 0));
}

#[test]
fn a_later_incarnation_known_elsewhere_is_followed_by_a_higher_one() {
    // The granting peers have lost what they granted before; a core server or a late peer still knows it.
    let mut lives = IncarnationTracker::new(0, 3, None, 0, 1);
    lives.peer_reported(1, 0, 0);
    let life = lives.due_proposal(ms(0)).unwrap();
    assert_eq!(
        lives.proposal_answered(1, life, true, life),
        ProposalOutcome::New { incarnation: life, fresh: false }
    );
    assert!(!lives.incarnation_seen(life) && !lives.incarnation_seen(life - 1));
    assert!(lives.incarnation_seen(start(6)) && lives.current() == 0);
    assert_eq!(start_count(lives.due_proposal(ms(1)).unwrap()), 7);
    assert!(!lives.incarnation_seen(start(9)), "it has no incarnation to lose");
    assert_eq!(start_count(lives.due_proposal(ms(2)).unwrap()), 10);
}

#[test]
fn a_granted_but_unused_incarnation_does_not_make_the_disk_stale() {
    let fresh = |asked: u64| {
        let mut lives = IncarnationTracker::new(0, 3, Some((start(4), 17)), asked, 1);
        lives.peer_reported(1, start(5) + 3, 17);
        let life = lives.due_proposal(ms(0)).unwrap();
        assert_eq!(start_count(life), 6);
        matches!(lives.proposal_answered(1, life, true, life), ProposalOutcome::New { fresh: true, .. })
    };
    assert!(fresh(start(5) + 3), "proposed by the previous process, which was killed");
    assert!(!fresh(start(5)) && !fresh(0), "another process with this name had it");
}

/// Guards against a disk that counts as stale because peers report the writes that this process has told them: on a new link, or
/// when they begin an incarnation.
#[test]
fn writes_that_this_process_has_told_its_peers_do_not_make_its_disk_stale() {
    let stored = Some((start(3), 518));
    let mut lives = IncarnationTracker::new(0, 5, stored, 0, 1);
    assert!(!lives.has_counted(1));
    (1..4).for_each(|peer| assert!(!lives.peer_reported(peer, start(3), 518)));
    assert!(lives.has_counted(1) && !lives.has_counted(4));
    (1..4).for_each(|peer| assert!(!lives.peer_reported(peer, start(3), 566)));
    let life = lives.due_proposal(ms(0)).unwrap();
    lives.proposal_answered(1, life, true, life);
    let outcome = lives.proposal_answered(2, life, true, life);
    assert_eq!(outcome, ProposalOutcome::New { incarnation: life, fresh: true });
}

/// The other side: what a peer knew before it was told anything shows that the disk is older.
#[test]
fn a_disk_with_fewer_writes_than_a_peer_knew_of_is_stale() {
    for late in 1..4 {
        let mut lives = IncarnationTracker::new(0, 5, Some((start(3), 518)), 0, 1);
        for peer in 1..4 {
            lives.peer_reported(peer, start(3), if peer == late { 566 } else { 400 });
            lives.peer_reported(peer, start(3), 520);
        }
        let life = lives.due_proposal(ms(0)).unwrap();
        lives.proposal_answered(1, life, true, life);
        let outcome = lives.proposal_answered(2, life, true, life);
        assert_eq!(outcome, ProposalOutcome::New { incarnation: life, fresh: false });
        assert_eq!(lives.known_write_count(), 566);
    }
}
