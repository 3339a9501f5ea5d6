//! Encoding of segment files. All numbers are little-endian.
//!
//! A segment consists of a head and frames. Head: `LSTR`, version (u16), segment number (u64), CRC-32C of these (u32).
//! Frame: length of the body (u32), CRC-32C (u32) over that length and the body, body. Body: location in the log
//! (segment u64, offset u64, so that a frame at another location is invalid), the length of this segment known to be
//! synced when the frame was written (u64), the store's time (u64 microseconds), then operations. Operation: a tag (1 put,
//! 2 delete, 3 minimum segment, 4 next segment); for put and delete the table (u8 length) and key (u16 length); for a put
//! the expiry (u64 microseconds, all ones for never) and the value (u32 length); for a minimum segment its number (u64),
//! below which segments are obsolete; for a next segment its number (u64), where the log continues, with nothing after it
//! in this segment; last the CRC-32C (u32) of the operation, so that it can be read by itself. A frame without operations
//! is a seal: it only records the synced length.

use std::time::Duration;

/// Version of the segment format.
pub const VERSION: u16 = 1;
/// Maximum length of a table name in bytes.
pub const MAX_TABLE: usize = 32;
/// Maximum length of a key in bytes.
pub const MAX_KEY: usize = 1024;
/// Maximum length of a value in bytes.
pub const MAX_VALUE: usize = 1024 * 1024;
/// Maximum size of a batch in bytes.
pub const MAX_BATCH: usize = 4 * 1024 * 1024;

/// Size of a segment head in bytes.
pub const HEAD: u64 = 18;
const MAGIC: &[u8; 4] = b"LSTR";
/// Bytes of length and checksum.
pub const FRAME: u64 = 8;
/// Bytes of segment, offset, synced length and time.
const PREFACE: usize = 32;
const NEVER: u64 = u64::MAX;

/// File name of a segment.
pub fn segment_name(number: u64) -> String {
    format!("log-{number:016x}")
}

/// Number of a segment from its file name; `None` for other files.
pub fn segment_number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix("log-").filter(|n| n.len() == 16)?, 16).ok()
}

/// Encodes the head of a segment.
pub fn head(number: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    let sum = crc32c::crc32c(&bytes);
    bytes.extend(sum.to_le_bytes());
    bytes
}

/// Reason why a head is invalid.
pub enum BadHead {
    /// Truncated, or not a head.
    Unreadable,
    Newer(u16),
}

/// Checks the head of a segment.
pub fn read_head(bytes: &[u8], number: u64) -> Result<(), BadHead> {
    let bytes = bytes.get(..HEAD as usize).ok_or(BadHead::Unreadable)?;
    let sum = u32::from_le_bytes(bytes[14..].try_into().expect("four bytes"));
    let whole = crc32c::crc32c(&bytes[..14]) == sum && &bytes[..4] == MAGIC;
    let version = u16::from_le_bytes(bytes[4..6].try_into().expect("two bytes"));
    if whole && version > VERSION {
        return Err(BadHead::Newer(version));
    }
    if whole && bytes[6..14] == number.to_le_bytes() { Ok(()) } else { Err(BadHead::Unreadable) }
}

/// One logged operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Op<'a> {
    Put { table: &'a str, key: &'a [u8], expires: Option<Duration>, value: &'a [u8] },
    Delete { table: &'a str, key: &'a [u8] },
    MinSegment { segment: u64 },
    Next { segment: u64 },
}

fn append_checksum(out: &mut Vec<u8>, from: usize) {
    let sum = crc32c::crc32c(&out[from..]);
    out.extend(sum.to_le_bytes());
}

/// Appends an operation that makes all segments below this one obsolete.
pub fn min_segment(out: &mut Vec<u8>, segment: u64) {
    put_segment_op(out, 3, segment);
}

/// Appends an operation that names the next segment.
pub fn next(out: &mut Vec<u8>, segment: u64) {
    put_segment_op(out, 4, segment);
}

fn put_segment_op(out: &mut Vec<u8>, tag: u8, segment: u64) {
    let from = out.len();
    out.push(tag);
    out.extend(segment.to_le_bytes());
    append_checksum(out, from);
}

/// Appends a put operation.
pub fn put(out: &mut Vec<u8>, table: &str, key: &[u8], expires: Option<Duration>, value: &[u8]) {
    let from = out.len();
    out.push(1);
    name(out, table, key);
    let expires = expires.map_or(NEVER, |t| (t.as_micros() as u64).min(NEVER - 1));
    out.extend(expires.to_le_bytes());
    out.extend((value.len() as u32).to_le_bytes());
    out.extend(value);
    append_checksum(out, from);
}

