//! Elections and leases under faults between members, in virtual time.

mod world;

use lotussaddle_lease::{Duty, LeaseMessage};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use world::{LEASE, MS, World, ms};

/// Asserts that every duty has a holder.
fn assert_all_held(world: &World, context: &str) {
    for duty in 0..world.duties {
        assert!(
            world.holder(duty).is_some(),
            "{context}: duty {duty} has no holder at {:?}: {:#?}",
            world.now,
            world.logs
        );
    }
}

fn settled_world(seed: u64, members: usize, voters: usize, duties: u16) -> World {
    let mut world = World::new(seed, members, voters, duties, true);
    world.run_until(ms(6000));
    assert_all_held(&world, "after the start");
    world
}

#[test]
fn each_duty_has_one_holder_and_duties_are_spread_over_the_members() {
    for (members, voters) in [(3, 3), (5, 3), (5, 5), (7, 7), (12, 5)] {
        let mut world = settled_world(1, members, voters, 6);
        world.run_until(ms(20_000));
        world.assert_invariants("no faults");
        assert_eq!(world.elections, 1, "{:#?}", world.logs);
        assert_eq!(world.acquisitions, 6, "no member loses a duty");
        let holders: std::collections::BTreeSet<_> = (0..6).filter_map(|duty| world.holder(duty)).collect();
        assert!(holders.len() >= members.min(6), "{holders:?}");
        assert!(world.refused_acts == 0 && world.accepted_acts.len() > 100);
    }
}

#[test]
fn killed_holder_is_replaced_within_two_leases() {
    for seed in 0..20 {
        let mut world = settled_world(seed, 5, 3, 3);
        let at = world.holder(1).unwrap();
        world.kill(at);
        let killed_at = world.now;
        world.run_until(killed_at + LEASE * 2);
        assert_all_held(&world, "after a kill");
        world.start(at);
        world.run_until(killed_at + LEASE * 6);
        assert_all_held(&world, "after the restart");
        world.assert_invariants("kill");
    }
}

#[test]
fn killed_leader_is_replaced_and_other_holders_keep_their_duties() {
    for seed in 0..20 {
        let mut world = settled_world(seed, 5, 5, 4);
        let (leader, acquisitions) = (world.leader().unwrap(), world.acquisitions);
        let of_leader = (0..4).filter(|duty| world.holder(*duty) == Some(leader)).count();
        world.kill(leader);
        let killed_at = world.now;
        world.run_until(killed_at + LEASE * 2);
        assert_all_held(&world, "after a kill");
        world.run_until(killed_at + LEASE * 4);
        assert_eq!(
            world.acquisitions - acquisitions,
            of_leader,
            "other holders keep their duties: {:#?}",
            world.logs
        );
        world.assert_invariants("kill of the leader");
    }
}

#[test]
fn stalled_holder_loses_its_duty_and_its_late_acts_are_refused() {
    for seed in 0..20 {
        let mut world = settled_world(seed, 5, 3, 2);
        let at = world.holder(0).unwrap();
        world.stall(at);
        let stalled_at = world.now;
        world.run_until(stalled_at + LEASE * 3);
        let next = world.holder(0).unwrap();
        assert_ne!(next, at);
        let refused = world.refused_acts;
        world.resume(at);
        world.run_until(stalled_at + LEASE * 5);
        assert!(world.refused_acts > refused, "acts under its previous token");
        assert_eq!(world.holder(0), Some(next));
        world.assert_invariants("stall");
    }
}

#[test]
fn isolated_member_causes_no_election_and_holds_nothing() {
    for (inbound, outbound) in [(true, true), (true, false), (false, true)] {
        for seed in 0..8 {
            let mut world = settled_world(seed, 5, 5, 5);
            let leader = world.leader().unwrap();
            let at = (0..5).find(|at| *at != leader).unwrap();
            world.isolate(at, inbound, outbound);
            let (cut_at, elections) = (world.now, world.elections);
            world.run_until(cut_at + LEASE * 10);
            assert_all_held(&world, "while one member is isolated");
            assert!(
                (0..5).all(|duty| world.holder(duty) != Some(at)),
                "the isolated member holds a duty: {inbound} {outbound}"
            );
            assert!(world.nodes[at].held.is_empty(), "and it was notified of the loss");
            world.cut_links.clear();
            world.run_until(cut_at + LEASE * 14);
            assert_all_held(&world, "after the links are restored");
            assert_eq!(
                world.elections, elections,
                "no election is held: {inbound} {outbound} {:#?}",
                world.logs
            );
            world.assert_invariants("isolation");
        }
    }
}

