//! Scenario files: format, default values and validation.
//!
//! Times are seconds from the beginning of the load, as decimals. Work is seconds on a core of speed 1. The
//! names in the file are an interface: a field whose Rust name differs is renamed for serde. The whole file
//! is validated before the first process is started.

mod conversion;
mod error;
mod fault;
mod validation;

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use conversion::DEFAULT_MEMORY_LIMIT_MB;
pub use conversion::{DEDUPLICATION_WINDOW, OVERLOAD_FACTOR, OVERLOAD_WINDOW};
pub use error::ScenarioError;
pub use fault::{Fault, FaultKind, MAX_SIGTERM_DELAY_S, UpgradeProcess};

/// Scenario of a run: the nodes, the fleet, the load and the faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Subject of the scenario, for the report.
    pub title: String,
    /// Seed of the random choices. The same seed gives the same jobs, sizes, keys and machines.
    pub seed: u64,
    /// Duration for which jobs arrive, in seconds.
    pub length_s: f64,
    /// Nodes under test.
    pub nodes: Nodes,
    /// Workers, archive and discovery.
    #[serde(default)]
    pub fleet: Fleet,
    /// Requests that clients send.
    pub load: Load,
    /// Classes of jobs.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Faults that are injected during the run.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Nodes under test.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Number of nodes.
    pub count: usize,
    /// Number of file descriptors that each node may use.
    #[serde(default = "Nodes::default_descriptors")]
    pub descriptors: usize,
    /// Memory that all processes of a node together may use, in MB. `None` means the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u32>,
    /// Path of the operator's file for all nodes.
    #[serde(default)]
    pub operator: Option<PathBuf>,
    /// Whether a process starts with the last endpoint list that its node was sent, instead of without a
    /// list.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub saved_lists: bool,
}

impl Nodes {
    /// Returns the memory that all processes of a node together may use, in MB.
    pub fn memory_limit_mb(&self) -> u32 {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_LIMIT_MB)
    }

    fn default_descriptors() -> usize {
        1024
    }
}

/// Workers, archive and discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of workers that run from the beginning.
    pub workers: usize,
    /// Number of cells, to which the workers are assigned in rotation.
    pub bays: usize,
    /// Kinds of machines, which are assigned to the workers in rotation.
    pub kinds: Vec<MachineKind>,
    /// Maximum number of jobs that wait at a worker.
    pub queue: usize,
    /// Maximum number of data sets that a worker caches.
    #[serde(rename = "sets_kept")]
    pub cached_sets: usize,
    /// Duration of a fetch at full speed, in seconds.
    pub fetch_s: f64,
    /// Maximum number of concurrent fetches that the archive serves at full speed.
    #[serde(rename = "archive")]
    pub archive_concurrency: f64,
    /// Loss of capacity through contention. If the demand is twice the number of cores, the capacity of a
    /// worker is divided by 1 plus this value.
    #[serde(rename = "crowding")]
    pub contention_penalty: f64,
    /// Fraction of its capacity that a worker has when it starts.
    #[serde(rename = "cold_share")]
    pub initial_capacity_fraction: f64,
    /// Duration of the warm-up of a worker, in seconds.
    pub warm_up_s: f64,
    /// Delay between a change and its publication by discovery, in seconds.
    #[serde(rename = "list_late_s")]
    pub publication_delay_s: f64,
    /// Duration for which discovery serves a poll, in seconds. It serves one poll at a time.
    #[serde(rename = "list_call_s")]
    pub discovery_call_s: f64,
}

/// Kind of machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Name of the kind.
    pub name: String,
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core, as a multiple of the speed at which work is counted.
    pub speed: f64,
    /// Number of slots.
    pub slots: u32,
    /// Weight of the kind in the assignment of kinds to workers.
    #[serde(default = "MachineKind::default_parts")]
    pub parts: usize,
}

impl MachineKind {
    fn default_parts() -> usize {
        1
    }
}

impl Default for Fleet {
    fn default() -> Self {
        let kind = |name: &str, cores, speed, slots, parts| {
            let name = name.into();
            MachineKind { name, cores, speed, slots, parts }
        };
        Fleet {
            workers: 10,
            bays: 2,
            kinds: vec![
                kind("fast-five", 5.0, 1.3, 5, 3),
                kind("plain-five", 5.0, 0.97, 5, 4),
                kind("old-four", 4.0, 0.7, 4, 4),
            ],
            queue: 60,
            cached_sets: 5,
            fetch_s: 1.4,
            archive_concurrency: 24.0,
            contention_penalty: 0.05,
            initial_capacity_fraction: 0.13,
            warm_up_s: 24.0,
            publication_delay_s: 2.0,
            discovery_call_s: 0.01,
        }
    }
}

