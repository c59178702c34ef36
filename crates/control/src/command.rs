//! Commands of the admin address: their lines, their errors and their response lines.
//!
//! A connection carries one command in one line and receives one line in response: `+OK`, or `-ERR` with a
//! reason. This module only parses and formats lines; the node executes the commands.
//!
//! | line | command |
//! | --- | --- |
//! | `READY` | [`AdminCommand::Ready`] |
//! | `DISABLE ID` | [`AdminCommand::Disable`] |
//! | `ENABLE ID` | [`AdminCommand::Enable`] |
//! | `DRAIN` | [`AdminCommand::Drain`] |
//! | `UNDRAIN` | [`AdminCommand::Undrain`] |
//!
//! Words are separated by spaces or tabs. The keyword is case-insensitive; the worker id is used as written.
//! The payload of a [command frame](crate::frame::Frame::Command) has the same format.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::phase::Phase;

/// Maximum length of a command line in bytes, including its line ending.
pub const MAX_LINE_BYTES: usize = 256;
/// Maximum length of a worker id in bytes. A line has room for such an id and the keyword.
pub const MAX_WORKER_ID_BYTES: usize = 240;

const READY: &str = "READY";
const DISABLE: &str = "DISABLE";
const ENABLE: &str = "ENABLE";
const DRAIN: &str = "DRAIN";
const UNDRAIN: &str = "UNDRAIN";

/// Command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Reports whether this process is ready: whether its node accepts new clients.
    Ready,
    /// Disables the worker with this id: the node sends nothing more to it.
    Disable(String),
    /// Enables the worker with this id: the node uses it again.
    Enable(String),
    /// Drains this node: it accepts no more clients.
    Drain,
    /// Ends the drain of this node: it accepts clients again.
    Undrain,
}

/// Errors of [`AdminCommand::parse`]. Each message states how to correct the line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandParseError {
    /// The line is blank.
    #[error("empty line; send one of READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("line over {MAX_LINE_BYTES} bytes; send one call and a line end")]
    TooLong,
    /// The line contains a byte that is neither printable ASCII nor a space or tab.
    #[error("not plain text; send a call in printable ASCII")]
    NotPrintable,
    /// The first word is not the keyword of a command.
    #[error("no such call; send one of READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    UnknownCommand,
    /// The command with this keyword lacks the id of a worker.
    #[error("{0} needs the id of a core worker as discovery lists it, as in {0} s-5be2a07c")]
    MissingWorkerId(&'static str),
    /// The command with this keyword has more arguments than it takes.
    #[error("{0} takes nothing more; send one call a connection")]
    UnexpectedArgument(&'static str),
    /// The id is longer than [`MAX_WORKER_ID_BYTES`].
    #[error("id over {MAX_WORKER_ID_BYTES} bytes; give it as discovery lists it")]
    WorkerIdTooLong,
}

/// Reason for which a command was not executed. Each message states what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CommandError {
    /// The node accepts no new clients while the process is in this phase.
    #[error("{0}: {advice}", advice = .0.operator_advice())]
    NotReady(Phase),
    /// No endpoint list has ever contained the worker with this id.
    #[error("never listed: {0}; take the id from discovery's list")]
    #[serde(rename = "NeverListed")]
    UnknownWorker(String),
    /// The maximum number of workers, given here, is already disabled.
    #[error("{0} core workers are out already; enable those that are back first")]
    #[serde(rename = "TooManyOut")]
    TooManyDisabled(usize),
    /// The process is shutting down.
    #[error("this process is ending; ask its successor at that one's second address")]
    #[serde(rename = "Ending")]
    ShuttingDown,
    /// The command was not executed in time, or the task that executes commands has finished.
    #[error("not done in time; call again, and restart the node if that does not help")]
    #[serde(rename = "NotDone")]
    TimedOut,
}

/// Outcome of a command that was parsed successfully.
pub type CommandResult = Result<(), CommandError>;

impl AdminCommand {
    /// Parses a line, with or without its line ending (`\n` or `\r\n`).
    ///
    /// # Errors
    /// Returns an error that describes the mistake in the line and how to correct it.
    pub fn parse(line: &[u8]) -> Result<AdminCommand, CommandParseError> {
        let text = printable_text(line)?;
        let mut tokens = text.split_ascii_whitespace();
        let keyword = tokens.next().ok_or(CommandParseError::Empty)?;
        match keyword.to_ascii_uppercase().as_str() {
            READY => expect_no_argument(READY, tokens).map(|()| AdminCommand::Ready),
            DISABLE => parse_worker_id(DISABLE, tokens).map(AdminCommand::Disable),
            ENABLE => parse_worker_id(ENABLE, tokens).map(AdminCommand::Enable),
            DRAIN => expect_no_argument(DRAIN, tokens).map(|()| AdminCommand::Drain),
            UNDRAIN => expect_no_argument(UNDRAIN, tokens).map(|()| AdminCommand::Undrain),
            _ => Err(CommandParseError::UnknownCommand),
        }
    }
}

/// Returns the line without its line ending. Fails if the line is too long or not printable.
fn printable_text(line: &[u8]) -> Result<&str, CommandParseError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(CommandParseError::TooLong);
    }
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if !line.iter().all(|byte| matches!(byte, b' ' | b'\t' | b'!'..=b'~')) {
        return Err(CommandParseError::NotPrintable);
    }
    std::str::from_utf8(line).map_err(|_| CommandParseError::NotPrintable)
}

fn expect_no_argument<'a>(
    command: &'static str,
    mut arguments: impl Iterator<Item = &'a str>,
) -> Result<(), CommandParseError> {
    match arguments.next() {
        None => Ok(()),
        Some(_) => Err(CommandParseError::UnexpectedArgument(command)),
    }
}

fn parse_worker_id<'a>(
    command: &'static str,
    mut arguments: impl Iterator<Item = &'a str>,
) -> Result<String, CommandParseError> {
    let worker_id = arguments.next().ok_or(CommandParseError::MissingWorkerId(command))?;
    expect_no_argument(command, arguments)?;
    if worker_id.len() > MAX_WORKER_ID_BYTES {
        return Err(CommandParseError::WorkerIdTooLong);
    }
    Ok(worker_id.to_owned())
}

/// Formats the command as a line that [`AdminCommand::parse`] accepts, without a line ending.
impl fmt::Display for AdminCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AdminCommand::Ready => formatter.write_str(READY),
            AdminCommand::Disable(id) => write!(formatter, "{DISABLE} {id}"),
            AdminCommand::Enable(id) => write!(formatter, "{ENABLE} {id}"),
            AdminCommand::Drain => formatter.write_str(DRAIN),
            AdminCommand::Undrain => formatter.write_str(UNDRAIN),
        }
    }
}

/// Formats the response line of a command, including its line ending.
pub fn format_response(outcome: &Result<CommandResult, CommandParseError>) -> String {
    match outcome {
        Ok(Ok(())) => "+OK\n".to_owned(),
        Ok(Err(error)) => format!("-ERR {error}\n"),
        Err(error) => format!("-ERR {error}\n"),
    }
}
