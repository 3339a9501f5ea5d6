//! Elections and leases under faults between members, in virtual time.

mod world;

use lotussaddle_lease::{Duty, LeaseMessage};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use world::{LEASE, MS, World, ms};

/// Every duty is held, the first time after a rest.
fn held(world: &World, what: &str) {
    for duty in 0..world.duties {
        assert!(
            world.holder(duty).is_some(),
            "{what}: nobody holds {duty} at {:?}: {:#?}",
            world.now,
            world.logs
        );
    }
}

fn begun(seed: u64, members: usize, voters: usize, duties: u16) -> World {
    let mut world = World::new(seed, members, voters, duties, true);
    world.run(ms(6000));
    held(&world, "begun");
    world
}

#[test]
fn duties_are_held_each_by_one_and_spread_over_the_members() {
    for (members, voters) in [(3, 3), (5, 3), (5, 5), (7, 7), (12, 5)] {
        let mut world = begun(1, members, voters, 6);
        world.run(ms(20_000));
        world.kept("calm");
        assert_eq!(world.chairs, 1, "{:#?}", world.logs);
        assert_eq!(world.began, 6, "nobody loses what it holds");
        let holders: std::collections::BTreeSet<_> = (0..6).filter_map(|duty| world.holder(duty)).collect();
        assert!(holders.len() >= members.min(6), "{holders:?}");
        assert!(world.refused == 0 && world.accepted.len() > 100);
    }
}

#[test]
fn a_holder_that_is_killed_is_followed_within_two_leases() {
    for seed in 0..20 {
        let mut world = begun(seed, 5, 3, 3);
        let at = world.holder(1).unwrap();
        world.kill(at);
        let killed = world.now;
        world.run(killed + LEASE * 2);
        held(&world, "after a kill");
        world.start(at);
        world.run(killed + LEASE * 6);
        held(&world, "after it came back");
        world.kept("kill");
    }
}

#[test]
fn a_chair_that_is_killed_is_followed_and_those_who_hold_go_on() {
    for seed in 0..20 {
        let mut world = begun(seed, 5, 5, 4);
        let (chair, began) = (world.chair().unwrap(), world.began);
        let of_chair = (0..4).filter(|duty| world.holder(*duty) == Some(chair)).count();
        world.kill(chair);
        let killed = world.now;
        world.run(killed + LEASE * 2);
        held(&world, "after a kill");
        world.run(killed + LEASE * 4);
        assert_eq!(world.began - began, of_chair, "others keep theirs: {:#?}", world.logs);
        world.kept("kill of the chair");
    }
}

#[test]
fn a_holder_that_stood_still_finds_out_and_its_late_acts_are_refused() {
    for seed in 0..20 {
        let mut world = begun(seed, 5, 3, 2);
        let at = world.holder(0).unwrap();
        world.stall(at);
        let stalled = world.now;
        world.run(stalled + LEASE * 3);
        let next = world.holder(0).unwrap();
        assert_ne!(next, at);
        let refused = world.refused;
        world.wake(at);
        world.run(stalled + LEASE * 5);
        assert!(world.refused > refused, "what it did by its former number");
        assert_eq!(world.holder(0), Some(next));
        world.kept("stall");
    }
}

#[test]
fn one_that_is_cut_off_either_way_disturbs_nobody_and_holds_nothing() {
    for (in_, out) in [(true, true), (true, false), (false, true)] {
        for seed in 0..8 {
            let mut world = begun(seed, 5, 5, 5);
            let chair = world.chair().unwrap();
            let at = (0..5).find(|at| *at != chair).unwrap();
            world.cut_off(at, in_, out);
            let (cut, chairs) = (world.now, world.chairs);
            world.run(cut + LEASE * 10);
            held(&world, "while one is cut off");
            assert!((0..5).all(|duty| world.holder(duty) != Some(at)), "it holds one: {in_} {out}");
            assert!(world.nodes[at].held.is_empty(), "and it has been told so");
            world.cut.clear();
            world.run(cut + LEASE * 14);
            held(&world, "healed");
            assert_eq!(world.chairs, chairs, "no election for it: {in_} {out} {:#?}", world.logs);
            world.kept("cut");
        }
    }
}

