//! The five rules and the gain, told from a record of traffic and from nothing else.
//!
//! A record is what passed on the links of the edge proxies, seen at the edge proxies' end by one clock, and what
//! was done to their processes. The judge knows no model, no decision and no script. Start reading at [`Judge`].

mod fleet;
mod gain;
mod judge;
mod numbers;
mod record;
mod rules;

pub use fleet::{FleetBrief, FleetCounts};
pub use gain::{Gain, Times};
pub use judge::{Judge, Verdict};
pub use record::{
    Brief, ColdRule, Line, NumbersBrief, ProductBrief, TenantBrief, Way, What, hex, read_record, unhex,
    write_line,
};
pub use rules::{Break, RULES, Rule};
