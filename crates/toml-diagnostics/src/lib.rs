//! Parses the TOML files that people write for the project's programs, and reports a mistake in one line that names
//! its place. This crate opens no files and knows no fields.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod line_of;

use serde::de::DeserializeOwned;

pub use self::error::ParseError;
pub use self::line_of::line_of;

/// Parses a text.
///
/// # Errors
///
/// If the text is not TOML or does not fit the type. The error names the line of the text, the field, and what would be
/// right.
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

/// The line on which an error's span begins, from 1; 1 for an error without a span.
fn line_of_error(text: &str, error: &toml::de::Error) -> usize {
    let offset = error.span().map_or(0, |span| span.start.min(text.len()));
    let line_ends = text.as_bytes()[..offset].iter().filter(|byte| **byte == b'\n');
    line_ends.count() + 1
}
