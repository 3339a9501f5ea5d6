//! The holder of duties: it holds what the table assigns to it while its lease runs, and hands duties over.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Lease;
use super::interface::Effect;
use crate::clock::shortened_for_drift;
use crate::ids::{Duty, FencingToken};
use crate::messages::{Checkpoint, HandOver, Heartbeat, HeartbeatReply, LeaseMessage};
use crate::table::MAX_CHECKPOINT_BYTES;

/// The number of replies whose send time is remembered.
const MAX_REMEMBERED_REPLIES: usize = 64;
/// A member hands its duties over if, within one lease duration, this many timers fire late by a heartbeat interval or more.
const MAX_LATE_TIMERS_PER_LEASE: u32 = 3;
/// How long a member takes no duties after late timers made it hand its own over, in lease durations.
const LATENESS_COOL_DOWN_LEASES: u32 = 4;

impl Lease {
    /// The token for acts of the duty, if this member holds it by its own clock.
    pub fn held_token(&self, now: Duration, duty: Duty) -> Option<FencingToken> {
        self.held.get(&duty).copied().filter(|_| now < self.lease_until)
    }

    /// Reports the progress of a duty to the leader; [`Effect::CheckpointCommitted`] follows once the next holder will know it. False:
    /// the duty is not held, or the data is too long.
    pub fn report_checkpoint(&mut self, now: Duration, duty: Duty, data: Vec<u8>) -> bool {
        self.now = now;
        let Some(token) = self.held_token(now, duty).filter(|_| data.len() <= MAX_CHECKPOINT_BYTES) else {
            return false;
        };
        self.checkpoints.insert(duty, Checkpoint { duty, token, data });
        self.send_reply();
        self.process_messages_to_self();
        true
    }

    /// A receiver refused an act of this member because it has accepted this token.
    pub fn token_refused(&mut self, now: Duration, duty: Duty, highest: FencingToken) {
        self.now = now;
        // If the duty is already assigned to another member, the leader knows of a higher token.
        let Some(assignment) =
            self.table().assignment(duty).filter(|assignment| assignment.member == self.plan.self_member)
        else {
            return;
        };
        if highest >= assignment.token && assignment.incarnation == self.incarnation {
            self.refused_tokens.insert(duty, highest);
        }
        self.send_reply();
        self.process_messages_to_self();
    }

    /// Hands a duty over, to the given member if that is eligible.
    pub fn hand_over(&mut self, now: Duration, duty: Duty, to: Option<u16>) {
        self.now = now;
        self.release_duty(duty, to, "handed over");
        self.send_reply();
        self.process_messages_to_self();
    }

    pub(super) fn heartbeat_received(&mut self, from: u16, heartbeat: Heartbeat) {
        if heartbeat.term.member() == from && heartbeat.term <= self.resigned_term {
            return;
        }
        if heartbeat.term.member() != from || !self.voter.accept_leader(self.now, heartbeat.term) {
            let (term, highest_term) = (heartbeat.term, self.voter.state.term.max(self.highest_known_term));
            return self.send(
                from,
                LeaseMessage::VoteReply { term, granted: false, highest_term, newer_table: None },
            );
        }
        self.highest_known_term = self.highest_known_term.max(heartbeat.term);
        if self.leader != Some((from, heartbeat.term)) {
            (self.leader, self.last_heartbeat_serial) = (Some((from, heartbeat.term)), 0);
        } else if heartbeat.serial <= self.last_heartbeat_serial {
            return; // A duplicate, or delayed in the network.
        }
        self.last_heartbeat_serial = heartbeat.serial;
        self.schedule_candidacy();
        if from != self.plan.self_member {
            self.step_down("another leader is active");
        }
        if let Some(table) = heartbeat.full_table
            && table.id == heartbeat.table
            && table.id > self.table().id
            && !table.is_malformed(self.plan.member_count)
        {
            self.voter.state.table = table;
            self.persist(Vec::new());
        }
        if self.table().id == heartbeat.table {
            if let Some((_, at)) =
                self.sent_replies.iter().find(|(reply, _)| *reply == heartbeat.lease_from_reply)
            {
                self.lease_until = self.lease_until.max(*at + shortened_for_drift(self.plan.lease_duration));
            }
            if heartbeat.is_committed {
                self.committed_table = heartbeat.table;
            }
            self.apply_assignments(heartbeat.is_committed);
            for (duty, token) in heartbeat.duties_to_release {
                if self.held.get(&duty) == Some(&token) {
                    self.release_duty(duty, None, "release requested by the leader");
                }
            }
        }
        self.send_reply();
    }

