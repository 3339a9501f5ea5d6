//! Messages between members: received, sent, and those that a member sends to itself.

use std::time::Duration;

use super::interface::Effect;
use super::{Lease, Role};
use crate::ids::Term;
use crate::messages::LeaseMessage;

pub(super) enum Owed {
    Send(u16, LeaseMessage),
    /// Its own vote.
    Own(Term),
}

impl Lease {
    pub(super) fn take(&mut self, from: u16, word: LeaseMessage) {
        match word {
            LeaseMessage::PreVoteRequest { above_term: above, table } => {
                let yes = self.voter.would(self.now, above, table) && !self.is_leader() && self.life > 0;
                let known = self.known.max(self.voter.state.term);
                self.say(
                    from,
                    LeaseMessage::PreVoteReply { above_term: above, granted: yes, highest_term: known },
                );
            }
            LeaseMessage::PreVoteReply { above_term: above, granted: yes, highest_term: known } => {
                self.known = self.known.max(known);
                if let Role::Tries { yes: all, .. } = &mut self.role
                    && yes
                    && above == self.voter.state.term
                    && !all.contains(&from)
                {
                    all.push(from);
                    self.tried();
                }
            }
            LeaseMessage::VoteRequest { term, table } => self.asked(from, term, table),
            LeaseMessage::VoteReply { term, granted: yes, highest_term: known, newer_table: newer } => {
                self.vote_came(from, term, yes, known, newer)
            }
            LeaseMessage::Heartbeat(beat) => self.beat_came(from, beat),
            LeaseMessage::HeartbeatReply(back) => self.back_came(from, back),
            LeaseMessage::LeaderResigned { term } => {
                if self.chair == Some((from, term)) {
                    (self.chair, self.resigned) = (None, term);
                    self.voter.free(self.now);
                    self.try_at = self.now + self.plan.heartbeat_interval().mul_f64(self.part());
                }
            }
            LeaseMessage::StateLost => {
                let (term, sound) = (self.voter.state.term, self.voter.is_consistent && self.life > 0);
                self.say(
                    from,
                    LeaseMessage::StateReply { term, is_consistent: sound, table: self.table().clone() },
                );
            }
            LeaseMessage::StateReply { term, is_consistent: sound, table } => {
                if !self.voter.is_consistent && !table.is_malformed(self.plan.member_count) {
                    self.known = self.known.max(term);
                    self.voter.has(from, term, sound, table);
                    self.recovers();
                }
            }
            LeaseMessage::MoveDuty { duty, to } => {
                if let Role::Leads(chair) = &mut self.role {
                    chair.wants(self.now, duty, to, &self.plan);
                    self.beats();
                }
            }
            LeaseMessage::ChangeVoters { voters } => {
                let odd = voters.iter().enumerate().any(|(n, voter)| voters[..n].contains(voter));
                let odd = odd
                    || ![3, 5, 7].contains(&voters.len())
                    || voters.iter().any(|v| *v >= self.plan.member_count);
                if let Role::Leads(chair) = &mut self.role
                    && !odd
                {
                    chair.wants_voters(voters);
                    self.chairs();
                }
            }
        }
    }

    pub(super) fn say(&mut self, to: u16, word: LeaseMessage) {
        if to == self.plan.self_member {
            self.own.push_back(word);
        } else {
            self.out.push(Effect::Send(to, word));
        }
    }

    pub(super) fn say_voters(&mut self, word: &LeaseMessage) {
        for voter in self.table().voters.clone() {
            if voter != self.plan.self_member {
                self.out.push(Effect::Send(voter, word.clone()));
            }
        }
    }

    /// What it said to itself, until nothing is left. Each word brings at most one more, but for a table that changes.
    pub(super) fn settle(&mut self) {
        while let Some(word) = self.own.pop_front() {
            self.take(self.plan.self_member, word);
        }
        self.due = self.next_due();
    }

    /// Has the vote and the table kept; what waits for it goes once they are.
    pub(super) fn keep(&mut self, owed: Vec<Owed>) {
        self.keeps += 1;
        self.owed.insert(self.keeps, owed);
        self.keeping.insert(self.keeps, self.table().id);
        self.out.push(Effect::Persist(self.keeps, self.voter.state.clone()));
    }

    /// What [`Effect::Persist`] was given this number for is on disk; or could not be, and is not counted on.
    pub fn state_persisted(&mut self, now: Duration, number: u64, well: bool) {
        self.now = now;
        let later = self.owed.split_off(&(number + 1));
        let owed = std::mem::replace(&mut self.owed, later);
        let later = self.keeping.split_off(&(number + 1));
        let tables = std::mem::replace(&mut self.keeping, later);
        if well {
            if let Some(table) = tables.into_values().max() {
                self.durable = self.durable.max(table);
            }
            for owed in owed.into_values().flatten() {
                match owed {
                    Owed::Send(to, word) => self.say(to, word),
                    Owed::Own(term) => self.voted(self.plan.self_member, term),
                }
            }
            self.say_back();
        } else {
            self.again_at = Some(now + self.plan.lease_duration / 2);
        }
        self.settle();
    }
}
