//! A replica of a dialogue's state, and the rule for merging replicas that differ.
//!
//! A replica holds what each owner wrote last, and all final answers. [`Replica::merge`] is a join: the result does not depend on the
//! order in which replicas are merged, nor on how often. [`Replica::reading`] interprets a replica, the same way at every member. Times
//! are on the clock of the member that holds the replica.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_trunk::{Answer, Owner, OwnerRecord, Progress, RecordedAnswer, ReplicaUpdate};

/// The maximum number of owners in a replica: beyond it owners that have only claimed the dialogue are dropped first, then the lowest.
pub const MAX_OWNERS: usize = 16;
/// The maximum number of final answers in a replica: beyond it that of the lowest owner is dropped.
pub const MAX_ANSWERS: usize = 4;
/// Received blocking times are lengthened by one part in this many, since the local clock may run faster than the sender's.
const CLOCK_DRIFT_DIVISOR: u32 = 16;
/// Expiry time of a record that does not expire by time.
const NO_EXPIRY: Duration = Duration::from_secs(365 * 86_400 * 100);
/// The longest span sent to another member; a record that lasts at least as long does not expire by time.
pub const MAX_SENT_SPAN: Duration = Duration::from_secs(900_000);

/// What one owner wrote last.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerState {
    /// The owner that wrote it.
    pub owner: Owner,
    /// Counts this owner's writes from 1; 0 is a claim without a write.
    pub version: u32,
    /// The state that the dialogue has reached.
    pub progress: Progress,
    /// Until this time a launch of that owner may be unanswered or may occupy lines.
    pub blocked_until: Duration,
    /// When the record may be removed.
    pub expires_at: Duration,
}

/// The state of a dialogue as one member knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replica {
    /// By owner, lowest first; one of each.
    owner_states: Vec<OwnerState>,
    /// By owner; usually none or one.
    answers: Vec<RecordedAnswer>,
}

/// The interpretation of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaReading<'a> {
    /// The dialogue had this final answer and does not stand. Of several answers it is that of the highest owner.
    Answered(&'a Answer),
    /// The dialogue stood and has ended.
    Ended,
    /// The dialogue stands.
    Stands {
        /// The core server that holds it.
        server: &'a ServerId,
        /// The launch that succeeded.
        launch: LaunchNumber,
        /// The owner that wrote it.
        owner: Owner,
    },
    /// No final answer is known.
    Open {
        /// Nothing may be launched before this time.
        blocked_until: Duration,
        /// Whether the highest owner may have an unanswered launch.
        launch_outstanding: bool,
    },
}

impl Replica {
    /// A replica of an owner that has claimed the dialogue and written nothing.
    pub fn claimed(owner: Owner, expires_at: Duration) -> Self {
        Self {
            owner_states: vec![OwnerState {
                owner,
                version: 0,
                progress: Progress::Accepted,
                blocked_until: Duration::ZERO,
                expires_at,
            }],
            answers: vec![],
        }
    }

    /// What each owner wrote last, lowest owner first.
    pub fn owner_states(&self) -> &[OwnerState] {
        &self.owner_states
    }

    /// All final answers, lowest owner first.
    pub fn answers(&self) -> &[RecordedAnswer] {
        &self.answers
    }

    /// The highest owner, which is the current one.
    pub fn owner(&self) -> Option<Owner> {
        self.owner_states.last().map(|state| state.owner)
    }

    /// The highest owner that has written; for an owner that has only claimed the dialogue there is no write whose
    /// replicas could be looked for.
    pub fn last_writer(&self) -> Option<Owner> {
        self.owner_states.iter().rev().find(|state| state.version > 0).map(|state| state.owner)
    }

    /// What this owner wrote last.
    pub fn state_of(&self, owner: Owner) -> Option<&OwnerState> {
        self.owner_states.iter().find(|state| state.owner == owner)
    }

    /// Merges another replica into this one. Of one owner the higher version wins. Two different states under one version should not
    /// occur; if they do, the one that compares higher wins at every member.
    pub fn merge(&mut self, other: &Self) {
        for state in &other.owner_states {
            self.merge_state(state);
        }
        for recorded in &other.answers {
            self.record_answer(recorded.owner, &recorded.answer);
        }
    }

    fn merge_state(&mut self, incoming: &OwnerState) {
        match self.owner_states.binary_search_by_key(&incoming.owner, |state| state.owner) {
            Ok(index) => {
                let state = &mut self.owner_states[index];
                if *incoming > *state {
                    *state = incoming.clone();
                }
            }
            Err(index) => {
                self.owner_states.insert(index, incoming.clone());
                if self.owner_states.len() > MAX_OWNERS {
                    let below_top = &self.owner_states[..MAX_OWNERS];
                    // An owner's version only increases, so all members drop the same owners in whatever order they merge.
                    self.owner_states
                        .remove(below_top.iter().position(|state| state.version == 0).unwrap_or(0));
                }
            }
        }
    }

    /// Records an owner's final answer. An owner writes only one; if there are two nevertheless, the one that compares lower wins at
    /// every member.
    pub fn record_answer(&mut self, owner: Owner, answer: &Answer) {
        match self.answers.binary_search_by_key(&owner, |recorded| recorded.owner) {
            Ok(index) => {
                let recorded = &mut self.answers[index];
                if *answer < recorded.answer {
                    recorded.answer = answer.clone();
                }
            }
            Err(index) => {
                self.answers.insert(index, RecordedAnswer { owner, answer: answer.clone() });
                if self.answers.len() > MAX_ANSWERS {
                    self.answers.remove(0);
                }
            }
        }
    }

