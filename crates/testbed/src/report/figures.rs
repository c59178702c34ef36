//! Figures of a run: outcome counts, response times and resource use, as stored in `figures.json`.
//!
//! A job counts once, whatever number of requests its client sent for it; its outcome is that of the last request.

use std::collections::{BTreeMap, HashMap};

use curlewusher_model::{TimeSpan, Timestamp};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::event_log::{Event, FailureReason, Record};
use crate::nodes::Sample;
use crate::play::Played;
use crate::rules::{OperationFigures, Violation, operation_figures};
use crate::scenario::Scenario;

/// Upper limit of the 99th percentile of send delays in a valid run, ms. Beyond it the load generator did not keep its
/// schedule, and the load was not the one that the scenario describes.
const MAX_SEND_DELAY_P99_MS: f64 = 50.0;

/// Largest value that a histogram distinguishes, microseconds: one hour.
const MAX_HISTOGRAM_VALUE_US: u64 = 3_600_000_000;
/// Significant decimal digits of a histogram's values.
const HISTOGRAM_DIGITS: u8 = 3;

const MICROS_PER_SECOND: u64 = 1_000_000;

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
    pub refused: usize,
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
pub fn compute_figures(scenario: &Scenario, played: &Played, violations: &[Violation]) -> Figures {
    let traffic = Traffic::from_records(&played.records, scenario.worker_count());
    let (classes, seconds): (Vec<_>, Vec<_>) =
        class_totals(scenario, played.begin, &traffic.jobs).into_iter().map(ClassTotals::finish).unzip();
    let weight_requested: f64 = classes.iter().map(|class| class.weight_requested).sum();
    let weight_in_time: f64 = classes.iter().map(|class| class.weight_in_time).sum();
    let nodes: Vec<NodeFigures> =
        (0..scenario.nodes.count).map(|node| node_figures(&played.samples, node)).collect();
    let cpu_s: f64 = nodes.iter().map(|node| node.cpu_s).sum();
    let jobs = traffic.jobs.len();
    let send_delay_p99_ms = quantile_ms(&traffic.send_delays, 0.99);
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

/// Outcome of the last request of a job.
#[derive(Clone, Copy)]
enum Outcome {
    /// A response with the worker's result arrived at this moment.
    Served { at: Timestamp },
    /// The node rejected the request, or no node could be reached.
    Refused,
    /// Any other response, or none.
    Failed,
}

impl Outcome {
    fn of_response(at: Timestamp, status: u16, has_own_result: bool) -> Self {
        match status {
            200 if has_own_result => Outcome::Served { at },
            429 | 503 => Outcome::Refused,
            _ => Outcome::Failed,
        }
    }

    fn of_failure(reason: &FailureReason) -> Self {
        if matches!(reason, FailureReason::Unreachable | FailureReason::NoNode) {
            Outcome::Refused
        } else {
            Outcome::Failed
        }
    }
}

/// A job as its client saw it.
struct Job {
    class: usize,
    /// Moment of the first send according to the schedule.
    intended: Timestamp,
    outcome: Outcome,
}

/// Requests and attempts of a run, collected from its records.
struct Traffic<'a> {
    /// By job number.
    jobs: BTreeMap<usize, Job>,
    /// Job number of each request id.
    job_of_request: HashMap<&'a str, usize>,
    requests: usize,
    attempts: usize,
    attempts_by_worker: Vec<usize>,
    /// Delays of the first send of each job, microseconds.
    send_delays: Histogram<u64>,
}

impl<'a> Traffic<'a> {
    fn from_records(records: &'a [Record], workers: usize) -> Self {
        let mut traffic = Traffic {
            jobs: BTreeMap::new(),
            job_of_request: HashMap::new(),
            requests: 0,
            attempts: 0,
            attempts_by_worker: vec![0; workers],
            send_delays: new_histogram(),
        };
        for Record { at, event } in records {
            traffic.add(*at, event);
        }
        traffic
    }

