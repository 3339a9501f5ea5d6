//! Assignment of exclusive duties within a group: election of a leader among voters, a table of duties that a majority persists, a
//! lease for each member on the duties assigned to it, and fencing tokens by which receivers reject acts of earlier holders.
//!
//! No I/O, clock, thread or hash: inputs are calls on [`Lease`] with the time since the start, outputs are [`Effect`]s. Safety rests
//! on majorities, on voters persisting state before they send what follows from it, and on a [`Fence`] at each receiver; clocks decide
//! only when something is attempted. Start reading at [`Table`], then at [`Lease`].

mod clock;
mod fence;
mod ids;
mod leader;
mod lease;
mod messages;
mod plan;
mod random;
mod table;
mod voter;

pub use clock::{extended_for_drift, shortened_for_drift};
pub use fence::{Fence, FenceRefusal};
pub use ids::{Duty, FencingToken, TableId, Term};
pub use lease::{Effect, Lease, Status};
pub use messages::{Checkpoint, HandOver, Heartbeat, HeartbeatReply, LeaseMessage};
pub use plan::Plan;
pub use table::{ChangeReason, DutyAssignment, NO_MEMBER, Table};
pub use voter::PersistedState;
