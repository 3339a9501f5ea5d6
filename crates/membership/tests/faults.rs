//! Deaths, returns, cuts and splits: what the views become, and within which time.

mod support;

use std::time::Duration;

use support::simulation::Simulation;
use support::{SILENCE, region, zone};

const SIZES: [usize; 6] = [8, 16, 32, 64, 128, 256];
const SEED: u64 = 11;

#[test]
fn a_death_is_known_to_all_within_two_silences() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        fleet.kill(members / 3);
        let known = fleet.run_until(SILENCE * 2, Simulation::views_are_right);
        assert!(known.is_some(), "of {members}, some do not know after two silences");
    }
}

#[test]
fn a_return_is_known_to_all_within_two_silences() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        fleet.kill(members / 3);
        fleet.run_for(SILENCE * 4);
        fleet.start(members / 3);
        let known = fleet.run_until(SILENCE * 2, |fleet| fleet.only_gone(&[]) && fleet.views_are_right());
        assert!(known.is_some(), "of {members}, some do not know after two silences");
    }
}

#[test]
fn a_zone_that_goes_and_returns_at_once_is_known_and_nobody_else_is_held_gone() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        let zone: Vec<usize> = zone(members).collect();
        zone.iter().for_each(|member| fleet.kill(*member));
        fleet.run_checked(SILENCE * 2, |fleet| assert!(fleet.only_gone(&zone), "{members}"));
        assert!(fleet.views_are_right(), "of {members}, some do not know that the zone is gone");
        zone.iter().for_each(|member| fleet.start(*member));
        fleet.run_checked(SILENCE * 2, |fleet| assert!(fleet.only_gone(&zone), "{members}"));
        assert!(fleet.views_are_right(), "of {members}, some do not know that the zone is back");
        let equal = fleet.run_until(SILENCE * 8, Simulation::registers_are_equal);
        assert!(equal.is_some(), "of {members}, some have other registers");
    }
}

#[test]
fn a_region_cut_off_holds_nobody_gone_and_is_held_gone_by_the_others() {
    for members in [16, 32, 64, 128, 256, 512] {
        let mut fleet = Simulation::settled(members, SEED);
        let inside: Vec<usize> = region(members).collect();
        let outside: Vec<usize> = (0..members).filter(|member| !inside.contains(member)).collect();
        fleet.network.cut_off = inside.iter().copied().collect();
        fleet.run_checked(SILENCE * 2, |fleet| assert!(fleet.only_gone(&inside), "{members}"));
        assert!(fleet.all_hold_gone(&outside, &inside), "of {members}, some outside do not know");
        let knows = |member: &usize| !fleet.membership(*member).has_majority();
        assert!(inside.iter().all(knows), "of {members}, some inside do not know");
        fleet.run_checked(SILENCE * 10, |fleet| {
            assert!(fleet.all_hold_gone(&outside, &inside), "{members}");
            assert!(fleet.only_gone(&inside), "{members}");
        });
    }
}

#[test]
fn a_healed_cut_ends_with_nobody_gone_and_equal_registers_within_eight_silences() {
    for members in [16, 64, 256, 512] {
        let mut fleet = Simulation::settled(members, SEED);
        let inside: Vec<usize> = region(members).collect();
        fleet.network.cut_off = inside.iter().copied().collect();
        fleet.run_for(SILENCE * 20);
        let restarted_inside = inside[0];
        let restarted_outside = (inside[0] + members / 2) % members;
        fleet.start(restarted_inside);
        fleet.start(restarted_outside);
        fleet.run_for(SILENCE * 20);
        fleet.network.cut_off.clear();
        fleet.run_checked(SILENCE * 8, |fleet| assert!(fleet.only_gone(&inside), "{members}"));
        assert!(fleet.views_are_right(), "of {members}, some hold others gone");
        assert!(fleet.registers_are_equal(), "of {members}, some have other registers");
        for observer in 0..members {
            for member in [restarted_inside, restarted_outside] {
                let register = fleet.membership(observer).register(member as u16).expect("it is known");
                assert_eq!(register.incarnation, fleet.incarnation(member), "{members}");
            }
        }
    }
}

#[test]
fn in_an_even_split_nobody_is_held_gone() {
    for members in [8, 16, 64, 256] {
        let mut fleet = Simulation::settled(members, SEED);
        fleet.network.cut_off = (0..members / 2).collect();
        fleet.run_checked(SILENCE * 10, |fleet| assert!(fleet.only_gone(&[]), "{members}"));
        assert!((0..members).all(|member| !fleet.membership(member).has_majority()), "{members}");
    }
}

#[test]
fn when_half_of_all_die_the_others_hold_nobody_gone_once_all_reports_are_in() {
    for members in [8, 16, 64, 256] {
        let mut fleet = Simulation::settled(members, SEED);
        (0..members).filter(|member| member % 2 == 0).for_each(|member| fleet.kill(member));
        fleet.run_for(SILENCE * 3);
        let up: Vec<usize> = fleet.up().collect();
        assert!(up.iter().all(|member| !fleet.membership(*member).has_majority()), "{members}");
        assert!(fleet.only_gone(&[]), "{members}");
    }
}

#[test]
fn when_half_of_all_die_no_survivor_of_it_is_held_gone_meanwhile() {
    for members in [64, 256] {
        let mut fleet = Simulation::settled(members, SEED);
        let dead: Vec<usize> = (0..members / 2).collect();
        dead.iter().for_each(|member| fleet.kill(*member));
        fleet.run_checked(SILENCE * 5, |fleet| assert!(fleet.only_gone(&dead), "{members}"));
    }
}

#[test]
fn a_quarter_of_all_dead_is_known_to_all_others() {
    for members in [16, 64, 256] {
        let mut fleet = Simulation::settled(members, SEED);
        (0..members).filter(|member| member % 4 == 1).for_each(|member| fleet.kill(member));
        let known = fleet.run_until(SILENCE * 2, Simulation::views_are_right);
        assert!(known.is_some(), "{members}");
    }
}

#[test]
fn all_start_at_once_and_nobody_is_ever_held_gone() {
    for members in [8, 16, 64, 256] {
        let mut fleet = Simulation::started(members, SEED);
        fleet.run_checked(SILENCE * 5, |fleet| assert!(fleet.only_gone(&[]), "{members}"));
        assert!(fleet.registers_are_equal(), "{members}");
    }
}

#[test]
fn a_member_alone_of_many_that_have_not_started_has_no_majority() {
    let mut fleet = Simulation::empty(64, SEED);
    fleet.start(5);
    fleet.run_for(SILENCE * 2);
    assert!(!fleet.membership(5).has_majority());
    assert_eq!(fleet.membership(5).gone_count(), 0);
}

#[test]
fn a_fleet_of_one_has_a_majority() {
    let mut fleet = Simulation::started(1, SEED);
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.views_are_right());
}
