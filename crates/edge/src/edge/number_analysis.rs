//! Numbers that are dialled: their analysis, look-ups, and the tables it goes by.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{Arrival, ProductId, ServerNumber, Signalling};
use lotussaddle_numbers::Tables;
use lotussaddle_trunk::{Dial, Frame, TablesOrder};

use super::Edge;
use crate::hands::Hands;
use crate::held::Stage;
use crate::links::Peer;
use crate::numbers::Analysed;
use crate::{Decisions, LinkId, Note, Wires};

impl<D: Decisions> Edge<D> {
    /// A datagram of a look-up server.
    pub fn replied(&mut self, now: Duration, server: usize, datagram: &[u8], wires: &mut dyn Wires) {
        self.state.now = now;
        if let Some(numbers) = &mut self.numbers {
            numbers.replied(now, server, datagram, wires);
        }
        self.expire_deadlines(wires);
        self.numbers_due(wires);
        self.settle(wires);
    }

    /// What came of `Wires::load`.
    pub fn loaded(
        &mut self, now: Duration, name: &str, tables: Result<Arc<Tables>, String>, wires: &mut dyn Wires,
    ) {
        self.state.now = now;
        if let Some(numbers) = &mut self.numbers {
            if let Err(why) = &tables {
                wires.log(Note::Link, &format!("generation {name} is not taken:\n{why}"));
            }
            numbers.loaded(now, name, tables, wires);
        }
        self.numbers_due(wires);
        self.settle(wires);
    }

    /// An order about tables, from elsewhere than the list; `Wires::tabled` tells what came of it.
    pub fn order_tables(&mut self, now: Duration, serial: u64, order: TablesOrder, wires: &mut dyn Wires) {
        self.state.now = now;
        match &mut self.numbers {
            Some(numbers) => numbers.ordered(now, serial, order, wires),
            None => wires.tabled(serial, Some("numbers are not analysed here")),
        }
        self.numbers_due(wires);
        self.settle(wires);
    }

    /// An order about tables came from the list.
    pub(super) fn ordered(&mut self, link: LinkId, serial: u64, order: TablesOrder, wires: &mut dyn Wires) {
        let now = self.state.now;
        match &mut self.numbers {
            Some(numbers) => numbers.ordered(now, serial, order, wires),
            None => {
                let why = Some(Arc::from("numbers are not analysed here"));
                self.hands(wires).say(link, Frame::TablesResult { serial, in_force: 0, name: None, why });
            }
        }
        self.numbers_due(wires);
    }

    pub(super) fn analyse(&mut self, dial: &Dial, arrival: Arrival, wires: &mut dyn Wires) {
        let Some(numbers) = &mut self.numbers else { return };
        self.state.counts.analysed += 1;
        let id = arrival.id.clone();
        match numbers.begin(self.state.now, dial, arrival, wires) {
            Some(found) => self.analysed(found, wires),
            None => {
                self.state.counts.looked_up += 1;
                if let Some(held) = self.state.held.get_mut(&id) {
                    held.at = Stage::Asking;
                }
            }
        }
    }

    /// Has generations taken apart that nobody needs any more.
    pub(super) fn let_go_of_tables(&mut self, wires: &mut dyn Wires) {
        let gone = self.numbers.as_mut().map(|numbers| numbers.generations.take_gone()).unwrap_or_default();
        if !gone.is_empty() {
            wires.let_go(gone);
        }
    }

    /// What is due of tables and look-ups, and what came of look-ups meanwhile.
    pub(super) fn numbers_due(&mut self, wires: &mut dyn Wires) {
        let Some(numbers) = &mut self.numbers else { return };
        let (found, unanswered) = numbers.due(self.state.now, wires);
        let said = numbers.take_said();
        self.state.counts.unanswered += unanswered;
        for found in found {
            self.analysed(found, wires);
            self.hand_over_ends(wires);
        }
        if !said.is_empty() {
            self.tell_of_tables(said, wires);
        }
    }

    /// Tells the list, where its link is up, and the shell what came of orders about tables.
    fn tell_of_tables(&mut self, said: Vec<Frame>, wires: &mut dyn Wires) {
        let list = self.state.links.iter().find(|(_, link)| matches!(link.kind, Peer::List) && link.greeted);
        let list = list.map(|(id, _)| *id);
        for said in said {
            if let Frame::TablesResult { serial, in_force, name, why } = &said {
                wires.tabled(*serial, why.as_deref());
                let (name, why) = (name.as_deref().unwrap_or("-"), why.as_deref().unwrap_or("done"));
                wires.log(
                    Note::Mode,
                    &format!("tables: order {serial} on {name}: {why}; in force is swap {in_force}"),
                );
            }
            if let Some(list) = list {
                self.hands(wires).say(list, said);
            }
        }
    }

    fn analysed(&mut self, (mut arrival, found): Analysed, wires: &mut dyn Wires) {
        let Some(held) = self.state.held.get_mut(&arrival.id) else { return };
        held.at = Stage::Waiting;
        match found {
            Ok(route) => {
                held.product = route.product;
                held.width = route.width;
                let routing = route.routing.map(|routing| Arc::from(routing.to_string()));
                held.number = Some(Box::new((Arc::from(route.number.to_string()), routing)));
                arrival.product = ProductId(route.module_product);
                arrival.width = route.width;
                if let Some(first) = route.first {
                    arrival.first_choice = ServerNumber(first);
                }
                let mut hands = Hands { state: &mut self.state, wires };
                self.brain.arrived(hands.state.now, arrival, &mut hands);
            }
            Err(_) => {
                self.state.counts.barred += 1;
                let mut hands = self.hands(wires);
                hands.refuse(&arrival.id, None);
            }
        }
    }
}
