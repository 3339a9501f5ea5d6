//! NumberAnalysis on their way to the module: which generation is in force, which dialogues wait for a look-up, and what
//! both come to. What may wait how long is decided in `portability::Patience`, where a number leads in `numbers`.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{Arrival, DialogueId};
use lotussaddle_numbers::{Analysis, Digits, Generations, Order, Refusal, Step, Swapped, Tables, Timestamp};
use lotussaddle_portability::{Asked, Client, Outcome, Outside, Patience, Plan, Wait};
use lotussaddle_trunk::{Dial, Frame, TablesOrder};

use crate::EdgeEffects;

/// Orders that wait until a generation is read; beyond it an order is answered with a no.
const MOST_ORDERS: usize = 256;
/// Signs of a reason that goes over the wire; the log has it whole.
const MOST_WHY: usize = 100;

/// What an edge proxy has to know of its plan to analyse numbers.
pub struct NumberAnalysis {
    /// Promised times, by product.
    promised: Vec<Duration>,
    groups: usize,
    /// The time of day at the start of the clock that all else goes by.
    wall: Timestamp,
    pub generations: Generations,
    pub client: Option<Client>,
    asking: HashMap<u64, Asking>,
    by_dialogue: HashMap<DialogueId, u64>,
    dues: BTreeSet<(Duration, u64)>,
    waiter: u64,
    /// Orders in the order they came; nothing goes on while a generation is read.
    orders: VecDeque<(u64, Waiting)>,
    reading: Option<(u64, Arc<str>)>,
    said: Vec<Frame>,
}

enum Waiting {
    Load(Arc<str>),
    Order(Order),
}

/// A dialogue whose look-up is out.
struct Asking {
    arrival: Arrival,
    dial: (u16, f64),
    analysis: Analysis,
    until: Duration,
}

/// Where a dialogue goes.
#[derive(Debug)]
pub struct Found {
    pub product: u16,
    /// The product as the module knows it: with its trunk group.
    pub module_product: usize,
    pub first: Option<i64>,
    pub width: f64,
    pub number: Digits,
    pub routing: Option<Digits>,
}

pub type Analysed = (Arrival, Result<Found, Refusal>);

/// The client's datagrams, by the effects.
struct Datagrams<'a>(&'a mut dyn EdgeEffects);

impl Outside for Datagrams<'_> {
    fn send(&mut self, server: usize, bytes: &[u8]) {
        self.0.send_look_up(server, bytes);
    }
}

impl NumberAnalysis {
    /// `look_ups`: none where nothing is looked up, and what would be goes on unanswered at once.
    pub fn new(
        promised: Vec<Duration>, groups: usize, wall: Timestamp, look_ups: Option<(Plan, u64)>,
    ) -> Self {
        Self {
            promised,
            groups,
            wall,
            generations: Generations::default(),
            client: look_ups.map(|(plan, seed)| Client::new(plan, seed)),
            asking: HashMap::new(),
            by_dialogue: HashMap::new(),
            dues: BTreeSet::new(),
            waiter: 0,
            orders: VecDeque::new(),
            reading: None,
            said: Vec::new(),
        }
    }

    /// A generation that is in force from the start on.
    pub fn set_initial_tables(&mut self, tables: Arc<Tables>) {
        self.generations.begin_with(tables);
    }

    /// Products as callers name them.
    pub fn products(&self) -> usize {
        self.promised.len()
    }

    /// The product that the module knows: each comes once without a trunk group, and once for each of them.
    pub fn module_product(&self, product: u16, group: Option<u16>) -> usize {
        usize::from(product) * (self.groups + 1) + group.map_or(0, |group| usize::from(group) + 1)
    }

    pub fn is_ready(&self) -> bool {
        self.generations.in_force().is_some()
    }

    /// The machine's clock says so; it may be set while this runs.
    pub fn set_wall_clock(&mut self, now: Duration, wall: Timestamp) {
        self.wall = wall.checked_sub(now).unwrap_or(wall);
    }

    fn wall(&self, now: Duration) -> Timestamp {
        self.wall.checked_add(now).unwrap_or(self.wall)
    }

    pub fn next_due(&self) -> Option<Duration> {
        let dues = [
            self.dues.first().map(|(due, _)| *due),
            self.generations.next_due(),
            self.client.as_ref().and_then(Client::next_due),
        ];
        dues.into_iter().flatten().min()
    }