#[test]
fn leader_without_a_majority_steps_down_and_no_duty_is_held_without_a_majority() {
    // Checkpoints change the table, and without a majority that alone would end the leases; idle holders have to lose theirs as well.
    for holders_act in [true, false] {
        run_without_a_majority(holders_act);
    }
}

fn run_without_a_majority(holders_act: bool) {
    let mut world = settled_world(3, 5, 5, 3);
    world.holders_act = holders_act;
    let leader = world.leader().unwrap();
    let companion = (0..5).find(|at| *at != leader).unwrap();
    // The leader and one other member on one side, three members on the other.
    for a in [leader, companion] {
        for b in (0..5).filter(|b| *b != leader && *b != companion) {
            world.cut_links.extend([(a, b), (b, a)]);
        }
    }
    let cut_at = world.now;
    world.run_until(cut_at + LEASE * 3);
    assert!(world.leader().is_some_and(|now| now != leader && now != companion));
    assert!((0..3).all(|duty| world.holder(duty).is_some_and(|at| at != leader && at != companion)));
    // Then nobody has a majority for an hour, until all links are restored at once.
    for a in 0..5 {
        world.isolate(a, true, true);
    }
    world.run_until(cut_at + LEASE * 10);
    assert!((0..3).all(|duty| world.holder(duty).is_none()) && world.leader().is_none());
    let accepted = world.accepted_acts.len();
    world.run_until(cut_at + ms(3_600_000));
    assert_eq!(world.accepted_acts.len(), accepted, "no act is accepted without a majority");
    world.cut_links.clear();
    let restored_at = world.now;
    world.run_until(restored_at + LEASE * 4);
    assert_all_held(&world, "after the links are restored");
    world.assert_invariants("no majority");
}

#[test]
fn all_voters_killed_at_once_continue_from_disk_or_start_anew_without_one() {
    for disks in [true, false] {
        let mut world = World::new(5, 5, 3, 3, disks);
        world.run_until(ms(6000));
        assert_all_held(&world, "after the start");
        let highest = world.accepted_acts.iter().map(|act| act.2).max().unwrap();
        (0..3).for_each(|at| world.kill(at));
        world.run_until(ms(7000));
        (0..3).for_each(|at| world.start(at));
        world.run_until(ms(16_000));
        assert_all_held(&world, "after the restart");
        let last_highest = world.accepted_acts.iter().map(|act| act.2).max().unwrap();
        assert!(last_highest > highest, "tokens keep increasing: {last_highest:?}");
        world.assert_invariants("all voters killed");
    }
}

#[test]
fn voter_with_a_lost_or_outdated_disk_recovers_what_others_know() {
    for seed in 0..10 {
        let mut world = settled_world(seed, 3, 3, 3);
        let old = world.nodes[1].disk.clone();
        let at = world.holder(0).unwrap();
        world.kill(at);
        world.run_until(ms(9000));
        world.start(at);
        world.run_until(ms(12_000));
        // The disk has an older state, or nothing.
        world.kill(1);
        world.nodes[1].disk = old.filter(|_| seed % 2 == 0);
        world.run_until(ms(12_500));
        world.start(1);
        if seed % 2 == 0 {
            // Peers know that its disk had a later state; the member is notified of it at its start.
            world.with_lease(1, |lease, now| lease.mark_state_stale(now));
        }
        world.run_until(ms(18_000));
        assert_all_held(&world, "with one voter that lost its disk");
        let other = (0..3).find(|at| *at != 1 && world.leader() != Some(*at)).unwrap();
        world.kill(other);
        world.run_until(ms(24_000));
        assert_all_held(&world, "the voter votes again");
        world.assert_invariants("disk lost");
    }
}

