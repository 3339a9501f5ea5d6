//! The store: writing, reading, recovery and background work.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use thiserror::Error;

use crate::condition::{self, SegmentCondition};
use crate::disk::Disk;
use crate::format::{self, HEAD, MAX_BATCH, MAX_KEY, MAX_TABLE, MAX_VALUE, OPS_AT, Op};
use crate::index::{Index, Place, SHARDS};
use crate::plan::{Figures, Plan};
use crate::snapshot::{self, Snapshot};

/// What an acknowledged write survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Survives the end of the process, but not a power failure.
    Written,
    /// Synced: survives a power failure.
    Synced,
}

/// A place where a store is damaged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub file: String,
    pub offset: u64,
    pub what: String,
}

/// Why an operation of a store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    #[error("{}: damaged at byte {}: {}", .0.file, .0.offset, .0.what)]
    Damaged(Damage),
    #[error("{file}: written by format version {found}, this program reads up to {}", format::VERSION)]
    Newer { file: String, found: u16 },
    #[error("it is open elsewhere")]
    Locked,
    #[error("it takes no more writes: {0}")]
    Closed(String),
    #[error("{0}")]
    TooLarge(&'static str),
    #[error("{what}: {error}")]
    Disk { what: String, error: io::Error },
}

type Result<T> = std::result::Result<T, StoreError>;

fn at<T>(what: &str, name: &str, result: io::Result<T>) -> Result<T> {
    result.map_err(|error| StoreError::Disk { what: format!("cannot {what} {name}"), error })
}

fn missing(segment: u64) -> StoreError {
    let file = format::segment_name(segment);
    StoreError::Damaged(Damage { file, offset: 0, what: "the segment is missing".into() })
}

/// Changes that are applied atomically.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    ops: Vec<u8>,
    error: Option<&'static str>,
}

impl Batch {
    /// Adds a record; an invalid size is reported when the batch is written.
    pub fn put(&mut self, table: &str, key: &[u8], expires: Option<Duration>, value: &[u8]) -> &mut Self {
        self.check(table, key, value.len());
        if self.error.is_none() {
            format::put(&mut self.ops, table, key, expires, value);
        }
        self
    }

    /// Adds the deletion of a record.
    pub fn delete(&mut self, table: &str, key: &[u8]) -> &mut Self {
        self.check(table, key, 0);
        if self.error.is_none() {
            format::delete(&mut self.ops, table, key);
        }
        self
    }

    fn check(&mut self, table: &str, key: &[u8], value: usize) {
        if table.is_empty() || table.len() > MAX_TABLE {
            self.error = Some("a table's name has 1 to 32 bytes");
        } else if key.len() > MAX_KEY {
            self.error = Some("a key has 1024 bytes at most");
        } else if value > MAX_VALUE {
            self.error = Some("a value has a MiB at most");
        } else if self.ops.len() + table.len() + key.len() + value + 64 > MAX_BATCH {
            self.error = Some("a batch has 4 MiB at most");
        }
    }

    /// Whether the batch holds no operations.
    pub fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }

    /// Size of the operations in bytes.
    pub fn size(&self) -> usize {
        self.ops.len()
    }

    /// Appends another batch; the result is applied atomically.
    pub fn join(&mut self, other: &Self) {
        self.error = self.error.or(other.error);
        if self.ops.len() + other.ops.len() > MAX_BATCH {
            self.error = self.error.or(Some("a batch has 4 MiB at most"));
        } else {
            self.ops.extend_from_slice(&other.ops);
        }
    }
}

/// A stored record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    pub value: Vec<u8>,
    pub expires: Option<Duration>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Segment {
    pub len: u64,
    /// Bytes of operations in this segment that are still the newest of their keys.
    pub live: u64,
    /// Time in microseconds by which all records in this segment have expired; all ones if never.
    pub until: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stats {
    pub records: usize,
    pub figures: Figures,
    pub index_bytes: usize,
    pub next_segment: u64,
    /// Bytes of the log that were read when it was opened, snapshots not counted.
    pub replayed: u64,
}

/// Kinds of background work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// Writes a snapshot, which shortens reopening.
    Snapshot,
    /// Frees disk space; expired records are not copied.
    Compact,
    /// Syncs written data in the background, so that a requested sync has little to write.
    Flush,
}

