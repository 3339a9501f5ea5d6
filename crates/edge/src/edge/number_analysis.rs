//! Dialled numbers: their analysis, look-ups, and the tables in force.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{Arrival, ProductId, ServerNumber, Signalling};
use lotussaddle_numbers::Tables;
use lotussaddle_trunk::{Dial, Frame, TablesOrder};

use super::Edge;
use crate::held::Stage;
use crate::links::Peer;
use crate::numbers::AnalysisResult;
use crate::signalling::ModuleSignalling;
use crate::{Decisions, EdgeEffects, LinkId, LogTopic};

impl<D: Decisions> Edge<D> {
    /// A datagram of a look-up server was received.
    pub fn look_up_reply_received(
        &mut self, now: Duration, server: usize, datagram: &[u8], effects: &mut dyn EdgeEffects,
    ) {
        self.state.now = now;
        if let Some(numbers) = &mut self.numbers {
            numbers.reply_received(now, server, datagram, effects);
        }
        self.expire_deadlines(effects);
        self.process_number_analysis(effects);
        self.finish_input(effects);
    }

    /// Result of [`EdgeEffects::load_tables`].
    pub fn tables_loaded(
        &mut self, now: Duration, name: &str, tables: Result<Arc<Tables>, String>,
        effects: &mut dyn EdgeEffects,
    ) {
        self.state.now = now;
        if let Some(numbers) = &mut self.numbers {
            if let Err(why) = &tables {
                effects.log(LogTopic::Link, &format!("generation {name} rejected:\n{why}"));
            }
            numbers.tables_loaded(now, name, tables, effects);
        }
        self.process_number_analysis(effects);
        self.finish_input(effects);
    }

    /// An order about tables from a source other than the list; [`EdgeEffects::tables_order_done`] reports its result.
    pub fn order_tables(
        &mut self, now: Duration, serial: u64, order: TablesOrder, effects: &mut dyn EdgeEffects,
    ) {
        self.state.now = now;
        match &mut self.numbers {
            Some(numbers) => numbers.order_received(now, serial, order, effects),
            None => effects.tables_order_done(serial, Some("numbers are not analysed here")),
        }
        self.process_number_analysis(effects);
        self.finish_input(effects);
    }

    /// An order about tables from the pool list.
    pub(super) fn tables_order_received(
        &mut self, link: LinkId, serial: u64, order: TablesOrder, effects: &mut dyn EdgeEffects,
    ) {
        let now = self.state.now;
        match &mut self.numbers {
            Some(numbers) => numbers.order_received(now, serial, order, effects),
            None => {
                let why = Some(Arc::from("numbers are not analysed here"));
                self.signalling(effects)
                    .send_frame(link, Frame::TablesResult { serial, in_force: 0, name: None, why });
            }
        }
        self.process_number_analysis(effects);
    }

    /// Starts the analysis of a dialled number; the dialogue waits if a look-up is needed.
    pub(super) fn analyse(&mut self, dial: &Dial, arrival: Arrival, effects: &mut dyn EdgeEffects) {
        let Some(numbers) = &mut self.numbers else { return };
        self.state.counts.analysed += 1;
        let id = arrival.id.clone();
        match numbers.start_analysis(self.state.now, dial, arrival, effects) {
            Some(found) => self.number_analysed(found, effects),
            None => {
                self.state.counts.looked_up += 1;
                if let Some(held) = self.state.held.get_mut(&id) {
                    held.stage = Stage::LookingUpNumber;
                }
            }
        }
    }

    /// Frees generations of tables that are no longer used.
    pub(super) fn release_unused_tables(&mut self, effects: &mut dyn EdgeEffects) {
        let unused = self.numbers.as_mut().map(|numbers| numbers.generations.take_gone()).unwrap_or_default();
        if !unused.is_empty() {
            effects.drop_tables(unused);
        }
    }

    /// Processes look-ups that were answered or timed out, swaps that are due, and reports on orders.
    pub(super) fn process_number_analysis(&mut self, effects: &mut dyn EdgeEffects) {
        let Some(numbers) = &mut self.numbers else { return };
        let (found, unanswered) = numbers.process_due(self.state.now, effects);
        let reports = numbers.take_reports();
        self.state.counts.unanswered += unanswered;
        for found in found {
            self.number_analysed(found, effects);
            self.report_launch_ends(effects);
        }
        if !reports.is_empty() {
            self.report_table_orders(reports, effects);
        }
    }

    /// Reports the results of orders about tables to the list, if its link is open, and to the I/O driver.
    fn report_table_orders(&mut self, reports: Vec<Frame>, effects: &mut dyn EdgeEffects) {
        let list =
            self.state.links.iter().find(|(_, link)| matches!(link.peer, Peer::List) && link.handshake_done);
        let list = list.map(|(id, _)| *id);
        for report in reports {
            if let Frame::TablesResult { serial, in_force, name, why } = &report {
                effects.tables_order_done(*serial, why.as_deref());
                let (name, why) = (name.as_deref().unwrap_or("-"), why.as_deref().unwrap_or("done"));
                effects.log(
                    LogTopic::Mode,
                    &format!("tables: order {serial} on {name}: {why}; in force is swap {in_force}"),
                );
            }
            if let Some(list) = list {
                self.signalling(effects).send_frame(list, report);
            }
        }
    }

    /// Passes an analysed dialogue to the decisions, or refuses it.
    fn number_analysed(&mut self, (mut arrival, found): AnalysisResult, effects: &mut dyn EdgeEffects) {
        let Some(held) = self.state.held.get_mut(&arrival.id) else { return };
        held.stage = Stage::Waiting;
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
                let mut signalling = ModuleSignalling { state: &mut self.state, effects };
                self.brain.dialogue_arrived(signalling.state.now, arrival, &mut signalling);
            }
            Err(_) => {
                self.state.counts.barred += 1;
                let mut signalling = self.signalling(effects);
                signalling.refuse(&arrival.id, None);
            }
        }
    }
}