#[test]
fn a_chair_without_its_majority_gives_up_by_itself_and_nobody_holds_where_there_is_none() {
    // Steps change the table, and without a majority they alone would end what is lent; holders that rest have to lose it too.
    for acts in [true, false] {
        without_a_majority(acts);
    }
}

fn without_a_majority(acts: bool) {
    let mut world = begun(3, 5, 5, 3);
    world.acts = acts;
    let chair = world.chair().unwrap();
    let with = (0..5).find(|at| *at != chair).unwrap();
    // The chair and one more on one side, three on the other.
    for a in [chair, with] {
        for b in (0..5).filter(|b| *b != chair && *b != with) {
            world.cut.extend([(a, b), (b, a)]);
        }
    }
    let cut = world.now;
    world.run(cut + LEASE * 3);
    assert!(world.chair().is_some_and(|now| now != chair && now != with));
    assert!((0..3).all(|duty| world.holder(duty).is_some_and(|at| at != chair && at != with)));
    // And now nobody has a majority, for an hour; then all at once.
    for a in 0..5 {
        world.cut_off(a, true, true);
    }
    world.run(cut + LEASE * 10);
    assert!((0..3).all(|duty| world.holder(duty).is_none()) && world.chair().is_none());
    let accepted = world.accepted.len();
    world.run(cut + ms(3_600_000));
    assert_eq!(world.accepted.len(), accepted, "nothing is done where there is no majority");
    world.cut.clear();
    let healed = world.now;
    world.run(healed + LEASE * 4);
    held(&world, "healed");
    world.kept("no majority");
}

#[test]
fn all_voters_killed_at_once_go_on_by_their_stores_or_begin_anew_without() {
    for disks in [true, false] {
        let mut world = World::new(5, 5, 3, 3, disks);
        world.run(ms(6000));
        held(&world, "begun");
        let highest = world.accepted.iter().map(|act| act.2).max().unwrap();
        (0..3).for_each(|at| world.kill(at));
        world.run(ms(7000));
        (0..3).for_each(|at| world.start(at));
        world.run(ms(16_000));
        held(&world, "again");
        let of_last = world.accepted.iter().map(|act| act.2).max().unwrap();
        assert!(of_last > highest, "numbers go on: {of_last:?}");
        world.kept("all voters killed");
    }
}

#[test]
fn a_voter_whose_store_is_lost_or_older_forgets_nothing_that_others_know() {
    for seed in 0..10 {
        let mut world = begun(seed, 3, 3, 3);
        let old = world.nodes[1].disk.clone();
        let at = world.holder(0).unwrap();
        world.kill(at);
        world.run(ms(9000));
        world.start(at);
        world.run(ms(12_000));
        // An hour ago, or nothing at all.
        world.kill(1);
        world.nodes[1].disk = old.filter(|_| seed % 2 == 0);
        world.run(ms(12_500));
        world.start(1);
        if seed % 2 == 0 {
            // Peers know that its disk has had more: the member is told so at its start.
            world.with(1, |lease, now| lease.mark_state_stale(now));
        }
        world.run(ms(18_000));
        held(&world, "with one that lost its store");
        let other = (0..3).find(|at| *at != 1 && world.chair() != Some(*at)).unwrap();
        world.kill(other);
        world.run(ms(24_000));
        held(&world, "it votes again");
        world.kept("store lost");
    }
}

