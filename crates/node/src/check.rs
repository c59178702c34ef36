//! Owns `curlewusher check`: each value in effect, and where it comes from. It must never start anything, and it reads
//! by the same code as a start, so that what it finds good is good.

use std::fmt::Write as _;
use std::io::Write as _;

use curlewusher_settings::operator::OperatorFile;
use serde_json::Value;

use crate::config::{Config, ConfigError, ConfigSources, VARIABLES};

/// Prints all values; an error where a start would fail.
pub fn run(sources: &ConfigSources) -> Result<(), ConfigError> {
    Config::read(sources)?;
    let mut out = String::new();
    platform(sources, &mut out)?;
    operator(sources, &mut out)?;
    // A reader that has seen enough may close its end.
    let _ = std::io::stdout().write_all(out.as_bytes());
    Ok(())
}

fn platform(sources: &ConfigSources, out: &mut String) -> Result<(), ConfigError> {
    let (path, text) = sources.platform()?;
    let mut written: Value = serde_json::from_str(&text).map_err(|e| ConfigError::Shape(e.to_string()))?;
    let settings = written["settings"].take();
    let effective =
        curlewusher_settings::effective(settings.clone()).map_err(ConfigError::EffectiveSettings)?;
    let _ = writeln!(out, "# what the platform tells");
    for (field, variable) in VARIABLES {
        match sources.variable(variable) {
            Some(value) => _ = writeln!(out, "{field} = {:?}  # {variable}", value),
            None if written[field].is_null() => _ = writeln!(out, "{field} is not given  # default"),
            None => _ = writeln!(out, "{field} = {}  # {path}", written[field]),
        }
    }
    let _ = writeln!(out, "seed = {}  # {path}", written["seed"]);
    match &written["limits"]["sockets"] {
        Value::Null => _ = writeln!(out, "limits.sockets = 1024  # default"),
        sockets => _ = writeln!(out, "limits.sockets = {sockets}  # {path}"),
    }
    let listed = written["known"]["endpoints"].as_array().map_or(0, Vec::len);
    let _ = writeln!(out, "known.endpoints = {listed} entries  # {path}");
    flatten("settings", &effective, Some(&settings), &path, out);
    Ok(())
}

fn flatten(name: &str, value: &Value, written: Option<&Value>, path: &str, out: &mut String) {
    match value {
        Value::Object(fields) => {
            for (field, value) in fields {
                flatten(&format!("{name}.{field}"), value, written.and_then(|w| w.get(field)), path, out);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (at, item) in items.iter().enumerate() {
                flatten(&format!("{name}[{at}]"), item, written.and_then(|w| w.get(at)), path, out);
            }
        }
        leaf => {
            let source = if written.is_some() { path } else { "default" };
            let _ = writeln!(out, "{name} = {leaf}  # {source}");
        }
    }
}

fn operator(sources: &ConfigSources, out: &mut String) -> Result<(), ConfigError> {
    let file = sources.operator()?;
    let _ = writeln!(out, "# what the operator says");
    let (path, text) = file.as_ref().map_or(("", ""), |(path, text)| (path.as_str(), text.as_str()));
    let operator = OperatorFile::parse(text)
        .map_err(|e| ConfigError::Operator { path: path.to_owned(), cause: e.to_string() })?;
    for (field, value) in operator.values() {
        let source = if OperatorFile::sets(text, field) { path } else { "default" };
        let _ = writeln!(out, "{} = {value}  # {source}", field.path);
    }
    Ok(())
}
