//! Frames that arrive on a peer link, each passed on to the part of the member that handles it.

use std::time::Duration;

use lotussaddle_trunk::{Frame, PeerMessage, Replaced};

use super::Member;
use super::interface::{Effects, MemberEvent};
use super::repair::RepairStep;
use crate::incarnations::ProposalOutcome;
use crate::peers::{LinkInfo, LinkState, PeerLink};

impl Member {
    /// A frame was received on a peer link.
    pub fn frame_received(&mut self, now: Duration, link: PeerLink, frame: Frame, effects: &mut dyn Effects) {
        self.now = now;
        let Some(known) = self.peers.links.get_mut(&link) else { return };
        known.liveness.received();
        let known = known.clone();
        match frame {
            Frame::Ping { nonce } => drop(self.send_to_link(link, Frame::Pong { nonce }, effects)),
            Frame::Pong { .. } => {}
            Frame::Bye { why } => self.close(link, &format!("said good-bye: {why}"), effects),
            Frame::Hello(hello) if !known.greeted => self.hello_received(link, &known, &hello, effects),
            Frame::PeerMessage(peer) if known.greeted => {
                self.peer_message_received(link, &known, peer, effects)
            }
            _ => self.close(link, "said what is not a member's to say", effects),
        }
    }

    fn peer_message_received(
        &mut self, link: PeerLink, known: &LinkInfo, peer: PeerMessage, effects: &mut dyn Effects,
    ) {
        if let (LinkState::Operator, PeerMessage::Inquire { query }) = (known.state, &peer) {
            return self.answer_inquiry(link, query, effects);
        }
        let Some(member) = known.member else {
            return self.close(link, "is no member", effects);
        };
        if let PeerMessage::Greeting {
            group,
            member: place,
            incarnation,
            known_remote_incarnation,
            saved,
            last_seen_ago,
        } = peer
        {
            return self.greeting_received(
                link,
                member,
                group,
                place,
                incarnation,
                (known_remote_incarnation, saved),
                last_seen_ago,
                effects,
            );
        }
        if known.state != LinkState::Identified {
            return self.close(link, "spoke before it said who it is", effects);
        }
        self.view.frame_received(self.now, member);
        let place = usize::from(member);
        match peer {
            PeerMessage::Greeting { .. } => {}
            PeerMessage::ProposeIncarnation { incarnation } => {
                self.incarnation_proposed(link, member, incarnation, effects)
            }
            PeerMessage::IncarnationReply { incarnation, granted, highest } => {
                if let ProposalOutcome::New { incarnation, fresh } =
                    self.incarnations.proposal_answered(member, incarnation, granted, highest)
                {
                    self.begin_incarnation(incarnation, fresh && self.has_neighbour_reported(), effects);
                }
            }
            PeerMessage::Membership { message } => self.membership_received(link, member, &message, effects),
            PeerMessage::DiskCount { saved } => self.view.write_count_reported(member, saved),
            PeerMessage::Replicas { incarnation, first, replicas } => {
                self.replicas_received(member, incarnation, first, &replicas, effects)
            }
            PeerMessage::Acknowledge { incarnation, up_to, saved, replaced }
                if incarnation == self.incarnations.current() =>
            {
                self.view.write_count_reported(member, saved);
                for Replaced { dialogue, by } in replaced {
                    self.watch_lines_of_lost_dialogue(&dialogue);
                    if self.replica_table.write_refused(self.now, &dialogue, by) {
                        self.counts.replaced += 1;
                        self.takeovers.remove(&dialogue);
                        self.changed_dialogues.insert(dialogue.clone());
                        self.events.push(MemberEvent::OwnershipLost(dialogue));
                    }
                }
                self.replica_table.replica_acknowledged(member, up_to);
                self.report_completed_writes();
            }
            PeerMessage::Resume { incarnation, received_up_to, snapshot }
                if incarnation == self.incarnations.current() =>
            {
                self.resume_received(member, received_up_to, snapshot);
            }
            PeerMessage::SnapshotChunk { incarnation, cursor, next, replicas }
                if incarnation == self.view.incarnation(member) =>
            {
                self.snapshot_chunk_received(member, cursor, next, &replicas, effects);
            }
            PeerMessage::Ask { serial, dialogue, owner } => {
                self.ask_received(member, serial, dialogue, owner)
            }
            PeerMessage::AskReply { serial, is_authoritative, higher, replica } => {
                self.ask_reply_received(member, serial, is_authoritative, higher, replica.as_ref());
            }
            PeerMessage::RangeDigests { level, from, digests } => {
                self.repairs.push(member, RepairStep::RangeDigests(level, from, digests))
            }
            PeerMessage::DialogueDigests { range, fingerprints } => {
                self.repairs.push(member, RepairStep::DialogueDigests(range, fingerprints))
            }
            PeerMessage::RequestReplicas { id_hashes } => {
                self.repairs.push(member, RepairStep::RequestReplicas(id_hashes))
            }
            // The message belongs to an incarnation other than the one known for this peer, which will send it again.
            PeerMessage::Acknowledge { .. }
            | PeerMessage::Resume { .. }
            | PeerMessage::SnapshotChunk { .. } => {}
            PeerMessage::Duties { message } => {
                let now = self.now;
                if self.duties.as_mut().is_some_and(|duties| !duties.message_received(now, member, &message))
                {
                    self.close(link, "said what cannot be read about duties", effects);
                }
            }
            PeerMessage::CheckLines { action, server } => self.check_lines(member, &action, &server, effects),
            PeerMessage::Publish { action, serial, order } => {
                self.tables_order_received(member, &action, serial, order, effects)
            }
            PeerMessage::Published { serial, why } => {
                let (now, incarnation) = (self.now, self.view.incarnation(member));
                if let Some(duties) = &mut self.duties {
                    duties.member_published(now, member, incarnation, serial, why.as_deref());
                }
            }
            PeerMessage::PublishRequest { name } => {
                let now = self.now;
                self.duties.iter_mut().for_each(|duties| {
                    let _ = duties.request_publish(now, &name); // The requester sees the result in `fleet duties`.
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

    fn membership_received(&mut self, link: PeerLink, from: u16, message: &[u8], effects: &mut dyn Effects) {
        match self.view.received(self.now, from, message) {
            Ok(changed) => {
                let self_member = self.plan.self_member;
                for member in changed.into_iter().filter(|member| *member != self_member) {
                    self.apply_registered_incarnation(member, effects);
                }
            }
            Err(error) => self.close(link, &format!("said what is wrong about membership: {error}"), effects),
        }
    }
}
