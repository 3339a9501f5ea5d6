//! The outcome of a redial is written under the new owner and acknowledged by replicas before it is reported.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_replica::Replica;
use lotussaddle_trunk::{Answer, Progress};

use super::Member;
use super::interface::MemberEvent;
use crate::redial::Verdict;

/// What was found of one dialogue, and is reported once it is acknowledged.
struct Confirmation {
    ticket: u64,
    by: Duration,
    verdict: Verdict,
}

/// What was found of dialogues and waits for acknowledgements, by dialogue, by ticket and by deadline.
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
        self.deadlines.first().map(|(by, _)| *by)
    }

    /// The dialogue whose write has this ticket.
    fn dialogue_of(&self, ticket: u64) -> Option<DialogueId> {
        self.tickets.get(&ticket).cloned()
    }

    /// A dialogue whose deadline has passed.
    fn overdue(&self, now: Duration) -> Option<DialogueId> {
        self.deadlines.first().filter(|(by, _)| *by <= now).map(|(_, id)| id.clone())
    }

    fn insert(&mut self, id: DialogueId, ticket: u64, by: Duration, verdict: Verdict) {
        self.tickets.insert(ticket, id.clone());
        self.deadlines.insert((by, id.clone()));
        self.pending.insert(id, Confirmation { ticket, by, verdict });
    }

    /// It is acknowledged, or nobody waits for it any more.
    pub(super) fn remove(&mut self, id: &DialogueId) -> Option<Verdict> {
        let known = self.pending.remove(id)?;
        self.tickets.remove(&known.ticket);
        self.deadlines.remove(&(known.by, id.clone()));
        Some(known.verdict)
    }
}

impl Member {
    /// What was found may be known to one member alone, which may die: before it is said again it is written under this owner, and
    /// waits like any answer for its acknowledgements.
    pub(super) fn confirm(&mut self, id: DialogueId, verdict: Verdict) {
        let (reached, answer) = match &verdict {
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
        match self.write_step(&id, reached, Duration::ZERO, answer.as_ref(), self.now, acks) {
            None => self.events.push(MemberEvent::RedialResolved(id, verdict)),
            Some(ticket) => {
                let by = self.now + self.plan.search_timeout;
                self.confirmations.insert(id, ticket, by, verdict);
            }
        }
    }

    /// Acknowledgements did not come in time: what was found is said where the configuration has answers go without, else its caller is to
    /// come again. A line that was taken over for it waits meanwhile.
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
            let come_back = self.plan.response_timeout;
            self.events.push(MemberEvent::RedialResolved(id, Verdict::Unsure { retry_after: come_back }));
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
