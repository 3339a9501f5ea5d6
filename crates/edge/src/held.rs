//! Dialogues held, sends that wait for their records, deadlines, limits and counters.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialledKey, DialogueId, LaunchNumber, ServerId};
use lotussaddle_trunk::{Dial, Extra, Message};

use crate::LinkId;

/// Limits of an edge proxy. The operators' page describes what happens beyond each.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of dialogues held, including standing ones; further dials are declined.
    pub max_dialogues: usize,
    /// Maximum number of caller links; a further one is closed.
    pub max_links: usize,
    /// Maximum number of links that have not sent a hello; beyond it the oldest of them is closed.
    pub max_unidentified_links: usize,
    /// Time within which a link must send its hello.
    pub hello_timeout: Duration,
    /// Time without a message after which a link is pinged.
    pub ping_after: Duration,
    /// Time without a message after which a link is closed.
    pub response_timeout: Duration,
    /// Maximum number of launches that wait for one link to open.
    pub max_queued_launches: usize,
    /// Time within which a link to a core server or the list must open.
    pub connect_timeout: Duration,
    /// Maximum number of concluded dialogues remembered, by which repeated dials are recognised.
    pub max_concluded: usize,
    /// Maximum number of callers that the decisions remember for their redials.
    pub max_remembered_callers: usize,
    /// Time for which a concluded dialogue is remembered.
    pub concluded_retention: Duration,
    /// Time for which the end of a released dialogue is awaited.
    pub release_timeout: Duration,
    /// Time for which an answer waits until it is recorded; then it is sent without a record. This time is reserved
    /// before each dialogue's cut-off. Zero if nothing is recorded.
    pub answer_record_timeout: Duration,
    /// Time for which a launch waits until it is recorded; zero: it does not wait.
    pub launch_record_timeout: Duration,
    /// A launch that is not recorded in time is withheld and reported to the decisions as unreachable; otherwise it is
    /// sent without its record.
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
            max_remembered_callers: 200_000,
            concluded_retention: Duration::from_secs(60),
            release_timeout: Duration::from_secs(5),
            answer_record_timeout: Duration::ZERO,
            launch_record_timeout: Duration::ZERO,
            withhold_unrecorded_launches: false,
        }
    }
}

/// Counters since the start. Their names appear in logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Dials accepted.
    pub taken: u64,
    /// Dialogues that stood.
    pub stood: u64,
    /// Dialogues refused.
    pub refused: u64,
    /// Dialogues failed.
    pub failed: u64,
    /// Dialogues that their callers gave up before a final answer.
    pub left: u64,
    /// Standing dialogues that were cut.
    pub cut: u64,
    /// Dials declined.
    pub declined: u64,
    /// Dials of dialogues that were held already.
    pub repeats: u64,
    /// Launches sent.
    pub launches: u64,
    /// Answers of core servers to launches that had already ended.
    pub strays: u64,
    /// Links closed.
    pub links_closed: u64,
    /// Answers sent before they were recorded, because recording timed out or was not possible.
    pub unrecorded: u64,
    /// Launches sent before they were recorded.
    pub launched_unrecorded: u64,
    /// Launches not sent because they were not recorded in time.
    pub withheld: u64,
    /// Dialogues dialled before whose outcome was looked up.
    pub sought: u64,
    /// Look-ups that found the dialogue answered or standing.
    pub recognised: u64,
    /// Look-ups whose outcome stayed unknown.
    pub unsure: u64,
    /// Dialogues dropped because another edge proxy owns them now.
    pub replaced: u64,
    /// Dialogues whose number was analysed.
    pub analysed: u64,
    /// Dialogues refused by the number analysis.
    pub barred: u64,
    /// Dialogues that waited for a number look-up.
    pub looked_up: u64,
    /// Number look-ups that timed out.
    pub unanswered: u64,
}

/// Stage of a dialogue.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// The dialogue was dialled before and its outcome is looked up; the decisions do not know it yet.
    LookingUpOutcome(Box<Dial>),
    /// Blocked until this time, because a launch of it may be in progress elsewhere; the decisions do not know it yet.
    Blocked(Box<Dial>, Duration),
    /// The dialled number is looked up; the decisions do not know the dialogue yet.
    LookingUpNumber,
    /// The decisions hold the dialogue; no launch is in progress.
    Waiting,
    /// Launched at a server. While `link` is `None`, the launch waits for its record or for the link to open.
    Launched { server: ServerId, launch: LaunchNumber, until: Duration, link: Option<LinkId> },
    /// Stands at a server.
    Standing { server: ServerId, launch: LaunchNumber, link: LinkId },
    /// The caller hung up, and the release was sent to the server.
    Releasing { server: ServerId, launch: LaunchNumber, link: LinkId, until: Duration },
}

/// The analysed number to dial, and its routing number if it was ported.
pub type AnalysedNumber = (Arc<str>, Option<Arc<str>>);

