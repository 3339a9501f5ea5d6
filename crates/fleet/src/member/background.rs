//! Background work of a member, done in short slices so that it delays no latency-critical call for long.

use std::time::Duration;

use lotussaddle_chores::TaskId;
use lotussaddle_replica::fingerprint;

use super::Member;
use super::batches::MAX_FRAME_BYTES;
use super::interface::Effects;

/// Maximum number of replicas expired, or checked for orphans, in one slice.
pub(super) const REPLICAS_PER_SLICE: usize = 2048;
pub(super) const EXPIRE_REPLICAS: TaskId = TaskId(0);
pub(super) const SCAN_FOR_ORPHANS: TaskId = TaskId(1);
pub(super) const SEND_SNAPSHOT_CHUNKS: TaskId = TaskId(2);
pub(super) const REPAIR_REPLICAS: TaskId = TaskId(3);

impl Member {
    pub(super) fn request_background_tasks(&mut self) {
        let now = self.now;
        let has_expired = self.replica_table.next_due().is_some_and(|due| due <= now);
        self.tasks.set_pending(now, EXPIRE_REPLICAS, has_expired, None);
        self.tasks.set_pending(now, SCAN_FOR_ORPHANS, self.orphan_cursor.is_some(), None);
        self.tasks.set_pending(now, SEND_SNAPSHOT_CHUNKS, !self.snapshot_requests.is_empty(), None);
        self.tasks.set_pending(now, REPAIR_REPLICAS, !self.repairs.is_empty(), None);
    }

    /// Does one slice of background work, if any is pending; `Some`: report its duration to [`Member::background_slice_done`].
    pub fn run_background_slice(
        &mut self, now: Duration, pressed: bool, effects: &mut dyn Effects,
    ) -> Option<TaskId> {
        self.now = now;
        self.request_background_tasks();
        let slice = self.tasks.next_slice(now, pressed)?;
        match slice.task {
            EXPIRE_REPLICAS => {
                let expired = self.replica_table.expire(now, REPLICAS_PER_SLICE);
                self.counts.forgotten += expired.len() as u64;
                self.changed_dialogues.extend(expired);
            }
            SCAN_FOR_ORPHANS => self.scan_for_orphans(),
            SEND_SNAPSHOT_CHUNKS => {
                if let Some((member, cursor)) = self.snapshot_requests.pop_front() {
                    self.send_snapshot_chunk(member, cursor, effects);
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

    /// Records how long a slice of [`Member::run_background_slice`] took.
    pub fn background_slice_done(&mut self, now: Duration, task: TaskId, took: Duration) {
        let has_more = match task {
            EXPIRE_REPLICAS => self.replica_table.next_due().is_some_and(|due| due <= now),
            SCAN_FOR_ORPHANS => self.orphan_cursor.is_some(),
            SEND_SNAPSHOT_CHUNKS => !self.snapshot_requests.is_empty(),
            _ => !self.repairs.is_empty(),
        };
        self.tasks.slice_completed(now, task, MAX_FRAME_BYTES, took, has_more);
    }

    fn scan_for_orphans(&mut self) {
        let Some(at) = self.orphan_cursor.take().filter(|_| self.incarnations.current() > 0) else { return };
        let now = self.now;
        let mut actions = Vec::new();
        let mut next = None;
        let incarnation = self.incarnations.current();
        for (checked, (id, replica)) in self.replica_table.iter_from(at).enumerate() {
            if checked >= REPLICAS_PER_SLICE {
                next = Some(fingerprint(id));
                break;
            }
            if !replica.owner().is_some_and(|owner| self.takeovers.is_ended(owner)) {
                continue;
            }
            let is_live = |member: u16| !self.view.is_gone(member);
            let first_live =
                self.replica_table.group().candidates(fingerprint(id)).iter().find(|member| is_live(*member));
            actions.extend(self.takeovers.consider_replica(now, id, replica, first_live, incarnation));
        }
        self.orphan_cursor = next;
        self.do_takeover_actions(actions);
    }
}
