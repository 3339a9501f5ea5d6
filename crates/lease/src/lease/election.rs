//! Election: a pre-vote, a vote that is persisted, and the end of a candidacy or a term.

use super::dispatch::DeferredAction;
use super::interface::Effect;
use super::{Lease, Role};
use crate::clock::extended_for_drift;
use crate::ids::{TableId, Term};
use crate::leader::Leadership;
use crate::messages::LeaseMessage;
use crate::random::next_random;
use crate::table::Table;

impl Lease {
    /// A random number from 0 to 1: it spreads candidacies that would otherwise start at once.
    pub(super) fn random_fraction(&mut self) -> f64 {
        next_random(&mut self.random_state) as f64 / (1u64 << 31) as f64
    }

    pub(super) fn schedule_candidacy(&mut self) {
        let vote_lock = self.plan.vote_lock_duration();
        self.candidacy_at =
            self.now + extended_for_drift(vote_lock) + vote_lock.mul_f64(self.random_fraction() / 2.0);
    }

    pub(super) fn start_pre_vote(&mut self) {
        self.schedule_candidacy();
        if !self.table().is_voter(self.plan.self_member)
            || !self.voter.is_consistent
            || self.is_shutting_down
            || self.incarnation == 0
        {
            return;
        }
        // The highest term known from others counts for this member too before it asks for votes.
        self.voter.state.term = self.voter.state.term.max(self.highest_known_term);
        if self.voter.is_vote_locked(self.now) {
            return;
        }
        let deadline = self.now + self.plan.vote_lock_duration() / 2;
        self.role = Role::PreCandidate { supporters: vec![self.plan.self_member], deadline };
        let request =
            LeaseMessage::PreVoteRequest { above_term: self.voter.state.term, table: self.table().id };
        self.send_to_voters(&request);
        self.check_pre_vote();
    }

    /// Asks for votes if a majority would vote for this member.
    pub(super) fn check_pre_vote(&mut self) {
        let Role::PreCandidate { supporters, .. } = &self.role else { return };
        if supporters.len() < self.table().majority() {
            return;
        }
        let random = next_random(&mut self.random_state);
        let term = self.voter.state.term.max(self.highest_known_term).next(self.plan.self_member, random);
        let table = self.table().id;
        if self.voter.cast_vote(self.now, term, table).is_none() {
            return;
        }
        self.highest_known_term = self.highest_known_term.max(term);
        let deadline = self.now + self.plan.vote_lock_duration();
        self.role = Role::Candidate { term, supporters: Vec::new(), deadline };
        let request = LeaseMessage::VoteRequest { term, table };
        let others = self.table().voters.iter().filter(|voter| **voter != self.plan.self_member);
        let mut then: Vec<DeferredAction> =
            others.map(|voter| DeferredAction::Send(*voter, request.clone())).collect();
        then.push(DeferredAction::CountOwnVote(term));
        self.persist(then);
    }

    pub(super) fn vote_requested(&mut self, from: u16, term: Term, table: TableId) {
        self.highest_known_term = self.highest_known_term.max(term);
        let newer_table = (self.table().id > table).then(|| self.table().clone());
        // Whether the disk is older than what this member has sent is known only once its incarnation is agreed on.
        let vote = if self.incarnation > 0 { self.voter.cast_vote(self.now, term, table) } else { None };
        let highest_term = self.highest_known_term;
        let reply = LeaseMessage::VoteReply { term, granted: vote.is_some(), highest_term, newer_table };
        match vote {
            None => self.send(from, reply),
            Some(_) => {
                self.step_down("voted for another candidate");
                self.schedule_candidacy();
                // A vote is persisted before it is sent; one that was cast before may still be on its way to the disk.
                self.persist(vec![DeferredAction::Send(from, reply)]);
            }
        }
    }

    pub(super) fn vote_reply_received(
        &mut self, from: u16, term: Term, granted: bool, highest_term: Term, newer_table: Option<Table>,
    ) {
        self.highest_known_term = self.highest_known_term.max(highest_term);
        if let Some(table) = newer_table
            .filter(|table| !table.is_malformed(self.plan.member_count) && table.id > self.table().id)
        {
            // With the newer table a later candidacy can succeed.
            self.voter.state.table = table;
            self.persist(Vec::new());
        }
        if granted {
            return self.count_vote(from, term);
        }
        let is_outvoted = match &self.role {
            Role::Candidate { term: own_term, .. } => *own_term == term,
            Role::Leader(leadership) => highest_term > leadership.term,
            _ => false,
        };
        if is_outvoted {
            self.step_down("a later term exists");
            self.schedule_candidacy();
        }
    }

    pub(super) fn count_vote(&mut self, from: u16, voted_term: Term) {
        let majority = self.table().majority();
        let is_voter = self.table().is_voter(from);
        let Role::Candidate { term, supporters, .. } = &mut self.role else { return };
        if *term != voted_term || !is_voter || supporters.contains(&from) {
            return;
        }
        supporters.push(from);
        // The candidate's own vote has to be persisted as well.
        if supporters.len() < majority || !supporters.contains(&self.plan.self_member) {
            return;
        }
        let term = *term;
        self.effects.push(Effect::Log(format!("elected leader of term {}", term.count())));
        self.role = Role::Leader(Box::new(Leadership::new(self.now, term, &self.plan)));
        // The known table is issued anew under this term: only a table of the leader's own term can be committed.
        self.voter.state.table.id = TableId { term, version: 1 };
        self.persist(Vec::new());
        self.send_heartbeats();
    }

    pub(super) fn step_down(&mut self, reason: &str) {
        if self.is_leader() {
            self.effects.push(Effect::Log(format!("no longer leader: {reason}")));
        }
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
            self.schedule_candidacy();
        }
    }

    pub(super) fn try_recover_state(&mut self) {
        if self.voter.try_recover(self.now, self.plan.self_member) {
            self.effects.push(Effect::Log("voting again: lost state recovered from other voters".into()));
            self.persist(Vec::new());
            self.schedule_candidacy();
        }
    }
}
