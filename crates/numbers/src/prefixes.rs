//! Prefixes and what each leads to, made for one question: the longest one that a number begins with.
//!
//! A trie of signs as far as many prefixes share them; where few are left, a leaf holds them sorted, each with the
//! one in the leaf that covers it next. A look-up walks from the root and remembers the last prefix that it came by;
//! in the leaf it takes the last one that sorts before the number, and goes from there to what covers it. All parts
//! are shared between generations: a change copies the path to what it changes and nothing else.

use std::collections::HashSet;
use std::sync::Arc;

use triomphe::ThinArc;

use crate::Digits;

/// Prefixes of a leaf at most; beyond it, it becomes a node.
const MOST: usize = 32;
/// A node with fewer prefixes under it becomes a leaf: well below, so that none goes to and fro.
const FEWEST: u32 = 12;
/// No value. Values are below 2^24, since a leaf packs them.
const NONE: u32 = u32::MAX;
const MOST_VALUE: u32 = (1 << 24) - 1;
const NO_PARENT: u32 = 0xff;

#[derive(Clone, Default)]
enum Child {
    #[default]
    Empty,
    Node(Arc<Node>),
    Leaf(Leaf),
}

#[derive(Clone)]
struct Node {
    /// What the prefix that ends here leads to.
    own: u32,
    /// Prefixes here and under it.
    count: u32,
    /// By sign: the digits, and "+" last.
    children: [Child; 11],
}

/// In one piece: keys in order, then tails, two to a word: what the prefix leads to, and the place of the one that
/// covers it next.
#[derive(Clone)]
struct Leaf(ThinArc<u32, u64>);

impl Leaf {
    /// From prefixes in order.
    fn new(entries: &[(u64, u32)]) -> Self {
        let mut words: Vec<u64> = entries.iter().map(|(key, _)| *key).collect();
        let mut tails: Vec<u64> = Vec::with_capacity(entries.len());
        for (place, (key, value)) in entries.iter().enumerate() {
            let key = Digits::from_raw(*key);
            // What covers this one covers the one before it, or is it.
            let mut parent = place.checked_sub(1);
            while let Some(at) = parent.filter(|at| !key.starts_with(Digits::from_raw(entries[*at].0))) {
                parent = usize::try_from(tails[at] >> 24).ok().filter(|at| *at != NO_PARENT as usize);
            }
            tails.push(u64::from(*value) | parent.map_or(u64::from(NO_PARENT), |at| at as u64) << 24);
        }
        words.extend(tails.chunks(2).map(|pair| pair[0] | pair.get(1).copied().unwrap_or_default() << 32));
        Self(ThinArc::from_header_and_slice(entries.len() as u32, &words))
    }

    fn keys(&self) -> &[u64] {
        &self.0.slice[..self.0.header.header as usize]
    }

    fn tail(&self, place: usize) -> (u32, u32) {
        let word = self.0.slice[self.0.header.header as usize + place / 2];
        let tail = (word >> (32 * (place % 2))) as u32;
        (tail & MOST_VALUE, tail >> 24)
    }

    fn entries(&self) -> Vec<(u64, u32)> {
        self.keys().iter().enumerate().map(|(place, key)| (*key, self.tail(place).0)).collect()
    }

    fn longest(&self, number: Digits) -> Option<(Digits, u32)> {
        let keys = self.keys();
        let mut place = keys.partition_point(|key| *key <= number.raw()).checked_sub(1)?;
        loop {
            let key = Digits::from_raw(keys[place]);
            let (value, parent) = self.tail(place);
            if number.starts_with(key) {
                return Some((key, value));
            }
            if parent == NO_PARENT {
                return None;
            }
            place = parent as usize;
        }
    }
}

/// Which child a number goes to at this depth; none: it ends there.
fn branch(key: u64, depth: usize) -> Option<usize> {
    if depth >= Digits::MOST {
        return None;
    }
    ((key >> (60 - 4 * depth) & 15) as usize).checked_sub(1)
}

/// From prefixes in order that have the signs above this depth in common.
fn build(entries: &[(u64, u32)], depth: usize) -> Child {
    if entries.is_empty() {
        return Child::Empty;
    }
    if entries.len() <= MOST {
        return Child::Leaf(Leaf::new(entries));
    }
    let mut node = Node { own: NONE, count: entries.len() as u32, children: Default::default() };
    let mut rest = entries;
    if branch(rest[0].0, depth).is_none() {
        node.own = rest[0].1;
        rest = &rest[1..];
    }
    while let Some(place) = rest.first().and_then(|(key, _)| branch(*key, depth)) {
        let end = rest.partition_point(|(key, _)| branch(*key, depth) == Some(place));
        node.children[place] = build(&rest[..end], depth + 1);
        rest = &rest[end..];
    }
    Child::Node(Arc::new(node))
}

impl Child {
    fn count(&self) -> u32 {
        match self {
            Self::Empty => 0,
            Self::Node(node) => node.count,
            Self::Leaf(leaf) => leaf.0.header.header,
        }
    }

    fn gather(&self, path: u64, depth: usize, out: &mut Vec<(u64, u32)>) {
        match self {
            Self::Empty => {}
            Self::Leaf(leaf) => out.extend(leaf.entries()),
            Self::Node(node) => {
                if node.own != NONE {
                    out.push((path, node.own));
                }
                for (place, child) in node.children.iter().enumerate() {
                    if depth < Digits::MOST {
                        child.gather(path | (place as u64 + 1) << (60 - 4 * depth), depth + 1, out);
                    }
                }
            }
        }
    }

