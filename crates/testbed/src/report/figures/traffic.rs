//! Requests and attempts of a run, collected from its records.

use std::collections::{BTreeMap, HashMap};

use curlewusher_model::Timestamp;

use super::histogram::DurationHistogram;
use crate::event_log::{Event, FailureReason, Record};

/// Outcome of the last request of a job.
#[derive(Clone, Copy)]
pub(super) enum Outcome {
    /// A response with the worker's result arrived at this time.
    Served { at: Timestamp },
    /// The node rejected the request, or no node could be reached.
    Rejected,
    /// The client received another response, or none.
    Failed,
}

impl Outcome {
    fn from_response(at: Timestamp, status: u16, has_own_result: bool) -> Self {
        match status {
            200 if has_own_result => Outcome::Served { at },
            429 | 503 => Outcome::Rejected,
            _ => Outcome::Failed,
        }
    }

    fn from_failure(reason: FailureReason) -> Self {
        if matches!(reason, FailureReason::Unreachable | FailureReason::NoNode) {
            Outcome::Rejected
        } else {
            Outcome::Failed
        }
    }
}

/// Job as observed by its client.
pub(super) struct Job {
    pub(super) class: usize,
    /// Time of the first send according to the schedule.
    pub(super) scheduled_at: Timestamp,
    pub(super) outcome: Outcome,
}

/// Requests and attempts of a run, collected from its records.
pub(super) struct Traffic<'log> {
    /// Jobs by number.
    pub(super) jobs: BTreeMap<usize, Job>,
    /// Job number of each request id.
    job_by_request: HashMap<&'log str, usize>,
    /// Number of requests that clients sent.
    pub(super) requests: usize,
    /// Number of attempts that arrived at workers.
    pub(super) attempts: usize,
    /// Number of attempts that arrived at each worker.
    pub(super) attempts_by_worker: Vec<usize>,
    /// Delay of the first send of each job after its scheduled time.
    pub(super) send_delays: DurationHistogram,
}

impl<'log> Traffic<'log> {
    /// Collects the traffic of a run with this number of workers.
    pub(super) fn from_records(records: &'log [Record], workers: usize) -> Self {
        let mut traffic = Traffic {
            jobs: BTreeMap::new(),
            job_by_request: HashMap::new(),
            requests: 0,
            attempts: 0,
            attempts_by_worker: vec![0; workers],
            send_delays: DurationHistogram::new(),
        };
        for Record { at, event } in records {
            traffic.add(*at, event);
        }
        traffic
    }

    fn add(&mut self, at: Timestamp, event: &'log Event) {
        match event {
            Event::RequestSent { id, job, class, delay, .. } => {
                self.requests += 1;
                self.job_by_request.insert(id, *job);
                self.jobs.entry(*job).or_insert_with(|| {
                    self.send_delays.record(*delay);
                    Job { class: *class, scheduled_at: at - *delay, outcome: Outcome::Failed }
                });
            }
            Event::ResponseReceived { id, status, has_own_result } => {
                self.set_outcome(id, Outcome::from_response(at, *status, *has_own_result));
            }
            Event::RequestFailed { id, reason, .. } => self.set_outcome(id, Outcome::from_failure(*reason)),
            Event::AttemptArrived { worker, .. } => {
                self.attempts += 1;
                self.attempts_by_worker[*worker] += 1;
            }
            _ => {}
        }
    }

    fn set_outcome(&mut self, request_id: &str, outcome: Outcome) {
        let job = self.job_by_request.get(request_id).and_then(|job| self.jobs.get_mut(job));
        if let Some(job) = job {
            job.outcome = outcome;
        }
    }
}
