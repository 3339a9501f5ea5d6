//! `lotussaddle day` and `lotussaddle demo`.

use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use clap::Subcommand;
use lotussaddle::brain::Brain;
use lotussaddle_day::baseline::Baseline;
use lotussaddle_day::live::Program;
use lotussaddle_day::{Day, days, from_bench, live, virt};
use lotussaddle_judge::{Judge, Verdict, read_record, write_line};

use crate::{Failed, report};

#[derive(Subcommand)]
pub enum DayCommand {
    /// Plays a day over sockets, or in virtual time, and judges it.
    Play {
        /// A day file, or the name of a day that comes with the program.
        day: String,
        #[arg(long)]
        seed: Option<u64>,
        /// Other decisions than the module's: first-choice, round-robin, least-out.
        #[arg(long)]
        baseline: Option<String>,
        /// Keep the record, the verdict, the sheets and the logs here.
        #[arg(long)]
        out: Option<PathBuf>,
        /// In virtual time, in this process: the same seed gives the same record.
        #[arg(long = "virtual")]
        virtually: bool,
        /// Edge proxies have no store.
        #[arg(long)]
        no_store: bool,
    },
    /// Judges a record that was kept, by the record alone.
    Judge { folder: PathBuf },
    /// Turns a day that the bench's `draw` printed into a day file.
    FromBench { day: PathBuf },
    /// The days that come with the program.
    List,
}

pub fn run(command: DayCommand) -> Result<()> {
    match command {
        DayCommand::Play { day, seed, baseline, out, virtually, no_store } => {
            let mut day = find(&day)?;
            day.seed = seed.unwrap_or(day.seed);
            play(&day, baseline.as_deref(), out, virtually, no_store)
        }
        DayCommand::Judge { folder } => told(&judge(&folder)?),
        DayCommand::FromBench { day } => {
            let text =
                std::fs::read_to_string(&day).with_context(|| format!("cannot read {}", day.display()))?;
            let (found, left_out) =
                from_bench::from_bench(&text).with_context(|| day.display().to_string())?;
            print!("{}", from_bench::print(&found, &left_out)?);
            Ok(())
        }
        DayCommand::List => {
            for (name, sheet) in days::DAYS {
                let about = sheet.lines().next().and_then(|line| line.strip_prefix("// "));
                println!("{name:<16} {}", about.unwrap_or_default());
            }
            Ok(())
        }
    }
}

pub fn demo(seconds: u64, seed: Option<u64>, out: Option<PathBuf>) -> Result<()> {
    let mut day = find("sale-week")?;
    // The troubles keep their places in a day of another length.
    let scale = seconds as f64 / day.lasts.as_secs_f64();
    for trouble in &mut day.troubles {
        trouble.at = trouble.at.mul_f64(scale);
        trouble.lasts = trouble.lasts.mul_f64(scale).max(Duration::from_millis(200));
    }
    day.lasts = Duration::from_secs(seconds);
    day.seed = seed.unwrap_or(day.seed);
    println!(
        "{} edge proxies and {} core servers on loopback; dials come for {seconds} s",
        day.edges, day.cores.count
    );
    for trouble in &day.troubles {
        println!("  {}", trouble.kdl());
    }
    play(&day, None, out, false, false)
}

pub fn baseline(name: &str) -> Result<Baseline> {
    let known = Baseline::ALL.map(|(name, _)| name).join(", ");
    Baseline::by_name(name).with_context(|| format!("no baseline {name}; there are {known}"))
}

fn find(day: &str) -> Result<Day> {
    match days::by_name(day) {
        Some(found) => Ok(found?),
        None => Ok(Day::load(Path::new(day))?),
    }
}

fn play(day: &Day, name: Option<&str>, out: Option<PathBuf>, virtually: bool, forgets: bool) -> Result<()> {
    let baseline = name.map(baseline).transpose()?;
    let verdict = if virtually {
        let way = virt::Play { remembers: !forgets, ..virt::Play::default() };
        let played = match baseline {
            Some(baseline) => virt::play_with(day, &way, |plan, _| baseline.decisions(plan))?,
            None => virt::play_with(day, &way, Brain::new)?,
        };
        if let Some(folder) = &out {
            std::fs::create_dir_all(folder).with_context(|| format!("cannot make {}", folder.display()))?;
            let mut record = BufWriter::new(File::create(folder.join("record.jsonl"))?);
            write_line(&mut record, &played.brief)?;
            played.lines.iter().try_for_each(|line| write_line(&mut record, line))?;
            record.flush()?;
            std::fs::write(folder.join("verdict.json"), serde_json::to_string_pretty(&played.verdict)?)?;
            std::fs::write(folder.join("edges.log"), played.logs.join("\n"))?;
        }
        played.verdict
    } else {
        let mut arguments = vec!["serve".to_string(), "--tied".into()];
        if let Some(name) = name {
            arguments.extend(["--baseline".into(), name.into()]);
        }
        let program = Program { path: std::env::current_exe()?, arguments, remembers: !forgets };
        match &out {
            Some(folder) => live::play(day, &program, folder)?,
            None => live::play(day, &program, tempfile::tempdir()?.path())?,
        }
    };
    told(&verdict)
}

fn judge(folder: &Path) -> Result<Verdict> {
    let path = folder.join("record.jsonl");
    let record = File::open(&path).with_context(|| format!("cannot read {}", path.display()))?;
    let judge = std::cell::RefCell::new(None::<Judge>);
    let each = |line| {
        if let Some(judge) = judge.borrow_mut().as_mut() {
            judge.line(&line);
        }
    };
    let begin = |brief| *judge.borrow_mut() = Some(Judge::new(brief));
    read_record(BufReader::new(record), each, begin).map_err(|e| anyhow!("{}: {e}", path.display()))?;
    judge.into_inner().map(Judge::finish).context("no brief")
}

fn told(verdict: &Verdict) -> Result<()> {
    print!("{}", report::text(verdict));
    if verdict.kept() { Ok(()) } else { Err(Failed.into()) }
}
