//! Replication streams: replicas sent and received in order, and the snapshots that precede a stream.

use lotussaddle::interface::DialogueId;
use lotussaddle_replica::{MergeResult, Replica};
use lotussaddle_trunk::{Cursor, Frame, PeerMessage, Replaced, ReplicaUpdate};

use super::Member;
use super::batches::split_into_frames;
use super::interface::{Effects, MemberEvent};

/// Maximum number of replicas sent to one member in one iteration.
const MAX_UPDATES_PER_ITERATION: usize = 512;

/// Position in the stream received from a peer.
#[derive(Default)]
pub(super) struct Incoming {
    pub(super) incarnation: u64,
    /// Number of the last update received in order, or covered by a snapshot chunk.
    pub(super) received_up_to: u64,
    /// Position in the peer's snapshot, while it is being received.
    pub(super) snapshot: Option<Cursor>,
    /// Whether the snapshot of the peer was received completely in this incarnation.
    pub(super) synced: bool,
    /// Whether an acknowledgement is due. None is sent before the snapshot is complete, since earlier updates are missing until then.
    pub(super) acknowledgement_due: bool,
    /// Rejected replicas, to be reported with the next acknowledgement.
    pub(super) replaced: Vec<Replaced>,
}

impl Member {
    /// Reports the position in a peer's stream, and requests a snapshot where earlier updates are missing.
    pub(super) fn send_resume(&mut self, member: u16, effects: &mut dyn Effects) {
        let incarnation = self.view.incarnation(member);
        let Some(link) =
            self.peers.link_to(member).filter(|_| incarnation > 0 && self.incarnations.current() > 0)
        else {
            return;
        };
        let incoming = &mut self.incoming[usize::from(member)];
        if incoming.incarnation != incarnation {
            (
                incoming.incarnation,
                incoming.received_up_to,
                incoming.snapshot,
                incoming.acknowledgement_due,
            ) = (incarnation, 0, None, false);
        }
        // The disk may not have all that was received: the acknowledgement follows the disk write.
        incoming.acknowledgement_due |= incoming.synced;
        let snapshot = (!incoming.synced).then(|| incoming.snapshot.unwrap_or(Cursor { at: 0, from: 0 }));
        let resume = PeerMessage::Resume { incarnation, received_up_to: incoming.received_up_to, snapshot };
        self.send_to_link(link, Frame::PeerMessage(resume), effects);
    }

    /// A peer reports its position in the stream to it.
    pub(super) fn resume_received(&mut self, member: u16, received_up_to: u64, snapshot: Option<Cursor>) {
        let place = usize::from(member);
        let first = !std::mem::replace(&mut self.peer_resumed[place], true);
        let from_start = snapshot == Some(Cursor { at: 0, from: 0 });
        if from_start {
            let cursor = self.replica_table.cursor(member);
            self.replica_table.stream(member).resume(cursor.at);
            self.snapshot_requests.push_back((member, cursor));
        } else if first && !self.replica_table.stream(member).resume(received_up_to) {
            // The updates after this position are no longer retained: a new snapshot is sent.
            let cursor = self.replica_table.cursor(member);
            self.snapshot_requests.push_back((member, cursor));
        } else if let Some(cursor) = snapshot {
            self.snapshot_requests.push_back((member, cursor));
        }
    }

    pub(super) fn snapshot_chunk_received(
        &mut self, member: u16, cursor: Cursor, next: Option<u64>, replicas: &[ReplicaUpdate],
        effects: &mut dyn Effects,
    ) {
        let merged = self.replica_table.merge_received(self.now, replicas);
        self.counts.pieces += 1;
        self.apply_merge_result(merged, effects);
        let incoming = &mut self.incoming[usize::from(member)];
        incoming.received_up_to = incoming.received_up_to.max(cursor.at);
        incoming.synced = next.is_none();
        incoming.acknowledgement_due |= incoming.synced;
        incoming.snapshot = next.map(|from| Cursor { at: cursor.at, from });
        if next.is_some() {
            self.send_resume(member, effects);
        } else {
            effects.log(&format!("caught up with member {}", self.name(member)));
            self.next_comparison_at = self.now;
        }
    }

