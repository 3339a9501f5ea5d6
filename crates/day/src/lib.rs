//! Days: a fleet, its load and its troubles, played through edge proxies and recorded at their sockets.
//!
//! One [`World`] holds the stand-ins, the links with their delays, and the troubles; it runs by a clock that is
//! brought to it. Two drivers play it: [`virt`] with edge proxies in the same thread and virtual time, [`live`]
//! with edge proxies as processes of their own, over sockets. Start reading at [`Day`].

pub mod baseline;
pub mod days;
pub mod from_bench;
pub mod live;
mod plan;
mod trouble;
pub mod virt;
mod world;

pub use plan::{CallersPlan, CoresPlan, Day, FleetPlan, NetPlan};
pub use trouble::{Disk, Kind, Rift, Trouble, Who};
pub use world::{Ground, Place, World};