    /// Dialogues that wait for a look-up.
    pub fn pending_look_ups(&self) -> usize {
        self.asking.len()
    }

    /// Begins to analyse a number; none: its look-up is out.
    pub fn begin(
        &mut self, now: Duration, dial: &Dial, arrival: Arrival, effects: &mut dyn EdgeEffects,
    ) -> Option<Analysed> {
        let dialled = dial.dialled.as_deref().unwrap_or_default();
        let Some(tables) = self.generations.in_force().cloned() else {
            return Some((arrival, Err(Refusal::NoTenant)));
        };
        let (mut analysis, step) =
            Analysis::begin(tables, dial.tenant, dialled, self.wall(now), dial.sharing_hash(), false);
        let own = (dial.product, dial.width);
        let Step::Ask { number, late, within } = step else { return Some((arrival, self.out(own, step))) };
        let patience = Patience {
            dialled: arrival.dialled_at,
            promised: self.promised[usize::from(dial.product)],
            cut_off: arrival.cut_off,
            within,
            late,
        };
        self.waiter += 1;
        let (waiter, tenant) = (self.waiter, dial.tenant.map_or(u32::MAX, u32::from));
        let asked = match &mut self.client {
            Some(client) => client.ask(now, tenant, number, waiter, &mut Datagrams(effects)),
            None => Asked::Never,
        };
        let step = match (asked, patience.wait(now)) {
            (Asked::Now(moved), _) => analysis.told(moved.routing()),
            (Asked::Waits, Wait::Until(until)) => {
                self.dues.insert((until, waiter));
                self.by_dialogue.insert(arrival.id.clone(), waiter);
                self.asking.insert(waiter, Asking { arrival, dial: own, analysis, until });
                return None;
            }
            (Asked::Waits, Wait::Not) => {
                // The question stays out: its answer is the next one's.
                self.client.as_mut().expect("it was asked").forget(waiter);
                analysis.gives_up()
            }
            (Asked::Never, _) => analysis.gives_up(),
        };
        Some((arrival, self.out(own, step)))
    }

    fn out(&self, (product, width): (u16, f64), step: Step) -> Result<Found, Refusal> {
        match step {
            Step::Route(route) => {
                let product = route.product.unwrap_or(product);
                Ok(Found {
                    product,
                    module_product: self.module_product(product, Some(route.group)),
                    first: route.first,
                    width: route.width.unwrap_or(width),
                    number: route.number,
                    routing: route.routing,
                })
            }
            Step::Refuse(why) => Err(why),
            // An analysis asks once.
            Step::Ask { .. } => Err(Refusal::NoWay),
        }
    }

    /// Its caller has hung up.
    pub fn forget(&mut self, id: &DialogueId) {
        if let Some(waiter) = self.by_dialogue.get(id).copied() {
            self.take(waiter);
            if let Some(client) = &mut self.client {
                client.forget(waiter);
            }
        }
    }

    fn take(&mut self, waiter: u64) -> Option<Asking> {
        let asking = self.asking.remove(&waiter)?;
        self.by_dialogue.remove(&asking.arrival.id);
        self.dues.remove(&(asking.until, waiter));
        Some(asking)
    }

    pub fn replied(&mut self, now: Duration, server: usize, datagram: &[u8], effects: &mut dyn EdgeEffects) {
        if let Some(client) = &mut self.client {
            client.heard(now, server, datagram, &mut Datagrams(effects));
        }
    }

    /// Dialogues whose look-up has come to something or is waited for no longer, and how many of the latter.
    pub fn due(&mut self, now: Duration, effects: &mut dyn EdgeEffects) -> (Vec<Analysed>, u64) {
        let wall = self.wall(now);
        for swapped in self.generations.alarm(now, wall) {
            self.tell(swapped);
        }
        let mut found = Vec::new();
        let mut unanswered = 0;
        let mut told = Vec::new();
        if let Some(client) = &mut self.client {
            if client.next_due().is_some_and(|due| due <= now) {
                client.alarm(now, &mut Datagrams(effects));
            }
            told = client.take_told();
        }
        for told in told {
            let Some(mut asking) = self.take(told.waiter) else { continue };
            // One whose patience ended while all stood still has waited long enough, whatever lies here by now; the
            // answer is known to the next.
            let known = match told.outcome {
                Outcome::Known(moved) if now < asking.until => Some(moved.routing()),
                _ => None,
            };
            let step = match known {
                Some(routing) => asking.analysis.told(routing),
                None => {
                    unanswered += 1;
                    asking.analysis.gives_up()
                }
            };
            found.push((asking.arrival, self.out(asking.dial, step)));
        }
        while let Some((_, waiter)) = self.dues.first().copied().filter(|(due, _)| *due <= now) {
            let Some(mut asking) = self.take(waiter) else { continue };
            if let Some(client) = &mut self.client {
                client.forget(waiter);
            }
            unanswered += 1;
            let step = asking.analysis.gives_up();
            found.push((asking.arrival, self.out(asking.dial, step)));
        }
        (found, unanswered)
    }

