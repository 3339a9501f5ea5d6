//! Records: written whole or not at all, and read with all their figures checked.

mod common;

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use hdrhistogram::Histogram;
use lotussaddle_scale::error::ScaleError;
use lotussaddle_scale::family::Family;
use lotussaddle_scale::record::{
    Aggregate, Commit, Distribution, Machine, Measurement, Quantity, Role, RunRecord, Unit,
};
use lotussaddle_scale::record_file::{
    Existing, load_directories, load_record, record_path, save_record, save_whole, write_record,
};

use common::record;

/// A disk that is full after so many bytes.
struct FullDisk<'a> {
    file: &'a mut File,
    left: usize,
}

impl Write for FullDisk<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.left == 0 {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let taken = bytes.len().min(self.left);
        self.left -= taken;
        self.file.write(&bytes[..taken])
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

fn names(directory: &Path) -> Vec<String> {
    let names = fs::read_dir(directory).unwrap();
    names.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect()
}

fn as_text(record: &RunRecord) -> Vec<u8> {
    let mut text = Vec::new();
    write_record(record, &mut text).unwrap();
    text
}

#[test]
fn a_record_is_read_back_as_it_was_saved() {
    let directory = tempfile::tempdir().unwrap();
    let saved = record(64, 7, 1234.5678901234567);
    let path = save_record(&saved, directory.path()).unwrap();
    assert_eq!(path, record_path(directory.path(), "family", 64, 7));
    assert_eq!(names(directory.path()), ["family-size-00064-seed-7.json"]);
    assert_eq!(load_record(&path).unwrap(), saved);
}

#[test]
fn what_was_not_measured_is_absent() {
    let mut bare = record(64, 7, 1.0);
    bare.observations.distributions.clear();
    bare.machine.memory_bytes = None;
    bare.observations.measurements[0].role = None;
    let text = String::from_utf8(as_text(&bare)).unwrap();
    for absent in ["null", "kind", "role", "memory_bytes", "false-suspicions"] {
        assert!(!text.contains(absent), "{absent}: {text}");
    }
    assert!(Distribution::summary(Quantity::CallAdded, None, &Histogram::new(3).unwrap()).is_none());
}

#[test]
fn a_histogram_is_summarised() {
    let mut histogram = Histogram::<u64>::new(3).unwrap();
    for microseconds in 1..=1000 {
        histogram.record(microseconds).unwrap();
    }
    let summary = Distribution::summary(Quantity::DeathKnown, Some(Role::EdgeProxy), &histogram).unwrap();
    assert_eq!((summary.count, summary.p50, summary.p99, summary.max), (1000, 500, 990, 1000));
    assert_eq!(summary.unit, Unit::Microseconds);
}

#[test]
fn no_beginning_of_a_record_reads_as_whole() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("cut.json");
    let text = as_text(&record(64, 7, 1234.5));
    for length in 0..text.len() {
        fs::write(&path, &text[..length]).unwrap();
        let error = load_directories(&[directory.path().into()]).unwrap_err();
        assert!(matches!(error, ScaleError::BadRecord { .. }), "{length} bytes: {error}");
        assert!(error.to_string().contains("cut.json: not a whole record"), "{length} bytes: {error}");
    }
    fs::write(&path, &text).unwrap();
    load_directories(&[directory.path().into()]).unwrap();
}

#[test]
fn no_zeroed_end_of_a_record_reads_as_whole() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("zeroed.json");
    let text = as_text(&record(64, 7, 1234.5));
    for length in 0..text.len() {
        let mut zeroed = text.clone();
        zeroed[length..].fill(0);
        fs::write(&path, &zeroed).unwrap();
        assert!(load_record(&path).is_err(), "zeros from byte {length} on");
    }
}

#[test]
fn a_full_disk_leaves_no_file_at_any_byte() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("full.json");
    let full = record(64, 7, 1234.5);
    for room in 0..as_text(&full).len() {
        let fill = |file: &mut File| write_record(&full, &mut FullDisk { file, left: room });
        let error = save_whole(&path, Existing::Kept, fill).unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::StorageFull, "room for {room} bytes");
        assert!(names(directory.path()).is_empty(), "room for {room} bytes: {:?}", names(directory.path()));
    }
}

#[test]
fn the_system_says_that_a_disk_is_full() {
    let Ok(mut full) = OpenOptions::new().write(true).open("/dev/full") else { return };
    let error = write_record(&record(64, 7, 1.0), &mut full).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::StorageFull);
}

