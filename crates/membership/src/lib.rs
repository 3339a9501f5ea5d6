//! The membership of a fleet of edge proxies, without I/O: who is gone, and whether this member has a majority.
//!
//! Members exchange heartbeats with at most ten neighbours in a fixed overlay ([`Overlay`]). Each publishes in a [`Register`] which
//! neighbours it does not hear; registers are flooded over the overlay and repaired by digests. A member whose every path to the
//! majority is broken is gone. The design is in `docs/design/membership.md`.

mod allowance;
mod check;
mod codec;
mod member_set;
mod membership;
mod message;
mod neighbour_monitor;
mod overlay;
mod random;
mod register;
mod register_table;
mod repair;
mod spreading;
mod timing;
mod view;

pub use codec::MAX_MESSAGE_BYTES;
pub use membership::Membership;
pub use message::{MAX_BUCKETS, MAX_REGISTERS, MAX_REQUESTED_BUCKETS, Message, MessageError};
pub use overlay::{MAX_MEMBERS, MAX_NEIGHBOURS, Overlay, OverlayError};
pub use register::{MemberRegister, Register};
pub use timing::Timing;

/// The place of a member in the agreed list.
pub type MemberIndex = u16;
