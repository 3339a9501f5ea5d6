//! Anti-entropy: two members compare sums over what they hold, narrow down the ranges that differ, and send what is missing.

use std::collections::VecDeque;

use lotussaddle_replica::RangeDifference;
use lotussaddle_trunk::{Frame, PeerMessage};

use super::Member;
use super::batches::in_frames;
use super::interface::Effects;

/// Steps of comparisons that wait, at most; beyond it they are dropped, and come again with the next comparison.
const MOST_REPAIRS: usize = 1024;

/// A step of a comparison that waits for its turn.
pub(super) enum RepairStep {
    Sums(u8, u32, Vec<u64>),
    Prints(u32, Vec<(u64, u64)>),
    Want(Vec<u64>),
}

/// Steps of comparisons that wait, with the member that each is for.
#[derive(Default)]
pub(super) struct RepairQueue {
    steps: VecDeque<(u16, RepairStep)>,
}

impl RepairQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Adds a step; where the queue is full it is dropped, and comes again with the next comparison.
    pub(super) fn push(&mut self, member: u16, step: RepairStep) {
        if self.steps.len() < MOST_REPAIRS {
            self.steps.push_back((member, step));
        }
    }

    pub(super) fn pop(&mut self) -> Option<(u16, RepairStep)> {
        self.steps.pop_front()
    }

    /// Drops the steps of a member whose link has gone.
    pub(super) fn forget(&mut self, member: u16) {
        self.steps.retain(|(to, _)| *to != member);
    }
}

impl Member {
    pub(super) fn compare(&mut self) {
        for member in self.plan.self_member + 1..self.plan.members.len() as u16 {
            if self.peers.link_to(member).is_some() && self.incoming[usize::from(member)].synced {
                let (level, from, sums) = self.book.top_digests(member);
                self.to_say.push((member, PeerMessage::RangeDigests { level, from, digests: sums }));
            }
        }
    }

    pub(super) fn send_repair(&mut self, member: u16, step: RepairStep, effects: &mut dyn Effects) {
        let Some(link) = self.peers.link_to(member) else { return };
        let mut copies = Vec::new();
        match step {
            RepairStep::Sums(level, from, sums) => {
                for differing in self.book.compare_ranges(member, level, from, &sums) {
                    let peer = match differing {
                        RangeDifference::Subranges(level, from, sums) => {
                            PeerMessage::RangeDigests { level, from, digests: sums }
                        }
                        RangeDifference::Leaf(range, prints) => {
                            PeerMessage::DialogueDigests { range, fingerprints: prints }
                        }
                    };
                    self.tell(link, Frame::PeerMessage(peer), effects);
                }
            }
            RepairStep::Prints(range, prints) => {
                let life = self.view.incarnation(member);
                let repair = self.book.compare_dialogues(self.now, member, life, range, &prints);
                self.counts.repaired +=
                    (repair.to_send.len() + repair.to_request.len() + repair.dropped_count) as u64;
                if !repair.to_request.is_empty() {
                    self.tell(
                        link,
                        Frame::PeerMessage(PeerMessage::RequestReplicas { id_hashes: repair.to_request }),
                        effects,
                    );
                }
                copies = repair.to_send;
            }
            RepairStep::Want(ids) => copies = self.book.requested_replicas(self.now, member, &ids),
        }
        for copies in in_frames(copies).into_iter().filter(|copies| !copies.is_empty()) {
            self.counts.copies_sent += copies.len() as u64;
            let life = self.lives.current();
            self.tell(
                link,
                Frame::PeerMessage(PeerMessage::Replicas { incarnation: life, first: 0, replicas: copies }),
                effects,
            );
        }
    }
}
