//! Adapter that runs the decision module under the simulator: reads batches of messages from standard input and writes
//! the replies to standard output.

mod fields;
mod reply;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lotussaddle-drill: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch; a reply is written completely or not at all.
fn run(mut input: impl BufRead, mut output: impl Write) -> anyhow::Result<()> {
    let mut wire = wire::Wire::default();
    let mut raw = Vec::new();
    for number in 1u64.. {
        raw.clear();
        if input.read_until(b'\n', &mut raw)? == 0 {
            break;
        }
        let with_line = |error: anyhow::Error| error.context(format!("line {number}"));
        let line = std::str::from_utf8(&raw).map_err(|e| with_line(e.into()))?;
        if let Some(reply) = wire.read_line(line.trim_end_matches(['\n', '\r'])).map_err(with_line)? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
    wire.finish()
}
