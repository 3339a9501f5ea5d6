//! Replication streams: copies sent and received in order, and the snapshots that precede a stream.

use lotussaddle::interface::DialogueId;
use lotussaddle_replica::{MergeResult, Replica};
use lotussaddle_trunk::{Cursor, Frame, PeerMessage, Replaced, ReplicaUpdate};

use super::Member;
use super::batches::in_frames;
use super::interface::{Effects, Finding};

/// Copies sent to one member in one turn, at most.
const A_TURN: usize = 512;

/// What is had of a peer's stream.
#[derive(Default)]
pub(super) struct Incoming {
    pub(super) life: u64,
    pub(super) have: u64,
    /// Where its snapshot stands, while one comes.
    pub(super) snapshot: Option<Cursor>,
    /// All that it knew, and this member is to know, was had once in this life.
    pub(super) synced: bool,
    /// An acknowledgement is owed; none is given before the snapshot is whole, since what it leads up to was not had before.
    pub(super) owed: bool,
    pub(super) replaced: Vec<Replaced>,
}

impl Member {
    /// Says what is had of a peer's stream, and asks for a snapshot where all before it is not had.
    pub(super) fn resume(&mut self, member: u16, effects: &mut dyn Effects) {
        let life = self.view.incarnation(member);
        let Some(link) = self.peers.link_to(member).filter(|_| life > 0 && self.lives.current() > 0) else {
            return;
        };
        let incoming = &mut self.incoming[usize::from(member)];
        if incoming.life != life {
            (incoming.life, incoming.have, incoming.snapshot, incoming.owed) = (life, 0, None, false);
        }
        // What it has, its disk may not have had yet: it is acknowledged behind that.
        incoming.owed |= incoming.synced;
        let snapshot = (!incoming.synced).then(|| incoming.snapshot.unwrap_or(Cursor { at: 0, from: 0 }));
        let resume = PeerMessage::Resume { incarnation: life, received_up_to: incoming.have, snapshot };
        self.tell(link, Frame::PeerMessage(resume), effects);
    }

    /// A peer says what it has of the stream to it.
    pub(super) fn resume_asked(&mut self, member: u16, have: u64, snapshot: Option<Cursor>) {
        let place = usize::from(member);
        let first = !std::mem::replace(&mut self.resumed[place], true);
        let begins = snapshot == Some(Cursor { at: 0, from: 0 });
        if begins {
            let cursor = self.book.cursor(member);
            self.book.stream(member).resume(cursor.at);
            self.wants_pieces.push_back((member, cursor));
        } else if first && !self.book.stream(member).resume(have) {
            // The tail behind it is not kept any more: all anew.
            let cursor = self.book.cursor(member);
            self.wants_pieces.push_back((member, cursor));
        } else if let Some(cursor) = snapshot {
            self.wants_pieces.push_back((member, cursor));
        }
    }

    pub(super) fn piece_came(
        &mut self, member: u16, cursor: Cursor, next: Option<u64>, copies: &[ReplicaUpdate],
        effects: &mut dyn Effects,
    ) {
        let news = self.book.merge_received(self.now, copies);
        self.counts.pieces += 1;
        self.news(news, effects);
        let incoming = &mut self.incoming[usize::from(member)];
        incoming.have = incoming.have.max(cursor.at);
        incoming.synced = next.is_none();
        incoming.owed |= incoming.synced;
        incoming.snapshot = next.map(|from| Cursor { at: cursor.at, from });
        if next.is_some() {
            self.resume(member, effects);
        } else {
            effects.log(&format!("caught up with member {}", self.name(member)));
            self.compare_at = self.now;
        }
    }