/// Requests that clients send.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Base rate of the load, in jobs per second.
    pub rate: f64,
    /// Number of data sets.
    #[serde(default = "Load::default_sets")]
    pub sets: u64,
    /// Exponent of the Zipf distribution of the requested data sets.
    #[serde(default = "Load::default_skew")]
    pub skew: f64,
    /// Standard deviation of the logarithm of the error in the clients' cost estimates.
    #[serde(default = "Load::default_hint_spread")]
    pub hint_spread: f64,
    /// Maximum number of retries of a client after its first request.
    #[serde(default = "Load::default_retries")]
    pub retries: u32,
    /// Backoff of a client before each retry, in seconds. If the node's `Retry-After`, limited to 2 s, is
    /// longer, it applies instead.
    #[serde(default)]
    pub retry_wait_s: f64,
    /// Fraction of jobs that are each sent on a connection of their own. The others use persistent
    /// connections.
    #[serde(default)]
    pub new_connections: f64,
    /// Requests that are written in two parts. `None` means no such requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub split: Option<SplitRequests>,
    /// Requests with long bodies, which are written in pieces. `None` means that all bodies are short.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub long_bodies: Option<LongBodies>,
    /// Fraction of jobs behind whose request the client writes another request at once. `None` means no such
    /// jobs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pipelined: Option<f64>,
    /// Periods with a different rate.
    #[serde(default, rename = "tide")]
    pub load_curve: Vec<LoadCurveSegment>,
}

impl Load {
    fn default_sets() -> u64 {
        65
    }
    fn default_skew() -> f64 {
        1.0
    }
    fn default_hint_spread() -> f64 {
        0.25
    }
    fn default_retries() -> u32 {
        3
    }
}

/// Requests that clients write in two parts.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SplitRequests {
    /// Fraction of jobs whose requests are written in two parts.
    pub share: f64,
    /// Maximum pause between the two parts, in seconds.
    pub pause_s: f64,
}

/// Requests with long bodies, which are written in pieces at a constant rate.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LongBodies {
    /// Fraction of jobs with a long body.
    pub share: f64,
    /// Length of the body, in bytes.
    pub bytes: usize,
    /// Length of a piece, in bytes.
    pub piece_bytes: usize,
    /// Time in which the request is written, in seconds.
    pub written_in_s: f64,
}

/// Period in which the rate of the load is a multiple of the base rate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadCurveSegment {
    /// Start of the period, in seconds.
    pub from_s: f64,
    /// End of the period (exclusive), in seconds.
    pub until_s: f64,
    /// Multiple of the base rate.
    pub factor: f64,
}

/// Class of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class, which clients send in a header.
    pub name: String,
    /// Weight of the class among all classes.
    pub share: f64,
    /// Mean work of a job, in seconds.
    pub mean_s: f64,
    /// Number of slots that a large job of the class occupies. One job in five is large, and the others
    /// occupy one slot.
    #[serde(default = "Class::default_slots")]
    pub slots: u32,
    /// Idempotency of the jobs.
    #[serde(rename = "repeats")]
    pub idempotency: Idempotency,
    /// Fixed part of the latency objective, in seconds. The objective is the sum of this part and `stretch`
    /// times the work of the job.
    #[serde(rename = "aim_s")]
    pub objective_s: f64,
    /// Multiple of the work of the job in the latency objective.
    pub stretch: f64,
    /// Timeout of clients, in seconds.
    #[serde(rename = "give_up_s")]
    pub timeout_s: f64,
    /// Value of each second of work of a job that is answered within its latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
}

impl Class {
    fn default_slots() -> u32 {
        1
    }
}

/// Idempotency of the jobs of a class: the condition under which a job may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A job may run again.
    #[serde(rename = "safe")]
    Idempotent,
    /// A job has an idempotency key, and may run again in the same cell within the deduplication window.
    #[serde(rename = "keyed")]
    IdempotentWithKey,
    /// A job must not run again.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

impl Scenario {
    /// Parses and validates a scenario. An error names the line, the field and the remedy.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = curlewusher_toml_diagnostics::parse(text)?;
        scenario.validate().map_err(|invalid| invalid.locate(text))?;
        Ok(scenario)
    }

    /// Returns whether the nodes need an admin address. Otherwise they get none, because older versions of
    /// the node do not support it.
    pub fn needs_admin_addresses(&self) -> bool {
        self.faults.iter().any(|fault| fault.kind.needs_admin_address())
    }

    /// Returns whether the nodes connect to discovery and to workers through proxies.
    pub fn needs_proxies(&self) -> bool {
        self.faults.iter().any(|fault| fault.kind.needs_proxies())
    }

    /// Returns the indexes of the workers or nodes that a fault affects.
    pub fn targets_of(&self, fault: &Fault) -> Vec<usize> {
        let all = if fault.kind.targets_nodes() { self.nodes.count } else { self.fleet.workers };
        match fault.share {
            Some(share) => (0..(share * all as f64).round() as usize).collect(),
            None if fault.targets.is_empty() => (0..all).collect(),
            None => fault.targets.clone(),
        }
    }

    /// Returns the indexes of the workers that faults of kind `grow` start, in ascending order.
    pub fn grown_workers(&self) -> Vec<usize> {
        let grows = self.faults.iter().filter(|fault| fault.kind == FaultKind::Grow);
        let mut grown: Vec<usize> = grows.flat_map(|fault| fault.targets.iter().copied()).collect();
        grown.sort_unstable();
        grown.dedup();
        grown
    }

    /// Returns the number of all workers of the run, including those that faults of kind `grow` start.
    pub fn worker_count(&self) -> usize {
        let count_with_grown = self.grown_workers().last().map_or(0, |last| last + 1);
        self.fleet.workers.max(count_with_grown)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/scenario.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/golden_scenario.rs"]
mod golden_scenario;
