//! The command `lotussaddle`: edge proxy, stand-ins, days, scale runs. Errors go to standard error in one plain message; the
//! exit code is 2 for bad usage or input, 1 for a broken rule or a failed check, 0 else.

mod days;
mod fleets;
mod numbers;
mod report;
mod scale;
mod stores;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::{Parser, Subcommand, ValueEnum};
use lotussaddle_serve::{EdgeSheet, LogForm};
use lotussaddle_sheet::Mistakes;

#[derive(Parser)]
#[command(name = "lotussaddle", version, about = "A call router that sets calls up over trunk groups")]
struct Command {
    /// How the log is written, on standard error.
    #[arg(long, value_enum, default_value = "text", global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum What {
    /// An embedded fleet on loopback, a bad day, and the verdict.
    Demo {
        /// How long dials come.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=50))]
        seconds: u64,
        #[arg(long)]
        seed: Option<u64>,
        /// Keep the record, the verdict, the sheets and the logs here.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs an edge proxy until it is killed.
    Serve {
        #[arg(required_unless_present = "platform")]
        sheet: Option<PathBuf>,
        /// As the platform starts it: configured by the file that RELAY_CONFIG names, in the platform's protocol.
        #[arg(long, conflicts_with_all = ["sheet", "tied", "baseline"])]
        platform: bool,
        /// End when standard input ends.
        #[arg(long, hide = true)]
        tied: bool,
        #[arg(long, hide = true)]
        baseline: Option<String>,
        /// A fault for tests: the clock of this process runs so fast.
        #[arg(long, hide = true, default_value_t = 1.0)]
        clock_rate: f64,
        /// A fault for tests: the clock on the wall is off by so many seconds.
        #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
        wall_off: i64,
    },
    /// Reads the configuration of an edge proxy and tells all its mistakes.
    Check { sheet: PathBuf },
    /// Runs a stand-in by itself.
    Standin {
        #[arg(value_enum)]
        which: Which,
        sheet: PathBuf,
    },
    /// Looks at a store that nobody has open.
    Store {
        #[arg(value_enum)]
        what: stores::StoreCommand,
        folder: PathBuf,
    },
    /// Tables by which dialled numbers are analysed.
    Numbers {
        #[command(subcommand)]
        what: numbers::NumbersCommand,
    },
    /// What a member of a fleet knows of the others and of dialogues.
    Fleet {
        #[command(subcommand)]
        what: fleets::FleetCommand,
    },
    /// Days: a fleet, its load and its troubles.
    Day {
        #[command(subcommand)]
        what: days::DayCommand,
    },
    /// Scale runs: what a member costs as the fleet grows.
    Scale {
        #[command(subcommand)]
        what: scale::ScaleCommand,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Which {
    Core,
    List,
    Callers,
    LookUps,
}

/// A rule was broken, or a check failed; what is to be said is said.
#[derive(Debug)]
pub struct Failed;

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("failed")
    }
}

impl std::error::Error for Failed {}

fn main() -> ExitCode {
    let command = Command::parse();
    let form = match command.log_format {
        LogFormat::Text => LogForm::Text,
        LogFormat::Json => LogForm::Json,
    };
    lotussaddle_serve::logging(form);
    match run(command.what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.is::<Failed>() => ExitCode::from(1),
        Err(error) => {
            eprintln!("lotussaddle: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run(what: What) -> Result<()> {
    match what {
        What::Demo { seconds, seed, out } => days::demo(seconds, seed, out),
        What::Serve { platform: true, .. } => lotussaddle_front::serve(),
        What::Serve { sheet, tied, baseline, clock_rate, wall_off, .. } => {
            let sheet = EdgeSheet::load(&sheet.unwrap_or_default())?;
            if tied {
                end_with_input()?;
            }
            let clocks = lotussaddle_serve::Clocks { rate: clock_rate.clamp(0.1, 10.0), wall: wall_off };
            match baseline {
                Some(name) => {
                    let baseline = days::baseline(&name)?;
                    lotussaddle_serve::serve_with(sheet, clocks, |plan, _| baseline.decisions(plan))
                }
                None => lotussaddle_serve::serve_with(sheet, clocks, lotussaddle::brain::Brain::new),
            }
        }
        What::Check { sheet } => match EdgeSheet::load(&sheet) {
            Ok(found) => {
                println!("{}: {} products, no mistake", sheet.display(), found.plan.products.len());
                Ok(())
            }
            Err(mistakes) => failed_check(&mistakes),
        },
        What::Standin { which, sheet } => match which {
            Which::Core => lotussaddle_standin::shell::core(&sheet),
            Which::List => lotussaddle_standin::shell::list(&sheet),
            Which::LookUps => lotussaddle_standin::shell::look_ups(&sheet),
            Which::Callers => lotussaddle_standin::shell::callers(&sheet),
        },
        What::Store { what, folder } => stores::run(what, &folder),
        What::Numbers { what } => numbers::run(what),
        What::Fleet { what } => fleets::run(what),
        What::Day { what } => days::run(what),
        What::Scale { what } => scale::run(what),
    }
}

fn failed_check(mistakes: &Mistakes) -> Result<()> {
    eprintln!("{mistakes}");
    Err(Failed.into())
}

/// Whoever started this process holds the other end of its input; when that goes, so does this.
fn end_with_input() -> Result<()> {
    std::thread::Builder::new().name("tied".into()).stack_size(64 * 1024).spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(0);
    })?;
    Ok(())
}
