//! Incremental parser of the stream of endpoint lists that an endpoint watch delivers.
//!
//! The stream is a sequence of JSON objects, one or more on a line or indented over several, and of empty
//! lines, which are heartbeats. The parser tracks nesting and strings byte by byte to find where an object
//! ends, and leaves the object itself to `serde_json`. Each byte is scanned once.
//!
//! An object that is malformed could otherwise swallow all that follow it, since its end would never be
//! found. So the incomplete object is checked as well while it arrives: see
//! [`EndpointListParser::check_incomplete_object`].

use std::mem;

use bytes::BytesMut;
use serde::de::IgnoredAny;
use thiserror::Error;

use crate::discovery::endpoint_list::EndpointListMessage;

/// Upper bound of one endpoint list, in bytes. An indented record with a name of 200 characters has some 450
/// bytes, so that it is enough for 9,000 workers.
const MAX_LIST_BYTES: usize = 1 << 22;

/// Why the stream of a watch cannot be read. What follows on that watch cannot be distinguished from the
/// malformed part.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// An object that is not JSON, or not an endpoint list.
    #[error("{0}; see that discovery's version is one that this node knows")]
    NotAList(#[from] serde_json::Error),
    /// A byte outside an object with which none can begin.
    #[error("there is a byte {0:#04x} where a list should be; see whether something spoils it on the way")]
    UnexpectedByte(u8),
    /// An object above [`MAX_LIST_BYTES`].
    #[error("it is over {MAX_LIST_BYTES} bytes; see whether discovery lists far too much")]
    TooLong,
}

/// What the parser has found next.
#[derive(Debug)]
pub enum Parsed {
    /// Nothing yet: more bytes are needed.
    Incomplete,
    /// An empty line between lists: nothing has changed.
    Heartbeat,
    /// A complete list or a change of it.
    List(EndpointListMessage),
}

/// Finds endpoint lists and heartbeats in a stream of bytes, however the stream is split and the lists are
/// indented.
#[derive(Default)]
pub struct EndpointListParser {
    /// Bytes that belong to no result yet.
    buffer: BytesMut,
    /// How many bytes of the buffer have been scanned. What follows describes the state at this position.
    scanned: usize,
    /// Open braces and brackets.
    depth: usize,
    /// Inside a string.
    in_string: bool,
    /// Behind a backslash in a string.
    escaped: bool,
    /// An object has ended on the present line, whose end is no heartbeat therefore.
    line_has_object: bool,
    /// Length of the prefix of the incomplete object that was found to be well-formed.
    checked: usize,
    /// Length of the longest prefix that ends behind a punctuation mark or a string. What follows it may be a
    /// part of a number, which by itself is not valid JSON.
    checkable: usize,
}

impl EndpointListParser {
    /// Appends bytes that were read, in pieces of any size.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next list or heartbeat. To be called until it returns [`Parsed::Incomplete`].
    ///
    /// # Errors
    ///
    /// After an error the stream is unusable, and so is the parser.
    pub fn parse_next(&mut self) -> Result<Parsed, EndpointListError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' if self.depth > 0 => {
                    self.in_string = !self.in_string;
                    self.checkable = self.scanned;
                }
                _ if self.in_string => {}
                b',' | b':' if self.depth > 0 => self.checkable = self.scanned,
                b'{' => self.depth += 1,
                b'[' if self.depth > 0 => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        self.line_has_object = true;
                        return Ok(Parsed::List(serde_json::from_slice(&self.take_scanned())?));
                    }
                }
                b'\n' if self.depth == 0 => {
                    self.take_scanned();
                    if !mem::take(&mut self.line_has_object) {
                        return Ok(Parsed::Heartbeat);
                    }
                }
                _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
                _ => return Err(EndpointListError::UnexpectedByte(byte)),
            }
        }
        if self.buffer.len() > MAX_LIST_BYTES {
            return Err(EndpointListError::TooLong);
        }
        self.check_incomplete_object()?;
        Ok(Parsed::Incomplete)
    }

    /// Fails if the incomplete object cannot become a list, whatever follows.
    ///
    /// An object is checked again only once its checkable prefix has doubled, so that small pieces cost no
    /// more than twice the complete text. The check stops at the last punctuation mark or string, because the JSON
    /// parser reports a number that breaks off behind its point, its sign or its exponent as a syntax error
    /// and not as a missing end.
    fn check_incomplete_object(&mut self) -> Result<(), EndpointListError> {
        if self.depth == 0 || self.checkable < 2 * self.checked {
            return Ok(());
        }
        self.checked = self.checkable;
        match serde_json::from_slice::<IgnoredAny>(&self.buffer[..self.checkable]) {
            Err(error) if !error.is_eof() => Err(error.into()),
            Ok(_) | Err(_) => Ok(()),
        }
    }

    /// Removes the scanned bytes from the buffer.
    fn take_scanned(&mut self) -> BytesMut {
        self.checked = 0;
        self.checkable = 0;
        self.buffer.split_to(mem::take(&mut self.scanned))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/list_parser.rs"]
mod tests;
