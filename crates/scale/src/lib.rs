//! Scale runs: what a member of the fleet costs as the fleet grows.
//!
//! A [`plan::ScalePlan`] names the sizes, the topology, the load and the bounds of a run. A [`runner::Runner`] plays
//! it at one size and returns what it measured, which becomes a [`record::RunRecord`]. A [`campaign::Campaign`] does so
//! for all sizes of a plan. [`family::Family`] gathers records, and [`fit::FitReport`] says by which law each quantity
//! grows. [`chain`] works out the time of a chain of hops. Start reading at [`plan`].

pub mod campaign;
pub mod chain;
pub mod error;
pub mod family;
pub mod fit;
pub mod hollow;
pub mod host_protocol;
pub mod law;
pub mod limits;
pub mod measure;
pub mod outcomes;
pub mod peer_sockets;
pub mod plan;
pub mod process;
pub mod process_tree;
pub mod provenance;
pub mod record;
pub mod record_file;
pub mod report;
pub mod runner;
pub mod socket_host;
pub mod socket_run;
pub mod timeline;
pub mod traffic;
pub mod virtual_links;
pub mod virtual_run;
pub mod watchdog;

pub use error::ScaleError;
pub use runner::{RunContext, Runner, run};
