//! Frames that arrive on a peer link, each passed on to the part of the member that handles it.

use std::time::Duration;

use lotussaddle_trunk::{Frame, PeerMessage, Replaced};

use super::Member;
use super::interface::{Effects, Finding};
use super::repair::RepairStep;
use crate::incarnations::ProposalOutcome;
use crate::peers::{LinkInfo, LinkState, PeerLink};

impl Member {
    /// A frame came on a peer link.
    pub fn heard(&mut self, now: Duration, link: PeerLink, frame: Frame, effects: &mut dyn Effects) {
        self.now = now;
        let Some(known) = self.peers.links.get_mut(&link) else { return };
        known.liveness.received();
        let known = known.clone();
        match frame {
            Frame::Ping { nonce } => drop(self.tell(link, Frame::Pong { nonce }, effects)),
            Frame::Pong { .. } => {}
            Frame::Bye { why } => self.close(link, &format!("said good-bye: {why}"), effects),
            Frame::Hello(hello) if !known.greeted => self.greeted(link, &known, &hello, effects),
            Frame::PeerMessage(peer) if known.greeted => self.peer_said(link, &known, peer, effects),
            _ => self.close(link, "said what is not a member's to say", effects),
        }
    }

    fn peer_said(&mut self, link: PeerLink, known: &LinkInfo, peer: PeerMessage, effects: &mut dyn Effects) {
        if let (LinkState::Operator, PeerMessage::Inquire { query: what }) = (known.state, &peer) {
            return self.answer_inquiry(link, what, effects);
        }
        let Some(member) = known.member else {
            return self.close(link, "is no member", effects);
        };
        if let PeerMessage::Greeting {
            group,
            member: place,
            incarnation: life,
            known_remote_incarnation: yours,
            saved,
            last_seen_ago: away,
        } = peer
        {
            return self.is_here(link, member, group, place, life, (yours, saved), away, effects);
        }
        if known.state != LinkState::Identified {
            return self.close(link, "spoke before it said who it is", effects);
        }
        self.view.frame_received(self.now, member);
        let place = usize::from(member);
        match peer {
            PeerMessage::Greeting { .. } => {}
            PeerMessage::ProposeIncarnation { incarnation: life } => {
                self.life_asked(link, member, life, effects)
            }
            PeerMessage::IncarnationReply { incarnation: life, granted: given, highest } => {
                if let ProposalOutcome::New { life, fresh } =
                    self.lives.proposal_answered(member, life, given, highest)
                {
                    self.begin_life(life, fresh && self.has_neighbour_told(), effects);
                }
            }
            PeerMessage::Membership { message } => self.membership_came(link, member, &message, effects),
            PeerMessage::DiskCount { saved } => self.view.write_count_reported(member, saved),
            PeerMessage::Replicas { incarnation: life, first, replicas: copies } => {
                self.copies_came(member, life, first, &copies, effects)
            }
            PeerMessage::Acknowledge { incarnation: life, up_to, saved, replaced }
                if life == self.lives.current() =>
            {
                self.view.write_count_reported(member, saved);
                for Replaced { dialogue, by } in replaced {
                    self.goes(&dialogue);
                    if self.book.write_refused(self.now, &dialogue, by) {
                        self.counts.replaced += 1;
                        self.takeovers.remove(&dialogue);
                        self.changed.insert(dialogue.clone());
                        self.findings.push(Finding::Replaced(dialogue));
                    }
                }
                self.book.replica_acknowledged(member, up_to);
                self.are_kept();
            }
            PeerMessage::Resume { incarnation: life, received_up_to: have, snapshot }
                if life == self.lives.current() =>
            {
                self.resume_asked(member, have, snapshot);
            }
            PeerMessage::SnapshotChunk { incarnation: life, cursor, next, replicas: copies }
                if life == self.view.incarnation(member) =>
            {
                self.piece_came(member, cursor, next, &copies, effects);
            }
            PeerMessage::Ask { serial, dialogue, owner } => self.asked(member, serial, dialogue, owner),
            PeerMessage::AskReply { serial, is_authoritative: sure, higher, replica: copy } => {
                self.told(member, serial, sure, higher, copy.as_ref());
            }
            PeerMessage::RangeDigests { level, from, digests: sums } => {
                self.repairs.push(member, RepairStep::Sums(level, from, sums))
            }
            PeerMessage::DialogueDigests { range, fingerprints: prints } => {
                self.repairs.push(member, RepairStep::Prints(range, prints))
            }
            PeerMessage::RequestReplicas { id_hashes: ids } => {
                self.repairs.push(member, RepairStep::Want(ids))
            }
            // Of another life than the one that is known: it will be said again.
            PeerMessage::Acknowledge { .. }
            | PeerMessage::Resume { .. }
            | PeerMessage::SnapshotChunk { .. } => {}
            PeerMessage::Duties { message: word } => {
                let now = self.now;
                if self.duties.as_mut().is_some_and(|duties| !duties.message_received(now, member, &word)) {
                    self.close(link, "said what cannot be read about duties", effects);
                }
            }
            PeerMessage::CheckLines { action: act, server } => self.check(member, &act, &server, effects),
            PeerMessage::Publish { action: act, serial, order } => {
                self.ordered(member, &act, serial, order, effects)
            }
            PeerMessage::Published { serial, why } => {
                let (now, life) = (self.now, self.view.incarnation(member));
                if let Some(duties) = &mut self.duties {
                    duties.member_published(now, member, life, serial, why.as_deref());
                }
            }
            PeerMessage::PublishRequest { name } => {
                let now = self.now;
                self.duties.iter_mut().for_each(|duties| {
                    let _ = duties.request_publish(now, &name); // Who asked sees by `fleet duties` what came of it.
                });
            }
            PeerMessage::Fenced { duty, highest } => {
                let now = self.now;
                self.duties.iter_mut().for_each(|duties| duties.token_refused(now, duty, highest));
            }
            PeerMessage::Inquire { .. } | PeerMessage::InquireReply { .. } => {
                self.close(link, "is no operator", effects)
            }
        }
        debug_assert!(place < self.incoming.len());
    }

    fn membership_came(&mut self, link: PeerLink, from: u16, message: &[u8], effects: &mut dyn Effects) {
        match self.view.received(self.now, from, message) {
            Ok(changed) => {
                let me = self.plan.self_member;
                for member in changed.into_iter().filter(|member| *member != me) {
                    self.register_tells_life(member, effects);
                }
            }
            Err(error) => self.close(link, &format!("said what is wrong about membership: {error}"), effects),
        }
    }
}
