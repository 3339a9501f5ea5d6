//! Has a number moved to another carrier? Asked by ENUM in DNS (RFC 6116), with the routing number and dip indicator
//! of RFC 4769 and RFC 4694.
//!
//! It knows no socket, thread or clock: datagrams come and go as bytes, with the time since the start. It decides
//! nothing about routes; what a dialogue does while it waits is in [`Patience`]. Start reading at [`Client`].

mod breaker;
mod cache;
mod client;
mod codec;
mod limit;
mod patience;

pub use breaker::Breaker;
pub use cache::{Cache, Found};
pub use client::{Asked, Client, Counts, Outcome, Outside, Plan, Told};
pub use codec::{
    MAX_DATAGRAM, Moved, NotOurs, Question, Reply, Rule, Said, answer, number_of, question_of, write,
};
pub use limit::Limit;
pub use patience::{Patience, Wait};
