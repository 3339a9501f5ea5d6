//! The rule for copies that differ, holders, streams, digests, and books that are brought to agree.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::*;
use lotussaddle_trunk::{Answer, Owner, OwnerRecord, Progress, RecordedAnswer, ReplicaUpdate};
use proptest::prelude::*;

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

fn reached() -> impl Strategy<Value = Progress> {
    let place = || ("[ab]", 0u32..3).prop_map(|(s, launch)| (server(&s), LaunchNumber(launch)));
    prop_oneof![
        Just(Progress::Accepted),
        place().prop_map(|(server, launch)| Progress::Launched { server, launch }),
        place().prop_map(|(server, launch)| Progress::Stands { server, launch }),
        Just(Progress::Ended),
    ]
}

fn answer() -> impl Strategy<Value = Answer> {
    prop_oneof![
        "[ab]".prop_map(|s| Answer::Stands { server: server(&s) }),
        proptest::option::of(1u64..3).prop_map(|t| Answer::Refused { come_back: t.map(ms) }),
        Just(Answer::Failed),
    ]
}

/// Few owners and versions, so that copies meet on the same ones.
fn copy() -> impl Strategy<Value = Replica> {
    let part = (0u32..4, 0u16..4, 1u64..3, 0u32..4, reached(), 0u64..500, 1u64..900);
    let part = part.prop_map(|(round, member, life, version, reached, bar, lasts)| OwnerRecord {
        owner: owner(round, member, life),
        version,
        progress: reached,
        blocked_for: ms(bar),
        expires_in: ms(lasts),
    });
    let given = (0u32..3, 0u16..4, 1u64..3, answer());
    let given = given.prop_map(|(round, member, life, answer)| RecordedAnswer {
        owner: owner(round, member, life),
        answer,
    });
    (proptest::collection::vec(part, 0..24), proptest::collection::vec(given, 0..6)).prop_map(
        |(parts, answers)| {
            Replica::from_update(
                ms(1000),
                &ReplicaUpdate { dialogue: id("d"), owner_records: parts, answers },
            )
        },
    )
}

fn merged(a: &Replica, b: &Replica) -> Replica {
    let mut all = a.clone();
    all.merge(b);
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, ..ProptestConfig::default() })]

    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in copy(), b in copy(), c in copy()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b));
        prop_assert!(a.owner_states().len() <= MAX_OWNERS && a.answers().len() <= MAX_ANSWERS);
    }

    #[test]
    fn what_is_final_or_in_doubt_is_never_read_as_less_after_a_merge(a in copy(), b in copy()) {
        let rank = |copy: &Replica| u8::from(!matches!(copy.reading(), ReplicaReading::Open { .. }));
        let both = merged(&a, &b);
        // A higher version of one owner may take back that it stands; among owners what binds most stays.
        let apart = a.owner_states().iter().all(|part| b.state_of(part.owner).is_none());
        if apart && both.owner_states().len() == a.owner_states().len() + b.owner_states().len() {
            prop_assert_eq!(rank(&both), rank(&a).max(rank(&b)));
            if let (ReplicaReading::Open { blocked_until: bar, .. }, ReplicaReading::Open { blocked_until: first, .. }, ReplicaReading::Open { blocked_until: second, .. }) =
                (both.reading(), a.reading(), b.reading())
            {
                prop_assert_eq!(bar, first.max(second));
            }
        }
    }

    #[test]
    fn a_copy_outlasts_its_way_and_its_bar_is_never_shorter(a in copy(), way in 0u64..50) {
        let sent = a.to_update(ms(1000), &id("d"));
        let there = Replica::from_update(ms(1000 + way), &sent);
        for part in a.owner_states() {
            let received = there.state_of(part.owner).unwrap();
            prop_assert_eq!((&received.progress, received.version), (&part.progress, part.version));
            prop_assert!(part.blocked_until <= ms(1000) || received.blocked_until >= part.blocked_until);
        }
        prop_assert_eq!(there.answers(), a.answers());
    }
}

