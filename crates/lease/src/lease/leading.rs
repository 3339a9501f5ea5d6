//! The leader role: heartbeats to all members, and changes to the table as replies and time require them.

use super::interface::Effect;
use super::{Lease, Role};
use crate::messages::{HeartbeatReply, LeaseMessage};

impl Lease {
    pub(super) fn send_heartbeats(&mut self) {
        let (now, self_member) = (self.now, self.plan.self_member);
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.begin_heartbeat_round(now);
        leadership.next_heartbeat_at = now + self.plan.heartbeat_interval();
        let table = &self.voter.state.table;
        let messages: Vec<(u16, LeaseMessage)> = (0..self.plan.member_count)
            .map(|member| {
                (member, LeaseMessage::Heartbeat(leadership.heartbeat_for(now, member, table, &self.plan)))
            })
            .collect();
        for (member, message) in messages {
            // The own heartbeat is handled last, so that the others are sent before what follows from the own reply.
            if member != self_member {
                self.effects.push(Effect::Send(member, message));
            } else {
                self.messages_to_self.push_back(message);
            }
        }
    }

    /// Commits, changes the table, resigns or steps down, as the last reply or the passing of time requires.
    pub(super) fn advance_leadership(&mut self) {
        let now = self.now;
        let Role::Leader(leadership) = &mut self.role else { return };
        let table = &self.voter.state.table;
        let mut has_news = leadership.update_commitment(table);
        if let Some(next) = leadership.next_table(now, table, &self.plan) {
            self.voter.state.table = next;
            self.persist(Vec::new());
            has_news = true;
        } else if self.is_shutting_down
            && leadership.is_committed
            && !table.assignments.iter().any(|assignment| assignment.member == self.plan.self_member)
        {
            let term = leadership.term;
            // The new holders of its duties have to be notified that this table is committed.
            self.send_heartbeats();
            self.step_down("process is shutting down");
            self.voter.unlock_vote(now);
            (self.leader, self.resigned_term) = (None, term);
            for member in (0..self.plan.member_count).filter(|member| *member != self.plan.self_member) {
                self.effects.push(Effect::Send(member, LeaseMessage::LeaderResigned { term }));
            }
            return;
        }
        let Role::Leader(leadership) = &mut self.role else { return };
        // Without a majority for longer than any voter is locked to it, the leader steps down by itself.
        let until = leadership
            .authority_until(&self.voter.state.table, self.plan.vote_lock_duration())
            .max(leadership.started_at);
        if now >= until + self.plan.lease_duration || self.voter.state.term > leadership.term {
            return self.step_down("no majority answers");
        }
        if has_news || leadership.next_heartbeat_at <= now {
            self.send_heartbeats();
        }
    }

    pub(super) fn heartbeat_reply_received(&mut self, from: u16, reply: HeartbeatReply) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if reply.term == leadership.term && leadership.reply_received(self.now, from, reply, &self.plan) {
            self.advance_leadership();
        }
    }
}
