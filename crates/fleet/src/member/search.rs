//! Redials: what is known of a dialogue that was dialled before, asked of the replicas, and the answers this member gives
//! when another member asks.

use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_replica::{Replica, ReplicaReading, fingerprint};
use lotussaddle_trunk::{AuditMessage, Frame, Owner, PeerMessage, Progress, ReplicaUpdate};

use super::Member;
use super::interface::Finding;
use crate::membership_view::MembershipView;
use crate::peers::Peers;
use crate::redial::{RedialAction, RedialSearch, Verdict};

/// Questions answered in one turn, at most; whoever gets no answer is not sure.
pub(super) const MOST_KNOWN: usize = 30_000;

/// Whether what is said to a member now reaches it, as far as is known: there is a link, and it is heard.
pub(super) fn is_reached(peers: &Peers, view: &MembershipView, now: Duration, member: u16) -> bool {
    peers.link_to(member).is_some() && view.is_reachable(now, member)
}

impl Member {
    /// A dialogue is dialled that was dialled before: what is known of it? Told by [`Finding::Found`].
    pub fn seek(&mut self, now: Duration, id: &DialogueId, cut_off: Duration) {
        self.now = now;
        self.counts.asks += 1;
        let come_back = self.plan.response_timeout;
        if self.lives.current() == 0
            || self.redials.len() + self.confirmations.len() >= self.plan.max_searches
        {
            self.counts.asks_refused += 1;
            return self
                .findings
                .push(Finding::Found(id.clone(), Verdict::Unsure { retry_after: come_back }));
        }
        self.confirmations.remove(id);
        if let Some((server, launch)) = self.takeovers.claim_held(id) {
            return self.confirm(id.clone(), Verdict::Stands { server, launch });
        }
        // What this member owns nobody else has gone on with, or its writes will be refused. What stood is asked for all the same:
        // it is not held here any more.
        let own = self.book.get(id).filter(|_| self.book.owns_dialogue(id)).map(Replica::reading);
        let verdict = match own {
            Some(ReplicaReading::Answered(answer)) => Some(Verdict::Answered(answer.clone())),
            Some(ReplicaReading::Ended) => Some(Verdict::Concluded),
            Some(ReplicaReading::Open { blocked_until: bar, .. })
                if bar > now && bar + self.plan.release_time >= cut_off =>
            {
                Some(Verdict::Unsure { retry_after: bar - now })
            }
            Some(ReplicaReading::Open { blocked_until: bar, .. }) => {
                Some(Verdict::Free { not_before: bar.max(now) })
            }
            Some(ReplicaReading::Stands { .. }) | None => None,
        };
        if let Some(verdict) = verdict {
            return self.confirm(id.clone(), verdict);
        }
        self.takeovers.remove(id);
        let print = fingerprint(id);
        let candidates: Vec<u16> = self.book.group().candidates(print).iter().collect();
        let known = self.book.get(id).cloned().unwrap_or_default();
        let round = known.owner().map_or(0, |owner| owner.round) + 1;
        let owner = Owner { round, member: self.plan.self_member, incarnation: self.lives.current() };
        let mut knows = candidates.contains(&self.plan.self_member) && self.caught_up();
        if candidates.contains(&self.plan.self_member) {
            self.book.claim_requested(now, id, owner);
            knows &= self.book.has_claim(id, owner);
        }
        let (peers, view) = (&self.peers, &self.view);
        let reached = |member: u16| is_reached(peers, view, now, member);
        let begin = RedialSearch { reached: &reached, knows, known, owner, cut_off };
        let actions = self.redials.begin(now, id, begin);
        self.do_redial_actions(actions);
    }

    /// Its caller wants no more of what is sought.
    pub fn sought_no_more(&mut self, id: &DialogueId) {
        self.redials.cancel(id);
    }

    pub(super) fn do_redial_actions(&mut self, actions: Vec<RedialAction>) {
        for action in actions {
            match action {
                RedialAction::Ask { to, serial, dialogue, owner } => {
                    self.to_say.push((to, PeerMessage::Ask { serial, dialogue, owner }));
                }
                RedialAction::Claim { dialogue, owner, found } => {
                    self.book.claim(self.now, &dialogue, owner, &found);
                    self.write(&dialogue, Progress::Accepted, Duration::ZERO, None, self.now, 0);
                }
                RedialAction::Adopt { server, dialogue, owner } => {
                    self.takeovers.claim_yielded(self.now, &server); // The answer may be lost.
                    let frame = Frame::AuditMessage(AuditMessage::Adopt { dialogue, owner, action: None });
                    self.findings.push(Finding::ToCore(server, frame));
                }
                RedialAction::Report(id, verdict) => self.confirm(id, verdict),
            }
        }
    }

    pub(super) fn asked(&mut self, member: u16, serial: u64, id: DialogueId, owner: Owner) {
        if owner.member != member || owner.incarnation != self.view.incarnation(member) {
            return; // Of another life, or in another's name.
        }
        let actions = self.redials.competing_claim(&id, owner);
        self.do_redial_actions(actions);
        if self.book.owns_dialogue(&id) && self.book.get(&id).and_then(Replica::owner) < Some(owner) {
            // What is out is called off first, so that the answer says how long it is in doubt.
            let waits = self.lets.entry(id.clone()).or_default();
            waits.push((member, serial, owner));
            self.confirmations.remove(&id);
            self.goes(&id);
            return self.findings.push(Finding::LetGo(id));
        }
        self.answer_asked(member, serial, &id, owner);
    }

    pub(super) fn answer_asked(&mut self, member: u16, serial: u64, id: &DialogueId, owner: Owner) {
        let (higher, copy) = self.book.claim_requested(self.now, id, owner);
        let sure = higher.is_none() && self.caught_up() && self.book.has_claim(id, owner);
        self.changed.insert(id.clone());
        // A promise that a kill undoes is none: it is kept before it is said.
        if self.known.len() < MOST_KNOWN {
            self.known.push((
                member,
                PeerMessage::AskReply { serial, is_authoritative: sure, higher, replica: copy },
            ));
        }
    }

    pub(super) fn told(
        &mut self, from: u16, serial: u64, sure: bool, higher: Option<Owner>, copy: Option<&ReplicaUpdate>,
    ) {
        let Some((id, owner)) = self.redials.search_of(serial) else { return };
        let id = id.clone();
        let copy = copy.filter(|copy| copy.dialogue == id).map(|copy| Replica::from_update(self.now, copy));
        let candidate = self.book.group().candidates(fingerprint(&id)).contains(self.plan.self_member);
        let knows = candidate && self.caught_up();
        if let (true, Some(higher)) = (candidate, higher) {
            // This member promises itself the higher claim that it is about to make.
            let owner = Owner { round: owner.round.max(higher.round + 1), ..owner };
            self.book.claim_requested(self.now, &id, owner);
        }
        let (peers, view, now) = (&self.peers, &self.view, self.now);
        let reached = |member: u16| is_reached(peers, view, now, member);
        let actions = self.redials.answered(now, serial, from, sure, higher, copy.as_ref(), &reached, knows);
        self.do_redial_actions(actions);
    }
}
