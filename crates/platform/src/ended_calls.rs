//! Ends of calls that this process does not hold, kept in case a caller reports such a call as standing.
//!
//! A process that was restarted is told the ends of calls that its predecessor held before their callers have
//! connected. A core server also repeats the end of each call on the next connection opened, when that call has
//! been released here already; these repeats are kept apart, so that they displace no end that is still owed.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::codec::Tag;

/// The end of a call at a core server.
#[derive(Clone, Debug, PartialEq)]
pub struct CallEnd {
    /// Name of the core server at which the call stood.
    pub server: Arc<str>,
    /// Cause code with which its caller is released.
    pub cause: u8,
}

/// Ends of calls, up to a number of them; the oldest are forgotten first.
struct EndTable {
    capacity: usize,
    ends: HashMap<Tag, (u64, CallEnd)>,
    tags_by_age: BTreeMap<u64, Tag>,
    last_number: u64,
}

impl EndTable {
    fn new(capacity: usize) -> Self {
        Self { capacity, ends: HashMap::new(), tags_by_age: BTreeMap::new(), last_number: 0 }
    }

    /// Adds an end. Returns the call whose end was forgotten for it.
    fn insert(&mut self, tag: Tag, end: CallEnd) -> Option<Tag> {
        self.remove(tag);
        self.last_number += 1;
        self.ends.insert(tag, (self.last_number, end));
        self.tags_by_age.insert(self.last_number, tag);
        if self.ends.len() <= self.capacity {
            return None;
        }
        let (_, oldest) = self.tags_by_age.pop_first()?;
        self.ends.remove(&oldest);
        Some(oldest)
    }

    fn get(&self, tag: Tag) -> Option<&CallEnd> {
        self.ends.get(&tag).map(|(_, end)| end)
    }

    fn remove(&mut self, tag: Tag) -> Option<CallEnd> {
        let (number, end) = self.ends.remove(&tag)?;
        self.tags_by_age.remove(&number);
        Some(end)
    }
}

/// All ends that are kept, each until a caller reports its call.
pub struct EndedCalls {
    owed: EndTable,
    repeated: EndTable,
}

impl EndedCalls {
    /// Keeps up to `capacity` ends of calls that this process has not released, and as many repeated ones.
    pub fn new(capacity: usize) -> Self {
        Self { owed: EndTable::new(capacity), repeated: EndTable::new(capacity) }
    }

    /// Keeps the end of a call; `is_repeated` if the call has been released here before. Returns the call whose end,
    /// still owed to its caller, was forgotten for it.
    pub fn insert(&mut self, tag: Tag, end: CallEnd, is_repeated: bool) -> Option<Tag> {
        if is_repeated {
            self.repeated.insert(tag, end);
            return None;
        }
        self.owed.insert(tag, end)
    }

    /// A caller reports that a call stands at this server. If it has ended there, returns the cause of its end, which is
    /// not kept any longer. The end of an earlier attempt at another server says nothing about that call.
    pub fn take(&mut self, tag: Tag, server: &str) -> Option<u8> {
        for table in [&mut self.owed, &mut self.repeated] {
            if table.get(tag).is_some_and(|end| *end.server == *server) {
                return table.remove(tag).map(|end| end.cause);
            }
        }
        None
    }

    /// Number of ends that are kept: owed to callers, and repeated.
    pub fn sizes(&self) -> (usize, usize) {
        (self.owed.ends.len(), self.repeated.ends.len())
    }
}