/// Appends a delete operation.
pub fn delete(out: &mut Vec<u8>, table: &str, key: &[u8]) {
    let from = out.len();
    out.push(2);
    name(out, table, key);
    append_checksum(out, from);
}

fn name(out: &mut Vec<u8>, table: &str, key: &[u8]) {
    out.push(table.len() as u8);
    out.extend(table.as_bytes());
    out.extend((key.len() as u16).to_le_bytes());
    out.extend(key);
}

/// Encodes a frame with these operations for a location.
pub fn frame(segment: u64, offset: u64, synced_len: u64, time: Duration, ops: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME as usize + PREFACE + ops.len());
    bytes.extend(((PREFACE + ops.len()) as u32).to_le_bytes());
    bytes.extend([0; 4]);
    bytes.extend(segment.to_le_bytes());
    bytes.extend(offset.to_le_bytes());
    bytes.extend(synced_len.to_le_bytes());
    bytes.extend((time.as_micros() as u64).to_le_bytes());
    bytes.extend(ops);
    let sum = sum(&bytes);
    bytes[4..8].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Checksum of a frame. It covers the length, so that a changed length invalidates the frame.
fn sum(frame: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&frame[..4]), &frame[8..])
}

/// A valid frame: its size in bytes, the synced length it states, its time and its operations.
pub struct Frame<'a> {
    pub len: u64,
    pub synced_len: u64,
    pub time: Duration,
    pub ops: &'a [u8],
}

/// Decodes the frame at an offset of a segment from the bytes that start there; `None` if there is no valid frame.
pub fn read_frame(bytes: &[u8], segment: u64, offset: u64) -> Option<Frame<'_>> {
    let len = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    if !(PREFACE..=PREFACE + MAX_BATCH).contains(&len) {
        return None;
    }
    let whole = bytes.get(..FRAME as usize + len)?;
    let number = |at: usize| u64::from_le_bytes(whole[at..at + 8].try_into().expect("eight bytes"));
    if number(8) != segment || number(16) != offset {
        return None;
    }
    if sum(whole) != u32::from_le_bytes(whole[4..8].try_into().ok()?) {
        return None;
    }
    let (synced_len, time) = (number(24), Duration::from_micros(number(32)));
    Some(Frame { len: whole.len() as u64, synced_len, time, ops: &whole[OPS_AT as usize..] })
}

/// Offset of the operations within a frame.
pub const OPS_AT: u64 = FRAME + PREFACE as u64;

/// Decodes operations with their offsets and lengths. Returns `None` if any is invalid: a frame with a valid checksum and
/// invalid operations was written by other software, so the rest is not interpreted.
pub fn ops(mut bytes: &[u8]) -> Option<Vec<(u64, u64, Op<'_>)>> {
    let all = bytes.len();
    let mut found = Vec::new();
    while !bytes.is_empty() {
        let at = all - bytes.len();
        let (op, rest) = op(bytes)?;
        found.push((at as u64, (bytes.len() - rest.len()) as u64, op));
        bytes = rest;
    }
    Some(found)
}

fn take(bytes: &[u8], n: usize) -> Option<(&[u8], &[u8])> {
    bytes.split_at_checked(n)
}

/// Decodes the first operation and returns the remaining bytes; `None` if its checksum does not match.
pub fn op(bytes: &[u8]) -> Option<(Op<'_>, &[u8])> {
    let (op, rest) = read_op_body(bytes)?;
    let (sum, after) = take(rest, 4)?;
    let whole = crc32c::crc32c(&bytes[..bytes.len() - rest.len()]);
    (whole == u32::from_le_bytes(sum.try_into().ok()?)).then_some((op, after))
}

