//! A small family of virtual-time runs: the counts, the laws that they follow, and what becomes of changes, deaths and cuts.
//!
//! Nothing here rests on real time: counts and virtual times are the same on every machine.

use std::path::PathBuf;
use std::time::Duration;

use lotussaddle_scale::hollow::fleet_plan;
use lotussaddle_scale::plan::ScalePlan;
use lotussaddle_scale::record::{Aggregate, Distribution, Measurement, Observations, Quantity, Role};
use lotussaddle_scale::timeline::Stall;
use lotussaddle_scale::virtual_run::VirtualRunner;
use lotussaddle_scale::{RunContext, Runner};

const SIZES: [usize; 3] = [8, 16, 32];
const TRAFFIC: &str = r#""bytes-sent" "bytes-received" "frames-sent" "frames-received""#;
/// Heartbeats of a member to each of its neighbours, a second: five in a silence of a second.
const HEARTBEATS: f64 = 5.0;
/// Bytes of a heartbeat, whatever the size of the fleet.
const HEARTBEAT_BYTES: f64 = 16.0;
/// Neighbours of a member at most.
const MOST_NEIGHBOURS: f64 = 10.0;
/// Heartbeats of the leader of the lease to each other member, a second: eight a lease of two seconds.
const LEASE_HEARTBEATS: f64 = 4.0;

fn plan(events: &str, measure: &str) -> ScalePlan {
    let text = format!(
        r#"
        name "family"
        mode "virtual"
        sizes 8 16 32
        warm-up "10s"
        duration "20s"
        topology {{ regions 3; zones 4; rack-size 4; services {{ mean-size 4; largest 8; }}; }}
        {events}
        measure {measure}
        bounds {{ memory-mib 2048; processes 4; descriptors 100; time "60s"; }}
        "#
    );
    ScalePlan::read("family.kdl", &text).unwrap_or_else(|mistakes| panic!("{mistakes}"))
}

fn run_with(runner: &VirtualRunner, plan: &ScalePlan, size: usize, seed: u64) -> Observations {
    let context = RunContext { size, seed, executable: PathBuf::new() };
    runner.run(plan, &context).unwrap()
}

fn run(plan: &ScalePlan, size: usize) -> Observations {
    run_with(&VirtualRunner::default(), plan, size, 7)
}

/// The mean of a quantity a member of a role, of one kind of frame or of all.
fn mean(observed: &Observations, quantity: Quantity, role: Role, kind: Option<&str>) -> f64 {
    let is_wanted = |measurement: &&Measurement| {
        measurement.quantity == quantity
            && measurement.aggregate == Aggregate::Mean
            && measurement.role == Some(role)
            && measurement.kind.as_ref().map(|kind| kind.0.as_str()) == kind
    };
    let found = observed.measurements.iter().find(is_wanted);
    found.unwrap_or_else(|| panic!("{quantity} of {role:?}, {kind:?}: {observed:?}")).value
}

fn total(observed: &Observations, quantity: Quantity) -> f64 {
    let found = observed.measurements.iter().find(|measurement| measurement.quantity == quantity);
    found.unwrap_or_else(|| panic!("{quantity}: {observed:?}")).value
}

fn distribution(observed: &Observations, quantity: Quantity) -> &Distribution {
    let found = observed.distributions.iter().find(|distribution| distribution.quantity == quantity);
    found.unwrap_or_else(|| panic!("{quantity}: {observed:?}"))
}

#[track_caller]
fn assert_near(found: f64, expected: f64, share: f64) {
    assert!((found - expected).abs() <= expected * share, "{found}, not {expected} within {share}");
}

/// Neighbours of a member in the overlay of a fleet, on average.
fn mean_neighbours(size: usize) -> f64 {
    let overlay = fleet_plan(size).overlay();
    let neighbours = (0..size).map(|member| overlay.neighbours(member as u16).len());
    neighbours.sum::<usize>() as f64 / size as f64
}

/// A member says that it is there to its neighbours, of which it has ten at most: heartbeats do not grow with the fleet beyond that,
/// those of the leader of the lease do. A fleet at rest says nothing else of its members.
#[test]
fn heartbeats_of_a_member_do_not_grow_beyond_its_neighbours() {
    let plan = plan("", &format!("{TRAFFIC} \"links\" \"false-suspicions\""));
    for size in SIZES {
        let observed = run(&plan, size);
        let others = size as f64 - 1.0;
        let neighbours = mean_neighbours(size);
        assert!(neighbours <= others.min(MOST_NEIGHBOURS) && neighbours >= others.min(8.0), "{neighbours}");
        let of_all = |quantity, kind| mean(&observed, quantity, Role::EdgeProxy, kind);
        assert_near(of_all(Quantity::FramesSent, Some("heartbeat")), HEARTBEATS * neighbours, 0.02);
        assert_near(of_all(Quantity::FramesReceived, Some("heartbeat")), HEARTBEATS * neighbours, 0.02);
        let heartbeat_bytes = HEARTBEATS * neighbours * HEARTBEAT_BYTES;
        assert_near(of_all(Quantity::BytesSent, Some("heartbeat")), heartbeat_bytes, 0.02);
        assert_near(of_all(Quantity::BytesReceived, Some("heartbeat")), heartbeat_bytes, 0.02);
        let kinds = observed.measurements.iter().filter_map(|measurement| measurement.kind.as_ref());
        assert!(kinds.clone().any(|kind| kind.0 == "heartbeat"));
        assert!(kinds.clone().all(|kind| kind.0 != "membership"), "nothing changes, and nothing is told");
        let disk_counts = of_all(Quantity::FramesSent, Some("disk-count"));
        assert!(disk_counts <= HEARTBEATS * neighbours, "one with each heartbeat at most: {disk_counts}");

        let of_leader = mean(&observed, Quantity::FramesSent, Role::Leader, Some("lease-heartbeat"));
        assert_near(of_leader, LEASE_HEARTBEATS * others, 0.05);
        assert_near(total(&observed, Quantity::Links), others, 0.0);
        assert_eq!(total(&observed, Quantity::FalseSuspicions), 0.0);
    }
}

