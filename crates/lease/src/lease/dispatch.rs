//! Dispatch of received messages, sending, and persisting of state before messages that depend on it.

use std::time::Duration;

use super::interface::Effect;
use super::{Lease, Role};
use crate::ids::Term;
use crate::messages::LeaseMessage;

/// An action that waits until the state on which it depends has been written to disk.
pub(super) enum DeferredAction {
    Send(u16, LeaseMessage),
    /// Counts the candidate's own vote.
    CountOwnVote(Term),
}

impl Lease {
    pub(super) fn handle_message(&mut self, from: u16, message: LeaseMessage) {
        match message {
            LeaseMessage::PreVoteRequest { above_term, table } => {
                let granted = self.voter.would_vote(self.now, above_term, table)
                    && !self.is_leader()
                    && self.incarnation > 0;
                let highest_term = self.highest_known_term.max(self.voter.state.term);
                self.send(from, LeaseMessage::PreVoteReply { above_term, granted, highest_term });
            }
            LeaseMessage::PreVoteReply { above_term, granted, highest_term } => {
                self.highest_known_term = self.highest_known_term.max(highest_term);
                if let Role::PreCandidate { supporters, .. } = &mut self.role
                    && granted
                    && above_term == self.voter.state.term
                    && !supporters.contains(&from)
                {
                    supporters.push(from);
                    self.check_pre_vote();
                }
            }
            LeaseMessage::VoteRequest { term, table } => self.vote_requested(from, term, table),
            LeaseMessage::VoteReply { term, granted, highest_term, newer_table } => {
                self.vote_reply_received(from, term, granted, highest_term, newer_table)
            }
            LeaseMessage::Heartbeat(heartbeat) => self.heartbeat_received(from, heartbeat),
            LeaseMessage::HeartbeatReply(reply) => self.heartbeat_reply_received(from, reply),
            LeaseMessage::LeaderResigned { term } => {
                if self.leader == Some((from, term)) {
                    (self.leader, self.resigned_term) = (None, term);
                    self.voter.unlock_vote(self.now);
                    self.candidacy_at =
                        self.now + self.plan.heartbeat_interval().mul_f64(self.random_fraction());
                }
            }
            LeaseMessage::StateLost => {
                let (term, is_consistent) =
                    (self.voter.state.term, self.voter.is_consistent && self.incarnation > 0);
                self.send(
                    from,
                    LeaseMessage::StateReply { term, is_consistent, table: self.table().clone() },
                );
            }
            LeaseMessage::StateReply { term, is_consistent, table } => {
                if !self.voter.is_consistent && !table.is_malformed(self.plan.member_count) {
                    self.highest_known_term = self.highest_known_term.max(term);
                    self.voter.state_reported(from, term, is_consistent, table);
                    self.try_recover_state();
                }
            }
            LeaseMessage::MoveDuty { duty, to } => {
                if let Role::Leader(leadership) = &mut self.role {
                    leadership.request_move(self.now, duty, to, &self.plan);
                    self.send_heartbeats();
                }
            }
            LeaseMessage::ChangeVoters { voters } => {
                let is_invalid = voters.iter().enumerate().any(|(n, voter)| voters[..n].contains(voter));
                let is_invalid = is_invalid
                    || ![3, 5, 7].contains(&voters.len())
                    || voters.iter().any(|v| *v >= self.plan.member_count);
                if let Role::Leader(leadership) = &mut self.role
                    && !is_invalid
                {
                    leadership.request_voters(voters);
                    self.advance_leadership();
                }
            }
        }
    }

    pub(super) fn send(&mut self, to: u16, message: LeaseMessage) {
        if to == self.plan.self_member {
            self.messages_to_self.push_back(message);
        } else {
            self.effects.push(Effect::Send(to, message));
        }
    }

    pub(super) fn send_to_voters(&mut self, message: &LeaseMessage) {
        for voter in self.table().voters.clone() {
            if voter != self.plan.self_member {
                self.effects.push(Effect::Send(voter, message.clone()));
            }
        }
    }

    /// Handles the messages that this member sent to itself until none is left. Each one causes at most one more, except when the
    /// table changes.
    pub(super) fn process_messages_to_self(&mut self) {
        while let Some(message) = self.messages_to_self.pop_front() {
            self.handle_message(self.plan.self_member, message);
        }
        self.expected_timer_at = self.next_due();
    }

    /// Has the voter's state persisted; the actions are done once it is.
    pub(super) fn persist(&mut self, then: Vec<DeferredAction>) {
        self.last_persist_order += 1;
        self.deferred_actions.insert(self.last_persist_order, then);
        self.persisting_tables.insert(self.last_persist_order, self.table().id);
        self.effects.push(Effect::Persist(self.last_persist_order, self.voter.state.clone()));
    }

    /// The state of the [`Effect::Persist`] with this number, and of all earlier ones, is on disk, or, without `succeeded`, could not
    /// be written and is not relied on.
    pub fn state_persisted(&mut self, now: Duration, number: u64, succeeded: bool) {
        self.now = now;
        let later = self.deferred_actions.split_off(&(number + 1));
        let actions = std::mem::replace(&mut self.deferred_actions, later);
        let later = self.persisting_tables.split_off(&(number + 1));
        let tables = std::mem::replace(&mut self.persisting_tables, later);
        if succeeded {
            if let Some(table) = tables.into_values().max() {
                self.durable_table = self.durable_table.max(table);
            }
            for action in actions.into_values().flatten() {
                match action {
                    DeferredAction::Send(to, message) => self.send(to, message),
                    DeferredAction::CountOwnVote(term) => self.count_vote(self.plan.self_member, term),
                }
            }
            self.send_reply();
        } else {
            self.persist_retry_at = Some(now + self.plan.lease_duration / 2);
        }
        self.process_messages_to_self();
    }
}