fn read_op_body(bytes: &[u8]) -> Option<(Op<'_>, &[u8])> {
    let (tag, rest) = take(bytes, 1)?;
    if tag[0] == 3 || tag[0] == 4 {
        let (segment, rest) = take(rest, 8)?;
        let segment = u64::from_le_bytes(segment.try_into().ok()?);
        let op = if tag[0] == 3 { Op::MinSegment { segment } } else { Op::Next { segment } };
        return Some((op, rest));
    }
    let (len, rest) = take(rest, 1)?;
    let (table, rest) = take(rest, len[0] as usize)?;
    let (len, rest) = take(rest, 2)?;
    let (key, rest) = take(rest, u16::from_le_bytes(len.try_into().ok()?) as usize)?;
    let table = std::str::from_utf8(table).ok()?;
    match tag[0] {
        1 => {
            let (expires, rest) = take(rest, 8)?;
            let expires = u64::from_le_bytes(expires.try_into().ok()?);
            let expires = Some(expires).filter(|e| *e != NEVER).map(Duration::from_micros);
            let (len, rest) = take(rest, 4)?;
            let (value, rest) = take(rest, u32::from_le_bytes(len.try_into().ok()?) as usize)?;
            Some((Op::Put { table, key, expires, value }, rest))
        }
        2 => Some((Op::Delete { table, key }, rest)),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Four bytes that can be appended to `before` without changing its checksum. The checksum is linear in them, so they
    /// are the solution of 32 equations over bits.
    fn checksum_preserving_suffix(before: &[u8]) -> [u8; 4] {
        let sum = crc32c::crc32c(before);
        let with = |x: u32| crc32c::crc32c_append(sum, &x.to_le_bytes());
        let base = with(0);
        let mut rows: Vec<(u32, u32)> = (0..32).map(|bit| (with(1 << bit) ^ base, 1u32 << bit)).collect();
        let (mut wanted, mut solution) = (sum ^ base, 0);
        for bit in 0..32 {
            let place = rows.iter().position(|(effect, _)| effect >> bit & 1 == 1).expect("it is invertible");
            let (effect, cause) = rows.swap_remove(place);
            for row in rows.iter_mut().filter(|row| row.0 >> bit & 1 == 1) {
                *row = (row.0 ^ effect, row.1 ^ cause);
            }
            if wanted >> bit & 1 == 1 {
                (wanted, solution) = (wanted ^ effect, solution ^ cause);
            }
        }
        assert_eq!((wanted, with(solution)), (0, sum));
        solution.to_le_bytes()
    }

    /// If the checksum did not cover the length, a corrupt length could yield another valid frame: the body of that length
    /// may have the same checksum.
    #[test]
    fn a_changed_length_is_no_frame_even_where_the_body_agrees() {
        let mut ops = Vec::new();
        put(&mut ops, "t", b"key", None, b"value");
        let mut bytes = frame(3, HEAD, 0, Duration::ZERO, &ops);
        assert!(read_frame(&bytes, 3, HEAD).is_some());
        let more = checksum_preserving_suffix(&bytes[8..]);
        bytes.extend(more);
        assert!(read_frame(&bytes, 3, HEAD).is_some(), "what stands behind a frame is not its own");
        let len = (bytes.len() - 8) as u32;
        bytes[..4].copy_from_slice(&len.to_le_bytes());
        assert!(read_frame(&bytes, 3, HEAD).is_none());
    }

    #[test]
    fn a_frame_is_one_only_where_it_was_written() {
        let bytes = frame(3, 100, 50, Duration::from_secs(9), &[]);
        let found = read_frame(&bytes, 3, 100).expect("it stands here");
        assert_eq!((found.synced_len, found.time, found.ops.len()), (50, Duration::from_secs(9), 0));
        assert!(read_frame(&bytes, 4, 100).is_none() && read_frame(&bytes, 3, 101).is_none());
        assert!(read_frame(&bytes[..bytes.len() - 1], 3, 100).is_none());
    }

    #[test]
    fn operations_are_read_one_by_one_and_by_themselves() {
        let mut bytes = Vec::new();
        put(&mut bytes, "t", b"k", Some(Duration::from_secs(5)), b"v");
        delete(&mut bytes, "u", b"");
        min_segment(&mut bytes, 7);
        next(&mut bytes, 8);
        let all = ops(&bytes).expect("they are whole");
        assert_eq!(all.len(), 4);
        assert_eq!(all[1].2, Op::Delete { table: "u", key: b"" });
        assert_eq!((&all[2].2, &all[3].2), (&Op::MinSegment { segment: 7 }, &Op::Next { segment: 8 }));
        for (at, len, found) in &all {
            let alone = &bytes[*at as usize..(*at + *len) as usize];
            assert_eq!(op(alone), Some((found.clone(), &[][..])));
            for bit in 0..alone.len() * 8 {
                let mut spoilt = alone.to_vec();
                spoilt[bit / 8] ^= 1 << (bit % 8);
                assert_eq!(op(&spoilt), None, "bit {bit}");
            }
        }
    }
}