impl Work {
    pub const ALL: [Self; 3] = [Self::Snapshot, Self::Compact, Self::Flush];
}

/// Compaction of the oldest segment in progress.
struct Compaction {
    segment: u64,
    bytes: Vec<u8>,
    /// Offset of the next frame to process.
    at: u64,
}

/// A snapshot in progress.
struct SnapshotInProgress {
    name: String,
    /// The index shard to write next.
    shard: usize,
    sum: u32,
    /// Segment and offset up to which the log must be synced before the snapshot is valid.
    required_sync: (u64, u64),
}

/// A store on a [`Disk`].
pub struct Store<D> {
    disk: D,
    plan: Plan,
    index: Index,
    segments: BTreeMap<u64, Segment>,
    /// Number of the segment that is written to.
    active_segment: u64,
    /// Bytes of the active segment that are synced.
    synced_len: u64,
    min_segment: u64,
    /// The latest time supplied; a clock that goes backwards does not revive expired records.
    time: Duration,
    /// Reason why further writes are rejected; `None` while they are accepted.
    closed: Option<String>,
    /// Bytes written to the log since the last snapshot was begun.
    since_snapshot: u64,
    /// Number of the next snapshot.
    next_snapshot: u64,
    compaction: Option<Compaction>,
    snapshot_in_progress: Option<SnapshotInProgress>,
    replayed: u64,
}

impl<D: Disk> Store<D> {
    /// Opens a store, or creates it if absent, and completes or reverts operations that a crash interrupted. Returns an
    /// error with the location if acknowledged data cannot be read.
    pub fn open(mut disk: D, plan: Plan) -> Result<Self> {
        disk.lock().map_err(|error| match error.kind() {
            io::ErrorKind::WouldBlock => StoreError::Locked,
            _ => StoreError::Disk { what: "cannot lock it".into(), error },
        })?;
        let names = at("list", "its files", disk.names())?;
        for name in names.iter().filter(|name| name.ends_with(".new")) {
            at("remove", name, disk.remove(name))?;
        }
        let index = plan.secret.map_or_else(Index::default, Index::new);
        let mut store = Self {
            disk,
            plan,
            index,
            segments: BTreeMap::new(),
            active_segment: 0,
            synced_len: 0,
            min_segment: 0,
            time: Duration::ZERO,
            closed: None,
            since_snapshot: 0,
            next_snapshot: 0,
            compaction: None,
            snapshot_in_progress: None,
            replayed: 0,
        };
        store.recover(&names)?;
        Ok(store)
    }

    fn recover(&mut self, names: &[String]) -> Result<()> {
        let mut existing: Vec<u64> = names.iter().filter_map(|name| format::segment_number(name)).collect();
        existing.sort_unstable();
        let mut replay_from = (0, 0);
        let mut snapshots: Vec<u64> = names.iter().filter_map(|name| snapshot::number(name)).collect();
        snapshots.sort_unstable();
        self.next_snapshot = snapshots.last().map_or(0, |last| last + 1);
        for number in snapshots.iter().rev() {
            let bytes = self.read_all(&snapshot::name(*number))?;
            if let Some(found) = snapshot::read(&bytes) {
                let Snapshot { segment, offset, min_segment, time, segments, index } = found;
                (self.min_segment, self.time, self.index) = (min_segment, time, index);
                self.segments = segments;
                self.segments.retain(|number, _| existing.contains(number));
                replay_from = (segment, offset);
                break;
            }
        }
        // The newest segment may have been created and never used.
        while let Some(last) = existing.last().copied() {
            let (condition, frames, _) =
                self.inspect_segment(last, if last == replay_from.0 { replay_from.1 } else { 0 })?;
            let empty = condition == SegmentCondition::Uninitialized
                || frames == 0 && condition == SegmentCondition::Intact;
            // A segment that its predecessor names or a snapshot refers to is durable, used or not.
            let named_by_predecessor = existing.len() > 1
                && (!existing.contains(&(last - 1)) || self.inspect_segment(last - 1, 0)?.2);
            let is_durable = named_by_predecessor || last == replay_from.0 && replay_from.1 > 0;
            if !empty || is_durable || existing.len() == 1 && condition != SegmentCondition::Uninitialized {
                break;
            }
            let name = format::segment_name(last);
            at("remove", &name, self.disk.remove(&name))?;
            at("sync", "the folder", self.disk.sync_names())?;
            existing.pop();
        }
        if !snapshots.is_empty() && existing.last().is_none_or(|last| *last < replay_from.0) {
            return Err(missing(replay_from.0));
        }
        // Later shards of a snapshot refer to records replayed only now; their segments must be known, so that those
        // records can be replaced.
        for number in &existing {
            self.segments.entry(*number).or_default();
        }
        for number in existing.iter().copied().filter(|number| *number >= replay_from.0) {
            let start = if number == replay_from.0 { replay_from.1 } else { 0 };
            self.replay(number, start, Some(number) == existing.last().copied())?;
        }
        self.remove_obsolete_segments(&existing)?;
        self.count_live();
        self.active_segment = existing.last().copied().unwrap_or_default();
        if existing.is_empty() {
            self.begin_segment(self.min_segment)?;
        } else {
            // Data that was read will be served, so it must be synced before new writes. The previous process may have
            // been killed between writing the last frame of the preceding segment and syncing it.
            for number in existing.iter().rev().take(2).filter(|number| **number >= self.min_segment) {
                let name = format::segment_name(*number);
                at("sync", &name, self.disk.sync(&name))?;
            }
            at("sync", "the folder", self.disk.sync_names())?;
            self.synced_len = self.segments.get(&self.active_segment).map_or(0, |segment| segment.len);
        }
        Ok(())
    }

