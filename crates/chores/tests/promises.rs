//! Tests of the scheduler guarantees in virtual time: urgent work is delayed only briefly and no task starves.

use std::collections::BTreeMap;
use std::time::Duration;

use lotussaddle_chores::*;

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// A simulated thread that commits at fixed times and runs background tasks in between.
struct SimulatedThread {
    tasks: BackgroundTasks,
    now: Duration,
    /// Actual throughput of each task in bytes per second.
    speeds: BTreeMap<TaskId, f64>,
    left: BTreeMap<TaskId, usize>,
    slices: Vec<(Duration, TaskId, Duration)>,
}

impl SimulatedThread {
    fn new(budget: Budget, tasks: &[(u32, u8, f64, usize)]) -> Self {
        let mut thread = Self {
            tasks: BackgroundTasks::new(budget),
            now: Duration::ZERO,
            speeds: BTreeMap::new(),
            left: BTreeMap::new(),
            slices: Vec::new(),
        };
        for (id, priority, speed, work) in tasks {
            let id = TaskId(*id);
            thread.tasks.add(id, *priority);
            thread.speeds.insert(id, *speed);
            thread.left.insert(id, *work);
            thread.tasks.set_pending(Duration::ZERO, id, *work > 0, None);
        }
        thread
    }

    fn run_slice(&mut self, urgent_work_waits: bool) -> bool {
        let Some(slice) = self.tasks.next_slice(self.now, urgent_work_waits) else { return false };
        let left = self.left.get_mut(&slice.task).unwrap();
        let bytes = slice.bytes.min(*left);
        *left -= bytes;
        let took = Duration::from_secs_f64(bytes as f64 / self.speeds[&slice.task]);
        let more = *left > 0;
        self.now += took;
        self.slices.push((self.now, slice.task, took));
        self.tasks.slice_completed(self.now, slice.task, bytes, took, more);
        true
    }

    /// Runs a commit of 0.5 ms at every interval and returns the delays that background tasks caused.
    fn run_under_load(&mut self, interval: Duration, until: Duration) -> Vec<Duration> {
        let mut delays = Vec::new();
        let mut due = self.now;
        while due < until {
            delays.push(self.now.saturating_sub(due));
            self.now = self.now.max(due) + MILLISECOND / 2;
            due += interval;
            // One slice runs between two commits if the budget permits.
            self.run_slice(true);
        }
        delays
    }
}

const MIB: f64 = 1024.0 * 1024.0;
const UNLIMITED_WORK_BYTES: usize = usize::MAX / 2;

#[test]
fn a_commit_is_delayed_by_at_most_one_slice() {
    let budget = Budget { bytes_per_second: 1e12, ..Budget::default() };
    let mut thread = SimulatedThread::new(
        budget.clone(),
        &[(1, 1, 50.0 * MIB, UNLIMITED_WORK_BYTES), (2, 5, 3.0 * MIB, UNLIMITED_WORK_BYTES)],
    );
    let delays = thread.run_under_load(MILLISECOND, 5 * SECOND);
    // The size of the first slice is a guess; later slices last as long as the budget says.
    let (first, later) = delays.split_at(50);
    let max_delay = later.iter().max().unwrap();
    assert!(*max_delay <= budget.slice_duration * 3 / 2, "{max_delay:?}");
    assert!(*first.iter().max().unwrap() <= 8 * MILLISECOND);
    let spent: Duration = thread.slices.iter().map(|(.., took)| *took).sum();
    let share = spent.as_secs_f64() / thread.now.as_secs_f64();
    assert!(share > 0.2 && share < 0.3, "{share}");
}

