//! Anti-entropy: two members compare digests of their replicas, narrow down the ranges that differ, and send the replicas
//! that the other lacks.

use std::collections::VecDeque;

use lotussaddle_replica::RangeDifference;
use lotussaddle_trunk::{Frame, PeerMessage};

use super::Member;
use super::batches::split_into_frames;
use super::interface::Effects;

/// Maximum number of queued comparison steps; further ones are dropped and repeated by the next comparison.
const MAX_QUEUED_REPAIRS: usize = 1024;

/// A queued step of a comparison.
pub(super) enum RepairStep {
    RangeDigests(u8, u32, Vec<u64>),
    DialogueDigests(u32, Vec<(u64, u64)>),
    RequestReplicas(Vec<u64>),
}

/// Queued comparison steps, with the member whose replicas each compares.
#[derive(Default)]
pub(super) struct RepairQueue {
    steps: VecDeque<(u16, RepairStep)>,
}

impl RepairQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Adds a step; if the queue is full the step is dropped and repeated by the next comparison.
    pub(super) fn push(&mut self, member: u16, step: RepairStep) {
        if self.steps.len() < MAX_QUEUED_REPAIRS {
            self.steps.push_back((member, step));
        }
    }

    pub(super) fn pop(&mut self) -> Option<(u16, RepairStep)> {
        self.steps.pop_front()
    }

    /// Drops the steps of a member whose link was closed.
    pub(super) fn remove_member(&mut self, member: u16) {
        self.steps.retain(|(to, _)| *to != member);
    }
}

impl Member {
    pub(super) fn start_comparisons(&mut self) {
        for member in self.plan.self_member + 1..self.plan.members.len() as u16 {
            if self.peers.link_to(member).is_some() && self.incoming[usize::from(member)].synced {
                let (level, from, digests) = self.replica_table.top_digests(member);
                self.outgoing_messages.push((member, PeerMessage::RangeDigests { level, from, digests }));
            }
        }
    }

    pub(super) fn send_repair(&mut self, member: u16, step: RepairStep, effects: &mut dyn Effects) {
        let Some(link) = self.peers.link_to(member) else { return };
        let mut replicas = Vec::new();
        match step {
            RepairStep::RangeDigests(level, from, sums) => {
                for differing in self.replica_table.compare_ranges(member, level, from, &sums) {
                    let peer = match differing {
                        RangeDifference::Subranges(level, from, sums) => {
                            PeerMessage::RangeDigests { level, from, digests: sums }
                        }
                        RangeDifference::Leaf(range, prints) => {
                            PeerMessage::DialogueDigests { range, fingerprints: prints }
                        }
                    };
                    self.send_to_link(link, Frame::PeerMessage(peer), effects);
                }
            }
            RepairStep::DialogueDigests(range, prints) => {
                let incarnation = self.view.incarnation(member);
                let repair =
                    self.replica_table.compare_dialogues(self.now, member, incarnation, range, &prints);
                self.counts.repaired +=
                    (repair.to_send.len() + repair.to_request.len() + repair.dropped_count) as u64;
                if !repair.to_request.is_empty() {
                    self.send_to_link(
                        link,
                        Frame::PeerMessage(PeerMessage::RequestReplicas { id_hashes: repair.to_request }),
                        effects,
                    );
                }
                replicas = repair.to_send;
            }
            RepairStep::RequestReplicas(ids) => {
                replicas = self.replica_table.requested_replicas(self.now, member, &ids)
            }
        }
        for replicas in split_into_frames(replicas).into_iter().filter(|replicas| !replicas.is_empty()) {
            self.counts.copies_sent += replicas.len() as u64;
            let incarnation = self.incarnations.current();
            self.send_to_link(
                link,
                Frame::PeerMessage(PeerMessage::Replicas { incarnation, first: 0, replicas }),
                effects,
            );
        }
    }
}