    /// Returns the condition of a segment as the last one, its number of frames, and whether it names its successor.
    fn inspect_segment(&mut self, number: u64, from: u64) -> Result<(SegmentCondition, usize, bool)> {
        let name = format::segment_name(number);
        if at("list", "its files", self.disk.names())?.iter().all(|known| *known != name) {
            return Err(missing(number));
        }
        let bytes = self.read_all(&name)?;
        let (mut frames, mut names_successor) = (0, false);
        let condition = condition::assess(&bytes, number, from, true, |_, frame| {
            frames += 1;
            names_successor = condition::names_next_segment(&frame, number);
        });
        Ok((condition, frames, names_successor))
    }

    /// Removes segments below the minimum; returns an error if a required segment is missing.
    fn remove_obsolete_segments(&mut self, existing: &[u64]) -> Result<()> {
        let min_segment = self.min_segment;
        for number in existing.iter().copied().filter(|number| *number < min_segment) {
            let name = format::segment_name(number);
            at("remove", &name, self.disk.remove(&name))?;
        }
        let dead: Vec<(u64, Place)> =
            self.index.all().filter(|(_, place)| place.segment < min_segment).collect();
        for (fingerprint, place) in dead {
            self.index.remove(fingerprint, place);
        }
        self.segments.retain(|number, _| *number >= min_segment);
        let last = existing.last().copied().unwrap_or(min_segment);
        let absent = (min_segment..=last).find(|number| !existing.contains(number));
        absent
            .filter(|_| !existing.is_empty() || min_segment > 0)
            .map_or(Ok(()), |number| Err(missing(number)))
    }

    /// Recounts live bytes from the whole index, because the shards of a snapshot date from different times.
    fn count_live(&mut self) {
        let first = self.segments.first_key_value().map_or(0, |(number, _)| *number);
        let last = self.segments.last_key_value().map_or(0, |(number, _)| *number);
        let mut live = vec![0; (last - first + 1) as usize];
        for (_, place) in self.index.all() {
            if let Some(sum) = live.get_mut(place.segment.wrapping_sub(first) as usize) {
                *sum += u64::from(place.len);
            }
        }
        for (number, segment) in &mut self.segments {
            segment.live = live[(number - first) as usize];
        }
    }

    fn read_all(&mut self, name: &str) -> Result<Vec<u8>> {
        let len = at("read", name, self.disk.len(name))?;
        let mut bytes = vec![0; len as usize];
        at("read", name, self.disk.read(name, 0, &mut bytes))?;
        Ok(bytes)
    }