#[test]
fn slices_shrink_at_once_when_a_task_slows_down() {
    let mut thread = SimulatedThread::new(
        Budget { bytes_per_second: 1e12, ..Budget::default() },
        &[(1, 1, 500.0 * MIB, UNLIMITED_WORK_BYTES)],
    );
    thread.run_under_load(MILLISECOND, SECOND);
    thread.speeds.insert(TaskId(1), 5.0 * MIB);
    let slices = thread.slices.len();
    thread.run_under_load(MILLISECOND, 40 * SECOND);
    let after: Vec<Duration> = thread.slices[slices..].iter().map(|(.., took)| *took).collect();
    assert!(after[0] > 50 * MILLISECOND, "one slice of the old size is unavoidable: {:?}", after[0]);
    assert!(after[1..].iter().all(|took| *took < 4 * MILLISECOND), "{after:?}");
}

#[test]
fn no_task_starves() {
    let budget = Budget { bytes_per_second: 1e12, ..Budget::default() };
    let tasks: Vec<_> = (0..5u32).map(|n| (n, n as u8 * 50, 20.0 * MIB, UNLIMITED_WORK_BYTES)).collect();
    let mut thread = SimulatedThread::new(budget.clone(), &tasks);
    thread.run_under_load(MILLISECOND, 60 * SECOND);
    // The maximum wait, plus one slice of each task at the time share.
    let bound = budget.max_wait + budget.slice_duration.mul_f64(5.0 / budget.time_share) + 10 * MILLISECOND;
    for id in 0..5 {
        let mut last = Duration::ZERO;
        for (at, ..) in thread.slices.iter().filter(|(_, task, _)| *task == TaskId(id)) {
            assert!(*at - last <= bound, "task {id} waited {:?}", *at - last);
            last = *at;
        }
        assert!(thread.now - last <= bound, "task {id} has waited since {last:?}");
    }
    let of = |id| thread.slices.iter().filter(|(_, task, _)| *task == TaskId(id)).count();
    assert!(of(4) > 20 * of(3), "a higher priority runs more often: {} and {}", of(4), of(3));
}

#[test]
fn an_expired_deadline_precedes_priority() {
    let mut tasks = BackgroundTasks::new(Budget::default());
    tasks.add(TaskId(1), 9);
    tasks.add(TaskId(2), 1);
    tasks.set_pending(Duration::ZERO, TaskId(1), true, None);
    tasks.set_pending(Duration::ZERO, TaskId(2), true, Some(100 * MILLISECOND));
    assert_eq!(tasks.next_slice(99 * MILLISECOND, false).unwrap().task, TaskId(1));
    assert_eq!(tasks.next_slice(100 * MILLISECOND, false).unwrap().task, TaskId(2));
    tasks.slice_completed(101 * MILLISECOND, TaskId(2), 100, MILLISECOND, false);
    assert_eq!(tasks.next_slice(102 * MILLISECOND, false).unwrap().task, TaskId(1));
}

#[test]
fn throughput_is_limited_without_urgent_work_and_next_due_is_in_the_future() {
    let budget = Budget { bytes_per_second: 10.0 * MIB, ..Budget::default() };
    let mut thread = SimulatedThread::new(budget, &[(1, 1, 400.0 * MIB, UNLIMITED_WORK_BYTES)]);
    let mut bytes = 0;
    while thread.now < 10 * SECOND {
        let left = thread.left[&TaskId(1)];
        if thread.run_slice(false) {
            bytes += left - thread.left[&TaskId(1)];
        } else {
            let due = thread.tasks.next_due(false).unwrap();
            assert!(due > thread.now, "{due:?} at {:?}", thread.now);
            thread.now = due;
        }
    }
    let rate = bytes as f64 / thread.now.as_secs_f64() / MIB;
    assert!(rate > 9.0 && rate < 11.5, "{rate} MiB a second");
}

#[test]
fn no_slice_is_due_without_pending_work() {
    let mut thread = SimulatedThread::new(Budget::default(), &[(1, 1, 400.0 * MIB, 10_000)]);
    while thread.run_slice(false) {}
    assert!(!thread.tasks.any_pending() && thread.tasks.next_due(true).is_none());
    assert_eq!(thread.left[&TaskId(1)], 0);
}
