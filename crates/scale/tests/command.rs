//! What the command `scale run` does: refusals before the start, records as they come, and the watchdog.

use std::cell::RefCell;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration;

use lotussaddle_scale::campaign::{Campaign, CampaignSettings};
use lotussaddle_scale::error::ScaleError;
use lotussaddle_scale::limits::Needs;
use lotussaddle_scale::plan::{Bounds, Bytes, ScalePlan};
use lotussaddle_scale::process_tree::ProcessTree;
use lotussaddle_scale::record::{Aggregate, Measurement, Observations, Quantity};
use lotussaddle_scale::record_file::{load_directories, load_record};
use lotussaddle_scale::runner::{RunContext, Runner};
use lotussaddle_scale::watchdog::Watchdog;

const PLAN: &str = include_str!("../plans/virtual-family.kdl");
const SEED: u64 = 7;

/// Sends as many bytes as the fleet has members, and remembers what it was asked for.
#[derive(Default)]
struct CountingRunner {
    asked: RefCell<Vec<RunContext>>,
    /// Fails at this size.
    fails_at: Option<usize>,
    /// Needs so many processes.
    processes: u64,
}

impl Runner for CountingRunner {
    fn needs(&self, plan: &ScalePlan, size: usize) -> Needs {
        Needs { processes: self.processes, ..Needs::of_full_mesh(plan, size) }
    }

    fn run(&self, _: &ScalePlan, context: &RunContext) -> Result<Observations, ScaleError> {
        self.asked.borrow_mut().push(context.clone());
        if self.fails_at == Some(context.size) {
            return Err(ScaleError::RunFailed { size: context.size, why: "a member was lost".into() });
        }
        let sent = Measurement::new(Quantity::BytesSent, Aggregate::Mean, context.size as f64);
        Ok(Observations { measurements: vec![sent], distributions: Vec::new() })
    }
}

fn plan() -> ScalePlan {
    ScalePlan::read("plan.kdl", PLAN).unwrap()
}

fn settings(out: &Path) -> CampaignSettings {
    CampaignSettings { seed: SEED, out: out.into(), executable: "lotussaddle".into() }
}

#[test]
fn each_size_has_its_record_with_plan_seed_and_mode() {
    let directory = tempfile::tempdir().unwrap();
    let out = directory.path().join("deep/records");
    let (plan, runner) = (plan(), CountingRunner::default());
    let campaign = Campaign::prepare(&plan, &runner, settings(&out)).unwrap();
    for size in &plan.sizes {
        let stored = campaign.run_size(*size).unwrap();
        assert_eq!(load_record(&stored.path).unwrap(), stored.record);
    }
    let stored = load_directories(&[out]).unwrap();
    assert_eq!(stored.iter().map(|stored| stored.record.size).collect::<Vec<_>>(), plan.sizes);
    for stored in &stored {
        assert_eq!((stored.record.seed, stored.record.mode), (SEED, plan.mode));
        assert_eq!(stored.record.plan_text, PLAN);
        assert_eq!(stored.record.measured().into_iter().collect::<Vec<_>>(), [Quantity::BytesSent]);
    }
    let asked = runner.asked.borrow();
    assert!(
        asked.iter().all(|context| context.seed == SEED && context.executable == Path::new("lotussaddle"))
    );
}

#[test]
fn what_needs_more_than_its_bounds_is_refused_before_the_start() {
    let directory = tempfile::tempdir().unwrap();
    let out = directory.path().join("records");
    let (plan, runner) = (plan(), CountingRunner { processes: 2, ..CountingRunner::default() });
    let error = Campaign::prepare(&plan, &runner, settings(&out)).err().unwrap();
    assert!(!error.is_failed_run());
    let told = error.to_string();
    assert_eq!(told.lines().count(), plan.sizes.len(), "each size is named: {told}");
    assert!(told.starts_with("size 8 needs 2 processes, the bound is 1\n"), "{told}");
    assert!(runner.asked.borrow().is_empty());
    assert!(!out.exists());
}

