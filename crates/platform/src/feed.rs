//! The control feed: numbered changes of the list of core servers. It holds the number of the last event taken, so
//! that one told twice is passed over and one that is missing is noticed.

use std::time::Duration;

use lotussaddle::interface::ServerState;
use serde::Deserialize;

use crate::codec::{Cutter, Form};

/// A number comes each second; where nothing came for so long, the feed has stopped.
const SILENT: Duration = Duration::from_millis(1600);
/// Between two tries to reach it.
const AGAIN: Duration = Duration::from_millis(150);
/// The longest line.
const MAX_LINE: usize = 1 << 20;

/// What the configuration names `known`.
#[derive(Debug, Deserialize)]
pub struct Known {
    pub n: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Event {
    pub n: u64,
    #[serde(default)]
    pub members: Option<Members>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Members {
    #[serde(default)]
    pub whole: bool,
    pub hosts: Vec<Host>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Host {
    pub host: String,
    pub dial: String,
    pub block: i64,
    pub health: Health,
    /// Unix milliseconds of a late start; else zero.
    #[serde(default)]
    pub born_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub enum Health {
    Ready,
    Terminating,
    Gone,
}

impl Health {
    pub fn listed(self) -> ServerState {
        match self {
            Self::Ready => ServerState::Active,
            Self::Terminating => ServerState::Draining,
            Self::Gone => ServerState::Gone,
        }
    }
}

/// A connection to the feed, as its reader sees it.
pub struct Feed {
    last: u64,
    cutter: Cutter,
    heard: Duration,
    try_at: Duration,
}

/// It has to be asked again, on a new connection.
#[derive(Debug, PartialEq)]
pub struct Broken(pub &'static str);

impl Feed {
    /// `last` is the number of the last event that is known.
    pub fn new(last: u64) -> Self {
        let cutter = Cutter::new(Form::LongLines(MAX_LINE));
        Self { last, cutter, heard: Duration::ZERO, try_at: Duration::ZERO }
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    /// Ended, or never came up: what was read of a torn line counts for nothing.
    pub fn lost(&mut self, now: Duration) {
        self.cutter = Cutter::new(Form::LongLines(MAX_LINE));
        self.try_at = now + AGAIN;
    }

    /// When it is to be tried next, once lost.
    pub fn try_at(&self) -> Duration {
        self.try_at
    }

    pub fn begun(&mut self, now: Duration) {
        self.heard = now;
    }

    /// The line by which all later events are asked for.
    pub fn ask(&self) -> Vec<u8> {
        format!("SUB {}\n", self.last).into_bytes()
    }

    /// When it counts as stopped unless something comes.
    pub fn silent_at(&self) -> Duration {
        self.heard + SILENT
    }

    /// Takes what came; gives each event once and in order.
    pub fn read(&mut self, now: Duration, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), Broken> {
        self.cutter.take(bytes);
        while let Some(line) = self.cutter.message().map_err(Broken)? {
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            self.heard = now;
            if let Ok(number) = serde_json::from_slice::<u64>(line) {
                if number > self.last {
                    return Err(Broken("an event is missing"));
                }
                continue;
            }
            let event: Event = serde_json::from_slice(line).map_err(|_| Broken("a line is no event"))?;
            if event.n <= self.last {
                continue; // Told twice.
            }
            if event.n > self.last + 1 {
                return Err(Broken("an event is missing"));
            }
            self.last = event.n;
            events.push(event);
        }
        Ok(())
    }
}