    fn replay(&mut self, number: u64, from: u64, is_last: bool) -> Result<()> {
        let name = format::segment_name(number);
        let bytes = self.read_all(&name)?;
        self.replayed += (bytes.len() as u64).saturating_sub(from);
        let segment = self.segments.entry(number).or_default();
        segment.len = segment.len.max(HEAD);
        let mut frames = Vec::new();
        let condition =
            condition::assess(&bytes, number, from, is_last, |at, frame| frames.push((at, frame)));
        let damaged = |offset: u64, what: &str| {
            Err(StoreError::Damaged(Damage { file: name.clone(), offset, what: what.into() }))
        };
        match condition {
            SegmentCondition::Intact => {}
            SegmentCondition::Torn { at: end } => {
                at("cut", &name, self.disk.truncate(&name, end))?;
                at("sync", &name, self.disk.sync(&name))?;
            }
            SegmentCondition::Corrupt { at } => return damaged(at, "what was written there cannot be read"),
            SegmentCondition::Newer { version } => {
                return Err(StoreError::Newer { file: name, found: version });
            }
            SegmentCondition::Uninitialized => return damaged(0, "its head cannot be read"),
        }
        let names_successor =
            frames.last().is_some_and(|(_, frame)| condition::names_next_segment(frame, number));
        if !names_successor && !is_last {
            return damaged(bytes.len() as u64, "it ends without naming the next segment");
        }
        if names_successor && is_last {
            return Err(missing(number + 1));
        }
        for (at, frame) in frames {
            let Some(ops) = format::ops(frame.ops) else {
                return damaged(at, "its checksum holds and its operations cannot be read");
            };
            for (offset, len, op) in ops {
                let place = Place { segment: number, offset: (at + OPS_AT + offset) as u32, len: len as u32 };
                self.apply(&op, place)?;
            }
            self.time = self.time.max(frame.time);
            let segment = self.segments.entry(number).or_default();
            segment.len = segment.len.max(at + frame.len);
        }
        Ok(())
    }

    /// Applies a logged operation to the index.
    fn apply(&mut self, op: &Op, place: Place) -> Result<()> {
        match op {
            Op::Put { table, key, expires, .. } => {
                self.remove_from_index(table, key)?;
                let fingerprint = self.index.fingerprint(table, key);
                self.index.add(fingerprint, place);
                let segment = self.segments.entry(place.segment).or_default();
                segment.live += u64::from(place.len);
                let until = expires.map_or(u64::MAX, |t| t.as_micros() as u64);
                segment.until = segment.until.max(until);
            }
            Op::Delete { table, key } => self.remove_from_index(table, key)?,
            Op::MinSegment { segment } => self.min_segment = self.min_segment.max(*segment),
            Op::Next { .. } => {}
        }
        Ok(())
    }

    /// Removes the record of a key from the index.
    fn remove_from_index(&mut self, table: &str, key: &[u8]) -> Result<()> {
        let fingerprint = self.index.fingerprint(table, key);
        if let Some(place) = self.find(fingerprint, table, key)? {
            self.index.remove(fingerprint, place);
            if let Some(segment) = self.segments.get_mut(&place.segment) {
                segment.live = segment.live.saturating_sub(u64::from(place.len));
            }
        }
        Ok(())
    }

    /// Finds the location of the record of a key.
    fn find(&mut self, fingerprint: u64, table: &str, key: &[u8]) -> Result<Option<Place>> {
        let places: Vec<Place> = self.index.places(fingerprint).collect();
        for place in places {
            // A snapshot may refer to a segment removed since; recovery drops such entries later.
            if !self.segments.contains_key(&place.segment) {
                continue;
            }
            let bytes = self.read_op(place)?;
            let Some((Op::Put { table: found, key: under, .. }, _)) = format::op(&bytes) else {
                return Err(self.unreadable(place));
            };
            if found == table && under == key {
                return Ok(Some(place));
            }
        }
        Ok(None)
    }

    fn read_op(&mut self, place: Place) -> Result<Vec<u8>> {
        let name = format::segment_name(place.segment);
        let mut bytes = vec![0; place.len as usize];
        match self.disk.read(&name, place.offset.into(), &mut bytes) {
            Ok(()) => Ok(bytes),
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Err(self.unreadable(place)),
            Err(error) => Err(StoreError::Disk { what: format!("cannot read {name}"), error }),
        }
    }

