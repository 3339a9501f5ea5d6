//! What an edge proxy remembers past its end: which dialogues have had their final answer and, in a fleet, copies and lives.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use crossbeam_channel::{Receiver, Sender, unbounded};
use lotussaddle::interface::DialogueId;
use lotussaddle_chores::Budget;
use lotussaddle_fleet::{Save, Stored};
use lotussaddle_store::{Batch, Group, Mode, Plan, RealDisk, Store, StoreThread};
use lotussaddle_trunk::{Frame, decode_replica};

use crate::sheet::StoreSheet;

/// The table of dialogues that have had their answer: their ids, and the first letter of it.
const ANSWERED: &str = "answered";
/// Copies of dialogues: when they were written, by this machine's clock, and the copy.
const COPIES: &str = "copies";
/// This member's own life, under its key; and the lives that it gave others, under their numbers.
const LIVES: &str = "lives";
const OWN: &[u8] = b"own";
const ASKED: &[u8] = b"asked";
const COUNT: &[u8] = b"count";
const DUTIES: &[u8] = b"duties";
const FENCE: &[u8] = b"fence";
/// Orders that wait for the disk; beyond it answers are given without.
const QUEUE: usize = 16_384;

/// What an order to the disk was, and what came of it.
pub type Made = (Order, Result<(), String>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// An answer's record.
    Answer(u64),
    /// What a member has kept.
    Member(u64),
}

pub struct Records {
    store_thread: StoreThread,
    mode: Mode,
    remember_for: Duration,
    next: u64,
    wall: Wall,
    told: Sender<Made>,
}

/// Time as the store counts it: since 1970, by this machine's clock, which may step; the store never goes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wall {
    /// Added to the machine's clock, in seconds: a fault that tests put in.
    pub off: i64,
}

impl Wall {
    pub fn now(self) -> Duration {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let off = Duration::from_secs(self.off.unsigned_abs());
        if self.off < 0 { now.saturating_sub(off) } else { now + off }
    }
}

/// What the disk remembered.
#[derive(Default)]
pub struct Remembered {
    pub answered: Vec<DialogueId>,
    pub member: Stored,
    /// Copies that could not be read: they are not trusted, and were told.
    pub refused: Vec<String>,
}

/// Everything that a store remembers for an edge proxy, read without opening it for writing.
pub fn remembered(
    mut each: impl FnMut(&mut dyn FnMut(&str, &[u8], &[u8])) -> Result<()>,
) -> Result<Remembered> {
    let mut found = Remembered::default();
    let mut given = BTreeMap::new();
    each(&mut |table, key, value| match (table, std::str::from_utf8(key)) {
        (ANSWERED, Ok(id)) => found.answered.push(DialogueId(id.into())),
        (COPIES, Ok(id)) => match decode_replica(value) {
            Ok(copy) if *copy.dialogue.0 == *id => found.member.replicas.push(copy),
            Ok(_) => found.refused.push(format!("copy of {id}: it is another's")),
            Err(why) => found.refused.push(format!("copy of {id}: {why}")),
        },
        (LIVES, _) if key == FENCE => found.member.fencing_tokens = Some(value.to_vec()),
        (LIVES, _) if key == DUTIES => found.member.duties = Some(value.to_vec()),
        (LIVES, _) => {
            let life = value.try_into().ok().map(u64::from_le_bytes);
            match (key.try_into().ok().map(u16::from_le_bytes), life) {
                (_, Some(life)) if key == OWN => found.member.incarnation = Some(life),
                (_, Some(life)) if key == ASKED => found.member.proposed_incarnation = life,
                (_, Some(count)) if key == COUNT => found.member.write_count = count,
                (Some(member), Some(life)) => drop(given.insert(member, life)),
                _ => found.refused.push("a life that cannot be read".into()),
            }
        }
        _ => {}
    })?;
    found.member.granted_incarnations = given.into_iter().collect();
    Ok(found)
}

impl Records {
    /// Opens the store and gives what it remembers, and the channel by which orders are told to be done.
    pub fn open(
        sheet: &StoreSheet, remember_for: Duration, wall: Wall,
    ) -> Result<(Self, Remembered, Receiver<Made>)> {
        let folder = sheet.folder.display();
        let disk =
            RealDisk::open(&sheet.folder).with_context(|| format!("cannot open the store {folder}"))?;
        let mut store = Store::open(disk, Plan::default()).with_context(|| format!("store {folder}"))?;
        let found = remembered(|take| {
            let read = store.each(wall.now(), |table, key, found| take(table, key, &found.value));
            read.with_context(|| format!("store {folder}"))
        })?;
        let store_thread =
            StoreThread::spawn(store, Group::default(), Budget::default(), QUEUE, move || wall.now())
                .context("no thread for the store")?;
        let (told, made) = unbounded();
        Ok((Self { store_thread, mode: sheet.mode, remember_for, next: 0, wall, told }, found, made))
    }

    /// Orders the record of an answer; none where the store is too far behind.
    pub fn record(&mut self, dialogue: &DialogueId, answer: &Frame) -> Option<u64> {
        let letter: &[u8] = match answer {
            Frame::Stands { .. } => b"s",
            Frame::Refused { .. } => b"r",
            _ => b"f",
        };
        let mut batch = Batch::default();
        batch.put(ANSWERED, dialogue.0.as_bytes(), Some(self.wall.now() + self.remember_for), letter);
        self.next += 1;
        self.order(batch, Order::Answer(self.next)).then_some(self.next)
    }

    /// Orders what a member has kept; false where the store is too far behind.
    pub fn save(&mut self, saves: Vec<Save>, number: u64) -> bool {
        let mut batch = Batch::default();
        for save in saves {
            match save {
                // Times are counted from the start that reads it, less what peers know of the time away: the clock on the
                // wall may have been set.
                Save::Replica(id, Some(bytes)) => {
                    batch.put(COPIES, id.0.as_bytes(), None, &bytes);
                }
                Save::Replica(id, None) => drop(batch.delete(COPIES, id.0.as_bytes())),
                Save::FencingTokens(bytes) => drop(batch.put(LIVES, FENCE, None, &bytes)),
                Save::Duties(bytes) => drop(batch.put(LIVES, DUTIES, None, &bytes)),
                Save::Incarnation(life) => drop(batch.put(LIVES, OWN, None, &life.to_le_bytes())),
                Save::ProposedIncarnation(life) => drop(batch.put(LIVES, ASKED, None, &life.to_le_bytes())),
                Save::WriteCount(count) => drop(batch.put(LIVES, COUNT, None, &count.to_le_bytes())),
                Save::GrantedIncarnation(member, life) => {
                    batch.put(LIVES, &member.to_le_bytes(), None, &life.to_le_bytes());
                }
            }
        }
        self.order(batch, Order::Member(number))
    }

    fn order(&mut self, batch: Batch, order: Order) -> bool {
        let told = self.told.clone();
        let done = move |outcome| drop(told.send((order, outcome)));
        self.store_thread.write(batch, self.mode, done).is_ok()
    }
}
