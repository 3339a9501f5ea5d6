//! Orders about number tables: received from the holder of the duty `publish`, carried out once, and answered.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle_trunk::{DutyAction, PeerMessage, TablesOrder};

use super::Member;
use super::interface::{Effects, MemberEvent};
use super::saves::AfterWrite;
use crate::duties::PUBLISH;

/// Maximum number of number-table orders carried out at once, and of results remembered; further orders are sent again.
const MAX_TABLES_ORDERS: usize = 64;

/// An order that is being carried out.
struct RunningOrder {
    serial: u64,
    /// The member that gets the result.
    from: u16,
}

/// An order that was carried out, or could not be.
struct FinishedOrder {
    serial: u64,
    error: Option<Arc<str>>,
}

/// Orders about number tables: those being carried out, and the latest results.
#[derive(Default)]
pub(super) struct TableOrders {
    running: Vec<RunningOrder>,
    finished: VecDeque<FinishedOrder>,
}

impl TableOrders {
    /// Whether the latest attempt at this order succeeded.
    fn is_done(&self, serial: u64) -> bool {
        let last = self.finished.iter().rev().find(|order| order.serial == serial);
        last.is_some_and(|order| order.error.is_none())
    }

    /// Records which member gets the result of an order; returns whether to carry it out. An order repeated while it is being carried
    /// out is answered to the latest sender; one that exceeds the limit is sent again.
    fn begin(&mut self, serial: u64, from: u16) -> bool {
        let first = !self.running.iter().any(|order| order.serial == serial);
        self.running.retain(|order| order.serial != serial);
        let has_capacity = self.running.len() < MAX_TABLES_ORDERS;
        if has_capacity {
            self.running.push(RunningOrder { serial, from });
        }
        has_capacity && first
    }

    /// Records the result of an order; returns the member that gets it.
    fn end(&mut self, serial: u64, error: Option<Arc<str>>) -> Option<u16> {
        let place = self.running.iter().position(|order| order.serial == serial)?;
        let order = self.running.remove(place);
        if self.finished.len() >= MAX_TABLES_ORDERS {
            self.finished.pop_front();
        }
        self.finished.push_back(FinishedOrder { serial, error });
        Some(order.from)
    }
}

impl Member {
    /// An order about number tables was received from the holder of `publish`, possibly this member. It is carried out once.
    pub(super) fn tables_order_received(
        &mut self, from: u16, action: &DutyAction, serial: u64, order: TablesOrder, effects: &mut dyn Effects,
    ) {
        let retry = || AfterWrite::CarryOutTablesOrder { from, act: *action, serial, order: order.clone() };
        if !self.admits_duty_action(from, action, retry, effects) {
            return;
        }
        if self.table_orders.is_done(serial) {
            return self.answer_order(from, serial, None);
        }
        if self.table_orders.begin(serial, from) {
            self.events.push(MemberEvent::CarryOutTablesOrder(serial, order));
        }
    }

    fn answer_order(&mut self, to: u16, serial: u64, why: Option<Arc<str>>) {
        let (now, incarnation) = (self.now, self.incarnations.current());
        if to != self.plan.self_member {
            self.outgoing_messages.push((to, PeerMessage::Published { serial, why }));
        } else if let Some(duties) = &mut self.duties {
            duties.member_published(now, to, incarnation, serial, why.as_deref());
        }
    }

    /// Takes the result of an order about number tables, a [`MemberEvent::CarryOutTablesOrder`] among others.
    pub fn tables_order_done(&mut self, now: Duration, serial: u64, why: Option<&str>) {
        self.now = now;
        let error: Option<Arc<str>> = why.map(Arc::from);
        if let Some(from) = self.table_orders.end(serial, error.clone()) {
            self.answer_order(from, serial, error);
        }
    }

    /// Requests that a generation of number tables be put in force on all members; returns false if no holder is reachable.
    pub fn publish(&mut self, now: Duration, name: &str) -> bool {
        self.now = now;
        let Some(duties) = &mut self.duties else { return false };
        match duties.holder(PUBLISH) {
            Some(holder) if holder == self.plan.self_member => duties.request_publish(now, name),
            Some(holder) => {
                let is_linked = self.peers.link_to(holder).is_some();
                self.outgoing_messages.push((holder, PeerMessage::PublishRequest { name: name.into() }));
                is_linked
            }
            None => false,
        }
    }
}