    fn unreadable(&self, place: Place) -> StoreError {
        StoreError::Damaged(Damage {
            file: format::segment_name(place.segment),
            offset: place.offset.into(),
            what: "the record there cannot be read".into(),
        })
    }

    // Reading

    /// The newest record of a key, unless it was deleted or has expired.
    pub fn get(&mut self, now: Duration, table: &str, key: &[u8]) -> Result<Option<Found>> {
        self.time = self.time.max(now);
        let fingerprint = self.index.fingerprint(table, key);
        let Some(place) = self.find(fingerprint, table, key)? else { return Ok(None) };
        let bytes = self.read_op(place)?;
        match format::op(&bytes) {
            Some((Op::Put { expires, value, .. }, _)) => {
                let dead = expires.is_some_and(|expires| expires <= self.time);
                Ok((!dead).then(|| Found { value: value.to_vec(), expires }))
            }
            _ => Err(self.unreadable(place)),
        }
    }

    /// Visits all live records in no order: table, key, record.
    pub fn each(&mut self, now: Duration, mut each: impl FnMut(&str, &[u8], Found)) -> Result<()> {
        self.time = self.time.max(now);
        let places: Vec<Place> = self.index.all().map(|(_, place)| place).collect();
        for place in places {
            let bytes = self.read_op(place)?;
            let Some((Op::Put { table, key, expires, value }, _)) = format::op(&bytes) else {
                return Err(self.unreadable(place));
            };
            if expires.is_none_or(|expires| expires > self.time) {
                each(table, key, Found { value: value.to_vec(), expires });
            }
        }
        Ok(())
    }

    /// Current statistics.
    pub fn stats(&self) -> Stats {
        Stats {
            records: self.index.len(),
            figures: self.figures(),
            index_bytes: self.index.size(),
            next_segment: self.active_segment + 1,
            replayed: self.replayed,
        }
    }

    fn figures(&self) -> Figures {
        let oldest = self.segments.first_key_value();
        Figures {
            written: self.segments.values().map(|s| s.len).sum(),
            live: self.segments.values().map(|s| self.live(s)).sum(),
            segments: self.segments.len(),
            oldest: oldest.map_or(0, |(_, s)| s.len),
            oldest_live: oldest.map_or(0, |(_, s)| self.live(s)),
            since_snapshot: self.since_snapshot,
        }
    }

    fn live(&self, segment: &Segment) -> u64 {
        if u128::from(segment.until) <= self.time.as_micros() { 0 } else { segment.live }
    }

    /// Reason why the store rejects further writes; `None` while it accepts them.
    pub fn closed(&self) -> Option<&str> {
        self.closed.as_deref()
    }

    // Writing

    /// Writes a batch. It survives the end of the process at once, and a power failure after the next successful `sync`.
    pub fn write(&mut self, now: Duration, batch: &Batch) -> Result<()> {
        self.time = self.time.max(now);
        if let Some(error) = batch.error {
            return Err(StoreError::TooLarge(error));
        }
        if batch.is_empty() {
            return Ok(());
        }
        self.append(&[&batch.ops])
    }

    /// Writes several batches at once, each atomic by itself; on an error none of them is applied.
    pub fn write_all(&mut self, now: Duration, batches: &[&Batch]) -> Result<()> {
        self.time = self.time.max(now);
        if let Some(error) = batches.iter().find_map(|batch| batch.error) {
            return Err(StoreError::TooLarge(error));
        }
        let all: Vec<&[u8]> = batches.iter().filter(|b| !b.is_empty()).map(|b| b.ops.as_slice()).collect();
        if all.is_empty() { Ok(()) } else { self.append(&all) }
    }

