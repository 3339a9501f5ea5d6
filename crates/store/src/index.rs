//! Where the newest record of each key stands.
//!
//! Made for the job: 24 bytes a key whatever its length, in one open-addressed table of fingerprints and places; the
//! key itself is on disk, and whoever looks one up checks it there. Two keys with one fingerprint stand side by side.

use std::hash::{BuildHasher, Hasher};

use siphasher::sip::SipHasher13;

/// Where an operation stands: its segment, its offset there, its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    pub segment: u64,
    pub offset: u32,
    pub len: u32,
}

#[derive(Clone, Copy)]
struct Slot {
    /// Never 0 where a place stands.
    print: u64,
    place: Place,
}

const EMPTY: Slot = Slot { print: 0, place: Place { segment: 0, offset: 0, len: 0 } };

pub struct Index {
    slots: Vec<Slot>,
    used: usize,
    /// The store's own: nobody outside can choose keys that fall together. Snapshots keep them.
    pub secret: (u64, u64),
}

impl Default for Index {
    fn default() -> Self {
        let draw = || std::hash::RandomState::new().build_hasher().finish();
        Self::new((draw(), draw()), 0)
    }
}

impl Index {
    pub fn new(secret: (u64, u64), room: usize) -> Self {
        let slots = (room * 4 / 3 + 1).next_power_of_two().max(16);
        Self { slots: vec![EMPTY; slots], used: 0, secret }
    }

    pub fn print(&self, table: &str, key: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.secret.0, self.secret.1);
        hasher.write(table.as_bytes());
        hasher.write_u8(0xff);
        hasher.write(key);
        hasher.finish().max(1)
    }

    pub fn len(&self) -> usize {
        self.used
    }

    pub fn is_empty(&self) -> bool {
        self.used == 0
    }

    fn mask(&self) -> usize {
        self.slots.len() - 1
    }

    /// All places under a fingerprint; nearly always one or none.
    pub fn places(&self, print: u64) -> impl Iterator<Item = Place> {
        let start = print as usize & self.mask();
        let all = (0..self.slots.len()).map(move |step| &self.slots[(start + step) & self.mask()]);
        all.take_while(|slot| slot.print != 0).filter(move |slot| slot.print == print).map(|slot| slot.place)
    }

    pub fn add(&mut self, print: u64, place: Place) {
        if (self.used + 1) * 4 > self.slots.len() * 3 {
            let wider = vec![EMPTY; self.slots.len() * 2];
            let former = std::mem::replace(&mut self.slots, wider);
            former.into_iter().filter(|slot| slot.print != 0).for_each(|slot| self.put(slot));
        }
        self.put(Slot { print, place });
        self.used += 1;
    }

    fn put(&mut self, slot: Slot) {
        let mut at = slot.print as usize & self.mask();
        while self.slots[at].print != 0 {
            at = (at + 1) & self.mask();
        }
        self.slots[at] = slot;
    }

    fn find(&self, print: u64, place: Place) -> Option<usize> {
        let mut at = print as usize & self.mask();
        while self.slots[at].print != 0 {
            if self.slots[at].print == print && self.slots[at].place == place {
                return Some(at);
            }
            at = (at + 1) & self.mask();
        }
        None
    }

    /// The record has moved.
    pub fn moved(&mut self, print: u64, from: Place, to: Place) -> bool {
        let found = self.find(print, from);
        if let Some(at) = found {
            self.slots[at].place = to;
        }
        found.is_some()
    }

    pub fn remove(&mut self, print: u64, place: Place) -> bool {
        let Some(mut hole) = self.find(print, place) else { return false };
        // Those behind move up, so that no grave is left to walk over.
        let mut at = hole;
        loop {
            at = (at + 1) & self.mask();
            let slot = self.slots[at];
            if slot.print == 0 {
                break;
            }
            let home = slot.print as usize & self.mask();
            let reaches = (at.wrapping_sub(home) & self.mask()) >= (at.wrapping_sub(hole) & self.mask());
            if reaches {
                self.slots[hole] = slot;
                hole = at;
            }
        }
        self.slots[hole] = EMPTY;
        self.used -= 1;
        true
    }

    /// All fingerprints and places.
    pub fn all(&self) -> impl Iterator<Item = (u64, Place)> {
        self.slots.iter().filter(|slot| slot.print != 0).map(|slot| (slot.print, slot.place))
    }

    /// Bytes in memory.
    pub fn size(&self) -> usize {
        self.slots.len() * std::mem::size_of::<Slot>()
    }
}
