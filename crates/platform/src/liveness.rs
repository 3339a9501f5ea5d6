//! Whether a connection to a core server still delivers.
//!
//! A connection can stay open and be of no further use: a message on it stops short or has a wrong length, or
//! nothing more arrives. The server as a whole looks alive, because its other connections deliver. Each
//! connection is therefore judged by its own complete messages, beside what the others received meanwhile.

use std::fmt;
use std::time::Duration;

/// A message must be complete within this time of its first bytes.
const INCOMPLETE_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Copies of one load report arrive on the connections to a server within this time of each other.
const MAX_REPORT_SKEW: Duration = Duration::from_secs(1);
/// A connection on which a load report is missing must deliver a message within this time.
const MISSED_REPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The end of a call may be lost on a connection for this long without any evidence. A caller must be told
/// within 8 s of the end of a call that a core server could not report.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// A connection on which this many set-ups in a row were cancelled without an answer, while one that was sent
/// later on another connection to the same server was answered, delivers no answers.
const MAX_OVERTAKEN_SET_UPS: u32 = 3;

/// Why a connection is held to be of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// A message has begun and does not end.
    IncompleteMessage,
    /// Another connection received a load report that is sent on all of them.
    MissedReport,
    /// Other connections received messages, and this one, on which calls may end, received none.
    Silent,
    /// Set-ups get no answer here, while those sent later on other connections do.
    UnansweredSetUps,
}

impl fmt::Display for Suspicion {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::IncompleteMessage => "a message is incomplete",
            Self::MissedReport => "a load report is missing",
            Self::Silent => "nothing is received while other connections deliver",
            Self::UnansweredSetUps => "set-ups are not answered while other connections answer",
        })
    }
}

/// What one connection has delivered.
#[derive(Debug)]
pub struct Liveness {
    /// When the last complete message was received, or the connection came up.
    pub last_message: Duration,
    /// When the first bytes of a message were received that is still incomplete.
    pub incomplete_since: Option<Duration>,
    /// When another connection received a load report that is missing here.
    missed_report_at: Option<Duration>,
    /// Set-ups cancelled in a row without an answer that were overtaken on another connection.
    overtaken_set_ups: u32,
    /// Set after [`Self::check`], until what was missing is received.
    pub suspicion: Option<Suspicion>,
}

impl Liveness {
    /// Of a connection that has just been started, or has just come up.
    pub fn new(now: Duration) -> Self {
        Self {
            last_message: now,
            incomplete_since: None,
            missed_report_at: None,
            overtaken_set_ups: 0,
            suspicion: None,
        }
    }

    /// A complete message was received, so the connection delivers; answers to set-ups may still be missing.
    pub fn message_received(&mut self, now: Duration) {
        (self.last_message, self.incomplete_since, self.missed_report_at) = (now, None, None);
        self.suspicion = self.suspicion.filter(|suspicion| *suspicion == Suspicion::UnansweredSetUps);
    }

    /// A set-up sent on this connection was answered or refused.
    pub fn set_up_answered(&mut self) {
        (self.overtaken_set_ups, self.suspicion) = (0, None);
    }

    /// A set-up sent on this connection was cancelled without an answer, and one that was sent later on another
    /// connection had been answered.
    pub fn overtaken_set_up_cancelled(&mut self) {
        self.overtaken_set_ups += 1;
    }

    /// All received bytes have been split into messages; `pending_bytes` of them belong to an incomplete one.
    pub fn input_split(&mut self, now: Duration, pending_bytes: usize) {
        if pending_bytes > 0 {
            self.incomplete_since.get_or_insert(now);
        }
    }

    /// Another connection to the same server received a load report that is sent on all open connections.
    pub fn report_received_elsewhere(&mut self, now: Duration) {
        if now >= self.last_message + MAX_REPORT_SKEW {
            self.missed_report_at.get_or_insert(now);
        }
    }

    /// What is to be suspected now. `server_last_message` is the time of the last message on any connection to
    /// the server; `may_carry_end` states whether calls stand there, whose end may be sent on this connection.
    pub fn check(
        &self, now: Duration, server_last_message: Duration, may_carry_end: bool,
    ) -> Option<Suspicion> {
        let has_expired = |since: Option<Duration>, limit| since.is_some_and(|since| now >= since + limit);
        if has_expired(self.incomplete_since, INCOMPLETE_MESSAGE_TIMEOUT) {
            return Some(Suspicion::IncompleteMessage);
        }
        if has_expired(self.missed_report_at, MISSED_REPORT_TIMEOUT) {
            return Some(Suspicion::MissedReport);
        }
        if self.overtaken_set_ups >= MAX_OVERTAKEN_SET_UPS {
            return Some(Suspicion::UnansweredSetUps);
        }
        let is_silent = may_carry_end
            && server_last_message > self.last_message
            && now >= self.last_message + SILENCE_LIMIT;
        is_silent.then_some(Suspicion::Silent)
    }
}

/// How well the established connections to core servers deliver, for the log: a connection can be open and
/// deliver nothing, or the same message for ever.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoreConnectionFigures {
    /// Established connections.
    pub up: usize,
    /// Connections held to be of no further use.
    pub suspected: usize,
    /// Longest time since the last complete message on one of them.
    pub longest_without_message: Duration,
    /// Connections with an incomplete message.
    pub incomplete: usize,
    /// Longest time since the first bytes of an incomplete message.
    pub longest_incomplete: Duration,
}

impl CoreConnectionFigures {
    /// Figures of these established connections at this time.
    pub fn of<'a>(connections: impl Iterator<Item = &'a Liveness>, now: Duration) -> Self {
        let mut figures = Self::default();
        for liveness in connections {
            figures.up += 1;
            figures.suspected += usize::from(liveness.suspicion.is_some());
            figures.longest_without_message =
                figures.longest_without_message.max(now.saturating_sub(liveness.last_message));
            if let Some(since) = liveness.incomplete_since {
                figures.incomplete += 1;
                figures.longest_incomplete = figures.longest_incomplete.max(now.saturating_sub(since));
            }
        }
        figures
    }
}
