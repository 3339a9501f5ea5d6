//! Which generation is in force. One at a time; staged, swapped, undone; old ones live on in the dialogues that
//! were begun by them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
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
    /// Where it is named, it is that one, whatever was in force here.
    Undo { of: u64, to: Option<String> },
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
    /// What has been in force and may still be held by a dialogue. Kept here too, so that it is never the last
    /// dialogue, in the middle of its work, that takes a million prefixes apart.
    old: Vec<Arc<Tables>>,
    /// What is let go is handed out, to be taken apart elsewhere.
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

    /// The one that is in force when all begins, under the serial 0 that no order has.
    pub fn begin_with(&mut self, tables: Arc<Tables>) {
        self.old.push(tables.clone());
        self.now = Some(Force { serial: 0, tables });
    }

    /// All that a change may be made of.
    pub fn all(&self) -> Vec<Arc<Tables>> {
        let forces = self.now.iter().chain(self.before.iter().rev()).map(|force| &force.tables);
        self.staged.iter().rev().chain(forces).cloned().collect()
    }

    /// A serial that was used for something else than an order carried out here.
    pub fn used(&mut self, serial: u64) {
        self.last_order = self.last_order.max(serial);
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
            Order::Undo { of, to } => self.undo(serial, of, to),
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

    fn undo(&mut self, serial: u64, of: u64, to: Option<String>) -> Result<Swapped, NoSwap> {
        if self.now.is_none() || self.serial() != of {
            return Err(NoSwap::NotLast(of));
        }
        let before = self.before.back().map(|force| force.tables.clone());
        let tables = match &to {
            Some(name) => before.filter(|tables| tables.name == *name).or_else(|| self.named(name)),
            None => before,
        };
        let tables = tables.ok_or_else(|| to.map_or(NoSwap::Nothing, NoSwap::NotStaged))?;
        self.in_place(&tables)?;
        if self.before.back().is_some_and(|force| Arc::ptr_eq(&force.tables, &tables)) {
            self.before.pop_back();
        }
        let name = tables.name.clone();
        if let Some(undone) = self.now.replace(Force { serial, tables }) {
            self.gone.push(undone.tables);
        }
        Ok(Swapped::InForce(serial, name))
    }

    /// Counts a generation among those in use, if there is room.
    fn in_place(&mut self, tables: &Arc<Tables>) -> Result<(), NoSwap> {
        if self.old.iter().any(|old| Arc::ptr_eq(old, tables)) {
            return Ok(());
        }
        if self.alive() >= MOST_ALIVE {
            return Err(NoSwap::TooMany);
        }
        self.old.push(tables.clone());
        Ok(())
    }

    /// Generations that are in force or held by a dialogue. Those kept only to be undone do not count.
    pub fn alive(&mut self) -> usize {
        let mut alive = 0;
        for old in std::mem::take(&mut self.old) {
            let is = |known: &Arc<Tables>| Arc::ptr_eq(known, &old);
            let in_force = self.in_force().is_some_and(is);
            let kept = self.before.iter().filter(|force| is(&force.tables)).count();
            let here =
                usize::from(in_force) + kept + self.staged.iter().chain(&self.gone).filter(|t| is(t)).count();
            let held = Arc::strong_count(&old) > here + 1;
            alive += usize::from(in_force || held);
            if here == 0 && !held { self.gone.push(old) } else { self.old.push(old) }
        }
        alive
    }

    /// What nobody here needs any more; a generation of a million prefixes is not taken apart on the decision thread.
    pub fn take_gone(&mut self) -> Vec<Arc<Tables>> {
        self.alive();
        std::mem::take(&mut self.gone)
    }
}
