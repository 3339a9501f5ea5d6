//! Analysis of dialled numbers: the generation of tables in force, dialogues that wait for a look-up, and orders
//! about tables. The wait for a look-up is bounded by the portability crate, and routing is decided by `numbers`.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{Arrival, DialogueId};
use lotussaddle_numbers::{Analysis, Digits, Generations, Order, Refusal, Step, Swapped, Tables, Timestamp};
use lotussaddle_portability::{Asked, Client, Outcome, Outside, Patience, Plan, Wait};
use lotussaddle_trunk::{Dial, Frame, TablesOrder};

use crate::EdgeEffects;

/// Maximum number of orders that wait while a generation is loaded; a further one is declined.
const MAX_QUEUED_ORDERS: usize = 256;
/// Maximum length of a reason that is sent, in bytes; the log has the whole text.
const MAX_REASON_BYTES: usize = 100;

/// Number analysis of an edge proxy.
pub struct NumberAnalysis {
    /// Promised times, by product.
    promised_times: Vec<Duration>,
    group_count: usize,
    /// Time of day at the start of the edge proxy's clock.
    wall_at_start: Timestamp,
    /// Generations of tables.
    pub generations: Generations,
    /// Client of the look-up servers; `None` if numbers are not looked up.
    pub client: Option<Client>,
    /// Pending look-ups, by the waiter number under which the client reports the answer.
    pending: HashMap<u64, PendingLookUp>,
    /// Key in `pending` of the look-up of each waiting dialogue.
    by_dialogue: HashMap<DialogueId, u64>,
    deadlines: BTreeSet<(Duration, u64)>,
    last_waiter: u64,
    /// Orders in order of arrival; none is carried out while a generation is loaded.
    orders: VecDeque<(u64, QueuedOrder)>,
    /// Order and name of the generation that is being loaded.
    loading: Option<(u64, Arc<str>)>,
    /// Reports on orders, to be sent.
    reports: Vec<Frame>,
}

enum QueuedOrder {
    Load(Arc<str>),
    Order(Order),
}

/// A dialogue that waits for its look-up.
struct PendingLookUp {
    arrival: Arrival,
    /// Product and width as dialled.
    dialled_as: (u16, f64),
    analysis: Analysis,
    /// Time until which the answer is awaited.
    until: Duration,
}

/// Route of an analysed number.
#[derive(Debug)]
pub struct AnalysedRoute {
    /// Product as callers name it.
    pub product: u16,
    /// Index of the product in the decision module's plan, which depends on the trunk group.
    pub module_product: usize,
    /// First-choice server, if the tables give one.
    pub first: Option<i64>,
    /// Number of lines.
    pub width: f64,
    /// Number to dial.
    pub number: Digits,
    /// Routing number of a ported number.
    pub routing: Option<Digits>,
}

/// A dialogue with the route of its number, or the reason for refusing it.
pub type AnalysisResult = (Arrival, Result<AnalysedRoute, Refusal>);

/// Sends the look-up client's datagrams through the effects.
struct LookUpSender<'a>(&'a mut dyn EdgeEffects);

impl Outside for LookUpSender<'_> {
    fn send(&mut self, server: usize, bytes: &[u8]) {
        self.0.send_look_up(server, bytes);
    }
}

impl NumberAnalysis {
    /// Creates the analysis. Without `look_ups`, numbers that need a look-up count as unanswered at once.
    pub fn new(
        promised_times: Vec<Duration>, group_count: usize, wall_at_start: Timestamp,
        look_ups: Option<(Plan, u64)>,
    ) -> Self {
        Self {
            promised_times,
            group_count,
            wall_at_start,
            generations: Generations::default(),
            client: look_ups.map(|(plan, seed)| Client::new(plan, seed)),
            pending: HashMap::new(),
            by_dialogue: HashMap::new(),
            deadlines: BTreeSet::new(),
            last_waiter: 0,
            orders: VecDeque::new(),
            loading: None,
            reports: Vec::new(),
        }
    }

    /// Sets the generation that is in force from the start.
    pub fn set_initial_tables(&mut self, tables: Arc<Tables>) {
        self.generations.begin_with(tables);
    }

    /// Number of products as callers name them.
    pub fn products(&self) -> usize {
        self.promised_times.len()
    }

    /// Index of a product in the decision module's plan: each product appears once without a trunk group and once
    /// per trunk group.
    pub fn module_product(&self, product: u16, group: Option<u16>) -> usize {
        usize::from(product) * (self.group_count + 1) + group.map_or(0, |group| usize::from(group) + 1)
    }

    /// Whether a generation of tables is in force.
    pub fn has_tables(&self) -> bool {
        self.generations.in_force().is_some()
    }

    /// Sets the time of day, since the machine's clock may be changed while this runs.
    pub fn set_wall_clock(&mut self, now: Duration, wall: Timestamp) {
        self.wall_at_start = wall.checked_sub(now).unwrap_or(wall);
    }