#[test]
fn nothing_is_committed_while_disks_of_two_of_three_voters_are_full() {
    let mut world = settled_world(2, 4, 3, 4);
    world.holders_act = false;
    world.nodes[0].disk_full = true;
    world.nodes[1].disk_full = true;
    world.nodes[2].disk_full = false;
    let holder = world.holder(3).unwrap();
    world.kill(holder);
    let killed_at = world.now;
    world.run_until(killed_at + LEASE * 4);
    assert!(world.holder(3).is_none(), "a table that two of three voters cannot persist is not committed");
    world.nodes[0].disk_full = false;
    world.nodes[1].disk_full = false;
    world.run_until(killed_at + LEASE * 12);
    assert_all_held(&world, "after the disks have space again");
    world.assert_invariants("full disks");
}

#[test]
fn hand_over_takes_less_than_100_ms_and_passes_the_last_checkpoint() {
    for seed in 0..10 {
        let mut world = settled_world(seed, 5, 3, 2);
        let (at, leader) = (world.holder(0).unwrap(), world.leader().unwrap());
        // To the member that an operator names, then three hand-overs in a row, each during the previous one.
        let to = (0..5).find(|other| *other != at && *other != leader).unwrap();
        let asker = (0..5).find(|other| *other != at).unwrap();
        world.with_lease(asker, |lease, now| {
            lease.send_to_leader(now, LeaseMessage::MoveDuty { duty: Duty(0), to: Some(to as u16) })
        });
        world.run_until(world.now + ms(100));
        assert_eq!(world.holder(0), Some(to), "{:#?}", world.logs);
        for n in 0..3 {
            let at = world.holder(0).or_else(|| world.holder(1)).unwrap();
            world.with_lease(at, |lease, now| lease.hand_over(now, Duty(0), None));
            world.run_until(world.now + MS * (2 + n));
        }
        world.run_until(world.now + ms(100));
        assert_all_held(&world, "after the hand-overs");
        // The leader shuts down: it holds nothing afterwards, and its successor need not wait for a time-out.
        let leader = world.leader().unwrap();
        let started_at = world.now;
        world.with_lease(leader, |lease, now| lease.shut_down(now));
        world.run_until(started_at + ms(100));
        assert_all_held(&world, "during the shutdown");
        assert!(world.nodes[leader].lease.as_ref().unwrap().is_shut_down(), "{:#?}", world.logs);
        world.kill(leader);
        world.run_until(started_at + ms(400));
        assert!(world.leader().is_some());
        assert_all_held(&world, "after the shutdown");
        world.assert_invariants("hand-over");
    }
}

#[test]
fn voters_change_one_at_a_time_and_the_new_set_can_elect() {
    let mut world = settled_world(4, 7, 3, 2);
    let asker = 5;
    world.with_lease(asker, |lease, now| {
        lease.send_to_leader(now, LeaseMessage::ChangeVoters { voters: vec![2, 3, 4, 5, 6] })
    });
    world.run_until(world.now + ms(1000));
    let voters = |world: &World| {
        let mut voters = world.nodes[asker].lease.as_ref().unwrap().table().voters.clone();
        voters.sort_unstable();
        voters
    };
    assert_eq!(voters(&world), [2, 3, 4, 5, 6]);
    // The former voters and two of the five new ones may fail.
    (0..4).for_each(|at| world.kill(at));
    world.run_until(world.now + LEASE * 4);
    assert!(world.leader().is_some_and(|at| at > 3));
    assert_all_held(&world, "with the new voters");
    world.assert_invariants("change of voters");
}

#[test]
fn clock_drift_of_5_percent_and_late_duplicate_frames_break_no_invariant() {
    for seed in 0..6 {
        let mut world = World::new(seed, 5, 3, 3, true);
        for (at, rate) in [0.95, 1.05, 1.0, 1.05, 0.95].into_iter().enumerate() {
            world.nodes[at].rate = rate;
        }
        (0..5).for_each(|at| {
            world.kill(at);
            world.start(at);
        });
        world.duplicate_after = Some(ms(40_000));
        world.run_until(ms(8000));
        for n in 0..8u64 {
            let at = (seed as usize + n as usize) % 5;
            world.kill(at);
            world.run_until(world.now + ms(1500 + 300 * n));
            world.start(at);
            world.run_until(world.now + ms(4000));
        }
        assert_all_held(&world, "with drifting clocks");
        world.assert_invariants("drifting clocks");
    }
}