    fn append(&mut self, all: &[&[u8]]) -> Result<()> {
        self.check_writable()?;
        if self.plan.rotates(self.segments[&self.active_segment].len) {
            self.rotate()?;
        }
        let begin = self.segments[&self.active_segment].len;
        let mut bytes = Vec::new();
        let mut frames = Vec::with_capacity(all.len());
        for ops in all {
            let at = begin + bytes.len() as u64;
            frames.push((at, *ops));
            bytes.extend(format::frame(self.active_segment, at, self.synced_len, self.time, ops));
        }
        let name = format::segment_name(self.active_segment);
        if let Err(error) = self.disk.append(&name, &bytes) {
            // A partial write must not precede the next frame.
            if let Err(worse) = self.disk.truncate(&name, begin) {
                self.closed = Some(format!("{name} could not be cut after a write that failed: {worse}"));
            }
            return Err(StoreError::Disk { what: format!("cannot write to {name}"), error });
        }
        let segment = self.segments.get_mut(&self.active_segment).expect("it is written to");
        segment.len += bytes.len() as u64;
        self.since_snapshot += bytes.len() as u64;
        for (at, ops) in frames {
            for (offset, len, op) in format::ops(ops).expect("made here") {
                let offset = (at + OPS_AT + offset) as u32;
                // Replaced records are read to verify their keys; an unreadable one is detected here.
                self.apply(&op, Place { segment: self.active_segment, offset, len: len as u32 })?;
            }
        }
        Ok(())
    }

    fn check_writable(&self) -> Result<()> {
        self.closed.as_ref().map_or(Ok(()), |why| Err(StoreError::Closed(why.clone())))
    }

    /// Syncs everything written. After a failure it is unknown what is durable, and a second sync could report success
    /// wrongly, so the store rejects further writes.
    pub fn sync(&mut self) -> Result<()> {
        self.check_writable()?;
        let name = format::segment_name(self.active_segment);
        if let Err(error) = self.disk.sync(&name) {
            self.closed = Some(format!("{name} could not be synced: {error}"));
            return Err(StoreError::Disk { what: format!("cannot sync {name}"), error });
        }
        self.synced_len = self.segments[&self.active_segment].len;
        Ok(())
    }

    fn rotate(&mut self) -> Result<()> {
        // Every segment before the last is fully synced; that distinguishes corruption in it from a torn end.
        self.sync()?;
        self.begin_segment(self.active_segment + 1)
    }

    fn begin_segment(&mut self, number: u64) -> Result<()> {
        let name = format::segment_name(number);
        let made = self.disk.create(&name).and_then(|()| self.disk.append(&name, &format::head(number)));
        if let Err(error) = made {
            // A partly created segment would make its predecessor appear complete.
            if let Err(worse) = self.disk.remove(&name)
                && worse.kind() != io::ErrorKind::NotFound
            {
                self.closed =
                    Some(format!("{name} could not be removed after it could not be begun: {worse}"));
            }
            return Err(StoreError::Disk { what: format!("cannot begin {name}"), error });
        }
        let synced = self.disk.sync(&name).and_then(|()| self.disk.sync_names());
        if let Err(error) = synced {
            self.closed = Some(format!("{name} could not be synced: {error}"));
            return Err(StoreError::Disk { what: format!("cannot sync {name}"), error });
        }
        if self.segments.contains_key(&self.active_segment) {
            self.name_next(number)?;
        }
        self.segments.insert(number, Segment { len: HEAD, ..Segment::default() });
        (self.active_segment, self.synced_len) = (number, HEAD);
        Ok(())
    }

    /// Writes the last frame of the active segment, which names the next one. The next segment is synced by then and
    /// not yet in use.
    fn name_next(&mut self, number: u64) -> Result<()> {
        let begin = self.segments[&self.active_segment].len;
        let mut ops = Vec::new();
        format::next(&mut ops, number);
        let frame = format::frame(self.active_segment, begin, self.synced_len, self.time, &ops);
        let name = format::segment_name(self.active_segment);
        if let Err(error) = self.disk.append(&name, &frame) {
            // This happens for example when the disk is full: removes the next segment and continues with this one.
            let new = format::segment_name(number);
            let undone = self.disk.truncate(&name, begin).and_then(|()| self.disk.remove(&new));
            if let Err(worse) = undone.and_then(|()| self.disk.sync_names()) {
                self.closed = Some(format!("{new} could not be taken back: {worse}"));
            }
            return Err(StoreError::Disk { what: format!("cannot end {name}"), error });
        }
        if let Err(error) = self.disk.sync(&name) {
            self.closed = Some(format!("{name} could not be ended: {error}"));
            return Err(StoreError::Disk { what: format!("cannot end {name}"), error });
        }
        let segment = self.segments.get_mut(&self.active_segment).expect("it was looked up");
        segment.len += frame.len() as u64;
        Ok(())
    }

