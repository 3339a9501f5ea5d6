//! What bytes found on disk are worth. No I/O: a segment's bytes come in, a verdict comes out.
//!
//! Two things look alike: a tail that was being written when power went, and rot in what had long been written. The
//! first is dropped, the second refused. They are told apart by what is known to last: every frame says how much of its
//! segment had been synced when it was written, and a segment is synced whole, with a last frame that names the next, before
//! the next one is used: one that ends without was cut. A place that
//! was known to last and cannot be read is rot. Beyond it nothing was promised, and since a disk may keep later writes
//! and lose earlier ones, whole frames that follow a torn one are dropped with it.

use crate::format::{self, BadHead, HEAD};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Worth {
    /// Whole to its end.
    Whole,
    /// Whole up to here; what follows was never promised and is to be cut off.
    Torn { at: u64 },
    /// What was promised cannot be read, here.
    Rotten { at: u64 },
    /// Written by a newer version.
    Newer { version: u16 },
    /// Not even its head was promised: as if it were not there.
    Unborn,
}

/// Goes through a segment from an offset on (its head, or where a snapshot ends) and shows each whole frame with its
/// offset, up to where its worth ends.
pub fn judge<'a>(
    bytes: &'a [u8], segment: u64, from: u64, is_last: bool, mut each: impl FnMut(u64, format::Frame<'a>),
) -> Worth {
    match format::read_head(bytes, segment) {
        Ok(()) => {}
        Err(BadHead::Newer(version)) => return Worth::Newer { version },
        // A segment is used only after its head was synced: frames tell a rotten head from an unborn one.
        Err(BadHead::Unreadable) => {
            let promised = !is_last || promised_beyond(bytes, segment, HEAD) >= HEAD;
            return if promised { Worth::Rotten { at: 0 } } else { Worth::Unborn };
        }
    }
    let mut at = from.max(HEAD);
    if at > bytes.len() as u64 {
        return Worth::Rotten { at: bytes.len() as u64 }; // A snapshot is taken of what lasts.
    }
    while (at as usize) < bytes.len() {
        match format::read_frame(&bytes[at as usize..], segment, at) {
            Some(frame) => {
                let len = frame.len;
                each(at, frame);
                at += len;
            }
            None => {
                let rotten = !is_last || promised_beyond(bytes, segment, at) > at;
                return if rotten { Worth::Rotten { at } } else { Worth::Torn { at } };
            }
        }
    }
    Worth::Whole
}

/// The frame that a segment ends with, once the log has gone on.
pub fn names_next(frame: &format::Frame, segment: u64) -> bool {
    let ops = format::ops(frame.ops).unwrap_or_default();
    ops.iter().any(|(_, _, op)| *op == format::Op::Next { segment: segment + 1 })
}

/// The most that any frame found beyond this place says to last.
fn promised_beyond(bytes: &[u8], segment: u64, from: u64) -> u64 {
    let mut most = 0;
    let mut at = from;
    while (at as usize) < bytes.len() {
        match format::read_frame(&bytes[at as usize..], segment, at) {
            Some(frame) => {
                most = most.max(frame.lasts);
                at += frame.len;
            }
            None => at += 1,
        }
    }
    most
}
