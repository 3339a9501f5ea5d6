//! Steps of the dialogues that this member's own edge proxy owns: each one is written to the replica table and replicated.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::WriteResult;
use lotussaddle_trunk::{Answer, Owner, Progress};

use super::Member;
use super::interface::MemberEvent;

impl Member {
    pub(super) fn write_step(
        &mut self, id: &DialogueId, progress: Progress, blocked_until: Duration, answer: Option<&Answer>,
        base: Duration, acks: usize,
    ) -> Option<u64> {
        self.counts.writes += 1;
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let wait = (acks > 0).then_some((ticket, acks));
        let written = self.replica_table.write(self.now, id, progress, blocked_until, answer, base, wait);
        self.changed_dialogues.insert(id.clone());
        match written {
            WriteResult::Pending => Some(ticket),
            // No peer acknowledges writes while this member has no incarnation.
            WriteResult::Immediate => {
                (acks > 0 && self.plan.withholds_unacknowledged_launches && self.incarnations.current() == 0)
                    .then_some(ticket)
            }
            WriteResult::Replaced(_) => {
                self.counts.replaced += 1;
                self.events.push(MemberEvent::OwnershipLost(id.clone()));
                Some(ticket) // This ticket is never confirmed, so nothing is sent.
            }
        }
    }

    /// The edge proxy has accepted a dialogue.
    pub fn dialogue_accepted(&mut self, now: Duration, id: &DialogueId) {
        self.now = now;
        // A dialogue that was looked up is owned by this member already.
        if !self.replica_table.owns_dialogue(id)
            || self.replica_table.get(id).is_some_and(|replica| !replica.is_open())
        {
            self.write_step(id, Progress::Accepted, Duration::ZERO, None, now, 0);
        }
    }

    /// A launch is about to be sent; it ends by itself at `until`. `Some`: only after the write with that ticket is confirmed.
    pub fn launch_planned(
        &mut self, now: Duration, id: &DialogueId, server: &ServerId, launch: LaunchNumber, until: Duration,
    ) -> Option<u64> {
        self.now = now;
        let progress = Progress::Launched { server: server.clone(), launch };
        let acks = self.plan.acks_before_launch;
        self.write_step(id, progress, until + self.plan.release_time, None, until, acks)
    }

    /// A launch ended without a result; `is_unresolved`: its core server may have set it up nevertheless.
    pub fn launch_returned(&mut self, now: Duration, id: &DialogueId, is_unresolved: bool) {
        self.now = now;
        if self.replica_table.owns_dialogue(id) {
            let blocked_until = if is_unresolved { now + self.plan.release_time } else { Duration::ZERO };
            self.write_step(id, Progress::Accepted, blocked_until, None, now, 0);
        }
    }

    /// A final answer is about to be given. `Some`: only after the write with that ticket is confirmed.
    pub fn answer_planned(
        &mut self, now: Duration, id: &DialogueId, answer: &Answer, launch: LaunchNumber,
    ) -> Option<u64> {
        self.now = now;
        let progress = match answer {
            Answer::Stands { server } => Progress::Stands { server: server.clone(), launch },
            _ => Progress::Ended,
        };
        let acks = self.plan.acks_before_answer;
        self.write_step(id, progress, Duration::ZERO, Some(answer), now, acks)
    }

    /// A dialogue has ended.
    pub fn dialogue_ended(&mut self, now: Duration, id: &DialogueId) {
        self.now = now;
        if self.replica_table.owns_dialogue(id) {
            self.write_step(id, Progress::Ended, Duration::ZERO, None, now, 0);
        }
    }

    /// The owner stated in launches of this dialogue to the core server; `None` if no member is to take it over.
    pub fn owner_of(&self, id: &DialogueId) -> Option<Owner> {
        let owner = self.replica_table.get(id)?.owner()?;
        (self.incarnations.current() > 0 && self.replica_table.owns_dialogue(id)).then_some(owner)
    }

    /// Another member now owns a dialogue of this member, and may never adopt its standing line.
    pub(super) fn watch_lines_of_lost_dialogue(&mut self, id: &DialogueId) {
        let Some(replica) = self.replica_table.get(id) else { return };
        let servers = replica.owner_states().iter().filter_map(|part| match &part.progress {
            Progress::Stands { server, .. } if part.owner.member == self.plan.self_member => Some(server),
            _ => None,
        });
        servers.for_each(|server| self.takeovers.claim_yielded(self.now, server));
    }

    /// The edge proxy has dropped a dialogue, as requested by [`MemberEvent::GiveUpDialogue`].
    pub fn dialogue_given_up(&mut self, now: Duration, id: &DialogueId) {
        self.now = now;
        self.takeovers.remove(id);
        for (member, serial, owner) in self.ownership_requests.remove(id).unwrap_or_default() {
            self.counts.replaced += 1;
            self.answer_ask(member, serial, id, owner);
        }
    }

    /// Whether the dialogue is held or being taken over for its caller while the edge proxy does not hold it yet.
    pub(super) fn is_claimed_for_caller(&self, id: &DialogueId) -> bool {
        self.takeovers.has(id) || self.redials.has(id) || self.confirmations.contains(id)
    }
}
