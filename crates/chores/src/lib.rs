//! Scheduling of background tasks: which task runs next and how many bytes it processes, so that background work neither
//! delays urgent work nor starves.
//!
//! The scheduler performs no work and reads no clock. The caller reports pending work ([`BackgroundTasks::set_pending`]),
//! asks for a slice ([`BackgroundTasks::next_slice`]), processes about that many bytes and reports the time taken
//! ([`BackgroundTasks::slice_completed`]). [`Budget`] holds the figures of two guarantees:
//!
//! - While urgent work waits, a slice lasts about `slice_duration` and all slices together take at most `time_share` of
//!   the time, so urgent work is delayed by at most one slice, and seldom.
//! - A task that has waited longer than `max_wait` precedes all others, whatever its priority. Each of n tasks therefore
//!   gets a slice within `max_wait` plus the time that n slices take at `time_share`.
//!
//! Start reading at [`BackgroundTasks`].

use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a background task within one scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId(pub u32);

/// Limits on the time and throughput of background tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Target duration of one slice.
    pub slice_duration: Duration,
    /// Fraction of the time that slices may take while urgent work waits, from 0 to 1.
    pub time_share: f64,
    /// Maximum throughput in bytes per second, whether or not urgent work waits.
    pub bytes_per_second: f64,
    /// A task that has waited this long precedes all others.
    pub max_wait: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            slice_duration: Duration::from_millis(2),
            time_share: 0.25,
            bytes_per_second: 64.0 * 1024.0 * 1024.0,
            max_wait: Duration::from_secs(2),
        }
    }
}

/// A share of one task's work, to be processed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slice {
    /// The task to run.
    pub task: TaskId,
    /// Approximate number of bytes to process.
    pub bytes: usize,
}

/// Minimum size of a slice; smaller slices would be mostly overhead.
const MIN_SLICE_BYTES: f64 = 4096.0;
/// Maximum size of a slice, whatever throughput was measured.
const MAX_SLICE_BYTES: f64 = 16.0 * 1024.0 * 1024.0;
/// Size of a task's first slice, before its throughput is known.
const FIRST_SLICE_BYTES: f64 = 16.0 * 1024.0;
/// Weight of the newest slice in a task's throughput estimate.
const NEWEST_SLICE_WEIGHT: f64 = 0.3;

/// Unused throughput that may accumulate, in seconds at the maximum rate.
const BURST_SECONDS: f64 = 0.1;

struct BackgroundTask {
    priority: u8,
    deadline: Option<Duration>,
    /// Time from which the task waits for its next slice; `None` if it has no pending work.
    waiting_since: Option<Duration>,
    /// Estimated throughput in bytes per second; 0 if unknown.
    throughput: f64,
}

/// Scheduler of background tasks.
pub struct BackgroundTasks {
    budget: Budget,
    tasks: BTreeMap<TaskId, BackgroundTask>,
    now: Duration,
    /// Seconds that slices may take while urgent work waits; negative after an overrun.
    available_seconds: f64,
    /// Bytes that slices may process; negative after an overrun.
    available_bytes: f64,
}

impl BackgroundTasks {
    /// Makes a scheduler without tasks, whose time starts at zero.
    pub fn new(budget: Budget) -> Self {
        let (available_seconds, available_bytes) =
            (budget.slice_duration.as_secs_f64(), budget.bytes_per_second * BURST_SECONDS);
        Self { budget, tasks: BTreeMap::new(), now: Duration::ZERO, available_seconds, available_bytes }
    }

    /// Adds a task without pending work. Tasks of higher priority run first.
    pub fn add(&mut self, id: TaskId, priority: u8) {
        self.tasks
            .insert(id, BackgroundTask { priority, deadline: None, waiting_since: None, throughput: 0.0 });
    }