    /// Records the synced length in the log, so that corruption at its end can be told from a torn end. Called before
    /// a pause or on closing.
    pub fn seal(&mut self) -> Result<()> {
        self.sync()?;
        self.append(&[&[]])?;
        self.sync()
    }

    // Background work

    /// Whether background work of this kind is pending.
    pub fn has_pending(&self, work: Work) -> bool {
        let figures = self.figures();
        let wanted = match work {
            Work::Compact => self.compaction.is_some() || self.plan.compacts(&figures),
            Work::Snapshot => self.snapshot_in_progress.is_some() || self.plan.takes_snapshot(&figures),
            Work::Flush => self.plan.flushes(self.segments[&self.active_segment].len - self.synced_len),
        };
        wanted && self.closed.is_none()
    }

    /// Whether any background work is pending.
    pub fn has_pending_work(&self) -> bool {
        Work::ALL.iter().any(|work| self.has_pending(*work))
    }

    /// Performs about `budget` bytes of one kind of work and returns the bytes processed.
    pub fn work_on(&mut self, now: Duration, work: Work, budget: usize) -> Result<usize> {
        self.time = self.time.max(now);
        self.check_writable()?;
        if !self.has_pending(work) {
            return Ok(0);
        }
        match work {
            Work::Snapshot if self.snapshot_in_progress.is_some() => self.continue_snapshot(budget),
            Work::Snapshot => self.begin_snapshot(),
            Work::Flush => {
                let bytes = self.segments[&self.active_segment].len - self.synced_len;
                self.sync().map(|()| bytes as usize)
            }
            Work::Compact => {
                if self.compaction.is_none() {
                    let (number, _) = self.segments.first_key_value().expect("it counts them");
                    let segment = *number;
                    let bytes = self.read_all(&format::segment_name(segment))?;
                    self.compaction = Some(Compaction { segment, bytes, at: HEAD });
                }
                self.continue_compaction(budget)
            }
        }
    }

    /// Performs part of the first kind of work that is pending.
    pub fn work(&mut self, now: Duration, budget: usize) -> Result<usize> {
        match Work::ALL.into_iter().find(|work| self.has_pending(*work)) {
            Some(work) => self.work_on(now, work, budget),
            None => Ok(0),
        }
    }

    /// Compacts all full segments and writes a snapshot, whatever the plan says.
    pub fn compact(&mut self, now: Duration) -> Result<()> {
        self.time = self.time.max(now);
        if self.segments[&self.active_segment].len > HEAD {
            self.rotate()?;
        }
        let end = self.active_segment;
        while self.segments.first_key_value().is_some_and(|(number, _)| *number < end) {
            let (number, _) = self.segments.first_key_value().expect("it is there");
            let segment = *number;
            let bytes = self.read_all(&format::segment_name(segment))?;
            self.compaction = Some(Compaction { segment, bytes, at: HEAD });
            self.continue_compaction(usize::MAX)?;
        }
        self.begin_snapshot()?;
        while self.snapshot_in_progress.is_some() {
            self.continue_snapshot(1 << 20)?;
        }
        Ok(())
    }

    /// Copies live records to the end of the log frame by frame, then removes the segment.
    fn continue_compaction(&mut self, budget: usize) -> Result<usize> {
        let Some(mut compaction) = self.compaction.take() else { return Ok(0) };
        let mut batch = Vec::new();
        let mut done = 0;
        while (compaction.at as usize) < compaction.bytes.len() && done < budget {
            let Some(frame) = format::read_frame(
                &compaction.bytes[compaction.at as usize..],
                compaction.segment,
                compaction.at,
            ) else {
                return Err(StoreError::Damaged(Damage {
                    file: format::segment_name(compaction.segment),
                    offset: compaction.at,
                    what: "what was written there cannot be read".into(),
                }));
            };
            for (offset, len, op) in format::ops(frame.ops).unwrap_or_default() {
                let offset = (compaction.at + OPS_AT + offset) as u32;
                let place = Place { segment: compaction.segment, offset, len: len as u32 };
                if let Op::Put { table, key, expires, value } = op {
                    let fingerprint = self.index.fingerprint(table, key);
                    let is_newest = self.index.places(fingerprint).any(|known| known == place);
                    if is_newest && expires.is_none_or(|expires| expires > self.time) {
                        if batch.len() + len as usize > MAX_BATCH {
                            self.append(&[&std::mem::take(&mut batch)])?;
                        }
                        format::put(&mut batch, table, key, expires, value);
                    } else if is_newest {
                        self.index.remove(fingerprint, place);
                        if let Some(segment) = self.segments.get_mut(&compaction.segment) {
                            segment.live = segment.live.saturating_sub(len);
                        }
                    }
                }
            }
            done += frame.len as usize;
            compaction.at += frame.len;
        }
        if !batch.is_empty() {
            self.append(&[&batch])?;
        }
        if (compaction.at as usize) < compaction.bytes.len() {
            self.compaction = Some(compaction);
            return Ok(done);
        }
        let mut min_segment = Vec::new();
        format::min_segment(&mut min_segment, compaction.segment + 1);
        self.append(&[&min_segment])?;
        // The copies and the new minimum are synced before the original is removed.
        self.sync()?;
        self.segments.remove(&compaction.segment);
        let name = format::segment_name(compaction.segment);
        at("remove", &name, self.disk.remove(&name))?;
        Ok(done.max(1))
    }

