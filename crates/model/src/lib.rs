//! Small protocol models, checked by exhaustive exploration of every order of events up to stated bounds. A violated
//! property is reported with the shortest sequence of events that leads to the violation.
//!
//! A model is not the program: it establishes which orders of writes and messages are correct before they are
//! implemented, and why the others are not. Start reading at [`explore`], then at [`RestartModel`].

mod duties;
mod replicas;
mod restart;

pub use duties::{DutyModel, DutyProtocol, VoterSetChange};
pub use replicas::{ReplicaModel, ReplicaProtocol};
pub use restart::{LaunchRecording, RestartDesign, RestartModel};

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// A state machine that can be explored.
pub trait Model {
    /// A state of the model.
    type State: Clone + Eq + Hash;
    /// The state from which the exploration starts.
    fn initial_state(&self) -> Self::State;
    /// The events that can happen in a state: a description of each, and the state that follows.
    fn successors(&self, state: &Self::State) -> Vec<(String, Self::State)>;
    /// The property that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// The result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExplorationResult {
    /// All reachable states were visited and none violates a property.
    Holds { states: usize },
    /// The shortest sequence of events to a state that violates a property, and the property.
    Violated { path: Vec<String>, violation: String },
    /// The bound on states was reached first; whether the properties hold is unknown.
    TooLarge { states: usize },
}

/// Visits all reachable states in breadth-first order, up to `max_states`.
pub fn explore<M: Model>(model: &M, max_states: usize) -> ExplorationResult {
    let initial = model.initial_state();
    // The number of each state, and for each number its predecessor and the event between them.
    let mut known: HashMap<M::State, usize> = HashMap::from([(initial.clone(), 0)]);
    let mut predecessors: Vec<(usize, String)> = vec![(0, String::new())];
    let mut queue = VecDeque::from([initial]);
    while let Some(state) = queue.pop_front() {
        let number = known[&state];
        if let Some(violation) = model.violation(&state) {
            let mut path = Vec::new();
            let mut at = number;
            while at > 0 {
                path.push(predecessors[at].1.clone());
                at = predecessors[at].0;
            }
            path.reverse();
            return ExplorationResult::Violated { path, violation };
        }
        for (event, next) in model.successors(&state) {
            if known.len() >= max_states {
                return ExplorationResult::TooLarge { states: known.len() };
            }
            if !known.contains_key(&next) {
                known.insert(next.clone(), predecessors.len());
                predecessors.push((number, event));
                queue.push_back(next);
            }
        }
    }
    ExplorationResult::Holds { states: known.len() }
}
