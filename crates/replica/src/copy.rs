//! A copy of a dialogue's state, and the rule for copies that differ.
//!
//! A copy keeps, of each owner, what it wrote last, and of all the final answers. [`Copy::merge`] is a join: whatever the order
//! and however often copies meet, the same comes of them. What a copy means is read off it by [`Copy::reading`], the same way by
//! everyone. Times are on the clock of whoever keeps it.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNo, ServerId};
use lotussaddle_trunk::{Answer, Owner, OwnerRecord, Progress, RecordedAnswer, ReplicaUpdate};

/// What is kept of owners and answers, at most: beyond it owners go that only said that they own it, then the lowest.
pub const MOST_OWNERS: usize = 16;
pub const MOST_ANSWERS: usize = 4;
/// A clock may run so much faster than another, in parts of what it counts: a bar that is taken over is longer by that.
const DRIFT: u32 = 16;
/// What lasts as long as it stands is not forgotten by time; a span on the wire ends here.
const FOR_EVER: Duration = Duration::from_secs(365 * 86_400 * 100);
pub const LONGEST_SENT: Duration = Duration::from_secs(900_000);

/// What one owner wrote last.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mine {
    pub owner: Owner,
    pub version: u32,
    pub reached: Progress,
    /// Until then a launch of that owner may be out, or its lines may be taken.
    pub bar: Duration,
    /// It may be forgotten then.
    pub until: Duration,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Copy {
    /// By owner, lowest first; one of each.
    parts: Vec<Mine>,
    /// By owner; mostly none or one.
    answers: Vec<RecordedAnswer>,
}

/// What a copy means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reading<'a> {
    /// It had this final answer and does not stand. Of several that of the highest owner, the same for all.
    Answered(&'a Answer),
    /// It stood and is over.
    Over,
    Stands {
        server: &'a ServerId,
        launch: LaunchNo,
        owner: Owner,
    },
    /// It has no answer, as far as is known. Nothing may be launched before `bar`; the owner that wrote last may have a
    /// launch out.
    Open {
        bar: Duration,
        out: bool,
    },
}

impl Copy {
    /// Of one who says that it owns it, and nothing else.
    pub fn claimed(owner: Owner, until: Duration) -> Self {
        Self {
            parts: vec![Mine { owner, version: 0, reached: Progress::Accepted, bar: Duration::ZERO, until }],
            answers: vec![],
        }
    }

    pub fn parts(&self) -> &[Mine] {
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
    pub fn writer(&self) -> Option<Owner> {
        self.parts.iter().rev().find(|part| part.version > 0).map(|part| part.owner)
    }

    pub fn part_of(&self, owner: Owner) -> Option<&Mine> {
        self.parts.iter().find(|part| part.owner == owner)
    }

    /// Joins what another copy knows. Of one owner the higher version counts; two that differ under one version cannot be,
    /// but if they are, the one that compares higher counts, everywhere.
    pub fn merge(&mut self, other: &Self) {
        for theirs in &other.parts {
            self.take(theirs);
        }
        for given in &other.answers {
            self.answered(given.owner, &given.answer);
        }
    }

    fn take(&mut self, theirs: &Mine) {
        match self.parts.binary_search_by_key(&theirs.owner, |part| part.owner) {
            Ok(place) => {
                let part = &mut self.parts[place];
                if *theirs > *part {
                    *part = theirs.clone();
                }
            }
            Err(place) => {
                self.parts.insert(place, theirs.clone());
                if self.parts.len() > MOST_OWNERS {
                    let below = &self.parts[..MOST_OWNERS];
                    // Of an owner the version only goes up, so that all drop the same whatever they meet first.
                    self.parts.remove(below.iter().position(|part| part.version == 0).unwrap_or(0));
                }
            }
        }
    }

    /// An owner wrote a final answer. It writes one; if there are two all the same, the one that compares lower counts, everywhere.
    pub fn answered(&mut self, owner: Owner, answer: &Answer) {
        match self.answers.binary_search_by_key(&owner, |given| given.owner) {
            Ok(place) => {
                let given = &mut self.answers[place];
                if *answer < given.answer {
                    given.answer = answer.clone();
                }
            }
            Err(place) => {
                self.answers.insert(place, RecordedAnswer { owner, answer: answer.clone() });
                if self.answers.len() > MOST_ANSWERS {
                    self.answers.remove(0);
                }
            }
        }
    }

    /// The next word of an owner; a word of an owner that was not here begins at version 1.
    pub fn write(&mut self, owner: Owner, reached: Progress, bar: Duration, until: Duration) {
        let version = self.part_of(owner).map_or(0, |part| part.version) + 1;
        self.take(&Mine { owner, version, reached, bar, until });
    }

    /// The life of an owner that had none yet.
    pub fn rename(&mut self, from: Owner, to: Owner) {
        if let Some(place) = self.parts.iter().position(|part| part.owner == from) {
            let mut part = self.parts.remove(place);
            part.owner = to;
            self.take(&part);
        }
        if let Some(place) = self.answers.iter().position(|given| given.owner == from) {
            let given = self.answers.remove(place);
            self.answered(to, &given.answer);
        }
    }

    /// What binds most: that it is over, answered or stands, then the longest bar. Where several owners wrote that it is over or
    /// stands, the highest counts: whatever a lower one had said it had learned, and what was refused to a lower one was never said.
    pub fn reading(&self) -> Reading<'_> {
        for part in self.parts.iter().rev() {
            match &part.reached {
                Progress::Ended => {
                    return match self.answers.last().map(|given| &given.answer) {
                        None | Some(Answer::Stands { .. }) => Reading::Over,
                        Some(answer) => Reading::Answered(answer),
                    };
                }
                Progress::Stands { server, launch } => {
                    return Reading::Stands { server, launch: *launch, owner: part.owner };
                }
                Progress::Accepted | Progress::Launched { .. } => {}
            }
        }
        let bar = self.parts.iter().map(|part| part.bar).max().unwrap_or_default();
        let out = self.parts.last().is_some_and(|part| matches!(part.reached, Progress::Launched { .. }));
        Reading::Open { bar, out }
    }

