//! Inputs of an edge proxy, each turned straight into calls on the module: what it owns, and what can be read of it.
//! The inputs themselves are in the modules below, by what they are about.

mod connections;
mod core_frames;
mod dialling;
mod frames;
mod launch_ends;
mod number_analysis;
mod server_list;
mod takeover;
mod timers;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::brain::Brain;
use lotussaddle::interface::{DialogueId, LaunchNumber, RoutePlan};

use crate::held::{ConcludedDialogues, Counts, Deadlines, DeferredSends, Limits, Stage};
use crate::numbers::NumberAnalysis;
use crate::signalling::{ModuleSignalling, State};
use crate::{Decisions, EdgeEffects, LinkId};

/// Stands for a launch where a dialogue that was dialled before waits to be decided on.
const NO_LAUNCH: LaunchNumber = LaunchNumber(u32::MAX);

/// One edge proxy. Inputs are method calls with the time since the start, effects are calls on [`EdgeEffects`].
pub struct Edge<D = Brain> {
    name: Arc<str>,
    list_address: Arc<str>,
    product_count: usize,
    tenant_count: usize,
    brain: D,
    state: State,
    numbers: Option<Box<NumberAnalysis>>,
    /// When links are looked at again, and when the list is tried again.
    next_sweep: Duration,
    next_list_connect: Option<Duration>,
}

impl Edge {
    /// `list` is the address of the pool list.
    pub fn new(name: &str, list_address: &str, plan: RoutePlan, seed: u64, limits: Limits) -> Self {
        Self::with_decisions(name, list_address, plan, limits, |plan| Brain::new(plan, seed))
    }
}

impl<D: Decisions> Edge<D> {
    /// With other decisions than the module's, for baselines.
    pub fn with_decisions(
        name: &str, list_address: &str, plan: RoutePlan, limits: Limits,
        decisions: impl FnOnce(RoutePlan) -> D,
    ) -> Self {
        let state = State {
            limits,
            now: Duration::ZERO,
            held: HashMap::new(),
            links: BTreeMap::new(),
            unidentified: VecDeque::new(),
            caller_links: 0,
            servers: BTreeMap::new(),
            deadlines: Deadlines::default(),
            concluded: ConcludedDialogues::default(),
            counts: Counts::default(),
            module_timer: None,
            launch_ends: VecDeque::new(),
            failed_links: VecDeque::new(),
            deferred: DeferredSends::default(),
        };
        Self {
            name: Arc::from(name),
            list_address: Arc::from(list_address),
            product_count: plan.products.len(),
            tenant_count: plan.tenants.len(),
            brain: decisions(plan),
            state,
            numbers: None,
            next_sweep: Duration::ZERO,
            next_list_connect: Some(Duration::ZERO),
        }
    }

    /// From now on numbers that are dialled are analysed.
    pub fn use_number_analysis(&mut self, numbers: NumberAnalysis) {
        self.product_count = numbers.products();
        self.numbers = Some(Box::new(numbers));
    }

    /// A former life may have left launches at core servers: until then nothing is launched.
    pub fn hold_launches_until(&mut self, until: Duration) {
        self.brain.hold_launches_until(until);
    }

    /// The number analysis, where there is one.
    pub fn number_analysis(&mut self) -> Option<&mut NumberAnalysis> {
        self.numbers.as_deref_mut()
    }

    /// What has happened since the start.
    pub fn counts(&self) -> &Counts {
        &self.state.counts
    }

    /// Dialogues held, standing ones included; links; concluded dialogues remembered.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.state.held.len(), self.state.links.len(), self.state.concluded.len())
    }

    /// When the launch of a dialogue ends by itself, where one is out.
    pub fn launch_deadline(&self, id: &DialogueId) -> Option<Duration> {
        let held = self.state.held.get(id)?;
        if let Stage::Launched { until, .. } = held.stage { Some(until) } else { None }
    }

    /// The decisions that it owns, for reading.
    pub fn decisions(&self) -> &D {
        &self.brain
    }

    /// What is kept of dialogues beside what is held: on links, in their queues, and answers not yet given.
    pub fn auxiliary_entries(&self) -> usize {
        let on_links: usize = self.state.links.values().map(|link| link.dialogues.len()).sum();
        let queued: usize = self.state.servers.values().map(|core| core.queued_launches.len()).sum();
        on_links + queued + self.state.deferred.len() + self.state.launch_ends.len()
    }

    /// A dialogue that had its final answer in a former life.
    pub fn remember_concluded(&mut self, dialogue: &DialogueId) {
        self.state.concluded.add(self.state.now, dialogue, &self.state.limits);
    }

    /// Dialogues that came or went over this link and are still held.
    pub fn dialogues_on_link(&self, link: LinkId) -> usize {
        self.state.links.get(&link).map_or(0, |known| known.dialogues.len())
    }

    /// Whether this dialogue is held, and whether it stands.
    pub fn dialogue_stands(&self, id: &DialogueId) -> Option<bool> {
        let stands = |stage: &Stage| matches!(stage, Stage::Standing { .. } | Stage::Releasing { .. });
        self.state.held.get(id).map(|held| stands(&held.stage))
    }

    fn signalling<'a>(&'a mut self, effects: &'a mut dyn EdgeEffects) -> ModuleSignalling<'a> {
        ModuleSignalling { state: &mut self.state, effects }
    }

    /// ModuleSignalling the module the ends that came of what it did, until there is none.
    fn report_launch_ends(&mut self, effects: &mut dyn EdgeEffects) {
        while let Some(mut end) = self.state.launch_ends.pop_front() {
            end.closed = !self.state.held.contains_key(&end.dialogue);
            let mut signalling = ModuleSignalling { state: &mut self.state, effects };
            self.brain.launch_ended(signalling.state.now, end, &mut signalling);
        }
    }

    /// Ends every input: the module hears of all ends, and links that could not be written to are closed.
    fn finish_input(&mut self, effects: &mut dyn EdgeEffects) {
        loop {
            self.report_launch_ends(effects);
            let Some((link, why)) = self.state.failed_links.pop_front() else { break };
            self.drop_link(link, why, effects);
        }
    }
}
