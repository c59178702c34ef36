//! Operator's file: a TOML file in which operators configure logging, the server, upstream connections and
//! metrics. Every field is optional, and an empty file gives the defaults. This module parses text and never
//! reads files. It only validates the form and bounds of the fields, and the node applies their values.

mod bounded_integer;
mod options;
mod reference;

pub use curlewusher_toml_diagnostics::ParseError;
use serde::{Deserialize, Serialize};

pub use self::bounded_integer::{BoundedInteger, BoundedMillis};
pub use self::options::{
    LogFormat, LogLevel, LogOptions, LogTarget, MetricsOptions, ServerOptions, UpstreamOptions,
};
pub use self::reference::{FIELDS, Field, TakesEffect, reference_table};

/// Parsed operator's file, with defaults for the fields that it does not set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Operator", deny_unknown_fields, default)]
pub struct OperatorFile {
    /// Section `[log]`.
    pub log: LogOptions,
    /// Section `[sender_side]`.
    #[serde(rename = "sender_side")]
    pub server: ServerOptions,
    /// Section `[next_hop]`.
    #[serde(rename = "next_hop")]
    pub upstream: UpstreamOptions,
    /// Section `[metrics]`.
    pub metrics: MetricsOptions,
}

impl OperatorFile {
    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid TOML, or if a field is unknown or out of bounds. The error names the
    /// line, the field and the remedy.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        curlewusher_toml_diagnostics::parse(text)
    }

    /// Returns every field with its value in effect, as TOML, in the order of [`FIELDS`].
    pub fn values(&self) -> Vec<(&'static Field, String)> {
        let Ok(root) = toml::Value::try_from(self) else { return Vec::new() };
        let value_of = |field: &'static Field| Some((field, lookup(&root, field.path)?.to_string()));
        FIELDS.iter().filter_map(value_of).collect()
    }

    /// Returns whether the text of a file sets a field.
    pub fn sets(text: &str, field: &Field) -> bool {
        let Ok(table) = text.parse::<toml::Table>() else { return false };
        lookup(&toml::Value::Table(table), field.path).is_some()
    }
}

/// Returns the value at a path of names that are separated by dots.
fn lookup<'value>(root: &'value toml::Value, path: &str) -> Option<&'value toml::Value> {
    path.split('.').try_fold(root, |value, name| value.get(name))
}
