//! In-memory index of the newest record of each key.
//!
//! An open-addressed table of fingerprints and locations takes 24 bytes per key, whatever the length of the key. The key
//! itself is on disk, where a look-up verifies it. Keys with equal fingerprints have separate entries.

use std::hash::{BuildHasher, Hasher};

use siphasher::sip::SipHasher13;

/// Location of an operation: segment, offset and length in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    pub segment: u64,
    pub offset: u32,
    pub len: u32,
}

#[derive(Clone, Copy)]
struct Slot {
    /// 0 only in an empty slot.
    fingerprint: u64,
    place: Place,
}

const EMPTY: Slot = Slot { fingerprint: 0, place: Place { segment: 0, offset: 0, len: 0 } };

/// One part of the index: an open-addressed table.
struct Shard {
    slots: Vec<Slot>,
    used: usize,
}

/// Number of shards, chosen by the top bits of the fingerprint. Each shard grows and is written to a snapshot by itself,
/// so that no single step takes as long as the whole index.
pub const SHARDS: usize = 256;

/// The index of a store.
pub struct Index {
    shards: Vec<Shard>,
    /// Hash key of this store, so that outsiders cannot choose colliding keys. Snapshots contain it.
    pub secret: (u64, u64),
}

impl Default for Index {
    fn default() -> Self {
        let draw = || std::hash::RandomState::new().build_hasher().finish();
        Self::new((draw(), draw()))
    }
}

fn shard_of(fingerprint: u64) -> usize {
    (fingerprint >> 56) as usize
}

impl Index {
    pub fn new(secret: (u64, u64)) -> Self {
        let shards = (0..SHARDS).map(|_| Shard { slots: vec![EMPTY; 8], used: 0 }).collect();
        Self { shards, secret }
    }

    /// Keyed hash of a table and key; never 0.
    pub fn fingerprint(&self, table: &str, key: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.secret.0, self.secret.1);
        hasher.write(table.as_bytes());
        hasher.write_u8(0xff);
        hasher.write(key);
        hasher.finish().max(1)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.used).sum()
    }

    /// Whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All locations with a fingerprint; nearly always one or none.
    pub fn places(&self, fingerprint: u64) -> impl Iterator<Item = Place> {
        self.shards[shard_of(fingerprint)].places(fingerprint)
    }

    /// Adds an entry.
    pub fn add(&mut self, fingerprint: u64, place: Place) {
        self.shards[shard_of(fingerprint)].add(fingerprint, place);
    }

    /// Allocates capacity for `count` entries in an empty shard.
    pub fn reserve(&mut self, shard: usize, count: usize) {
        self.shards[shard].slots = vec![EMPTY; (count * 4 / 3 + 1).next_power_of_two().max(8)];
    }

    /// Removes an entry; returns whether it was present.
    pub fn remove(&mut self, fingerprint: u64, place: Place) -> bool {
        self.shards[shard_of(fingerprint)].remove(fingerprint, place)
    }

    /// All fingerprints and locations.
    pub fn all(&self) -> impl Iterator<Item = (u64, Place)> {
        (0..SHARDS).flat_map(|shard| self.shard(shard))
    }

    /// Fingerprints and locations of one shard.
    pub fn shard(&self, shard: usize) -> impl Iterator<Item = (u64, Place)> {
        let slots = self.shards[shard].slots.iter();
        slots.filter(|slot| slot.fingerprint != 0).map(|slot| (slot.fingerprint, slot.place))
    }

    /// Size in memory, in bytes.
    pub fn size(&self) -> usize {
        self.shards.iter().map(|shard| shard.slots.len() * std::mem::size_of::<Slot>()).sum()
    }
}

impl Shard {
    fn mask(&self) -> usize {
        self.slots.len() - 1
    }

    fn places(&self, fingerprint: u64) -> impl Iterator<Item = Place> {
        let start = fingerprint as usize & self.mask();
        let all = (0..self.slots.len()).map(move |step| &self.slots[(start + step) & self.mask()]);
        all.take_while(|slot| slot.fingerprint != 0)
            .filter(move |slot| slot.fingerprint == fingerprint)
            .map(|slot| slot.place)
    }

    fn add(&mut self, fingerprint: u64, place: Place) {
        if (self.used + 1) * 4 > self.slots.len() * 3 {
            let larger = vec![EMPTY; self.slots.len() * 2];
            let previous = std::mem::replace(&mut self.slots, larger);
            previous.into_iter().filter(|slot| slot.fingerprint != 0).for_each(|slot| self.put(slot));
        }
        self.put(Slot { fingerprint, place });
        self.used += 1;
    }

    fn put(&mut self, slot: Slot) {
        let mut at = slot.fingerprint as usize & self.mask();
        while self.slots[at].fingerprint != 0 {
            at = (at + 1) & self.mask();
        }
        self.slots[at] = slot;
    }

    fn find(&self, fingerprint: u64, place: Place) -> Option<usize> {
        let mut at = fingerprint as usize & self.mask();
        while self.slots[at].fingerprint != 0 {
            if self.slots[at].fingerprint == fingerprint && self.slots[at].place == place {
                return Some(at);
            }
            at = (at + 1) & self.mask();
        }
        None
    }

    fn remove(&mut self, fingerprint: u64, place: Place) -> bool {
        let Some(mut hole) = self.find(fingerprint, place) else { return false };
        // Later entries are shifted back, so that no tombstone is needed.
        let mut at = hole;
        loop {
            at = (at + 1) & self.mask();
            let slot = self.slots[at];
            if slot.fingerprint == 0 {
                break;
            }
            let home = slot.fingerprint as usize & self.mask();
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
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Compares the index with a plain set over random additions and removals, equal fingerprints included.
    #[test]
    fn it_holds_what_a_plain_set_holds() {
        use rand::{RngExt, SeedableRng};

        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
        let (mut index, mut plain) = (Index::new((1, 2)), std::collections::BTreeSet::new());
        for step in 0..60_000u32 {
            // Few distinct home slots, so that runs of occupied slots grow long and wrap around the end of the table.
            let fingerprint = (rng.random_range(0..3u64) << 56) + rng.random_range(1..40u64) * 7;
            let place = Place { segment: rng.random_range(0..3), offset: rng.random_range(0..4), len: 1 };
            let grows = step / 10_000 % 2 == 0;
            if rng.random_range(0..10) < if grows { 7 } else { 3 } {
                if plain.insert((fingerprint, place)) {
                    index.add(fingerprint, place);
                }
            } else {
                assert_eq!(index.remove(fingerprint, place), plain.remove(&(fingerprint, place)));
            }
            if step % 97 == 0 {
                let mut there: Vec<Place> = index.places(fingerprint).collect();
                there.sort();
                let wanted: Vec<Place> =
                    plain.iter().filter(|(p, _)| *p == fingerprint).map(|(_, at)| *at).collect();
                assert_eq!(there, wanted);
                assert_eq!(index.len(), plain.len());
            }
        }
        let mut all: Vec<(u64, Place)> = index.all().collect();
        all.sort();
        assert_eq!(all, plain.into_iter().collect::<Vec<_>>());
    }
}