/// Each pair of what two owners may have written, and what is read of both.
#[test]
fn the_table_of_pairs() {
    let (a, b) = (owner(0, 0, 1), owner(1, 1, 1));
    let states: [(&str, Progress, u64, Option<Answer>); 7] = [
        ("taken", Progress::Accepted, 0, None),
        ("out", Progress::Launched { server: server("s"), launch: LaunchNumber(0) }, 900, None),
        ("in doubt", Progress::Accepted, 300, None),
        (
            "stands",
            Progress::Stands { server: server("s"), launch: LaunchNumber(0) },
            0,
            Some(Answer::Stands { server: server("s") }),
        ),
        ("refused", Progress::Ended, 0, Some(Answer::Refused { come_back: None })),
        ("failed", Progress::Ended, 0, Some(Answer::Failed)),
        ("over", Progress::Ended, 0, Some(Answer::Stands { server: server("s") })),
    ];
    let written = |owner: Owner, (_, reached, bar, answer): &(&str, Progress, u64, Option<Answer>)| {
        let mut copy = Replica::default();
        copy.write(owner, reached.clone(), ms(*bar), ms(60_000));
        answer.iter().for_each(|answer| copy.record_answer(owner, answer));
        copy
    };
    let mut table = String::new();
    for first in &states {
        for second in &states {
            let both = merged(&written(a, first), &written(b, second));
            let read = match both.reading() {
                ReplicaReading::Answered(Answer::Refused { .. }) => "refused".to_string(),
                ReplicaReading::Answered(_) => "failed".into(),
                ReplicaReading::Ended => "over".into(),
                ReplicaReading::Stands { .. } => "stands".into(),
                ReplicaReading::Open { blocked_until: bar, .. } => format!("{}", bar.as_millis()),
            };
            table += &format!("{read}{} ", if both.has_conflicting_answers() { "!" } else { "" });
        }
        table += "\n";
    }
    let wanted = "\
0 900 300 stands refused failed over 
900 900 900 stands refused failed over 
300 900 300 stands refused failed over 
stands stands stands stands refused! failed! over 
refused refused refused stands! refused failed! over! 
failed failed failed stands! refused! failed over! 
over over over stands refused! failed! over 
";
    assert_eq!(table, wanted);
}

