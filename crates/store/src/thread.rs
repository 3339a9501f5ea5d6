//! A thread that owns a store: it commits waiting writes with one sync and runs background work in between.
//!
//! Writers do not wait for the disk: a request enters a bounded channel, and a callback on the store's thread reports the
//! result. A full channel rejects the request at once.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use lotussaddle_chores::{BackgroundTasks, Budget, TaskId};

use crate::disk::Disk;
use crate::plan::Group;
use crate::store::{Batch, Mode, Stats, Store, Work};

const STACK_BYTES: usize = 256 * 1024;

/// Result of a write: completed as its mode requires, or the reason of the failure.
pub type Outcome = Result<(), String>;

type CompletionCallback = Box<dyn FnOnce(Outcome) + Send>;

enum Request {
    Write { batch: Batch, mode: Mode, done: CompletionCallback },
    Stats(Sender<(Stats, Option<String>)>),
}

/// The channel to the store is full, or its thread is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Handle to a thread that owns a store. Dropping it completes the queue and seals the store.
pub struct StoreThread {
    sender: Option<Sender<Request>>,
    thread: Option<JoinHandle<()>>,
}

impl StoreThread {
    /// Starts a thread for a store. `clock` gives the store's time; `queue_capacity` is the capacity of the request queue.
    pub fn spawn<D: Disk + Send + 'static>(
        store: Store<D>, group: Group, budget: Budget, queue_capacity: usize,
        clock: impl Fn() -> Duration + Send + 'static,
    ) -> std::io::Result<Self> {
        let (sender, requests) = bounded(queue_capacity);
        let thread =
            thread::Builder::new().name("store".into()).stack_size(STACK_BYTES).spawn(move || {
                let started = Instant::now();
                run(store, &group, BackgroundTasks::new(budget), &requests, &clock, || started.elapsed());
            })?;
        Ok(Self { sender: Some(sender), thread: Some(thread) })
    }

    /// Requests a write without blocking.
    pub fn write(
        &self, batch: Batch, mode: Mode, done: impl FnOnce(Outcome) + Send + 'static,
    ) -> Result<(), QueueFull> {
        let request = Request::Write { batch, mode, done: Box::new(done) };
        self.sender.as_ref().ok_or(QueueFull)?.try_send(request).map_err(|_| QueueFull)
    }

    /// Returns the statistics, and the reason if writes are rejected. Waits for earlier requests.
    pub fn stats(&self) -> Option<(Stats, Option<String>)> {
        let (sender, answer) = bounded(1);
        self.sender.as_ref()?.send(Request::Stats(sender)).ok()?;
        answer.recv().ok()
    }
}

impl Drop for StoreThread {
    /// Completes the requests in the queue and seals the store.
    fn drop(&mut self) {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn task_id(work: Work) -> TaskId {
    TaskId(work as u32)
}

fn run<D: Disk>(
    mut store: Store<D>, group: &Group, mut tasks: BackgroundTasks, requests: &Receiver<Request>,
    clock: &impl Fn() -> Duration, elapsed: impl Fn() -> Duration,
) {
    // Compaction outranks snapshots: without free space nothing can be written.
    tasks.add(task_id(Work::Compact), 2);
    tasks.add(task_id(Work::Snapshot), 1);
    tasks.add(task_id(Work::Flush), 3);
    loop {
        let wait =
            tasks.next_due(false).map_or(Duration::from_secs(3600), |due| due.saturating_sub(elapsed()));
        match requests.recv_timeout(wait) {
            Ok(first) => commit(&mut store, group, first, requests, clock()),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        for work in Work::ALL {
            tasks.set_pending(elapsed(), task_id(work), store.has_pending(work), None);
        }
        // At most one slice runs between two groups of writes, which limits their delay.
        if let Some(slice) = tasks.next_slice(elapsed(), !requests.is_empty()) {
            let work = Work::ALL.into_iter().find(|work| task_id(*work) == slice.task).expect("added above");
            let started = elapsed();
            // The next write reports a failure; the work is not retried before the state changes.
            let done = store.work_on(clock(), work, slice.bytes);
            let more = done.is_ok() && store.has_pending(work);
            tasks.slice_completed(
                elapsed(),
                slice.task,
                done.unwrap_or(slice.bytes),
                elapsed() - started,
                more,
            );
        }
    }
    let _ = store.seal();
}

/// Writes the waiting batches, syncs once if any requires it, and reports each result.
fn commit<D: Disk>(
    store: &mut Store<D>, group: &Group, first: Request, requests: &Receiver<Request>, now: Duration,
) {
    let mut writes: Vec<(Batch, Mode, CompletionCallback)> = Vec::new();
    let mut stats_replies = Vec::new();
    let mut bytes = 0;
    let mut next = Some(first);
    while let Some(request) = next {
        match request {
            Request::Write { batch, mode, done } => {
                bytes += batch.size();
                writes.push((batch, mode, done));
            }
            Request::Stats(sender) => stats_replies.push(sender),
        }
        next = if group.is_full(writes.len(), bytes) { None } else { requests.try_recv().ok() };
    }
    let all: Vec<&Batch> = writes.iter().map(|(batch, ..)| batch).collect();
    let mut outcomes: Vec<Outcome> = match store.write_all(now, &all) {
        Ok(()) => vec![Ok(()); writes.len()],
        // One batch that cannot be written must not make the others fail.
        Err(_) => all.iter().map(|batch| store.write(now, batch).map_err(|e| e.to_string())).collect(),
    };
    let needs_sync =
        writes.iter().zip(&outcomes).any(|((_, mode, _), outcome)| *mode == Mode::Synced && outcome.is_ok());
    if needs_sync && let Err(error) = store.sync() {
        for ((_, mode, _), outcome) in writes.iter().zip(&mut outcomes) {
            if *mode == Mode::Synced && outcome.is_ok() {
                *outcome = Err(error.to_string());
            }
        }
    }
    for ((_, _, done), outcome) in writes.into_iter().zip(outcomes) {
        done(outcome);
    }
    for sender in stats_replies {
        let _ = sender.send((store.stats(), store.closed().map(String::from)));
    }
}
