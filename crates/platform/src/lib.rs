//! The platform's protocol, spoken with callers, core servers and the control feed, for this edge proxy.
//!
//! Does no I/O and uses no clock or thread: inputs are calls on [`Platform`] with the time, effects are calls
//! on [`Net`]. Dialogues are held by `edge::Edge` and decided on by the decision module; this crate records
//! which connection carries what. The entry point is [`Platform`].

pub mod codec;
mod config;
mod connections;
mod cores;
pub mod ended_calls;
pub mod feed;
pub mod intake;
mod json_message;
pub mod liveness;
pub mod recent_set_ups;
mod sessions;

pub use config::{Bounds, Config, ConfigError, EPOCH, feed_address};
pub use liveness::CoreConnectionFigures;
pub use sessions::Platform;

use std::net::SocketAddr;

/// Identifier of a connection, assigned by the I/O driver and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// How a connection is closed by this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// At once.
    Now,
    /// After the queued bytes are written. A bounded amount of further input is read and discarded, because
    /// closing with unread input would cause a reset that can destroy the last bytes written.
    AfterWriting,
}

/// Effects on the network. No method blocks or calls back.
pub trait Net {
    /// Starts a connection; `Platform::connection_up` or `Platform::connection_lost` reports the result.
    /// `None` if no descriptor is free.
    fn connect(&mut self, address: SocketAddr) -> Option<SocketId>;
    /// Queues bytes. Returns false, with nothing queued, if the queue is full.
    fn send(&mut self, socket: SocketId, bytes: &[u8]) -> bool;
    /// Whether input, including the end of the stream, is waiting now that has not been reported yet.
    fn has_unread(&mut self, socket: SocketId) -> bool;
    /// Closes a connection; no further input is reported for it.
    fn close(&mut self, socket: SocketId, how: CloseMode);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
