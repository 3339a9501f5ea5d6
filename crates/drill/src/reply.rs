//! Writes the effects of decisions into the reply to a batch.

use std::fmt::Write;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId, Signalling, TimerId};

/// The reply to the open batch.
#[derive(Default)]
pub struct Reply {
    text: String,
    /// Instance whose input is being answered.
    pub instance: u32,
    /// Instance named by the last `SPEAKING` line of the reply.
    last_named_instance: Option<u32>,
}

impl Reply {
    /// Appends a line, after a `SPEAKING` line if the instance has changed.
    fn push_line(&mut self, line: std::fmt::Arguments) {
        if self.last_named_instance != Some(self.instance) {
            self.last_named_instance = Some(self.instance);
            let _ = writeln!(self.text, "SPEAKING proxyId={}", self.instance);
        }
        let _ = writeln!(self.text, "{line}");
    }

    /// Closes the reply to the batch with this frame number and returns it.
    pub fn finish(&mut self, frame: &str) -> String {
        self.last_named_instance = None;
        let _ = writeln!(self.text, "DONE frame={frame}");
        std::mem::take(&mut self.text)
    }
}

fn to_milliseconds(time: Duration) -> f64 {
    time.as_micros() as f64 / 1000.0
}

impl Signalling for Reply {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration) {
        self.push_line(format_args!(
            "DELIVER call={} capMs={:?} server={}",
            dialogue.0,
            to_milliseconds(time_out),
            server.0
        ));
    }

    fn refuse(&mut self, dialogue: &DialogueId, retry_after: Option<Duration>) {
        match retry_after {
            Some(after) => self.push_line(format_args!(
                "BOUNCE call={} stayAwayMs={:?}",
                dialogue.0,
                to_milliseconds(after)
            )),
            None => self.push_line(format_args!("BOUNCE call={}", dialogue.0)),
        }
    }

    fn fail(&mut self, dialogue: &DialogueId) {
        self.push_line(format_args!("FINISH_ERROR call={}", dialogue.0));
    }

    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        self.push_line(format_args!("CALL_OFF call={} n={}", dialogue.0, launch.0));
    }

    fn set_timer(&mut self, timer: TimerId, after: Duration) {
        self.push_line(format_args!("SLEEP inMs={:?} name={}", to_milliseconds(after), timer.0));
    }

    fn log(&mut self, line: &str) {
        self.push_line(format_args!("DEBUG message={line}"));
    }
}
