//! Records on disk: written whole or not at all, read with all their figures checked.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use crate::error::ScaleError;
use crate::family::values_of;
use crate::plan::MAX_SIZE;
use crate::record::{Distribution, Measurement, Observations, RECORD_FORMAT, RunRecord};

/// The extension of records; a file with another one is not read.
pub const EXTENSION: &str = "json";
/// The end of a name while its file is written.
const PARTIAL: &str = ".partial";
/// Bytes of a record, at most.
const MAX_RECORD: u64 = 64 * 1024 * 1024;

/// Where the record of a run stands in a directory.
pub fn record_path(directory: &Path, plan_name: &str, size: usize, seed: u64) -> PathBuf {
    directory.join(format!("{plan_name}-size-{size:05}-seed-{seed}.{EXTENSION}"))
}

/// Writes a record as JSON. Nothing follows its last brace, so that no proper beginning of it is a whole record.
pub fn write_record(record: &RunRecord, writer: &mut impl Write) -> io::Result<()> {
    let text = serde_json::to_vec_pretty(record)?;
    writer.write_all(&text)?;
    writer.flush()
}

/// Saves a record under its name in the directory, which must not hold one of this name yet.
pub fn save_record(record: &RunRecord, directory: &Path) -> Result<PathBuf, ScaleError> {
    let path = record_path(directory, &record.plan_name, record.size, record.seed);
    save_whole(&path, Existing::Kept, |file| write_record(record, file))
        .map_err(|source| ScaleError::RecordNotWritten { path: path.clone(), source })?;
    Ok(path)
}

/// What becomes of a file that is already there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Existing {
    /// It stays, and saving fails.
    Kept,
    Replaced,
}

/// Makes a file whole or not at all: what `fill` writes goes to a temporary file in the same directory, which is
/// synced and renamed. Upon an error the temporary file is removed; a killed process leaves one whose name no
/// reader takes for a record.
pub fn save_whole(
    path: &Path, existing: Existing, fill: impl FnOnce(&mut File) -> io::Result<()>,
) -> io::Result<()> {
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut temporary = tempfile::Builder::new().prefix(".").suffix(PARTIAL).tempfile_in(directory)?;
    fill(temporary.as_file_mut())?;
    temporary.as_file().sync_all()?;
    let persisted = match existing {
        Existing::Kept => temporary.persist_noclobber(path),
        Existing::Replaced => temporary.persist(path),
    };
    persisted.map_err(|refused| refused.error)?;
    File::open(directory)?.sync_all()
}

/// A record and where it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredRecord {
    pub path: PathBuf,
    pub record: RunRecord,
}

/// Reads all records of some directories, by their names.
pub fn load_directories(directories: &[PathBuf]) -> Result<Vec<StoredRecord>, ScaleError> {
    let mut stored = Vec::new();
    for directory in directories {
        for path in record_files(directory)? {
            let record = load_record(&path)?;
            stored.push(StoredRecord { path, record });
        }
    }
    Ok(stored)
}

fn record_files(directory: &Path) -> Result<Vec<PathBuf>, ScaleError> {
    let unreadable = |source| ScaleError::Unreadable { path: directory.into(), source };
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.extension().is_some_and(|extension| extension == EXTENSION) {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Reads one record; what is not whole is refused with the name of its file.
pub fn load_record(path: &Path) -> Result<RunRecord, ScaleError> {
    let bytes = read_bounded(path, MAX_RECORD)?;
    parse_record(&bytes).map_err(|why| ScaleError::BadRecord { path: path.into(), why })
}

/// Reads a file that has so many bytes at most.
pub fn read_bounded(path: &Path, most: u64) -> Result<Vec<u8>, ScaleError> {
    let unreadable = |source| ScaleError::Unreadable { path: path.into(), source };
    let file = File::open(path).map_err(unreadable)?;
    let mut bytes = Vec::new();
    file.take(most + 1).read_to_end(&mut bytes).map_err(unreadable)?;
    if bytes.len() as u64 > most {
        return Err(unreadable(io::Error::other(format!("over {most} bytes"))));
    }
    Ok(bytes)
}

fn parse_record(bytes: &[u8]) -> Result<RunRecord, String> {
    let record: RunRecord = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    check_record(&record)?;
    Ok(record)
}

fn check_record(record: &RunRecord) -> Result<(), String> {
    if record.format != RECORD_FORMAT {
        return Err(format!("it has format {}, this program reads {RECORD_FORMAT}", record.format));
    }
    if !(2..=MAX_SIZE).contains(&record.size) {
        return Err(format!("size {} is not from 2 to {MAX_SIZE}", record.size));
    }
    let Observations { measurements, distributions } = &record.observations;
    measurements.iter().try_for_each(check_measurement)?;
    distributions.iter().try_for_each(check_distribution)?;
    check_distinct(record)
}

/// No value is there twice: a mean over seeds would take both for runs of their own.
fn check_distinct(record: &RunRecord) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for (key, _) in values_of(record) {
        if !seen.insert(key.clone()) {
            return Err(format!("{key} is there twice"));
        }
    }
    Ok(())
}

fn check_measurement(measurement: &Measurement) -> Result<(), String> {
    let quantity = measurement.quantity;
    if measurement.unit != quantity.unit() {
        return Err(format!("{quantity} in {:?}, not {:?}", measurement.unit, quantity.unit()));
    }
    if !measurement.value.is_finite() || measurement.value < 0.0 {
        return Err(format!("{quantity} is {}", measurement.value));
    }
    Ok(())
}

fn check_distribution(distribution: &Distribution) -> Result<(), String> {
    let quantity = distribution.quantity;
    if distribution.unit != quantity.unit() {
        return Err(format!("{quantity} in {:?}, not {:?}", distribution.unit, quantity.unit()));
    }
    if distribution.count == 0 {
        return Err(format!("{quantity} counts nothing, which is left out"));
    }
    if distribution.p50 > distribution.p99 || distribution.p99 > distribution.max {
        return Err(format!("{quantity} has p50, p99 and max out of order"));
    }
    Ok(())
}
