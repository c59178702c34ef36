//! Figures of a run: outcome counts, response times and resource use, as stored in `figures.json`.
//!
//! A job counts once, regardless of the number of requests that its client sent for it. The outcome of the
//! job is that of the last request.

mod class_results;
mod histogram;
mod traffic;

use serde::{Deserialize, Serialize};

use class_results::{ClassResult, compute_class_results};
use traffic::Traffic;

use crate::play::FinishedRun;
use crate::process_cost::Sample;
use crate::rules::{OperationFigures, Violation, compute_operation_figures};
use crate::scenario::Scenario;

/// Maximum 99th percentile of the send delays in a valid run, in ms. Above it the load generator did not keep
/// its schedule, and the load was not the load that the scenario describes.
const MAX_SEND_DELAY_P99_MS: f64 = 50.0;

/// Figures of a job class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Name of the class.
    pub name: String,
    /// Number of jobs. All requests for a job count as one.
    pub jobs: usize,
    /// Number of jobs that were served within their latency objective.
    pub in_time: usize,
    /// Number of jobs that were served after their latency objective.
    pub late: usize,
    /// Number of jobs whose last request was rejected or reached no node.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Number of jobs whose last request failed in another way or got no response.
    pub failed: usize,
    /// Sum of the weights of all jobs. The weight of a job is the priority weight of its class times the work
    /// of the job in seconds.
    #[serde(rename = "worth_asked")]
    pub weight_requested: f64,
    /// Sum of the weights of the jobs that were served within their latency objective.
    #[serde(rename = "worth_in_time")]
    pub weight_in_time: f64,
    /// Median response time of the served jobs, in ms. The response time of a job is the time from its
    /// scheduled send to the response.
    pub p50_ms: f64,
    /// 90th percentile of the response times of the served jobs, in ms.
    pub p90_ms: f64,
    /// 99th percentile of the response times of the served jobs, in ms.
    pub p99_ms: f64,
    /// Maximum response time of the served jobs, in ms.
    #[serde(rename = "longest_ms")]
    pub max_ms: f64,
}

impl ClassFigures {
    /// Returns the share of the requested weight that was served in time, from 0 to 1, or 0 if none was
    /// requested.
    pub fn share_in_time(&self) -> f64 {
        share(self.weight_in_time, self.weight_requested)
    }
}

/// Resource use of a node, all of its processes together.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NodeFigures {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Maximum sampled resident memory, in MB.
    #[serde(rename = "most_memory_mb")]
    pub peak_memory_mb: f64,
    /// Maximum sampled number of open file descriptors.
    #[serde(rename = "most_descriptors")]
    pub peak_descriptors: usize,
}

/// Weights of the jobs that are scheduled within one second of the load. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct SecondWeights {
    /// Sum of the weights of all jobs.
    pub requested: f64,
    /// Sum of the weights of the jobs that were served within their latency objective.
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

/// Figures of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Title of the scenario.
    pub title: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Number of jobs.
    pub jobs: usize,
    /// Average number of jobs per second of the load.
    pub rate: f64,
    /// Share of the requested priority weight that was served in time, from 0 to 1.
    pub share_in_time: f64,
    /// Number of requests that clients sent, including client retries.
    #[serde(rename = "tries")]
    pub requests: usize,
    /// Number of attempts that arrived at workers.
    pub attempts: usize,
    /// Average number of attempts per request of a client.
    #[serde(rename = "attempts_a_try")]
    pub attempts_per_request: f64,
    /// Whether the run is valid: the load kept its schedule and the run was not interrupted. Figures of an
    /// invalid run must not be used.
    pub valid: bool,
    /// 99th percentile of the delay from the scheduled first send of a job to the actual one, in ms.
    #[serde(rename = "late_p99_ms")]
    pub send_delay_p99_ms: f64,
    /// Figures of each class.
    pub classes: Vec<ClassFigures>,
    /// Figures of each node.
    pub nodes: Vec<NodeFigures>,
    /// Processor time of all nodes per job, in microseconds.
    #[serde(rename = "cpu_us_a_job")]
    pub cpu_us_per_job: f64,
    /// Number of attempts that arrived at each worker.
    #[serde(rename = "attempts_of_worker")]
    pub attempts_by_worker: Vec<usize>,
    /// Number of rule violations.
    pub broken_rules: usize,
    /// Number of crashes of nodes.
    pub crashes: usize,
    /// Figures of operator actions.
    #[serde(default, rename = "daily")]
    pub operations: OperationFigures,
    /// Priority weights of each class, for each second of the load.
    pub seconds: Vec<Vec<SecondWeights>>,
}

/// Computes the figures of a run from its records, its samples and its violations.
pub fn compute_figures(scenario: &Scenario, run: &FinishedRun, violations: &[Violation]) -> Figures {
    let traffic = Traffic::from_records(&run.records, scenario.worker_count());
    let results = compute_class_results(scenario, run.begin, &traffic.jobs);
    let (classes, seconds): (Vec<_>, Vec<_>) =
        results.into_iter().map(|ClassResult { figures, seconds }| (figures, seconds)).unzip();
    let weight_requested: f64 = classes.iter().map(|class| class.weight_requested).sum();
    let weight_in_time: f64 = classes.iter().map(|class| class.weight_in_time).sum();
    let nodes: Vec<NodeFigures> =
        (0..scenario.nodes.count).map(|node| node_figures(&run.samples, node)).collect();
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
        valid: send_delay_p99_ms <= MAX_SEND_DELAY_P99_MS && !run.interrupted,
        send_delay_p99_ms,
        cpu_us_per_job: cpu_s * 1e6 / jobs.max(1) as f64,
        classes,
        nodes,
        attempts_by_worker: traffic.attempts_by_worker,
        broken_rules: violations.len(),
        crashes: run.crashes.len(),
        operations: compute_operation_figures(&run.records, &scenario.rule_parameters()),
        seconds,
    }
}

fn node_figures(samples: &[Sample], node: usize) -> NodeFigures {
    let mut figures = NodeFigures::default();
    let mut previous_cpu_s = 0.0;
    for sample in samples.iter().filter(|sample| sample.node == node) {
        // A value below the previous one is that of a restarted process, which begins at zero.
        let restarted = sample.cpu_s < previous_cpu_s;
        figures.cpu_s += if restarted { sample.cpu_s } else { sample.cpu_s - previous_cpu_s };
        previous_cpu_s = sample.cpu_s;
        figures.peak_memory_mb = figures.peak_memory_mb.max(sample.memory_mb);
        figures.peak_descriptors = figures.peak_descriptors.max(sample.descriptors);
    }
    figures
}

/// Returns the share of a part in a whole, from 0 to 1, or 0 if the whole is 0.
fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
