//! Trunk links on TCP sockets. Each link has a reader and a writer thread with small stacks and a bounded queue. The
//! package contains no routing logic; the owner of a [`Hub`] reads [`LinkEvent`]s from a single channel.
//!
//! Limits: the queue of a link holds [`HubLimits::max_queued_messages`], and [`Hub::send`] returns false when it is
//! full. The event channel holds [`HubLimits::max_queued_events`], and reader threads block on it, so that a slow
//! owner slows down its peers instead of using more memory. A writer that makes no progress for
//! [`HubLimits::write_timeout`] closes its link.

mod hub;
mod listener;

pub use hub::{Hub, HubLimits, LinkEvent, LinkToken, OpenLink};
pub use listener::{Listener, listen};
