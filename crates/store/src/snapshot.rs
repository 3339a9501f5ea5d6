//! Snapshots of the index in one checksummed file: reopening reads the snapshot and replays the log after it.
//!
//! A snapshot is written shard by shard during writes, so each shard dates from the time it was encoded. That suffices,
//! because each key belongs to one shard, and all changes after the location in the head are replayed from the log.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::index::{Index, Place, SHARDS};
use crate::store::Segment;

const MAGIC: &[u8; 4] = b"LSNP";
const VERSION: u16 = 1;

/// A decoded snapshot.
pub struct Snapshot {
    /// Segment from which the log is to be replayed.
    pub segment: u64,
    pub offset: u64,
    pub min_segment: u64,
    pub time: Duration,
    pub segments: BTreeMap<u64, Segment>,
    pub index: Index,
}

/// File name of a snapshot.
pub fn name(number: u64) -> String {
    format!("snap-{number:016x}")
}

/// Number of a snapshot from its file name; `None` for other files.
pub fn number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix("snap-").filter(|n| n.len() == 16)?, 16).ok()
}

fn put(out: &mut Vec<u8>, number: u64) {
    out.extend(number.to_le_bytes());
}

/// Encodes the head of a snapshot file.
pub fn head(
    at: (u64, u64), min_segment: u64, time: Duration, segments: &BTreeMap<u64, Segment>, index: &Index,
) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(VERSION.to_le_bytes());
    for number in [at.0, at.1, min_segment, time.as_micros() as u64, index.secret.0, index.secret.1] {
        put(&mut out, number);
    }
    put(&mut out, segments.len() as u64);
    for (number, segment) in segments {
        for figure in [*number, segment.len, segment.until] {
            put(&mut out, figure);
        }
    }
    out
}

/// Encodes one shard of the index.
pub fn part(index: &Index, shard: usize) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, index.shard(shard).count() as u64);
    for (fingerprint, place) in index.shard(shard) {
        put(&mut out, fingerprint);
        put(&mut out, place.segment);
        put(&mut out, u64::from(place.offset) | u64::from(place.len) << 32);
    }
    out
}

/// Reads a snapshot; returns `None` if it is damaged, as the log contains the same data.
pub fn read(bytes: &[u8]) -> Option<Snapshot> {
    let (body, sum) = bytes.split_at_checked(bytes.len().checked_sub(4)?)?;
    let whole = crc32c::crc32c(body) == u32::from_le_bytes(sum.try_into().ok()?);
    if !whole || body.get(..4)? != MAGIC || body.get(4..6)? != VERSION.to_le_bytes() {
        return None;
    }
    let mut rest = body[6..].chunks_exact(8).map(|n| u64::from_le_bytes(n.try_into().expect("eight bytes")));
    let mut next = || rest.next();
    let (segment, offset, min_segment, time) = (next()?, next()?, next()?, Duration::from_micros(next()?));
    let mut index = Index::new((next()?, next()?));
    let mut segments = BTreeMap::new();
    for _ in 0..next()? {
        let (number, len, until) = (next()?, next()?, next()?);
        segments.insert(number, Segment { len, live: 0, until });
    }
    for shard in 0..SHARDS {
        let count = next()?;
        if count > body.len() as u64 / 24 {
            return None;
        }
        index.reserve(shard, count as usize);
        for _ in 0..count {
            let (fingerprint, segment, rest) = (next()?, next()?, next()?);
            index.add(fingerprint, Place { segment, offset: rest as u32, len: (rest >> 32) as u32 });
        }
    }
    Some(Snapshot { segment, offset, min_segment, time, segments, index })
}
