//! Errors of reading a settings object. Each message contains the platform's name of the field.

use curlewusher_core::SettingsError;
use thiserror::Error;

/// Error of a settings object in which a field is missing or has the wrong type. Its message contains the
/// path of the field.
pub type FormError = serde_path_to_error::Error<serde_json::Error>;

/// Errors of [`read`](crate::read) and [`read_from`](crate::read_from).
#[derive(Debug, Error)]
pub enum ReadError {
    /// A field is missing or has the wrong type.
    #[error("{0}")]
    Form(#[source] FormError),
    /// `discovery` has an unknown value.
    #[error("discovery is neither automatic nor subscribe")]
    UnknownDiscoveryMode,
    /// `keyScope` of a service has an unknown value.
    #[error("services.keyScope is none of all, zone, cell")]
    UnknownKeyScope,
    /// `idempotency` of a service has an unknown value.
    #[error("services.idempotency is none of safe, keyed, unsafe")]
    UnknownIdempotency,
    /// The value of a field is out of bounds.
    #[error("{field}: {} {}; {remedy}", source.field, source.problem)]
    OutOfBounds {
        /// Name of the field in the settings object.
        field: &'static str,
        /// Instruction for the operator that names valid values.
        remedy: &'static str,
        /// Error of the dispatcher, with its own name of the field and the problem.
        source: SettingsError,
    },
}

/// Errors of [`effective`](crate::effective).
#[derive(Debug, Error)]
pub enum EffectiveValuesError {
    /// A field is missing or has the wrong type.
    #[error("config: settings.{0}")]
    Form(#[source] FormError),
    /// The values cannot be serialized to JSON.
    #[error("config: settings: {0}")]
    Serialization(#[source] serde_json::Error),
}

impl ReadError {
    /// Converts the dispatcher's error to one with the platform's name of the field and a remedy.
    pub(crate) fn from_dispatcher(source: SettingsError) -> Self {
        let (field, remedy) = match source.field {
            "classes" => ("services", "name one class of requests at least"),
            "classes.stretch" => ("services.aimStretch", "give 0 or more, or familyInfo.classStretch so"),
            "classes.worth" => ("services.worth", "give 0 or more"),
            "classes.give_up" => ("services.giveUpUs", "give the client's wait in microseconds"),
            "over_quota_worth" => ("overShareWorth", "give a number from 0 to 1"),
            "nodes" => ("balancers", "give the number of nodes, this one included"),
            "max_attempts" => ("limits.sendCap", "give 1 or more"),
            "tenant_quotas" => ("customers.quotaPerS", "give 0 or more"),
            "cross_zone_price" => ("prices.crossZone", "give 0 or more"),
            "tell_price" => ("prices.peer", "give 0 or more"),
            "cold_share" => ("rules.coldShare", "give a number from 0 to 1"),
            "overload_factor" => ("rules.overloadFactor", "give 0 or more"),
            other => (other, "give what the platform's page says of it"),
        };
        ReadError::OutOfBounds { field, remedy, source }
    }
}