#[test]
fn a_member_that_goes_moves_only_its_own_share() {
    let names: Vec<String> = (0..9).map(|n| format!("edge-{n}")).collect();
    let all = ReplicaGroup::new(names.iter().map(String::as_str), 2);
    let less = ReplicaGroup::new(names[..8].iter().map(String::as_str), 2);
    let (mut moved, mut share) = (0, BTreeMap::<u16, u32>::new());
    for n in 0..20_000 {
        let print = fingerprint(&id(&format!("d{n}")));
        let before: Vec<u16> = all.candidates(print).iter().collect();
        let after: Vec<u16> = less.candidates(print).iter().collect();
        assert_eq!(before[..], all.ranked_members(print)[..3], "the same order, however it is come by");
        before.iter().for_each(|member| *share.entry(*member).or_default() += 1);
        if before.contains(&8) {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
        assert_eq!(
            before.iter().filter(|m| **m != 8).collect::<Vec<_>>(),
            after.iter().filter(|m| before.contains(m)).collect::<Vec<_>>()
        );
        // Whoever owns it, copies lie with two others, and all of them among the candidates.
        for owner in 0..9 {
            let holders: Vec<u16> = all.holders(print, owner).collect();
            assert!(
                holders.len() == 2 && !holders.contains(&owner) && holders.iter().all(|h| before.contains(h))
            );
        }
    }
    assert!((6000..7400).contains(&moved), "a third of a ninth each: {moved}");
    assert!(share.values().all(|n| (6000..7400).contains(n)), "{share:?}");
    // With fewer members than copies all the others keep one.
    assert_eq!(ReplicaGroup::new(["a", "b"], 3).holders(7, 0).collect::<Vec<_>>(), [1]);
}

#[test]
fn a_stream_goes_on_where_the_other_side_was_and_says_when_it_cannot() {
    let mut s = ReplicaStream::new();
    assert_eq!((s.record_change(&id("a")), s.record_change(&id("b")), s.record_change(&id("a"))), (1, 2, 1));
    assert_eq!(s.take_unsent(1), Some((1, vec![id("a")])));
    assert_eq!(s.record_change(&id("a")), 3, "it was sent as it was");
    assert_eq!(s.take_unsent(9), Some((2, vec![id("b"), id("a")])));
    assert_eq!((s.take_unsent(9), s.lag(), s.acknowledge(99), s.lag()), (None, 3, 3, 0));
    // The link broke; what was acknowledged is not sent again.
    assert!(s.resume(2));
    assert_eq!(s.take_unsent(9), Some((3, vec![id("a")])));
    assert!(!s.resume(7), "it has never had that");
    assert_eq!(s.take_unsent(9), None, "a snapshot first");
    for n in 0..MAX_RETAINED + 10 {
        s.record_change(&id(&format!("d{n}")));
    }
    assert!(s.is_overrun() && s.take_unsent(9).is_none());
    assert!(!s.resume(3), "no longer kept");
    assert!(s.resume(s.last_number() - 5) && s.take_unsent(9).unwrap().1.len() == 5);
}

const FORGET: Duration = Duration::from_secs(60);

fn books(members: u16, copies: usize) -> Vec<ReplicaTable> {
    let names: Vec<String> = (0..members).map(|n| format!("edge-{n}")).collect();
    let group = ReplicaGroup::new(names.iter().map(String::as_str), copies);
    let book = |me| {
        let mut book =
            ReplicaTable::new(me, group.clone(), ReplicaLimits { max_replicas: 100_000, retention: FORGET });
        book.begin_incarnation(Duration::ZERO, 1);
        book
    };
    (0..members).map(book).collect()
}

/// Carries what one has for another, in pieces, and the acknowledgement back.
fn carry(books: &mut [ReplicaTable], now: Duration, from: u16, to: u16) {
    while let Some((first, copies)) = books[usize::from(from)].next_updates(now, to, 10) {
        let news = books[usize::from(to)].merge_received(now, &copies);
        for replaced in news.replaced {
            books[usize::from(from)].write_refused(now, &replaced.dialogue, replaced.by);
        }
        books[usize::from(from)].replica_acknowledged(to, first + copies.len() as u64 - 1);
    }
}

fn carry_all(books: &mut [ReplicaTable], now: Duration) {
    for from in 0..books.len() as u16 {
        for to in 0..books.len() as u16 {
            carry(books, now, from, to);
        }
    }
}

fn out(n: u32) -> Progress {
    Progress::Launched { server: server("s"), launch: LaunchNumber(n) }
}

#[test]
fn a_write_is_done_when_enough_have_it_and_not_before() {
    let mut books = books(5, 2);
    let d = id("d");
    let holders: Vec<u16> = books[0].group().holders(fingerprint(&d), 0).collect();
    let write =
        |book: &mut ReplicaTable, reached, wait| book.write(ms(0), &d, reached, ms(0), None, ms(0), wait);
    assert_eq!(write(&mut books[0], Progress::Accepted, None), WriteResult::Immediate);
    assert_eq!(write(&mut books[0], out(0), Some((7, 2))), WriteResult::Pending);
    carry(&mut books, ms(1), 0, holders[0]);
    assert_eq!(books[0].take_completed_writes(), [0; 0]);
    carry(&mut books, ms(1), 0, holders[1]);
    assert_eq!(books[0].take_completed_writes(), [7]);
    // A later step is waited for anew, and the acknowledgement of an earlier one is none of it.
    write(&mut books[0], Progress::Accepted, Some((8, 1)));
    books[0].replica_acknowledged(holders[0], 1);
    assert_eq!(books[0].take_completed_writes(), [0; 0]);
    carry(&mut books, ms(2), 0, holders[0]);
    assert_eq!(books[0].take_completed_writes(), [8]);
    // Others know nothing of it.
    for member in 0..5u16 {
        let knows = member == 0 || holders.contains(&member);
        assert_eq!(books[usize::from(member)].get(&d).is_some(), knows);
    }
}

#[test]
fn after_a_claim_the_former_owner_is_refused_and_lets_go() {
    let mut books = books(5, 2);
    let d = id("d");
    books[0].write(ms(0), &d, Progress::Accepted, ms(0), None, ms(0), None);
    carry_all(&mut books, ms(1));
    let holders: Vec<u16> = books[0].group().holders(fingerprint(&d), 0).collect();
    let asker = (1..5).find(|m| !holders.contains(m)).unwrap();
    let claim = owner(1, asker, 1);
    for holder in &holders {
        let (higher, copy) = books[usize::from(*holder)].claim_requested(ms(2), &d, claim);
        assert!(higher.is_none() && copy.is_some());
        assert!(books[usize::from(*holder)].has_claim(&d, claim));
    }
    // Asked again, and by one lower.
    assert_eq!(books[usize::from(holders[0])].claim_requested(ms(2), &d, claim).0, None);
    assert_eq!(books[usize::from(holders[0])].claim_requested(ms(2), &d, owner(0, 4, 1)).0, Some(claim));
    assert_eq!(books[0].write(ms(3), &d, out(0), ms(900), None, ms(0), Some((1, 1))), WriteResult::Pending);
    carry_all(&mut books, ms(4));
    assert_eq!(books[0].take_completed_writes(), [0; 0], "nobody has kept it");
    assert!(!books[0].owns_dialogue(&d));
    assert_eq!(books[0].write(ms(5), &d, out(1), ms(900), None, ms(0), None), WriteResult::Replaced(claim));
    // What was refused is known all the same: it bars whoever comes next, and is nobody's last word.
    let copy = books[usize::from(holders[0])].get(&d).unwrap();
    assert!(
        matches!(copy.reading(), ReplicaReading::Open { blocked_until: bar, launch_outstanding: false } if bar >= ms(900))
    );
    assert!(books[usize::from(holders[0])].has_claim(&d, claim));
}

#[test]
fn what_was_written_before_a_life_was_agreed_is_copied_under_it() {
    let names = ["a", "b", "c"];
    let mut book = ReplicaTable::new(
        0,
        ReplicaGroup::new(names, 2),
        ReplicaLimits { max_replicas: 10, retention: FORGET },
    );
    assert_eq!(
        book.write(ms(0), &id("d"), out(0), ms(900), None, ms(0), Some((1, 1))),
        WriteResult::Immediate
    );
    assert!(book.owns_dialogue(&id("d")) && !book.stream(1).has_unsent());
    book.begin_incarnation(ms(5), 4);
    assert!(book.owns_dialogue(&id("d")) && book.stream(1).has_unsent() && book.stream(2).has_unsent());
    assert_eq!(book.get(&id("d")).unwrap().owner(), Some(owner(0, 0, 4)));
    // A further life of the same process takes on what nobody else has.
    book.claim_requested(ms(6), &id("e"), owner(1, 2, 1));
    book.begin_incarnation(ms(7), 9);
    assert!(book.owns_dialogue(&id("d")) && !book.owns_dialogue(&id("e")));
}

#[test]
fn what_is_over_is_forgotten_by_all_and_nobody_brings_it_back() {
    let mut books = books(3, 2);
    let d = id("d");
    books[0].write(ms(0), &d, Progress::Accepted, ms(0), None, ms(0), None);
    carry_all(&mut books, ms(0));
    let stale = books[1].get(&d).unwrap().to_update(ms(0), &d);
    let answer = Answer::Failed;
    books[0].write(ms(100), &d, Progress::Ended, ms(0), Some(&answer), ms(0), None);
    carry_all(&mut books, ms(100));
    for book in &mut books {
        assert!(book.expire(ms(50_000), 100).is_empty());
        // In its last part it is compared no more, so that clocks that differ a little find no difference.
        assert_eq!(book.expire(ms(53_000), 100), [] as [DialogueId; 0]);
        assert_eq!(book.top_digests((book.incarnation() + 1) as u16 % 3).2, vec![0; FAN_OUT]);
    }
    // One that was forgotten is not taken again from one whose clock is behind.
    assert_eq!(books[0].expire(ms(60_101), 100).len(), 1);
    let late = books[1].get(&d).unwrap().to_update(ms(60_000), &d);
    assert_eq!(books[0].merge_received(ms(60_102), &[late]), MergeResult::default());
    assert!(books[0].is_empty());
    // Nor what stood still for an hour: it is still said to last for a minute, which is why such a member begins anew.
    assert_eq!(books[0].merge_received(ms(60_103), &[stale]).changed.len(), 1);
    assert_eq!(books[0].drop_not_owned(), 0, "it is this member's own by its word");
    assert!(books.iter_mut().skip(1).all(|book| book.expire(ms(61_000), 100).len() == 1 && book.is_empty()));
}

#[test]
fn a_snapshot_goes_on_where_it_was_cut_and_has_all_that_is_to_be_known() {
    let mut books = books(4, 2);
    for n in 0..2000 {
        let owner = n % 3;
        books[owner].write(ms(0), &id(&format!("d{n}")), out(0), ms(900), None, ms(0), None);
    }
    for from in 0..3 {
        for to in 0..3 {
            carry(&mut books, ms(1), from, to);
        }
    }
    // Member 3 was not there; each piece is asked for twice, as after a cut.
    let (mut pieces, mut had) = (0, 0);
    for from in 0..3u16 {
        let mut next = Some(0);
        while let Some(at) = next {
            let (copies, more) = books[usize::from(from)].snapshot_chunk(ms(2), 3, at);
            let again = books[usize::from(from)].snapshot_chunk(ms(2), 3, at);
            assert_eq!((&copies, more), (&again.0, again.1));
            assert!(more.is_none_or(|more| more > at));
            books[3].merge_received(ms(2), &copies);
            had += copies.len();
            (next, pieces) = (more, pieces + 1);
        }
    }
    assert!(pieces > 6 && had > 1000, "{pieces} {had}");
    let group = books[0].group().clone();
    for n in 0..2000u16 {
        let d = id(&format!("d{n}"));
        assert_eq!(books[3].get(&d).is_some(), group.shares(fingerprint(&d), n % 3, 3), "{n}");
    }
}

/// Compares two books as members do, by messages to and fro; gives the bytes of digests and copies sent.
fn compare(books: &mut [ReplicaTable], now: Duration, a: u16, b: u16) -> (usize, usize) {
    let (level, from, sums) = books[usize::from(a)].top_digests(b);
    let mut said = vec![(a, RangeDifference::Subranges(level, from, sums))];
    let (mut digests, mut copies) = (0, 0);
    while let Some((by, differing)) = said.pop() {
        let to = if by == a { b } else { a };
        let book = &mut books[usize::from(to)];
        match differing {
            RangeDifference::Subranges(level, from, sums) => {
                digests += sums.len() * 8 + 8;
                said.extend(book.compare_ranges(by, level, from, &sums).into_iter().map(|d| (to, d)));
            }
            RangeDifference::Leaf(range, prints) => {
                digests += prints.len() * 16 + 8;
                let repair = book.compare_dialogues(now, by, 1, range, &prints);
                digests += repair.to_request.len() * 8;
                let wanted = books[usize::from(by)].requested_replicas(now, to, &repair.to_request);
                copies += wanted.len() + repair.to_send.len();
                books[usize::from(to)].merge_received(now, &wanted);
                books[usize::from(by)].merge_received(now, &repair.to_send);
            }
        }
    }
    (digests, copies)
}

#[test]
fn comparing_finds_and_mends_every_difference_and_sends_little_else() {
    let mut books = books(3, 2);
    for n in 0..20_000 {
        books[n % 3].write(ms(0), &id(&format!("d{n}")), out(0), ms(900), None, ms(0), None);
    }
    carry_all(&mut books, ms(1));
    assert_eq!(compare(&mut books, ms(2), 0, 1), (FAN_OUT * 8 + 8, 0), "alike: only the top is said");
    // Ten writes reach nobody, and one member loses five copies of another's.
    for n in 0..10 {
        books[0].write(
            ms(2),
            &id(&format!("d{}", n * 3)),
            Progress::Ended,
            ms(0),
            Some(&Answer::Failed),
            ms(0),
            None,
        );
    }
    books[0].stream(1).halt();
    let (digests, copies) = compare(&mut books, ms(3), 0, 1);
    assert!(digests < 16_384, "{digests} bytes of digests");
    assert!((10..=20).contains(&copies), "{copies}");
    for n in 0..10 {
        let d = id(&format!("d{}", n * 3));
        assert_eq!(books[1].get(&d).unwrap().reading(), ReplicaReading::Answered(&Answer::Failed));
    }
    assert_eq!(compare(&mut books, ms(4), 0, 1).1, 0);
    // What the owner has forgotten, its holder lets go.
    let d = id("d3");
    books[0].expire(ms(70_000), 100_000);
    assert!(books[0].get(&d).is_none());
    assert!(books[1].get(&d).is_some());
}

#[test]
fn a_full_book_keeps_nothing_new_of_others_and_says_so() {
    let group = ReplicaGroup::new(["a", "b", "c"], 2);
    let mut book = ReplicaTable::new(0, group, ReplicaLimits { max_replicas: 2, retention: FORGET });
    book.begin_incarnation(ms(0), 1);
    let copy = |name: &str| Replica::claimed(owner(1, 1, 1), ms(60_000)).to_update(ms(0), &id(name));
    let news = book.merge_received(ms(0), &[copy("x"), copy("y"), copy("z")]);
    assert_eq!((news.changed.len(), news.rejected_count, book.len()), (2, 1, 2));
    assert_eq!(book.claim_requested(ms(0), &id("w"), owner(1, 2, 1)), (None, None));
    assert!(!book.has_claim(&id("w"), owner(1, 2, 1)), "it cannot hold anyone to it");
    // Its own dialogues are never refused.
    assert_eq!(
        book.write(ms(0), &id("own"), Progress::Accepted, ms(0), None, ms(0), None),
        WriteResult::Immediate
    );
}

#[test]
fn two_final_answers_are_both_kept_and_read_alike() {
    let mut books = books(3, 2);
    let d = id("d");
    books[0].write(ms(0), &d, Progress::Ended, ms(0), Some(&Answer::Failed), ms(0), None);
    let claim = owner(1, 1, 1);
    books[1].claim(ms(0), &d, claim, &Replica::default());
    books[1].write(
        ms(0),
        &d,
        Progress::Ended,
        ms(0),
        Some(&Answer::Refused { come_back: None }),
        ms(0),
        None,
    );
    let theirs = books[1].get(&d).unwrap().to_update(ms(0), &d);
    let news = books[0].merge_received(ms(1), &[theirs]);
    assert_eq!((news.answer_conflicts, news.ownership_lost.len()), (vec![d.clone()], 1));
    let ours = books[0].get(&d).unwrap().to_update(ms(1), &d);
    books[1].merge_received(ms(1), &[ours]);
    for book in &books[..2] {
        let copy = book.get(&d).unwrap();
        assert!(copy.has_conflicting_answers() && copy.answers().len() == 2);
        assert_eq!(copy.reading(), ReplicaReading::Answered(&Answer::Refused { come_back: None }));
        assert_eq!(book.iter().filter(|(_, copy)| copy.has_conflicting_answers()).count(), 1);
    }
}

/// Drawn day 4803: a launch went out on the acknowledgement of a snapshot's beginning.
#[test]
fn where_a_stream_goes_on_acknowledges_nothing() {
    let mut s = ReplicaStream::new();
    for n in 0..9 {
        s.record_change(&id(&format!("d{n}")));
    }
    assert!(s.resume(9));
    // A frame that only refuses acknowledges nothing.
    assert_eq!((s.last_acknowledged(), s.acknowledge(0)), (0, 0));
    assert_eq!(s.acknowledge(9), 9, "all is kept");
}
