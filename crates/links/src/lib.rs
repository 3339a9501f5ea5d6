//! Trunk links on sockets: bytes in and out, each link with a reader and a writer thread of small stacks and a
//! bounded queue. It decides nothing; whoever owns the [`Hub`] reads its [`Happening`]s from one channel.
//!
//! Bounds: a queue to a link holds `Bounds::queue` messages, and [`Hub::say`] tells when one is full; the channel
//! of happenings holds `Bounds::inbox`, and readers wait on it, so that a slow owner slows its peers, not itself.
//! A writer that makes no headway for `Bounds::write_within` ends its link.

mod hub;
mod listener;

pub use hub::{Hub, HubLimits, LinkEvent, LinkToken, OpenLink};
pub use listener::{Listener, listen};
