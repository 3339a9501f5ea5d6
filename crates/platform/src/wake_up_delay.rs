//! How late this process is woken up on a busy machine.
//!
//! Input can have waited in the kernel for as long. Nothing tells for how long it did, but the delay of timers can be
//! measured, and where timers are late, input is read late as well.

use std::time::Duration;

/// In this time a measured delay loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The longest delay of a timer seen lately.
#[derive(Default)]
pub struct WakeUpDelay {
    delay: Duration,
    measured_at: Duration,
}

impl WakeUpDelay {
    /// A timer that was due at that time is handled now.
    pub fn timer_handled(&mut self, now: Duration, due: Duration) {
        let delay = now.saturating_sub(due);
        if delay >= self.expected(now) {
            (self.delay, self.measured_at) = (delay, now);
        }
    }

    /// How long input that is read now may have waited: the longest delay, halved for each half-life since.
    pub fn expected(&self, now: Duration) -> Duration {
        let half_lives = now.saturating_sub(self.measured_at).div_duration_f64(HALF_LIFE);
        self.delay.mul_f64((-half_lives).exp2())
    }
}