    /// Records whether a task has pending work, and the time by which it is due, if any. Unknown tasks are ignored.
    pub fn set_pending(&mut self, now: Duration, id: TaskId, is_pending: bool, deadline: Option<Duration>) {
        self.advance_to(now);
        if let Some(task) = self.tasks.get_mut(&id) {
            task.waiting_since = if is_pending { task.waiting_since.or(Some(now)) } else { None };
            task.deadline = deadline.filter(|_| is_pending);
        }
    }

    /// Whether any task has pending work.
    pub fn any_pending(&self) -> bool {
        self.tasks.values().any(|task| task.waiting_since.is_some())
    }

    /// Chooses the slice to run now. Returns `None` without pending work or with the budget used up; the time budget
    /// applies only while `urgent_work_waits`.
    pub fn next_slice(&mut self, now: Duration, urgent_work_waits: bool) -> Option<Slice> {
        self.advance_to(now);
        if self.available_bytes < 0.0 || urgent_work_waits && self.available_seconds < 0.0 {
            return None;
        }
        let max_wait = self.budget.max_wait;
        let waiting = self.tasks.iter().filter_map(|(id, task)| Some((id, task, task.waiting_since?)));
        let rank = |task: &BackgroundTask, since: Duration| {
            let is_overdue = task.deadline.is_some_and(|deadline| deadline <= now) || since + max_wait <= now;
            // Among overdue tasks the one that has waited longest comes first.
            (is_overdue, if is_overdue { 0 } else { task.priority }, now.saturating_sub(since))
        };
        let (id, task, _) =
            waiting.max_by_key(|(id, task, since)| (rank(task, *since), std::cmp::Reverse(**id)))?;
        let slice_bytes = if task.throughput > 0.0 {
            task.throughput * self.budget.slice_duration.as_secs_f64()
        } else {
            FIRST_SLICE_BYTES
        };
        Some(Slice { task: *id, bytes: slice_bytes.clamp(MIN_SLICE_BYTES, MAX_SLICE_BYTES) as usize })
    }

    /// The time at which `next_slice` returns a slice again; `None` without pending work.
    pub fn next_due(&self, urgent_work_waits: bool) -> Option<Duration> {
        if !self.any_pending() {
            return None;
        }
        let bytes = (-self.available_bytes / self.budget.bytes_per_second).max(0.0);
        let time =
            if urgent_work_waits { (-self.available_seconds / self.budget.time_share).max(0.0) } else { 0.0 };
        let wait = bytes.max(time);
        // Rounded up, so that a slice is available at the returned time.
        let wait = Duration::from_secs_f64(wait) + Duration::from_micros(u64::from(wait > 0.0));
        Some(self.now + wait)
    }

    /// Records a completed slice: the bytes processed, the time taken, and whether the task has more pending work.
    pub fn slice_completed(
        &mut self, now: Duration, id: TaskId, bytes: usize, duration: Duration, has_more: bool,
    ) {
        self.advance_to(now);
        let seconds = duration.as_secs_f64();
        self.available_seconds -= seconds;
        self.available_bytes -= bytes as f64;
        if let Some(task) = self.tasks.get_mut(&id) {
            task.waiting_since = has_more.then_some(now);
            if !has_more {
                task.deadline = None;
            }
            if bytes > 0 && seconds > 0.0 {
                let throughput = bytes as f64 / seconds;
                let previous = if task.throughput > 0.0 { task.throughput } else { throughput };
                // A slow slice lowers the estimate at once and a fast one raises it gradually, because overlong slices
                // delay urgent work.
                task.throughput = if throughput < previous {
                    throughput
                } else {
                    previous + NEWEST_SLICE_WEIGHT * (throughput - previous)
                };
            }
        }
    }

    fn advance_to(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.now).as_secs_f64();
        self.now = self.now.max(now);
        self.available_seconds = (self.available_seconds + elapsed * self.budget.time_share)
            .min(self.budget.slice_duration.as_secs_f64());
        self.available_bytes = (self.available_bytes + elapsed * self.budget.bytes_per_second)
            .min(self.budget.bytes_per_second * BURST_SECONDS);
    }
}
