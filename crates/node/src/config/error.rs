//! Errors of the configuration.

use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

use curlewusher_settings::operator::ParseError;
use curlewusher_settings::{EffectiveValuesError, FormError, ReadError};
use thiserror::Error;

use super::MIN_SOCKETS;

/// Reason for which the configuration cannot be used. Each message names the place of the error and a valid
/// value.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment does not contain the path of the platform's file.
    #[error("RELAY_CONFIG is not set; set it to the path of the platform's JSON file")]
    PlatformFileUnset,
    /// The platform's file is missing or cannot be read.
    #[error("RELAY_CONFIG: {path}: {source}; name a file that this user can read")]
    PlatformFileUnreadable {
        /// Path from the environment.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The operator's file is missing or cannot be read.
    #[error("operator file: {path}: {source}; name a file that this user can read, or none")]
    OperatorFileUnreadable {
        /// Path from the command line or the environment.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A field of the operator's file cannot be used. The source contains the line, the field and the remedy.
    #[error("operator file: {path}: {source}")]
    OperatorFile {
        /// Path from the command line or the environment.
        path: String,
        /// Error with the line, the field and the remedy.
        source: ParseError,
    },
    /// The platform's file is not JSON. Only `curlewusher check` returns this error.
    #[error("config: {0}")]
    Syntax(#[source] serde_json::Error),
    /// The platform's file is not JSON, or one of its fields is missing or has the wrong type. The source
    /// contains the path of the field and its place in the file.
    #[error("config: {0}")]
    Form(#[source] FormError),
    /// The value of a field is not a valid socket address.
    #[error("config: {field}: not an address and port: {text}; give one such as 10.0.0.4:8000")]
    Address {
        /// Name of the field in the platform's file.
        field: &'static str,
        /// Value of the field.
        text: String,
        /// Error of the parser.
        source: AddrParseError,
    },
    /// The settings object cannot be used.
    #[error("config: settings.{0}")]
    Settings(#[source] ReadError),
    /// The effective values of the settings object cannot be computed.
    #[error("config: settings.{0}")]
    EffectiveSettings(#[source] EffectiveValuesError),
    /// The limit on file descriptors is below [`MIN_SOCKETS`].
    #[error("config: limits.sockets: under {MIN_SOCKETS} a node cannot serve; allow it that many")]
    TooFewSockets,
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error(
        "config: seed: not a hexadecimal number of 64 bits: {text}; give up to 16 digits of 0 to 9 and a to f"
    )]
    Seed {
        /// Value of the field.
        text: String,
        /// Error of the parser.
        source: ParseIntError,
    },
}