    // Generations

    pub fn ordered(&mut self, now: Duration, serial: u64, order: TablesOrder, effects: &mut dyn EdgeEffects) {
        if self.orders.len() >= MOST_ORDERS {
            let why = "too many orders wait";
            return self.say(serial, None, Some(why.into()));
        }
        let waiting = match order {
            TablesOrder::Load { name } => Waiting::Load(name),
            TablesOrder::Swap { name, after } => {
                Waiting::Order(Order::Swap { name: name.to_string(), at: now + after })
            }
            TablesOrder::Undo { of, to } => {
                Waiting::Order(Order::Undo { of, to: to.map(|to| to.to_string()) })
            }
            TablesOrder::Drop { of } => Waiting::Order(Order::Drop { of }),
        };
        self.orders.push_back((serial, waiting));
        self.run_orders(now, effects);
    }

    fn run_orders(&mut self, now: Duration, effects: &mut dyn EdgeEffects) {
        while self.reading.is_none()
            && let Some((serial, waiting)) = self.orders.pop_front()
        {
            match waiting {
                // What is ready, or in force, need not be read again.
                Waiting::Load(name) if self.generations.named(&name).is_some() => {
                    self.generations.used(serial);
                    self.say(serial, Some(&name), None);
                }
                Waiting::Load(name) => {
                    self.generations.used(serial);
                    let bases = self.generations.all();
                    if effects.load_tables(&name, bases) {
                        self.reading = Some((serial, name));
                    } else {
                        self.say(serial, Some(&name), Some("tables cannot be read now".into()));
                    }
                }
                Waiting::Order(order) => {
                    let wall = self.wall(now);
                    let swapped = self.generations.order(now, wall, serial, order);
                    self.tell(swapped);
                }
            }
        }
    }

    pub fn loaded(
        &mut self, now: Duration, name: &str, tables: Result<Arc<Tables>, String>,
        effects: &mut dyn EdgeEffects,
    ) {
        let awaited = self.reading.take_if(|(_, awaited)| **awaited == *name);
        let serial = awaited.map_or(0, |(serial, _)| serial);
        match tables {
            Ok(tables) => {
                self.generations.stage(tables);
                self.say(serial, Some(name), None);
            }
            Err(why) => self.say(serial, Some(name), Some(why)),
        }
        self.run_orders(now, effects);
    }

    fn tell(&mut self, swapped: Swapped) {
        match swapped {
            // Of several that came up together after a stall, each was in force for a moment.
            Swapped::InForce(serial, name) => self.say_of(serial, serial, Some(&name), None),
            Swapped::Waits(serial) => self.say(serial, None, Some("waits for its time".into())),
            Swapped::Dropped(serial) => self.say(serial, None, None),
            Swapped::Not(serial, why) => self.say(serial, None, Some(why.to_string())),
        }
    }

    fn say(&mut self, serial: u64, name: Option<&str>, why: Option<String>) {
        self.say_of(serial, self.generations.serial(), name, why);
    }

    fn say_of(&mut self, serial: u64, in_force: u64, name: Option<&str>, why: Option<String>) {
        let short = |why: String| -> Arc<str> {
            let plain = why.chars().map(|c| if c.is_control() { ' ' } else { c });
            let mut text: String = plain.take(MOST_WHY).collect();
            text.truncate(text.floor_char_boundary(MOST_WHY));
            text.into()
        };
        let name = name.map(|name| short(name.into()));
        self.said.push(Frame::TablesResult { serial, in_force, name, why: why.map(short) });
    }

    pub fn take_said(&mut self) -> Vec<Frame> {
        std::mem::take(&mut self.said)
    }
}
