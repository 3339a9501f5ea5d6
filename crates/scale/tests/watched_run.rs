//! A run of one size starts no process of its own: plans in virtual time are bounded to one. No other test stands
//! here: it would start processes beside it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use lotussaddle_scale::campaign::{Campaign, CampaignSettings};
use lotussaddle_scale::error::ScaleError;
use lotussaddle_scale::plan::ScalePlan;
use lotussaddle_scale::process_tree::ProcessTree;
use lotussaddle_scale::record::Observations;
use lotussaddle_scale::runner::{RunContext, Runner};

const PLAN: &str = include_str!("../plans/virtual-family.kdl");

/// Measures nothing.
struct IdleRunner;

impl Runner for IdleRunner {
    fn run(&self, _: &ScalePlan, _: &RunContext) -> Result<Observations, ScaleError> {
        Ok(Observations::default())
    }
}

#[test]
fn a_run_starts_no_process_of_its_own() {
    let plan = ScalePlan::read("plan.kdl", PLAN).unwrap();
    let directory = tempfile::tempdir().unwrap();
    let settings =
        CampaignSettings { seed: 1, out: directory.path().into(), executable: "lotussaddle".into() };
    let campaign = Campaign::prepare(&plan, &IdleRunner, settings).unwrap();
    let ended = AtomicBool::new(false);
    let most = thread::scope(|scope| {
        let watching = scope.spawn(|| {
            let mut most = 0;
            while !ended.load(Ordering::Relaxed) {
                most = most.max(ProcessTree::here().unwrap().processes);
            }
            most
        });
        for size in &plan.sizes {
            campaign.run_size(*size).unwrap();
        }
        ended.store(true, Ordering::Relaxed);
        watching.join().unwrap()
    });
    assert!(most <= plan.bounds.processes, "{most} processes");
}