#[test]
fn full_disks_at_two_of_three_voters_let_nothing_new_be_agreed_on() {
    let mut world = begun(2, 4, 3, 4);
    world.acts = false;
    world.nodes[0].full = true;
    world.nodes[1].full = true;
    world.nodes[2].full = false;
    let holder = world.holder(3).unwrap();
    world.kill(holder);
    let killed = world.now;
    world.run(killed + LEASE * 4);
    assert!(world.holder(3).is_none(), "what two of three do not keep is not agreed on");
    world.nodes[0].full = false;
    world.nodes[1].full = false;
    world.run(killed + LEASE * 12);
    held(&world, "with disks again");
    world.kept("full disks");
}

#[test]
fn handed_over_in_under_a_tenth_of_a_second_with_the_last_step() {
    for seed in 0..10 {
        let mut world = begun(seed, 5, 3, 2);
        let (at, chair) = (world.holder(0).unwrap(), world.chair().unwrap());
        // To whom an operator wants it, then three in a row, the second in the middle of the first.
        let to = (0..5).find(|other| *other != at && *other != chair).unwrap();
        let asker = (0..5).find(|other| *other != at).unwrap();
        world.with(asker, |lease, now| {
            lease.send_to_leader(now, LeaseMessage::MoveDuty { duty: Duty(0), to: Some(to as u16) })
        });
        world.run(world.now + ms(100));
        assert_eq!(world.holder(0), Some(to), "{:#?}", world.logs);
        for n in 0..3 {
            let at = world.holder(0).or_else(|| world.holder(1)).unwrap();
            world.with(at, |lease, now| lease.hand_over(now, Duty(0), None));
            world.run(world.now + MS * (2 + n));
        }
        world.run(world.now + ms(100));
        held(&world, "handed over");
        // One that is to end, perhaps the chair: nothing is left of it, and whoever follows needs no time-out.
        let chair = world.chair().unwrap();
        let began = world.now;
        world.with(chair, |lease, now| lease.shut_down(now));
        world.run(began + ms(100));
        held(&world, "its process ends");
        assert!(world.nodes[chair].lease.as_ref().unwrap().is_shut_down(), "{:#?}", world.logs);
        world.kill(chair);
        world.run(began + ms(400));
        assert!(world.chair().is_some());
        held(&world, "ended");
        world.kept("hand over");
    }
}

#[test]
fn voters_change_one_at_a_time_and_each_set_can_elect() {
    let mut world = begun(4, 7, 3, 2);
    let asker = 5;
    world.with(asker, |lease, now| {
        lease.send_to_leader(now, LeaseMessage::ChangeVoters { voters: vec![2, 3, 4, 5, 6] })
    });
    world.run(world.now + ms(1000));
    let voters = |world: &World| {
        let mut voters = world.nodes[asker].lease.as_ref().unwrap().table().voters.clone();
        voters.sort_unstable();
        voters
    };
    assert_eq!(voters(&world), [2, 3, 4, 5, 6]);
    // Those who vote no more may go; two of the five may, too.
    (0..4).for_each(|at| world.kill(at));
    world.run(world.now + LEASE * 4);
    assert!(world.chair().is_some_and(|at| at > 3));
    held(&world, "by the new voters");
    world.kept("voters");
}

#[test]
fn clocks_a_twentieth_off_and_frames_doubled_and_late_by_minutes_break_nothing() {
    for seed in 0..6 {
        let mut world = World::new(seed, 5, 3, 3, true);
        for (at, rate) in [0.95, 1.05, 1.0, 1.05, 0.95].into_iter().enumerate() {
            world.nodes[at].rate = rate;
        }
        (0..5).for_each(|at| {
            world.kill(at);
            world.start(at);
        });
        world.again = Some(ms(40_000));
        world.run(ms(8000));
        for n in 0..8u64 {
            let at = (seed as usize + n as usize) % 5;
            world.kill(at);
            world.run(world.now + ms(1500 + 300 * n));
            world.start(at);
            world.run(world.now + ms(4000));
        }
        held(&world, "with odd clocks");
        world.kept("odd clocks");
    }
}

