//! Shutdown: what is still accepted, what is still waited for, and for how long.

use std::time::Duration;

use super::Platform;
use crate::{CloseMode, Net, SocketId};

/// Time after the shutdown request at which connections are no longer accepted; also the earliest exit.
const ACCEPT_AFTER_SHUTDOWN: Duration = Duration::from_millis(750);
/// The process is killed no sooner than the longest cut-off, counted as at most this, plus 0.7 s after the
/// shutdown request. The ends of standing calls are relayed until shortly before that, because nobody relays
/// them while no process is running.
const MAX_COUNTED_CUT_OFF: Duration = Duration::from_secs(3);
const RELAY_MARGIN: Duration = Duration::from_millis(400);
/// Time after the shutdown limit in which queued bytes may still be written; then the process exits, even if a
/// peer reads slowly or does not stop sending.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(150);

/// How long after the shutdown request outstanding work is waited for.
pub fn shutdown_limit(max_cut_off: Duration) -> Duration {
    max_cut_off.min(MAX_COUNTED_CUT_OFF) + RELAY_MARGIN
}

impl Platform {
    /// Starts the shutdown; accepted set-ups are answered first.
    pub fn start_shutdown(&mut self, now: Duration, net: &mut dyn Net) {
        self.connections.now = now;
        if self.shutdown_since.is_none() {
            net.log(&format!("shutdown requested; {} set-ups open", self.open_set_ups()));
            self.shutdown_since = Some(now);
        }
    }

    /// Whether connections are no longer accepted.
    pub fn has_stopped_accepting(&self, now: Duration) -> bool {
        self.shutdown_since.is_some_and(|since| now >= since + ACCEPT_AFTER_SHUTDOWN)
    }

    /// Whether the shutdown is complete: nothing is outstanding, or no time is left to wait for it.
    pub fn can_exit(&self, now: Duration) -> bool {
        let limit_reached = self.shutdown_since.is_some_and(|since| now >= since + self.shutdown_limit);
        let nothing_held = self.edge.sizes().0 == 0 && self.connections.pending_releases.is_empty();
        let message_incomplete =
            self.connections.callers.values().any(|caller| caller.splitter.pending_bytes() > 0);
        self.has_stopped_accepting(now)
            && (self.open_set_ups() == 0 && nothing_held && !message_incomplete || limit_reached)
    }

    /// Whether the process must exit now because the kill is imminent, even with input or output outstanding.
    pub fn must_exit(&self, now: Duration) -> bool {
        self.shutdown_since.is_some_and(|since| now >= since + self.shutdown_limit + FINAL_WRITE_TIME)
    }

    /// The last step: closes all caller connections after their queued bytes are written. Set-ups without an
    /// answer have failed, and their callers are sent that.
    pub fn close_callers(&mut self, now: Duration, net: &mut dyn Net) {
        self.connections.now = now;
        let callers: Vec<SocketId> = self.connections.callers.keys().copied().collect();
        for socket in callers {
            self.close_caller(socket, CloseMode::AfterWriting, net);
        }
        self.process_pending(net);
    }

    /// How long a set-up accepted now can be waited for before the process exits.
    pub(super) fn remaining_time(&self) -> Duration {
        let until = self.shutdown_since.map(|since| since + self.shutdown_limit);
        until.map_or(Duration::MAX, |until| until.saturating_sub(self.connections.now))
    }

    pub(super) fn open_set_ups(&self) -> usize {
        self.connections.open_calls + self.intake.len()
    }
}
