//! Election: a trial vote, a vote that is kept on disk, and the end of a candidacy or a term.

use super::dispatch::Owed;
use super::interface::Effect;
use super::{Lease, Role};
use crate::clock::extended_for_drift;
use crate::ids::{TableId, Term};
use crate::leader::Leadership;
use crate::messages::LeaseMessage;
use crate::random::draw;
use crate::table::Table;

impl Lease {
    /// A part of one, drawn: those who would try at once are spread by it.
    pub(super) fn part(&mut self) -> f64 {
        draw(&mut self.chance) as f64 / (1u64 << 31) as f64
    }

    pub(super) fn waits_to_try(&mut self) {
        let promise = self.plan.vote_lock_duration();
        self.try_at = self.now + extended_for_drift(promise) + promise.mul_f64(self.part() / 2.0);
    }

    pub(super) fn try_it(&mut self) {
        self.waits_to_try();
        if !self.table().is_voter(self.plan.self_member)
            || !self.voter.is_consistent
            || self.ending
            || self.life == 0
        {
            return;
        }
        // What others know is known here too, before it asks.
        self.voter.state.term = self.voter.state.term.max(self.known);
        if self.voter.is_promised(self.now) {
            return;
        }
        let at = self.now + self.plan.vote_lock_duration() / 2;
        self.role = Role::Tries { yes: vec![self.plan.self_member], at };
        let word = LeaseMessage::PreVoteRequest { above_term: self.voter.state.term, table: self.table().id };
        self.say_voters(&word);
        self.tried();
    }

    pub(super) fn tried(&mut self) {
        let Role::Tries { yes, .. } = &self.role else { return };
        if yes.len() < self.table().majority() {
            return;
        }
        let drawn = draw(&mut self.chance);
        let term = self.voter.state.term.max(self.known).next(self.plan.self_member, drawn);
        let table = self.table().id;
        if self.voter.vote(self.now, term, table).is_none() {
            return;
        }
        self.known = self.known.max(term);
        let at = self.now + self.plan.vote_lock_duration();
        self.role = Role::Asks { term, yes: Vec::new(), at };
        let word = LeaseMessage::VoteRequest { term, table };
        let others = self.table().voters.iter().filter(|voter| **voter != self.plan.self_member);
        let mut owed: Vec<Owed> = others.map(|voter| Owed::Send(*voter, word.clone())).collect();
        owed.push(Owed::Own(term));
        self.keep(owed);
    }

    pub(super) fn asked(&mut self, from: u16, term: Term, table: TableId) {
        self.known = self.known.max(term);
        let newer = (self.table().id > table).then(|| self.table().clone());
        // Whether its disk is older than what it said is known once its life is agreed on.
        let given = if self.life > 0 { self.voter.vote(self.now, term, table) } else { None };
        let known = self.known;
        let vote = LeaseMessage::VoteReply {
            term,
            granted: given.is_some(),
            highest_term: known,
            newer_table: newer,
        };
        match given {
            None => self.say(from, vote),
            Some(_) => {
                self.step_down("another is voted for");
                self.waits_to_try();
                // A vote is kept before it is said; one that was given before may be on its way to the disk yet.
                self.keep(vec![Owed::Send(from, vote)]);
            }
        }
    }

    pub(super) fn vote_came(&mut self, from: u16, term: Term, yes: bool, known: Term, newer: Option<Table>) {
        self.known = self.known.max(known);
        if let Some(table) =
            newer.filter(|table| !table.is_malformed(self.plan.member_count) && table.id > self.table().id)
        {
            // With this it may be elected another time.
            self.voter.state.table = table;
            self.keep(Vec::new());
        }
        if yes {
            return self.voted(from, term);
        }
        let outvoted = match &self.role {
            Role::Asks { term: mine, .. } => *mine == term,
            Role::Leads(chair) => known > chair.term,
            _ => false,
        };
        if outvoted {
            self.step_down("a later term is known");
            self.waits_to_try();
        }
    }

    pub(super) fn voted(&mut self, from: u16, voted: Term) {
        let majority = self.table().majority();
        let is_voter = self.table().is_voter(from);
        let Role::Asks { term, yes, .. } = &mut self.role else { return };
        if *term != voted || !is_voter || yes.contains(&from) {
            return;
        }
        yes.push(from);
        // Its own vote has to be kept as well.
        if yes.len() < majority || !yes.contains(&self.plan.self_member) {
            return;
        }
        let term = *term;
        self.out.push(Effect::Log(format!("chair of term {}", term.count())));
        self.role = Role::Leads(Box::new(Leadership::new(self.now, term, &self.plan)));
        // What was known is said again under this term: only what is agreed under it counts.
        self.voter.state.table.id = TableId { term, version: 1 };
        self.keep(Vec::new());
        self.beats();
    }

    pub(super) fn step_down(&mut self, why: &str) {
        if self.is_leader() {
            self.out.push(Effect::Log(format!("chair no more: {why}")));
        }
        if !matches!(self.role, Role::Follows) {
            self.role = Role::Follows;
            self.waits_to_try();
        }
    }

    pub(super) fn recovers(&mut self) {
        if self.voter.recovers(self.now, self.plan.self_member) {
            self.out.push(Effect::Log("votes again: others have told what was lost".into()));
            self.keep(Vec::new());
            self.waits_to_try();
        }
    }
}
