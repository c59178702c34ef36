//! Reads the configuration that real nodes and simulated ones have in common: the platform's settings object, and the
//! operator's file ([`operator`]).
//!
//! [`read`] turns the object into a [`Site`]: the dispatcher's settings, and beside them what only real sockets need.
//! [`effective`] shows the object with all defaults.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
pub mod operator;
mod site;
mod wire;

use serde::Deserializer;

pub use self::error::{EffectiveValuesError, FormError, ReadError};
pub use self::site::Site;
use self::wire::Wire;

/// The settings object with every value in effect, defaults included, in the platform's form.
///
/// # Errors
///
/// If a field is missing or has another type.
pub fn effective(object: serde_json::Value) -> Result<serde_json::Value, EffectiveValuesError> {
    let wire: Wire = serde_path_to_error::deserialize(object).map_err(EffectiveValuesError::Form)?;
    serde_json::to_value(wire).map_err(EffectiveValuesError::Serialization)
}

/// Reads the JSON text of a settings object.
///
/// # Errors
///
/// If a field is missing, has another type, or has a value that it cannot have. The error names the field.
pub fn read(text: &str) -> Result<Site, ReadError> {
    read_from(&mut serde_json::Deserializer::from_str(text))
}

/// Reads a settings object from a deserializer of `serde_json`.
///
/// # Errors
///
/// As [`read`].
pub fn read_from<'de, D>(deserializer: D) -> Result<Site, ReadError>
where
    D: Deserializer<'de, Error = serde_json::Error>,
{
    let wire: Wire = serde_path_to_error::deserialize(deserializer).map_err(ReadError::Form)?;
    Site::try_from(wire)
}
