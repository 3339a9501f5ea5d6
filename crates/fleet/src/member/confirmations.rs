//! The outcome of a redial is written under the new owner and acknowledged by replicas before it is reported.

use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_replica::Copy;
use lotussaddle_trunk::{Answer, Reached};

use super::Member;
use super::interface::Finding;
use crate::redial::Verdict;

/// What was found, and is said once it is kept.
pub(super) struct Confirming {
    pub(super) ticket: u64,
    pub(super) by: Duration,
    pub(super) verdict: Verdict,
}

impl Member {
    /// What was found may be known to one member alone, which may die: before it is said again it is written under this owner, and
    /// waits like any answer for its acknowledgements.
    pub(super) fn confirm(&mut self, id: DialogueId, verdict: Verdict) {
        let (reached, answer) = match &verdict {
            Verdict::Stands { server, launch } => {
                let stands = Answer::Stands { server: server.clone() };
                (Reached::Stands { server: server.clone(), launch: *launch }, Some(stands))
            }
            Verdict::Answered(answer) => (Reached::Over, Some(answer.clone())),
            Verdict::Concluded => (Reached::Over, None),
            Verdict::Free { .. } | Verdict::Unsure { .. } => {
                return self.findings.push(Finding::Found(id, verdict));
            }
        };
        let acks = self.plan.before_answer;
        match self.write(&id, reached, Duration::ZERO, answer.as_ref(), self.now, acks) {
            None => self.findings.push(Finding::Found(id, verdict)),
            Some(ticket) => {
                let by = self.now + self.plan.ask_within;
                self.confirm_tickets.insert(ticket, id.clone());
                self.confirm_dues.insert((by, id.clone()));
                self.confirming.insert(id, Confirming { ticket, by, verdict });
            }
        }
    }

    /// Nobody waits for it any more, or it is kept.
    pub(super) fn confirmed(&mut self, id: &DialogueId) -> Option<Verdict> {
        let known = self.confirming.remove(id)?;
        self.confirm_tickets.remove(&known.ticket);
        self.confirm_dues.remove(&(known.by, id.clone()));
        Some(known.verdict)
    }

    /// Acknowledgements did not come in time: what was found is said where the sheet has answers go without, else its caller is to
    /// come again. A line that was taken over for it waits meanwhile.
    pub(super) fn unconfirmed(&mut self) {
        while let Some((by, id)) = self.confirm_dues.first().cloned()
            && by <= self.now
        {
            let Some(verdict) = self.confirmed(&id) else { break };
            if !self.plan.strictly && self.book.is_mine(&id) {
                self.findings.push(Finding::Found(id, verdict));
                continue;
            }
            if let (Verdict::Stands { server, launch }, true) = (verdict, self.book.is_mine(&id))
                && let Some(owner) = self.book.get(&id).and_then(Copy::owner)
            {
                self.heirs.keep(self.now, &id, server, owner, launch);
            }
            let come_back = self.plan.silence;
            self.findings.push(Finding::Found(id, Verdict::Unsure { come_back }));
        }
    }

    /// Writes that are kept by as many as was asked for.
    pub(super) fn are_kept(&mut self) {
        for ticket in self.book.done() {
            match self.confirm_tickets.get(&ticket).cloned() {
                Some(id) => {
                    let verdict = self.confirmed(&id);
                    self.findings.extend(verdict.map(|verdict| Finding::Found(id, verdict)));
                }
                None => self.findings.push(Finding::Kept(ticket)),
            }
        }
    }
}
