//! Configuration that real and simulated nodes have in common: the platform's settings object, and the
//! operator's file ([`operator`]).
//!
//! [`read`] converts the settings object to a [`Site`]: the dispatcher's settings, and the settings that only
//! real connections need. [`effective`] returns the settings object with all defaults filled in.

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

/// Returns a settings object with every value in effect, defaults included, in the platform's form.
///
/// # Errors
///
/// Fails if a field is missing or has the wrong type.
pub fn effective(object: serde_json::Value) -> Result<serde_json::Value, EffectiveValuesError> {
    let wire: Wire = serde_path_to_error::deserialize(object).map_err(EffectiveValuesError::Form)?;
    serde_json::to_value(wire).map_err(EffectiveValuesError::Serialization)
}

/// Reads the JSON text of a settings object.
///
/// # Errors
///
/// Fails if a field is missing, has the wrong type, or has an invalid value. The error names the field.
pub fn read(text: &str) -> Result<Site, ReadError> {
    read_from(&mut serde_json::Deserializer::from_str(text))
}

/// Reads a settings object from a deserializer of `serde_json`.
///
/// # Errors
///
/// Fails for the same reasons as [`read`].
pub fn read_from<'de, D>(deserializer: D) -> Result<Site, ReadError>
where
    D: Deserializer<'de, Error = serde_json::Error>,
{
    let wire: Wire = serde_path_to_error::deserialize(deserializer).map_err(ReadError::Form)?;
    Site::try_from(wire)
}
