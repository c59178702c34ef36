//! Hosts one dispatcher for each instance and speaks the simulator's wire on standard input and output.

#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("curlewusher-drill: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut line = String::new();
    let mut reply = String::new();
    for number in 1u64.. {
        line.clear();
        if input.read_line(&mut line).map_err(|e| format!("line {number}: {e}"))? == 0 {
            break;
        }
        let end =
            host.line(line.trim_end_matches(['\n', '\r'])).map_err(|e| format!("line {number}: {e}"))?;
        if end {
            reply.clear();
            host.reply(&mut reply);
            output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}
