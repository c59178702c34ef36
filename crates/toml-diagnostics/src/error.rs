//! Errors of the parser.

use thiserror::Error;

/// Errors of [`parse`](crate::parse). The message is one line that names the line of the text, the field, and
/// what is expected there.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The text is not valid TOML.
    #[error("line {line}: {}", join_lines(source.message()))]
    Syntax {
        /// Line number of the error, counted from 1.
        line: usize,
        /// Error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// A field is unknown, missing, or has an invalid value.
    #[error("line {line}: {path}: {}", join_lines(source.message()))]
    Field {
        /// Line number of the error, counted from 1.
        line: usize,
        /// Path of the field: the names of its tables and its own name, separated by dots.
        path: String,
        /// Error of the deserializer.
        source: Box<toml::de::Error>,
    },
}

/// Joins the lines of a parser message, which may have several.
fn join_lines(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}
