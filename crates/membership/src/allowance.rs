//! A token bucket for bytes.

use std::time::Duration;

/// A token bucket: it refills at a rate in bytes per second, up to a burst that may be spent at once.
pub(crate) struct Allowance {
    bytes_per_second: f64,
    burst: f64,
    available: f64,
    refilled_at: Duration,
}

impl Allowance {
    /// A full allowance.
    pub(crate) fn new(now: Duration, bytes_per_second: u32, burst: u32) -> Self {
        let burst = f64::from(burst);
        Self { bytes_per_second: f64::from(bytes_per_second), burst, available: burst, refilled_at: now }
    }

    /// Takes this many bytes if they are available.
    pub(crate) fn take(&mut self, now: Duration, bytes: usize) -> bool {
        self.refill(now);
        let requested = bytes as f64;
        if requested > self.available {
            return false;
        }
        self.available -= requested;
        true
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * self.bytes_per_second).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/allowance.rs"]
mod tests;
