//! Prefixes and what each leads to, made for one question: the longest one that a number begins with.
//!
//! All prefixes lie sorted in chunks. The last one that sorts before a number either covers it and is the longest
//! that does, or is covered by the longest that does; so each entry bears the lengths of the prefixes that cover
//! it, and a look-up is one search, seldom two. Chunks are shared between generations: a change copies the chunks
//! it falls into and the index of chunks, nothing else. A prefix that comes or goes touches what it covers.

use std::sync::Arc;

use crate::Digits;

/// Entries of a chunk when all are laid out anew, and at most.
const FILL: usize = 96;
const MOST: usize = 128;
/// Chunks that an entry of the upper index stands for.
const FAN: usize = 16;

#[derive(Clone, Copy)]
struct Tail {
    value: u32,
    /// Bit n: a prefix of n signs covers this one.
    covered: u16,
}

#[derive(Clone)]
struct Chunk {
    keys: Vec<u64>,
    tails: Vec<Tail>,
}

#[derive(Clone, Default)]
pub struct Prefixes {
    chunks: Vec<Arc<Chunk>>,
    /// The first key of each chunk, of each `FAN` chunks, of each `FAN` of these.
    index: [Vec<u64>; 3],
    len: usize,
}

/// The last place whose key is not above; the first one must not be.
fn last_at_most(keys: &[u64], key: u64) -> usize {
    keys.partition_point(|k| *k <= key) - 1
}

