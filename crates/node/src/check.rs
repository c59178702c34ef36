//! Implements `curlewusher check`: prints each effective value and its source. The check reads the
//! configuration with the same code as a start, and starts nothing: a configuration that passes the check is
//! accepted by a start.

use std::fmt::{Display, Write as _};
use std::io::Write as _;

use curlewusher_settings::operator::OperatorFile;
use serde_json::Value;

use crate::config::{
    Config, ConfigError, ConfigFile, ConfigSources, DEFAULT_SOCKETS, Override, parse_operator_file,
};

/// Printed source of a value that is not configured.
const DEFAULT: &str = "default";

/// Prints all values, or returns the error with which a start would fail.
pub fn run(sources: &ConfigSources) -> Result<(), ConfigError> {
    Config::read(sources)?;
    let mut report = Report::default();
    report.add_platform_file(&ConfigSources::read_platform_file()?)?;
    report.add_operator_file(sources.read_operator_file()?)?;
    // The reader may close the pipe before it has read everything.
    let _ = std::io::stdout().write_all(report.text.as_bytes());
    Ok(())
}

/// The effective values, one per line.
#[derive(Default)]
struct Report {
    text: String,
}

impl Report {
    fn add_line(&mut self, line: impl Display) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.text, "{line}");
    }

    fn add_value(&mut self, field: &str, value: impl Display, source: &str) {
        self.add_line(format_args!("{field} = {value}  # {source}"));
    }

    fn add_platform_file(&mut self, file: &ConfigFile) -> Result<(), ConfigError> {
        let mut object: Value = serde_json::from_str(&file.text).map_err(ConfigError::Syntax)?;
        let settings = object["settings"].take();
        let effective =
            curlewusher_settings::effective(settings.clone()).map_err(ConfigError::EffectiveSettings)?;
        self.add_line("# what the platform tells");
        for field in Override::ALL {
            self.add_overridable_field(field, &object[field.field()], &file.path);
        }
        self.add_value("seed", &object["seed"], &file.path);
        match &object["limits"]["sockets"] {
            Value::Null => self.add_value("limits.sockets", DEFAULT_SOCKETS, DEFAULT),
            sockets => self.add_value("limits.sockets", sockets, &file.path),
        }
        let endpoints = object["known"]["endpoints"].as_array().map_or(0, Vec::len);
        self.add_value("known.endpoints", format_args!("{endpoints} entries"), &file.path);
        self.add_settings("settings", &effective, Some(&settings), &file.path);
        Ok(())
    }

    /// Adds a field that an environment variable may override.
    fn add_overridable_field(&mut self, field: Override, configured: &Value, path: &str) {
        let name = field.field();
        match field.value() {
            Some(value) => self.add_value(name, format_args!("{value:?}"), field.variable()),
            None if configured.is_null() => self.add_line(format_args!("{name} is not given  # {DEFAULT}")),
            None => self.add_value(name, configured, path),
        }
    }

    /// Adds the leaves of a part of the settings object. `configured` is the same part in the file, or `None`
    /// if the file does not have it.
    fn add_settings(&mut self, name: &str, effective: &Value, configured: Option<&Value>, path: &str) {
        match effective {
            Value::Object(fields) => {
                for (field, value) in fields {
                    let configured = configured.and_then(|object| object.get(field));
                    self.add_settings(&format!("{name}.{field}"), value, configured, path);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                for (index, item) in items.iter().enumerate() {
                    let configured = configured.and_then(|array| array.get(index));
                    self.add_settings(&format!("{name}[{index}]"), item, configured, path);
                }
            }
            leaf => self.add_value(name, leaf, if configured.is_some() { path } else { DEFAULT }),
        }
    }

    fn add_operator_file(&mut self, file: Option<ConfigFile>) -> Result<(), ConfigError> {
        let ConfigFile { path, text } = file.unwrap_or_default();
        self.add_line("# what the operator says");
        for (field, value) in parse_operator_file(&path, &text)?.values() {
            let source = if OperatorFile::sets(&text, field) { &path } else { DEFAULT };
            self.add_value(field.path, value, source);
        }
        Ok(())
    }
}