    /// Writes the next version of an owner's state; an unknown owner begins at version 1.
    pub fn write(&mut self, owner: Owner, progress: Progress, blocked_until: Duration, expires_at: Duration) {
        let version = self.state_of(owner).map_or(0, |state| state.version) + 1;
        self.merge_state(&OwnerState { owner, version, progress, blocked_until, expires_at });
    }

    /// Moves an owner's state and answer to the same owner in another incarnation.
    pub fn change_owner(&mut self, from: Owner, to: Owner) {
        if let Some(index) = self.owner_states.iter().position(|state| state.owner == from) {
            let mut state = self.owner_states.remove(index);
            state.owner = to;
            self.merge_state(&state);
        }
        if let Some(index) = self.answers.iter().position(|recorded| recorded.owner == from) {
            let recorded = self.answers.remove(index);
            self.record_answer(to, &recorded.answer);
        }
    }

    /// Interprets the replica: that the dialogue has ended, is answered or stands takes precedence, then the latest blocking time. If
    /// several owners wrote that it has ended or stands, the highest one wins: it knew whatever a lower owner had sent to a caller, and
    /// a lower owner never sends a caller a result whose write was rejected.
    pub fn reading(&self) -> ReplicaReading<'_> {
        for state in self.owner_states.iter().rev() {
            match &state.progress {
                Progress::Ended => {
                    return match self.answers.last().map(|recorded| &recorded.answer) {
                        None | Some(Answer::Stands { .. }) => ReplicaReading::Ended,
                        Some(answer) => ReplicaReading::Answered(answer),
                    };
                }
                Progress::Stands { server, launch } => {
                    return ReplicaReading::Stands { server, launch: *launch, owner: state.owner };
                }
                Progress::Accepted | Progress::Launched { .. } => {}
            }
        }
        let blocked_until =
            self.owner_states.iter().map(|state| state.blocked_until).max().unwrap_or_default();
        let launch_outstanding =
            self.owner_states.last().is_some_and(|state| matches!(state.progress, Progress::Launched { .. }));
        ReplicaReading::Open { blocked_until, launch_outstanding }
    }

    /// Until when an owner above the one that determines [`Replica::reading`] may have an unanswered launch. That owner did not act on the
    /// state below it, so that state was never sent to a caller and may be only a line that no caller uses.
    pub fn newer_launch_until(&self) -> Option<Duration> {
        let is_definite =
            |state: &OwnerState| matches!(state.progress, Progress::Ended | Progress::Stands { .. });
        let above = self.owner_states.iter().rev().take_while(|state| !is_definite(state));
        self.owner_states.iter().any(is_definite).then(|| {
            let launches = above.filter(|state| matches!(state.progress, Progress::Launched { .. }));
            launches.map(|state| state.blocked_until).max()
        })?
    }

    /// When the replica may be removed. If any owner recorded that the dialogue has ended: the latest expiry time among the states of
    /// those owners; otherwise the latest among all states.
    pub fn expires_at(&self) -> Duration {
        let ended = self
            .owner_states
            .iter()
            .filter(|state| state.progress == Progress::Ended)
            .map(|state| state.expires_at)
            .max();
        ended.or_else(|| self.owner_states.iter().map(|state| state.expires_at).max()).unwrap_or_default()
    }

    /// Whether the replica expires by time, and not only when the dialogue ends.
    pub fn expires(&self) -> bool {
        self.expires_at() < NO_EXPIRY
    }

    /// Whether two different final answers were written: the fleet was partitioned, or one of the writes was rejected and its answer
    /// never sent to a caller.
    pub fn has_conflicting_answers(&self) -> bool {
        self.answers.windows(2).any(|pair| pair[0].answer != pair[1].answer)
    }

    /// Shortens the expiry times by a span for which the replica was stored and the local clock did not run. Blocking times stay.
    pub fn age(&mut self, by: Duration) {
        for state in self.owner_states.iter_mut().filter(|state| state.expires_at < NO_EXPIRY) {
            state.expires_at = state.expires_at.saturating_sub(by);
        }
    }

    /// Converts the replica for sending: times become spans from `now`.
    pub fn to_update(&self, now: Duration, dialogue: &DialogueId) -> ReplicaUpdate {
        let span = |at: Duration| at.saturating_sub(now).min(MAX_SENT_SPAN);
        let records = self.owner_states.iter().map(|state| OwnerRecord {
            owner: state.owner,
            version: state.version,
            progress: state.progress.clone(),
            blocked_for: span(state.blocked_until),
            expires_in: span(state.expires_at),
        });
        ReplicaUpdate {
            dialogue: dialogue.clone(),
            owner_records: records.collect(),
            answers: self.answers.clone(),
        }
    }

    /// Converts a received replica to the local clock. Its times become later by the time of transmission, and blocking times are
    /// lengthened so that a fast local clock does not shorten them.
    pub fn from_update(now: Duration, update: &ReplicaUpdate) -> Self {
        let mut replica = Self::default();
        for record in &update.owner_records {
            let blocked_until = if record.blocked_for.is_zero() {
                Duration::ZERO
            } else {
                now + record.blocked_for + record.blocked_for / CLOCK_DRIFT_DIVISOR
            };
            let expires_at =
                if record.expires_in >= MAX_SENT_SPAN { NO_EXPIRY } else { now + record.expires_in };
            let (owner, version, progress) = (record.owner, record.version, record.progress.clone());
            replica.merge_state(&OwnerState { owner, version, progress, blocked_until, expires_at });
        }
        update.answers.iter().for_each(|recorded| replica.record_answer(recorded.owner, &recorded.answer));
        replica
    }
}

/// The expiry time of a record that does not expire by time, as of a dialogue that stands.
pub fn no_expiry() -> Duration {
    NO_EXPIRY
}
