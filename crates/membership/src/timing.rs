//! The periods of the protocol, all derived from [`Timing::silence`].

use std::time::Duration;

const HEARTBEATS_IN_SILENCE: u32 = 5;
const ROUNDS_IN_HEARTBEAT: u32 = 4;
const HOLD_DOWN_HEARTBEATS: u32 = 2;
const LISTEN_AFTER_STALL_HEARTBEATS: u32 = 2;
const MAX_HOLD_DOWN_SILENCES: u32 = 8;
const FLAP_MEMORY_SILENCES: u32 = 64;
const RECENT_REGISTER_SILENCES: u32 = 2;

/// The periods of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time without a frame from a neighbour after which it is reported as unheard; more than zero.
    pub silence: Duration,
}

impl Timing {
    /// How often a heartbeat is sent to each neighbour.
    pub fn heartbeat(&self) -> Duration {
        self.silence / HEARTBEATS_IN_SILENCE
    }

    /// The minimum time between two rounds of flooding, repair and search of the overlay.
    pub(crate) fn round(&self) -> Duration {
        self.heartbeat() / ROUNDS_IN_HEARTBEAT
    }

    /// How long a neighbour has to be heard again before the first report on it is withdrawn.
    pub(crate) fn first_hold_down(&self) -> Duration {
        self.heartbeat() * HOLD_DOWN_HEARTBEATS
    }

    /// The bound on the hold-down of a neighbour that flaps.
    pub(crate) fn max_hold_down(&self) -> Duration {
        self.silence * MAX_HOLD_DOWN_SILENCES
    }

    /// After this time without a report, the flaps of a neighbour are no longer counted.
    pub(crate) fn flap_memory(&self) -> Duration {
        self.silence * FLAP_MEMORY_SILENCES
    }

    /// If the process has not run for at least this time, it counts as stalled.
    pub(crate) fn stall(&self) -> Duration {
        self.silence / 2
    }

    /// How long a process that was stalled only receives before it reports neighbours again.
    pub(crate) fn listening(&self) -> Duration {
        self.heartbeat() * LISTEN_AFTER_STALL_HEARTBEATS
    }

    /// Registers replaced within this time are sent to a neighbour that is newly chosen as a relay.
    pub(crate) fn recent(&self) -> Duration {
        self.silence * RECENT_REGISTER_SILENCES
    }
}
