//! Copies of dialogues at the members of a fleet: who owns a dialogue, who keeps copies, what two copies that differ come to, and
//! how they are brought to agree.
//!
//! No socket, clock, thread or file: times are brought. It decides nothing about core servers, routes or launches. Start reading
//! at [`Replica`], then at [`ReplicaTable`].

mod digest_tree;
mod placement;
mod replica;
mod stream;
mod table;

pub use digest_tree::{DigestTree, FAN_OUT};
pub use placement::{RankedMembers, ReplicaGroup, digest, fingerprint};
pub use replica::{MAX_ANSWERS, MAX_OWNERS, MAX_SENT_SPAN, OwnerState, Replica, ReplicaReading, no_expiry};
pub use stream::{MAX_RETAINED, ReplicaStream};
pub use table::{MergeResult, RangeDifference, Repair, ReplicaLimits, ReplicaTable, WriteResult};
