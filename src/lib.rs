//! lotussaddle: the admission and routing decisions of an edge proxy in front of shared core servers.
//!
//! [`brain`] makes every decision, [`interface`] defines the types of its inputs and outputs, [`pcg`] generates its
//! random numbers, and [`ranked`] is the sorted list behind its waiting queue.
//! None of them uses the network or reads a clock: the user of [`brain`] passes in the inputs and the time since start.

pub mod brain;
pub mod interface;
pub mod pcg;
pub mod ranked;
