//! The duty `publish`: one generation of number tables after the other goes into force on all members. It is read and checked by all
//! that are heard before any goes by it; where one cannot take it, none does. Who comes back later is brought up by whoever holds the
//! duty then.
//!
//! Each stage is agreed on, as the duty's mark, before anything of it is sent: whoever follows in the middle goes on from there, and
//! sends again what may have been sent. Members carry an order out once.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle_trunk::TablesOrder;
use serde::{Deserialize, Serialize};

/// Generations that wait for the one before; beyond it an order is refused.
const MOST_WANTED: usize = 16;
/// Signs of a name, and of why it was not taken, that fit into a mark.
pub(crate) const MOST_NAME: usize = 100;
const MOST_WHY: usize = 80;
/// What is not answered is sent again after this.
const AGAIN: Duration = Duration::from_millis(500);
/// A generation that could not be gone by somewhere is published once more so often.
const MOST_AGAIN: u32 = 3;
/// Editions of one holder: their serials follow each other below its number.
const SERIALS: u32 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Stage {
    /// All that are heard read and check it.
    Reads,
    /// All have, and go by it as they are told.
    Swaps,
    /// All that were heard go by it.
    Done,
    /// A member could not take it: nobody goes by it.
    Refused(String),
}

/// A generation on its way, or the last one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Edition {
    pub name: String,
    /// Of the order to read it; the swap's is one more.
    pub serial: u64,
    pub stage: Stage,
}

#[derive(Debug, PartialEq)]
pub(crate) enum Next {
    Mark(Vec<u8>),
    Send(u16, u64, TablesOrder),
}

/// How far a member has come with this edition, in one of its lives.
#[derive(Clone, Copy)]
struct Reached {
    life: u64,
    swapped: bool,
    read: bool,
    sent_at: Option<Duration>,
}

pub(crate) struct Publish {
    me: u16,
    /// The number under which the duty is held; none: it is another's.
    held: Option<u64>,
    edition: Option<Edition>,
    /// The stage is agreed on.
    agreed: bool,
    wanted: VecDeque<String>,
    again: u32,
    members: BTreeMap<u16, Reached>,
    due: Option<Duration>,
}

fn cut(text: &str, most: usize) -> String {
    let mut text = text.to_string();
    text.truncate(text.floor_char_boundary(most));
    text
}

impl Publish {
    pub fn new(me: u16) -> Self {
        let (wanted, members) = (VecDeque::new(), BTreeMap::new());
        Self { me, held: None, edition: None, agreed: false, wanted, again: 0, members, due: None }
    }

    pub fn begins(&mut self, now: Duration, number: u64, mark: &[u8]) {
        (self.held, self.due, self.agreed) = (Some(number), Some(now), true);
        self.members.clear();
        self.edition = postcard::from_bytes(mark).ok();
    }

    pub fn ends(&mut self) {
        (self.held, self.due) = (None, None);
        self.wanted.clear();
    }

    /// Words for operators.
    pub fn told(mark: &[u8]) -> String {
        match postcard::from_bytes::<Edition>(mark) {
            Err(_) => String::new(),
            Ok(edition) => match edition.stage {
                Stage::Reads => format!("{} is read by all", edition.name),
                Stage::Swaps => format!("{} goes into force", edition.name),
                Stage::Done => format!("{} is in force", edition.name),
                Stage::Refused(why) => format!("{} was refused: {why}", edition.name),
            },
        }
    }

    /// A generation is to go into force; false: it is not held here, or too many wait.
    pub fn want(&mut self, now: Duration, name: &str) -> bool {
        let may = self.held.is_some() && self.wanted.len() < MOST_WANTED && name.len() <= MOST_NAME;
        if may {
            self.again = 0;
            self.wanted.push_back(name.into());
            self.due = Some(now);
        }
        may
    }

    /// The mark is agreed on.
    pub fn marked(&mut self, now: Duration) {
        self.agreed = true;
        self.due = self.held.map(|_| now);
        self.members.values_mut().for_each(|member| member.sent_at = None);
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.due
    }

