//! Orders about number tables: received from the holder of the duty `publish`, carried out once, and answered.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle_trunk::{Act, Peer, TablesOrder};

use super::Member;
use super::interface::{Finding, Ways};
use super::saves::Unsaved;
use crate::duties::PUBLISH;

/// Orders about number tables carried out at once, and remembered, at most; one beyond it comes again.
pub(super) const MOST_ORDERS: usize = 64;

impl Member {
    /// An order about number tables came from whoever holds `publish`, perhaps this member. It is carried out once.
    pub(super) fn ordered(
        &mut self, from: u16, act: &Act, serial: u64, order: TablesOrder, ways: &mut dyn Ways,
    ) {
        let again = || Unsaved::Ordered(from, *act, serial, order.clone());
        if !self.may(from, act, again, ways) {
            return;
        }
        if let Some((_, why)) = self.tabled.iter().rev().find(|(done, _)| *done == serial).cloned()
            && why.is_none()
        {
            return self.answer_order(from, serial, why);
        }
        // Asked again while it is being read: whoever asked last is told.
        let first = !self.orders.iter().any(|(known, _)| *known == serial);
        self.orders.retain(|(known, _)| *known != serial);
        if self.orders.len() < MOST_ORDERS {
            self.orders.push((serial, from));
            if first {
                self.findings.push(Finding::Tables(serial, order));
            }
        }
    }

    fn answer_order(&mut self, to: u16, serial: u64, why: Option<Arc<str>>) {
        let (now, life) = (self.now, self.lives.mine());
        if to != self.plan.me {
            self.to_say.push((to, Peer::Published { serial, why }));
        } else if let Some(duties) = &mut self.duties {
            duties.published(now, to, life, serial, why.as_deref());
        }
    }

    /// What came of an order about number tables, a [`Finding::Tables`] among others.
    pub fn tabled(&mut self, now: Duration, serial: u64, why: Option<&str>) {
        self.now = now;
        let Some(place) = self.orders.iter().position(|(known, _)| *known == serial) else { return };
        let (_, from) = self.orders.remove(place);
        let why: Option<Arc<str>> = why.map(Arc::from);
        if self.tabled.len() >= MOST_ORDERS {
            self.tabled.pop_front();
        }
        self.tabled.push_back((serial, why.clone()));
        self.answer_order(from, serial, why);
    }

    /// A generation of number tables is wanted in force on all members; false: nobody is there to do it.
    pub fn publish(&mut self, now: Duration, name: &str) -> bool {
        self.now = now;
        let Some(duties) = &mut self.duties else { return false };
        match duties.holder(PUBLISH) {
            Some(holder) if holder == self.plan.me => duties.want(now, name),
            Some(holder) => {
                let there = self.peers.to(holder).is_some();
                self.to_say.push((holder, Peer::Wanted { name: name.into() }));
                there
            }
            None => false,
        }
    }
}
