//! Replicas of dialogues at the members of a fleet: who owns a dialogue, who holds replicas, how replicas that differ are merged, and
//! how members bring them to agree.
//!
//! No socket, clock, thread or file: the caller passes the time. Nothing here decides about core servers, routes or launches. Start
//! reading at [`Replica`], then at [`ReplicaTable`].

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
