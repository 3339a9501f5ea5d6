//! Tests of the module `lives`, with access to its private items.

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn start(n: u64) -> u64 {
    n << DRAWN
}

#[test]
fn a_life_needs_a_majority_that_gives_it() {
    let mut lives = Lives::new(0, 5, None, 0, 1);
    assert_eq!(lives.ask(ms(0)), None, "nobody has been heard");
    lives.told(1, start(7), 0);
    assert_eq!(lives.ask(ms(0)), None);
    lives.told(2, start(3), 0);
    let life = lives.ask(ms(0)).unwrap();
    assert_eq!((start_of(life), lives.ask(ms(10))), (8, None));
    assert_eq!(lives.ask(ms(500)), Some(life), "asked again under the same number");
    assert_eq!(lives.answered(1, life, true, life), Agreed::NotYet);
    assert_eq!(lives.answered(1, life, true, life), Agreed::NotYet, "one peer counts once");
    assert_eq!(lives.answered(2, life + 1, true, life + 1), Agreed::NotYet, "given to another process");
    assert_eq!(lives.answered(2, life, true, life), Agreed::New { life, fresh: false });
    assert_eq!((lives.mine(), lives.ask(ms(9000))), (life, None));
}

#[test]
fn of_two_processes_under_one_name_the_higher_life_stays() {
    let mut voters: Vec<Lives> = (0..5).map(|me| Lives::new(me, 5, None, 0, 9)).collect();
    let mut processes = [Lives::new(0, 5, None, 0, 1), Lives::new(0, 5, None, 0, 2)];
    for process in &mut processes {
        (1..5).for_each(|peer| assert!(!process.told(peer, 0, 0)));
    }
    let asked = [processes[0].ask(ms(0)).unwrap(), processes[1].ask(ms(0)).unwrap()];
    assert_ne!(asked[0], asked[1]);
    // Their questions come to the peers in different orders: both may get a number, never the same one.
    for peer in 1..5u16 {
        for turn in 0..2 {
            let which = (turn + usize::from(peer > 2)) % 2;
            let (given, highest) = voters[usize::from(peer)].asked(0, 0, asked[which]);
            processes[which].answered(peer, asked[which], given, highest);
        }
    }
    let highest = asked[0].max(asked[1]);
    assert!(processes.iter().any(|process| process.mine() == highest));
    // Whoever has the lower one hears of the higher from any peer, and is not the member any more.
    for process in &mut processes {
        let lower = process.mine() > 0 && process.mine() < highest;
        assert_eq!(process.told(3, highest, 0), lower);
        assert!(process.mine() == 0 || process.mine() == highest);
    }
}

#[test]
fn what_is_old_or_another_s_is_seen() {
    // A disk put back from before: peers know of later lives.
    let mut old = Lives::new(0, 3, Some((start(4), 0)), 0, 1);
    old.told(1, start(9), 0);
    let life = old.ask(ms(0)).unwrap();
    assert_eq!(start_of(life), 10);
    assert_eq!(old.answered(1, life, true, life), Agreed::New { life, fresh: false });
    // One whose life is the next knows all that it acknowledged.
    let mut next = Lives::new(0, 3, Some((start(4), 17)), 0, 1);
    next.told(1, start(4), 17);
    let life = next.ask(ms(0)).unwrap();
    assert!(
        !next.told(2, life, 0) && next.ask(ms(1)).is_none(),
        "given there, and its answer was lost on the way"
    );
    assert_eq!(next.answered(1, life, true, life), Agreed::New { life, fresh: true });
    assert!(!next.told(2, life, 0) && next.told(2, start(6), 0) && next.mine() == 0);
    // The same life, and fewer writes than were told: the disk was put back from a moment before.
    let mut older = Lives::new(0, 3, Some((start(4), 17)), 0, 1);
    older.told(1, start(4), 18);
    let life = older.ask(ms(0)).unwrap();
    assert_eq!(older.answered(1, life, true, life), Agreed::New { life, fresh: false });
    // Who was refused tries a higher one.
    let refused = next.ask(ms(1)).unwrap();
    assert_eq!(next.answered(1, refused, false, start(12)), Agreed::NotYet);
    assert_eq!(start_of(next.ask(ms(2)).unwrap()), 13);
}

#[test]
fn a_number_is_given_once_and_never_below_what_is_known() {
    let mut voter = Lives::new(1, 3, None, 0, 1);
    assert_eq!(voter.asked(0, start(3), start(3)), (false, start(3)));
    assert_eq!(voter.asked(0, start(3), start(4)), (true, start(4)));
    assert_eq!(voter.asked(0, start(3), start(4) - 1), (false, start(4)));
    assert_eq!(voter.asked(0, start(4), start(4)), (true, start(4)), "its answer was lost on the way");
    voter.recall_given(2, start(9));
    assert_eq!((voter.asked(2, 0, start(8)), voter.given_to(2)), ((false, start(9)), start(9)));
    assert_eq!(voter.asked(8, 0, start(1)), (false, 0));
}

#[test]
fn a_later_life_that_only_others_remember_is_followed_by_a_higher_one() {
    // Those who gave this life had forgotten what they gave before; a core server, or a peer that comes late, has not.
    let mut lives = Lives::new(0, 3, None, 0, 1);
    lives.told(1, 0, 0);
    let life = lives.ask(ms(0)).unwrap();
    assert_eq!(lives.answered(1, life, true, life), Agreed::New { life, fresh: false });
    assert!(!lives.witnessed(life) && !lives.witnessed(life - 1));
    assert!(lives.witnessed(start(6)) && lives.mine() == 0);
    assert_eq!(start_of(lives.ask(ms(1)).unwrap()), 7);
    assert!(!lives.witnessed(start(9)), "it has no life to lose");
    assert_eq!(start_of(lives.ask(ms(2)).unwrap()), 10);
}

#[test]
fn a_life_that_was_given_and_never_begun_makes_no_disk_old() {
    let fresh = |asked: u64| {
        let mut lives = Lives::new(0, 3, Some((start(4), 17)), asked, 1);
        lives.told(1, start(5) + 3, 17);
        let life = lives.ask(ms(0)).unwrap();
        assert_eq!(start_of(life), 6);
        matches!(lives.answered(1, life, true, life), Agreed::New { fresh: true, .. })
    };
    assert!(fresh(start(5) + 3), "the process before this one asked for it, and was killed");
    assert!(!fresh(start(5)) && !fresh(0), "another process of this name had it");
}
