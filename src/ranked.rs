//! A list in order, in which the first that fits is found without a walk over all.
//!
//! Entries stand in chunks; each chunk knows the lowest lot and the lowest width in it, so that one in which nothing
//! can fit is passed over by one look. With n entries, adding and removing cost a search by halves and a shift within
//! a chunk, finding a look at n / 64 chunks at most and a walk through those that may hold what fits.

use std::cmp::Ordering;

/// A chunk that grows beyond this is halved; one that shrinks to nothing goes.
const CHUNK: usize = 128;

/// A number in an order of its own (IEEE 754, 5.10), so that it can be part of a key.
#[derive(Clone, Copy, Debug)]
pub struct Real(pub f64);

impl Ord for Real {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Real {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Real {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Real {}

struct Entry<K> {
    key: K,
    lot: f64,
    width: f64,
}

struct Chunk<K> {
    entries: Vec<Entry<K>>,
    lowest_lot: f64,
    lowest_width: f64,
}

pub struct Ranked<K> {
    chunks: Vec<Chunk<K>>,
    /// In all of it: where nothing can fit, no chunk is looked at.
    lowest_lot: f64,
    lowest_width: f64,
}

impl<K> Default for Ranked<K> {
    fn default() -> Self {
        Self { chunks: Vec::new(), lowest_lot: f64::INFINITY, lowest_width: f64::INFINITY }
    }
}

impl<K> Chunk<K> {
    fn new(entries: Vec<Entry<K>>) -> Self {
        let mut chunk = Self { entries, lowest_lot: f64::INFINITY, lowest_width: f64::INFINITY };
        chunk.look_again();
        chunk
    }

    fn look_again(&mut self) {
        self.lowest_lot = self.entries.iter().map(|e| e.lot).fold(f64::INFINITY, f64::min);
        self.lowest_width = self.entries.iter().map(|e| e.width).fold(f64::INFINITY, f64::min);
    }
}

impl<K: Ord> Ranked<K> {
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// The chunk in which a key stands or would stand.
    fn chunk_of(&self, key: &K) -> usize {
        self.chunks.partition_point(|chunk| chunk.entries.last().is_some_and(|last| last.key < *key))
    }

    pub fn add(&mut self, key: K, lot: f64, width: f64) {
        (self.lowest_lot, self.lowest_width) = (self.lowest_lot.min(lot), self.lowest_width.min(width));
        let place = self.chunk_of(&key).min(self.chunks.len().saturating_sub(1));
        let Some(chunk) = self.chunks.get_mut(place) else {
            return self.chunks.push(Chunk::new(vec![Entry { key, lot, width }]));
        };
        let at = chunk.entries.partition_point(|entry| entry.key < key);
        chunk.entries.insert(at, Entry { key, lot, width });
        (chunk.lowest_lot, chunk.lowest_width) = (chunk.lowest_lot.min(lot), chunk.lowest_width.min(width));
        if chunk.entries.len() > CHUNK {
            let upper = Chunk::new(chunk.entries.split_off(CHUNK / 2));
            chunk.look_again();
            self.chunks.insert(place + 1, upper);
        }
    }

    pub fn remove(&mut self, key: &K) {
        let place = self.chunk_of(key);
        let Some(chunk) = self.chunks.get_mut(place) else { return };
        if let Ok(at) = chunk.entries.binary_search_by(|entry| entry.key.cmp(key)) {
            let gone = chunk.entries.remove(at);
            if gone.lot <= chunk.lowest_lot || gone.width <= chunk.lowest_width {
                chunk.look_again();
            }
            // Mostly another of the chunk is as low as the one that went.
            if chunk.lowest_lot > self.lowest_lot && gone.lot <= self.lowest_lot {
                self.lowest_lot = self.chunks.iter().map(|c| c.lowest_lot).fold(f64::INFINITY, f64::min);
            }
            let chunk = &self.chunks[place];
            if chunk.lowest_width > self.lowest_width && gone.width <= self.lowest_width {
                self.lowest_width = self.chunks.iter().map(|c| c.lowest_width).fold(f64::INFINITY, f64::min);
            }
            if self.chunks[place].entries.is_empty() {
                self.chunks.remove(place);
            }
        }
    }

    /// The first whose lot and width fit. What fits must go on fitting with a lower lot or a lower width.
    pub fn first(&self, fits: impl Fn(f64, f64) -> bool) -> Option<&K> {
        if !fits(self.lowest_lot, self.lowest_width) {
            return None;
        }
        let chunks = self.chunks.iter().filter(|chunk| fits(chunk.lowest_lot, chunk.lowest_width));
        let mut entries = chunks.flat_map(|chunk| &chunk.entries);
        entries.find(|entry| fits(entry.lot, entry.width)).map(|entry| &entry.key)
    }
}