    /// An owner above the one whose word [`Copy::reading`] goes by has a launch out, perhaps, until then: what it found it did not go
    /// by, so that the word was never said to a caller, and may be no more than a line that nobody came for.
    pub fn launched_since(&self) -> Option<Duration> {
        let definite = |part: &Mine| matches!(part.reached, Progress::Ended | Progress::Stands { .. });
        let above = self.parts.iter().rev().take_while(|part| !definite(part));
        self.parts.iter().any(definite).then(|| {
            let outs = above.filter(|part| matches!(part.reached, Progress::Launched { .. }));
            outs.map(|part| part.bar).max()
        })?
    }

    /// When it may be forgotten: what is over by that, else when the last of its parts may.
    pub fn until(&self) -> Duration {
        let over =
            self.parts.iter().filter(|part| part.reached == Progress::Ended).map(|part| part.until).max();
        over.or_else(|| self.parts.iter().map(|part| part.until).max()).unwrap_or_default()
    }

    /// It is forgotten by time, not only with what it stands for.
    pub fn fades(&self) -> bool {
        self.until() < FOR_EVER
    }

    /// Two different final answers were written: the fleet was split, or one of them was refused and never said.
    pub fn differs(&self) -> bool {
        self.answers.windows(2).any(|pair| pair[0].answer != pair[1].answer)
    }

    /// It has been kept for so much longer than was counted here. Bars stay whole.
    pub fn aged(&mut self, by: Duration) {
        for part in self.parts.iter_mut().filter(|part| part.until < FOR_EVER) {
            part.until = part.until.saturating_sub(by);
        }
    }

    pub fn sent(&self, now: Duration, dialogue: &DialogueId) -> ReplicaUpdate {
        let span = |at: Duration| at.saturating_sub(now).min(LONGEST_SENT);
        let parts = self.parts.iter().map(|part| OwnerRecord {
            owner: part.owner,
            version: part.version,
            progress: part.reached.clone(),
            blocked_for: span(part.bar),
            expires_in: span(part.until),
        });
        ReplicaUpdate {
            dialogue: dialogue.clone(),
            owner_records: parts.collect(),
            answers: self.answers.clone(),
        }
    }

    /// As it was sent, on the clock here. The way makes its times longer, and a clock that runs fast does not make a bar
    /// shorter.
    pub fn received(now: Duration, sent: &ReplicaUpdate) -> Self {
        let mut copy = Self::default();
        for part in &sent.owner_records {
            let bar = if part.blocked_for.is_zero() {
                Duration::ZERO
            } else {
                now + part.blocked_for + part.blocked_for / DRIFT
            };
            let until = if part.expires_in >= LONGEST_SENT { FOR_EVER } else { now + part.expires_in };
            let (owner, version, reached) = (part.owner, part.version, part.progress.clone());
            copy.take(&Mine { owner, version, reached, bar, until });
        }
        sent.answers.iter().for_each(|given| copy.answered(given.owner, &given.answer));
        copy
    }
}

/// What stands is kept for as long as it does.
pub fn for_ever() -> Duration {
    FOR_EVER
}
