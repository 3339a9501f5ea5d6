//! A process that a run starts: told what to do in lines on its standard input, answering in lines on its standard output. It ends
//! with its handle, and by itself when its standard input closes, so that a killed run leaves none behind.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A process and its two pipes.
pub struct ChildProcess {
    child: Child,
    input: Option<ChildStdin>,
    lines: Receiver<String>,
}

/// Why nothing more comes of a process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    #[error("it could not be started: {0}")]
    NotStarted(std::io::Error),
    #[error("it could not be told: {0}")]
    NotTold(std::io::Error),
    #[error("it ended")]
    Ended,
    #[error("it did not answer within {0:?}")]
    Silent(Duration),
    #[error("it said what cannot be read: {0}")]
    Unreadable(serde_json::Error),
}

impl ChildProcess {
    /// Starts a command with both pipes.
    pub fn start(mut command: Command) -> Result<Self, ProcessError> {
        let command = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::inherit());
        let mut child = command.spawn().map_err(ProcessError::NotStarted)?;
        let input = child.stdin.take();
        let (to, lines) = channel();
        if let Some(output) = child.stdout.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    if to.send(line).is_err() {
                        return;
                    }
                }
            });
        }
        Ok(Self { child, input, lines })
    }

    /// The number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Says one message, on a line.
    pub fn tell(&mut self, message: &impl Serialize) -> Result<(), ProcessError> {
        let mut line = serde_json::to_vec(message).map_err(ProcessError::Unreadable)?;
        line.push(b'\n');
        let input = self.input.as_mut().ok_or(ProcessError::Ended)?;
        input.write_all(&line).and_then(|()| input.flush()).map_err(ProcessError::NotTold)
    }

    /// The next message that it says.
    pub fn answer<T: DeserializeOwned>(&mut self, within: Duration) -> Result<T, ProcessError> {
        let line = self.line(within)?;
        serde_json::from_str(&line).map_err(ProcessError::Unreadable)
    }

    /// The next line that it says.
    pub fn line(&mut self, within: Duration) -> Result<String, ProcessError> {
        self.lines.recv_timeout(within).map_err(|error| match error {
            RecvTimeoutError::Timeout => ProcessError::Silent(within),
            RecvTimeoutError::Disconnected => ProcessError::Ended,
        })
    }

    /// It has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.input = None;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
