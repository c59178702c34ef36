//! Owns the operator's file: its fields, their bounds and defaults, how a mistake in it is named, and the table that
//! the reference page shows. It must never read a file or know what a field does.
//!
//! Source of every figure: the file itself, or the default here. Spans carry their unit in their name.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize};

/// A whole number from `MIN` to `MAX`, both allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Whole<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Whole<MIN, MAX> {
    /// The number; one that is out of bounds does not build where it is a constant.
    pub const fn new(value: u64) -> Self {
        assert!(MIN <= value && value <= MAX);
        Whole(value)
    }

    /// The number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// The number as milliseconds.
    pub fn millis(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Whole<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Bounds<const MIN: u64, const MAX: u64>;
        impl<const MIN: u64, const MAX: u64> Visitor<'_> for Bounds<MIN, MAX> {
            type Value = Whole<MIN, MAX>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                write!(f, "a whole number from {MIN} to {MAX}")
            }
            fn visit_u64<E: de::Error>(self, value: u64) -> Result<Self::Value, E> {
                if !(MIN..=MAX).contains(&value) {
                    return Err(E::invalid_value(de::Unexpected::Unsigned(value), &self));
                }
                Ok(Whole(value))
            }
            fn visit_i64<E: de::Error>(self, value: i64) -> Result<Self::Value, E> {
                let below = || E::invalid_value(de::Unexpected::Signed(value), &self);
                u64::try_from(value).map_err(|_| below()).and_then(|value| Bounds.visit_u64(value))
            }
        }
        from.deserialize_u64(Bounds)
    }
}

/// How lines of the log are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people: time, level, part, words.
    Text,
    /// For machines: one JSON object a line.
    Json,
}

/// From which level on lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// What keeps the node from its work.
    Error,
    /// What an operator may have to look at.
    Warn,
    /// Phases, reloads, discovery.
    Info,
    /// Each job, with its id.
    Debug,
    /// Each call-back and connection as well.
    Trace,
}

/// The parts of the node that write lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// Start, phases, reloads, end.
    Node,
    /// Jobs and their attempts.
    Dispatch,
    /// Clients, call-backs, questions.
    #[serde(rename = "sender_side")]
    Server,
    /// Connections to workers.
    #[serde(rename = "next_hop")]
    Upstream,
    /// The watch on discovery.
    #[serde(rename = "transport_map")]
    Discovery,
}

impl Part {
    /// All of them, with their names.
    pub const ALL: [(Part, &str); 5] = [
        (Part::Node, "node"),
        (Part::Dispatch, "dispatch"),
        (Part::Server, "sender_side"),
        (Part::Upstream, "next_hop"),
        (Part::Discovery, "transport_map"),
    ];
}

/// What is written to standard error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Form of a line.
    pub format: LogFormat,
    /// For all parts that `parts` does not name.
    pub level: LogLevel,
    /// For single parts.
    pub parts: BTreeMap<Part, LogLevel>,
    /// The most lines of one part in a second.
    pub lines_per_s: Whole<1, 100_000>,
    /// The most lines that wait for standard error.
    pub waiting_lines: Whole<16, 65_536>,
}

impl Default for Log {
    fn default() -> Self {
        Log {
            format: LogFormat::Text,
            level: LogLevel::Info,
            parts: BTreeMap::new(),
            lines_per_s: Whole::new(200),
            waiting_lines: Whole::new(1024),
        }
    }
}

impl Log {
    /// The level of a part.
    pub fn level_of(&self, part: Part) -> LogLevel {
        self.parts.get(&part).copied().unwrap_or(self.level)
    }
}

/// The side where clients and call-backs come in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerOptions {
    /// A connection between requests is closed after this.
    pub idle_ms: Whole<1_000, 3_600_000>,
    /// With all places for jobs taken, a client is told to come back after this.
    pub crowded_retry_ms: Whole<10, 60_000>,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions { idle_ms: Whole::new(60_000), crowded_retry_ms: Whole::new(500) }
    }
}

/// The connections to next hops.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamOptions {
    /// A connection that has been idle for longer carries no further job.
    pub reuse_ms: Whole<0, 600_000>,
    /// A withdrawal that a next hop does not answer within this is made again, while the job has time.
    pub withdrawal_ms: Whole<50, 10_000>,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        UpstreamOptions { reuse_ms: Whole::new(300), withdrawal_ms: Whole::new(400) }
    }
}

/// What `/metrics` shows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Metrics {
    /// Upper bounds of the histograms of the answer time.
    #[serde(deserialize_with = "rising")]
    pub answer_bounds_ms: Vec<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics { answer_bounds_ms: vec![5, 25, 100, 250, 500, 1000, 2000, 3000, 5000, 8000, 15_000, 25_000] }
    }
}

fn rising<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u64>, D::Error> {
    let bounds: Vec<u64> = Vec::deserialize(from)?;
    if bounds.is_empty() || bounds.len() > 32 || bounds[0] == 0 || !bounds.is_sorted_by(|a, b| a < b) {
        return Err(de::Error::custom("expected 1 to 32 rising whole numbers above 0"));
    }
    Ok(bounds)
}

/// All of the operator's file. An empty one gives what the node does without it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// See [`Log`].
    pub log: Log,
    /// See [`ServerOptions`].
    #[serde(rename = "sender_side")]
    pub server: ServerOptions,
    /// See [`UpstreamOptions`].
    #[serde(rename = "next_hop")]
    pub upstream: UpstreamOptions,
    /// See [`Metrics`].
    pub metrics: Metrics,
}

