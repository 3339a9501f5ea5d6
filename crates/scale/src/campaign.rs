//! A plan run at all its sizes: what is checked before the start, and the record of each size.

use std::fs;
use std::path::PathBuf;

use crate::error::ScaleError;
use crate::limits::{Refusal, SystemLimits};
use crate::plan::ScalePlan;
use crate::record_file::{StoredRecord, record_path, save_record};
use crate::runner::{RunContext, Runner, run};

/// A plan that was found to fit its bounds, ready to be run at each of its sizes.
pub struct Campaign<'a> {
    plan: &'a ScalePlan,
    runner: &'a dyn Runner,
    settings: CampaignSettings,
}

/// What is told beside the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CampaignSettings {
    pub seed: u64,
    /// The directory of the records.
    pub out: PathBuf,
    /// The program `lotussaddle`, for processes that runs start.
    pub executable: PathBuf,
}

impl<'a> Campaign<'a> {
    /// Refuses what does not fit the bounds, and a directory that already has a record of these runs. Nothing is run
    /// and nothing written but the directory.
    pub fn prepare(
        plan: &'a ScalePlan, runner: &'a dyn Runner, settings: CampaignSettings,
    ) -> Result<Self, ScaleError> {
        let refusals = refusals(plan, runner, SystemLimits::here());
        if !refusals.is_empty() {
            return Err(ScaleError::Refused(refusals));
        }
        fs::create_dir_all(&settings.out)
            .map_err(|source| ScaleError::NoDirectory { path: settings.out.clone(), source })?;
        for size in &plan.sizes {
            let path = record_path(&settings.out, &plan.name, *size, settings.seed);
            if path.exists() {
                return Err(ScaleError::RecordExists { path });
            }
        }
        Ok(Self { plan, runner, settings })
    }

    /// Runs one of the plan's sizes and saves its record.
    pub fn run_size(&self, size: usize) -> Result<StoredRecord, ScaleError> {
        let CampaignSettings { seed, out, executable } = &self.settings;
        let context = RunContext { size, seed: *seed, executable: executable.clone() };
        let record = run(self.plan, &context, self.runner)?;
        let path = save_record(&record, out)?;
        Ok(StoredRecord { path, record })
    }
}

/// What the sizes of a plan need beyond its bounds and the system's, in the order of the sizes.
pub fn refusals(plan: &ScalePlan, runner: &dyn Runner, system: SystemLimits) -> Vec<Refusal> {
    let of_size = |size: &usize| runner.needs(plan, *size).refusals(*size, &plan.bounds, system);
    plan.sizes.iter().flat_map(of_size).collect()
}