    /// Time of day at this time of the edge proxy's clock.
    fn wall_time(&self, now: Duration) -> Timestamp {
        self.wall_at_start.checked_add(now).unwrap_or(self.wall_at_start)
    }

    /// Time of the next call of [`Self::process_due`].
    pub fn next_due(&self) -> Option<Duration> {
        let deadlines = [
            self.deadlines.first().map(|(due, _)| *due),
            self.generations.next_due(),
            self.client.as_ref().and_then(Client::next_due),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Number of dialogues that wait for a look-up.
    pub fn pending_look_ups(&self) -> usize {
        self.pending.len()
    }

    /// Starts the analysis of a number; `None` if its look-up is in progress.
    pub fn start_analysis(
        &mut self, now: Duration, dial: &Dial, arrival: Arrival, effects: &mut dyn EdgeEffects,
    ) -> Option<AnalysisResult> {
        let dialled = dial.dialled.as_deref().unwrap_or_default();
        let Some(tables) = self.generations.in_force().cloned() else {
            return Some((arrival, Err(Refusal::NoTenant)));
        };
        let (mut analysis, step) =
            Analysis::begin(tables, dial.tenant, dialled, self.wall_time(now), dial.sharing_hash(), false);
        let dialled_as = (dial.product, dial.width);
        let Step::Ask { number, late, within } = step else {
            return Some((arrival, self.result_of(dialled_as, step)));
        };
        let wait_policy = Patience {
            dialled: arrival.dialled_at,
            promised: self.promised_times[usize::from(dial.product)],
            cut_off: arrival.cut_off,
            within,
            late,
        };
        self.last_waiter += 1;
        let (waiter, tenant) = (self.last_waiter, dial.tenant.map_or(u32::MAX, u32::from));
        let query = match &mut self.client {
            Some(client) => client.ask(now, tenant, number, waiter, &mut LookUpSender(effects)),
            None => Asked::Never,
        };
        let step = match (query, wait_policy.wait(now)) {
            (Asked::Now(moved), _) => analysis.told(moved.routing()),
            (Asked::Waits, Wait::Until(until)) => {
                self.deadlines.insert((until, waiter));
                self.by_dialogue.insert(arrival.id.clone(), waiter);
                self.pending.insert(waiter, PendingLookUp { arrival, dialled_as, analysis, until });
                return None;
            }
            (Asked::Waits, Wait::Not) => {
                // The query stays in progress: its answer serves later dialogues.
                self.client.as_mut().expect("the client was used above").forget(waiter);
                analysis.gives_up()
            }
            (Asked::Never, _) => analysis.gives_up(),
        };
        Some((arrival, self.result_of(dialled_as, step)))
    }

    /// Result of an analysis step that needs no further look-up.
    fn result_of(&self, (product, width): (u16, f64), step: Step) -> Result<AnalysedRoute, Refusal> {
        match step {
            Step::Route(route) => {
                let product = route.product.unwrap_or(product);
                Ok(AnalysedRoute {
                    product,
                    module_product: self.module_product(product, Some(route.group)),
                    first: route.first,
                    width: route.width.unwrap_or(width),
                    number: route.number,
                    routing: route.routing,
                })
            }
            Step::Refuse(why) => Err(why),
            // An analysis needs at most one look-up, which has ended by now.
            Step::Ask { .. } => Err(Refusal::NoWay),
        }
    }

    /// Cancels the look-up of a dialogue whose caller hung up.
    pub fn cancel_look_up(&mut self, id: &DialogueId) {
        if let Some(waiter) = self.by_dialogue.get(id).copied() {
            self.remove_look_up(waiter);
            if let Some(client) = &mut self.client {
                client.forget(waiter);
            }
        }
    }

    fn remove_look_up(&mut self, waiter: u64) -> Option<PendingLookUp> {
        let look_up = self.pending.remove(&waiter)?;
        self.by_dialogue.remove(&look_up.arrival.id);
        self.deadlines.remove(&(look_up.until, waiter));
        Some(look_up)
    }

    /// A datagram of a look-up server was received.
    pub fn reply_received(
        &mut self, now: Duration, server: usize, datagram: &[u8], effects: &mut dyn EdgeEffects,
    ) {
        if let Some(client) = &mut self.client {
            client.heard(now, server, datagram, &mut LookUpSender(effects));
        }
    }

    /// Results of look-ups that were answered or timed out, and the number of those that timed out.
    pub fn process_due(
        &mut self, now: Duration, effects: &mut dyn EdgeEffects,
    ) -> (Vec<AnalysisResult>, u64) {
        let wall = self.wall_time(now);
        for swapped in self.generations.alarm(now, wall) {
            self.report_swap(swapped);
        }
        let mut results = Vec::new();
        let mut unanswered = 0;
        let mut answers = Vec::new();
        if let Some(client) = &mut self.client {
            if client.next_due().is_some_and(|due| due <= now) {
                client.alarm(now, &mut LookUpSender(effects));
            }
            answers = client.take_told();
        }
        for answer in answers {
            let Some(mut look_up) = self.remove_look_up(answer.waiter) else { continue };
            // After a stall an answer may arrive past its deadline: it counts as timed out, and the cached answer serves
            // later dialogues.
            let known = match answer.outcome {
                Outcome::Known(moved) if now < look_up.until => Some(moved.routing()),
                _ => None,
            };
            let step = match known {
                Some(routing) => look_up.analysis.told(routing),
                None => {
                    unanswered += 1;
                    look_up.analysis.gives_up()
                }
            };
            results.push((look_up.arrival, self.result_of(look_up.dialled_as, step)));
        }
        while let Some((_, waiter)) = self.deadlines.first().copied().filter(|(due, _)| *due <= now) {
            let Some(mut look_up) = self.remove_look_up(waiter) else { continue };
            if let Some(client) = &mut self.client {
                client.forget(waiter);
            }
            unanswered += 1;
            let step = look_up.analysis.gives_up();
            results.push((look_up.arrival, self.result_of(look_up.dialled_as, step)));
        }
        (results, unanswered)
    }

    /// Queues an order about tables and carries out the orders that can be.
    pub fn order_received(
        &mut self, now: Duration, serial: u64, order: TablesOrder, effects: &mut dyn EdgeEffects,
    ) {
        if self.orders.len() >= MAX_QUEUED_ORDERS {
            let why = "too many orders wait";
            return self.report(serial, None, Some(why.into()));
        }
        let queued = match order {
            TablesOrder::Load { name } => QueuedOrder::Load(name),
            TablesOrder::Swap { name, after } => {
                QueuedOrder::Order(Order::Swap { name: name.to_string(), at: now + after })
            }
            TablesOrder::Undo { of, to } => {
                QueuedOrder::Order(Order::Undo { of, to: to.map(|to| to.to_string()) })
            }
            TablesOrder::Drop { of } => QueuedOrder::Order(Order::Drop { of }),
        };
        self.orders.push_back((serial, queued));
        self.run_orders(now, effects);
    }

    /// Carries out queued orders until one starts a load.
    fn run_orders(&mut self, now: Duration, effects: &mut dyn EdgeEffects) {
        while self.loading.is_none()
            && let Some((serial, queued)) = self.orders.pop_front()
        {
            match queued {
                // A generation that is loaded or in force is not loaded again.
                QueuedOrder::Load(name) if self.generations.named(&name).is_some() => {
                    self.generations.used(serial);
                    self.report(serial, Some(&name), None);
                }
                QueuedOrder::Load(name) => {
                    self.generations.used(serial);
                    let bases = self.generations.all();
                    if effects.load_tables(&name, bases) {
                        self.loading = Some((serial, name));
                    } else {
                        self.report(serial, Some(&name), Some("tables cannot be read now".into()));
                    }
                }
                QueuedOrder::Order(order) => {
                    let wall = self.wall_time(now);
                    let swapped = self.generations.order(now, wall, serial, order);
                    self.report_swap(swapped);
                }
            }
        }
    }

    /// Stages the generation that was loaded, reports the result, and continues with the queued orders.
    pub fn tables_loaded(
        &mut self, now: Duration, name: &str, tables: Result<Arc<Tables>, String>,
        effects: &mut dyn EdgeEffects,
    ) {
        let awaited = self.loading.take_if(|(_, awaited)| **awaited == *name);
        let serial = awaited.map_or(0, |(serial, _)| serial);
        match tables {
            Ok(tables) => {
                self.generations.stage(tables);
                self.report(serial, Some(name), None);
            }
            Err(why) => self.report(serial, Some(name), Some(why)),
        }
        self.run_orders(now, effects);
    }

    fn report_swap(&mut self, swapped: Swapped) {
        match swapped {
            // If several swaps became due during a stall, each was in force for a moment and is reported as such.
            Swapped::InForce(serial, name) => self.report_as_of(serial, serial, Some(&name), None),
            Swapped::Waits(serial) => self.report(serial, None, Some("waits for its time".into())),
            Swapped::Dropped(serial) => self.report(serial, None, None),
            Swapped::Not(serial, why) => self.report(serial, None, Some(why.to_string())),
        }
    }

    fn report(&mut self, serial: u64, name: Option<&str>, why: Option<String>) {
        self.report_as_of(serial, self.generations.serial(), name, why);
    }

    /// Queues a report; `in_force` is the serial of the swap that is in force with it. Texts are shortened for sending.
    fn report_as_of(&mut self, serial: u64, in_force: u64, name: Option<&str>, why: Option<String>) {
        let short = |why: String| -> Arc<str> {
            let plain = why.chars().map(|c| if c.is_control() { ' ' } else { c });
            let mut text: String = plain.take(MAX_REASON_BYTES).collect();
            text.truncate(text.floor_char_boundary(MAX_REASON_BYTES));
            text.into()
        };
        let name = name.map(|name| short(name.into()));
        self.reports.push(Frame::TablesResult { serial, in_force, name, why: why.map(short) });
    }

    /// Takes the reports on orders that are to be sent.
    pub fn take_reports(&mut self) -> Vec<Frame> {
        std::mem::take(&mut self.reports)
    }
}
