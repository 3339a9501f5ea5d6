//! The pool list: knows which processors run, drain or are gone, and says so seconds late.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{ServerId, ServerNumber, ServerState};
use lotussaddle_trunk::{Entry, Frame, Hello, Message, Role, TablesOrder, VERSION};

use crate::Floor;

/// Entries that one frame carries, at most.
const PIECE: usize = 200;

#[derive(Clone, Debug)]
pub struct Listing {
    pub server: ServerId,
    pub number: ServerNumber,
    pub address: Arc<str>,
    pub listed: ServerState,
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
    orders: Orders,
    /// What edge proxies said came of orders, by link.
    pub tabled: Vec<Tabled>,
}

/// Orders about tables, as whoever keeps the list gives them.
#[derive(Default)]
struct Orders {
    serial: u64,
    /// The swap in force: its serial, its generation, and when.
    now: Option<(u64, Arc<str>, Duration)>,
    /// What swaps that may be undone would lead back to.
    before: Vec<Option<(u64, Arc<str>, Duration)>>,
    /// Swaps that wait for their time.
    timed: BTreeMap<(Duration, u64), Arc<str>>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tabled {
    pub link: u64,
    pub serial: u64,
    pub in_force: u64,
    pub why: Option<Arc<str>>,
}

/// Edge proxies that answered, kept at most; who reads them takes them out.
const MOST_TABLED: usize = 10_000;

impl PoolList {
    pub fn new(late: Duration, known: impl IntoIterator<Item = Listing>) -> Self {
        let known = known.into_iter().map(|listing| (listing.server.clone(), listing)).collect();
        let (coming, links) = (VecDeque::new(), BTreeMap::new());
        Self { known, coming, late, links, orders: Orders::default(), tabled: Vec::new() }
    }

    /// What edge proxies have in force when they start.
    pub fn begin_with(&mut self, name: &str) {
        self.orders.now = Some((0, Arc::from(name), Duration::ZERO));
    }

    /// A generation is to be read, and to be in force after this time.
    pub fn swap(&mut self, now: Duration, name: &str, after: Duration, floor: &mut dyn Floor) {
        let name: Arc<str> = Arc::from(name);
        self.order(TablesOrder::Load { name: name.clone() }, floor);
        self.order(TablesOrder::Swap { name: name.clone(), after }, floor);
        let serial = self.orders.serial;
        if after.is_zero() {
            self.in_force(serial, name, now);
        } else {
            self.orders.timed.insert((now + after, serial), name);
        }
    }

    /// The last swap is undone.
    pub fn undo(&mut self, now: Duration, floor: &mut dyn Floor) {
        let Some((of, ..)) = self.orders.now else { return };
        let Some(before) = self.orders.before.pop() else { return };
        let to = before.as_ref().map(|(_, name, _)| name.clone());
        if let Some(name) = to.clone() {
            self.order(TablesOrder::Load { name }, floor);
        }
        self.order(TablesOrder::Undo { of, to }, floor);
        let serial = self.orders.serial;
        self.orders.now = before.map(|(_, name, _)| (serial, name, now));
    }

    fn in_force(&mut self, serial: u64, name: Arc<str>, now: Duration) {
        let before = self.orders.now.replace((serial, name, now));
        self.orders.before.push(before);
        if self.orders.before.len() > 3 {
            self.orders.before.remove(0);
        }
    }

    fn order(&mut self, order: TablesOrder, floor: &mut dyn Floor) {
        self.orders.serial += 1;
        let serial = self.orders.serial;
        for (link, _) in self.links.iter().filter(|(_, greeted)| **greeted) {
            floor.say(*link, Frame::Tables { serial, order: order.clone() }.into());
        }
    }

    /// Whoever comes up anew is told what is in force and what waits. Two serials for each, so that both orders keep
    /// theirs: that of the swap is the higher one.
    fn tell_orders(&self, now: Duration, link: u64, floor: &mut dyn Floor) {
        let in_force = self.orders.now.iter().map(|(serial, name, _)| (*serial, name, Duration::ZERO));
        let timed =
            self.orders.timed.iter().map(|((at, serial), name)| (*serial, name, at.saturating_sub(now)));
        let mut all: Vec<_> = in_force.chain(timed).filter(|(serial, ..)| *serial > 0).collect();
        all.sort_by_key(|(serial, ..)| *serial);
        for (serial, name, after) in all {
            let load = TablesOrder::Load { name: name.clone() };
            floor.say(link, Frame::Tables { serial: serial.saturating_sub(1), order: load }.into());
            let swap = TablesOrder::Swap { name: name.clone(), after };
            floor.say(link, Frame::Tables { serial, order: swap }.into());
        }
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
                    floor.say(link, Frame::List { is_complete: place == 0, entries: piece.to_vec() }.into());
                }
                self.tell_orders(now, link, floor);
            }
            Frame::TablesResult { serial, in_force, why, .. } => {
                if self.tabled.len() < MOST_TABLED {
                    self.tabled.push(Tabled { link, serial, in_force, why });
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
        let timed = self.orders.timed.first_key_value().map(|((at, _), _)| *at);
        self.coming.front().map(|(due, _)| *due).into_iter().chain(timed).min()
    }

    pub fn alarm(&mut self, now: Duration, floor: &mut dyn Floor) {
        while let Some(entry) = self.orders.timed.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((at, serial), name) = entry.remove_entry();
            self.in_force(serial, name, at);
        }
        let mut entries = Vec::new();
        while let Some((due, listing)) = self.coming.front()
            && *due <= now
        {
            entries.push(entry(now, listing));
            if listing.listed == ServerState::Gone {
                self.known.remove(&listing.server);
            } else {
                self.known.insert(listing.server.clone(), listing.clone());
            }
            self.coming.pop_front();
        }
        for piece in entries.chunks(PIECE) {
            for (link, _) in self.links.iter().filter(|(_, greeted)| **greeted) {
                floor.say(*link, Frame::List { is_complete: false, entries: piece.to_vec() }.into());
            }
        }
    }
}

fn entry(now: Duration, listing: &Listing) -> Entry {
    Entry {
        server: listing.server.clone(),
        number: listing.number,
        address: listing.address.clone(),
        state: listing.listed,
        incarnation: listing.life,
        age: listing
            .started
            .map_or(Duration::ZERO, |at| now.saturating_sub(at).max(Duration::from_micros(1))),
    }
}
