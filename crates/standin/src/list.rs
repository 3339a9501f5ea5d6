//! The pool list: knows which processors run, drain or are gone, and says so seconds late.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{Listed, ServerId, ServerNumber};
use lotussaddle_trunk::{Entry, Frame, Hello, Message, Role, VERSION};

use crate::Floor;

/// Entries that one frame carries, at most.
const PIECE: usize = 200;

#[derive(Clone, Debug)]
pub struct Listing {
    pub server: ServerId,
    pub number: ServerNumber,
    pub address: Arc<str>,
    pub listed: Listed,
    pub life: u64,
    /// None: long ago.
    pub started: Option<Duration>,
}

pub struct PoolList {
    known: BTreeMap<ServerId, Listing>,
    coming: VecDeque<(Duration, Listing)>,
    /// How late it is.
    pub late: Duration,
    links: BTreeMap<u64, bool>,
}

impl PoolList {
    pub fn new(late: Duration, known: impl IntoIterator<Item = Listing>) -> Self {
        let known = known.into_iter().map(|listing| (listing.server.clone(), listing)).collect();
        Self { known, coming: VecDeque::new(), late, links: BTreeMap::new() }
    }

    /// Something has changed; it will be told.
    pub fn changed(&mut self, now: Duration, listing: Listing) {
        // A later change is never told before an earlier one, however late that was.
        let due = self.coming.back().map_or(Duration::ZERO, |(due, _)| *due).max(now + self.late);
        self.coming.push_back((due, listing));
    }

    pub fn linked(&mut self, link: u64) {
        self.links.insert(link, false);
    }

    pub fn lost(&mut self, link: u64) {
        self.links.remove(&link);
    }

    pub fn heard(&mut self, now: Duration, link: u64, message: Message, floor: &mut dyn Floor) {
        let Some(greeted) = self.links.get_mut(&link) else { return };
        match message.frame {
            Frame::Ping { nonce } => floor.say(link, Frame::Pong { nonce }.into()),
            Frame::Hello(hello) if hello.role == Role::Edge && hello.version == VERSION => {
                *greeted = true;
                let hello = Hello::new(Role::List, Arc::from("list"));
                floor.say(link, Frame::Hello(hello).into());
                let all: Vec<Entry> = self.known.values().map(|l| entry(now, l)).collect();
                for (place, piece) in all.chunks(PIECE).enumerate() {
                    floor.say(link, Frame::List { whole: place == 0, entries: piece.to_vec() }.into());
                }
            }
            Frame::Pong { .. } => {}
            _ => {
                self.links.remove(&link);
                floor.close(link, false);
            }
        }
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.coming.front().map(|(due, _)| *due)
    }

    pub fn alarm(&mut self, now: Duration, floor: &mut dyn Floor) {
        let mut entries = Vec::new();
        while let Some((due, listing)) = self.coming.front()
            && *due <= now
        {
            entries.push(entry(now, listing));
            if listing.listed == Listed::Gone {
                self.known.remove(&listing.server);
            } else {
                self.known.insert(listing.server.clone(), listing.clone());
            }
            self.coming.pop_front();
        }
        for piece in entries.chunks(PIECE) {
            for (link, _) in self.links.iter().filter(|(_, greeted)| **greeted) {
                floor.say(*link, Frame::List { whole: false, entries: piece.to_vec() }.into());
            }
        }
    }
}

fn entry(now: Duration, listing: &Listing) -> Entry {
    Entry {
        server: listing.server.clone(),
        number: listing.number,
        address: listing.address.clone(),
        listed: listing.listed,
        life: listing.life,
        age: listing
            .started
            .map_or(Duration::ZERO, |at| now.saturating_sub(at).max(Duration::from_micros(1))),
    }
}
