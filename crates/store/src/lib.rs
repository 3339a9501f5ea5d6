//! Durable key-value store for the state that an edge proxy needs after a crash.
//!
//! The log consists of segments of checksummed batches, each applied completely or not at all. An in-memory index locates
//! the newest record of each key, and snapshots of the index make reopening fast. Compaction copies the live records of
//! the oldest segment to the end of the log and removes it. All file access goes through [`Disk`]; the caller supplies the time.
//!
//! [`Mode`] states what an acknowledged write survives. A failed sync is never retried, because a later sync could report
//! success for lost data: the store rejects further writes and continues to serve reads. Start reading at [`Store`].

mod check;
mod condition;
mod disk;
mod format;
mod index;
mod plan;
mod sim;
mod snapshot;
mod store;
mod thread;

pub use check::{LoggedOperation, Report, inspect};
pub use condition::SegmentCondition;
pub use disk::{Disk, RealDisk};
pub use format::{MAX_BATCH, MAX_KEY, MAX_TABLE, MAX_VALUE, VERSION};
pub use index::{Index, Place};
pub use plan::{Figures, Group, Plan};
pub use sim::{Faults, SimDisk};
pub use store::{Batch, Damage, Found, Mode, Stats, Store, StoreError, Work};
pub use thread::{Outcome, QueueFull, StoreThread};
