//! Parser for the hand-written TOML files of the project's programs. It reports an error as one line of text
//! that names the location of the error.
//!
//! The crate opens no files and does not depend on the fields of any particular file.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod line_of;

use serde::de::DeserializeOwned;

pub use self::error::ParseError;
pub use self::line_of::line_of;

/// Parses a TOML text into a value of type `T`.
///
/// # Errors
///
/// Fails if the text is not valid TOML or does not match the type. The error names the line of the text, the
/// field, and what is expected there.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ParseError> {
    let deserializer = toml::Deserializer::parse(text).map_err(|source| {
        let line = line_of_error(text, &source);
        ParseError::Syntax { line, source: Box::new(source) }
    })?;
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let path = error.path().to_string();
        let source = error.into_inner();
        let line = line_of_error(text, &source);
        ParseError::Field { line, path, source: Box::new(source) }
    })
}

/// Returns the number of the line on which the span of an error begins, counted from 1. Returns 1 for an
/// error without a span.
fn line_of_error(text: &str, error: &toml::de::Error) -> usize {
    let offset = error.span().map_or(0, |span| span.start.min(text.len()));
    let line_ends = text.as_bytes()[..offset].iter().filter(|byte| **byte == b'\n');
    line_ends.count() + 1
}
