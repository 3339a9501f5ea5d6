//! Flooding: a member sends its own register to all neighbours and registers of other members to a few of them, with at most one message
//! to each neighbour in a round and within an allowance of bytes.

use std::time::Duration;

use crate::MemberIndex;
use crate::allowance::Allowance;
use crate::member_set::MemberSet;
use crate::message::{MAX_REGISTERS, Message};
use crate::overlay::Overlay;
use crate::register_table::RegisterTable;

/// The number of neighbours that a member chooses as relays; it also relays registers to neighbours that chose it.
const RELAY_NEIGHBOURS: usize = 4;

const BYTES_PER_SECOND: u32 = 4_500;
const BURST_BYTES: u32 = 28_000;

/// The registers that are still to be sent to each neighbour.
pub(crate) struct Spreading {
    own_index: MemberIndex,
    /// For each neighbour, the members whose registers are to be sent to it.
    pending: Vec<MemberSet>,
    /// For each neighbour, the first member of the list whose register the next message may contain; it advances with each message, so
    /// that every register is sent eventually.
    cursors: Vec<MemberIndex>,
    /// One bit for each neighbour to which registers of others are relayed.
    relays: u16,
    /// The position of the neighbour with which the next round starts.
    first_position: usize,
    allowance: Allowance,
}

impl Spreading {
    /// Starts with no registers to send.
    pub(crate) fn new(now: Duration, own_index: MemberIndex, overlay: &Overlay) -> Self {
        let neighbours = overlay.neighbours(own_index).len();
        Self {
            own_index,
            pending: vec![MemberSet::empty(overlay.members()); neighbours],
            cursors: vec![own_index; neighbours],
            relays: relays(overlay, own_index, |_| 0),
            first_position: 0,
            allowance: Allowance::new(now, BYTES_PER_SECOND, BURST_BYTES),
        }
    }

    /// Schedules the changed own register for all neighbours.
    pub(crate) fn own_changed(&mut self) {
        for position in 0..self.pending.len() {
            self.pending[position].insert(self.own_index);
            self.cursors[position] = self.own_index;
        }
    }

    /// Schedules a register received from a neighbour for all other relays.
    pub(crate) fn schedule_relay(&mut self, member: MemberIndex, from: usize) {
        for position in 0..self.pending.len() {
            if position != from && self.is_relay(position) {
                self.pending[position].insert(member);
            }
        }
    }

    /// Cancels sending a register that the neighbour is known to have.
    pub(crate) fn cancel_relay(&mut self, position: usize, member: MemberIndex) {
        self.pending[position].remove(member);
    }

    /// Chooses the relays again; a new relay is sent the recently replaced registers.
    pub(crate) fn choose_relays(
        &mut self, overlay: &Overlay, unheard: impl Fn(MemberIndex) -> u16,
        recent: impl FnOnce() -> Vec<MemberIndex>,
    ) {
        let chosen = relays(overlay, self.own_index, unheard);
        let added = chosen & !self.relays;
        let removed = self.relays & !chosen;
        self.relays = chosen;
        let recent = if added == 0 { Vec::new() } else { recent() };
        for position in 0..self.pending.len() {
            if removed >> position & 1 == 1 {
                self.retain_own_register(position);
            }
            if added >> position & 1 == 1 {
                recent.iter().for_each(|member| {
                    self.pending[position].insert(*member);
                });
            }
        }
    }

    /// Whether any register is to be sent.
    pub(crate) fn has_work(&self) -> bool {
        self.pending.iter().any(|pending| !pending.is_empty())
    }

    /// The messages of a round, each with the position of its recipient: at most one for each neighbour, until the allowance is used up.
    pub(crate) fn round(&mut self, now: Duration, table: &RegisterTable) -> Vec<(usize, Message)> {
        let neighbours = self.pending.len();
        let mut messages = Vec::new();
        for step in 0..neighbours {
            let position = (self.first_position + step) % neighbours;
            if self.pending[position].is_empty() {
                continue;
            }
            let Some(message) = self.next_message(now, position, table) else {
                self.first_position = position;
                return messages;
            };
            messages.push((position, message));
        }
        messages
    }

    fn next_message(&mut self, now: Duration, position: usize, table: &RegisterTable) -> Option<Message> {
        let cursor = self.cursors[position];
        let mut members = self.pending[position].take_from(cursor, MAX_REGISTERS);
        let last = *members.last()?;
        members.sort_unstable();
        let message = Message::Registers(members.iter().map(|member| table.entry(*member)).collect());
        if !self.allowance.take(now, message.encode().len()) {
            return None;
        }
        members.iter().for_each(|member| self.pending[position].remove(*member));
        self.cursors[position] = last.saturating_add(1);
        Some(message)
    }

    fn retain_own_register(&mut self, position: usize) {
        let had_own = self.pending[position].contains(self.own_index);
        self.pending[position].clear();
        if had_own {
            self.pending[position].insert(self.own_index);
        }
    }

    fn is_relay(&self, position: usize) -> bool {
        self.relays >> position & 1 == 1
    }
}

/// One bit for each neighbour to which `own_index` relays registers: those that it chooses ([`first_heard`]) and those that choose it.
/// Both ends of an edge compute the same result if they know the same registers.
fn relays(overlay: &Overlay, own_index: MemberIndex, unheard: impl Fn(MemberIndex) -> u16) -> u16 {
    let chosen_locally = first_heard(overlay, own_index, &unheard);
    let edges = overlay.neighbours(own_index).iter().zip(overlay.mirrored(own_index)).enumerate();
    edges.fold(chosen_locally, |bits, (position, (neighbour, mirrored))| {
        let is_chosen_remotely = first_heard(overlay, *neighbour, &unheard) >> mirrored & 1;
        bits | is_chosen_remotely << position
    })
}

/// One bit for each of the first [`RELAY_NEIGHBOURS`] neighbours of a member whose edge neither end reports as unheard.
fn first_heard(overlay: &Overlay, member: MemberIndex, unheard: &impl Fn(MemberIndex) -> u16) -> u16 {
    let reported = unheard(member);
    let edges = overlay.neighbours(member).iter().zip(overlay.mirrored(member)).enumerate();
    let intact_edges = edges.filter(|(position, (neighbour, mirrored))| {
        reported >> position & 1 == 0 && unheard(**neighbour) >> **mirrored & 1 == 0
    });
    intact_edges.take(RELAY_NEIGHBOURS).fold(0, |bits, (position, _)| bits | 1 << position)
}

#[cfg(test)]
#[path = "../tests/unit/spreading.rs"]
mod tests;
