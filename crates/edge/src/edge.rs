//! The state of an edge proxy and the queries on it. Its inputs are in the modules below, by subject; each input is
//! turned directly into calls on the decision module.

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

/// Stands for the launch number in the deadline of a dialogue that has no launch while its earlier outcome is looked
/// up.
const NO_LAUNCH: LaunchNumber = LaunchNumber(u32::MAX);

/// One edge proxy. Inputs are method calls with the time since the start; effects are calls on [`EdgeEffects`].
pub struct Edge<D = Brain> {
    name: Arc<str>,
    list_address: Arc<str>,
    product_count: usize,
    tenant_count: usize,
    brain: D,
    state: State,
    numbers: Option<Box<NumberAnalysis>>,
    /// Time of the next check of all links, and of the next attempt to connect to the pool list.
    next_sweep: Duration,
    next_list_connect: Option<Duration>,
}

impl Edge {
    /// Creates an edge proxy that uses the decision module; `list_address` is the address of the pool list.
    pub fn new(name: &str, list_address: &str, plan: RoutePlan, seed: u64, limits: Limits) -> Self {
        let max_remembered_callers = limits.max_remembered_callers;
        Self::with_decisions(name, list_address, plan, limits, |plan| {
            let mut brain = Brain::new(plan, seed);
            brain.limit_remembered_callers(max_remembered_callers);
            brain
        })
    }
}

impl<D: Decisions> Edge<D> {
    /// Creates an edge proxy with other decisions than the module's, such as baselines.
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

    /// Enables the analysis of dialled numbers.
    pub fn use_number_analysis(&mut self, numbers: NumberAnalysis) {
        self.product_count = numbers.products();
        self.numbers = Some(Box::new(numbers));
    }

    /// Launches nothing before `until`, since a previous incarnation may have left launches at core servers.
    pub fn hold_launches_until(&mut self, until: Duration) {
        self.brain.hold_launches_until(until);
    }

    /// The number analysis, if it is enabled.
    pub fn number_analysis(&mut self) -> Option<&mut NumberAnalysis> {
        self.numbers.as_deref_mut()
    }

    /// Counters since the start.
    pub fn counts(&self) -> &Counts {
        &self.state.counts
    }

    /// Number of dialogues held (standing ones included), of links, and of concluded dialogues remembered.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.state.held.len(), self.state.links.len(), self.state.concluded.len())
    }

    /// Time-out of the launch that is in progress for a dialogue, if there is one.
    pub fn launch_deadline(&self, id: &DialogueId) -> Option<Duration> {
        let held = self.state.held.get(id)?;
        if let Stage::Launched { until, .. } = held.stage { Some(until) } else { None }
    }

    /// The decisions that this edge proxy owns.
    pub fn decisions(&self) -> &D {
        &self.brain
    }

    /// Number of references to dialogues in secondary tables: on links, in launch queues, among deferred sends and in
    /// undelivered launch ends. Zero once all dialogues have ended.
    pub fn auxiliary_entries(&self) -> usize {
        let on_links: usize = self.state.links.values().map(|link| link.dialogues.len()).sum();
        let queued: usize = self.state.servers.values().map(|core| core.queued_launches.len()).sum();
        on_links + queued + self.state.deferred.len() + self.state.launch_ends.len()
    }

    /// Remembers a dialogue that had its final answer in a previous incarnation.
    pub fn remember_concluded(&mut self, dialogue: &DialogueId) {
        self.state.concluded.add(self.state.now, dialogue, &self.state.limits);
    }

    /// Forgets that a dialogue was concluded, so that it may be dialled again.
    pub fn forget_concluded(&mut self, dialogue: &DialogueId) {
        self.state.concluded.remove(dialogue);
    }

    /// Whether a dialogue is remembered as concluded.
    pub fn is_concluded(&self, dialogue: &DialogueId) -> bool {
        self.state.concluded.contains(dialogue)
    }

    /// Number of held dialogues that use this link.
    pub fn dialogues_on_link(&self, link: LinkId) -> usize {
        self.state.links.get(&link).map_or(0, |known| known.dialogues.len())
    }

    /// Whether a dialogue stands; `None` if it is not held.
    pub fn dialogue_stands(&self, id: &DialogueId) -> Option<bool> {
        let stands = |stage: &Stage| matches!(stage, Stage::Standing { .. } | Stage::Releasing { .. });
        self.state.held.get(id).map(|held| stands(&held.stage))
    }

    fn signalling<'a>(&'a mut self, effects: &'a mut dyn EdgeEffects) -> ModuleSignalling<'a> {
        ModuleSignalling { state: &mut self.state, effects }
    }

    /// Reports launch ends that the decision module itself caused back to it, until none is left.
    fn report_launch_ends(&mut self, effects: &mut dyn EdgeEffects) {
        while let Some(mut end) = self.state.launch_ends.pop_front() {
            end.closed = !self.state.held.contains_key(&end.dialogue);
            let mut signalling = ModuleSignalling { state: &mut self.state, effects };
            self.brain.launch_ended(signalling.state.now, end, &mut signalling);
        }
    }

    /// Completes an input: reports all launch ends to the decision module and closes links that could not be written to.
    fn finish_input(&mut self, effects: &mut dyn EdgeEffects) {
        loop {
            self.report_launch_ends(effects);
            let Some((link, why)) = self.state.failed_links.pop_front() else { break };
            self.drop_link(link, why, effects);
        }
    }
}
