//! The log: lines are queued by the decision thread and written by another.

use std::thread;

use crossbeam_channel::{Sender, bounded};
use lotussaddle_edge::{Counts, LogTopic};
use tracing_subscriber::EnvFilter;

/// Lines that wait to be written; beyond it they are dropped and counted.
const QUEUE: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    Text,
    Json,
}

/// Sets up the log of this process, on standard error.
pub fn logging(form: LogForm) {
    let filter = EnvFilter::try_from_env("LOTUSSADDLE_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let terminal = std::io::IsTerminal::is_terminal(&std::io::stderr());
    let log =
        tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(terminal).with_env_filter(filter);
    let begun = match form {
        LogForm::Text => log.with_target(false).try_init(),
        LogForm::Json => log.json().with_target(false).try_init(),
    };
    // A second call in one process, as in tests, keeps the first.
    drop(begun);
}

pub enum LogLine {
    Said(LogTopic, String),
    Counts(Box<Counts>, (usize, usize, usize)),
    /// Of a member: counts, copies held, writes that some peer has not acknowledged.
    Fleet(Box<lotussaddle_fleet::MemberCounters>, usize, u64),
}

pub struct Log {
    to: Sender<LogLine>,
    dropped: u64,
}

impl Log {
    pub fn begin(name: String) -> std::io::Result<Self> {
        let (to, lines) = bounded(QUEUE);
        thread::Builder::new().name("log".into()).spawn(move || {
            while let Ok(line) = lines.recv() {
                match line {
                    LogLine::Said(LogTopic::Mode, line) => {
                        tracing::info!(edge = name, kind = "mode", "{line}")
                    }
                    LogLine::Said(LogTopic::Link, line) => {
                        tracing::info!(edge = name, kind = "link", "{line}")
                    }
                    LogLine::Counts(c, (held, links, remembered)) => tracing::info!(
                        edge = name,
                        kind = "counts",
                        taken = c.taken,
                        stood = c.stood,
                        refused = c.refused,
                        failed = c.failed,
                        left = c.left,
                        cut = c.cut,
                        declined = c.declined,
                        repeats = c.repeats,
                        unrecorded = c.unrecorded,
                        launched_unrecorded = c.launched_unrecorded,
                        withheld = c.withheld,
                        sought = c.sought,
                        recognised = c.recognised,
                        unsure = c.unsure,
                        replaced = c.replaced,
                        analysed = c.analysed,
                        barred = c.barred,
                        looked_up = c.looked_up,
                        unanswered = c.unanswered,
                        launches = c.launches,
                        strays = c.strays,
                        links_closed = c.links_closed,
                        held,
                        links,
                        remembered,
                        "counts"
                    ),
                    LogLine::Fleet(c, copies, lag) => tracing::info!(
                        edge = name,
                        kind = "fleet",
                        writes = c.writes,
                        copies_sent = c.copies_sent,
                        copies_taken = c.copies_taken,
                        copies_refused = c.copies_refused,
                        replaced = c.replaced,
                        differ = c.differ,
                        asks = c.asks,
                        asks_refused = c.asks_refused,
                        taken_over = c.taken_over,
                        released = c.released,
                        repaired = c.repaired,
                        forgotten = c.forgotten,
                        copies,
                        lag,
                        "fleet"
                    ),
                }
            }
        })?;
        Ok(Self { to, dropped: 0 })
    }

    pub fn put(&mut self, line: LogLine) {
        if self.to.try_send(line).is_err() {
            self.dropped += 1;
        } else if self.dropped > 0 {
            let line = format!("{} lines of the log were dropped", self.dropped);
            if self.to.try_send(LogLine::Said(LogTopic::Link, line)).is_ok() {
                self.dropped = 0;
            }
        }
    }
}