#[test]
fn member_that_falls_behind_hands_its_duties_over_before_its_lease_expires() {
    let mut world = settled_world(7, 3, 3, 3);
    let at = world.holder(0).unwrap();
    let started_at = world.now;
    for _ in 0..6 {
        world.stall(at);
        world.run_until(world.now + LEASE / 4);
        world.resume(at);
        world.run_until(world.now + MS * 20);
    }
    assert!(
        world.now < started_at + LEASE * 2 && world.holder(0).is_some_and(|now| now != at),
        "{:#?}",
        world.logs
    );
    assert!((0..3).all(|duty| world.holder(duty) != Some(at)), "and it takes none for a while");
    world.assert_invariants("falling behind");
}

#[test]
fn member_that_repeatedly_loses_its_duties_is_passed_over_for_longer_each_time() {
    let mut world = settled_world(8, 3, 3, 1);
    world.holders_act = false;
    let at = world.holder(0).unwrap();
    let mut gaps = Vec::new();
    for _ in 0..4 {
        world.stall(at);
        world.run_until(world.now + LEASE * 2);
        world.resume(at);
        let lost = world.now;
        // Other holders hand the duty over to it, so that it gets the duty as soon as it is eligible.
        let others: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        while world.holder(0) != Some(at) {
            assert!(world.now < lost + LEASE * 100, "the member never gets the duty back");
            if let Some(holder) = world.holder(0).filter(|holder| others.contains(holder)) {
                world.with_lease(holder, |lease, now| lease.hand_over(now, Duty(0), Some(at as u16)));
            }
            world.run_until(world.now + MS * 50);
        }
        gaps.push(world.now - lost);
    }
    assert!(gaps.windows(2).all(|pair| pair[1] > pair[0]) && gaps[3] > LEASE * 4, "{gaps:?}");
    world.assert_invariants("passed over");
}

fn inject_random_fault(world: &mut World, rng: &mut Pcg64Mcg) {
    let members = world.nodes.len();
    let at = rng.random_range(0..members);
    match rng.random_range(0..10) {
        // Without disks, state lost by all members at once cannot be recovered, so members are then killed one after the other.
        0 | 1 if world.nodes[at].has_disk || world.all_consistent() => world.kill(at),
        2 if world.nodes[at].lease.is_some() => world.stall(at),
        3 => world.isolate(at, true, true),
        4 => world.isolate(at, true, false),
        5 => world.isolate(at, false, true),
        6 => world.loss = 0.2,
        7 => world.jitter = ms(rng.random_range(5..150)),
        8 => world.nodes[at].disk_full = true,
        _ => {
            if world.nodes[at].lease.is_some() {
                world.with_lease(at, |lease, now| lease.hand_over(now, Duty(0), None));
            }
        }
    }
}

fn repair_all_faults(world: &mut World) {
    for at in 0..world.nodes.len() {
        world.nodes[at].disk_full = false;
        if world.nodes[at].lease.is_none() {
            world.start(at);
        } else if world.nodes[at].stalled {
            world.resume(at);
        }
    }
    world.cut_links.clear();
    (world.loss, world.jitter) = (0.0, MS * 2);
}

/// Random overlapping faults; `LOTUSSADDLE_SEEDS` sets the number of seeds.
#[test]
fn overlapping_faults_never_lead_to_two_holders() {
    let count = std::env::var("LOTUSSADDLE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60u64);
    for seed in 0..count {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfeed);
        let members = rng.random_range(3..8);
        let voters = if members >= 5 && rng.random() { 5 } else { 3 };
        let mut world = World::new(seed, members, voters, 3, rng.random::<f64>() < 0.7);
        world.run_until(ms(5000));
        for _ in 0..rng.random_range(2..5) {
            for _ in 0..rng.random_range(1..5) {
                inject_random_fault(&mut world, &mut rng);
                world.run_until(world.now + ms(rng.random_range(0..1500)));
            }
            world.run_until(world.now + ms(rng.random_range(0..3000)));
            repair_all_faults(&mut world);
            world.run_until(world.now + ms(rng.random_range(0..3000)));
        }
        repair_all_faults(&mut world);
        world.run_until(world.now + LEASE * 10);
        assert_all_held(&world, &format!("seed {seed}"));
        world.assert_invariants(&format!("seed {seed}"));
    }
}
