//! A sorted list in which the first matching entry is found without a scan of all entries.
//!
//! Entries are stored in chunks. Each chunk holds the minimum random rank and the minimum width of its entries, so
//! that a chunk without a match is skipped by one comparison. With n entries, insertion and removal cost a binary
//! search and a shift within a chunk; a look-up checks at most n / 64 chunks and scans those that may hold a match.

use std::cmp::Ordering;

/// A larger chunk is split in half; an empty one is removed.
const MAX_CHUNK_ENTRIES: usize = 128;

/// A floating-point number in the total order of IEEE 754, section 5.10, so that it can be part of a key.
#[derive(Clone, Copy, Debug)]
pub struct TotalF64(pub f64);

impl Ord for TotalF64 {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for TotalF64 {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for TotalF64 {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for TotalF64 {}

struct Entry<K> {
    key: K,
    random_rank: f64,
    width: f64,
}

struct Chunk<K> {
    entries: Vec<Entry<K>>,
    min_random_rank: f64,
    min_width: f64,
}

/// A sorted list of keys, each with a random rank and a width.
pub struct RankedList<K> {
    chunks: Vec<Chunk<K>>,
    /// Minimum over all chunks. If even the two minima of the list do not match, no chunk is checked.
    min_random_rank: f64,
    min_width: f64,
}

impl<K> Default for RankedList<K> {
    fn default() -> Self {
        Self { chunks: Vec::new(), min_random_rank: f64::INFINITY, min_width: f64::INFINITY }
    }
}

impl<K> Chunk<K> {
    fn new(entries: Vec<Entry<K>>) -> Self {
        let mut chunk = Self { entries, min_random_rank: f64::INFINITY, min_width: f64::INFINITY };
        chunk.recompute_minima();
        chunk
    }

    fn recompute_minima(&mut self) {
        self.min_random_rank = self.entries.iter().map(|e| e.random_rank).fold(f64::INFINITY, f64::min);
        self.min_width = self.entries.iter().map(|e| e.width).fold(f64::INFINITY, f64::min);
    }
}

impl<K: Ord> RankedList<K> {
    /// Whether the list has no entries.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Index of the chunk that holds a key or would hold it.
    fn chunk_of(&self, key: &K) -> usize {
        self.chunks.partition_point(|chunk| chunk.entries.last().is_some_and(|last| last.key < *key))
    }

    /// Inserts a key at its position in the order.
    pub fn insert(&mut self, key: K, random_rank: f64, width: f64) {
        (self.min_random_rank, self.min_width) =
            (self.min_random_rank.min(random_rank), self.min_width.min(width));
        let index = self.chunk_of(&key).min(self.chunks.len().saturating_sub(1));
        let Some(chunk) = self.chunks.get_mut(index) else {
            return self.chunks.push(Chunk::new(vec![Entry { key, random_rank, width }]));
        };
        let at = chunk.entries.partition_point(|entry| entry.key < key);
        chunk.entries.insert(at, Entry { key, random_rank, width });
        (chunk.min_random_rank, chunk.min_width) =
            (chunk.min_random_rank.min(random_rank), chunk.min_width.min(width));
        if chunk.entries.len() > MAX_CHUNK_ENTRIES {
            let upper = Chunk::new(chunk.entries.split_off(MAX_CHUNK_ENTRIES / 2));
            chunk.recompute_minima();
            self.chunks.insert(index + 1, upper);
        }
    }

    /// Removes a key if it is present.
    pub fn remove(&mut self, key: &K) {
        let index = self.chunk_of(key);
        let Some(chunk) = self.chunks.get_mut(index) else { return };
        if let Ok(at) = chunk.entries.binary_search_by(|entry| entry.key.cmp(key)) {
            let removed = chunk.entries.remove(at);
            if removed.random_rank <= chunk.min_random_rank || removed.width <= chunk.min_width {
                chunk.recompute_minima();
            }
            // The chunk's minimum usually stays the same, and then the list's minimum does too.
            if chunk.min_random_rank > self.min_random_rank && removed.random_rank <= self.min_random_rank {
                self.min_random_rank =
                    self.chunks.iter().map(|c| c.min_random_rank).fold(f64::INFINITY, f64::min);
            }
            let chunk = &self.chunks[index];
            if chunk.min_width > self.min_width && removed.width <= self.min_width {
                self.min_width = self.chunks.iter().map(|c| c.min_width).fold(f64::INFINITY, f64::min);
            }
            if self.chunks[index].entries.is_empty() {
                self.chunks.remove(index);
            }
        }
    }

    /// The first key whose random rank and width match. A predicate that matches a pair must also match every pair
    /// with a lower random rank or a lower width.
    pub fn first_matching(&self, matches: impl Fn(f64, f64) -> bool) -> Option<&K> {
        if !matches(self.min_random_rank, self.min_width) {
            return None;
        }
        let chunks = self.chunks.iter().filter(|chunk| matches(chunk.min_random_rank, chunk.min_width));
        let mut entries = chunks.flat_map(|chunk| &chunk.entries);
        entries.find(|entry| matches(entry.random_rank, entry.width)).map(|entry| &entry.key)
    }
}
