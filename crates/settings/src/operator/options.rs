//! Sections of the operator's file, with their fields, bounds and defaults.
//!
//! The name of a field ends in its unit, unless its type determines the unit. `serde(rename)` gives the name
//! in the file if it differs from the Rust name. `serde(expecting)` gives the name of a type in error
//! messages if it differs from the Rust name.

use std::collections::BTreeMap;

use serde::de::{self, Deserializer};
use serde::{Deserialize, Serialize};

use super::bounded_integer::{BoundedInteger, BoundedMillis};

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text: time, level, target, message and fields.
    Text,
    /// Machine-readable: one JSON object per line.
    Json,
}

/// Level of a log line, or least severe level that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// No lines are written.
    Off,
    /// Failures that prevent the node from doing a part of its work.
    Error,
    /// Conditions that may require an action of the operator.
    Warn,
    /// Phases, reloads and discovery.
    Info,
    /// Each job, with its id.
    Debug,
    /// Each callback and each connection.
    Trace,
}

/// Component of the node that writes a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(expecting = "enum Part", rename_all = "snake_case")]
pub enum LogTarget {
    /// Startup, phases, reloads and shutdown.
    Node,
    /// Jobs and their attempts.
    Dispatch,
    /// Client connections, requests and callbacks.
    #[serde(rename = "sender_side")]
    Server,
    /// Connections to workers.
    #[serde(rename = "next_hop")]
    Upstream,
    /// Endpoint watch.
    #[serde(rename = "transport_map")]
    Discovery,
}

impl LogTarget {
    /// All targets.
    pub const ALL: [LogTarget; 5] =
        [LogTarget::Node, LogTarget::Dispatch, LogTarget::Server, LogTarget::Upstream, LogTarget::Discovery];

    /// Returns the name of the target in the file and in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            LogTarget::Node => "node",
            LogTarget::Dispatch => "dispatch",
            LogTarget::Server => "sender_side",
            LogTarget::Upstream => "next_hop",
            LogTarget::Discovery => "transport_map",
        }
    }
}

/// Options of the log on standard error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Log", deny_unknown_fields, default)]
pub struct LogOptions {
    /// Format of the lines.
    pub format: LogFormat,
    /// Level of all targets that `target_levels` does not contain.
    pub level: LogLevel,
    /// Levels of individual targets.
    #[serde(rename = "parts")]
    pub target_levels: BTreeMap<LogTarget, LogLevel>,
    /// Maximum number of lines per second of each target.
    pub lines_per_s: BoundedInteger<1, 100_000>,
    /// Maximum number of lines that are queued for standard error.
    #[serde(rename = "waiting_lines")]
    pub max_queued_lines: BoundedInteger<16, 65_536>,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions {
            format: LogFormat::Text,
            level: LogLevel::Info,
            target_levels: BTreeMap::new(),
            lines_per_s: BoundedInteger::new(200),
            max_queued_lines: BoundedInteger::new(1024),
        }
    }
}

impl LogOptions {
    /// Returns the level of a target.
    pub fn level_of(&self, target: LogTarget) -> LogLevel {
        self.target_levels.get(&target).copied().unwrap_or(self.level)
    }
}

/// Options of the server for clients and callbacks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerOptions {
    /// Time without a request after which a connection is closed.
    #[serde(rename = "idle_ms")]
    pub idle_timeout: BoundedMillis<1_000, 3_600_000>,
    /// `Retry-After` of a request that is rejected because the node has no capacity for another job.
    #[serde(rename = "crowded_retry_ms")]
    pub overload_retry_after: BoundedMillis<10, 60_000>,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            idle_timeout: BoundedMillis::new(60_000),
            overload_retry_after: BoundedMillis::new(500),
        }
    }
}

/// Options of the connections to workers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamOptions {
    /// Maximum idle time of a connection that is reused.
    #[serde(rename = "reuse_ms")]
    pub max_reuse_idle: BoundedMillis<0, 600_000>,
    /// Time after which a cancellation that a worker has not acknowledged is sent again, until the job's
    /// deadline.
    #[serde(rename = "withdrawal_ms")]
    pub cancellation_timeout: BoundedMillis<50, 10_000>,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        UpstreamOptions {
            max_reuse_idle: BoundedMillis::new(300),
            cancellation_timeout: BoundedMillis::new(400),
        }
    }
}

/// Options of the metrics on `/metrics`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Metrics", deny_unknown_fields, default)]
pub struct MetricsOptions {
    /// Upper bounds of the buckets of the response time histograms, in increasing order.
    #[serde(rename = "answer_bounds_ms", deserialize_with = "deserialize_bucket_bounds")]
    pub response_time_bounds_ms: Vec<u64>,
}

impl Default for MetricsOptions {
    fn default() -> Self {
        MetricsOptions {
            response_time_bounds_ms: vec![5, 25, 100, 250, 500, 1000, 2000, 3000, 5000, 8000, 15_000, 25_000],
        }
    }
}

/// Maximum number of bucket bounds of a histogram. It limits the number of time series that one histogram
/// adds.
const MAX_BUCKET_BOUNDS: usize = 32;

fn deserialize_bucket_bounds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u64>, D::Error> {
    let bounds: Vec<u64> = Vec::deserialize(deserializer)?;
    let count_is_allowed = (1..=MAX_BUCKET_BOUNDS).contains(&bounds.len());
    let is_increasing = bounds.is_sorted_by(|lower, upper| lower < upper);
    if !count_is_allowed || bounds[0] == 0 || !is_increasing {
        return Err(de::Error::custom(format_args!(
            "expected 1 to {MAX_BUCKET_BOUNDS} rising whole numbers above 0"
        )));
    }
    Ok(bounds)
}
