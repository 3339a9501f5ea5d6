//! Bytes that one member sends, and the most in any ten seconds (in steps of a quarter of a second).

use std::time::Duration;

const STEP_MS: u128 = 250;
const WINDOW_STEPS: usize = 40;

#[derive(Clone)]
pub struct SentBytes {
    steps: [u32; WINDOW_STEPS],
    current_step: u128,
    in_window: u64,
    pub total: u64,
    pub frames: u64,
    /// The most bytes in any window since the last reset.
    pub worst_window: u64,
}

impl SentBytes {
    pub fn new(now: Duration) -> Self {
        Self {
            steps: [0; WINDOW_STEPS],
            current_step: now.as_millis() / STEP_MS,
            in_window: 0,
            total: 0,
            frames: 0,
            worst_window: 0,
        }
    }

    pub fn add(&mut self, now: Duration, bytes: usize) {
        self.advance(now.as_millis() / STEP_MS);
        self.steps[(self.current_step % WINDOW_STEPS as u128) as usize] += bytes as u32;
        self.in_window += bytes as u64;
        self.total += bytes as u64;
        self.frames += 1;
        self.worst_window = self.worst_window.max(self.in_window);
    }

    /// Resets the counts; the window retains bytes sent before.
    pub fn restart_counts(&mut self) {
        self.total = 0;
        self.frames = 0;
        self.worst_window = 0;
    }

    /// Resets the counts and clears the window.
    pub fn restart_window(&mut self) {
        self.restart_counts();
        self.steps = [0; WINDOW_STEPS];
        self.in_window = 0;
    }

    fn advance(&mut self, step: u128) {
        let passed = (step - self.current_step).min(WINDOW_STEPS as u128);
        for next in 1..=passed {
            let index = ((self.current_step + next) % WINDOW_STEPS as u128) as usize;
            self.in_window -= u64::from(self.steps[index]);
            self.steps[index] = 0;
        }
        if passed == WINDOW_STEPS as u128 {
            self.steps = [0; WINDOW_STEPS];
            self.in_window = 0;
        }
        self.current_step = step;
    }
}
