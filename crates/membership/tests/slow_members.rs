//! Members that stall, are slow, are heard one way or flap: who is held gone, and for how long.

mod support;

use std::time::Duration;

use support::SILENCE;
use support::simulation::Simulation;

const SIZES: [usize; 4] = [8, 12, 32, 128];
const SEED: u64 = 23;

fn neighbours(fleet: &Simulation, member: usize) -> Vec<usize> {
    fleet.overlay.neighbours(member as u16).iter().map(|neighbour| usize::from(*neighbour)).collect()
}

#[test]
fn a_stalled_member_is_held_gone_meanwhile_and_reports_nobody() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        let stalled = members / 2;
        fleet.stall(stalled, SILENCE * 5);
        fleet.run_checked(SILENCE * 5, |fleet| assert!(fleet.only_gone(&[stalled]), "{members}"));
        let others: Vec<usize> = (0..members).filter(|member| *member != stalled).collect();
        assert!(fleet.all_hold_gone(&others, &[stalled]), "{members}");
        fleet.run_checked(SILENCE * 2, |fleet| {
            assert!(fleet.only_gone(&[stalled]), "{members}");
            let reported = fleet.membership(stalled).register(stalled as u16).expect("its own").unheard;
            assert_eq!(reported, 0, "{members}");
        });
        assert!(fleet.views_are_right(), "{members}");
    }
}

#[test]
fn a_member_that_resumes_with_a_broken_link_reports_it_after_listening() {
    let mut fleet = Simulation::settled(32, SEED);
    let stalled = 7;
    let lost = neighbours(&fleet, stalled)[0];
    fleet.network.one_way_cuts.insert((lost, stalled));
    fleet.stall(stalled, SILENCE * 3);
    fleet.run_for(SILENCE * 3 + SILENCE);
    assert!(!fleet.membership(stalled).hears(lost as u16));
}

#[test]
fn a_slow_member_makes_nobody_else_gone() {
    for members in SIZES {
        for stall_ms in [300, 450, 900] {
            let mut fleet = Simulation::settled(members, SEED);
            let slow = members / 2;
            for _ in 0..20 {
                fleet.stall(slow, Duration::from_millis(stall_ms));
                let period = Duration::from_millis(stall_ms + 50);
                fleet.run_checked(period, |fleet| {
                    assert!(fleet.only_gone(&[slow]), "{members}, stalls of {stall_ms} ms");
                });
            }
        }
    }
}

#[test]
fn a_member_that_answers_within_the_silence_is_never_held_gone() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        for _ in 0..20 {
            fleet.stall(members / 2, Duration::from_millis(700));
            fleet.run_checked(Duration::from_millis(750), |fleet| assert!(fleet.only_gone(&[]), "{members}"));
        }
    }
}

#[test]
fn a_member_that_one_neighbour_does_not_hear_is_not_held_gone() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        let sender = members / 2;
        let receiver = neighbours(&fleet, sender)[0];
        fleet.network.one_way_cuts.insert((sender, receiver));
        fleet.run_checked(SILENCE * 10, |fleet| assert!(fleet.only_gone(&[]), "{members}"));
        assert!(!fleet.membership(receiver).hears(sender as u16), "{members}");
        assert!(fleet.membership(sender).hears(receiver as u16), "{members}");
    }
}

#[test]
fn a_member_that_a_single_neighbour_hears_is_not_held_gone() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        let sender = members / 2;
        let receiver = neighbours(&fleet, sender).split_off(1);
        fleet.network.one_way_cuts.extend(receiver.iter().map(|neighbour| (sender, *neighbour)));
        fleet.run_checked(SILENCE * 10, |fleet| assert!(fleet.only_gone(&[]), "{members}"));
    }
}

#[test]
fn a_member_that_nobody_hears_is_gone_for_all_and_knows_that_it_has_no_majority() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        let unheard_member = members / 2;
        let cuts: Vec<_> =
            neighbours(&fleet, unheard_member).iter().map(|neighbour| (unheard_member, *neighbour)).collect();
        fleet.network.one_way_cuts.extend(cuts);
        let others: Vec<usize> = (0..members).filter(|member| *member != unheard_member).collect();
        let all_know = |fleet: &Simulation| {
            fleet.all_hold_gone(&others, &[unheard_member])
                && !fleet.membership(unheard_member).has_majority()
        };
        let known = fleet.run_until(SILENCE * 2, all_know);
        assert!(known.is_some(), "{members}");
        fleet.run_checked(SILENCE * 20, |fleet| {
            assert!(fleet.all_hold_gone(&others, &[unheard_member]), "{members}: it flaps");
            assert!(!fleet.membership(unheard_member).has_majority(), "{members}: it flaps");
        });
    }
}

