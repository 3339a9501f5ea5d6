//! Background work, done in short slices between the calls that matter for latency.

use std::time::Duration;

use lotussaddle_chores::TaskId;
use lotussaddle_replica::fingerprint;

use super::Member;
use super::batches::FRAME;
use super::interface::Effects;

/// Copies forgotten, or looked at for orphans, in one slice.
pub(super) const SLICE: usize = 2048;
pub(super) const FORGET: TaskId = TaskId(0);
pub(super) const LOOK: TaskId = TaskId(1);
pub(super) const PIECES: TaskId = TaskId(2);
pub(super) const REPAIR: TaskId = TaskId(3);

impl Member {
    pub(super) fn update_pending_tasks(&mut self) {
        let now = self.now;
        let forget = self.book.next_due().is_some_and(|due| due <= now);
        self.tasks.set_pending(now, FORGET, forget, None);
        self.tasks.set_pending(now, LOOK, self.look_from.is_some(), None);
        self.tasks.set_pending(now, PIECES, !self.wants_pieces.is_empty(), None);
        self.tasks.set_pending(now, REPAIR, !self.repairs.is_empty(), None);
    }

    /// Does one slice of what may wait, if there is any: true, and [`Member::worked`] is to be told how long it took.
    pub fn work(&mut self, now: Duration, pressed: bool, effects: &mut dyn Effects) -> Option<TaskId> {
        self.now = now;
        self.update_pending_tasks();
        let slice = self.tasks.next_slice(now, pressed)?;
        match slice.task {
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
        Some(slice.task)
    }

    /// A slice that [`Member::work`] did took so long.
    pub fn worked(&mut self, now: Duration, task: TaskId, took: Duration) {
        let more = match task {
            FORGET => self.book.next_due().is_some_and(|due| due <= now),
            LOOK => self.look_from.is_some(),
            PIECES => !self.wants_pieces.is_empty(),
            _ => !self.repairs.is_empty(),
        };
        self.tasks.slice_completed(now, task, FRAME, took, more);
    }

    fn look_for_orphans(&mut self) {
        let Some(from) = self.look_from.take().filter(|_| self.lives.mine() > 0) else { return };
        let now = self.now;
        let mut actions = Vec::new();
        let mut next = None;
        let life = self.lives.mine();
        for (looks, (id, copy)) in self.book.iter_from(from).enumerate() {
            if looks >= SLICE {
                next = Some(fingerprint(id));
                break;
            }
            if !copy.owner().is_some_and(|owner| self.takeovers.is_ended(owner)) {
                continue;
            }
            let live = |member: u16| !self.view.gone(member);
            let first = self.book.group().candidates(fingerprint(id)).iter().find(|member| live(*member));
            actions.extend(self.takeovers.look(now, id, copy, first, life));
        }
        self.look_from = next;
        self.do_takeover_actions(actions);
    }
}
