//! Redials: looks up redialled dialogues in the replicas of other members, and answers the look-ups of other members.

use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_replica::{Replica, ReplicaReading, fingerprint};
use lotussaddle_trunk::{AuditMessage, Frame, Owner, PeerMessage, Progress, ReplicaUpdate};

use super::Member;
use super::interface::MemberEvent;
use crate::membership_view::MembershipView;
use crate::peers::Peers;
use crate::redial::{RedialAction, RedialSearch, Verdict};

/// Maximum number of look-ups answered in one iteration; a member without a reply treats the outcome as unknown.
pub(super) const MAX_REPLIES_PER_ITERATION: usize = 30_000;

/// Whether messages are expected to reach a member: there is a link and the member is responsive.
pub(super) fn has_responsive_link(peers: &Peers, view: &MembershipView, now: Duration, member: u16) -> bool {
    peers.link_to(member).is_some() && view.is_reachable(now, member)
}

impl Member {
    /// Looks up a dialogue that its caller redials. The result is reported by [`MemberEvent::RedialResolved`].
    pub fn look_up_dialogue(&mut self, now: Duration, id: &DialogueId, cut_off: Duration) {
        self.now = now;
        self.counts.asks += 1;
        let retry_after = self.plan.response_timeout;
        if self.incarnations.current() == 0
            || self.redials.len() + self.confirmations.len() >= self.plan.max_searches
        {
            self.counts.asks_refused += 1;
            return self
                .events
                .push(MemberEvent::RedialResolved(id.clone(), Verdict::Unsure { retry_after }));
        }
        self.confirmations.remove(id);
        if let Some((server, launch)) = self.takeovers.claim_held(id) {
            return self.confirm(id.clone(), Verdict::Stands { server, launch });
        }
        // As long as this member owns a dialogue, its own replica is decisive: had another member continued the dialogue, later
        // writes would be refused. A dialogue that stood is looked up nevertheless, since its line is no longer held here.
        let own =
            self.replica_table.get(id).filter(|_| self.replica_table.owns_dialogue(id)).map(Replica::reading);
        let verdict = match own {
            Some(ReplicaReading::Answered(answer)) => Some(Verdict::Answered(answer.clone())),
            Some(ReplicaReading::Ended) => Some(Verdict::Concluded),
            Some(ReplicaReading::Open { blocked_until, .. })
                if blocked_until > now && blocked_until + self.plan.release_time >= cut_off =>
            {
                Some(Verdict::Unsure { retry_after: blocked_until - now })
            }
            Some(ReplicaReading::Open { blocked_until, .. }) => {
                Some(Verdict::Free { not_before: blocked_until.max(now) })
            }
            Some(ReplicaReading::Stands { .. }) | None => None,
        };
        if let Some(verdict) = verdict {
            return self.confirm(id.clone(), verdict);
        }
        self.takeovers.remove(id);
        let id_hash = fingerprint(id);
        let candidates: Vec<u16> = self.replica_table.group().candidates(id_hash).iter().collect();
        let known = self.replica_table.get(id).cloned().unwrap_or_default();
        let round = known.owner().map_or(0, |owner| owner.round) + 1;
        let owner = Owner { round, member: self.plan.self_member, incarnation: self.incarnations.current() };
        let mut knows = candidates.contains(&self.plan.self_member) && self.caught_up();
        if candidates.contains(&self.plan.self_member) {
            self.replica_table.claim_requested(now, id, owner);
            knows &= self.replica_table.has_claim(id, owner);
        }
        let (peers, view) = (&self.peers, &self.view);
        let is_reachable = |member: u16| has_responsive_link(peers, view, now, member);
        let begin = RedialSearch { is_reachable: &is_reachable, knows, known, owner, cut_off };
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
            return; // From another incarnation, or on behalf of another member.
        }
        let actions = self.redials.competing_claim(&id, owner);
        self.do_redial_actions(actions);
        if self.replica_table.owns_dialogue(&id)
            && self.replica_table.get(&id).and_then(Replica::owner) < Some(owner)
        {
            // Running launches are cancelled first, so that the reply states how long their outcome is unknown.
            let requests = self.ownership_requests.entry(id.clone()).or_default();
            requests.push((member, serial, owner));
            self.confirmations.remove(&id);
            self.watch_lines_of_lost_dialogue(&id);
            return self.events.push(MemberEvent::GiveUpDialogue(id));
        }
        self.answer_ask(member, serial, &id, owner);
    }

    pub(super) fn answer_ask(&mut self, member: u16, serial: u64, id: &DialogueId, owner: Owner) {
        let (higher, replica) = self.replica_table.claim_requested(self.now, id, owner);
        let is_authoritative =
            higher.is_none() && self.caught_up() && self.replica_table.has_claim(id, owner);
        self.changed_dialogues.insert(id.clone());
        // A promise must survive a kill of the process: it is persisted before it is sent.
        if self.promised_replies.len() < MAX_REPLIES_PER_ITERATION {
            self.promised_replies
                .push((member, PeerMessage::AskReply { serial, is_authoritative, higher, replica }));
        }
    }

    pub(super) fn ask_reply_received(
        &mut self, from: u16, serial: u64, is_authoritative: bool, higher: Option<Owner>,
        replica: Option<&ReplicaUpdate>,
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
            // Records this member's own promise for the higher claim that it is about to make.
            let owner = Owner { round: owner.round.max(higher.round + 1), ..owner };
            self.replica_table.claim_requested(self.now, &id, owner);
        }
        let (peers, view, now) = (&self.peers, &self.view, self.now);
        let is_reachable = |member: u16| has_responsive_link(peers, view, now, member);
        let actions = self.redials.answered(
            now,
            serial,
            from,
            is_authoritative,
            higher,
            replica.as_ref(),
            &is_reachable,
            knows,
        );
        self.do_redial_actions(actions);
    }
}
