//! Totals of each class: outcomes, priority weights and response times of the jobs.

use std::collections::BTreeMap;

use curlewusher_model::{TimeSpan, Timestamp};

use super::histogram::DurationHistogram;
use super::traffic::{Job, Outcome};
use super::{ClassFigures, SecondWeights};
use crate::scenario::Scenario;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Figures of a class, and its priority weights over time.
pub(super) struct ClassResult {
    pub(super) figures: ClassFigures,
    /// Priority weights for each second of the load.
    pub(super) seconds: Vec<SecondWeights>,
}

/// Running totals of a class.
struct ClassTotals {
    figures: ClassFigures,
    /// Response times of served jobs.
    response_times: DurationHistogram,
    /// Priority weights for each second of the load.
    seconds: Vec<SecondWeights>,
}

impl ClassTotals {
    fn new(name: &str, seconds: usize) -> Self {
        ClassTotals {
            figures: ClassFigures { name: name.to_owned(), ..ClassFigures::default() },
            response_times: DurationHistogram::new(),
            seconds: vec![SecondWeights::default(); seconds],
        }
    }

    /// Adds a job that was scheduled in the given second of the load. Jobs scheduled after the load count for
    /// its last second.
    fn add(&mut self, job: &Job, weight: f64, latency_objective: TimeSpan, second: usize) {
        let last_second = self.seconds.len() - 1;
        let second = &mut self.seconds[second.min(last_second)];
        self.figures.jobs += 1;
        self.figures.weight_requested += weight;
        second.requested += weight;
        match job.outcome {
            Outcome::Served { at } => {
                let response_time = at - job.scheduled_at;
                self.response_times.record(response_time);
                if response_time <= latency_objective {
                    self.figures.in_time += 1;
                    self.figures.weight_in_time += weight;
                    second.in_time += weight;
                } else {
                    self.figures.late += 1;
                }
            }
            Outcome::Rejected => self.figures.rejected += 1,
            Outcome::Failed => self.figures.failed += 1,
        }
    }

    fn finish(self) -> ClassResult {
        let figures = ClassFigures {
            p50_ms: self.response_times.quantile_ms(0.5),
            p90_ms: self.response_times.quantile_ms(0.9),
            p99_ms: self.response_times.quantile_ms(0.99),
            max_ms: self.response_times.quantile_ms(1.0),
            ..self.figures
        };
        ClassResult { figures, seconds: self.seconds }
    }
}

/// Computes the result of each class of the scenario; `begin` is the start of the load.
pub(super) fn compute_class_results(
    scenario: &Scenario,
    begin: Timestamp,
    jobs: &BTreeMap<usize, Job>,
) -> Vec<ClassResult> {
    // The event log does not contain the work of a job; the same seed samples the same jobs as for the load.
    let planned_jobs = scenario.workload().sample_jobs();
    let seconds = scenario.length_s.ceil() as usize;
    let mut totals: Vec<ClassTotals> =
        scenario.classes.iter().map(|class| ClassTotals::new(&class.name, seconds)).collect();
    for (number, job) in jobs {
        let class = &scenario.classes[job.class];
        let work_s = planned_jobs[*number].work_seconds;
        let weight = class.priority_weight * work_s;
        let latency_objective = TimeSpan::from_secs_f64(class.objective_s + class.stretch * work_s);
        let second = (job.scheduled_at.saturating_since(begin).as_micros() / MICROS_PER_SECOND) as usize;
        totals[job.class].add(job, weight, latency_objective, second);
    }
    totals.into_iter().map(ClassTotals::finish).collect()
}
