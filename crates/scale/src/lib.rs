//! Scale runs: what a member of the fleet costs as the fleet grows.
//!
//! A [`plan::ScalePlan`] names the sizes, the topology, the load and the bounds of a run. A [`runner::Runner`] plays
//! it at one size and returns what it measured, which becomes a [`record::RunRecord`].

pub mod error;
pub mod hollow;
pub mod host_protocol;
pub mod limits;
pub mod measure;
pub mod outcomes;
pub mod peer_sockets;
pub mod plan;
pub mod process;
pub mod record;
pub mod runner;
pub mod socket_host;
pub mod socket_run;
pub mod timeline;
pub mod traffic;
pub mod virtual_links;
pub mod virtual_run;

pub use error::ScaleError;
pub use runner::{RunContext, Runner, run};
