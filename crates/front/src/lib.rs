//! I/O driver of the platform's edge proxy: one thread and one readiness loop around `platform::Platform`.
//!
//! Takes no decisions and does not interpret messages: it accepts, connects, reads, writes and reads the
//! clock. The entry point is [`serve`].

mod fair_queue;
mod run;
mod sockets;

pub use fair_queue::FairQueue;
pub use run::serve;
pub use sockets::{Origin, Sockets};
