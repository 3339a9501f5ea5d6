//! A small store that lasts: what an edge proxy must still know after a crash.
//!
//! A log of segments holds checksummed batches, each whole or absent; an index in memory leads to the newest record of
//! each key; snapshots of the index make reopening fast; compaction takes the oldest segment, copies what is live
//! to the end and removes it. All file access goes through [`Disk`]; nothing here reads a clock: time is brought.
//!
//! What an acknowledged write survives is said by its [`Mode`]. A failed sync is never tried again as if nothing had
//! happened: the store takes no more writes and says so; it goes on reading. Start reading at [`Store`].

mod check;
mod disk;
mod format;
mod index;
mod keeper;
mod plan;
mod sim;
mod snapshot;
mod store;
mod worth;

pub use check::{Report, Shown, look};
pub use disk::{Disk, RealDisk};
pub use format::{MAX_BATCH, MAX_KEY, MAX_TABLE, MAX_VALUE, VERSION};
pub use index::{Index, Place};
pub use keeper::{Busy, Keeper, Outcome};
pub use plan::{Figures, Group, Plan};
pub use sim::{Faults, SimDisk};
pub use store::{Batch, Damage, Found, Mode, Stats, Store, StoreError, Work};
pub use worth::Worth;