    pub(super) fn replicas_received(
        &mut self, member: u16, incarnation: u64, first: u64, replicas: &[ReplicaUpdate],
        effects: &mut dyn Effects,
    ) {
        let merged = self.replica_table.merge_received(self.now, replicas);
        let replaced = self.apply_merge_result(merged, effects);
        let incoming = &mut self.incoming[usize::from(member)];
        if first == 0 || incarnation != incoming.incarnation {
            if !replaced.is_empty() && incarnation == incoming.incarnation {
                incoming.replaced.extend(replaced);
            }
            return;
        }
        incoming.replaced.extend(replaced);
        // After a snapshot has started, the stream continues at the number in its first chunk.
        if incoming.synced && first > incoming.received_up_to + 1 {
            // Updates are missing: the position is reported again.
            self.peer_resumed[usize::from(member)] = false;
            return self.send_resume(member, effects);
        }
        incoming.received_up_to = incoming.received_up_to.max(first + replicas.len() as u64 - 1);
        incoming.acknowledgement_due = true;
    }

    /// Applies the result of merging replicas; returns the rejected ones.
    fn apply_merge_result(&mut self, merged: MergeResult, effects: &mut dyn Effects) -> Vec<Replaced> {
        self.counts.copies_taken += merged.changed.len() as u64;
        self.counts.copies_refused += merged.rejected_count as u64;
        for id in &merged.answer_conflicts {
            self.counts.differ += 1;
            let answers = self.replica_table.get(id).map(Replica::answers).unwrap_or_default();
            effects.log(&format!("dialogue {} has two different answers: {answers:?}", id.0));
        }
        for (id, _) in merged.ownership_lost {
            self.counts.replaced += 1;
            self.watch_lines_of_lost_dialogue(&id);
            self.takeovers.remove(&id);
            self.events.push(MemberEvent::OwnershipLost(id));
        }
        if self.takeovers.has_ended_incarnations() {
            let is_orphaned = |id: &DialogueId| {
                self.replica_table
                    .get(id)
                    .and_then(Replica::owner)
                    .is_some_and(|o| self.takeovers.is_ended(o))
            };
            let needs_rescan = merged.changed.iter().any(is_orphaned);
            self.takeovers.rescan_needed |= needs_rescan;
        }
        self.changed_dialogues.extend(merged.changed);
        merged.replaced
    }

    pub(super) fn send_snapshot_chunk(&mut self, member: u16, cursor: Cursor, effects: &mut dyn Effects) {
        let Some(link) = self.peers.link_to(member) else { return };
        let (replicas, next) = self.replica_table.snapshot_chunk(self.now, member, cursor.from);
        let incarnation = self.incarnations.current();
        let mut frames = split_into_frames(replicas);
        let last = frames.pop().unwrap_or_default();
        for replicas in frames {
            self.counts.copies_sent += replicas.len() as u64;
            self.send_to_link(
                link,
                Frame::PeerMessage(PeerMessage::Replicas { incarnation, first: 0, replicas }),
                effects,
            );
        }
        self.counts.copies_sent += last.len() as u64;
        self.send_to_link(
            link,
            Frame::PeerMessage(PeerMessage::SnapshotChunk { incarnation, cursor, next, replicas: last }),
            effects,
        );
    }

    /// Sends pending updates to all peers, up to the limit of one iteration.
    pub(super) fn send_streams(&mut self, effects: &mut dyn Effects) {
        if self.incarnations.current() == 0 {
            return;
        }
        for member in 0..self.plan.members.len() as u16 {
            if self.peer_resumed[usize::from(member)] && self.replica_table.stream(member).has_unsent() {
                self.send_stream(member, effects);
            }
        }
    }

    fn send_stream(&mut self, member: u16, effects: &mut dyn Effects) {
        let Some(link) = self.peers.link_to(member) else { return };
        if self.replica_table.stream(member).is_overrun() {
            return self.close(link, "too far behind: it begins anew with a snapshot", effects);
        }
        let Some((mut first, replicas)) =
            self.replica_table.next_updates(self.now, member, MAX_UPDATES_PER_ITERATION)
        else {
            return;
        };
        let incarnation = self.incarnations.current();
        for replicas in split_into_frames(replicas) {
            let count = replicas.len() as u64;
            self.counts.copies_sent += count;
            if !self.send_to_link(
                link,
                Frame::PeerMessage(PeerMessage::Replicas { incarnation, first, replicas }),
                effects,
            ) {
                return;
            }
            first += count;
        }
    }

    /// Whether updates remain to be sent after this iteration.
    pub fn has_unsent_updates(&mut self) -> bool {
        (0..self.plan.members.len() as u16).any(|member| {
            self.peer_resumed[usize::from(member)]
                && self.peers.link_to(member).is_some()
                && self.replica_table.stream(member).has_unsent()
        })
    }
}