#[test]
fn one_that_falls_behind_gives_its_duties_away_before_its_lease_suffers() {
    let mut world = begun(7, 3, 3, 3);
    let at = world.holder(0).unwrap();
    let began = world.now;
    for _ in 0..6 {
        world.stall(at);
        world.run(world.now + LEASE / 4);
        world.wake(at);
        world.run(world.now + MS * 20);
    }
    assert!(
        world.now < began + LEASE * 2 && world.holder(0).is_some_and(|now| now != at),
        "{:#?}",
        world.logs
    );
    assert!((0..3).all(|duty| world.holder(duty) != Some(at)), "and takes none for a while");
    world.kept("behind");
}

#[test]
fn one_that_loses_its_duties_again_and_again_is_passed_over_for_longer_each_time() {
    let mut world = begun(8, 3, 3, 1);
    world.acts = false;
    let at = world.holder(0).unwrap();
    let mut gaps = Vec::new();
    for _ in 0..4 {
        world.stall(at);
        world.run(world.now + LEASE * 2);
        world.wake(at);
        let lost = world.now;
        // It is the first again when those who have it instead go.
        let others: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        while world.holder(0) != Some(at) {
            assert!(world.now < lost + LEASE * 100, "it never comes back");
            if let Some(holder) = world.holder(0).filter(|holder| others.contains(holder)) {
                world.with(holder, |lease, now| lease.hand_over(now, Duty(0), Some(at as u16)));
            }
            world.run(world.now + MS * 50);
        }
        gaps.push(world.now - lost);
    }
    assert!(gaps.windows(2).all(|pair| pair[1] > pair[0]) && gaps[3] > LEASE * 4, "{gaps:?}");
    world.kept("passed over");
}

fn any_fault(world: &mut World, rng: &mut Pcg64Mcg) {
    let members = world.nodes.len();
    let at = rng.random_range(0..members);
    match rng.random_range(0..10) {
        // Without stores, what all have lost nobody knows: the page says so, and one goes after the other.
        0 | 1 if world.nodes[at].has_disk || world.all_know() => world.kill(at),
        2 if world.nodes[at].lease.is_some() => world.stall(at),
        3 => world.cut_off(at, true, true),
        4 => world.cut_off(at, true, false),
        5 => world.cut_off(at, false, true),
        6 => world.loss = 0.2,
        7 => world.jitter = ms(rng.random_range(5..150)),
        8 => world.nodes[at].full = true,
        _ => {
            if world.nodes[at].lease.is_some() {
                world.with(at, |lease, now| lease.hand_over(now, Duty(0), None));
            }
        }
    }
}

fn heal(world: &mut World) {
    for at in 0..world.nodes.len() {
        world.nodes[at].full = false;
        if world.nodes[at].lease.is_none() {
            world.start(at);
        } else if world.nodes[at].stalled {
            world.wake(at);
        }
    }
    world.cut.clear();
    (world.loss, world.jitter) = (0.0, MS * 2);
}

/// Faults over each other, drawn; `LOTUSSADDLE_SEEDS` says how many days.
#[test]
fn faults_over_each_other_never_make_two_holders() {
    let count = std::env::var("LOTUSSADDLE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60u64);
    for seed in 0..count {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfeed);
        let members = rng.random_range(3..8);
        let voters = if members >= 5 && rng.random() { 5 } else { 3 };
        let mut world = World::new(seed, members, voters, 3, rng.random::<f64>() < 0.7);
        world.run(ms(5000));
        for _ in 0..rng.random_range(2..5) {
            for _ in 0..rng.random_range(1..5) {
                any_fault(&mut world, &mut rng);
                world.run(world.now + ms(rng.random_range(0..1500)));
            }
            world.run(world.now + ms(rng.random_range(0..3000)));
            heal(&mut world);
            world.run(world.now + ms(rng.random_range(0..3000)));
        }
        heal(&mut world);
        world.run(world.now + LEASE * 10);
        held(&world, &format!("seed {seed}"));
        world.kept(&format!("seed {seed}"));
    }
}