    /// Makes the held duties match the table's assignments: lost ones end at once, new ones begin once they are committed.
    fn apply_assignments(&mut self, is_committed: bool) {
        let (self_member, incarnation, now) = (self.plan.self_member, self.incarnation, self.now);
        let assigned: BTreeMap<Duty, (FencingToken, Vec<u8>)> = (self.voter.state.table.assignments.iter())
            .filter(|assignment| {
                assignment.member == self_member && assignment.incarnation == incarnation && incarnation > 0
            })
            .map(|assignment| (assignment.duty, (assignment.token, assignment.checkpoint.clone())))
            .collect();
        let lost = self
            .held
            .iter()
            .filter(|(duty, token)| assigned.get(duty).is_none_or(|assignment| assignment.0 != **token));
        for (duty, token) in lost.map(|(duty, token)| (*duty, *token)).collect::<Vec<_>>() {
            self.held.remove(&duty);
            self.effects.push(Effect::DutyLost(duty, token, "assigned to another holder"));
        }
        let assigned_token = |duty: &Duty| assigned.get(duty).map(|assignment| assignment.0);
        self.hand_overs.retain(|duty, hand_over| assigned_token(duty) == Some(hand_over.token));
        self.checkpoints.retain(|duty, checkpoint| assigned_token(duty) == Some(checkpoint.token));
        self.refused_tokens
            .retain(|duty, highest| assigned_token(duty).is_some_and(|token| token <= *highest));
        if !is_committed || now >= self.lease_until {
            return;
        }
        for (duty, (token, committed)) in assigned {
            if self.checkpoints.get(&duty).is_some_and(|checkpoint| checkpoint.data == committed) {
                self.checkpoints.remove(&duty);
                self.effects.push(Effect::CheckpointCommitted(duty, token));
            }
            if !self.held.contains_key(&duty) && !self.hand_overs.contains_key(&duty) {
                if self.held.is_empty() {
                    self.holder_check_at = now + self.plan.heartbeat_interval();
                }
                self.held.insert(duty, token);
                self.effects.push(Effect::DutyAcquired(duty, token, committed));
            }
        }
    }

    fn release_duty(&mut self, duty: Duty, to: Option<u16>, reason: &'static str) {
        if let Some(token) = self.held.remove(&duty) {
            self.hand_overs.insert(duty, HandOver { duty, token, to });
            self.effects.push(Effect::DutyLost(duty, token, reason));
        }
    }

    /// Hands over all duties and declines further ones.
    pub(super) fn release_all_duties(&mut self, reason: &'static str) {
        self.accepts_duties = false;
        // Duties that it has not begun, or whose lease has run out, are still assigned to it by the table.
        let assigned = self.voter.state.table.assignments.iter().filter(|assignment| {
            assignment.member == self.plan.self_member && assignment.incarnation == self.incarnation
        });
        for held in assigned.map(|assignment| (assignment.duty, assignment.token)).collect::<Vec<_>>() {
            self.held.insert(held.0, held.1);
            self.release_duty(held.0, None, reason);
        }
        self.send_reply();
    }

    /// Stops holding all duties without handing them over.
    pub(super) fn drop_held_duties(&mut self, reason: &'static str) {
        for (duty, token) in std::mem::take(&mut self.held) {
            self.effects.push(Effect::DutyLost(duty, token, reason));
        }
    }

    pub(super) fn send_reply(&mut self) {
        self.next_reply_at = self.now + self.plan.lease_duration / 2;
        let Some((leader, term)) = self.leader.filter(|_| self.incarnation > 0) else { return };
        self.last_reply_number += 1;
        if self.sent_replies.len() >= MAX_REMEMBERED_REPLIES {
            self.sent_replies.pop_front();
        }
        self.sent_replies.push_back((self.last_reply_number, self.now));
        // Only voters have to have persisted the table that they report.
        let is_voter = self.table().is_voter(self.plan.self_member);
        let table = if is_voter { self.durable_table } else { self.table().id };
        let reply = HeartbeatReply {
            term,
            heartbeat_serial: self.last_heartbeat_serial,
            table,
            reply_number: self.last_reply_number,
            incarnation: self.incarnation,
            accepts_duties: self.accepts_duties,
            hand_overs: self.hand_overs.values().copied().collect(),
            checkpoints: self.checkpoints.values().cloned().collect(),
            refused_tokens: self.refused_tokens.iter().map(|(duty, token)| (*duty, *token)).collect(),
        };
        self.send(leader, LeaseMessage::HeartbeatReply(reply));
    }

    /// Hands the duties over if the calling thread falls behind, before the lease is endangered.
    pub(super) fn check_lateness(&mut self) {
        let is_late = self.now.saturating_sub(self.expected_timer_at) >= self.plan.heartbeat_interval();
        if !is_late || self.expected_timer_at.is_zero() {
            return;
        }
        if self.now >= self.late_timers.1 + self.plan.lease_duration {
            self.late_timers = (0, self.now);
        }
        self.late_timers.0 += 1;
        if self.late_timers.0 >= MAX_LATE_TIMERS_PER_LEASE && !self.held.is_empty() {
            self.late_timers = (0, self.now);
            self.declines_duties_until = self.now + self.plan.lease_duration * LATENESS_COOL_DOWN_LEASES;
            self.release_all_duties("process is falling behind");
        }
    }
}
