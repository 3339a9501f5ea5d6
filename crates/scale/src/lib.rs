//! Scale runs: what a member of the fleet costs as the fleet grows.
//!
//! A [`plan::ScalePlan`] names the sizes, the topology, the load and the bounds of a run. A [`runner::Runner`] plays
//! it at one size and returns what it measured, which becomes a [`record::RunRecord`].

pub mod error;
pub mod limits;
pub mod plan;
pub mod record;
pub mod runner;

pub use error::ScaleError;
pub use runner::{RunContext, Runner, run};
