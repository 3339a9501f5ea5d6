//! The rate, the burst and a clock that goes back.

use super::*;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn the_burst_is_available_at_once_and_then_the_rate() {
    let mut allowance = Allowance::new(at(10), 100, 1_000);
    assert!(allowance.take(at(10), 1_000));
    assert!(!allowance.take(at(10), 1));
    assert!(!allowance.take(at(12), 201));
    assert!(allowance.take(at(12), 200));
}

#[test]
fn unused_allowance_is_capped_at_the_burst() {
    let mut allowance = Allowance::new(at(10), 100, 1_000);
    assert!(!allowance.take(at(1_000), 1_001));
    assert!(allowance.take(at(1_000), 1_000));
}

#[test]
fn a_clock_that_goes_back_adds_no_allowance() {
    let mut allowance = Allowance::new(at(10), 100, 1_000);
    assert!(allowance.take(at(10), 1_000));
    assert!(!allowance.take(at(5), 1));
    assert!(!allowance.take(at(10), 1));
}
