//! Disk writes and what waits for them: an acknowledgement or a promise is sent only once it is on disk.

use std::time::Duration;

use lotussaddle::interface::ServerId;
use lotussaddle_trunk::{Act, Frame, Peer, Replaced, TablesOrder, copy_bytes};

use super::Member;
use super::batches::in_frames;
use super::interface::{Save, Ways};
use super::streams::A_TURN;
use crate::peers::PeerLink;

/// What waits for the disk.
pub(super) enum Unsaved {
    Know(u16, Peer),
    Kept(u16, u64, u64, Vec<Replaced>),
    Given(PeerLink, u64, u64),
    /// Acts of duties under a number that was new.
    Check(u16, Act, ServerId),
    Ordered(u16, Act, u64, TablesOrder),
}

impl Member {
    /// Sends what came up in this turn: acknowledgements, writes, what is to be kept on disk.
    pub fn flush(&mut self, now: Duration, ways: &mut dyn Ways) {
        self.now = now;
        self.settle_duties(ways);
        let changed = std::mem::take(&mut self.changed);
        let mut owed = Vec::new();
        for (place, incoming) in self.incoming.iter_mut().enumerate() {
            let replaced = std::mem::take(&mut incoming.replaced);
            let up_to = if incoming.synced && std::mem::take(&mut incoming.owed) { incoming.have } else { 0 };
            if up_to > 0 || !replaced.is_empty() {
                owed.push((place as u16, incoming.life, up_to, replaced));
            }
        }
        // An acknowledgement says that it is kept: on disk, where there is one, and with all that came before it.
        if !changed.is_empty() && !ways.keeps() {
            self.saves += 1;
            self.saved = self.saved.max(self.saves);
        } else if !changed.is_empty() {
            let copies = changed.into_iter().map(|id| {
                let copy = self.book.get(&id).map(|copy| copy_bytes(&copy.sent(now, &id)));
                Save::Copy(id, copy)
            });
            let copies: Vec<Save> = copies.collect();
            self.order(copies, ways);
        }
        let kept = owed
            .into_iter()
            .map(|(member, life, up_to, replaced)| Unsaved::Kept(member, life, up_to, replaced));
        let known =
            std::mem::take(&mut self.known).into_iter().map(|(member, peer)| Unsaved::Know(member, peer));
        let waits: Vec<Unsaved> = kept.chain(known).collect();
        if self.ordered > self.reported {
            self.unsaved.entry(self.ordered).or_default().extend(waits);
        } else {
            waits.into_iter().for_each(|unsaved| self.is_saved(unsaved, ways));
        }
        for (member, peer) in std::mem::take(&mut self.to_say) {
            if let Some(link) = self.peers.to(member) {
                self.tell(link, Frame::Peer(peer), ways);
            }
        }
        if self.lives.mine() == 0 {
            return;
        }
        for member in 0..self.plan.members.len() as u16 {
            if !self.resumed[usize::from(member)] || !self.book.stream(member).waits() {
                continue;
            }
            let Some(link) = self.peers.to(member) else { continue };
            if self.book.stream(member).overrun() {
                self.close(link, "too far behind: it begins anew with a snapshot", ways);
                continue;
            }
            let Some((mut first, copies)) = self.book.next_copies(now, member, A_TURN) else { continue };
            let life = self.lives.mine();
            for copies in in_frames(copies) {
                let count = copies.len() as u64;
                self.counts.copies_sent += count;
                if !self.tell(link, Frame::Peer(Peer::Copies { life, first, copies }), ways) {
                    break;
                }
                first += count;
            }
        }
    }

    /// Has it kept on disk; gives the order's number, none where there is no disk to wait for.
    pub(super) fn order(&mut self, mut what: Vec<Save>, ways: &mut dyn Ways) -> Option<u64> {
        self.saves += 1;
        what.push(Save::Count(self.saves));
        if ways.save(what, self.saves) {
            self.ordered = self.saves;
            return Some(self.saves);
        }
        // What is kept in memory alone counts too: a disk that lacks it is told by that.
        self.saved = self.saved.max(self.saves);
        None
    }

    fn say_kept(&mut self, member: u16, life: u64, up_to: u64, replaced: Vec<Replaced>, ways: &mut dyn Ways) {
        if let Some(link) = self.peers.to(member) {
            let saved = self.saved;
            self.tell(link, Frame::Peer(Peer::Kept { life, up_to, saved, replaced }), ways);
        }
    }

    /// What `Ways::save` was given this number for is on disk; or it failed, and nothing more is kept there.
    pub fn saved(&mut self, now: Duration, number: u64, well: bool, ways: &mut dyn Ways) {
        self.now = now;
        if well {
            self.saved = self.saved.max(number);
        }
        self.reported = self.reported.max(number);
        self.duties.iter_mut().for_each(|duties| duties.saved(now, number, well));
        // Not kept: not acknowledged. The owner goes by whoever else has it.
        for unsaved in self.unsaved.remove(&number).unwrap_or_default().into_iter().filter(|_| well) {
            self.is_saved(unsaved, ways);
        }
    }

    fn is_saved(&mut self, unsaved: Unsaved, ways: &mut dyn Ways) {
        match unsaved {
            Unsaved::Know(member, peer) => {
                if let Some(link) = self.peers.to(member) {
                    self.tell(link, Frame::Peer(peer), ways);
                }
            }
            Unsaved::Kept(member, life, up_to, replaced) => {
                self.say_kept(member, life, up_to, replaced, ways);
            }
            Unsaved::Check(from, act, server) => self.check(from, &act, &server, ways),
            Unsaved::Ordered(from, act, serial, order) => self.ordered(from, &act, serial, order, ways),
            Unsaved::Given(link, life, highest) => {
                if self.peers.links.contains_key(&link) {
                    self.tell(link, Frame::Peer(Peer::Life { life, given: true, highest }), ways);
                }
            }
        }
    }
}
