//! One edge proxy: dialogues taken, launches out, links up, and the decisions that it owns.
//!
//! It never touches a socket, a clock, a thread or a file: each input is a call on [`Edge`] with the time since
//! the start, each effect a call on [`Wires`]. It decides nothing about routes, limits or further launches;
//! that is `lotussaddle::brain`. Start reading at [`Edge`].

mod decisions;
mod edge;
mod hands;
mod held;
mod links;
mod numbers;

pub use decisions::Decisions;
pub use edge::Edge;
pub use held::{Counts, Limits};
pub use numbers::Numbers;

use lotussaddle::interface::DialogueId;
use std::sync::Arc;

use lotussaddle_numbers::Tables;
use lotussaddle_trunk::{Frame, Message};

/// A link of this edge proxy, named by the shell and never named again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Whom a line of the log is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The module changed its mode.
    Mode,
    /// A link came up or went.
    Link,
}

/// All that an edge proxy does to the world. None of it waits.
pub trait Wires {
    /// Queues a message; false where the queue is full or the link gone: then nothing was queued.
    fn say(&mut self, link: LinkId, message: Message) -> bool;
    /// Begins a link; `Edge::connected` or `Edge::lost` tells what came of it.
    fn connect(&mut self, address: &str) -> LinkId;
    /// Ends a link at once; no input of it comes any more.
    fn close(&mut self, link: LinkId, why: &str);
    fn log(&mut self, note: Note, line: &str);
    /// Has it remembered, past the end of this process, that this dialogue has its final answer;
    /// `Edge::recorded` tells by this number when it is. None: nothing is remembered, or not now; the answer does not
    /// wait for it.
    fn record(&mut self, _dialogue: &DialogueId, _answer: &Frame) -> Option<u64> {
        None
    }
    /// Has a generation of tables read and checked; `Edge::loaded` tells what came of it. A change is read on one of
    /// these. False: not now.
    fn load(&mut self, _name: &str, _bases: Vec<Arc<Tables>>) -> bool {
        false
    }
    /// Sends a datagram to a look-up server, by its number.
    fn ask(&mut self, _server: usize, _datagram: &[u8]) {}
    /// Takes generations apart that nobody needs, which may take a while: not here.
    fn let_go(&mut self, _tables: Vec<Arc<Tables>>) {}
}
