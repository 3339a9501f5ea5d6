//! Assesses the condition of a segment from its bytes, without I/O.
//!
//! A tail that was being written during a power failure is truncated; corruption of synced data is an error. The two are
//! told apart by the synced length: every frame states how much of its segment was synced when it was written, and a
//! segment is fully synced, with a last frame that names the next, before the next one is used; without that frame it
//! was truncated. Unreadable data within the synced length is corruption. Beyond it nothing is guaranteed, and since a
//! disk may retain later writes and lose earlier ones, intact frames after a torn one are dropped with it.

use crate::format::{self, BadHead, HEAD};

/// Condition of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentCondition {
    /// Intact to its end.
    Intact,
    /// Intact up to `at`; later data was never acknowledged as synced and is to be truncated.
    Torn { at: u64 },
    /// Synced data at `at` cannot be read.
    Corrupt { at: u64 },
    /// Written by a newer version.
    Newer { version: u16 },
    /// Its head was never synced; the segment counts as absent.
    Uninitialized,
}

/// Scans a segment from an offset (its head, or the end of a snapshot) and passes each intact frame with its offset to
/// `each`, up to the first invalid one.
pub fn assess<'a>(
    bytes: &'a [u8], segment: u64, from: u64, is_last: bool, mut each: impl FnMut(u64, format::Frame<'a>),
) -> SegmentCondition {
    match format::read_head(bytes, segment) {
        Ok(()) => {}
        Err(BadHead::Newer(version)) => return SegmentCondition::Newer { version },
        // A segment is used only after its head was synced, so frames show that a bad head is corrupt, not uninitialized.
        Err(BadHead::Unreadable) => {
            let was_synced = !is_last || max_synced_length(bytes, segment, HEAD) >= HEAD;
            return if was_synced {
                SegmentCondition::Corrupt { at: 0 }
            } else {
                SegmentCondition::Uninitialized
            };
        }
    }
    let mut at = from.max(HEAD);
    if at > bytes.len() as u64 {
        return SegmentCondition::Corrupt { at: bytes.len() as u64 }; // Snapshots cover synced data only.
    }
    while (at as usize) < bytes.len() {
        match format::read_frame(&bytes[at as usize..], segment, at) {
            Some(frame) => {
                let len = frame.len;
                each(at, frame);
                at += len;
            }
            None => {
                let rotten = !is_last || max_synced_length(bytes, segment, at) > at;
                return if rotten { SegmentCondition::Corrupt { at } } else { SegmentCondition::Torn { at } };
            }
        }
    }
    SegmentCondition::Intact
}

/// Whether this frame names the next segment, as the last frame of a completed segment does.
pub fn names_next_segment(frame: &format::Frame, segment: u64) -> bool {
    let ops = format::ops(frame.ops).unwrap_or_default();
    ops.iter().any(|(_, _, op)| *op == format::Op::Next { segment: segment + 1 })
}

/// The greatest synced length stated by any frame at or after `from`.
fn max_synced_length(bytes: &[u8], segment: u64, from: u64) -> u64 {
    let mut max_len = 0;
    let mut at = from;
    while (at as usize) < bytes.len() {
        match format::read_frame(&bytes[at as usize..], segment, at) {
            Some(frame) => {
                max_len = max_len.max(frame.synced_len);
                at += frame.len;
            }
            None => at += 1,
        }
    }
    max_len
}