impl Prefixes {
    /// From prefixes and their values; of one that comes twice the last counts.
    pub fn new(entries: impl IntoIterator<Item = (Digits, u32)>) -> Self {
        let mut entries: Vec<(u64, u32)> = entries.into_iter().map(|(d, v)| (d.raw(), v)).collect();
        entries.sort_by_key(|(key, _)| *key);
        entries.dedup_by(|later, kept| {
            let same = later.0 == kept.0;
            if same {
                kept.1 = later.1;
            }
            same
        });
        let mut before: Option<(u64, u16)> = None;
        let mut built = Self { len: entries.len(), ..Self::default() };
        for part in entries.chunks(FILL) {
            let mut chunk =
                Chunk { keys: Vec::with_capacity(part.len()), tails: Vec::with_capacity(part.len()) };
            for (key, value) in part {
                let covered = before.map_or(0, |before| covering(before, *key));
                before = Some((*key, covered));
                chunk.keys.push(*key);
                chunk.tails.push(Tail { value: *value, covered });
            }
            built.chunks.push(Arc::new(chunk));
        }
        built.index_anew();
        built
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The longest prefix that this number begins with, and its value.
    pub fn longest(&self, number: Digits) -> Option<(Digits, u32)> {
        let (chunk, place) = self.last_before(number.raw())?;
        let (key, tail) = (Digits::from_raw(chunk.keys[place]), chunk.tails[place]);
        if number.starts_with(key) {
            return Some((key, tail.value));
        }
        // Lengths up to what both have in common.
        let shared = tail.covered & ((2u32 << number.common(key)) - 1) as u16;
        let longest = shared.checked_ilog2()?;
        let key = number.first(longest as usize);
        Some((key, self.exact(key)?))
    }

    /// What this very prefix leads to.
    pub fn exact(&self, prefix: Digits) -> Option<u32> {
        let (chunk, place) = self.last_before(prefix.raw())?;
        (chunk.keys[place] == prefix.raw()).then(|| chunk.tails[place].value)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Digits, u32)> {
        self.chunks.iter().flat_map(|chunk| {
            chunk.keys.iter().zip(&chunk.tails).map(|(key, tail)| (Digits::from_raw(*key), tail.value))
        })
    }

    fn last_before(&self, key: u64) -> Option<(&Chunk, usize)> {
        let chunk = &*self.chunks[self.chunk_of(key)?];
        Some((chunk, last_at_most(&chunk.keys, key)))
    }

    fn chunk_of(&self, key: u64) -> Option<usize> {
        if key < *self.index[0].first()? {
            return None;
        }
        let mut place = last_at_most(&self.index[2], key);
        for level in [1, 0] {
            let keys = &self.index[level];
            let from = place * FAN;
            place = from + last_at_most(&keys[from..keys.len().min(from + FAN)], key);
        }
        Some(place)
    }

    fn index_anew(&mut self) {
        let firsts = self.chunks.iter().map(|chunk| chunk.keys[0]).collect::<Vec<_>>();
        let upper = |keys: &[u64]| keys.iter().copied().step_by(FAN).collect::<Vec<_>>();
        let middle = upper(&firsts);
        self.index = [firsts, middle.clone(), upper(&middle)];
    }

    /// With some prefixes put (in the place of what they led to) or dropped; this one stays as it is.
    pub fn with(&self, changes: impl IntoIterator<Item = (Digits, Option<u32>)>) -> Self {
        let mut next = self.clone();
        for (prefix, value) in changes {
            match value {
                Some(value) => next.put(prefix, value),
                None => next.take(prefix),
            }
        }
        next.index_anew();
        next
    }

    /// Where a key is, or would be, in chunks whose index may be behind: the index is made anew once, at the end.
    fn find(&self, key: u64) -> (usize, Result<usize, usize>) {
        let chunk = self.chunks.partition_point(|chunk| chunk.keys[0] <= key).saturating_sub(1);
        let found = self.chunks.get(chunk).map_or(Err(0), |chunk| chunk.keys.binary_search(&key));
        (chunk, found)
    }

    fn put(&mut self, prefix: Digits, value: u32) {
        let key = prefix.raw();
        let (at, found) = self.find(key);
        if self.chunks.is_empty() {
            self.chunks.push(Arc::new(Chunk { keys: Vec::new(), tails: Vec::new() }));
        }
        match found {
            Ok(place) => Arc::make_mut(&mut self.chunks[at]).tails[place].value = value,
            Err(place) => {
                let before = (place > 0).then(|| {
                    let chunk = &self.chunks[at];
                    (chunk.keys[place - 1], chunk.tails[place - 1].covered)
                });
                let covered = before.map_or(0, |before| covering(before, key));
                self.len += 1;
                let chunk = Arc::make_mut(&mut self.chunks[at]);
                chunk.keys.insert(place, key);
                chunk.tails.insert(place, Tail { value, covered });
                if chunk.keys.len() > MOST {
                    let half = chunk.keys.len() / 2;
                    let (keys, tails) = (chunk.keys.split_off(half), chunk.tails.split_off(half));
                    chunk.keys.shrink_to_fit();
                    chunk.tails.shrink_to_fit();
                    self.chunks.insert(at + 1, Arc::new(Chunk { keys, tails }));
                }
                self.mark(prefix, true);
            }
        }
    }

    fn take(&mut self, prefix: Digits) {
        let (at, Ok(place)) = self.find(prefix.raw()) else { return };
        self.len -= 1;
        let chunk = Arc::make_mut(&mut self.chunks[at]);
        chunk.keys.remove(place);
        chunk.tails.remove(place);
        let left = chunk.keys.len();
        if left == 0 {
            self.chunks.remove(at);
        } else if left < FILL / 4 && at + 1 < self.chunks.len() && self.chunks[at + 1].keys.len() < FILL / 2 {
            let next = self.chunks.remove(at + 1);
            let chunk = Arc::make_mut(&mut self.chunks[at]);
            chunk.keys.extend(&next.keys);
            chunk.tails.extend(&next.tails);
        }
        self.mark(prefix, false);
    }

    /// Entries that a prefix covers bear its length, or do not.
    fn mark(&mut self, prefix: Digits, covers: bool) {
        let (from, to) = (prefix.raw(), prefix.last_below());
        let bit = 1u32.unbounded_shl(prefix.len() as u32) as u16; // One of 16 signs covers nothing.
        let (first, _) = self.find(from);
        for chunk in &mut self.chunks[first..] {
            if chunk.keys[0] > to {
                break;
            }
            let begin = chunk.keys.partition_point(|key| *key <= from);
            let end = chunk.keys.partition_point(|key| *key <= to);
            if begin < end {
                for tail in &mut Arc::make_mut(chunk).tails[begin..end] {
                    tail.covered = if covers { tail.covered | bit } else { tail.covered & !bit };
                }
            }
        }
    }

    /// Bytes that it holds, chunks shared with others included.
    pub fn bytes(&self) -> usize {
        let chunk = |chunk: &Arc<Chunk>| {
            // Two counts of the shared pointer, and the allocator's head of each piece.
            size_of::<Chunk>()
                + 16
                + 3 * 16
                + chunk.keys.capacity() * 8
                + chunk.tails.capacity() * size_of::<Tail>()
        };
        let index: usize = self.index.iter().map(|keys| keys.capacity() * 8).sum();
        size_of::<Self>() + index + self.chunks.capacity() * 8 + self.chunks.iter().map(chunk).sum::<usize>()
    }

    /// Chunks that another generation has too.
    pub fn shared_with(&self, other: &Self) -> (usize, usize) {
        let there: std::collections::HashSet<_> = other.chunks.iter().map(Arc::as_ptr).collect();
        let shared = self.chunks.iter().filter(|chunk| there.contains(&Arc::as_ptr(chunk))).count();
        (shared, self.chunks.len())
    }
}

/// Lengths of the prefixes that cover this key, told from the entry before it.
fn covering((before, covered): (u64, u16), key: u64) -> u16 {
    let (before, key) = (Digits::from_raw(before), Digits::from_raw(key));
    let common = before.common(key).min(key.len().saturating_sub(1));
    let all = u32::from(covered) | 1u32 << before.len();
    (all & ((2u32 << common) - 1)) as u16
}

/// The fewest prefixes that cover all numbers from one to another of the same length; none where the two do not
/// make a range.
pub fn range(from: Digits, to: Digits) -> Option<Vec<Digits>> {
    let len = from.len();
    if len != to.len() || from > to || len == 0 || from.is_international() != to.is_international() {
        return None;
    }
    let mut all = Vec::new();
    parts(from.first(usize::from(from.is_international())), from, to, &mut all);
    Some(all)
}

/// Prefixes under `under` of the numbers between two.
fn parts(under: Digits, from: Digits, to: Digits, all: &mut Vec<Digits>) {
    for digit in '0'..='9' {
        let Some(next) = under.push(digit) else { return };
        let fill = |with| (next.len()..from.len()).try_fold(next, |digits, _| digits.push(with));
        let (Some(lowest), Some(highest)) = (fill('0'), fill('9')) else { return };
        if lowest >= from && highest <= to {
            all.push(next);
        } else if highest >= from && lowest <= to {
            parts(next, from, to, all);
        }
    }
}
