//! The settings object that an instance is handed at its start, on the simulator's wire and in the platform's
//! configuration alike, and the load reports whose fields it names.
//!
//! It decides nothing and holds no figure of its own. Start reading at [`settings`].

mod plan;
mod report;

pub use plan::{Settings, checked_millis, parse_json, route_plan, settings};
pub use report::load_report;
