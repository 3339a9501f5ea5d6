//! The elected member: heartbeats to all, and changes to the table as answers and time bring them.

use super::interface::Out;
use super::{Lease, Role};
use crate::words::{Back, Word};

impl Lease {
    pub(super) fn beats(&mut self) {
        let (now, me) = (self.now, self.plan.me);
        let Role::Chairs(chair) = &mut self.role else { return };
        chair.begin_beats(now);
        chair.beat_at = now + self.plan.beat();
        let table = &self.voter.kept.table;
        let words: Vec<(u16, Word)> = (0..self.plan.members)
            .map(|member| (member, Word::Beat(chair.beat(now, member, table, &self.plan))))
            .collect();
        for (member, word) in words {
            // Itself last, so that others hear before what follows from its own answer.
            if member != me {
                self.out.push(Out::Say(member, word));
            } else {
                self.own.push_back(word);
            }
        }
    }

    /// What an answer, or time, has brought.
    pub(super) fn chairs(&mut self) {
        let now = self.now;
        let Role::Chairs(chair) = &mut self.role else { return };
        let table = &self.voter.kept.table;
        let mut news = chair.count(table);
        if let Some(next) = chair.decide(now, table, &self.plan) {
            self.voter.kept.table = next;
            self.keep(Vec::new());
            news = true;
        } else if self.ending && chair.agreed && !table.seats.iter().any(|seat| seat.member == self.plan.me) {
            let term = chair.term;
            // Whoever follows it in a duty has to hear that this is agreed on.
            self.beats();
            self.step_down("its process is to end");
            self.voter.free(now);
            (self.chair, self.resigned) = (None, term);
            for member in (0..self.plan.members).filter(|member| *member != self.plan.me) {
                self.out.push(Out::Say(member, Word::Resigns { term }));
            }
            return;
        }
        let Role::Chairs(chair) = &mut self.role else { return };
        // Without a majority for longer than anyone has promised, it gives up by itself.
        let until = chair.until(&self.voter.kept.table, self.plan.promise()).max(chair.began);
        if now >= until + self.plan.lease || self.voter.kept.term > chair.term {
            return self.step_down("no majority hears it");
        }
        if news || chair.beat_at <= now {
            self.beats();
        }
    }

    pub(super) fn back_came(&mut self, from: u16, back: Back) {
        let Role::Chairs(chair) = &mut self.role else { return };
        if back.term == chair.term && chair.heard(self.now, from, back, &self.plan) {
            self.chairs();
        }
    }
}
