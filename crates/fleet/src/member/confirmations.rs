//! The outcome of a redial is written under the new owner and acknowledged by replicas before it is reported.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_replica::Replica;
use lotussaddle_trunk::{Answer, Progress};

use super::Member;
use super::interface::MemberEvent;
use crate::redial::Verdict;

/// The search result for a dialogue, reported once replicas have acknowledged it.
struct Confirmation {
    ticket: u64,
    deadline: Duration,
    verdict: Verdict,
}

/// Search results that wait for acknowledgements, by dialogue, by ticket and by deadline.
#[derive(Default)]
pub(super) struct Confirmations {
    pending: BTreeMap<DialogueId, Confirmation>,
    tickets: BTreeMap<u64, DialogueId>,
    deadlines: BTreeSet<(Duration, DialogueId)>,
}

impl Confirmations {
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(super) fn contains(&self, id: &DialogueId) -> bool {
        self.pending.contains_key(id)
    }

    pub(super) fn next_due(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// The dialogue whose write has this ticket.
    fn dialogue_of(&self, ticket: u64) -> Option<DialogueId> {
        self.tickets.get(&ticket).cloned()
    }

    /// A dialogue whose deadline has passed.
    fn overdue(&self, now: Duration) -> Option<DialogueId> {
        self.deadlines.first().filter(|(deadline, _)| *deadline <= now).map(|(_, id)| id.clone())
    }

    fn insert(&mut self, id: DialogueId, ticket: u64, deadline: Duration, verdict: Verdict) {
        self.tickets.insert(ticket, id.clone());
        self.deadlines.insert((deadline, id.clone()));
        self.pending.insert(id, Confirmation { ticket, deadline, verdict });
    }

    /// Removes a result that is acknowledged or no longer waited for.
    pub(super) fn remove(&mut self, id: &DialogueId) -> Option<Verdict> {
        let known = self.pending.remove(id)?;
        self.tickets.remove(&known.ticket);
        self.deadlines.remove(&(known.deadline, id.clone()));
        Some(known.verdict)
    }
}

impl Member {
    /// A search result may be known to a single member, which may fail: before it is reported it is written under this owner, and
    /// waits for acknowledgements like any answer.
    pub(super) fn confirm(&mut self, id: DialogueId, verdict: Verdict) {
        let (progress, answer) = match &verdict {
            Verdict::Stands { server, launch } => {
                let stands = Answer::Stands { server: server.clone() };
                (Progress::Stands { server: server.clone(), launch: *launch }, Some(stands))
            }
            Verdict::Answered(answer) => (Progress::Ended, Some(answer.clone())),
            Verdict::Concluded => (Progress::Ended, None),
            Verdict::Free { .. } | Verdict::Unsure { .. } => {
                return self.events.push(MemberEvent::RedialResolved(id, verdict));
            }
        };
        let acks = self.plan.acks_before_answer;
        match self.write_step(&id, progress, Duration::ZERO, answer.as_ref(), self.now, acks) {
            None => self.events.push(MemberEvent::RedialResolved(id, verdict)),
            Some(ticket) => {
                let deadline = self.now + self.plan.search_timeout;
                self.confirmations.insert(id, ticket, deadline, verdict);
            }
        }
    }

    /// Resolves results not acknowledged in time: they are reported where the configuration permits unacknowledged answers,
    /// else the caller is asked to retry, and a line that was taken over for it is held meanwhile.
    pub(super) fn resolve_overdue_confirmations(&mut self) {
        while let Some(id) = self.confirmations.overdue(self.now) {
            let Some(verdict) = self.confirmations.remove(&id) else { break };
            if !self.plan.withholds_unacknowledged_launches && self.replica_table.owns_dialogue(&id) {
                self.events.push(MemberEvent::RedialResolved(id, verdict));
                continue;
            }
            if let (Verdict::Stands { server, launch }, true) =
                (verdict, self.replica_table.owns_dialogue(&id))
                && let Some(owner) = self.replica_table.get(&id).and_then(Replica::owner)
            {
                self.takeovers.hold_for_caller(self.now, &id, server, owner, launch);
            }
            let retry_after = self.plan.response_timeout;
            self.events.push(MemberEvent::RedialResolved(id, Verdict::Unsure { retry_after }));
        }
    }

    /// Reports writes that the required number of replicas has acknowledged.
    pub(super) fn report_completed_writes(&mut self) {
        for ticket in self.replica_table.take_completed_writes() {
            match self.confirmations.dialogue_of(ticket) {
                Some(id) => {
                    let verdict = self.confirmations.remove(&id);
                    self.events.extend(verdict.map(|verdict| MemberEvent::RedialResolved(id, verdict)));
                }
                None => self.events.push(MemberEvent::WriteConfirmed(ticket)),
            }
        }
    }
}
