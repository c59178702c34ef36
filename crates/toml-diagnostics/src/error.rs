//! Why a text could not be parsed.

use thiserror::Error;

/// Why a text could not be parsed. Renders as one line that names the line of the text, the field, and what would be
/// right there.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The text is not TOML.
    #[error("line {line}: {}", on_one_line(source.message()))]
    Syntax {
        /// Line of the mistake, from 1.
        line: usize,
        /// What the parser reports.
        source: Box<toml::de::Error>,
    },
    /// A field is unknown, missing, or has a value that it cannot have.
    #[error("line {line}: {path}: {}", on_one_line(source.message()))]
    Field {
        /// Line of the mistake, from 1.
        line: usize,
        /// Tables and name of the field, separated by dots.
        path: String,
        /// What the deserializer reports.
        source: Box<toml::de::Error>,
    },
}

/// The parser's messages may have several lines.
fn on_one_line(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}
