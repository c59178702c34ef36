//! Incremental parser of the byte stream of an endpoint watch.
//!
//! The stream is a sequence of JSON objects and of empty lines, which are heartbeats. A line may contain
//! several objects, and an indented object spans several lines. The parser tracks nesting and strings byte by
//! byte to find the end of an object, and `serde_json` parses the object itself. Each byte is scanned once.
//!
//! The end of a malformed object may never be found, and the parser would then take all later objects for a
//! part of it. Therefore an incomplete object is also checked while it arrives: see
//! [`EndpointListParser::check_incomplete_object`].

use std::mem;

use bytes::BytesMut;
use serde::de::IgnoredAny;
use thiserror::Error;

use crate::discovery::endpoint_list::EndpointListMessage;

/// Maximum size of one endpoint list, in bytes. An indented record with a name of 200 characters has about
/// 450 bytes, so the limit suffices for 9,000 workers.
const MAX_LIST_BYTES: usize = 1 << 22;

/// Errors of parsing the stream of a watch. The data after a malformed part cannot be distinguished from it,
/// so the rest of the stream is unusable.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// An object is not valid JSON or not a valid endpoint list.
    #[error("{0}; see that discovery's version is one that this node knows")]
    InvalidList(#[from] serde_json::Error),
    /// A byte outside an object cannot begin an object.
    #[error("there is a byte {0:#04x} where a list should be; see whether something spoils it on the way")]
    UnexpectedByte(u8),
    /// An object is larger than [`MAX_LIST_BYTES`].
    #[error("it is over {MAX_LIST_BYTES} bytes; see whether discovery lists far too much")]
    TooLong,
}

/// Result of a parser step.
#[derive(Debug)]
pub enum Parsed {
    /// No complete item; more bytes are needed.
    Incomplete,
    /// An empty line between lists, which states that nothing has changed.
    Heartbeat,
    /// A complete list or a change to it.
    List(EndpointListMessage),
}

/// Parser that finds endpoint lists and heartbeats in a byte stream, regardless of how the stream is split
/// and the lists are indented.
#[derive(Default)]
pub struct EndpointListParser {
    /// Bytes that have not been returned as part of a result.
    buffer: BytesMut,
    /// Number of bytes of the buffer that have been scanned. The following fields describe the state at this
    /// position.
    scanned_len: usize,
    /// Number of open braces and brackets.
    depth: usize,
    /// Whether the position is inside a string.
    in_string: bool,
    /// Whether the position follows a backslash in a string.
    escaped: bool,
    /// Whether an object has ended on the current line. The end of such a line is not a heartbeat.
    line_has_object: bool,
    /// Length of the prefix of the incomplete object that was found to be well-formed.
    checked_len: usize,
    /// Length of the longest prefix that ends after a punctuation mark or a string. The bytes after it may be
    /// part of a number, which by itself is not valid JSON.
    checkable_len: usize,
}

impl EndpointListParser {
    /// Appends bytes that were read. The stream may be split anywhere.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next list or heartbeat. The caller repeats the call until it returns
    /// [`Parsed::Incomplete`].
    ///
    /// # Errors
    ///
    /// The stream is malformed, or a list is too large. After an error neither the stream nor the parser is
    /// usable.
    pub fn parse_next(&mut self) -> Result<Parsed, EndpointListError> {
        while let Some(&byte) = self.buffer.get(self.scanned_len) {
            self.scanned_len += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' if self.depth > 0 => {
                    self.in_string = !self.in_string;
                    self.checkable_len = self.scanned_len;
                }
                _ if self.in_string => {}
                b',' | b':' if self.depth > 0 => self.checkable_len = self.scanned_len,
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

    /// Returns an error if no continuation can make the incomplete object a list.
    ///
    /// An object is checked again only once its checkable prefix has doubled. Even if the object arrives in
    /// small pieces, all checks together therefore cost at most twice as much as one check of the complete
    /// text. The check stops at the last punctuation mark or string, because the JSON parser reports a number
    /// that is cut after its decimal point, sign or exponent as a syntax error instead of an unexpected end.
    fn check_incomplete_object(&mut self) -> Result<(), EndpointListError> {
        if self.depth == 0 || self.checkable_len < 2 * self.checked_len {
            return Ok(());
        }
        self.checked_len = self.checkable_len;
        match serde_json::from_slice::<IgnoredAny>(&self.buffer[..self.checkable_len]) {
            Err(error) if !error.is_eof() => Err(error.into()),
            Ok(_) | Err(_) => Ok(()),
        }
    }

    /// Removes the scanned bytes from the buffer and returns them.
    fn take_scanned(&mut self) -> BytesMut {
        self.checked_len = 0;
        self.checkable_len = 0;
        self.buffer.split_to(mem::take(&mut self.scanned_len))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/list_parser.rs"]
mod tests;
