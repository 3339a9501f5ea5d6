//! Number analysis: what was dialled, by a tenant, at an hour, becomes a trunk group, a product, a first choice and
//! a width; or a look-up that must be asked first, or a refusal.
//!
//! It knows no socket, file or clock: times are given, big lists are handed in, look-ups are steps that somebody
//! else takes. It never launches, limits or retries anything; what it finds, `lotussaddle::brain` decides upon.
//! Start reading at [`Analysis`].

mod analysis;
mod check;
mod dial_plan;
mod digits;
mod draft;
mod generations;
mod plain;
mod prefixes;
mod schedule;
mod tables;

pub use analysis::{Analysis, Late, Refusal, Route, Step};
pub use check::LONGEST_CHAIN;
pub use dial_plan::{DialPlan, Dialled, Extension, Form, Undiallable};
pub use digits::{Digits, NoDigits};
pub use draft::{
    Change, Draft, Group, Known, Lines, Loaded, TableDraft, TenantDraft, Way, WayId, instant, no_lines,
};
pub use generations::{Generations, MOST_ALIVE, MOST_STAGED, NoSwap, Order, Swapped};
pub use plain::Plain;
pub use prefixes::{Prefixes, range};
pub use schedule::{Hours, Schedule};
pub use tables::Tables;

/// An instant, as all analysis counts it; re-exported so that callers need no time library of their own.
pub use jiff::Timestamp;
