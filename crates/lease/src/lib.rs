//! Who in a group may do what one alone is to do: an election among voters, a table of duties that a majority keeps, a lease for
//! each member on what the table gives it, and numbers by which whoever receives an act tells an old holder's from a new one's.
//!
//! No I/O, clock, thread or hash: inputs are calls on [`Lease`] with the time since the start, effects come as [`Out`]. Safety rests on
//! majorities, on what voters keep before they say it, and on [`Fence`] at the receivers; clocks decide only when something is tried.
//! Start reading at [`Table`], then at [`Lease`].

mod chair;
mod chance;
mod clock;
mod fence;
mod ids;
mod lease;
mod plan;
mod table;
mod voter;
mod words;

pub use clock::{long, short};
pub use fence::{Fence, Refused};
pub use ids::{Duty, Number, TableId, Term};
pub use lease::{Lease, Out, Status};
pub use plan::Plan;
pub use table::{NOBODY, Seat, Table, Why};
pub use voter::Kept;
pub use words::{Back, Beat, Give, Mark, Word};
