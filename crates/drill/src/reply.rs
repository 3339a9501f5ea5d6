//! Writes what the decisions do straight into the reply of a batch.

use std::fmt::Write;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId, Signalling, TimerId};

#[derive(Default)]
pub struct Reply {
    text: String,
    /// The instance whose input is being answered, and the one named last in the text.
    pub instance: u32,
    speaking: Option<u32>,
}

impl Reply {
    fn put(&mut self, line: std::fmt::Arguments) {
        if self.speaking != Some(self.instance) {
            self.speaking = Some(self.instance);
            let _ = writeln!(self.text, "SPEAKING proxyId={}", self.instance);
        }
        let _ = writeln!(self.text, "{line}");
    }

    pub fn finish(&mut self, frame: &str) -> String {
        self.speaking = None;
        let _ = writeln!(self.text, "DONE frame={frame}");
        std::mem::take(&mut self.text)
    }
}

fn ms(time: Duration) -> f64 {
    time.as_micros() as f64 / 1000.0
}

impl Signalling for Reply {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration) {
        self.put(format_args!("DELIVER call={} capMs={:?} server={}", dialogue.0, ms(time_out), server.0));
    }

    fn refuse(&mut self, dialogue: &DialogueId, come_back: Option<Duration>) {
        match come_back {
            Some(after) => self.put(format_args!("BOUNCE call={} stayAwayMs={:?}", dialogue.0, ms(after))),
            None => self.put(format_args!("BOUNCE call={}", dialogue.0)),
        }
    }

    fn fail(&mut self, dialogue: &DialogueId) {
        self.put(format_args!("FINISH_ERROR call={}", dialogue.0));
    }

    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        self.put(format_args!("CALL_OFF call={} n={}", dialogue.0, launch.0));
    }

    fn set_timer(&mut self, timer: TimerId, after: Duration) {
        self.put(format_args!("SLEEP inMs={:?} name={}", ms(after), timer.0));
    }

    fn log(&mut self, line: &str) {
        self.put(format_args!("DEBUG message={line}"));
    }
}
