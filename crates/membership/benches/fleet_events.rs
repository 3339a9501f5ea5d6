//! Prints what events of a fleet cost, by size: `cargo bench -p lotussaddle-membership --bench fleet_events -- 64 256`.
//!
//! Bytes are those of encoded messages that a member sends. Processor time includes the simulated network and the checks.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use support::simulation::Simulation;
use support::{SILENCE, region, zone};

const SEED: u64 = 1;
const DEFAULT_SIZES: [usize; 8] = [8, 16, 32, 64, 128, 256, 512, 1024];
/// The period over which bytes are counted, from the event on.
const PERIOD: Duration = Duration::from_secs(10);
/// An event that takes longer than this has not ended.
const EVENT_TIME_LIMIT: Duration = Duration::from_secs(60);
const WINDOW_SECONDS: f64 = 10.0;

fn main() {
    let arguments: Vec<usize> = std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    let sizes = if arguments.is_empty() { DEFAULT_SIZES.to_vec() } else { arguments };
    println!(
        "| members | case | views right, ms | registers equal, ms | bytes/s | worst | frames/s | processor, ms a second |"
    );
    println!("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    sizes.into_iter().for_each(measure_size);
}

fn measure_size(members: usize) {
    let mut fleet = Simulation::empty(members, SEED);
    let zone: Vec<usize> = zone(members).collect();
    let inside: Vec<usize> = region(members).collect();
    let outside: Vec<usize> = (0..members).filter(|member| !inside.contains(member)).collect();

    (0..members).for_each(|member| fleet.start(member));
    measure(&mut fleet, "all start at once", Simulation::views_are_right, Simulation::registers_are_equal);
    measure(&mut fleet, "steady", |_| true, |_| true);
    zone.iter().for_each(|member| fleet.kill(*member));
    measure(&mut fleet, "zone lost", Simulation::views_are_right, Simulation::registers_are_equal);
    zone.iter().for_each(|member| fleet.start(*member));
    let all_back = |fleet: &Simulation| fleet.only_gone(&[]) && fleet.views_are_right();
    measure(&mut fleet, "zone back", all_back, Simulation::registers_are_equal);
    fleet.network.cut_off = inside.iter().copied().collect();
    let both_sides_know = |fleet: &Simulation| {
        fleet.all_hold_gone(&outside, &inside)
            && inside.iter().all(|member| !fleet.membership(*member).has_majority())
    };
    let sides_are_equal = |fleet: &Simulation| {
        let same = |side: &[usize]| {
            let first = fleet.membership(side[0]).digest();
            side.iter().all(|member| fleet.membership(*member).digest() == first)
        };
        same(&inside) && same(&outside)
    };
    measure(&mut fleet, "region cut", both_sides_know, sides_are_equal);
    fleet.network.cut_off.clear();
    measure(&mut fleet, "region healed", all_back, Simulation::registers_are_equal);
}

/// Runs for the period, and on until the views are right and the registers equal; prints a row.
fn measure(
    fleet: &mut Simulation, case: &str, views_right: impl Fn(&Simulation) -> bool,
    registers_equal: impl Fn(&Simulation) -> bool,
) {
    let start = fleet.now;
    let processor_before = processor_time();
    fleet.restart_windows();
    let mut right_at = None;
    let mut equal_at = None;
    let mut counts = None;
    let step = SILENCE / 20;
    while counts.is_none()
        || ((right_at.is_none() || equal_at.is_none()) && fleet.now - start < EVENT_TIME_LIMIT)
    {
        fleet.run_for(step);
        let passed = fleet.now - start;
        track_condition_start(&mut right_at, passed, views_right(fleet));
        track_condition_start(&mut equal_at, passed, registers_equal(fleet));
        if counts.is_none() && passed >= PERIOD {
            counts = Some(average_counts(fleet));
        }
    }
    let members = fleet.members();
    let worst = (0..members).map(|member| fleet.sent(member).worst_window).max().unwrap_or(0);
    let (bytes, frames) = counts.unwrap_or_default();
    let simulated = (fleet.now - start).as_secs_f64() * fleet.up().count() as f64;
    let processor = (processor_time() - processor_before).as_secs_f64() * 1000.0 / simulated;
    println!(
        "| {members} | {case} | {} | {} | {bytes:.0} | {:.0} | {frames:.0} | {processor:.3} |",
        milliseconds(right_at),
        milliseconds(equal_at),
        worst as f64 / WINDOW_SECONDS,
    );
}

/// Tracks the time from which a condition has held without a break.
fn track_condition_start(since: &mut Option<Duration>, passed: Duration, holds: bool) {
    *since = if holds { since.or(Some(passed)) } else { None };
}

/// Bytes and frames a second that members sent on average.
fn average_counts(fleet: &Simulation) -> (f64, f64) {
    let up = fleet.up().count() as f64;
    let bytes: u64 = fleet.up().map(|member| fleet.sent(member).total).sum();
    let frames: u64 = fleet.up().map(|member| fleet.sent(member).frames).sum();
    let seconds = PERIOD.as_secs_f64();
    (bytes as f64 / up / seconds, frames as f64 / up / seconds)
}

fn milliseconds(period: Option<Duration>) -> String {
    period.map_or("not within 60 s".into(), |period| period.as_millis().to_string())
}

/// The time that this thread has had a processor; zero if the system does not report it.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanoseconds = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}