#[test]
fn a_record_that_is_not_written_is_named() {
    let directory = tempfile::tempdir().unwrap();
    let missing = directory.path().join("missing");
    let error = save_record(&record(64, 7, 1.0), &missing).unwrap_err();
    assert!(matches!(error, ScaleError::RecordNotWritten { .. }));
    assert!(error.is_failed_run());
    let told = error.to_string();
    assert!(told.contains("family-size-00064-seed-7.json: the record was not written: "), "{told}");
}

#[test]
fn nothing_reads_as_a_record_while_it_is_written() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("run.json");
    let saved = record(64, 7, 1234.5);
    let text = as_text(&saved);
    let fill = |file: &mut File| {
        for byte in &text {
            file.write_all(&[*byte])?;
            assert_eq!(load_directories(&[directory.path().into()]).unwrap(), []);
        }
        Ok(())
    };
    save_whole(&path, Existing::Kept, fill).unwrap();
    assert_eq!(names(directory.path()), ["run.json"]);
    assert_eq!(load_record(&path).unwrap(), saved);
}

#[test]
fn what_a_killed_run_leaves_is_no_record() {
    let directory = tempfile::tempdir().unwrap();
    for size in [8, 16, 32] {
        save_record(&record(size, 7, 1.0), directory.path()).unwrap();
    }
    // A killed process cannot remove its temporary file: even a whole one that was not renamed is none.
    fs::write(directory.path().join(".kP3x9A.partial"), as_text(&record(64, 7, 1.0))).unwrap();
    let stored = load_directories(&[directory.path().into()]).unwrap();
    assert_eq!(Family::gather(&stored).unwrap().sizes.into_iter().collect::<Vec<_>>(), [8, 16, 32]);
}

#[test]
fn a_record_is_not_overwritten() {
    let directory = tempfile::tempdir().unwrap();
    let first = record(64, 7, 1.0);
    let path = save_record(&first, directory.path()).unwrap();
    assert!(save_record(&record(64, 7, 2.0), directory.path()).is_err());
    assert_eq!(load_record(&path).unwrap(), first);
    assert_eq!(names(directory.path()).len(), 1);
}

/// The error of a record that was changed.
fn refusal(change: impl FnOnce(&mut RunRecord)) -> String {
    let directory = tempfile::tempdir().unwrap();
    let mut changed = record(64, 7, 1.0);
    change(&mut changed);
    let path: PathBuf = directory.path().join("changed.json");
    fs::write(&path, as_text(&changed)).unwrap();
    load_record(&path).unwrap_err().to_string()
}

#[test]
fn figures_that_cannot_be_are_refused() {
    let refused = |wanted: &str, change: fn(&mut RunRecord)| {
        let told = refusal(change);
        assert!(told.contains("changed.json: not a whole record: "), "{told}");
        assert!(told.contains(wanted), "{told}");
    };
    refused("it has format 2", |record| record.format += 1);
    refused("size 1 is not from 2", |record| record.size = 1);
    refused("bytes-sent in Bytes", |record| record.observations.measurements[0].unit = Unit::Bytes);
    refused("bytes-sent is -1", |record| record.observations.measurements[0].value = -1.0);
    refused("invalid type: null", |record| record.observations.measurements[0].value = f64::NAN);
    refused("counts nothing", |record| record.observations.distributions[0].count = 0);
    refused("out of order", |record| record.observations.distributions[0].p50 = 2001);
    refused("change-in-force in Count", |record| record.observations.distributions[0].unit = Unit::Count);
    refused("bytes-sent mean of edge-proxy is there twice", |record| {
        let first = record.observations.measurements[0].clone();
        record.observations.measurements.push(first);
    });
}

#[test]
fn an_unknown_field_is_refused() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("more.json");
    let text = String::from_utf8(as_text(&record(64, 7, 1.0))).unwrap();
    fs::write(&path, text.replacen('{', "{\"colour\": 1,", 1)).unwrap();
    assert!(load_record(&path).unwrap_err().to_string().contains("unknown field `colour`"));
}

#[test]
fn a_measurement_has_the_unit_of_its_quantity() {
    for quantity in Quantity::ALL {
        assert_eq!(Measurement::new(quantity, Aggregate::Mean, 1.0).unit, quantity.unit());
        let written = serde_json::to_value(quantity).unwrap();
        assert_eq!(written, quantity.name(), "plans and records write it alike");
    }
}

#[test]
fn a_record_tells_commit_and_machine() {
    let commit = Commit::here();
    let is_hash = commit.hash.len() == 40 && commit.hash.chars().all(|letter| letter.is_ascii_hexdigit());
    assert!(is_hash || commit.hash == "unknown", "{commit:?}");
    let machine = Machine::here();
    assert!(machine.cores > 0);
    assert!(machine.memory_bytes.is_none_or(|bytes| bytes > 1 << 20));
}
