//! Parser for the settings object that an instance receives at start, both on the simulator's wire and in the
//! platform's configuration, and for load reports.
//!
//! The crate makes no decisions. The entry point is [`settings`].

mod plan;
mod report;

pub use plan::{Settings, checked_millis, parse_json, route_plan, settings};
pub use report::load_report;
