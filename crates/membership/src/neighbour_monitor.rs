//! Failure detection of neighbours: a neighbour from which no frame arrives for `Timing::silence` is reported as unheard; the report is
//! withdrawn after a hold-down that grows with each flap. A process that was itself stalled reports nobody for a time.

use std::time::Duration;

use crate::timing::Timing;

struct Neighbour {
    last_heard: Duration,
    /// Since when a reported neighbour has been heard again.
    answering_since: Option<Duration>,
    last_flap: Option<Duration>,
    hold_down: Duration,
}

impl Neighbour {
    /// Doubles the hold-down; the first flap, and the first one after the flap memory has ended, sets the shortest hold-down.
    fn count_flap(&mut self, now: Duration, timing: &Timing) {
        let is_remembered =
            self.last_flap.is_some_and(|last| now.saturating_sub(last) < timing.flap_memory());
        self.hold_down = if is_remembered {
            (self.hold_down * 2).min(timing.max_hold_down())
        } else {
            timing.first_hold_down()
        };
        self.last_flap = Some(now);
        self.answering_since = None;
    }
}

/// Monitors the neighbours, by position in the overlay, and holds which of them are reported as not heard.
pub(crate) struct NeighbourMonitor {
    timing: Timing,
    neighbours: Vec<Neighbour>,
    unheard: u16,
    last_activity: Duration,
    listening_until: Duration,
}

impl NeighbourMonitor {
    /// The monitor at the start: all neighbours count as heard at `now`.
    pub(crate) fn new(now: Duration, neighbours: usize, timing: Timing) -> Self {
        let neighbour = || Neighbour {
            last_heard: now,
            answering_since: None,
            last_flap: None,
            hold_down: timing.first_hold_down(),
        };
        Self {
            timing,
            neighbours: (0..neighbours).map(|_| neighbour()).collect(),
            unheard: 0,
            last_activity: now,
            listening_until: now,
        }
    }

    /// One bit for each neighbour that is reported as not heard.
    pub(crate) fn unheard(&self) -> u16 {
        self.unheard
    }

    /// Whether a neighbour is not reported.
    pub(crate) fn hears(&self, position: usize) -> bool {
        self.unheard & bit(position) == 0
    }

    /// Records that the process runs at this time. After a gap in which it was stalled, it listens before it reports anybody.
    pub(crate) fn active(&mut self, now: Duration) {
        if now.saturating_sub(self.last_activity) >= self.timing.stall() {
            self.listening_until = now + self.timing.listening();
        }
        self.last_activity = self.last_activity.max(now);
    }

    /// Records that a frame of a neighbour was received.
    pub(crate) fn frame_received(&mut self, now: Duration, position: usize) {
        let neighbour = &mut self.neighbours[position];
        let had_timed_out = now.saturating_sub(neighbour.last_heard) >= self.timing.silence;
        if had_timed_out || neighbour.answering_since.is_none() {
            neighbour.answering_since = Some(now);
        }
        neighbour.last_heard = neighbour.last_heard.max(now);
    }

    /// A neighbour has a new incarnation: its flap history is cleared.
    pub(crate) fn restarted(&mut self, position: usize) {
        let neighbour = &mut self.neighbours[position];
        neighbour.hold_down = self.timing.first_hold_down();
        neighbour.last_flap = None;
    }

    /// Makes the reports that are due and withdraws those whose hold-down has ended; true if the bits have changed.
    pub(crate) fn review(&mut self, now: Duration) -> bool {
        let before = self.unheard;
        let is_listening = now < self.listening_until;
        for position in 0..self.neighbours.len() {
            let has_timed_out =
                now.saturating_sub(self.neighbours[position].last_heard) >= self.timing.silence;
            match (self.hears(position), has_timed_out) {
                (false, false) => self.withdraw_report_if_due(position),
                (true, true) if !is_listening => self.report(now, position),
                (false, true) if !is_listening => self.count_interrupted_answer(now, position),
                _ => {}
            }
        }
        self.unheard != before
    }

    fn report(&mut self, now: Duration, position: usize) {
        self.neighbours[position].count_flap(now, &self.timing);
        self.unheard |= bit(position);
    }

    /// A reported neighbour that answered and stopped has flapped too, although the report was not withdrawn.
    fn count_interrupted_answer(&mut self, now: Duration, position: usize) {
        let neighbour = &mut self.neighbours[position];
        if neighbour.answering_since.is_some() {
            neighbour.count_flap(now, &self.timing);
        }
    }

    /// Withdraws a report if the frames received span the hold-down. The time since the last frame does not count, because it does not
    /// show that the neighbour is still up.
    fn withdraw_report_if_due(&mut self, position: usize) {
        let neighbour = &self.neighbours[position];
        let Some(since) = neighbour.answering_since else { return };
        if neighbour.last_heard.saturating_sub(since) >= neighbour.hold_down {
            self.unheard &= !bit(position);
        }
    }
}

fn bit(position: usize) -> u16 {
    1 << position
}

#[cfg(test)]
#[path = "../tests/unit/neighbour_monitor.rs"]
mod tests;
