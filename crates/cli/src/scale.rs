//! `lotussaddle scale`: what a member costs as the fleet grows, and the law by which it grows.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result};
use clap::Subcommand;
use lotussaddle_scale::ScaleError;
use lotussaddle_scale::campaign::{Campaign, CampaignSettings};
use lotussaddle_scale::chain::{ChainTimes, HopHistogram};
use lotussaddle_scale::family::Family;
use lotussaddle_scale::fit::{FitOptions, FitReport};
use lotussaddle_scale::plan::{MAX_SIZE, ScalePlan};
use lotussaddle_scale::record_file::{Existing, StoredRecord, load_directories, save_whole};
use lotussaddle_scale::runner::runner_of;
use lotussaddle_scale::watchdog::Watchdog;

use crate::Failed;

#[derive(Subcommand)]
pub enum ScaleCommand {
    /// Runs a plan at each of its sizes and saves one record a size.
    Run {
        plan: PathBuf,
        #[arg(long)]
        seed: u64,
        /// The directory of the records; it is made if it is not there.
        #[arg(long)]
        out: PathBuf,
    },
    /// A process of hollow members, as a run over sockets starts it; it is told what to do on its standard input.
    #[command(hide = true)]
    Host,
    /// Says by which law each quantity grows, from the records of some directories.
    Fit {
        #[arg(required = true)]
        directories: Vec<PathBuf>,
        /// The size to predict from the smaller ones; the largest of four sizes or more if not given.
        #[arg(long)]
        hold_out: Option<usize>,
        /// The size to extrapolate to.
        #[arg(long, value_parser = clap::value_parser!(u64).range(2..=MAX_SIZE as u64))]
        at: Option<u64>,
        /// Write the report here too, as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// The time of a chain of independent hops, from the histogram of one.
    Chain {
        /// A JSON list of [upper_bound_us, count].
        histogram: PathBuf,
        #[arg(long, default_value_t = 15)]
        hops: u32,
        /// Exit 1 if the 99th percentile of the chain is longer, such as "1.8ms".
        #[arg(long, value_parser = parse_time)]
        at_most: Option<Duration>,
    },
}

fn parse_time(text: &str) -> Result<Duration, String> {
    lotussaddle_sheet::span(text).ok_or_else(|| "a time with its unit, such as \"1.8ms\"".into())
}

pub fn run(what: ScaleCommand) -> Result<()> {
    match what {
        ScaleCommand::Run { plan, seed, out } => run_plan(&plan, seed, out),
        ScaleCommand::Host => lotussaddle_scale::socket_host::run_host(),
        ScaleCommand::Fit { directories, hold_out, at, json } => {
            let at = at.map(|size| size as usize);
            fit(&directories, FitOptions { hold_out, at }, json.as_deref())
        }
        ScaleCommand::Chain { histogram, hops, at_most } => chain(&histogram, hops, at_most),
    }
}

fn run_plan(path: &Path, seed: u64, out: PathBuf) -> Result<()> {
    let plan = ScalePlan::load(path)?;
    let runner = runner_of(plan.mode)?;
    let executable = std::env::current_exe().context("the path of this program")?;
    let settings = CampaignSettings { seed, out, executable };
    let campaign = Campaign::prepare(&plan, runner.as_ref(), settings)?;
    for size in &plan.sizes {
        let _watchdog = Watchdog::start(*size, plan.bounds, end_process).context("the watchdog")?;
        match campaign.run_size(*size) {
            Ok(stored) => print_record(&plan, &stored)?,
            Err(error) if error.is_failed_run() => return failed(&error),
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

/// Ends a run past its bounds; processes that it started end with their standard input.
fn end_process(breach: ScaleError) {
    eprintln!("lotussaddle: {breach}; the run was ended");
    std::process::exit(1);
}

fn failed(error: &ScaleError) -> Result<()> {
    eprintln!("lotussaddle: {error}");
    Err(Failed.into())
}

fn print_record(plan: &ScalePlan, stored: &StoredRecord) -> io::Result<()> {
    let record = &stored.record;
    let measured = record.measured();
    let seconds = Duration::from_millis(record.took_ms).as_secs_f64();
    let mut out = io::stdout();
    writeln!(out, "size {}: {seconds:.1} s, {}", record.size, stored.path.display())?;
    for quantity in plan.measure.iter().filter(|quantity| !measured.contains(quantity)) {
        writeln!(out, "size {}: {quantity} was not measured", record.size)?;
    }
    Ok(())
}

fn fit(directories: &[PathBuf], options: FitOptions, json: Option<&Path>) -> Result<()> {
    let stored = load_directories(directories)?;
    let family = Family::gather(&stored)?;
    let report = FitReport::new(&family, options)?;
    if let Some(path) = json {
        let write = |file: &mut File| Ok(serde_json::to_writer_pretty(file, &report)?);
        save_whole(path, Existing::Replaced, write)
            .with_context(|| format!("{}: the report was not written", path.display()))?;
    }
    write!(io::stdout(), "{report}")?;
    Ok(())
}

fn chain(path: &Path, hops: u32, at_most: Option<Duration>) -> Result<()> {
    let times = HopHistogram::load(path)?.chain(hops)?;
    let ChainTimes { resolution_us, mean_us, p50_us, p99_us, hop_p99_us, .. } = times;
    let mut out = io::stdout();
    writeln!(out, "{hops} independent hops: mean {mean_us:.1} us, p50 {p50_us} us, p99 {p99_us} us")?;
    writeln!(out, "one hop: p99 {hop_p99_us} us; resolution {resolution_us} us")?;
    match at_most {
        Some(bound) if u128::from(p99_us) > bound.as_micros() => {
            eprintln!(
                "lotussaddle: the p99 of the chain is {p99_us} us, the bound is {} us",
                bound.as_micros()
            );
            Err(Failed.into())
        }
        _ => Ok(()),
    }
}