/// A dialogue that this edge proxy holds.
pub struct HeldDialogue {
    /// The caller's link.
    pub caller_link: LinkId,
    /// Time at which the caller gives up this try.
    pub cut_off: Duration,
    /// Stage of its set-up.
    pub stage: Stage,
    /// Number of launches so far.
    pub launches: u32,
    /// Product as callers name it.
    pub product: u16,
    /// Number of lines.
    pub width: f64,
    /// Key of the dialled destination.
    pub key: Option<DialledKey>,
    /// The analysed number to dial, and its routing number if it was ported.
    pub number: Option<Box<AnalysedNumber>>,
    /// Extra fields of the dial, which are copied into its launches.
    pub extra: Box<[Extra]>,
}

impl HeldDialogue {
    /// Creates a dialogue from its dial, with no launch yet.
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

/// Concluded dialogues, by which repeated dials are recognised.
#[derive(Default)]
pub struct ConcludedDialogues {
    concluded_at: HashMap<DialogueId, Duration>,
    /// In order of their conclusion, for expiry.
    by_time: VecDeque<(Duration, DialogueId)>,
}

impl ConcludedDialogues {
    /// Whether the dialogue is remembered.
    pub fn contains(&self, id: &DialogueId) -> bool {
        self.concluded_at.contains_key(id)
    }

    /// Remembers a dialogue, and evicts those beyond the limits.
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

    /// Removes a dialogue.
    pub fn remove(&mut self, id: &DialogueId) {
        self.concluded_at.remove(id);
    }

    /// Number of dialogues remembered.
    pub fn len(&self) -> usize {
        self.concluded_at.len()
    }
}

/// A launch or answer that is sent once it is recorded.
pub enum Deferred {
    /// A final answer to the caller on this link.
    Answer { link: LinkId, message: Message },
    /// The launch with this number.
    Launch(LaunchNumber),
}

/// Answers and launches that wait for their records, at most one per dialogue.
#[derive(Default)]
pub struct DeferredSends {
    by_record: BTreeMap<u64, (Duration, DialogueId, Deferred)>,
    by_dialogue: HashMap<DialogueId, u64>,
    deadlines: BTreeSet<(Duration, u64)>,
}

impl DeferredSends {
    /// Adds a send that waits for this record until `deadline`.
    pub fn add(&mut self, deadline: Duration, number: u64, dialogue: &DialogueId, deferred: Deferred) {
        self.by_dialogue.insert(dialogue.clone(), number);
        self.by_record.insert(number, (deadline, dialogue.clone(), deferred));
        self.deadlines.insert((deadline, number));
    }

    /// Removes and returns the send that waits for this record.
    pub fn take(&mut self, number: u64) -> Option<(DialogueId, Deferred)> {
        let (deadline, dialogue, deferred) = self.by_record.remove(&number)?;
        self.deadlines.remove(&(deadline, number));
        self.by_dialogue.remove(&dialogue);
        Some((dialogue, deferred))
    }

    /// The caller's link of a deferred answer of this dialogue.
    pub fn answer_link(&mut self, id: &DialogueId) -> Option<&mut LinkId> {
        match self.by_record.get_mut(self.by_dialogue.get(id)?) {
            Some((_, _, Deferred::Answer { link, .. })) => Some(link),
            _ => None,
        }
    }

    /// Removes and returns the send of this dialogue.
    pub fn remove_dialogue(&mut self, id: &DialogueId) -> Option<Deferred> {
        let number = self.by_dialogue.get(id).copied()?;
        self.take(number).map(|(_, deferred)| deferred)
    }

    /// Number of deferred sends.
    pub fn len(&self) -> usize {
        self.by_record.len()
    }

    /// The earliest time-out of a deferred send.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns one send whose wait has timed out.
    pub fn take_overdue(&mut self, now: Duration) -> Option<(DialogueId, Deferred)> {
        let (deadline, number) = self.deadlines.first().copied()?;
        if deadline <= now { self.take(number) } else { None }
    }
}

/// Deadlines of dialogues, earliest first; an outdated one is ignored when it expires.
#[derive(Default)]
pub struct Deadlines(BTreeSet<(Duration, DialogueId, LaunchNumber)>);

impl Deadlines {
    /// Sets a deadline.
    pub fn set(&mut self, at: Duration, id: &DialogueId, launch: LaunchNumber) {
        self.0.insert((at, id.clone(), launch));
    }

    /// Clears a deadline.
    pub fn clear(&mut self, at: Duration, id: &DialogueId, launch: LaunchNumber) {
        self.0.remove(&(at, id.clone(), launch));
    }

    /// The earliest deadline.
    pub fn next(&self) -> Option<Duration> {
        self.0.first().map(|(at, ..)| *at)
    }

    /// Removes and returns one deadline that has passed.
    pub fn take_due(&mut self, now: Duration) -> Option<(DialogueId, LaunchNumber)> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, id, launch)| (id, launch))
    }
}
