//! Stand-ins for what an edge proxy talks to: core servers, the pool list, callers.
//!
//! They are models without I/O or clock, driven like the edge proxy: inputs with the time since the start, effects
//! on [`Floor`]. Work is modelled by time and burns none. They share the codec with the product and nothing
//! else, and decide nothing for it. Start reading at [`CoreServer`]; `shell` puts a model on sockets.

mod core;
mod crowd;
mod enum_server;
mod lines;
mod list;
pub mod sheets;
pub mod shell;

pub use crate::core::{CoreFigures, CoreServer, Reports, Strain};
pub use crate::crowd::{CallerProduct, Crowd, CrowdFigures, CrowdTenant, Mood};
pub use crate::enum_server::{EnumFigures, EnumServer, Ill, Illness};
pub use crate::list::{Listing, PoolList, Tabled};

use lotussaddle_trunk::Message;

/// Where a model acts. Links are named by whoever drives it.
pub trait Floor {
    fn say(&mut self, link: u64, message: Message);
    /// Ends a link; with a reset its peer sees it broken, not closed.
    fn close(&mut self, link: u64, reset: bool);
    /// Callers begin links: to the edge proxy of this number.
    fn dial_in(&mut self, edge: usize);
    /// Something that a record of the day should show.
    fn mark(&mut self, what: &str);
}
