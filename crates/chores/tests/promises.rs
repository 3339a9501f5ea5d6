//! The two promises, in virtual time: nobody is held up long, and nobody waits for ever.

use std::collections::BTreeMap;
use std::time::Duration;

use lotussaddle_chores::*;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

/// A thread with commits that come at fixed times and chores in between.
struct Thread {
    chores: Chores,
    now: Duration,
    /// Bytes a second that each chore gets done, in truth.
    speeds: BTreeMap<ChoreId, f64>,
    left: BTreeMap<ChoreId, usize>,
    slices: Vec<(Duration, ChoreId, Duration)>,
}

impl Thread {
    fn new(budget: Budget, chores: &[(u32, u8, f64, usize)]) -> Self {
        let mut thread = Self {
            chores: Chores::new(budget),
            now: Duration::ZERO,
            speeds: BTreeMap::new(),
            left: BTreeMap::new(),
            slices: Vec::new(),
        };
        for (id, priority, speed, work) in chores {
            let id = ChoreId(*id);
            thread.chores.add(id, *priority);
            thread.speeds.insert(id, *speed);
            thread.left.insert(id, *work);
            thread.chores.wanted(Duration::ZERO, id, *work > 0, None);
        }
        thread
    }

    fn slice(&mut self, pressed: bool) -> bool {
        let Some(slice) = self.chores.next(self.now, pressed) else { return false };
        let left = self.left.get_mut(&slice.chore).unwrap();
        let bytes = slice.bytes.min(*left);
        *left -= bytes;
        let took = Duration::from_secs_f64(bytes as f64 / self.speeds[&slice.chore]);
        let more = *left > 0;
        self.now += took;
        self.slices.push((self.now, slice.chore, took));
        self.chores.done(self.now, slice.chore, bytes, took, more);
        true
    }

    /// A commit of half a millisecond at each of these gaps; gives the delays that chores caused.
    fn under_load(&mut self, gap: Duration, until: Duration) -> Vec<Duration> {
        let mut delays = Vec::new();
        let mut due = self.now;
        while due < until {
            delays.push(self.now.saturating_sub(due));
            self.now = self.now.max(due) + MS / 2;
            due += gap;
            // Between two commits one slice, if there is time by the budget.
            self.slice(true);
        }
        delays
    }
}

const MIB: f64 = 1024.0 * 1024.0;
const ENDLESS: usize = usize::MAX / 2;

#[test]
fn a_commit_is_held_up_by_one_slice_at_most_and_seldom() {
    let budget = Budget { bytes: 1e12, ..Budget::default() };
    let mut thread = Thread::new(budget.clone(), &[(1, 1, 50.0 * MIB, ENDLESS), (2, 5, 3.0 * MIB, ENDLESS)]);
    let delays = thread.under_load(MS, 5 * S);
    // The first slice of a chore is a guess; then a slice lasts what it is to last.
    let (first, later) = delays.split_at(50);
    let most = later.iter().max().unwrap();
    assert!(*most <= budget.slice * 3 / 2, "{most:?}");
    assert!(*first.iter().max().unwrap() <= 8 * MS);
    let spent: Duration = thread.slices.iter().map(|(.., took)| *took).sum();
    let share = spent.as_secs_f64() / thread.now.as_secs_f64();
    assert!(share > 0.2 && share < 0.3, "{share}");
}

#[test]
fn a_chore_that_turns_slow_is_cut_short_at_once() {
    let mut thread =
        Thread::new(Budget { bytes: 1e12, ..Budget::default() }, &[(1, 1, 500.0 * MIB, ENDLESS)]);
    thread.under_load(MS, S);
    thread.speeds.insert(ChoreId(1), 5.0 * MIB);
    let slices = thread.slices.len();
    thread.under_load(MS, 40 * S);
    let after: Vec<Duration> = thread.slices[slices..].iter().map(|(.., took)| *took).collect();
    assert!(after[0] > 50 * MS, "one slice of the old size is unavoidable: {:?}", after[0]);
    assert!(after[1..].iter().all(|took| *took < 4 * MS), "{after:?}");
}

#[test]
fn nobody_waits_for_ever() {
    let budget = Budget { bytes: 1e12, ..Budget::default() };
    let chores: Vec<_> = (0..5u32).map(|n| (n, n as u8 * 50, 20.0 * MIB, ENDLESS)).collect();
    let mut thread = Thread::new(budget.clone(), &chores);
    thread.under_load(MS, 60 * S);
    // Patience, and for each of the others a slice at a quarter of the time.
    let bound = budget.patience + budget.slice.mul_f64(5.0 / budget.share) + 10 * MS;
    for id in 0..5 {
        let mut last = Duration::ZERO;
        for (at, ..) in thread.slices.iter().filter(|(_, chore, _)| *chore == ChoreId(id)) {
            assert!(*at - last <= bound, "chore {id} waited {:?}", *at - last);
            last = *at;
        }
        assert!(thread.now - last <= bound, "chore {id} waits since {last:?}");
    }
    let of = |id| thread.slices.iter().filter(|(_, chore, _)| *chore == ChoreId(id)).count();
    assert!(of(4) > 20 * of(3), "priority goes first: {} and {}", of(4), of(3));
}

#[test]
fn a_deadline_goes_before_priority() {
    let mut chores = Chores::new(Budget::default());
    chores.add(ChoreId(1), 9);
    chores.add(ChoreId(2), 1);
    chores.wanted(Duration::ZERO, ChoreId(1), true, None);
    chores.wanted(Duration::ZERO, ChoreId(2), true, Some(100 * MS));
    assert_eq!(chores.next(99 * MS, false).unwrap().chore, ChoreId(1));
    assert_eq!(chores.next(100 * MS, false).unwrap().chore, ChoreId(2));
    chores.done(101 * MS, ChoreId(2), 100, MS, false);
    assert_eq!(chores.next(102 * MS, false).unwrap().chore, ChoreId(1));
}

#[test]
fn bytes_are_bounded_even_when_nobody_waits_and_it_says_when_to_come_back() {
    let budget = Budget { bytes: 10.0 * MIB, ..Budget::default() };
    let mut thread = Thread::new(budget, &[(1, 1, 400.0 * MIB, ENDLESS)]);
    let mut bytes = 0;
    while thread.now < 10 * S {
        let left = thread.left[&ChoreId(1)];
        if thread.slice(false) {
            bytes += left - thread.left[&ChoreId(1)];
        } else {
            let due = thread.chores.due(false).unwrap();
            assert!(due > thread.now, "{due:?} at {:?}", thread.now);
            thread.now = due;
        }
    }
    let rate = bytes as f64 / thread.now.as_secs_f64() / MIB;
    assert!(rate > 9.0 && rate < 11.5, "{rate} MiB a second");
}

#[test]
fn with_nothing_to_do_there_is_nothing_to_come_back_for() {
    let mut thread = Thread::new(Budget::default(), &[(1, 1, 400.0 * MIB, 10_000)]);
    while thread.slice(false) {}
    assert!(!thread.chores.any_wanted() && thread.chores.due(true).is_none());
    assert_eq!(thread.left[&ChoreId(1)], 0);
}
