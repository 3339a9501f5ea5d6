//! Redials: what is known of a dialogue that was dialled before, asked of the replicas, and the answers this member gives
//! when another member asks.

use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_replica::{Replica, ReplicaReading, fingerprint};
use lotussaddle_trunk::{AuditMessage, Frame, Owner, PeerMessage, Progress, ReplicaUpdate};

use super::Member;
use super::interface::MemberEvent;
use crate::membership_view::MembershipView;
use crate::peers::Peers;
use crate::redial::{RedialAction, RedialSearch, Verdict};

/// Questions answered in one iteration (upper bound); an asker without a reply treats the outcome as unknown.
pub(super) const MAX_REPLIES_PER_ITERATION: usize = 30_000;

/// Whether messages are expected to reach a member: there is a link and the member is responsive.
pub(super) fn is_reached(peers: &Peers, view: &MembershipView, now: Duration, member: u16) -> bool {
    peers.link_to(member).is_some() && view.is_reachable(now, member)
}

impl Member {
    /// Looks up a dialogue that its caller redials. The result is reported by [`MemberEvent::RedialResolved`].
    pub fn look_up_dialogue(&mut self, now: Duration, id: &DialogueId, cut_off: Duration) {
        self.now = now;
        self.counts.asks += 1;
        let come_back = self.plan.response_timeout;
        if self.lives.current() == 0
            || self.redials.len() + self.confirmations.len() >= self.plan.max_searches
        {
            self.counts.asks_refused += 1;
            return self
                .events
                .push(MemberEvent::RedialResolved(id.clone(), Verdict::Unsure { retry_after: come_back }));
        }
        self.confirmations.remove(id);
        if let Some((server, launch)) = self.takeovers.claim_held(id) {
            return self.confirm(id.clone(), Verdict::Stands { server, launch });
        }
        // What this member owns nobody else has gone on with, or its writes will be refused. What stood is asked for all the same:
        // it is not held here any more.
        let own =
            self.replica_table.get(id).filter(|_| self.replica_table.owns_dialogue(id)).map(Replica::reading);
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
        let candidates: Vec<u16> = self.replica_table.group().candidates(print).iter().collect();
        let known = self.replica_table.get(id).cloned().unwrap_or_default();
        let round = known.owner().map_or(0, |owner| owner.round) + 1;
        let owner = Owner { round, member: self.plan.self_member, incarnation: self.lives.current() };
        let mut knows = candidates.contains(&self.plan.self_member) && self.caught_up();
        if candidates.contains(&self.plan.self_member) {
            self.replica_table.claim_requested(now, id, owner);
            knows &= self.replica_table.has_claim(id, owner);
        }
        let (peers, view) = (&self.peers, &self.view);
        let reached = |member: u16| is_reached(peers, view, now, member);
        let begin = RedialSearch { reached: &reached, knows, known, owner, cut_off };
        let actions = self.redials.begin(now, id, begin);
        self.do_redial_actions(actions);
    }

    /// Cancels a look-up that its caller no longer waits for.
    pub fn cancel_look_up(&mut self, id: &DialogueId) {
        self.redials.cancel(id);
    }

    pub(super) fn do_redial_actions(&mut self, actions: Vec<RedialAction>) {
        for action in actions {
            match action {
                RedialAction::Ask { to, serial, dialogue, owner } => {
                    self.outgoing_messages.push((to, PeerMessage::Ask { serial, dialogue, owner }));
                }
                RedialAction::Claim { dialogue, owner, found } => {
                    self.replica_table.claim(self.now, &dialogue, owner, &found);
                    self.write_step(&dialogue, Progress::Accepted, Duration::ZERO, None, self.now, 0);
                }
                RedialAction::Adopt { server, dialogue, owner } => {
                    self.takeovers.claim_yielded(self.now, &server); // The answer may be lost.
                    let frame = Frame::AuditMessage(AuditMessage::Adopt { dialogue, owner, action: None });
                    self.events.push(MemberEvent::SendToCore(server, frame));
                }
                RedialAction::Report(id, verdict) => self.confirm(id, verdict),
            }
        }
    }

    pub(super) fn ask_received(&mut self, member: u16, serial: u64, id: DialogueId, owner: Owner) {
        if owner.member != member || owner.incarnation != self.view.incarnation(member) {
            return; // Of another incarnation, or in another's name.
        }
        let actions = self.redials.competing_claim(&id, owner);
        self.do_redial_actions(actions);
        if self.replica_table.owns_dialogue(&id)
            && self.replica_table.get(&id).and_then(Replica::owner) < Some(owner)
        {
            // Running launches are cancelled first, so that the reply says how long their outcome is unknown.
            let waits = self.ownership_requests.entry(id.clone()).or_default();
            waits.push((member, serial, owner));
            self.confirmations.remove(&id);
            self.watch_lines_of_lost_dialogue(&id);
            return self.events.push(MemberEvent::GiveUpDialogue(id));
        }
        self.answer_ask(member, serial, &id, owner);
    }

    pub(super) fn answer_ask(&mut self, member: u16, serial: u64, id: &DialogueId, owner: Owner) {
        let (higher, replica) = self.replica_table.claim_requested(self.now, id, owner);
        let sure = higher.is_none() && self.caught_up() && self.replica_table.has_claim(id, owner);
        self.changed_dialogues.insert(id.clone());
        // A promise must survive a kill of the process: it is persisted before it is sent.
        if self.promised_replies.len() < MAX_REPLIES_PER_ITERATION {
            self.promised_replies
                .push((member, PeerMessage::AskReply { serial, is_authoritative: sure, higher, replica }));
        }
    }

    pub(super) fn ask_reply_received(
        &mut self, from: u16, serial: u64, sure: bool, higher: Option<Owner>, replica: Option<&ReplicaUpdate>,
    ) {
        let Some((id, owner)) = self.redials.search_of(serial) else { return };
        let id = id.clone();
        let replica = replica
            .filter(|replica| replica.dialogue == id)
            .map(|replica| Replica::from_update(self.now, replica));
        let candidate =
            self.replica_table.group().candidates(fingerprint(&id)).contains(self.plan.self_member);
        let knows = candidate && self.caught_up();
        if let (true, Some(higher)) = (candidate, higher) {
            // This member promises itself the higher claim that it is about to make.
            let owner = Owner { round: owner.round.max(higher.round + 1), ..owner };
            self.replica_table.claim_requested(self.now, &id, owner);
        }
        let (peers, view, now) = (&self.peers, &self.view, self.now);
        let reached = |member: u16| is_reached(peers, view, now, member);
        let actions =
            self.redials.answered(now, serial, from, sure, higher, replica.as_ref(), &reached, knows);
        self.do_redial_actions(actions);
    }
}
