//! `lotussaddle store`: looks at a store that nobody has open. Only `compact` changes anything.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use clap::ValueEnum;
use lotussaddle_store::{Plan, RealDisk, Report, Store, StoreError, inspect};

use crate::Failed;

#[derive(Clone, Copy, ValueEnum)]
pub enum StoreCommand {
    /// Reads every byte; exit 1 with file and offset where there is damage.
    Check,
    /// Prints every operation of the log, one a line, as JSON.
    Dump,
    /// Counts and sizes.
    Stats,
    /// Copies what is live together and removes the rest.
    Compact,
}

fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

pub fn run(what: StoreCommand, folder: &Path) -> Result<()> {
    let place = || format!("store {}", folder.display());
    if let StoreCommand::Compact = what {
        // Looked at first, so that nothing is made of a folder that is none.
        told(inspect(&mut RealDisk::read_only(folder), |_| ()).with_context(place)?, false)?;
        let disk = RealDisk::open(folder).with_context(place)?;
        let mut store = Store::open(disk, Plan::default()).with_context(place)?;
        let before = store.stats().figures.written;
        store.compact(now()).and_then(|()| store.seal()).with_context(place)?;
        println!("{before} bytes before, {} after", store.stats().figures.written);
        return Ok(());
    }
    let mut failed = None;
    let mut live = std::collections::BTreeMap::<String, (u64, u64)>::new();
    let report = inspect(&mut RealDisk::read_only(folder), |op| {
        if let StoreCommand::Dump = what {
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
            let line = serde_json::json!({
                "file": op.file, "offset": op.offset, "time_s": op.time.as_secs_f64(), "what": op.what,
                "table": op.table, "key": text(&op.key), "value": text(&op.value),
                "expires_s": op.expires.map(|t| t.as_secs_f64()),
            });
            // A reader that has seen enough closes its end.
            if failed.is_none() {
                failed = std::io::Write::write_fmt(&mut std::io::stdout(), format_args!("{line}\n")).err();
            }
        }
        if op.what == "put" {
            let sizes = live.entry(op.table).or_default();
            *sizes = (sizes.0 + 1, sizes.1 + (op.key.len() + op.value.len()) as u64);
        }
    });
    let report = match report {
        Err(error @ StoreError::Newer { .. }) => return Err(error).with_context(place),
        other => other.with_context(place)?,
    };
    if let StoreCommand::Stats = what {
        println!("{} segments, {} bytes, {} frames", report.segments, report.bytes, report.frames);
        println!("{} puts, {} deletes", report.puts, report.deletes);
        for (table, (puts, bytes)) in &live {
            println!("table {table}: {puts} puts of {bytes} bytes");
        }
    }
    told(report, !matches!(what, StoreCommand::Dump))
}

fn told(report: Report, speaks: bool) -> Result<()> {
    if let Some(torn) = report.torn.as_ref().filter(|_| speaks) {
        println!(
            "{}: {} from byte {} on; opening cuts it off, nothing that was promised",
            torn.file, torn.what, torn.offset
        );
    }
    for name in &report.bad_snapshots {
        eprintln!("{name}: cannot be read; the log is read in its place");
    }
    for damage in &report.damage {
        eprintln!("{}: damaged at byte {}: {}", damage.file, damage.offset, damage.what);
    }
    if !report.damage.is_empty() {
        return Err(Failed.into());
    }
    if speaks {
        println!("no damage in {} segments, {} bytes", report.segments, report.bytes);
    }
    Ok(())
}
