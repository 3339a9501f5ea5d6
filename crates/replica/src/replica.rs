//! A copy of a dialogue's state, and the rule for copies that differ.
//!
//! A copy keeps, of each owner, what it wrote last, and of all the final answers. [`Replica::merge`] is a join: whatever the order
//! and however often copies meet, the same comes of them. What a copy means is read off it by [`Replica::reading`], the same way by
//! everyone. Times are on the clock of whoever keeps it.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_trunk::{Answer, Owner, OwnerRecord, Progress, RecordedAnswer, ReplicaUpdate};

/// What is kept of owners and answers, at most: beyond it owners go that only said that they own it, then the lowest.
pub const MAX_OWNERS: usize = 16;
pub const MAX_ANSWERS: usize = 4;
/// A clock may run so much faster than another, in parts of what it counts: a bar that is taken over is longer by that.
const DRIFT: u32 = 16;
/// What lasts as long as it stands is not forgotten by time; a span on the wire ends here.
const FOR_EVER: Duration = Duration::from_secs(365 * 86_400 * 100);
pub const MAX_SENT_SPAN: Duration = Duration::from_secs(900_000);

/// What one owner wrote last.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerState {
    pub owner: Owner,
    pub version: u32,
    pub progress: Progress,
    /// Until then a launch of that owner may be out, or its lines may be taken.
    pub blocked_until: Duration,
    /// It may be forgotten then.
    pub expires_at: Duration,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replica {
    /// By owner, lowest first; one of each.
    parts: Vec<OwnerState>,
    /// By owner; mostly none or one.
    answers: Vec<RecordedAnswer>,
}

/// What a copy means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaReading<'a> {
    /// It had this final answer and does not stand. Of several that of the highest owner, the same for all.
    Answered(&'a Answer),
    /// It stood and is over.
    Ended,
    Stands {
        server: &'a ServerId,
        launch: LaunchNumber,
        owner: Owner,
    },
    /// It has no answer, as far as is known. Nothing may be launched before `bar`; the owner that wrote last may have a
    /// launch out.
    Open {
        blocked_until: Duration,
        launch_outstanding: bool,
    },
}

impl Replica {
    /// Of one who says that it owns it, and nothing else.
    pub fn claimed(owner: Owner, until: Duration) -> Self {
        Self {
            parts: vec![OwnerState {
                owner,
                version: 0,
                progress: Progress::Accepted,
                blocked_until: Duration::ZERO,
                expires_at: until,
            }],
            answers: vec![],
        }
    }

    pub fn owner_states(&self) -> &[OwnerState] {
        &self.parts
    }

    pub fn answers(&self) -> &[RecordedAnswer] {
        &self.answers
    }

    /// The highest owner: whose word counts from now on.
    pub fn owner(&self) -> Option<Owner> {
        self.parts.last().map(|part| part.owner)
    }

    /// The highest owner that has written: one that only claimed it tells nothing of where writes were kept.
    pub fn last_writer(&self) -> Option<Owner> {
        self.parts.iter().rev().find(|part| part.version > 0).map(|part| part.owner)
    }

    pub fn state_of(&self, owner: Owner) -> Option<&OwnerState> {
        self.parts.iter().find(|part| part.owner == owner)
    }

    /// Joins what another copy knows. Of one owner the higher version counts; two that differ under one version cannot be,
    /// but if they are, the one that compares higher counts, everywhere.
    pub fn merge(&mut self, other: &Self) {
        for theirs in &other.parts {
            self.take(theirs);
        }
        for given in &other.answers {
            self.record_answer(given.owner, &given.answer);
        }
    }

    fn take(&mut self, theirs: &OwnerState) {
        match self.parts.binary_search_by_key(&theirs.owner, |part| part.owner) {
            Ok(place) => {
                let part = &mut self.parts[place];
                if *theirs > *part {
                    *part = theirs.clone();
                }
            }
            Err(place) => {
                self.parts.insert(place, theirs.clone());
                if self.parts.len() > MAX_OWNERS {
                    let below = &self.parts[..MAX_OWNERS];
                    // Of an owner the version only goes up, so that all drop the same whatever they meet first.
                    self.parts.remove(below.iter().position(|part| part.version == 0).unwrap_or(0));
                }
            }
        }
    }

    /// An owner wrote a final answer. It writes one; if there are two all the same, the one that compares lower counts, everywhere.
    pub fn record_answer(&mut self, owner: Owner, answer: &Answer) {
        match self.answers.binary_search_by_key(&owner, |given| given.owner) {
            Ok(place) => {
                let given = &mut self.answers[place];
                if *answer < given.answer {
                    given.answer = answer.clone();
                }
            }
            Err(place) => {
                self.answers.insert(place, RecordedAnswer { owner, answer: answer.clone() });
                if self.answers.len() > MAX_ANSWERS {
                    self.answers.remove(0);
                }
            }
        }
    }

