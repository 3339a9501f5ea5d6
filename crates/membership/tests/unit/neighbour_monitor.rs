//! Reports on neighbours, hold-downs and the guard after a stall.

use super::*;

const TIMING: Timing = Timing { silence: Duration::from_secs(1) };
const STEP: Duration = Duration::from_millis(200);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Runs to `end` in heartbeats; the neighbour is heard at those that `answers` names. Gives when the bit changed.
fn run(
    neighbour_monitor: &mut NeighbourMonitor, now: &mut Duration, end: Duration,
    answers: impl Fn(Duration) -> bool,
) -> Vec<Duration> {
    let mut changes = Vec::new();
    while *now < end {
        *now += STEP;
        neighbour_monitor.active(*now);
        if answers(*now) {
            neighbour_monitor.frame_received(*now, 0);
        }
        if neighbour_monitor.review(*now) {
            changes.push(*now);
        }
    }
    changes
}

#[test]
fn a_neighbour_is_reported_after_the_silence_and_not_before() {
    let mut neighbour_monitor = NeighbourMonitor::new(at(0), 1, TIMING);
    let mut now = at(0);
    assert_eq!(run(&mut neighbour_monitor, &mut now, at(5_000), |now| now <= at(400)), [at(1_400)]);
    assert_eq!(neighbour_monitor.unheard(), 1);
}

#[test]
fn a_report_is_withdrawn_after_two_heartbeats() {
    let mut neighbour_monitor = NeighbourMonitor::new(at(0), 1, TIMING);
    let mut now = at(0);
    let changes = run(&mut neighbour_monitor, &mut now, at(5_000), |now| now >= at(2_000));
    assert_eq!(changes, [at(1_000), at(2_400)]);
}

#[test]
fn a_single_frame_does_not_withdraw_a_report() {
    let mut neighbour_monitor = NeighbourMonitor::new(at(0), 1, TIMING);
    let mut now = at(0);
    assert_eq!(run(&mut neighbour_monitor, &mut now, at(5_000), |now| now == at(2_000)), [at(1_000)]);
}

#[test]
fn the_hold_down_doubles_with_each_flap_up_to_eight_silences() {
    let mut neighbour_monitor = NeighbourMonitor::new(at(0), 1, TIMING);
    let mut now = at(0);
    let mut hold_downs = Vec::new();
    for _ in 0..7 {
        let silent_until = now + at(2_000);
        run(&mut neighbour_monitor, &mut now, silent_until, |_| false);
        assert!(!neighbour_monitor.hears(0));
        let start = now + STEP;
        let changes = run(&mut neighbour_monitor, &mut now, start + at(9_000), |_| true);
        hold_downs.push(changes[0] - start);
    }
    let expected = [400, 800, 1_600, 3_200, 6_400, 8_000, 8_000].map(at);
    assert_eq!(hold_downs, expected);
}

#[test]
fn a_neighbour_that_stops_during_the_hold_down_has_flapped() {
    let mut neighbour_monitor = NeighbourMonitor::new(at(0), 1, TIMING);
    let mut now = at(0);
    run(&mut neighbour_monitor, &mut now, at(2_000), |_| false);
    for _ in 0..2 {
        let frame_at = now + STEP;
        let end = now + at(2_000);
        run(&mut neighbour_monitor, &mut now, end, |now| now == frame_at);
    }
    let start = now + STEP;
    let changes = run(&mut neighbour_monitor, &mut now, start + at(3_000), |_| true);
    assert_eq!(changes, [start + at(1_600)]);
}

#[test]
fn a_restart_or_a_long_time_clears_the_flap_history() {
    for clears_by_restart in [true, false] {
        let mut neighbour_monitor = NeighbourMonitor::new(at(0), 1, TIMING);
        let mut now = at(0);
        for _ in 0..3 {
            let silent_until = now + at(2_000);
            run(&mut neighbour_monitor, &mut now, silent_until, |_| false);
            let answers_until = now + at(4_000);
            run(&mut neighbour_monitor, &mut now, answers_until, |_| true);
        }
        if clears_by_restart {
            neighbour_monitor.restarted(0);
        } else {
            let quiet_until = now + at(64_000);
            run(&mut neighbour_monitor, &mut now, quiet_until, |_| true);
        }
        let silent_until = now + at(2_000);
        run(&mut neighbour_monitor, &mut now, silent_until, |_| false);
        let start = now + STEP;
        let changes = run(&mut neighbour_monitor, &mut now, start + at(2_000), |_| true);
        assert_eq!(changes, [start + at(400)], "by restart: {clears_by_restart}");
    }
}

#[test]
fn after_a_stall_nobody_is_reported_for_two_heartbeats() {
    let mut neighbour_monitor = NeighbourMonitor::new(at(0), 1, TIMING);
    neighbour_monitor.active(at(5_000));
    assert!(!neighbour_monitor.review(at(5_000)));
    assert!(!neighbour_monitor.review(at(5_399)));
    assert!(neighbour_monitor.review(at(5_400)));
    assert!(!neighbour_monitor.hears(0));
}

#[test]
fn a_local_stall_is_not_a_flap_of_a_neighbour() {
    let mut neighbour_monitor = NeighbourMonitor::new(at(0), 1, TIMING);
    let mut now = at(0);
    run(&mut neighbour_monitor, &mut now, at(2_000), |_| false);
    run(&mut neighbour_monitor, &mut now, at(2_200), |_| true);
    now += at(3_000);
    let start = now + STEP * 2;
    let changes = run(&mut neighbour_monitor, &mut now, start + at(2_000), |now| now >= start);
    assert_eq!(changes, [start + at(400)]);
}

#[test]
fn a_clock_that_goes_back_changes_nothing() {
    let mut neighbour_monitor = NeighbourMonitor::new(at(10_000), 1, TIMING);
    neighbour_monitor.active(at(9_000));
    neighbour_monitor.frame_received(at(9_000), 0);
    assert!(!neighbour_monitor.review(at(9_000)));
    neighbour_monitor.active(at(10_400));
    assert!(!neighbour_monitor.review(at(10_900)));
}

#[test]
fn a_clock_that_goes_back_and_on_is_no_stall() {
    let mut neighbour_monitor = NeighbourMonitor::new(at(10_000), 1, TIMING);
    for milliseconds in [10_400, 10_800, 9_900, 11_000] {
        neighbour_monitor.active(at(milliseconds));
    }
    assert!(neighbour_monitor.review(at(11_000)), "the silent neighbour is reported");
}