/// A field as the reference page shows it.
pub struct Field {
    /// Its table and name.
    pub path: &'static str,
    /// Its unit or shape, and its bounds.
    pub shape: &'static str,
    /// Whether SIGHUP changes it at once; else it counts from the next start.
    pub at_once: bool,
    /// What it does.
    pub meaning: &'static str,
}

const fn field(path: &'static str, shape: &'static str, at_once: bool, meaning: &'static str) -> Field {
    Field { path, shape, at_once, meaning }
}

/// Every field, in the order of the file.
pub const FIELDS: &[Field] = &[
    field("log.format", "`text` or `json`", false, "form of a line on standard error"),
    field(
        "log.level",
        "`off`, `error`, `warn`, `info`, `debug`, `trace`",
        true,
        "from which level on lines are written",
    ),
    field(
        "log.parts",
        "table of part and level; parts are `node`, `dispatch`, `sender_side`, `next_hop`, `transport_map`",
        true,
        "levels that differ from `log.level`",
    ),
    field(
        "log.lines_per_s",
        "lines a second, 1 to 100000",
        true,
        "most lines of one part; more are dropped and counted",
    ),
    field(
        "log.waiting_lines",
        "lines, 16 to 65536",
        false,
        "most lines that wait for a slow standard error; more are dropped and counted",
    ),
    field(
        "sender_side.idle_ms",
        "ms, 1000 to 3600000",
        true,
        "a client's connection that is idle for this long is closed",
    ),
    field(
        "sender_side.crowded_retry_ms",
        "ms, 10 to 60000",
        true,
        "`Retry-After` while all places for jobs are taken",
    ),
    field(
        "next_hop.reuse_ms",
        "ms, 0 to 600000",
        true,
        "a connection to a worker that was idle for longer carries no job; never over half of the platform's `keepaliveUs`",
    ),
    field(
        "next_hop.withdrawal_ms",
        "ms, 50 to 10000",
        true,
        "a withdrawal that a worker does not answer within this is made again, until it is heard or the job's time is up",
    ),
    field(
        "metrics.answer_bounds_ms",
        "ms, 1 to 32 rising numbers",
        false,
        "upper bounds of the histogram `curlewusher_answer_seconds`",
    ),
];

impl Operator {
    /// Reads the text of a file; the error names line, field, and what would be right.
    pub fn parse(text: &str) -> Result<Self, String> {
        curlewusher_toml_diagnostics::parse(text)
    }

    /// Every field with its value in effect, in the order of [`FIELDS`].
    pub fn values(&self) -> Vec<(&'static Field, String)> {
        let all = toml::Value::try_from(self).ok();
        let value = |field: &'static Field| {
            let found = field.path.split('.').try_fold(all.as_ref()?, |at, name| at.get(name))?;
            Some((field, found.to_string()))
        };
        FIELDS.iter().filter_map(value).collect()
    }

    /// Whether the text of a file sets a field.
    pub fn sets(text: &str, field: &Field) -> bool {
        let table = text.parse::<toml::Table>().ok().map(toml::Value::Table);
        let names = &mut field.path.split('.');
        table.is_some_and(|table| names.try_fold(&table, |at, name| at.get(name)).is_some())
    }

    /// The table of the reference page, in Markdown.
    pub fn reference() -> String {
        let mut out =
            "| field | shape | default | on SIGHUP | meaning |\n| --- | --- | --- | --- | --- |\n".to_owned();
        for (Field { path, shape, at_once, meaning }, value) in Operator::default().values() {
            let when = if *at_once { "at once" } else { "next start" };
            out += &format!("| `{path}` | {shape} | `{value}` | {when} | {meaning} |\n");
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_reference_page_shows_every_field_and_nothing_else() {
        let page = include_str!("../../../docs/operator-file.md");
        assert!(
            page.contains(&Operator::reference()),
            "docs/operator-file.md should hold:\n{}",
            Operator::reference()
        );
        // A field that FIELDS lacks would be read and never shown.
        let all = toml::Table::try_from(Operator::default()).expect("a table");
        let written = all.values().map(|section| section.as_table().expect("a section").len()).sum::<usize>();
        assert_eq!(written, FIELDS.len());
        assert_eq!(Operator::default().values().len(), FIELDS.len());
    }

    #[test]
    fn the_file_as_shipped_is_what_the_node_does_without_it() {
        let shipped = include_str!("../../../deploy/operator.toml");
        assert_eq!(Operator::parse(shipped), Ok(Operator::default()));
    }

    #[test]
    fn a_mistake_is_named_with_line_field_and_remedy() {
        for (text, parts) in [
            ("[log]\nformat = \"xml\"", ["line 2", "log.format", "`text` or `json`"]),
            ("\n[log]\nlevle = \"info\"", ["line 3", "levle", "`level`"]),
            ("[log.parts]\nclients = \"info\"", ["line 2", "clients", "`sender_side`"]),
            ("[log]\nlines_per_s = 0", ["line 2", "log.lines_per_s", "from 1 to 100000"]),
            ("[next_hop]\n\nreuse_ms = -1", ["line 3", "next_hop.reuse_ms", "from 0 to 600000"]),
            ("[next_hop]\nreuse_ms = \"1\"", ["line 2", "next_hop.reuse_ms", "a whole number"]),
            ("[metrics]\nanswer_bounds_ms = [5, 5]", ["line 2", "metrics.answer_bounds_ms", "rising"]),
            ("[log]\nformat = \"text\"\nformat = \"json\"", ["line 3", "duplicate", ""]),
            ("[log\n", ["line 1", "", ""]),
        ] {
            let said = Operator::parse(text).expect_err(text);
            assert!(parts.iter().all(|part| said.contains(part)), "{text:?}: {said}");
            assert!(!said.contains('\n'), "{said}");
        }
    }
}
