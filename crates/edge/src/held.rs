//! What is held of each dialogue, and the bounds of all that is held.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialledKey, DialogueId, LaunchNumber, ServerId};
use lotussaddle_trunk::{Dial, Extra, Message};

use crate::LinkId;

/// Each bound, and (in the operators' page) what happens beyond it.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Dialogues held at once, standing ones included; beyond it a dial is declined.
    pub max_dialogues: usize,
    /// Links of callers; beyond it a new one is closed.
    pub max_links: usize,
    /// Links that have not said hello; beyond it the oldest of them is closed.
    pub max_unidentified_links: usize,
    /// How long a link may take to say hello.
    pub hello_timeout: Duration,
    /// A link that said nothing for so long is asked whether it is there ...
    pub ping_after: Duration,
    /// ... and closed when it has said nothing for so long.
    pub response_timeout: Duration,
    /// Launches that wait for one link to come up.
    pub max_queued_launches: usize,
    /// How long a link to a core server or list may take to come up.
    pub connect_timeout: Duration,
    /// Concluded dialogues that are remembered, so that a repeat is not taken as new ...
    pub max_concluded: usize,
    /// ... and for how long.
    pub concluded_retention: Duration,
    /// How long the end of a released dialogue is awaited.
    pub release_timeout: Duration,
    /// How long an answer waits until it is recorded; then it is given all the same. So much time is kept back from
    /// each dialogue's cut-off. Zero where nothing is recorded.
    pub answer_record_timeout: Duration,
    /// How long a launch waits until it is recorded; zero: it does not wait ...
    pub launch_record_timeout: Duration,
    /// ... and then it is not sent, but goes on to the module as one that could not be; else it is sent all the same.
    pub withhold_unrecorded_launches: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_dialogues: 200_000,
            max_links: 2_000,
            max_unidentified_links: 512,
            hello_timeout: Duration::from_secs(2),
            ping_after: Duration::from_secs(1),
            response_timeout: Duration::from_secs(5),
            max_queued_launches: 1_000,
            connect_timeout: Duration::from_millis(500),
            max_concluded: 200_000,
            concluded_retention: Duration::from_secs(60),
            release_timeout: Duration::from_secs(5),
            answer_record_timeout: Duration::ZERO,
            launch_record_timeout: Duration::ZERO,
            withhold_unrecorded_launches: false,
        }
    }
}

/// What has happened since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub stood: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    pub cut: u64,
    pub declined: u64,
    pub repeats: u64,
    pub launches: u64,
    /// Answers of core servers to launches that were over by then.
    pub strays: u64,
    pub links_closed: u64,
    /// Answers given before they were recorded, since that took too long or could not be had.
    pub unrecorded: u64,
    /// Launches sent before they were recorded, and launches not sent for that.
    pub launched_unrecorded: u64,
    pub withheld: u64,
    /// Dialogues dialled before that were sought elsewhere: in all, found answered or standing, and not found out.
    pub sought: u64,
    pub recognised: u64,
    pub unsure: u64,
    /// Dialogues let go because another edge proxy has them now.
    pub replaced: u64,
    /// Dialogues whose number was analysed, those that were refused by it, those that waited for a look-up, and
    /// those that waited no longer.
    pub analysed: u64,
    pub barred: u64,
    pub looked_up: u64,
    pub unanswered: u64,
}

/// Where a dialogue is.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// It was dialled before, and what is known of it elsewhere is sought; the module does not know of it yet.
    LookingUpOutcome(Box<Dial>),
    /// Nor before this time: a launch of it may be out elsewhere.
    Blocked(Box<Dial>, Duration),
    /// Its number is looked up; the module does not know of it yet.
    LookingUpNumber,
    Waiting,
    /// On its way to a server; none yet of its link: it waits for that to come up.
    Launched {
        server: ServerId,
        launch: LaunchNumber,
        until: Duration,
        link: Option<LinkId>,
    },
    Standing {
        server: ServerId,
        launch: LaunchNumber,
        link: LinkId,
    },
    /// Its caller hung up; the server was told.
    Releasing {
        server: ServerId,
        launch: LaunchNumber,
        link: LinkId,
        until: Duration,
    },
}

/// The number to be dialled on, and where it has moved to.
pub type AnalysedNumber = (Arc<str>, Option<Arc<str>>);

pub struct HeldDialogue {
    /// The caller's link.
    pub caller_link: LinkId,
    /// When the caller gives this try up.
    pub cut_off: Duration,
    pub stage: Stage,
    pub launches: u32,
    pub product: u16,
    pub width: f64,
    pub key: Option<DialledKey>,
    /// The number to be dialled on, and where it has moved to.
    pub number: Option<Box<AnalysedNumber>>,
    /// Optional fields of its dial, which its launches carry on.
    pub extra: Box<[Extra]>,
}