    pub(super) fn copies_came(
        &mut self, member: u16, life: u64, first: u64, copies: &[ReplicaUpdate], effects: &mut dyn Effects,
    ) {
        let news = self.book.merge_received(self.now, copies);
        let replaced = self.news(news, effects);
        let incoming = &mut self.incoming[usize::from(member)];
        if first == 0 || life != incoming.life {
            if !replaced.is_empty() && life == incoming.life {
                incoming.replaced.extend(replaced);
            }
            return;
        }
        incoming.replaced.extend(replaced);
        // Behind a snapshot that has begun the stream goes on at a number that is told with its first piece.
        if incoming.synced && first > incoming.have + 1 {
            // Some are missing: it is told again what is had.
            self.resumed[usize::from(member)] = false;
            return self.resume(member, effects);
        }
        incoming.have = incoming.have.max(first + copies.len() as u64 - 1);
        incoming.owed = true;
    }

    /// What came of copies: those that were refused are given back.
    fn news(&mut self, news: MergeResult, effects: &mut dyn Effects) -> Vec<Replaced> {
        self.counts.copies_taken += news.changed.len() as u64;
        self.counts.copies_refused += news.rejected_count as u64;
        for id in &news.answer_conflicts {
            self.counts.differ += 1;
            let answers = self.book.get(id).map(Replica::answers).unwrap_or_default();
            effects.log(&format!("dialogue {} has two different answers: {answers:?}", id.0));
        }
        for (id, _) in news.ownership_lost {
            self.counts.replaced += 1;
            self.goes(&id);
            self.takeovers.remove(&id);
            self.findings.push(Finding::Replaced(id));
        }
        if self.takeovers.has_ended_incarnations() {
            let left = |id: &DialogueId| {
                self.book.get(id).and_then(Replica::owner).is_some_and(|o| self.takeovers.is_ended(o))
            };
            let look = news.changed.iter().any(left);
            self.takeovers.rescan_needed |= look;
        }
        self.changed.extend(news.changed);
        news.replaced
    }

    pub(super) fn send_piece(&mut self, member: u16, cursor: Cursor, effects: &mut dyn Effects) {
        let Some(link) = self.peers.link_to(member) else { return };
        let (copies, next) = self.book.snapshot_chunk(self.now, member, cursor.from);
        let life = self.lives.current();
        let mut frames = in_frames(copies);
        let last = frames.pop().unwrap_or_default();
        for copies in frames {
            self.counts.copies_sent += copies.len() as u64;
            self.tell(
                link,
                Frame::PeerMessage(PeerMessage::Replicas { incarnation: life, first: 0, replicas: copies }),
                effects,
            );
        }
        self.counts.copies_sent += last.len() as u64;
        self.tell(
            link,
            Frame::PeerMessage(PeerMessage::SnapshotChunk {
                incarnation: life,
                cursor,
                next,
                replicas: last,
            }),
            effects,
        );
    }

    /// Sends what the streams to all peers have, as much as one turn takes.
    pub(super) fn send_streams(&mut self, effects: &mut dyn Effects) {
        if self.lives.current() == 0 {
            return;
        }
        for member in 0..self.plan.members.len() as u16 {
            if self.resumed[usize::from(member)] && self.book.stream(member).has_unsent() {
                self.send_stream(member, effects);
            }
        }
    }

    fn send_stream(&mut self, member: u16, effects: &mut dyn Effects) {
        let Some(link) = self.peers.link_to(member) else { return };
        if self.book.stream(member).is_overrun() {
            return self.close(link, "too far behind: it begins anew with a snapshot", effects);
        }
        let Some((mut first, copies)) = self.book.next_updates(self.now, member, A_TURN) else { return };
        let life = self.lives.current();
        for copies in in_frames(copies) {
            let count = copies.len() as u64;
            self.counts.copies_sent += count;
            if !self.tell(
                link,
                Frame::PeerMessage(PeerMessage::Replicas { incarnation: life, first, replicas: copies }),
                effects,
            ) {
                return;
            }
            first += count;
        }
    }

    /// Whether there is more to be sent than one turn takes.
    pub fn is_behind(&mut self) -> bool {
        (0..self.plan.members.len() as u16).any(|member| {
            self.resumed[usize::from(member)]
                && self.peers.link_to(member).is_some()
                && self.book.stream(member).has_unsent()
        })
    }
}
