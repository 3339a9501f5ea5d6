//! Background work, done in short slices between the calls that matter for latency.

use std::time::Duration;

use lotussaddle_chores::ChoreId;
use lotussaddle_replica::fingerprint;

use super::Member;
use super::batches::FRAME;
use super::interface::Effects;

/// Copies forgotten, or looked at for orphans, in one slice.
pub(super) const SLICE: usize = 2048;
pub(super) const FORGET: ChoreId = ChoreId(0);
pub(super) const LOOK: ChoreId = ChoreId(1);
pub(super) const PIECES: ChoreId = ChoreId(2);
pub(super) const REPAIR: ChoreId = ChoreId(3);

impl Member {
    pub(super) fn want_chores(&mut self) {
        let now = self.now;
        let forget = self.book.next_due().is_some_and(|due| due <= now);
        self.chores.wanted(now, FORGET, forget, None);
        self.chores.wanted(now, LOOK, self.look_from.is_some(), None);
        self.chores.wanted(now, PIECES, !self.wants_pieces.is_empty(), None);
        self.chores.wanted(now, REPAIR, !self.repairs.is_empty(), None);
    }

    /// Does one slice of what may wait, if there is any: true, and [`Member::worked`] is to be told how long it took.
    pub fn work(&mut self, now: Duration, pressed: bool, effects: &mut dyn Effects) -> Option<ChoreId> {
        self.now = now;
        self.want_chores();
        let slice = self.chores.next(now, pressed)?;
        match slice.chore {
            FORGET => {
                let gone = self.book.expire(now, SLICE);
                self.counts.forgotten += gone.len() as u64;
                self.changed.extend(gone);
            }
            LOOK => self.look_for_orphans(),
            PIECES => {
                if let Some((member, cursor)) = self.wants_pieces.pop_front() {
                    self.send_piece(member, cursor, effects);
                }
            }
            _ => {
                if let Some((member, step)) = self.repairs.pop() {
                    self.send_repair(member, step, effects);
                }
            }
        }
        Some(slice.chore)
    }

    /// A slice that [`Member::work`] did took so long.
    pub fn worked(&mut self, now: Duration, chore: ChoreId, took: Duration) {
        let more = match chore {
            FORGET => self.book.next_due().is_some_and(|due| due <= now),
            LOOK => self.look_from.is_some(),
            PIECES => !self.wants_pieces.is_empty(),
            _ => !self.repairs.is_empty(),
        };
        self.chores.done(now, chore, FRAME, took, more);
    }

    fn look_for_orphans(&mut self) {
        let Some(from) = self.look_from.take().filter(|_| self.lives.current() > 0) else { return };
        let now = self.now;
        let mut actions = Vec::new();
        let mut next = None;
        let life = self.lives.current();
        for (looks, (id, copy)) in self.book.iter_from(from).enumerate() {
            if looks >= SLICE {
                next = Some(fingerprint(id));
                break;
            }
            if !copy.owner().is_some_and(|owner| self.takeovers.is_ended(owner)) {
                continue;
            }
            let live = |member: u16| !self.view.is_gone(member);
            let first = self.book.group().candidates(fingerprint(id)).iter().find(|member| live(*member));
            actions.extend(self.takeovers.consider_replica(now, id, copy, first, life));
        }
        self.look_from = next;
        self.do_takeover_actions(actions);
    }
}
