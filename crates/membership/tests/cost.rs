//! Bytes that a member sends: at rest, in the worst ten seconds of each event, and under a storm that does not end.

mod support;

use lotussaddle_membership::{MemberIndex, Message};
use support::simulation::Simulation;
use support::{SILENCE, region, zone};

const SEED: u64 = 41;
/// The bound of ten seconds, heartbeats included.
const MAX_BYTES_IN_TEN_SECONDS: u64 = 100_000;
/// Ten neighbours, five heartbeats a second, nine bytes each.
const STEADY_BYTES_A_SECOND: u64 = 450;
const STEADY_SECONDS: u32 = 10;

fn worst_window(fleet: &Simulation) -> u64 {
    (0..fleet.members()).map(|member| fleet.sent(member).worst_window).max().expect("there are members")
}

/// Simulates the events of a fleet; returns the maximum of the bytes that a member sent in any ten seconds.
fn worst_of_all_events(members: usize) -> u64 {
    let mut fleet = Simulation::settled(members, SEED);
    let zone: Vec<usize> = zone(members).collect();
    zone.iter().for_each(|member| fleet.kill(*member));
    fleet.run_for(SILENCE * 3);
    zone.iter().for_each(|member| fleet.start(*member));
    fleet.run_for(SILENCE * 8);
    fleet.network.cut_off = region(members).collect();
    fleet.run_for(SILENCE * 3);
    fleet.network.cut_off.clear();
    fleet.run_for(SILENCE * 3);
    assert!(fleet.views_are_right(), "{members}");
    worst_window(&fleet)
}

#[test]
fn no_event_of_small_fleets_costs_more_than_the_bound() {
    for members in [8, 16, 32, 64, 128, 256] {
        let worst = worst_of_all_events(members);
        assert!(worst < MAX_BYTES_IN_TEN_SECONDS, "of {members}, one sent {worst} bytes in ten seconds");
    }
}

#[test]
fn no_event_of_512_members_costs_more_than_the_bound() {
    let worst = worst_of_all_events(512);
    assert!(worst < MAX_BYTES_IN_TEN_SECONDS, "one sent {worst} bytes in ten seconds");
}

#[test]
fn no_event_of_1024_members_costs_more_than_the_bound() {
    let worst = worst_of_all_events(1024);
    assert!(worst < MAX_BYTES_IN_TEN_SECONDS, "one sent {worst} bytes in ten seconds");
}

/// Run by hand: `cargo test --release -p lotussaddle-membership --test cost -- --ignored`.
#[test]
#[ignore = "minutes long: all events of 4,100 members"]
fn no_event_of_4100_members_costs_more_than_the_bound() {
    let worst = worst_of_all_events(4100);
    assert!(worst < MAX_BYTES_IN_TEN_SECONDS, "one sent {worst} bytes in ten seconds");
}

#[test]
fn at_rest_a_member_sends_heartbeats_alone_at_all_sizes() {
    for members in [8, 16, 32, 64, 128, 256, 512, 1024] {
        let mut fleet = Simulation::settled(members, SEED);
        fleet.restart_counts();
        fleet.run_for(SILENCE * STEADY_SECONDS);
        let most = (0..members).map(|member| fleet.sent(member).total).max().expect("there are members");
        // Heartbeats of one more period may fall into the time.
        let bound = STEADY_BYTES_A_SECOND * u64::from(STEADY_SECONDS) + 90;
        assert!(most <= bound, "of {members}, one sent {most} bytes");
        assert!(most >= bound / 2 || members < 11, "of {members}, heartbeats are missing: {most} bytes");
    }
}

#[test]
fn a_storm_of_changes_that_does_not_end_keeps_to_the_bound() {
    let members = 256;
    let mut fleet = Simulation::settled(members, SEED);
    for step in 0..300 {
        for member in 0..members {
            let incarnation = fleet.incarnation(member);
            let now = fleet.now;
            fleet.membership_mut(member).set_self(now, incarnation, step % 2 == 0);
        }
        fleet.run_for(SILENCE / 10);
    }
    let worst = worst_window(&fleet);
    assert!(worst < MAX_BYTES_IN_TEN_SECONDS, "one sent {worst} bytes in ten seconds");
    assert!(worst > MAX_BYTES_IN_TEN_SECONDS / 2, "the storm was too weak: {worst} bytes in ten seconds");
    fleet.run_for(SILENCE * 30);
    assert!(fleet.registers_are_equal());
    assert!(fleet.views_are_right());
}

#[test]
fn requests_that_do_not_end_keep_to_the_bound() {
    let mut fleet = Simulation::settled(256, SEED);
    let victim = 100;
    let neighbours = fleet.overlay.neighbours(victim as MemberIndex).to_vec();
    fleet.run_for(SILENCE * 10);
    fleet.restart_counts();
    for step in 0..1_500u16 {
        for neighbour in &neighbours {
            let request = Message::BucketRequest(vec![step % 4, (step + 1) % 4]);
            fleet.inject(victim, usize::from(*neighbour), &request);
        }
        fleet.run_for(SILENCE / 50);
    }
    let sent = fleet.sent(victim);
    assert!(sent.total > 30_000, "it answered with {} bytes", sent.total);
    // Its heartbeats, and the allowance of repair: 6,000 bytes at once and 1,500 a second.
    let bound = STEADY_BYTES_A_SECOND * 10 + 6_000 + 1_500 * 10 + 500;
    assert!(sent.worst_window <= bound, "it sent {} bytes in ten seconds", sent.worst_window);
}

#[test]
fn a_flood_reaches_all_of_1024_without_repair() {
    let mut fleet = Simulation::settled(1024, SEED);
    let member = 300;
    let now = fleet.now;
    let incarnation = fleet.incarnation(member);
    fleet.membership_mut(member).set_self(now, incarnation, false);
    fleet.run_for(SILENCE * 9 / 10);
    let knows = |observer: usize| {
        let register = fleet.membership(observer).register(member as MemberIndex).expect("it is known");
        !register.caught_up
    };
    let uninformed = (0..1024).filter(|observer| !knows(*observer)).count();
    assert_eq!(uninformed, 0, "some do not know after nine tenths of a silence");
}