impl HeldDialogue {
    /// A dialogue as it was dialled, with no launch yet.
    pub fn from_dial(
        dial: &Dial, caller_link: LinkId, cut_off: Duration, stage: Stage, extra: Vec<Extra>,
    ) -> Self {
        Self {
            caller_link,
            cut_off,
            stage,
            launches: 0,
            product: dial.product,
            width: dial.width,
            key: dial.key.clone(),
            number: None,
            extra: extra.into(),
        }
    }
}

/// Dialogues that have had their answer, so that a repeat of their dial is not taken for a new one.
#[derive(Default)]
pub struct ConcludedDialogues {
    concluded_at: HashMap<DialogueId, Duration>,
    by_time: VecDeque<(Duration, DialogueId)>,
}

impl ConcludedDialogues {
    pub fn contains(&self, id: &DialogueId) -> bool {
        self.concluded_at.contains_key(id)
    }

    pub fn add(&mut self, now: Duration, id: &DialogueId, limits: &Limits) {
        self.concluded_at.insert(id.clone(), now);
        self.by_time.push_back((now, id.clone()));
        while let Some((since, oldest)) = self.by_time.front()
            && (self.by_time.len() > limits.max_concluded || *since + limits.concluded_retention <= now)
        {
            if self.concluded_at.get(oldest) == Some(since) {
                self.concluded_at.remove(oldest);
            }
            self.by_time.pop_front();
        }
    }

    pub fn remove(&mut self, id: &DialogueId) {
        self.concluded_at.remove(id);
    }

    pub fn len(&self) -> usize {
        self.concluded_at.len()
    }
}

/// What waits until it is recorded.
pub enum Deferred {
    Answer { link: LinkId, message: Message },
    Launch(LaunchNumber),
}

/// Answers and launches that wait until they are recorded, one a dialogue.
#[derive(Default)]
pub struct DeferredSends {
    by_record: BTreeMap<u64, (Duration, DialogueId, Deferred)>,
    by_dialogue: HashMap<DialogueId, u64>,
    deadlines: BTreeSet<(Duration, u64)>,
}

impl DeferredSends {
    pub fn add(&mut self, by: Duration, number: u64, dialogue: &DialogueId, deferred: Deferred) {
        self.by_dialogue.insert(dialogue.clone(), number);
        self.by_record.insert(number, (by, dialogue.clone(), deferred));
        self.deadlines.insert((by, number));
    }

    pub fn take(&mut self, number: u64) -> Option<(DialogueId, Deferred)> {
        let (by, dialogue, deferred) = self.by_record.remove(&number)?;
        self.deadlines.remove(&(by, number));
        self.by_dialogue.remove(&dialogue);
        Some((dialogue, deferred))
    }

    /// The caller's link of an answer of this dialogue that waits.
    pub fn answer_link(&mut self, id: &DialogueId) -> Option<&mut LinkId> {
        match self.by_record.get_mut(self.by_dialogue.get(id)?) {
            Some((_, _, Deferred::Answer { link, .. })) => Some(link),
            _ => None,
        }
    }

    pub fn remove_dialogue(&mut self, id: &DialogueId) -> Option<Deferred> {
        let number = self.by_dialogue.get(id).copied()?;
        self.take(number).map(|(_, deferred)| deferred)
    }

    pub fn len(&self) -> usize {
        self.by_record.len()
    }

    /// When the first of them has waited long enough.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(by, _)| *by)
    }

    /// One that has waited long enough.
    pub fn take_overdue(&mut self, now: Duration) -> Option<(DialogueId, Deferred)> {
        let (by, number) = self.deadlines.first().copied()?;
        if by <= now { self.take(number) } else { None }
    }
}

/// Ends of time, earliest first; what is no longer meant is passed over when it comes up.
#[derive(Default)]
pub struct Deadlines(BTreeSet<(Duration, DialogueId, LaunchNumber)>);

impl Deadlines {
    pub fn set(&mut self, at: Duration, id: &DialogueId, launch: LaunchNumber) {
        self.0.insert((at, id.clone(), launch));
    }

    pub fn clear(&mut self, at: Duration, id: &DialogueId, launch: LaunchNumber) {
        self.0.remove(&(at, id.clone(), launch));
    }

    pub fn next(&self) -> Option<Duration> {
        self.0.first().map(|(at, ..)| *at)
    }

    pub fn take_due(&mut self, now: Duration) -> Option<(DialogueId, LaunchNumber)> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, id, launch)| (id, launch))
    }
}
