//! Read-only check of a store that is not open.

use std::time::Duration;

use crate::condition::{self, SegmentCondition};
use crate::disk::Disk;
use crate::format::{self, OPS_AT, Op};
use crate::snapshot;
use crate::store::{Damage, StoreError};

/// Result of checking all files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub segments: usize,
    pub bytes: u64,
    pub frames: u64,
    pub puts: u64,
    pub deletes: u64,
    /// A torn end, which opening would truncate; it holds no acknowledged synced data.
    pub torn: Option<Damage>,
    pub damage: Vec<Damage>,
    /// Unreadable snapshots; the log is read instead.
    pub bad_snapshots: Vec<String>,
}

/// One operation of the log, for display.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedOperation {
    pub file: String,
    pub offset: u64,
    pub time: Duration,
    pub what: String,
    pub table: String,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub expires: Option<Duration>,
}

/// Reads all files completely and passes each operation to `each`.
pub fn inspect(disk: &mut impl Disk, mut each: impl FnMut(LoggedOperation)) -> Result<Report, StoreError> {
    disk.lock().map_err(|error| match error.kind() {
        std::io::ErrorKind::WouldBlock => StoreError::Locked,
        _ => StoreError::Disk { what: "there is no store here".into(), error },
    })?;
    let failed = |name: &str| {
        let what = format!("cannot read {name}");
        move |error| StoreError::Disk { what, error }
    };
    let names = disk.names().map_err(failed("its folder"))?;
    let mut report = Report::default();
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| format::segment_number(name)).collect();
    numbers.sort_unstable();
    let mut before: Option<(u64, bool)> = None;
    for (position, number) in numbers.iter().enumerate() {
        let name = format::segment_name(*number);
        let len = disk.len(&name).map_err(failed(&name))?;
        let mut bytes = vec![0; len as usize];
        disk.read(&name, 0, &mut bytes).map_err(failed(&name))?;
        report.segments += 1;
        report.bytes += len;
        let is_last = position + 1 == numbers.len();
        let (mut names_successor, mut unreadable, mut frames) = (false, None, 0);
        let condition = condition::assess(&bytes, *number, 0, is_last, |at, frame| {
            frames += 1;
            names_successor = condition::names_next_segment(&frame, *number);
            let Some(ops) = format::ops(frame.ops) else {
                unreadable.get_or_insert(at);
                return;
            };
            for (offset, _, op) in ops {
                let mut operation = LoggedOperation {
                    file: name.clone(),
                    offset: at + OPS_AT + offset,
                    time: frame.time,
                    what: String::new(),
                    table: String::new(),
                    key: Vec::new(),
                    value: Vec::new(),
                    expires: None,
                };
                match op {
                    Op::Put { table, key, expires, value } => {
                        report.puts += 1;
                        (operation.what, operation.table) = ("put".into(), table.into());
                        (operation.key, operation.value, operation.expires) =
                            (key.to_vec(), value.to_vec(), expires);
                    }
                    Op::Delete { table, key } => {
                        report.deletes += 1;
                        (operation.what, operation.table, operation.key) =
                            ("delete".into(), table.into(), key.to_vec());
                    }
                    Op::MinSegment { segment } => operation.what = format!("floor {segment:016x}"),
                    Op::Next { segment } => operation.what = format!("next {segment:016x}"),
                }
                each(operation);
            }
        });
        report.frames += frames;
        let mut damaged = |offset, what: &str| {
            report.damage.push(Damage { file: name.clone(), offset, what: what.into() });
        };
        if let Some((former, named)) = before {
            if former + 1 != *number {
                damaged(
                    0,
                    &format!("the segment before it, {}, is missing", format::segment_name(number - 1)),
                );
            } else if !named && frames > 0 {
                damaged(0, "the segment before it ends without naming it");
            }
        }
        if let Some(at) = unreadable {
            damaged(at, "its checksum holds and its operations cannot be read");
        }
        match condition {
            SegmentCondition::Intact => {}
            SegmentCondition::Torn { at } => {
                report.torn = Some(Damage { file: name.clone(), offset: at, what: "a torn end".into() });
            }
            SegmentCondition::Uninitialized => {
                report.torn =
                    Some(Damage { file: name.clone(), offset: 0, what: "begun and not born".into() });
            }
            SegmentCondition::Corrupt { at } => damaged(at, "what was written there cannot be read"),
            SegmentCondition::Newer { version } => {
                return Err(StoreError::Newer { file: name, found: version });
            }
        }
        if is_last && names_successor {
            report.damage.push(Damage {
                file: format::segment_name(number + 1),
                offset: 0,
                what: "the segment is missing".into(),
            });
        }
        before = Some((*number, names_successor));
    }
    for name in names.iter().filter(|name| snapshot::number(name).is_some()) {
        let len = disk.len(name).map_err(failed(name))?;
        let mut bytes = vec![0; len as usize];
        disk.read(name, 0, &mut bytes).map_err(failed(name))?;
        if snapshot::read(&bytes).is_none() {
            report.bad_snapshots.push(name.clone());
        }
    }
    Ok(report)
}
