//! The elected member: heartbeats to all, and changes to the table as answers and time bring them.

use super::interface::Effect;
use super::{Lease, Role};
use crate::messages::{HeartbeatReply, LeaseMessage};

impl Lease {
    pub(super) fn beats(&mut self) {
        let (now, me) = (self.now, self.plan.self_member);
        let Role::Leads(chair) = &mut self.role else { return };
        chair.begin_beats(now);
        chair.beat_at = now + self.plan.heartbeat_interval();
        let table = &self.voter.state.table;
        let words: Vec<(u16, LeaseMessage)> = (0..self.plan.member_count)
            .map(|member| (member, LeaseMessage::Heartbeat(chair.beat(now, member, table, &self.plan))))
            .collect();
        for (member, word) in words {
            // Itself last, so that others hear before what follows from its own answer.
            if member != me {
                self.out.push(Effect::Send(member, word));
            } else {
                self.own.push_back(word);
            }
        }
    }

    /// What an answer, or time, has brought.
    pub(super) fn chairs(&mut self) {
        let now = self.now;
        let Role::Leads(chair) = &mut self.role else { return };
        let table = &self.voter.state.table;
        let mut news = chair.count(table);
        if let Some(next) = chair.decide(now, table, &self.plan) {
            self.voter.state.table = next;
            self.keep(Vec::new());
            news = true;
        } else if self.ending
            && chair.agreed
            && !table.assignments.iter().any(|seat| seat.member == self.plan.self_member)
        {
            let term = chair.term;
            // Whoever follows it in a duty has to hear that this is agreed on.
            self.beats();
            self.step_down("its process is to end");
            self.voter.free(now);
            (self.chair, self.resigned) = (None, term);
            for member in (0..self.plan.member_count).filter(|member| *member != self.plan.self_member) {
                self.out.push(Effect::Send(member, LeaseMessage::LeaderResigned { term }));
            }
            return;
        }
        let Role::Leads(chair) = &mut self.role else { return };
        // Without a majority for longer than anyone has promised, it gives up by itself.
        let until = chair.until(&self.voter.state.table, self.plan.vote_lock_duration()).max(chair.began);
        if now >= until + self.plan.lease_duration || self.voter.state.term > chair.term {
            return self.step_down("no majority hears it");
        }
        if news || chair.beat_at <= now {
            self.beats();
        }
    }

    pub(super) fn back_came(&mut self, from: u16, back: HeartbeatReply) {
        let Role::Leads(chair) = &mut self.role else { return };
        if back.term == chair.term && chair.heard(self.now, from, back, &self.plan) {
            self.chairs();
        }
    }
}
