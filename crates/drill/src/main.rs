//! Runs the decisions on the simulator's wire: batches on standard input, replies on standard output.

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

/// Answers batch after batch; a reply goes out whole or not at all.
fn run(mut input: impl BufRead, mut output: impl Write) -> anyhow::Result<()> {
    let mut wire = wire::Wire::default();
    let mut raw = Vec::new();
    for number in 1u64.. {
        raw.clear();
        if input.read_until(b'\n', &mut raw)? == 0 {
            break;
        }
        let named = |error: anyhow::Error| error.context(format!("line {number}"));
        let line = std::str::from_utf8(&raw).map_err(|e| named(e.into()))?;
        if let Some(reply) = wire.line(line.trim_end_matches(['\n', '\r'])).map_err(named)? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
    wire.end()
}
