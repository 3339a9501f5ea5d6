//! Which generation is in force. One at a time; staged, swapped, undone; old ones live on in the dialogues that
//! were begun by them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Weak};
use std::time::Duration;

use crate::Tables;

/// Generations that wait to be swapped in; beyond it the one staged longest ago goes.
pub const MOST_STAGED: usize = 8;
/// Generations that some dialogue still goes by, the one in force included; beyond it no other comes into force.
pub const MOST_ALIVE: usize = 8;
/// How many swaps can be undone.
const MOST_UNDONE: usize = 4;
/// Swaps that wait for their time; beyond it an order is refused.
const MOST_TIMED: usize = 64;

/// What whoever changes tables asks for. A serial is never used twice; whoever gives orders counts them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// This generation, staged or loaded before, is in force from then on.
    Swap { name: String, at: Duration },
    /// What was in force before the swap of this serial is in force again; only while that swap is the last one.
    Undo { of: u64 },
    /// A swap that waits for its time is dropped.
    Drop { of: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoSwap {
    #[error("generation {0} is not staged")]
    NotStaged(String),
    #[error("swap {0} is not the last one")]
    NotLast(u64),
    #[error("swap {0} does not wait")]
    NotWaiting(u64),
    #[error("nothing was in force before")]
    Nothing,
    #[error("{MOST_ALIVE} generations are still in use by dialogues")]
    TooMany,
    #[error("{MOST_TIMED} swaps wait already")]
    TooManyWait,
    #[error("serial {0} is used up")]
    Used(u64),
    #[error("generation {0} is not in force before {1}")]
    Early(String, jiff::Timestamp),
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swapped {
    InForce(u64, String),
    Waits(u64),
    Dropped(u64),
    Not(u64, NoSwap),
}

#[derive(Clone)]
struct Force {
    serial: u64,
    tables: Arc<Tables>,
}

#[derive(Default)]
pub struct Generations {
    now: Option<Force>,
    /// What was in force before, the latest last.
    before: VecDeque<Force>,
    staged: VecDeque<Arc<Tables>>,
    /// By time, then by order.
    timed: BTreeMap<(Duration, u64), String>,
    last_order: u64,
    alive: Vec<Weak<Tables>>,
    /// What is let go is handed out, so that it can be taken apart elsewhere.
    gone: Vec<Arc<Tables>>,
}

impl Generations {
    pub fn in_force(&self) -> Option<&Arc<Tables>> {
        self.now.as_ref().map(|force| &force.tables)
    }

    pub fn serial(&self) -> u64 {
        self.now.as_ref().map_or(0, |force| force.serial)
    }

    /// One that is known by this name: staged, in force, or in force before.
    pub fn named(&self, name: &str) -> Option<Arc<Tables>> {
        let forces = self.now.iter().chain(&self.before).map(|force| &force.tables);
        self.staged.iter().rev().chain(forces).find(|tables| tables.name == name).cloned()
    }

    /// A generation that was checked whole waits to be swapped in, in the place of one of the same name.
    pub fn stage(&mut self, tables: Arc<Tables>) {
        if let Some(place) = self.staged.iter().position(|known| known.name == tables.name) {
            self.gone.extend(self.staged.remove(place));
        }
        self.staged.push_back(tables);
        if self.staged.len() > MOST_STAGED {
            // One that a swap waits for stays longest.
            let awaited = |tables: &Arc<Tables>| self.timed.values().any(|name| *name == tables.name);
            let place = self.staged.iter().position(|tables| !awaited(tables)).unwrap_or_default();
            self.gone.extend(self.staged.remove(place));
        }
    }

    /// `wall` is the time of day, for generations that say when they begin.
    pub fn order(&mut self, now: Duration, wall: jiff::Timestamp, serial: u64, order: Order) -> Swapped {
        if serial <= self.last_order {
            return Swapped::Not(serial, NoSwap::Used(serial));
        }
        self.last_order = serial;
        let done = match order {
            Order::Swap { name, at } if at <= now => self.swap(wall, serial, &name),
            Order::Swap { name, at } => match self.named(&name) {
                None => Err(NoSwap::NotStaged(name)),
                Some(_) if self.timed.len() >= MOST_TIMED => Err(NoSwap::TooManyWait),
                Some(_) => {
                    self.timed.insert((at, serial), name);
                    Ok(Swapped::Waits(serial))
                }
            },
            Order::Undo { of } => self.undo(serial, of),
            Order::Drop { of } => {
                let before = self.timed.len();
                self.timed.retain(|(_, waiting), _| *waiting != of);
                if self.timed.len() < before {
                    Ok(Swapped::Dropped(serial))
                } else {
                    Err(NoSwap::NotWaiting(of))
                }
            }
        };
        done.unwrap_or_else(|why| Swapped::Not(serial, why))
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.timed.first_key_value().map(|((at, _), _)| *at)
    }

    /// Swaps whose time has come, in the order of their times, then of their serials.
    pub fn alarm(&mut self, now: Duration, wall: jiff::Timestamp) -> Vec<Swapped> {
        let mut done = Vec::new();
        while let Some(entry) = self.timed.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, serial), name) = entry.remove_entry();
            done.push(self.swap(wall, serial, &name).unwrap_or_else(|why| Swapped::Not(serial, why)));
        }
        done
    }

    fn swap(&mut self, wall: jiff::Timestamp, serial: u64, name: &str) -> Result<Swapped, NoSwap> {
        let tables = self.named(name).ok_or_else(|| NoSwap::NotStaged(name.into()))?;
        if let Some(from) = tables.from.filter(|from| wall < *from) {
            return Err(NoSwap::Early(name.into(), from));
        }
        self.in_place(&tables)?;
        self.staged.retain(|staged| staged.name != name);
        let force = Force { serial, tables };
        if let Some(before) = self.now.replace(force) {
            self.before.push_back(before);
            if self.before.len() > MOST_UNDONE {
                self.gone.extend(self.before.pop_front().map(|force| force.tables));
            }
        }
        Ok(Swapped::InForce(serial, name.into()))
    }

    fn undo(&mut self, serial: u64, of: u64) -> Result<Swapped, NoSwap> {
        if self.serial() != of || of == 0 {
            return Err(NoSwap::NotLast(of));
        }
        let before = self.before.back().cloned().ok_or(NoSwap::Nothing)?;
        self.in_place(&before.tables)?;
        self.before.pop_back();
        let name = before.tables.name.clone();
        if let Some(undone) = self.now.replace(Force { serial, tables: before.tables }) {
            self.gone.push(undone.tables);
        }
        Ok(Swapped::InForce(serial, name))
    }

    /// Counts a generation among those in use, if there is room.
    fn in_place(&mut self, tables: &Arc<Tables>) -> Result<(), NoSwap> {
        let known = |weak: &Weak<Tables>| weak.as_ptr() == Arc::as_ptr(tables);
        if self.alive.iter().any(known) {
            return Ok(());
        }
        if self.alive() >= MOST_ALIVE {
            return Err(NoSwap::TooMany);
        }
        self.alive.push(Arc::downgrade(tables));
        Ok(())
    }

    /// Generations that have been in force and that somebody still holds. Those held only to be undone do not count.
    pub fn alive(&mut self) -> usize {
        self.alive.retain(|weak| weak.strong_count() > 0);
        let kept = |weak: &Weak<Tables>| {
            let held = self.before.iter().filter(|force| Arc::as_ptr(&force.tables) == weak.as_ptr()).count()
                + self.staged.iter().filter(|tables| Arc::as_ptr(tables) == weak.as_ptr()).count()
                + self.gone.iter().filter(|tables| Arc::as_ptr(tables) == weak.as_ptr()).count();
            weak.strong_count() > held
        };
        self.alive.iter().filter(|weak| kept(weak)).count()
    }

    /// What nobody here needs any more; a generation of a million prefixes is not taken apart on the decision thread.
    pub fn take_gone(&mut self) -> Vec<Arc<Tables>> {
        std::mem::take(&mut self.gone)
    }
}
