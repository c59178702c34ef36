//! Lets curlewusher's dispatcher decide in a simulation: hosts one dispatcher for each simulated node and speaks the
//! simulator's wire on standard input and output.
//!
//! The wire is a dialogue of batches of lines. A line is the name of a message and its fields, `name=value`; unknown
//! messages and fields are ignored. The simulator begins a batch by `round` and ends it by `commit`; the adapter
//! answers with the actions of all instances and ends them by `next`. A line that cannot be carried out ends the
//! program with exit code 1 and one line on standard error.
//!
//! | from the simulator | meaning |
//! | --- | --- |
//! | `round`, `commit` | begins a batch with the time, ends it |
//! | `on` | selects the instance that the following messages are for |
//! | `hello`, `exit` | starts an instance with its settings, ends it |
//! | `catalog`, `executor` | begins an endpoint list for all instances, one endpoint of it |
//! | `sync` | a poll of the endpoint list was answered, the watch reported changes, or it failed |
//! | `new_request`, `aborted` | a client submitted a job, or disconnected |
//! | `progress`, `ack_first`, `attempt_end` | an attempt started or progressed, its response began, it ended |
//! | `message` | gossip arrived |
//! | `wakeup` | the timer expired |
//!
//! | to the simulator | meaning |
//! | --- | --- |
//! | `source` | the following actions are those of an instance |
//! | `try`, `undo_send` | send an attempt, cancel it |
//! | `shed`, `abort` | reject a job, fail it |
//! | `announce` | send gossip |
//! | `wake_me` | set the timer |
//! | `watch` | poll the endpoint list and watch it |
//! | `next` | no more actions |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod catalog;
mod error;
mod fields;
mod host;
mod instance;
mod job_names;

use std::fmt;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use error::LineError;
use host::{Batch, Host};

/// Why the adapter stopped before the end of its input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// A line of the input could not be read, or is not UTF-8.
    #[error("line {line}: {source}")]
    Read {
        /// Number of the line, from 1 on.
        line: u64,
        /// The error of standard input.
        source: io::Error,
    },
    /// A line could not be carried out.
    #[error("line {line}: {source}")]
    Line {
        /// Number of the line, from 1 on.
        line: u64,
        /// What is wrong with it.
        source: LineError,
    },
    /// The actions could not be encoded.
    #[error(transparent)]
    Encode(#[from] fmt::Error),
    /// The output could not be written.
    #[error(transparent)]
    Write(#[from] io::Error),
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("curlewusher-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the end of the input.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut text = String::new();
    let mut answer = String::new();
    for line in 1u64.. {
        text.clear();
        let length = input.read_line(&mut text).map_err(|source| AdapterError::Read { line, source })?;
        if length == 0 {
            break;
        }
        let message = text.trim_end_matches(['\n', '\r']);
        let batch = host.handle_line(message).map_err(|source| AdapterError::Line { line, source })?;
        if batch == Batch::Ended {
            answer.clear();
            host.write_actions(&mut answer)?;
            output.write_all(answer.as_bytes())?;
            output.flush()?;
        }
    }
    Ok(())
}
