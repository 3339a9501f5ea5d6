//! The duty `publish` puts generations of number tables into force on all members, one after the other. All reachable members load
//! and check a generation before any of them uses it; if one member cannot load it, none uses it. A member that returns later is
//! brought up to date by the holder of the duty at that time.
//!
//! Each stage is committed as the duty's checkpoint before any of its orders is sent. A new holder continues from the checkpoint and
//! sends again what may have been sent already; members carry an order out only once.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle_trunk::TablesOrder;
use serde::{Deserialize, Serialize};

/// Generations that may wait for the current one; further requests are refused.
const MAX_QUEUED: usize = 16;
/// Longest name of a generation, and longest reason of a refusal, that fit into a checkpoint.
pub(crate) const MAX_NAME_BYTES: usize = 100;
const MAX_REASON_BYTES: usize = 80;
/// An order without an answer is sent again after this.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// How often a generation is published again after a member could not put it into force.
const MAX_REPUBLISH_ATTEMPTS: u32 = 3;
/// Low bits of a serial that count the orders of one holder; its fencing token stands above them.
const SERIAL_BITS: u32 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Stage {
    /// All reachable members load and check the tables.
    Reads,
    /// All of them have loaded the tables, and are ordered to use them.
    Swaps,
    /// All reachable members use the tables.
    Done,
    /// A member could not load or use the tables, for this reason.
    Refused(String),
}

/// The generation that is being published, or the last one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Publication {
    pub name: String,
    /// Serial of the order to load it; that of the swap is one higher.
    pub serial: u64,
    pub stage: Stage,
}

#[derive(Debug, PartialEq)]
pub(crate) enum PublishStep {
    Checkpoint(Vec<u8>),
    Send(u16, u64, TablesOrder),
}

/// Progress of one incarnation of a member with this publication.
#[derive(Clone, Copy)]
struct MemberProgress {
    incarnation: u64,
    swapped: bool,
    read: bool,
    sent_at: Option<Duration>,
}

pub(crate) struct Publish {
    self_member: u16,
    /// The fencing token under which the duty is held; none: it is not held here.
    held: Option<u64>,
    publication: Option<Publication>,
    /// The stage is committed as the duty's checkpoint.
    is_committed: bool,
    queued: VecDeque<String>,
    republish_attempts: u32,
    members: BTreeMap<u16, MemberProgress>,
    due: Option<Duration>,
}

fn truncate_text(text: &str, most: usize) -> String {
    let mut text = text.to_string();
    text.truncate(text.floor_char_boundary(most));
    text
}

impl Publish {
    pub fn new(self_member: u16) -> Self {
        let (queued, members) = (VecDeque::new(), BTreeMap::new());
        Self {
            self_member,
            held: None,
            publication: None,
            is_committed: false,
            queued,
            republish_attempts: 0,
            members,
            due: None,
        }
    }

    pub fn acquired(&mut self, now: Duration, number: u64, checkpoint: &[u8]) {
        (self.held, self.due, self.is_committed) = (Some(number), Some(now), true);
        self.members.clear();
        self.publication = postcard::from_bytes(checkpoint).ok();
    }

    pub fn lost(&mut self) {
        (self.held, self.due) = (None, None);
        self.queued.clear();
    }

    /// A checkpoint as text for operators.
    pub fn describe(checkpoint: &[u8]) -> String {
        match postcard::from_bytes::<Publication>(checkpoint) {
            Err(_) => String::new(),
            Ok(publication) => match publication.stage {
                Stage::Reads => format!("{} is read by all", publication.name),
                Stage::Swaps => format!("{} goes into force", publication.name),
                Stage::Done => format!("{} is in force", publication.name),
                Stage::Refused(why) => format!("{} was refused: {why}", publication.name),
            },
        }
    }

    /// Requests that a generation goes into force; false: the duty is not held here, or too many generations wait.
    pub fn request(&mut self, now: Duration, name: &str) -> bool {
        let accepted = self.held.is_some() && self.queued.len() < MAX_QUEUED && name.len() <= MAX_NAME_BYTES;
        if accepted {
            self.republish_attempts = 0;
            self.queued.push_back(name.into());
            self.due = Some(now);
        }
        accepted
    }

    /// The checkpoint is committed.
    pub fn checkpoint_committed(&mut self, now: Duration) {
        self.is_committed = true;
        self.due = self.held.map(|_| now);
        self.members.values_mut().for_each(|member| member.sent_at = None);
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.due
    }

