//! How long a duty has no holder after its holder is killed, stalled or isolated; the number of frames sent by groups of various sizes;
//! and changes of holder over a day with packet loss. All in virtual time, so that each run gives the same figures.

#[allow(dead_code)]
#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Duration;

use world::{LEASE, MS, World, ms};

fn percentile(all: &mut [Duration], share: f64) -> f64 {
    all.sort_unstable();
    all[((all.len() - 1) as f64 * share).round() as usize].as_secs_f64() / LEASE.as_secs_f64()
}

/// Measures the time from the failure of a holder until another member holds its duty, and for how much of it the duty had no holder.
fn measure_failover(failure: &str, of_leader: bool) {
    let (mut taken, mut vacant) = (Vec::new(), Vec::new());
    for seed in 0..400 {
        let mut world = World::new(seed, 5, 3, 5, true);
        world.holders_act = false;
        world.run_until(ms(6000));
        let leader = world.leader().expect("a leader is elected");
        let holders: Vec<usize> = (0..5).filter_map(|duty| world.holder(duty)).collect();
        let Some(at) = holders.into_iter().find(|at| (*at == leader) == of_leader) else { continue };
        let duty = (0..5).find(|duty| world.holder(*duty) == Some(at)).expect("the member holds a duty");
        // At a varying moment between two heartbeats.
        world.run_until(world.now + ms(seed % 250));
        let failed_at = world.now;
        match failure {
            "kill" => world.kill(at),
            "stop" => world.stall(at),
            _ => world.isolate(at, true, true),
        }
        let mut vacant_from = (failure != "cut").then_some(failed_at);
        while world.holder(duty).is_none_or(|holder| holder == at) {
            if world.holder(duty).is_none() && vacant_from.is_none() {
                vacant_from = Some(world.now);
            }
            world.run_until(world.now + MS * 5);
            assert!(world.now < failed_at + LEASE * 20, "{failure} {seed}: no other member holds the duty");
        }
        taken.push(world.now - failed_at);
        vacant.push(world.now - vacant_from.unwrap_or(world.now));
    }
    let whom = if of_leader { "the leader" } else { "a holder" };
    println!(
        "{failure} of {whom}, {} times, in leases: held by another after p50 {:.2}, p99 {:.2}; no holder for p50 {:.2}, p99 {:.2}",
        taken.len(),
        percentile(&mut taken, 0.5),
        percentile(&mut taken, 0.99),
        percentile(&mut vacant, 0.5),
        percentile(&mut vacant, 0.99),
    );
}

fn measure_traffic(members: usize, duties: u16) {
    let mut world = World::new(1, members, 5.min(members), duties, true);
    world.holders_act = false;
    world.run_until(ms(10_000));
    let before = world.sent_frames;
    world.run_until(ms(20_000));
    println!(
        "{members} members, {duties} duties: {:.0} frames a lease",
        (world.sent_frames - before) as f64 / 10.0
    );
}

fn measure_stability(hours: u64) {
    let mut world = World::new(1, 5, 5, 5, true);
    world.holders_act = false;
    world.run_until(ms(6000));
    (world.loss, world.jitter) = (0.01, ms(50));
    let (acquisitions, elections) = (world.acquisitions, world.elections);
    world.run_until(ms(hours * 3_600_000));
    println!(
        "{hours} h, 1% lost, up to 50 ms late: {} changes of holder, {} of the leader",
        world.acquisitions - acquisitions,
        world.elections - elections
    );
}

fn main() {
    // `cargo test` also runs benches, without this argument.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    for failure in ["kill", "stop", "cut"] {
        measure_failover(failure, false);
        measure_failover(failure, true);
    }
    for members in [3, 5, 16, 64, 300] {
        for duties in [1, 10, 100] {
            measure_traffic(members, duties);
        }
    }
    measure_stability(24);
}
