//! Deadlines: detection of open jobs that can no longer be served in time.

use crate::state::{Fleet, InFlightAttempt, Job, RELIABLE_HINT_SHARE};
use crate::{Settings, TimeSpan, Timestamp};

/// Time between two sweeps over the open jobs.
pub(crate) const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_millis(10);
/// Lead time with which a job is answered before its client disconnects or this node exits. It is two sweep
/// intervals, since the job may just miss one sweep.
pub(super) const RESPONSE_MARGIN: TimeSpan = TimeSpan::from_micros(2 * SWEEP_INTERVAL.as_micros());
/// Minimum time left to its objective with which a queued job is kept, as a share of its reliable run time
/// ([`Fleet::reliable_run`]). With less, the job is shed.
const MIN_RUN_SHARE_LEFT: f64 = 0.6;
/// Maximum assumed error of a hint, as a multiple of the mean error of hints (of the logarithm).
const MAX_HINT_ERROR_FACTOR: f64 = 5.0;

/// Result of the review of an open job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Review {
    /// The deadline of the job is about to pass, or the node shuts down before the job can be served: it is
    /// answered now.
    RejectOrFail,
    /// The job is unlikely to meet its objective, so it is shed. In overload, work that can no longer be in
    /// time, queued here or at a worker, only delays work that can.
    Shed,
    /// The job can still be served.
    Keep,
}

/// Inputs of decisions on deadlines.
pub(crate) struct DeadlineContext<'a> {
    /// Present time.
    pub now: Timestamp,
    /// Settings of this node.
    pub settings: &'a Settings,
    /// All workers.
    pub fleet: &'a Fleet,
    /// Time by which all jobs must be answered. [`Timestamp::MAX`] if the node does not shut down.
    pub shutdown_deadline: Timestamp,
}

impl DeadlineContext<'_> {
    /// Reviews an open job.
    pub fn review(&self, job: &Job) -> Review {
        let response_deadline = job.deadline.min(self.shutdown_deadline);
        if self.now + RESPONSE_MARGIN >= response_deadline || self.exceeds_shutdown_deadline(job) {
            Review::RejectOrFail
        } else if self.is_beyond_objective(job) {
            Review::Shed
        } else {
            Review::Keep
        }
    }

    /// Returns whether this node exits before a job is likely to be served, while another node may run it.
    pub fn exceeds_shutdown_deadline(&self, job: &Job) -> bool {
        if self.shutdown_deadline == Timestamp::MAX {
            return false;
        }
        let time_left = self.shutdown_deadline.seconds_since(self.now);
        match job.in_flight().next() {
            None => time_left < job.work / self.fleet.typical_speed(),
            Some(attempt) => {
                let remaining_run = self.fleet.remaining_run(self.now, job.id, attempt);
                self.settings.is_idempotent(job.class) && remaining_run.is_some_and(|run| run > time_left)
            }
        }
    }

    /// Returns whether a job is unlikely to meet its objective. A queued job is judged by its reliable run
    /// time. A job in flight is judged by its wait at the worker: it must have passed the last start that
    /// could still be in time.
    fn is_beyond_objective(&self, job: &Job) -> bool {
        let time_left = job.objective_at.seconds_since(self.now);
        if job.is_idle() {
            return time_left < MIN_RUN_SHARE_LEFT * self.fleet.reliable_run(job);
        }
        // The objective grows with the true work of the job, which may exceed the hint by the error that
        // hints have had so far. The allowance for this error is lower if fewer attempts start promptly,
        // since other jobs then wait behind this one.
        let max_error =
            (MAX_HINT_ERROR_FACTOR * self.fleet.hint_error() * self.fleet.prompt_start_share()).exp();
        let work_factor = self.settings.classes[job.class].latency_objective_work_factor;
        let hint_allowance =
            work_factor * (max_error - RELIABLE_HINT_SHARE) - 1.0 / self.fleet.typical_speed();
        let slack = time_left - self.now.seconds_since(job.objective_at) + hint_allowance * job.work;
        let mut in_flight = job.in_flight().map(|attempt| self.fleet.in_flight_attempt(job.id, attempt));
        let is_waiting =
            |attempt: Option<&InFlightAttempt>| attempt.is_some_and(|attempt| !attempt.has_started());
        self.settings.may_cancel && slack < 0.0 && in_flight.all(is_waiting)
    }
}