/// What is sent is received, and kinds add up to all.
#[test]
fn counts_of_both_directions_and_of_all_kinds_agree() {
    let plan = plan("", TRAFFIC);
    let observed = run(&plan, 16);
    for (sent, received) in
        [(Quantity::BytesSent, Quantity::BytesReceived), (Quantity::FramesSent, Quantity::FramesReceived)]
    {
        let all_sent = mean(&observed, sent, Role::EdgeProxy, None);
        assert_near(mean(&observed, received, Role::EdgeProxy, None), all_sent, 0.01);
        let of_kinds = observed.measurements.iter().filter(|measurement| {
            measurement.quantity == sent
                && measurement.role == Some(Role::EdgeProxy)
                && measurement.kind.is_some()
        });
        assert_near(of_kinds.map(|measurement| measurement.value).sum(), all_sent, 1e-9);
    }
    for kind in ["copies", "acknowledgement", "comparison", "lease-answer"] {
        assert!(mean(&observed, Quantity::FramesSent, Role::EdgeProxy, Some(kind)) > 0.0, "{kind}");
    }
}

#[test]
fn the_same_seed_gives_the_same_counts_and_another_one_does_not() {
    let plan = plan(r#"changes { a-day 43200; }"#, &format!("{TRAFFIC} \"change-in-force\""));
    let runner = VirtualRunner::default();
    let first = run_with(&runner, &plan, 8, 1);
    assert_eq!(first, run_with(&runner, &plan, 8, 1));
    assert_ne!(first, run_with(&runner, &plan, 8, 2));
}

/// A change every two seconds: each is in force in every member.
#[test]
fn each_change_is_in_force_in_every_member() {
    let plan = plan(r#"changes { a-day 43200; }"#, r#""change-in-force" "bytes-sent""#);
    let observed = run(&plan, 16);
    let in_force = distribution(&observed, Quantity::ChangeInForce);
    assert_eq!(in_force.count, 10 * 16);
    // Two rounds between regions and three votes, each way 80 ms at most.
    assert!(in_force.max < 2_000_000 && in_force.p50 > 20_000, "{in_force:?}");
    assert!(mean(&observed, Quantity::BytesSent, Role::EdgeProxy, Some("publish")) > 0.0);
}

/// A member that stands still holds every change up until it is held gone.
#[test]
fn a_stalled_member_delays_a_change_to_all_others() {
    let plan = plan(r#"changes { a-day 8640; }"#, r#""change-in-force" "false-suspicions""#);
    let calm = run(&plan, 8);
    // The changes are ordered 5 s and 15 s after the warm-up.
    let stall = Stall { member: 3, at: Duration::from_millis(4_900), lasts: Duration::from_secs(8) };
    let stalled = run_with(&VirtualRunner { stalls: vec![stall], ..VirtualRunner::default() }, &plan, 8, 7);
    let (calm, held_up) =
        (distribution(&calm, Quantity::ChangeInForce), distribution(&stalled, Quantity::ChangeInForce));
    assert_eq!((calm.count, held_up.count), (16, 16));
    assert!(held_up.max > calm.max + 1_000_000, "{calm:?}, {held_up:?}");
    assert_eq!(total(&stalled, Quantity::FalseSuspicions), 0.0, "it could not be heard");
}

/// A zone of four goes at once and comes back at once.
#[test]
fn the_death_of_a_zone_is_known_to_all_and_its_return_too() {
    let departure = r#"departure "zone" { at "3s"; back-after "10s"; }"#;
    let plan = plan(departure, r#""death-known" "false-suspicions" "links""#);
    let observed = run(&plan, 16);
    let known = distribution(&observed, Quantity::DeathKnown);
    assert_eq!(known.count, 4 * 12);
    assert!(known.max < 3_000_000 && known.p50 > 1_000_000, "{known:?}");
    assert_eq!(total(&observed, Quantity::FalseSuspicions), 0.0);
    assert_near(total(&observed, Quantity::Links), 15.0, 0.0);
}

/// A change that is ordered in the second after a cut, when the duty's holder is on the other side, is lost and ordered again; the
/// cut region gets it once it is back.
#[test]
fn a_cut_region_gets_changes_once_it_is_back() {
    let events = r#"changes { a-day 8640; }; cut { at "4s"; lasts "6s"; regions 1; }"#;
    let plan = plan(events, r#""change-in-force" "false-suspicions" "links""#);
    let observed = run(&plan, 16);
    let in_force = distribution(&observed, Quantity::ChangeInForce);
    assert_eq!(in_force.count, 2 * 16);
    assert!(in_force.max > 5_000_000 && in_force.max < 12_000_000, "{in_force:?}");
    assert_eq!(total(&observed, Quantity::FalseSuspicions), 0.0, "they were out of reach");
    assert_near(total(&observed, Quantity::Links), 15.0, 0.0);
}

/// A run that passes its bounds ends and gives no figures.
#[test]
fn a_run_past_its_time_ends_with_an_error() {
    let mut plan = plan("", TRAFFIC);
    plan.bounds.time = Duration::ZERO;
    let context = RunContext { size: 8, seed: 1, executable: PathBuf::new() };
    let error = VirtualRunner::default().run(&plan, &context).unwrap_err();
    assert!(error.to_string().contains("time on the wall"), "{error}");
}
