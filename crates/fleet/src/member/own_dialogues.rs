//! Steps of the dialogues that this member's own edge proxy owns: each one is written to the book and replicated.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::WriteResult;
use lotussaddle_trunk::{Answer, Owner, Progress};

use super::Member;
use super::interface::Finding;

impl Member {
    pub(super) fn write(
        &mut self, id: &DialogueId, reached: Progress, bar: Duration, answer: Option<&Answer>,
        base: Duration, acks: usize,
    ) -> Option<u64> {
        self.counts.writes += 1;
        self.tickets += 1;
        let ticket = self.tickets;
        let wait = (acks > 0).then_some((ticket, acks));
        let written = self.book.write(self.now, id, reached, bar, answer, base, wait);
        self.changed.insert(id.clone());
        match written {
            WriteResult::Pending => Some(ticket),
            // While it has no life nobody can acknowledge anything.
            WriteResult::Immediate => {
                (acks > 0 && self.plan.withholds_unacknowledged_launches && self.lives.current() == 0)
                    .then_some(ticket)
            }
            WriteResult::Replaced(_) => {
                self.counts.replaced += 1;
                self.findings.push(Finding::Replaced(id.clone()));
                Some(ticket) // Which is never told: nothing is sent or said.
            }
        }
    }

    /// Its edge proxy has taken a dialogue that was dialled.
    pub fn taken(&mut self, now: Duration, id: &DialogueId) {
        self.now = now;
        // One that was asked for is this member's already.
        if !self.book.owns_dialogue(id) || self.book.get(id).is_some_and(|copy| !copy.is_open()) {
            self.write(id, Progress::Accepted, Duration::ZERO, None, now, 0);
        }
    }

    /// A launch is to be sent, and ends by itself at that time. Some: not before that ticket is told.
    pub fn launch(
        &mut self, now: Duration, id: &DialogueId, server: &ServerId, launch: LaunchNumber, until: Duration,
    ) -> Option<u64> {
        self.now = now;
        let reached = Progress::Launched { server: server.clone(), launch };
        let acks = self.plan.acks_before_launch;
        self.write(id, reached, until + self.plan.release_time, None, until, acks)
    }

    /// A launch came back without a result; `doubt`: its core server may have it all the same.
    pub fn back(&mut self, now: Duration, id: &DialogueId, doubt: bool) {
        self.now = now;
        if self.book.owns_dialogue(id) {
            let bar = if doubt { now + self.plan.release_time } else { Duration::ZERO };
            self.write(id, Progress::Accepted, bar, None, now, 0);
        }
    }

    /// A final answer is to be given. Some: not before that ticket is told.
    pub fn answer(
        &mut self, now: Duration, id: &DialogueId, answer: &Answer, launch: LaunchNumber,
    ) -> Option<u64> {
        self.now = now;
        let reached = match answer {
            Answer::Stands { server } => Progress::Stands { server: server.clone(), launch },
            _ => Progress::Ended,
        };
        let acks = self.plan.acks_before_answer;
        self.write(id, reached, Duration::ZERO, Some(answer), now, acks)
    }

    /// A dialogue is over.
    pub fn over(&mut self, now: Duration, id: &DialogueId) {
        self.now = now;
        if self.book.owns_dialogue(id) {
            self.write(id, Progress::Ended, Duration::ZERO, None, now, 0);
        }
    }

    /// What launches of this dialogue bear, so that its core server knows whose it is; none where nobody is to take it over.
    pub fn owner_of(&self, id: &DialogueId) -> Option<Owner> {
        let owner = self.book.get(id)?.owner()?;
        (self.lives.current() > 0 && self.book.owns_dialogue(id)).then_some(owner)
    }

    /// A dialogue of this member is another's now, who may never come for what stands.
    pub(super) fn goes(&mut self, id: &DialogueId) {
        let Some(copy) = self.book.get(id) else { return };
        let servers = copy.owner_states().iter().filter_map(|part| match &part.progress {
            Progress::Stands { server, .. } if part.owner.member == self.plan.self_member => Some(server),
            _ => None,
        });
        servers.for_each(|server| self.takeovers.claim_yielded(self.now, server));
    }

    /// Its edge proxy has let a dialogue go, as [`Finding::LetGo`] asked.
    pub fn let_go(&mut self, now: Duration, id: &DialogueId) {
        self.now = now;
        self.takeovers.remove(id);
        for (member, serial, owner) in self.lets.remove(id).unwrap_or_default() {
            self.counts.replaced += 1;
            self.answer_asked(member, serial, id, owner);
        }
    }

    /// It is kept for its caller, or being taken over for one: its edge proxy does not hold it yet.
    pub(super) fn is_coming(&self, id: &DialogueId) -> bool {
        self.takeovers.has(id) || self.redials.has(id) || self.confirmations.contains(id)
    }
}
