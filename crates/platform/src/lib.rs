//! The platform's protocol: how callers, core servers and the control feed speak with this edge proxy.
//!
//! No socket, clock or thread is touched here: inputs are calls on [`Platform`] with the time, effects calls on
//! [`Net`]. Dialogues are held by `edge::Edge` and decided on by the module; what is kept here is which connection
//! bears what. Start reading at [`Platform`].

pub mod codec;
mod config;
mod cores;
mod desk;
pub mod feed;
mod sessions;

pub use config::{Bounds, Config, ConfigError, EPOCH, feed_of};
pub use sessions::Platform;

use std::net::SocketAddr;

/// A connection, named by the shell and never named again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// How a connection is ended from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Now,
    /// What was said is written first, and a bounded amount of what still comes is passed over, so that unread input
    /// does not turn the close into a reset which takes the last words along.
    Told,
}

/// All that is done to the world. None of it waits, and none of it calls back.
pub trait Net {
    /// Begins a connection; `Platform::up` or `Platform::lost` tells what came of it. None: no descriptor is free.
    fn connect(&mut self, address: SocketAddr) -> Option<SocketId>;
    /// Queues bytes; false where the queue is full: then nothing was queued.
    fn send(&mut self, socket: SocketId, bytes: &[u8]) -> bool;
    /// Whether anything lies there at this moment that was not told of yet, its end included.
    fn unread(&mut self, socket: SocketId) -> bool;
    /// Ends a connection; no input of it comes any more.
    fn close(&mut self, socket: SocketId, how: Ending);
    fn log(&mut self, line: &str);
}
