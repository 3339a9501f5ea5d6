//! lotussaddle: the admission part of a proxy before shared core servers.
//!
//! [`brain`] holds every decision, [`interface`] the words it is spoken to in, [`pcg`] its chance, [`ranked`] a list
//! it keeps in order.
//! None of them knows a wire or a clock: the caller brings inputs and the time since the start.

pub mod brain;
pub mod interface;
pub mod pcg;
pub mod ranked;