    /// A member has carried an order out, or could not.
    pub fn answered(&mut self, now: Duration, member: u16, life: u64, serial: u64, why: Option<&str>) {
        let Some(edition) = self.edition.as_mut().filter(|_| self.held.is_some()) else { return };
        let Some(reached) = self.members.get_mut(&member).filter(|reached| reached.life == life) else {
            return;
        };
        self.due = Some(now);
        match why {
            None if serial == edition.serial => (reached.read, reached.sent_at) = (true, None),
            None if serial == edition.serial + 1 => (reached.read, reached.swapped) = (true, true),
            Some(why) if serial == edition.serial && edition.stage == Stage::Reads && self.agreed => {
                edition.stage = Stage::Refused(cut(why, MOST_WHY));
                self.agreed = false;
            }
            // Its serial is used up there: it is published once more, under others.
            Some(why) if serial == edition.serial + 1 && self.agreed => {
                edition.stage = Stage::Refused(cut(why, MOST_WHY));
                self.agreed = false;
                if self.again < MOST_AGAIN {
                    self.again += 1;
                    self.wanted.push_front(edition.name.clone());
                }
            }
            _ => {}
        }
    }

    /// What is to be done now; `heard` are the members that are heard, with their lives.
    pub fn next(&mut self, now: Duration, heard: &[(u16, u64)]) -> Vec<Next> {
        let Some(number) = self.held else { return Vec::new() };
        self.due = Some(now + AGAIN);
        let over = |edition: &Edition| matches!(edition.stage, Stage::Done | Stage::Refused(_));
        if self.agreed
            && self.edition.as_ref().is_none_or(over)
            && let Some(name) = self.wanted.pop_front()
        {
            let last = self.edition.as_ref().map_or(0, |edition| edition.serial + 2);
            let serial = last.max(number << SERIALS);
            self.edition = Some(Edition { name, serial, stage: Stage::Reads });
            self.agreed = false;
            self.members.clear();
        }
        let Some(edition) = self.edition.as_mut() else { return Vec::new() };
        self.members.retain(|member, _| heard.iter().any(|(known, _)| known == member));
        for (member, life) in heard {
            let anew = Reached { life: *life, swapped: false, read: false, sent_at: None };
            let reached = self.members.entry(*member).or_insert(anew);
            if reached.life != *life {
                *reached = anew;
            }
        }
        if self.agreed {
            let all = |has: fn(&Reached) -> bool| !self.members.is_empty() && self.members.values().all(has);
            let stage = match edition.stage {
                Stage::Reads if all(|member| member.read) => Some(Stage::Swaps),
                Stage::Swaps if all(|member| member.swapped) => Some(Stage::Done),
                _ => None,
            };
            if let Some(stage) = stage {
                edition.stage = stage;
                self.agreed = false;
            }
        }
        if !self.agreed {
            // Said again until it is agreed on; the lease keeps the last one.
            return vec![Next::Mark(postcard::to_allocvec(edition).expect("an edition is plain"))];
        }
        if matches!(edition.stage, Stage::Refused(_)) {
            return Vec::new();
        }
        let name: Arc<str> = edition.name.as_str().into();
        let swaps = edition.stage != Stage::Reads;
        let done = |reached: &Reached| if swaps { reached.swapped } else { reached.read };
        // Whoever holds the duty goes last: what ends the process that reads it ends another's, and the rest is not asked by it.
        let me = self.me;
        let last = self.members.iter().all(|(member, reached)| *member == me || done(reached));
        let mut all = Vec::new();
        for (member, reached) in &mut self.members {
            let waits = *member == me && !last;
            if waits || done(reached) || reached.sent_at.is_some_and(|at| now < at + AGAIN) {
                continue;
            }
            reached.sent_at = Some(now);
            let read = TablesOrder::Load { name: name.clone() };
            // One that came late reads it first: a swap that fails uses its serial up.
            if reached.read {
                let swap = TablesOrder::Swap { name: name.clone(), after: Duration::ZERO };
                all.push(Next::Send(*member, edition.serial + 1, swap));
            } else {
                all.push(Next::Send(*member, edition.serial, read));
            }
        }
        all
    }
}

#[cfg(test)]
#[path = "../tests/unit/publish.rs"]
mod tests;
