//! The seam between the command and what plays a plan: a [`Runner`] plays one size, [`run`] makes its record.

use std::path::PathBuf;
use std::time::Instant;

use crate::error::ScaleError;
use crate::limits::Needs;
use crate::plan::{Mode, ScalePlan};
use crate::record::{Commit, Machine, Observations, RECORD_FORMAT, RunRecord};
use crate::socket_run::SocketRunner;
use crate::virtual_run::VirtualRunner;

/// What a runner is told of one run, besides the plan.
#[derive(Clone, Debug)]
pub struct RunContext {
    /// Members of the fleet: one of the plan's sizes.
    pub size: usize,
    /// All random choices of the run follow from it.
    pub seed: u64,
    /// The program `lotussaddle`, for processes that the run starts.
    pub executable: PathBuf,
}

/// Plays a plan at one size and measures.
pub trait Runner {
    /// What a run of this size will need; a run that needs more than the plan's bounds is refused before its start.
    fn needs(&self, plan: &ScalePlan, size: usize) -> Needs {
        Needs::of_full_mesh(plan, size)
    }

    /// Plays the plan once. It ends by itself within the plan's bounds, leaves no process behind, and measures no
    /// quantity that the plan does not name.
    fn run(&self, plan: &ScalePlan, context: &RunContext) -> Result<Observations, ScaleError>;
}

/// The runner of a mode.
pub fn runner_of(mode: Mode) -> Result<Box<dyn Runner>, ScaleError> {
    match mode {
        Mode::Virtual => Ok(Box::new(VirtualRunner::default())),
        Mode::Sockets => Ok(Box::new(SocketRunner::default())),
    }
}

/// Plays a plan at one size and makes the record of it.
pub fn run(plan: &ScalePlan, context: &RunContext, runner: &dyn Runner) -> Result<RunRecord, ScaleError> {
    run_at_commit(plan, context, runner, Commit::here())
}

/// As [`run`], where the commit is known: asking git starts a process, which a watched run should not.
pub fn run_at_commit(
    plan: &ScalePlan, context: &RunContext, runner: &dyn Runner, commit: Commit,
) -> Result<RunRecord, ScaleError> {
    let machine = Machine::here();
    let started = Instant::now();
    let observations = runner.run(plan, context)?;
    Ok(RunRecord {
        format: RECORD_FORMAT,
        plan_name: plan.name.clone(),
        plan_text: plan.text.clone(),
        mode: plan.mode,
        size: context.size,
        seed: context.seed,
        commit,
        machine,
        took_ms: started.elapsed().as_millis() as u64,
        observations,
    })
}
