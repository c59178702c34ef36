//! Owns the calls of the second address: how a line is read, and what is said to it. It must never carry one out.
//!
//! Source of the calls: the operators' page on day-to-day service. A line is one call; an answer is one line that begins
//! with `+OK` or `-ERR`.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::phase::Phase;

/// No line is longer than this, in bytes.
pub const LONGEST_LINE: usize = 256;
/// No id of a core worker is longer than this, in bytes: what a line has room for beside its call.
pub const LONGEST_ID: usize = 240;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
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
pub enum CallError {
    /// Nothing stands in it.
    #[error("empty line; send one of READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    Empty,
    /// It goes on for too long.
    #[error("line over {LONGEST_LINE} bytes; send one call and a line end")]
    TooLong,
    /// It has bytes that no call has.
    #[error("not plain text; send a call in printable ASCII")]
    NoText,
    /// It begins with a word that no call begins with.
    #[error("no such call; send one of READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    Unknown,
    /// A call on a core worker names none.
    #[error("{0} needs the id of a core worker as discovery lists it, as in {0} s-5be2a07c")]
    NoId(&'static str),
    /// More words than the call has.
    #[error("{0} takes nothing more; send one call a connection")]
    TooMuch(&'static str),
    /// An id that discovery cannot have listed.
    #[error("id over {LONGEST_ID} bytes; give it as discovery lists it")]
    LongId,
}

/// Why a call that could be read was not done. Each says what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The process does not serve in this phase.
    #[error("{0}: {advice}", advice = .0.advice())]
    NotReady(Phase),
    /// No list has ever named this core worker.
    #[error("never listed: {0}; take the id from discovery's list")]
    NeverListed(String),
    /// As many core workers are out as can be remembered.
    #[error("{0} core workers are out already; enable those that are back first")]
    TooManyOut(usize),
    /// The process is about to end.
    #[error("this process is ending; ask its successor at that one's second address")]
    Ending,
    /// The part that would have done it is gone or takes too long.
    #[error("not done in time; call again, and restart the node if that does not help")]
    NotDone,
}

/// What is said to a call.
pub type Verdict = Result<(), Refusal>;

impl Call {
    /// Reads a line, with or without its end. The words are in capitals, as the page has them; small ones pass too.
    pub fn read(line: &[u8]) -> Result<Call, CallError> {
        if line.len() > LONGEST_LINE {
            return Err(CallError::TooLong);
        }
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if !line.iter().all(|b| matches!(b, b' ' | b'\t' | b'!'..=b'~')) {
            return Err(CallError::NoText);
        }
        let text = std::str::from_utf8(line).map_err(|_| CallError::NoText)?;
        let mut words = text.split_ascii_whitespace();
        let Some(word) = words.next() else { return Err(CallError::Empty) };
        let plain = |name, call, rest: Option<&str>| match rest {
            None => Ok(call),
            Some(_) => Err(CallError::TooMuch(name)),
        };
        let mut id = |name| match (words.next(), words.next()) {
            (None, _) => Err(CallError::NoId(name)),
            (Some(_), Some(_)) => Err(CallError::TooMuch(name)),
            (Some(id), None) if id.len() > LONGEST_ID => Err(CallError::LongId),
            (Some(id), None) => Ok(id.to_owned()),
        };
        match word.to_ascii_uppercase().as_str() {
            "DISABLE" => id("DISABLE").map(Call::Disable),
            "ENABLE" => id("ENABLE").map(Call::Enable),
            "READY" => plain("READY", Call::Ready, words.next()),
            "DRAIN" => plain("DRAIN", Call::Drain, words.next()),
            "UNDRAIN" => plain("UNDRAIN", Call::Undrain, words.next()),
            _ => Err(CallError::Unknown),
        }
    }
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Call::Ready => f.write_str("READY"),
            Call::Disable(id) => write!(f, "DISABLE {id}"),
            Call::Enable(id) => write!(f, "ENABLE {id}"),
            Call::Drain => f.write_str("DRAIN"),
            Call::Undrain => f.write_str("UNDRAIN"),
        }
    }
}

/// The line that answers a call.
pub fn answer(said: &Result<Verdict, CallError>) -> String {
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
                assert_eq!(Call::read(format!("{call}{end}").as_bytes()).expect(call).to_string(), call);
            }
        }
        let long = format!("DISABLE {}", "x".repeat(LONGEST_ID + 1));
        let cases: [(&[u8], CallError); 8] = [
            (b"\n", CallError::Empty),
            (b"DISABLE\n", CallError::NoId("DISABLE")),
            (b"ENABLE a b\n", CallError::TooMuch("ENABLE")),
            (b"DRAIN now\n", CallError::TooMuch("DRAIN")),
            (b"RESTART\n", CallError::Unknown),
            (b"DISABLE \xff\n", CallError::NoText),
            (long.as_bytes(), CallError::LongId),
            (&[b'x'; LONGEST_LINE + 1], CallError::TooLong),
        ];
        for (line, error) in cases {
            let said = Call::read(line).map(|_| Ok(()));
            assert_eq!(said, Err(error));
            assert!(answer(&said).starts_with("-ERR "));
        }
    }

    proptest! {
        /// Whatever comes, it is one line that is answered; what was read says the same when it is read again.
        #[test]
        fn any_bytes_are_a_call_or_a_mistake(line in proptest::collection::vec(any::<u8>(), 0..400)) {
            let read = Call::read(&line);
            if let Ok(call) = &read {
                prop_assert_eq!(&Call::read(call.to_string().as_bytes()).expect("its own words"), call);
            }
            let said = answer(&read.map(|_| Ok(())));
            prop_assert!(said.ends_with('\n') && said.matches('\n').count() == 1);
        }
    }
}
