//! Who in a group may do what one alone is to do: an election among voters, a table of duties that a majority keeps, a lease for
//! each member on what the table gives it, and numbers by which whoever receives an act tells an old holder's from a new one's.
//!
//! No I/O, clock, thread or hash: inputs are calls on [`Lease`] with the time since the start, effects come as [`Effect`]. Safety rests on
//! majorities, on what voters keep before they say it, and on [`Fence`] at the receivers; clocks decide only when something is tried.
//! Start reading at [`Table`], then at [`Lease`].

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
