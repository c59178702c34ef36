//! Figures of a run: outcome counts, response times and resource use, as stored in `figures.json`.
//!
//! A job counts once, whatever number of requests its client sent for it; its outcome is that of the last request.

mod class_results;
mod histogram;
mod traffic;

use serde::{Deserialize, Serialize};

use class_results::{ClassResult, class_results};
use traffic::Traffic;

use crate::play::FinishedRun;
use crate::process_cost::Sample;
use crate::rules::{OperationFigures, Violation, operation_figures};
use crate::scenario::Scenario;

/// Upper limit of the 99th percentile of send delays in a valid run, ms. Beyond it the load generator did not keep its
/// schedule, and the load was not the one that the scenario describes.
const MAX_SEND_DELAY_P99_MS: f64 = 50.0;

/// The figures of a request class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassFigures {
    pub name: String,
    /// Jobs, all requests for one job counted as one.
    pub jobs: usize,
    /// Jobs that were served within their latency objective.
    pub in_time: usize,
    /// Jobs that were served after their latency objective.
    pub late: usize,
    /// Jobs whose last request was rejected, or reached no node.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Jobs whose last request failed otherwise, or got no response.
    pub failed: usize,
    /// Priority weight of all jobs.
    #[serde(rename = "worth_asked")]
    pub weight_requested: f64,
    /// Priority weight of the jobs that were served in time.
    #[serde(rename = "worth_in_time")]
    pub weight_in_time: f64,
    /// Median time from the intended send to the response of the jobs that were served, ms.
    pub p50_ms: f64,
    /// 90th percentile of the same, ms.
    pub p90_ms: f64,
    /// 99th percentile of the same, ms.
    pub p99_ms: f64,
    /// Maximum of the same, ms.
    #[serde(rename = "longest_ms")]
    pub max_ms: f64,
}

impl ClassFigures {
    /// Share of the requested weight that was served in time, from 0 to 1; 0 if none was requested.
    pub fn share_in_time(&self) -> f64 {
        share(self.weight_in_time, self.weight_requested)
    }
}

/// Resource use of a node, all of its processes together.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NodeFigures {
    /// Processor time, seconds.
    pub cpu_s: f64,
    /// Highest sampled resident memory, MB.
    #[serde(rename = "most_memory_mb")]
    pub peak_memory_mb: f64,
    /// Highest sampled number of open file descriptors.
    #[serde(rename = "most_descriptors")]
    pub peak_descriptors: usize,
}

/// Priority weight of the jobs whose intended send is within one second of the load. Stored as a pair.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct SecondWeights {
    pub requested: f64,
    pub in_time: f64,
}

impl From<(f64, f64)> for SecondWeights {
    fn from((requested, in_time): (f64, f64)) -> Self {
        SecondWeights { requested, in_time }
    }
}

impl From<SecondWeights> for (f64, f64) {
    fn from(weights: SecondWeights) -> Self {
        (weights.requested, weights.in_time)
    }
}

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    pub title: String,
    pub seed: u64,
    pub jobs: usize,
    /// Jobs per second of the load.
    pub rate: f64,
    /// Share of the requested priority weight that was served in time, from 0 to 1.
    pub share_in_time: f64,
    /// Requests that clients sent, retries included.
    #[serde(rename = "tries")]
    pub requests: usize,
    /// Attempts that arrived at workers.
    pub attempts: usize,
    #[serde(rename = "attempts_a_try")]
    pub attempts_per_request: f64,
    /// Whether the load kept its schedule and the run was not interrupted; the figures of other runs must not be used.
    pub valid: bool,
    /// 99th percentile of the delay from the intended first send of a job to the real one, ms.
    #[serde(rename = "late_p99_ms")]
    pub send_delay_p99_ms: f64,
    pub classes: Vec<ClassFigures>,
    pub nodes: Vec<NodeFigures>,
    /// Processor time of all nodes per job, microseconds.
    #[serde(rename = "cpu_us_a_job")]
    pub cpu_us_per_job: f64,
    #[serde(rename = "attempts_of_worker")]
    pub attempts_by_worker: Vec<usize>,
    /// Number of rule violations.
    pub broken_rules: usize,
    /// Number of crashes of nodes.
    pub crashes: usize,
    /// Results of operator actions.
    #[serde(default, rename = "daily")]
    pub operations: OperationFigures,
    /// For each class, the weights of each second of the load.
    pub seconds: Vec<Vec<SecondWeights>>,
}

/// Computes the figures of a run from its records, its samples and the violations found in it.
pub fn compute_figures(scenario: &Scenario, played: &FinishedRun, violations: &[Violation]) -> Figures {
    let traffic = Traffic::from_records(&played.records, scenario.worker_count());
    let results = class_results(scenario, played.begin, &traffic.jobs);
    let (classes, seconds): (Vec<_>, Vec<_>) =
        results.into_iter().map(|ClassResult { figures, seconds }| (figures, seconds)).unzip();
    let weight_requested: f64 = classes.iter().map(|class| class.weight_requested).sum();
    let weight_in_time: f64 = classes.iter().map(|class| class.weight_in_time).sum();
    let nodes: Vec<NodeFigures> =
        (0..scenario.nodes.count).map(|node| node_figures(&played.samples, node)).collect();
    let cpu_s: f64 = nodes.iter().map(|node| node.cpu_s).sum();
    let jobs = traffic.jobs.len();
    let send_delay_p99_ms = traffic.send_delays.quantile_ms(0.99);
    Figures {
        title: scenario.title.clone(),
        seed: scenario.seed,
        jobs,
        rate: jobs as f64 / scenario.length_s,
        share_in_time: share(weight_in_time, weight_requested),
        requests: traffic.requests,
        attempts: traffic.attempts,
        attempts_per_request: traffic.attempts as f64 / traffic.requests.max(1) as f64,
        valid: send_delay_p99_ms <= MAX_SEND_DELAY_P99_MS && !played.interrupted,
        send_delay_p99_ms,
        cpu_us_per_job: cpu_s * 1e6 / jobs.max(1) as f64,
        classes,
        nodes,
        attempts_by_worker: traffic.attempts_by_worker,
        broken_rules: violations.len(),
        crashes: played.crashes.len(),
        operations: operation_figures(&played.records, &scenario.rule_parameters()),
        seconds,
    }
}

fn node_figures(samples: &[Sample], node: usize) -> NodeFigures {
    let mut figures = NodeFigures::default();
    let mut previous_cpu_s = 0.0;
    for sample in samples.iter().filter(|sample| sample.node == node) {
        // The counter of a restarted process begins at zero.
        let restarted = sample.cpu_s < previous_cpu_s;
        figures.cpu_s += if restarted { sample.cpu_s } else { sample.cpu_s - previous_cpu_s };
        previous_cpu_s = sample.cpu_s;
        figures.peak_memory_mb = figures.peak_memory_mb.max(sample.memory_mb);
        figures.peak_descriptors = figures.peak_descriptors.max(sample.descriptors);
    }
    figures
}

/// A part of a whole as a share from 0 to 1; 0 if there is no whole.
fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