    fn begin_snapshot(&mut self) -> Result<usize> {
        let log_end = (self.active_segment, self.segments[&self.active_segment].len);
        let bytes = snapshot::head(log_end, self.min_segment, self.time, &self.segments, &self.index);
        let name = format!("{}.new", snapshot::name(self.next_snapshot));
        let _ = self.disk.remove(&name); // A failed attempt may have left this file.
        at("create", &name, self.disk.create(&name))?;
        self.since_snapshot = 0;
        let writing = SnapshotInProgress { name, shard: 0, sum: 0, required_sync: log_end };
        self.add_to_snapshot(writing, &bytes).map(|()| bytes.len())
    }

    /// Appends to the snapshot in progress. A failed snapshot is dispensable and is restarted after more writes.
    fn add_to_snapshot(&mut self, mut writing: SnapshotInProgress, bytes: &[u8]) -> Result<()> {
        // The file is synced in steps, so that the last sync stays short.
        let added = self.disk.append(&writing.name, bytes).and_then(|()| self.disk.sync(&writing.name));
        if let Err(error) = added {
            let _ = self.disk.remove(&writing.name);
            return Err(StoreError::Disk { what: format!("cannot write {}", writing.name), error });
        }
        writing.sum = crc32c::crc32c_append(writing.sum, bytes);
        writing.required_sync = (self.active_segment, self.segments[&self.active_segment].len);
        self.snapshot_in_progress = Some(writing);
        Ok(())
    }

    fn continue_snapshot(&mut self, budget: usize) -> Result<usize> {
        let Some(mut writing) = self.snapshot_in_progress.take() else { return Ok(0) };
        let mut bytes = Vec::new();
        while writing.shard < SHARDS && bytes.len() < budget.max(1) {
            bytes.extend(snapshot::part(&self.index, writing.shard));
            writing.shard += 1;
        }
        if !bytes.is_empty() {
            let done = bytes.len();
            return self.add_to_snapshot(writing, &bytes).map(|()| done);
        }
        // Shards were captured during writes; a snapshot must not refer to log data that may still be lost.
        if writing.required_sync.0 == self.active_segment && writing.required_sync.1 > self.synced_len {
            self.sync()?;
        }
        self.finish_snapshot(&writing).map(|()| 1)
    }

    fn finish_snapshot(&mut self, writing: &SnapshotInProgress) -> Result<()> {
        let number = self.next_snapshot;
        let name = snapshot::name(number);
        let appended = self.disk.append(&writing.name, &writing.sum.to_le_bytes());
        let synced = appended.and_then(|()| self.disk.sync(&writing.name));
        let synced = synced.and_then(|()| self.disk.rename(&writing.name, &name));
        at("finish", &name, synced.and_then(|()| self.disk.sync_names()))?;
        self.next_snapshot += 1;
        for file in at("list", "its files", self.disk.names())? {
            if snapshot::number(&file).is_some_and(|older| older < number) {
                at("remove", &file, self.disk.remove(&file))?;
            }
        }
        Ok(())
    }

    /// Returns the disk without syncing, as at the end of the process.
    pub fn into_disk(self) -> D {
        self.disk
    }
}