    /// Puts a value, or takes it out.
    fn set(&mut self, key: u64, depth: usize, value: Option<u32>) {
        match self {
            Self::Empty => {
                if let Some(value) = value {
                    *self = Self::Leaf(Leaf::new(&[(key, value)]));
                }
            }
            Self::Leaf(leaf) => {
                let mut entries = leaf.entries();
                match (entries.binary_search_by_key(&key, |(key, _)| *key), value) {
                    (Ok(place), Some(value)) => entries[place].1 = value,
                    (Ok(place), None) => drop(entries.remove(place)),
                    (Err(place), Some(value)) => entries.insert(place, (key, value)),
                    (Err(_), None) => return,
                }
                *self = build(&entries, depth);
            }
            Self::Node(node) => {
                let node = Arc::make_mut(node);
                match branch(key, depth) {
                    None => {
                        let (was, is) = (node.own != NONE, value.is_some());
                        node.own = value.unwrap_or(NONE);
                        node.count = node.count + u32::from(is) - u32::from(was);
                    }
                    Some(place) => {
                        let child = &mut node.children[place];
                        let before = child.count();
                        child.set(key, depth + 1, value);
                        node.count = node.count + child.count() - before;
                    }
                }
                if node.count < FEWEST {
                    let mut entries = Vec::new();
                    let path = Digits::from_raw(key).first(depth).raw();
                    self.gather(path, depth, &mut entries);
                    *self = build(&entries, depth);
                }
            }
        }
    }

    /// Parts, by where they lie, and bytes.
    fn parts(&self, each: &mut dyn FnMut(usize, usize)) {
        match self {
            Self::Empty => {}
            // Two counts of the shared pointer, and the allocator's head.
            Self::Node(node) => {
                each(Arc::as_ptr(node) as usize, size_of::<Node>() + 32);
                node.children.iter().for_each(|child| child.parts(each));
            }
            Self::Leaf(leaf) => each(leaf.0.as_ptr() as usize, leaf.0.slice.len() * 8 + 40),
        }
    }
}

#[derive(Clone, Default)]
pub struct Prefixes {
    root: Child,
}

impl Prefixes {
    /// From prefixes and their values, which are below 2^24; of one that comes twice the last counts.
    pub fn new(entries: impl IntoIterator<Item = (Digits, u32)>) -> Self {
        let mut entries: Vec<(u64, u32)> = entries.into_iter().map(|(d, v)| (d.raw(), v)).collect();
        assert!(entries.iter().all(|(_, value)| *value <= MOST_VALUE), "a value of 2^24 or more");
        entries.sort_by_key(|(key, _)| *key);
        entries.dedup_by(|later, kept| {
            let same = later.0 == kept.0;
            if same {
                kept.1 = later.1;
            }
            same
        });
        Self { root: build(&entries, 0) }
    }

    pub fn len(&self) -> usize {
        self.root.count() as usize
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The longest prefix that this number begins with, and its value.
    pub fn longest(&self, number: Digits) -> Option<(Digits, u32)> {
        let (mut best, mut length) = (NONE, 0);
        let (mut at, mut depth) = (&self.root, 0);
        loop {
            match at {
                Child::Node(node) => {
                    (best, length) = if node.own == NONE { (best, length) } else { (node.own, depth) };
                    let Some(place) = branch(number.raw(), depth) else { break };
                    (at, depth) = (&node.children[place], depth + 1);
                }
                Child::Leaf(leaf) => {
                    if let Some(found) = leaf.longest(number) {
                        return Some(found);
                    }
                    break;
                }
                Child::Empty => break,
            }
        }
        (best != NONE).then(|| (number.first(length), best))
    }

    /// What this very prefix leads to.
    pub fn exact(&self, prefix: Digits) -> Option<u32> {
        self.longest(prefix).filter(|(found, _)| *found == prefix).map(|(_, value)| value)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Digits, u32)> {
        let mut entries = Vec::with_capacity(self.len());
        self.root.gather(0, 0, &mut entries);
        entries.into_iter().map(|(key, value)| (Digits::from_raw(key), value))
    }

    /// With some prefixes put (in the place of what they led to) or dropped; this one stays as it is.
    pub fn with(&self, changes: impl IntoIterator<Item = (Digits, Option<u32>)>) -> Self {
        let mut next = self.clone();
        for (prefix, value) in changes {
            assert!(value.is_none_or(|value| value <= MOST_VALUE), "a value of 2^24 or more");
            next.root.set(prefix.raw(), 0, value);
        }
        next
    }

    /// Bytes that it holds, parts shared with others included.
    pub fn bytes(&self) -> usize {
        let mut all = size_of::<Self>();
        self.root.parts(&mut |_, bytes| all += bytes);
        all
    }

    /// Parts that another generation has too, and all parts.
    pub fn shared_with(&self, other: &Self) -> (usize, usize) {
        let mut there = HashSet::new();
        other.root.parts(&mut |at, _| {
            there.insert(at);
        });
        let (mut shared, mut all) = (0, 0);
        self.root.parts(&mut |at, _| {
            all += 1;
            shared += usize::from(there.contains(&at));
        });
        (shared, all)
    }
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
