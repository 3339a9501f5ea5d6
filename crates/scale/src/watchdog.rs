//! Ends a run that passes its bounds on time, memory or processes, whatever the run itself does.

use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::error::ScaleError;
use crate::limits::grouped;
use crate::plan::{Bounds, Bytes};
use crate::process_tree::ProcessTree;

/// How often a run is looked at.
const PERIOD: Duration = Duration::from_millis(250);
const STACK: usize = 256 * 1024;

/// Watches a run from a thread of its own until it is dropped.
pub struct Watchdog {
    /// Dropped with the watchdog, which ends the thread.
    _alive: Sender<()>,
}

impl Watchdog {
    /// Watches this process and all that descend from it. `on_breach` is called once, by the watching thread, with
    /// the first bound that is passed.
    pub fn start(
        size: usize, bounds: Bounds, on_breach: impl FnOnce(ScaleError) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (alive, ended) = channel::<()>();
        let started = Instant::now();
        let watch = move || {
            while ended.recv_timeout(PERIOD) == Err(RecvTimeoutError::Timeout) {
                if let Some(breach) = breach(size, &bounds, started.elapsed()) {
                    return on_breach(breach);
                }
            }
        };
        thread::Builder::new().name("watchdog".into()).stack_size(STACK).spawn(watch)?;
        Ok(Self { _alive: alive })
    }
}

/// The first bound that is passed now.
fn breach(size: usize, bounds: &Bounds, elapsed: Duration) -> Option<ScaleError> {
    let past = |what: &str, found: String, bound: String| {
        Some(ScaleError::PastBound { size, what: what.into(), found, bound })
    };
    if elapsed > bounds.time {
        return past("time on the wall", format!("{elapsed:.1?}"), format!("{:?}", bounds.time));
    }
    let tree = ProcessTree::here()?;
    if Bytes(tree.resident_bytes) > bounds.memory {
        return past("memory", Bytes(tree.resident_bytes).to_string(), bounds.memory.to_string());
    }
    if tree.processes > bounds.processes {
        return past("processes", grouped(tree.processes), grouped(bounds.processes));
    }
    None
}