    /// A member has carried an order out, or reports why it could not.
    pub fn member_answered(
        &mut self, now: Duration, member: u16, incarnation: u64, serial: u64, why: Option<&str>,
    ) {
        let Some(publication) = self.publication.as_mut().filter(|_| self.held.is_some()) else { return };
        let Some(progress) =
            self.members.get_mut(&member).filter(|progress| progress.incarnation == incarnation)
        else {
            return;
        };
        self.due = Some(now);
        match why {
            None if serial == publication.serial => (progress.read, progress.sent_at) = (true, None),
            None if serial == publication.serial + 1 => (progress.read, progress.swapped) = (true, true),
            Some(why)
                if serial == publication.serial && publication.stage == Stage::Reads && self.is_committed =>
            {
                publication.stage = Stage::Refused(truncate_text(why, MAX_REASON_BYTES));
                self.is_committed = false;
            }
            // The member does not accept this serial again: the generation is published again under new ones.
            Some(why) if serial == publication.serial + 1 && self.is_committed => {
                publication.stage = Stage::Refused(truncate_text(why, MAX_REASON_BYTES));
                self.is_committed = false;
                if self.republish_attempts < MAX_REPUBLISH_ATTEMPTS {
                    self.republish_attempts += 1;
                    self.queued.push_front(publication.name.clone());
                }
            }
            _ => {}
        }
    }

    /// The steps that are due; `reachable` are the reachable members with their incarnations.
    pub fn due_steps(&mut self, now: Duration, reachable: &[(u16, u64)]) -> Vec<PublishStep> {
        let Some(number) = self.held else { return Vec::new() };
        self.due = Some(now + RESEND_INTERVAL);
        let is_finished =
            |publication: &Publication| matches!(publication.stage, Stage::Done | Stage::Refused(_));
        if self.is_committed
            && self.publication.as_ref().is_none_or(is_finished)
            && let Some(name) = self.queued.pop_front()
        {
            let last = self.publication.as_ref().map_or(0, |publication| publication.serial + 2);
            let serial = last.max(number << SERIAL_BITS);
            self.publication = Some(Publication { name, serial, stage: Stage::Reads });
            self.is_committed = false;
            self.members.clear();
        }
        let Some(publication) = self.publication.as_mut() else { return Vec::new() };
        self.members.retain(|member, _| reachable.iter().any(|(known, _)| known == member));
        for (member, incarnation) in reachable {
            let initial =
                MemberProgress { incarnation: *incarnation, swapped: false, read: false, sent_at: None };
            let progress = self.members.entry(*member).or_insert(initial);
            if progress.incarnation != *incarnation {
                *progress = initial;
            }
        }
        if self.is_committed {
            let all =
                |has: fn(&MemberProgress) -> bool| !self.members.is_empty() && self.members.values().all(has);
            let stage = match publication.stage {
                Stage::Reads if all(|member| member.read) => Some(Stage::Swaps),
                Stage::Swaps if all(|member| member.swapped) => Some(Stage::Done),
                _ => None,
            };
            if let Some(stage) = stage {
                publication.stage = stage;
                self.is_committed = false;
            }
        }
        if !self.is_committed {
            // Reported again until it is committed; the lease retains only the last one.
            return vec![PublishStep::Checkpoint(
                postcard::to_allocvec(publication).expect("the checkpoint encodes without errors"),
            )];
        }
        if matches!(publication.stage, Stage::Refused(_)) {
            return Vec::new();
        }
        let name: Arc<str> = publication.name.as_str().into();
        let swaps = publication.stage != Stage::Reads;
        let done = |progress: &MemberProgress| if swaps { progress.swapped } else { progress.read };
        // The holder goes last: a generation that crashes the loading process then crashes another member's, and the holder does not
        // load it or send it to the rest.
        let self_member = self.self_member;
        let last = self.members.iter().all(|(member, progress)| *member == self_member || done(progress));
        let mut all = Vec::new();
        for (member, progress) in &mut self.members {
            let waits = *member == self_member && !last;
            if waits || done(progress) || progress.sent_at.is_some_and(|at| now < at + RESEND_INTERVAL) {
                continue;
            }
            progress.sent_at = Some(now);
            let read = TablesOrder::Load { name: name.clone() };
            // A member that joined late loads it first: a failed swap uses up its serial.
            if progress.read {
                let swap = TablesOrder::Swap { name: name.clone(), after: Duration::ZERO };
                all.push(PublishStep::Send(*member, publication.serial + 1, swap));
            } else {
                all.push(PublishStep::Send(*member, publication.serial, read));
            }
        }
        all
    }
}

#[cfg(test)]
#[path = "../tests/unit/publish.rs"]
mod tests;
