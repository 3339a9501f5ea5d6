//! One edge proxy: dialogues taken, launches out, links up, and the decisions that it owns.
//!
//! It never touches a socket, a clock, a thread or a file: each input is a call on [`Edge`] with the time since
//! the start, each effect a call on [`EdgeEffects`]. It decides nothing about routes, limits or further launches;
//! that is `lotussaddle::brain`. Start reading at [`Edge`].

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

/// A link of this edge proxy, named by the shell and never named again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Whom a line of the log is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTopic {
    /// The module changed its mode.
    Mode,
    /// A link came up or went.
    Link,
}

/// How a dialogue went on, for whoever keeps it past the end of this process. What is sent or said next may wait for
/// that: a launch, an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DialogueStep<'a> {
    Accepted,
    /// A launch is to be sent, and ends by itself at that time.
    Launch {
        server: &'a ServerId,
        launch: LaunchNumber,
        until: Duration,
    },
    /// No launch is out any more, and it does not stand; in doubt: the last one may be set up for a release time yet.
    LaunchReturned {
        outcome_unknown: bool,
    },
    /// A final answer is to be given; where it stands, at this launch.
    Answer {
        answer: &'a Frame,
        launch: LaunchNumber,
    },
    /// It stood, and is over.
    Ended,
}

/// What was found of a dialogue that was dialled before.
#[derive(Clone, Debug, PartialEq)]
pub enum PriorOutcome {
    /// It is to be decided on here, and not to be launched before.
    Free { launch_not_before: Duration },
    /// It has had this final answer, and does not stand.
    Answered(Frame),
    /// It stands there, and belongs to this edge proxy now.
    Stands { server: ServerId, launch: LaunchNumber },
    /// It stood, and is over.
    Concluded,
    /// Who would know is not reached, or it cannot be taken up in its time.
    Unresolved { retry_after: Option<Duration> },
}

/// All that an edge proxy does to the world. None of it waits.
pub trait EdgeEffects {
    /// Queues a message; false where the queue is full or the link gone: then nothing was queued.
    fn send(&mut self, link: LinkId, message: Message) -> bool;
    /// Begins a link; `Edge::connected` or `Edge::lost` tells what came of it.
    fn connect(&mut self, address: &str) -> LinkId;
    /// Ends a link at once; no input of it comes any more.
    fn close(&mut self, link: LinkId, why: &str);
    fn log(&mut self, note: LogTopic, line: &str);
    /// Has it kept, past the end of this process, that a dialogue has come so far: by a disk, by others, or by both.
    /// `Edge::recorded` tells by this number when it is. None: nobody keeps it, or not now; nothing waits for it.
    fn record(&mut self, _dialogue: &DialogueId, _step: DialogueStep) -> Option<u64> {
        None
    }
    /// Finds out what is known elsewhere of a dialogue that was dialled before, whose caller gives it up at that time;
    /// `Edge::found` tells. False: there is nobody to ask.
    fn look_up_dialogue(&mut self, _dialogue: &DialogueId, _cut_off: Duration) -> bool {
        false
    }
    /// Has a generation of tables read and checked; `Edge::loaded` tells what came of it. A change is read on one of
    /// these. False: not now.
    fn load_tables(&mut self, _name: &str, _bases: Vec<Arc<Tables>>) -> bool {
        false
    }
    /// What came of an order about tables; `why`: it was not carried out.
    fn tables_order_done(&mut self, _serial: u64, _why: Option<&str>) {}
    /// Sends a datagram to a look-up server, by its number.
    fn send_look_up(&mut self, _server: usize, _datagram: &[u8]) {}
    /// Takes generations apart that nobody needs, which may take a while: not here.
    fn drop_tables(&mut self, _tables: Vec<Arc<Tables>>) {}
}
