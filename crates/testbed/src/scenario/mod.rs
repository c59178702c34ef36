//! Scenario files: their form, their defaults, and what is valid.
//!
//! Times are seconds from the beginning of the load, as decimals; work is seconds on a core of speed 1. The names in the
//! file are an interface; where a Rust name is another one, the field is renamed for serde. A file is validated as a
//! whole before the first process is started.

mod conversion;
mod error;
mod fault;
mod validation;

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

pub use conversion::{DEDUPLICATION_WINDOW, MEMORY_MB, OVERLOAD_FACTOR, OVERLOAD_WINDOW};
pub use error::ScenarioError;
pub use fault::{Fault, FaultKind, MAX_DELAY_S, UpgradeProcess};

/// A scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows, for the report.
    pub title: String,
    /// The same seed gives the same jobs, sizes, keys and machines.
    pub seed: u64,
    /// How long jobs arrive.
    pub length_s: f64,
    pub nodes: Nodes,
    #[serde(default)]
    pub fleet: Fleet,
    pub load: Load,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The nodes under test.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    pub count: usize,
    /// File descriptors that each may use.
    #[serde(default = "Nodes::default_descriptors")]
    pub descriptors: usize,
    /// The operator's file for all of them.
    #[serde(default)]
    pub operator: Option<PathBuf>,
    /// A process starts with the endpoint list that its node was sent last, in place of none.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub saved_lists: bool,
}

impl Nodes {
    fn default_descriptors() -> usize {
        1024
    }
}

/// The workers, the archive, and discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Workers that are up from the beginning.
    pub workers: usize,
    /// Bays that the workers are dealt to in turn.
    pub bays: usize,
    /// Kinds of machines, dealt in turn.
    pub kinds: Vec<MachineKind>,
    /// Jobs that may wait at a worker.
    pub queue: usize,
    /// Data sets that a worker caches.
    #[serde(rename = "sets_kept")]
    pub cached_sets: usize,
    /// Seconds that a fetch takes at full speed.
    pub fetch_s: f64,
    /// Fetches that the archive serves at full speed.
    #[serde(rename = "archive")]
    pub archive_concurrency: f64,
    /// Fraction of capacity lost when twice the cores are in demand.
    #[serde(rename = "crowding")]
    pub contention_penalty: f64,
    /// Fraction of its capacity that a worker has when it starts.
    #[serde(rename = "cold_share")]
    pub initial_capacity_fraction: f64,
    pub warm_up_s: f64,
    /// Delay between a change and its publication by discovery.
    #[serde(rename = "list_late_s")]
    pub publication_delay_s: f64,
    /// Discovery serves one call at a time, each for this long.
    #[serde(rename = "list_call_s")]
    pub discovery_call_s: f64,
}

/// A kind of machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    pub name: String,
    pub cores: f64,
    pub speed: f64,
    pub slots: u32,
    /// Its weight when the kinds are dealt.
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

/// What clients submit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Jobs a second.
    pub rate: f64,
    /// Number of data sets.
    #[serde(default = "Load::default_sets")]
    pub sets: u64,
    /// Exponent of Zipf's law by which data sets are requested.
    #[serde(default = "Load::default_skew")]
    pub skew: f64,
    /// Standard deviation of the logarithm of the error of clients' estimates.
    #[serde(default = "Load::default_hint_spread")]
    pub hint_spread: f64,
    /// Retries of a client after its first request.
    #[serde(default = "Load::default_retries")]
    pub retries: u32,
    /// A client's backoff before each retry; the node's `Retry-After` counts where it is longer.
    #[serde(default)]
    pub retry_wait_s: f64,
    /// Fraction of jobs that come each on a connection of its own; the others use persistent connections.
    #[serde(default)]
    pub new_connections: f64,
    /// Requests that are written in two parts; none if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub split: Option<SplitRequests>,
    /// Fraction of jobs behind whose request another request is written at once; none if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pipelined: Option<f64>,
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
    /// The fraction of jobs that are requested so.
    pub share: f64,
    /// The longest pause between both parts, in seconds.
    pub pause_s: f64,
}

/// A span of time in which the rate is a multiple of the base rate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadCurveSegment {
    pub from_s: f64,
    pub until_s: f64,
    pub factor: f64,
}

/// A class of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Its weight among the classes.
    pub share: f64,
    /// Mean work of a job.
    pub mean_s: f64,
    #[serde(default = "Class::default_slots")]
    pub slots: u32,
    #[serde(rename = "repeats")]
    pub idempotence: Idempotence,
    /// The latency objective is this and `stretch` times the job's own work.
    #[serde(rename = "aim_s")]
    pub objective_s: f64,
    pub stretch: f64,
    #[serde(rename = "give_up_s")]
    pub timeout_s: f64,
    /// Value of a second of its work that is answered within the objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
}

impl Class {
    fn default_slots() -> u32 {
        1
    }
}

/// Whether a job may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotence {
    #[serde(rename = "safe")]
    Idempotent,
    /// With an idempotency key.
    #[serde(rename = "keyed")]
    IdempotentWithKey,
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

impl Scenario {
    /// Reads and validates a scenario; the error names line, field and remedy.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = curlewusher_toml_diagnostics::parse(text)?;
        scenario.validate().map_err(|invalid| invalid.locate(text))?;
        Ok(scenario)
    }

    /// Whether the nodes need an admin address. Otherwise they get none: older programs do not know it.
    pub fn needs_admin_addresses(&self) -> bool {
        self.faults.iter().any(|fault| fault.kind.needs_admin_address())
    }

    /// Whether the nodes connect to discovery and to workers through proxies.
    pub fn needs_proxies(&self) -> bool {
        self.faults.iter().any(|fault| fault.kind.needs_proxies())
    }

    /// The workers or nodes that a fault is for.
    pub fn targets_of(&self, fault: &Fault) -> Vec<usize> {
        let all = if fault.kind.targets_nodes() { self.nodes.count } else { self.fleet.workers };
        match fault.share {
            Some(share) => (0..(share * all as f64).round() as usize).collect(),
            None if fault.targets.is_empty() => (0..all).collect(),
            None => fault.targets.clone(),
        }
    }

    /// Workers that are started by a fault of kind `grow`, in ascending order.
    pub fn grown_workers(&self) -> Vec<usize> {
        let grows = self.faults.iter().filter(|fault| fault.kind == FaultKind::Grow);
        let mut grown: Vec<usize> = grows.flat_map(|fault| fault.targets.iter().copied()).collect();
        grown.sort_unstable();
        grown.dedup();
        grown
    }

    /// Number of all workers that exist at some time, grown ones included.
    pub fn worker_count(&self) -> usize {
        let after_grown = self.grown_workers().last().map_or(0, |last| last + 1);
        self.fleet.workers.max(after_grown)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/scenario.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/golden_scenario.rs"]
mod golden_scenario;
