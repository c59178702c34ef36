//! Errors of the lines on the simulator's wire.

use curlewusher_core::SettingsError;
use curlewusher_settings::ReadError;

/// Errors of the fields of a line.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// A required field is missing.
    #[error("field {field} is missing")]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// The value has the wrong type or is not a valid value of the field.
    #[error("field {field} is malformed: {value}")]
    Malformed {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
    },
    /// The value is not a sequence of bytes in hexadecimal digits.
    #[error("field {field} is malformed")]
    NotHexadecimal {
        /// Name of the field.
        field: &'static str,
    },
    /// The simulator has not sent a catalog with this number.
    #[error("field table names no list: {table}")]
    UnknownCatalog {
        /// Number of the catalog.
        table: u64,
    },
}

/// Errors of the execution of a line. The adapter stops after an error, because the simulator has a fault or
/// uses another version of the wire.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A field of a message to the adapter itself is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A field of a message to an instance is missing or invalid.
    #[error("{message}: {source}")]
    MessageField {
        /// Name of the message.
        message: String,
        /// Error of the field.
        source: FieldError,
    },
    /// An endpoint was sent outside a catalog or after the last one that the catalog announced.
    #[error("executor: no catalog is open")]
    NoOpenCatalog,
    /// No `on` line selected an instance in this batch.
    #[error("{message}: no instance named")]
    NoInstanceSelected {
        /// Name of the message.
        message: String,
    },
    /// The selected instance was not started or has exited.
    #[error("{message}: instance {instance} is not running")]
    InstanceNotRunning {
        /// Name of the message.
        message: String,
        /// Number of the selected instance.
        instance: u64,
    },
    /// The settings object of a new instance is invalid.
    #[error("field bootInfo: {0}")]
    Settings(#[source] ReadError),
    /// The dispatcher rejects the settings of a new instance.
    #[error("field bootInfo: {0}")]
    Dispatcher(#[source] SettingsError),
}
