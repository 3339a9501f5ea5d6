//! One edge proxy without I/O: its dialogues, launches and links, and the decision module that it owns.
//!
//! It uses no socket, clock, thread or file. Each input is a call on [`Edge`] with the time since
//! the start, each effect a call on [`EdgeEffects`]. Routes, limits and further launches are decided by
//! `lotussaddle::brain`. Start reading at [`Edge`].

mod decisions;
mod edge;
mod held;
mod links;
mod numbers;
mod signalling;

pub use decisions::Decisions;
pub use edge::Edge;
pub use held::{Counts, Limits};
pub use numbers::NumberAnalysis;

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};

use lotussaddle_numbers::Tables;
use lotussaddle_trunk::{Frame, Message};

/// Identifier of a link of this edge proxy. The I/O driver assigns it and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Topic of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTopic {
    /// The decision module changed its mode, or a notice about servers and tables.
    Mode,
    /// A link opened or closed, or a generation of tables could not be loaded.
    Link,
}

/// A step of a dialogue, for replicas and the store that outlive this process. The launch or answer that follows
/// may wait until the step is recorded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DialogueStep<'a> {
    /// The dial was accepted.
    Accepted,
    /// A launch is about to be sent; it times out at `until`.
    Launch { server: &'a ServerId, launch: LaunchNumber, until: Duration },
    /// No launch is in progress and the dialogue does not stand. With `outcome_unknown`, the last launch may still be
    /// set up until the release time has passed.
    LaunchReturned { outcome_unknown: bool },
    /// A final answer is about to be sent; if the dialogue stands, `launch` is the launch that stood.
    Answer { answer: &'a Frame, launch: LaunchNumber },
    /// The dialogue stood and has ended.
    Ended,
}

/// Outcome of a look-up of a dialogue that was dialled before.
#[derive(Clone, Debug, PartialEq)]
pub enum PriorOutcome {
    /// This edge proxy may decide on the dialogue, but must not launch it before this time.
    Free { launch_not_before: Duration },
    /// The dialogue had this final answer and does not stand.
    Answered(Frame),
    /// The dialogue stands at this core server and now belongs to this edge proxy.
    Stands { server: ServerId, launch: LaunchNumber },
    /// The dialogue stood and has ended.
    Concluded,
    /// The replicas that would know cannot be reached, or the dialogue cannot be resumed in time.
    Unresolved { retry_after: Option<Duration> },
}

/// Effects of an edge proxy on the outside world. No method blocks.
pub trait EdgeEffects {
    /// Queues a message. Returns false, with nothing queued, if the queue is full or the link is closed.
    fn send(&mut self, link: LinkId, message: Message) -> bool;
    /// Opens a link; the result arrives through [`Edge::link_connected`] or [`Edge::link_closed`].
    fn connect(&mut self, address: &str) -> LinkId;
    /// Closes a link at once; it delivers no further input.
    fn close(&mut self, link: LinkId, why: &str);
    /// Writes a line to the log.
    fn log(&mut self, topic: LogTopic, line: &str);
    /// Records a step of a dialogue beyond the lifetime of this process, on disk, in replicas or both.
    /// [`Edge::step_recorded`] reports the returned number when that is done. Returns `None` if the step is not
    /// recorded; nothing waits for it then.
    fn record(&mut self, _dialogue: &DialogueId, _step: DialogueStep) -> Option<u64> {
        None
    }
    /// Looks up a dialogue that was dialled before and whose caller gives up at `cut_off`; the result arrives through
    /// [`Edge::prior_outcome_found`]. Returns false if no look-up is possible.
    fn look_up_dialogue(&mut self, _dialogue: &DialogueId, _cut_off: Duration) -> bool {
        false
    }
    /// Loads and checks a generation of tables; the result arrives through [`Edge::tables_loaded`]. A generation that
    /// is a change applies to one of `bases`. Returns false if tables cannot be loaded now.
    fn load_tables(&mut self, _name: &str, _bases: Vec<Arc<Tables>>) -> bool {
        false
    }
    /// Reports that an order about tables was carried out, or in `why` the reason why it was not.
    fn tables_order_done(&mut self, _serial: u64, _why: Option<&str>) {}
    /// Sends a datagram to the look-up server with this index.
    fn send_look_up(&mut self, _server: usize, _datagram: &[u8]) {}
    /// Frees generations of tables that are no longer used. This may take long, so it must not run on this thread.
    fn drop_tables(&mut self, _tables: Vec<Arc<Tables>>) {}
}