    fn add(&mut self, at: Timestamp, event: &'a Event) {
        match event {
            Event::RequestSent { id, job, class, delay, .. } => {
                self.requests += 1;
                self.job_of_request.insert(id, *job);
                self.jobs.entry(*job).or_insert_with(|| {
                    self.send_delays.saturating_record(delay.as_micros());
                    Job { class: *class, intended: at - *delay, outcome: Outcome::Failed }
                });
            }
            Event::ResponseReceived { id, status, has_own_result } => {
                self.set_outcome(id, Outcome::of_response(at, *status, *has_own_result));
            }
            Event::RequestFailed { id, reason } => self.set_outcome(id, Outcome::of_failure(reason)),
            Event::AttemptArrived { worker, .. } => {
                self.attempts += 1;
                self.attempts_by_worker[*worker] += 1;
            }
            _ => {}
        }
    }

    fn set_outcome(&mut self, request_id: &str, outcome: Outcome) {
        let job = self.job_of_request.get(request_id).and_then(|job| self.jobs.get_mut(job));
        if let Some(job) = job {
            job.outcome = outcome;
        }
    }
}

/// Running totals of a class.
struct ClassTotals {
    figures: ClassFigures,
    /// Response times of the jobs that were served, microseconds.
    response_times: Histogram<u64>,
    seconds: Vec<SecondWeights>,
}

impl ClassTotals {
    fn new(name: &str, seconds: usize) -> Self {
        ClassTotals {
            figures: ClassFigures { name: name.to_owned(), ..ClassFigures::default() },
            response_times: new_histogram(),
            seconds: vec![SecondWeights::default(); seconds],
        }
    }

    /// Adds a job that was to be sent in this second of the load; later ones count to the last second.
    fn add(&mut self, job: &Job, weight: f64, latency_objective: TimeSpan, second: usize) {
        let last_second = self.seconds.len() - 1;
        let second = &mut self.seconds[second.min(last_second)];
        self.figures.jobs += 1;
        self.figures.weight_requested += weight;
        second.requested += weight;
        match job.outcome {
            Outcome::Served { at } => {
                let response_time = at - job.intended;
                self.response_times.saturating_record(response_time.as_micros());
                if response_time <= latency_objective {
                    self.figures.in_time += 1;
                    self.figures.weight_in_time += weight;
                    second.in_time += weight;
                } else {
                    self.figures.late += 1;
                }
            }
            Outcome::Refused => self.figures.refused += 1,
            Outcome::Failed => self.figures.failed += 1,
        }
    }

    fn finish(self) -> (ClassFigures, Vec<SecondWeights>) {
        let figures = ClassFigures {
            p50_ms: quantile_ms(&self.response_times, 0.5),
            p90_ms: quantile_ms(&self.response_times, 0.9),
            p99_ms: quantile_ms(&self.response_times, 0.99),
            max_ms: quantile_ms(&self.response_times, 1.0),
            ..self.figures
        };
        (figures, self.seconds)
    }
}

/// Totals of each class of the scenario; `begin` is the moment when the load began.
fn class_totals(scenario: &Scenario, begin: Timestamp, jobs: &BTreeMap<usize, Job>) -> Vec<ClassTotals> {
    // Records do not contain the work of a job; the same seed draws the same jobs as for the load.
    let planned_jobs = scenario.workload().draw();
    let seconds = scenario.length_s.ceil() as usize;
    let mut totals: Vec<ClassTotals> =
        scenario.classes.iter().map(|class| ClassTotals::new(&class.name, seconds)).collect();
    for (number, job) in jobs {
        let class = &scenario.classes[job.class];
        let work_s = planned_jobs[*number].work_seconds;
        let weight = class.priority_weight * work_s;
        let latency_objective = TimeSpan::from_secs_f64(class.objective_s + class.stretch * work_s);
        let second = (job.intended.saturating_since(begin).as_micros() / MICROS_PER_SECOND) as usize;
        totals[job.class].add(job, weight, latency_objective, second);
    }
    totals
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

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_HISTOGRAM_VALUE_US, HISTOGRAM_DIGITS).expect("valid constant bounds")
}

/// A quantile of a histogram of microseconds, ms; 0 if it is empty.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() { 0.0 } else { histogram.value_at_quantile(quantile) as f64 / 1e3 }
}

/// A part of a whole as a share from 0 to 1; 0 if there is no whole.
fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