    /// The next word of an owner; a word of an owner that was not here begins at version 1.
    pub fn write(&mut self, owner: Owner, reached: Progress, bar: Duration, until: Duration) {
        let version = self.state_of(owner).map_or(0, |part| part.version) + 1;
        self.take(&OwnerState { owner, version, progress: reached, blocked_until: bar, expires_at: until });
    }

    /// The life of an owner that had none yet.
    pub fn change_owner(&mut self, from: Owner, to: Owner) {
        if let Some(place) = self.parts.iter().position(|part| part.owner == from) {
            let mut part = self.parts.remove(place);
            part.owner = to;
            self.take(&part);
        }
        if let Some(place) = self.answers.iter().position(|given| given.owner == from) {
            let given = self.answers.remove(place);
            self.record_answer(to, &given.answer);
        }
    }

    /// What binds most: that it is over, answered or stands, then the longest bar. Where several owners wrote that it is over or
    /// stands, the highest counts: whatever a lower one had said it had learned, and what was refused to a lower one was never said.
    pub fn reading(&self) -> ReplicaReading<'_> {
        for part in self.parts.iter().rev() {
            match &part.progress {
                Progress::Ended => {
                    return match self.answers.last().map(|given| &given.answer) {
                        None | Some(Answer::Stands { .. }) => ReplicaReading::Ended,
                        Some(answer) => ReplicaReading::Answered(answer),
                    };
                }
                Progress::Stands { server, launch } => {
                    return ReplicaReading::Stands { server, launch: *launch, owner: part.owner };
                }
                Progress::Accepted | Progress::Launched { .. } => {}
            }
        }
        let bar = self.parts.iter().map(|part| part.blocked_until).max().unwrap_or_default();
        let out = self.parts.last().is_some_and(|part| matches!(part.progress, Progress::Launched { .. }));
        ReplicaReading::Open { blocked_until: bar, launch_outstanding: out }
    }

    /// An owner above the one whose word [`Replica::reading`] goes by has a launch out, perhaps, until then: what it found it did not go
    /// by, so that the word was never said to a caller, and may be no more than a line that nobody came for.
    pub fn newer_launch_until(&self) -> Option<Duration> {
        let definite = |part: &OwnerState| matches!(part.progress, Progress::Ended | Progress::Stands { .. });
        let above = self.parts.iter().rev().take_while(|part| !definite(part));
        self.parts.iter().any(definite).then(|| {
            let outs = above.filter(|part| matches!(part.progress, Progress::Launched { .. }));
            outs.map(|part| part.blocked_until).max()
        })?
    }

    /// When it may be forgotten: what is over by that, else when the last of its parts may.
    pub fn expires_at(&self) -> Duration {
        let over = self
            .parts
            .iter()
            .filter(|part| part.progress == Progress::Ended)
            .map(|part| part.expires_at)
            .max();
        over.or_else(|| self.parts.iter().map(|part| part.expires_at).max()).unwrap_or_default()
    }

    /// It is forgotten by time, not only with what it stands for.
    pub fn expires(&self) -> bool {
        self.expires_at() < FOR_EVER
    }

    /// Two different final answers were written: the fleet was split, or one of them was refused and never said.
    pub fn has_conflicting_answers(&self) -> bool {
        self.answers.windows(2).any(|pair| pair[0].answer != pair[1].answer)
    }

    /// It has been kept for so much longer than was counted here. Bars stay whole.
    pub fn age(&mut self, by: Duration) {
        for part in self.parts.iter_mut().filter(|part| part.expires_at < FOR_EVER) {
            part.expires_at = part.expires_at.saturating_sub(by);
        }
    }

    pub fn to_update(&self, now: Duration, dialogue: &DialogueId) -> ReplicaUpdate {
        let span = |at: Duration| at.saturating_sub(now).min(MAX_SENT_SPAN);
        let parts = self.parts.iter().map(|part| OwnerRecord {
            owner: part.owner,
            version: part.version,
            progress: part.progress.clone(),
            blocked_for: span(part.blocked_until),
            expires_in: span(part.expires_at),
        });
        ReplicaUpdate {
            dialogue: dialogue.clone(),
            owner_records: parts.collect(),
            answers: self.answers.clone(),
        }
    }

    /// As it was sent, on the clock here. The way makes its times longer, and a clock that runs fast does not make a bar
    /// shorter.
    pub fn from_update(now: Duration, sent: &ReplicaUpdate) -> Self {
        let mut copy = Self::default();
        for part in &sent.owner_records {
            let bar = if part.blocked_for.is_zero() {
                Duration::ZERO
            } else {
                now + part.blocked_for + part.blocked_for / DRIFT
            };
            let until = if part.expires_in >= MAX_SENT_SPAN { FOR_EVER } else { now + part.expires_in };
            let (owner, version, reached) = (part.owner, part.version, part.progress.clone());
            copy.take(&OwnerState {
                owner,
                version,
                progress: reached,
                blocked_until: bar,
                expires_at: until,
            });
        }
        sent.answers.iter().for_each(|given| copy.record_answer(given.owner, &given.answer));
        copy
    }
}

/// What stands is kept for as long as it does.
pub fn no_expiry() -> Duration {
    FOR_EVER
}
