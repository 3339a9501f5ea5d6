//! A fleet of membership state machines in virtual time, over a network that delays, loses, duplicates and cuts messages.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod network;
pub mod random;
pub mod sent_bytes;
pub mod simulation;

use std::time::Duration;

/// The silence in all simulations.
pub const SILENCE: Duration = Duration::from_secs(1);

/// The members of one zone: a fourteenth of the fleet, one at least, in a row on the list.
pub fn zone(members: usize) -> std::ops::Range<usize> {
    let start = members / 2;
    start..start + (members / 14).max(1)
}

/// The members of one region: a sixth of the fleet, one at least, in a row on the list.
pub fn region(members: usize) -> std::ops::Range<usize> {
    let start = members / 3;
    start..start + (members / 6).max(1)
}
