//! Adapter that runs curlewusher's dispatcher in a simulation. It hosts one dispatcher for each simulated
//! node and exchanges messages with the simulator on standard input and output, the wire.
//!
//! Messages are exchanged in batches of lines. A line contains the name of a message and its fields as
//! `name=value`. Unknown messages and fields are ignored. The simulator begins a batch with `round` and ends
//! it with `commit`. The adapter responds with the actions of all instances and ends them with `next`. After
//! a line that cannot be executed, the program exits with code 1 and one line on standard error.
//!
//! | from the simulator | meaning |
//! | --- | --- |
//! | `round`, `commit` | begins a batch with the time, ends it |
//! | `on` | selects the instance to which the following messages are addressed |
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
//! | `source` | the following actions are those of the given instance |
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
use host::{BatchState, Host};

/// Errors that stop the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// A line of the input could not be read or is not valid UTF-8.
    #[error("line {line}: {source}")]
    Read {
        /// Number of the line, starting at 1.
        line: u64,
        /// Error of standard input.
        source: io::Error,
    },
    /// A line could not be executed.
    #[error("line {line}: {source}")]
    Line {
        /// Number of the line, starting at 1.
        line: u64,
        /// Error of the line.
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

/// Responds to batches until the end of the input.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut text = String::new();
    let mut response = String::new();
    for line in 1u64.. {
        text.clear();
        let length = input.read_line(&mut text).map_err(|source| AdapterError::Read { line, source })?;
        if length == 0 {
            break;
        }
        let message = text.trim_end_matches(['\n', '\r']);
        let batch_state = host.handle_line(message).map_err(|source| AdapterError::Line { line, source })?;
        if batch_state == BatchState::Complete {
            response.clear();
            host.write_actions(&mut response)?;
            output.write_all(response.as_bytes())?;
            output.flush()?;
        }
    }
    Ok(())
}
