//! Owns the calls of the second address: how a line is read, and what is said to it. It must never carry one out.
//!
//! Source of the calls: the operators' page on day-to-day service. A line is one call; an answer is one line that begins
//! with `+OK` or `-ERR`.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::phase::Phase;

/// No line is longer than this, in bytes.
pub const MAX_LINE_BYTES: usize = 256;
/// No id of a core worker is longer than this, in bytes: what a line has room for beside its call.
pub const MAX_WORKER_ID_BYTES: usize = 240;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// To know whether this process is ready to serve.
    Ready,
    /// Nothing more to this core worker.
    Disable(String),
    /// This core worker is to be used again.
    Enable(String),
    /// The node takes no more clients.
    Drain,
    /// The node takes clients again.
    Undrain,
}

/// A line that is no call. Each says what would be one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandParseError {
    /// Nothing stands in it.
    #[error("empty line; send one of READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    Empty,
    /// It goes on for too long.
    #[error("line over {MAX_LINE_BYTES} bytes; send one call and a line end")]
    TooLong,
    /// It has bytes that no call has.
    #[error("not plain text; send a call in printable ASCII")]
    NotAscii,
    /// It begins with a word that no call begins with.
    #[error("no such call; send one of READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    UnknownCommand,
    /// A call on a core worker names none.
    #[error("{0} needs the id of a core worker as discovery lists it, as in {0} s-5be2a07c")]
    MissingWorkerId(&'static str),
    /// More words than the call has.
    #[error("{0} takes nothing more; send one call a connection")]
    UnexpectedArgument(&'static str),
    /// An id that discovery cannot have listed.
    #[error("id over {MAX_WORKER_ID_BYTES} bytes; give it as discovery lists it")]
    WorkerIdTooLong,
}

/// Why a call that could be read was not done. Each says what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CommandError {
    /// The process does not serve in this phase.
    #[error("{0}: {advice}", advice = .0.operator_advice())]
    NotReady(Phase),
    /// No list has ever named this core worker.
    #[error("never listed: {0}; take the id from discovery's list")]
    #[serde(rename = "NeverListed")]
    UnknownWorker(String),
    /// As many core workers are out as can be remembered.
    #[error("{0} core workers are out already; enable those that are back first")]
    #[serde(rename = "TooManyOut")]
    TooManyDisabled(usize),
    /// The process is about to end.
    #[error("this process is ending; ask its successor at that one's second address")]
    #[serde(rename = "Ending")]
    ShuttingDown,
    /// The part that would have done it is gone or takes too long.
    #[error("not done in time; call again, and restart the node if that does not help")]
    #[serde(rename = "NotDone")]
    TimedOut,
}

/// What is said to a call.
pub type CommandResult = Result<(), CommandError>;

impl AdminCommand {
    /// Reads a line, with or without its end. The words are in capitals, as the page has them; small ones pass too.
    pub fn parse(line: &[u8]) -> Result<AdminCommand, CommandParseError> {
        if line.len() > MAX_LINE_BYTES {
            return Err(CommandParseError::TooLong);
        }
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if !line.iter().all(|b| matches!(b, b' ' | b'\t' | b'!'..=b'~')) {
            return Err(CommandParseError::NotAscii);
        }
        let text = std::str::from_utf8(line).map_err(|_| CommandParseError::NotAscii)?;
        let mut words = text.split_ascii_whitespace();
        let Some(word) = words.next() else { return Err(CommandParseError::Empty) };
        let plain = |name, call, rest: Option<&str>| match rest {
            None => Ok(call),
            Some(_) => Err(CommandParseError::UnexpectedArgument(name)),
        };
        let mut id = |name| match (words.next(), words.next()) {
            (None, _) => Err(CommandParseError::MissingWorkerId(name)),
            (Some(_), Some(_)) => Err(CommandParseError::UnexpectedArgument(name)),
            (Some(id), None) if id.len() > MAX_WORKER_ID_BYTES => Err(CommandParseError::WorkerIdTooLong),
            (Some(id), None) => Ok(id.to_owned()),
        };
        match word.to_ascii_uppercase().as_str() {
            "DISABLE" => id("DISABLE").map(AdminCommand::Disable),
            "ENABLE" => id("ENABLE").map(AdminCommand::Enable),
            "READY" => plain("READY", AdminCommand::Ready, words.next()),
            "DRAIN" => plain("DRAIN", AdminCommand::Drain, words.next()),
            "UNDRAIN" => plain("UNDRAIN", AdminCommand::Undrain, words.next()),
            _ => Err(CommandParseError::UnknownCommand),
        }
    }
}

impl fmt::Display for AdminCommand {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AdminCommand::Ready => f.write_str("READY"),
            AdminCommand::Disable(id) => write!(f, "DISABLE {id}"),
            AdminCommand::Enable(id) => write!(f, "ENABLE {id}"),
            AdminCommand::Drain => f.write_str("DRAIN"),
            AdminCommand::Undrain => f.write_str("UNDRAIN"),
        }
    }
}

/// The line that answers a call.
pub fn format_response(said: &Result<CommandResult, CommandParseError>) -> String {
    match said {
        Ok(Ok(())) => "+OK\n".to_owned(),
        Ok(Err(refusal)) => format!("-ERR {refusal}\n"),
        Err(error) => format!("-ERR {error}\n"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn each_call_is_read_and_each_mistake_says_what_would_be_right() {
        for call in ["READY", "DISABLE s-1", "ENABLE s-1", "DRAIN", "UNDRAIN"] {
            for end in ["", "\n", "\r\n"] {
                assert_eq!(
                    AdminCommand::parse(format!("{call}{end}").as_bytes()).expect(call).to_string(),
                    call
                );
            }
        }
        let long = format!("DISABLE {}", "x".repeat(MAX_WORKER_ID_BYTES + 1));
        let cases: [(&[u8], CommandParseError); 8] = [
            (b"\n", CommandParseError::Empty),
            (b"DISABLE\n", CommandParseError::MissingWorkerId("DISABLE")),
            (b"ENABLE a b\n", CommandParseError::UnexpectedArgument("ENABLE")),
            (b"DRAIN now\n", CommandParseError::UnexpectedArgument("DRAIN")),
            (b"RESTART\n", CommandParseError::UnknownCommand),
            (b"DISABLE \xff\n", CommandParseError::NotAscii),
            (long.as_bytes(), CommandParseError::WorkerIdTooLong),
            (&[b'x'; MAX_LINE_BYTES + 1], CommandParseError::TooLong),
        ];
        for (line, error) in cases {
            let said = AdminCommand::parse(line).map(|_| Ok(()));
            assert_eq!(said, Err(error));
            assert!(format_response(&said).starts_with("-ERR "));
        }
    }

    proptest! {
        /// Whatever comes, it is one line that is answered; what was read says the same when it is read again.
        #[test]
        fn any_bytes_are_a_call_or_a_mistake(line in proptest::collection::vec(any::<u8>(), 0..400)) {
            let read = AdminCommand::parse(&line);
            if let Ok(call) = &read {
                prop_assert_eq!(&AdminCommand::parse(call.to_string().as_bytes()).expect("its own words"), call);
            }
            let said = format_response(&read.map(|_| Ok(())));
            prop_assert!(said.ends_with('\n') && said.matches('\n').count() == 1);
        }
    }
}