#[test]
fn a_member_that_hears_nobody_holds_nobody_gone() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        let receiver = members / 2;
        let cuts: Vec<_> =
            neighbours(&fleet, receiver).iter().map(|neighbour| (*neighbour, receiver)).collect();
        fleet.network.one_way_cuts.extend(cuts);
        fleet.run_checked(SILENCE * 10, |fleet| assert!(fleet.only_gone(&[receiver]), "{members}"));
        assert!(!fleet.membership(receiver).has_majority(), "{members}");
    }
}

/// Stalls a member for a silence and a half, then lets it answer for as long, again and again; how often the verdict on it changed.
fn flaps_seen(fleet: &mut Simulation, flapping: usize, periods: u32) -> usize {
    let observer = (flapping + 1) % fleet.members();
    let mut changes = 0;
    let mut was_gone = false;
    for _ in 0..periods {
        fleet.stall(flapping, SILENCE * 3 / 2);
        fleet.run_checked(SILENCE * 3, |fleet| {
            let is_gone = fleet.membership(observer).is_gone(flapping as u16);
            changes += usize::from(is_gone != was_gone);
            was_gone = is_gone;
        });
    }
    changes
}

#[test]
fn a_member_that_flaps_stays_gone_after_a_few_times() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        let changes = flaps_seen(&mut fleet, members / 2, 20);
        assert!(changes <= 5, "of {members}, one saw {changes} changes");
    }
}

/// Stalls a member and waits until it is up for all again, several times: the hold-down reaches its bound. How long the last took.
fn last_return_after_flaps(fleet: &mut Simulation, flapping: usize) -> Duration {
    let mut last = Duration::ZERO;
    for flap in 0..9 {
        fleet.stall(flapping, SILENCE * 2);
        fleet.run_for(SILENCE * 2);
        assert!(!fleet.views_are_right(), "flap {flap} was not seen");
        let back = fleet.run_until(SILENCE * 10, Simulation::views_are_right);
        last = back.unwrap_or_else(|| panic!("after flap {flap} it was not up within ten silences"));
    }
    last
}

#[test]
fn a_member_that_flapped_and_answers_is_up_within_ten_silences() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        let last = last_return_after_flaps(&mut fleet, members / 2);
        assert!(last >= SILENCE * 6, "of {members}, it was up after {last:?}, without a hold-down that grew");
    }
}

#[test]
fn a_new_incarnation_clears_the_flap_history() {
    for members in SIZES {
        let mut fleet = Simulation::settled(members, SEED);
        let flapping = members / 2;
        last_return_after_flaps(&mut fleet, flapping);
        fleet.kill(flapping);
        fleet.run_for(SILENCE * 2);
        fleet.start(flapping);
        let back = fleet.run_until(SILENCE * 2, Simulation::views_are_right);
        assert!(back.is_some(), "{members}");
    }
}

#[test]
fn flaps_are_forgotten_after_sixty_four_silences() {
    let mut fleet = Simulation::settled(32, SEED);
    let flapping = 16;
    last_return_after_flaps(&mut fleet, flapping);
    fleet.run_for(SILENCE * 70);
    fleet.stall(flapping, SILENCE * 2);
    fleet.run_for(SILENCE * 2);
    assert!(!fleet.views_are_right());
    let back = fleet.run_until(SILENCE * 2, Simulation::views_are_right);
    assert!(back.is_some());
}

#[test]
fn a_member_without_an_incarnation_is_not_held_gone_and_reports_nothing() {
    let mut fleet = Simulation::settled(32, SEED);
    let member = 9;
    let neighbour = neighbours(&fleet, member)[0];
    fleet.kill(member);
    fleet.run_for(SILENCE * 3);
    fleet.start_without_incarnation(member);
    fleet.run_for(SILENCE * 2);
    assert!(fleet.views_are_right());
    fleet.network.one_way_cuts.insert((neighbour, member));
    fleet.run_for(SILENCE * 3);
    assert!(!fleet.membership(member).hears(neighbour as u16));
    let register = *fleet.membership(neighbour).register(member as u16).expect("the previous register");
    assert!(register.incarnation < fleet.incarnation(member));
    fleet.set_incarnation(member);
    fleet.run_for(SILENCE);
    let register = *fleet.membership(neighbour).register(member as u16).expect("the current register");
    assert_eq!(register.incarnation, fleet.incarnation(member));
    assert_eq!(register.unheard.count_ones(), 1);
}
