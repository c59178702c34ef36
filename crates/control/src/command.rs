//! Commands of the admin address: their lines, the errors they can end with, and the line that responds to
//! them.
//!
//! A connection sends one command as one line and gets one line back, `+OK` or `-ERR` with a reason. This
//! module parses and formats only; the node carries the commands out.
//!
//! | line | command |
//! | --- | --- |
//! | `READY` | [`AdminCommand::Ready`] |
//! | `DISABLE ID` | [`AdminCommand::Disable`] |
//! | `ENABLE ID` | [`AdminCommand::Enable`] |
//! | `DRAIN` | [`AdminCommand::Drain`] |
//! | `UNDRAIN` | [`AdminCommand::Undrain`] |
//!
//! Words are separated by spaces or tabs, and their case does not matter; an id is taken as it is. The same
//! lines are the payload of a [command frame](crate::frame::Frame::Command).

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::phase::Phase;

/// Most bytes of a line, its end included.
pub const MAX_LINE_BYTES: usize = 256;
/// Most bytes of a worker's id: what a line has room for beside its keyword.
pub const MAX_WORKER_ID_BYTES: usize = 240;

const READY: &str = "READY";
const DISABLE: &str = "DISABLE";
const ENABLE: &str = "ENABLE";
const DRAIN: &str = "DRAIN";
const UNDRAIN: &str = "UNDRAIN";

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Report whether this process is ready to serve.
    Ready,
    /// Send nothing more to the worker of this id.
    Disable(String),
    /// Use the worker of this id again.
    Enable(String),
    /// Accept no more clients on this node.
    Drain,
    /// Accept clients on this node again.
    Undrain,
}

/// Why a line is not a command. Each text names a line that would be one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandParseError {
    /// The line is blank.
    #[error("empty line; send one of READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("line over {MAX_LINE_BYTES} bytes; send one call and a line end")]
    TooLong,
    /// The line has bytes that are neither printable ASCII nor a space or tab.
    #[error("not plain text; send a call in printable ASCII")]
    NotAscii,
    /// The first word is not the keyword of a command.
    #[error("no such call; send one of READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    UnknownCommand,
    /// A command on a worker, named here, lacks the worker's id.
    #[error("{0} needs the id of a core worker as discovery lists it, as in {0} s-5be2a07c")]
    MissingWorkerId(&'static str),
    /// The command named here is followed by more words than it allows.
    #[error("{0} takes nothing more; send one call a connection")]
    UnexpectedArgument(&'static str),
    /// The id is longer than [`MAX_WORKER_ID_BYTES`].
    #[error("id over {MAX_WORKER_ID_BYTES} bytes; give it as discovery lists it")]
    WorkerIdTooLong,
}

/// Why a command was not carried out. Each text states what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CommandError {
    /// The process does not serve in this phase.
    #[error("{0}: {advice}", advice = .0.operator_advice())]
    NotReady(Phase),
    /// No endpoint list has ever named the worker of this id.
    #[error("never listed: {0}; take the id from discovery's list")]
    #[serde(rename = "NeverListed")]
    UnknownWorker(String),
    /// This many workers are disabled, which is the most there can be.
    #[error("{0} core workers are out already; enable those that are back first")]
    #[serde(rename = "TooManyOut")]
    TooManyDisabled(usize),
    /// The process is shutting down.
    #[error("this process is ending; ask its successor at that one's second address")]
    #[serde(rename = "Ending")]
    ShuttingDown,
    /// The command was not carried out in time, or the task that carries it out has ended.
    #[error("not done in time; call again, and restart the node if that does not help")]
    #[serde(rename = "NotDone")]
    TimedOut,
}

/// The outcome of a command that could be parsed.
pub type CommandResult = Result<(), CommandError>;

impl AdminCommand {
    /// Parses a line, with or without its end (`\n` or `\r\n`).
    ///
    /// # Errors
    /// Says what is wrong with the line, and what would be a command.
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

/// The line without its end, if it is short enough and printable.
fn printable_text(line: &[u8]) -> Result<&str, CommandParseError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(CommandParseError::TooLong);
    }
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if !line.iter().all(|byte| matches!(byte, b' ' | b'\t' | b'!'..=b'~')) {
        return Err(CommandParseError::NotAscii);
    }
    std::str::from_utf8(line).map_err(|_| CommandParseError::NotAscii)
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

/// The line that [`AdminCommand::parse`] reads as this command, without its end.
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

/// The response line to a command, with its end.
pub fn format_response(outcome: &Result<CommandResult, CommandParseError>) -> String {
    match outcome {
        Ok(Ok(())) => "+OK\n".to_owned(),
        Ok(Err(error)) => format!("-ERR {error}\n"),
        Err(error) => format!("-ERR {error}\n"),
    }
}