#[test]
fn a_record_that_is_there_is_found_before_the_start() {
    let directory = tempfile::tempdir().unwrap();
    let (plan, runner) = (plan(), CountingRunner::default());
    let campaign = Campaign::prepare(&plan, &runner, settings(directory.path())).unwrap();
    campaign.run_size(plan.sizes[1]).unwrap();
    let error = Campaign::prepare(&plan, &runner, settings(directory.path())).err().unwrap();
    let told = error.to_string();
    assert!(
        told.ends_with("virtual-family-size-00016-seed-7.json: there is a record of this run already"),
        "{told}"
    );
    let other_seed = CampaignSettings { seed: SEED + 1, ..settings(directory.path()) };
    Campaign::prepare(&plan, &runner, other_seed).unwrap();
}

#[test]
fn a_run_that_fails_leaves_the_records_before_it_and_none_of_its_own() {
    let directory = tempfile::tempdir().unwrap();
    let (plan, runner) = (plan(), CountingRunner { fails_at: Some(16), ..CountingRunner::default() });
    let campaign = Campaign::prepare(&plan, &runner, settings(directory.path())).unwrap();
    campaign.run_size(8).unwrap();
    let error = campaign.run_size(16).unwrap_err();
    assert!(error.is_failed_run());
    assert_eq!(error.to_string(), "size 16: a member was lost");
    let names: Vec<_> =
        std::fs::read_dir(directory.path()).unwrap().map(|entry| entry.unwrap().file_name()).collect();
    assert_eq!(names, ["virtual-family-size-00008-seed-7.json"]);
}

#[test]
fn a_directory_that_cannot_be_made_is_named() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("file");
    std::fs::write(&file, "").unwrap();
    let (plan, runner) = (plan(), CountingRunner::default());
    let error = Campaign::prepare(&plan, &runner, settings(&file.join("records"))).err().unwrap();
    assert!(error.to_string().contains("file/records: the directory cannot be made: "), "{error}");
}

/// A watchdog whose breaches are told to a receiver.
fn watch(bounds: Bounds) -> (Watchdog, Receiver<ScaleError>) {
    let (tell, told) = channel();
    let on_breach = move |breach| {
        let _ = tell.send(breach);
    };
    (Watchdog::start(64, bounds, on_breach).unwrap(), told)
}

#[test]
fn a_run_past_its_bounds_is_told_of_by_name() {
    let caps = Bounds::caps();
    let cases = [
        (Bounds { time: Duration::from_millis(300), ..caps }, "size 64: time on the wall: "),
        (Bounds { memory: Bytes(1), ..caps }, "size 64: memory: "),
        (Bounds { processes: 0, ..caps }, "size 64: processes: "),
    ];
    for (bounds, wanted) in cases {
        let (_watchdog, told) = watch(bounds);
        let breach = told.recv_timeout(Duration::from_secs(20)).unwrap();
        assert!(breach.is_failed_run());
        assert!(breach.to_string().starts_with(wanted), "{breach}");
    }
}

#[test]
fn a_run_within_its_bounds_is_left_alone_and_a_watchdog_ends_with_it() {
    let (watchdog, told) = watch(Bounds::caps());
    assert_eq!(told.recv_timeout(Duration::from_secs(1)).err(), Some(RecvTimeoutError::Timeout));
    drop(watchdog);
    assert_eq!(told.recv_timeout(Duration::from_secs(20)).err(), Some(RecvTimeoutError::Disconnected));
}

#[test]
fn the_processes_that_a_run_starts_count() {
    // Other tests of this file start none.
    let before = ProcessTree::here().unwrap();
    assert!(before.resident_bytes > 1 << 20, "{before:?}");
    let mut child = Command::new("cat").stdin(Stdio::piped()).stdout(Stdio::null()).spawn().unwrap();
    let with_child = ProcessTree::here().unwrap();
    drop(child.stdin.take());
    child.wait().unwrap();
    let after = ProcessTree::here().unwrap();
    assert!(with_child.processes > before.processes, "{before:?}, then {with_child:?}");
    assert!(after.processes < with_child.processes, "{with_child:?}, then {after:?}");
}
