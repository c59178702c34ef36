//! What can be wrong with a line of the simulator's wire.

use curlewusher_core::SettingsError;
use curlewusher_settings::ReadError;

/// A field that is missing or cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// A required field is not on the line.
    #[error("field {field} is missing")]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// The value has the wrong type, or is none of the values that the field can have.
    #[error("field {field} is malformed: {value}")]
    Malformed {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The value is not a sequence of hexadecimal byte values.
    #[error("field {field} is malformed")]
    NotHexadecimal {
        /// Name of the field.
        field: &'static str,
    },
    /// The simulator has sent no catalog of this number.
    #[error("field table names no list: {table}")]
    UnknownCatalog {
        /// The number of the catalog.
        table: u64,
    },
}

/// A line that cannot be carried out. The simulator has a fault or speaks another version of the wire: the adapter
/// stops.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A field of a message to the adapter itself is wrong.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A field of a message to an instance is wrong.
    #[error("{message}: {source}")]
    MessageField {
        /// Name of the message.
        message: String,
        /// Which field, and what is wrong with it.
        source: FieldError,
    },
    /// An endpoint outside a catalog, or one more than the catalog announced.
    #[error("executor: no catalog is open")]
    NoOpenCatalog,
    /// No `on` line selected an instance in this batch.
    #[error("{message}: no instance named")]
    NoInstanceSelected {
        /// Name of the message.
        message: String,
    },
    /// The selected instance was not started, or has exited.
    #[error("{message}: instance {instance} is not running")]
    InstanceNotRunning {
        /// Name of the message.
        message: String,
        /// Number of the selected instance.
        instance: u64,
    },
    /// The settings object of a new instance cannot be used.
    #[error("field bootInfo: {0}")]
    Settings(#[source] ReadError),
    /// The dispatcher rejects the settings of a new instance.
    #[error("field bootInfo: {0}")]
    Dispatcher(#[source] SettingsError),
}
