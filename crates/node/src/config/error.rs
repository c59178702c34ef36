//! Why the configuration cannot be used.

use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

use curlewusher_settings::operator::ParseError;
use curlewusher_settings::{EffectiveValuesError, FormError, ReadError};
use thiserror::Error;

use super::MIN_SOCKETS;

/// Why the configuration cannot be used. Each text names the place and a correct form.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment does not name the platform's file.
    #[error("RELAY_CONFIG is not set; set it to the path of the platform's JSON file")]
    PlatformFileUnset,
    /// The platform's file is missing or cannot be read.
    #[error("RELAY_CONFIG: {path}: {source}; name a file that this user can read")]
    PlatformFileUnreadable {
        /// The path that the environment gives.
        path: String,
        /// What the system answered.
        source: io::Error,
    },
    /// The operator's file is missing or cannot be read.
    #[error("operator file: {path}: {source}; name a file that this user can read, or none")]
    OperatorFileUnreadable {
        /// The path that the command line or the environment gives.
        path: String,
        /// What the system answered.
        source: io::Error,
    },
    /// A field of the operator's file cannot be used. The source has line, field and remedy.
    #[error("operator file: {path}: {source}")]
    OperatorFile {
        /// The path that the command line or the environment gives.
        path: String,
        /// Line, field and remedy.
        source: ParseError,
    },
    /// The platform's file is not JSON.
    #[error("config: {0}")]
    Syntax(#[source] serde_json::Error),
    /// The platform's file is not JSON, or a field of it is missing or has another type. The source has the path of the
    /// field and its place.
    #[error("config: {0}")]
    Form(#[source] FormError),
    /// A field that should be a socket address is none.
    #[error("config: {field}: not an address and port: {text}; give one such as 10.0.0.4:8000")]
    Address {
        /// Name of the field in the platform's file.
        field: &'static str,
        /// Its value.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The settings object cannot be used.
    #[error("config: settings.{0}")]
    Settings(#[source] ReadError),
    /// The values in effect of the settings object cannot be shown.
    #[error("config: settings.{0}")]
    EffectiveSettings(#[source] EffectiveValuesError),
    /// The limit on file descriptors is too low.
    #[error("config: limits.sockets: under {MIN_SOCKETS} a node cannot serve; allow it that many")]
    TooFewSockets,
    /// The seed is not a hexadecimal number.
    #[error(
        "config: seed: not a hexadecimal number of 64 bits: {text}; give up to 16 digits of 0 to 9 and a to f"
    )]
    Seed {
        /// The field's value.
        text: String,
        /// What is wrong with it.
        source: ParseIntError,
    },
}
