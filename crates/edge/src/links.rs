//! What is known of each link, and of the core servers behind them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, Listed, ServerId};

use crate::LinkId;

pub enum Kind {
    /// Accepted, and has not said hello.
    Fresh,
    Caller(Arc<str>),
    Core(ServerId),
    List,
}

pub struct Link {
    pub kind: Kind,
    /// It is up and the other side has said hello.
    pub greeted: bool,
    /// When it was begun.
    pub since: Duration,
    pub heard: Duration,
    pub asked: bool,
    /// Dialogues that came or went over it and are still held.
    pub here: BTreeSet<DialogueId>,
}

impl Link {
    pub fn new(kind: Kind, now: Duration) -> Self {
        Self { kind, greeted: false, since: now, heard: now, asked: false, here: BTreeSet::new() }
    }
}

/// A core server as the list names it.
pub struct Far {
    pub address: Arc<str>,
    pub listed: Listed,
    /// Which life of it is known, and since when that runs on this clock: it is told as an age, which wavers
    /// with the list's delay, and a start must not seem to be another one for that.
    pub life: u64,
    pub since: Duration,
    /// The link for new launches.
    pub link: Option<LinkId>,
    /// Launches that wait for that link to come up.
    pub queued: Vec<DialogueId>,
}
