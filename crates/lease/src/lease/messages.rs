//! Messages between members: received, sent, and those that a member sends to itself.

use std::time::Duration;

use super::interface::Out;
use super::{Lease, Role};
use crate::ids::Term;
use crate::words::Word;

pub(super) enum Owed {
    Say(u16, Word),
    /// Its own vote.
    Own(Term),
}

impl Lease {
    pub(super) fn take(&mut self, from: u16, word: Word) {
        match word {
            Word::Try { above, table } => {
                let yes = self.voter.would(self.now, above, table) && !self.is_chair() && self.life > 0;
                let known = self.known.max(self.voter.kept.term);
                self.say(from, Word::Would { above, yes, known });
            }
            Word::Would { above, yes, known } => {
                self.known = self.known.max(known);
                if let Role::Tries { yes: all, .. } = &mut self.role
                    && yes
                    && above == self.voter.kept.term
                    && !all.contains(&from)
                {
                    all.push(from);
                    self.tried();
                }
            }
            Word::Ask { term, table } => self.asked(from, term, table),
            Word::Vote { term, yes, known, newer } => self.vote_came(from, term, yes, known, newer),
            Word::Beat(beat) => self.beat_came(from, beat),
            Word::Back(back) => self.back_came(from, back),
            Word::Resigns { term } => {
                if self.chair == Some((from, term)) {
                    (self.chair, self.resigned) = (None, term);
                    self.voter.free(self.now);
                    self.try_at = self.now + self.plan.beat().mul_f64(self.part());
                }
            }
            Word::Lost => {
                let (term, sound) = (self.voter.kept.term, self.voter.sound && self.life > 0);
                self.say(from, Word::Have { term, sound, table: self.table().clone() });
            }
            Word::Have { term, sound, table } => {
                if !self.voter.sound && !table.is_odd(self.plan.members) {
                    self.known = self.known.max(term);
                    self.voter.has(from, term, sound, table);
                    self.recovers();
                }
            }
            Word::Move { duty, to } => {
                if let Role::Chairs(chair) = &mut self.role {
                    chair.wants(self.now, duty, to, &self.plan);
                    self.beats();
                }
            }
            Word::Voters { voters } => {
                let odd = voters.iter().enumerate().any(|(n, voter)| voters[..n].contains(voter));
                let odd = odd
                    || ![3, 5, 7].contains(&voters.len())
                    || voters.iter().any(|v| *v >= self.plan.members);
                if let Role::Chairs(chair) = &mut self.role
                    && !odd
                {
                    chair.wants_voters(voters);
                    self.chairs();
                }
            }
        }
    }

    pub(super) fn say(&mut self, to: u16, word: Word) {
        if to == self.plan.me {
            self.own.push_back(word);
        } else {
            self.out.push(Out::Say(to, word));
        }
    }

    pub(super) fn say_voters(&mut self, word: &Word) {
        for voter in self.table().voters.clone() {
            if voter != self.plan.me {
                self.out.push(Out::Say(voter, word.clone()));
            }
        }
    }

    /// What it said to itself, until nothing is left. Each word brings at most one more, but for a table that changes.
    pub(super) fn settle(&mut self) {
        while let Some(word) = self.own.pop_front() {
            self.take(self.plan.me, word);
        }
        self.due = self.next_due();
    }

    /// Has the vote and the table kept; what waits for it goes once they are.
    pub(super) fn keep(&mut self, owed: Vec<Owed>) {
        self.keeps += 1;
        self.owed.insert(self.keeps, owed);
        self.keeping.insert(self.keeps, self.table().id);
        self.out.push(Out::Keep(self.keeps, self.voter.kept.clone()));
    }

    /// What [`Out::Keep`] was given this number for is on disk; or could not be, and is not counted on.
    pub fn kept(&mut self, now: Duration, number: u64, well: bool) {
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
                    Owed::Say(to, word) => self.say(to, word),
                    Owed::Own(term) => self.voted(self.plan.me, term),
                }
            }
            self.say_back();
        } else {
            self.again_at = Some(now + self.plan.lease / 2);
        }
        self.settle();
    }
}
