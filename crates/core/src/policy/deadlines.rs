//! Deadlines: the sweep over open jobs, which gives up those that can no longer be served in time.

use crate::state::{Dispatcher, InFlightAttempt, Job, RELIABLE_HINT_SHARE};
use crate::{Action, JobId, TimeSpan, Timestamp};

/// Time between two sweeps.
pub(crate) const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_millis(10);
/// A job is answered this long before its client leaves or this node ends: it may just miss one sweep.
pub(super) const ANSWER_MARGIN: TimeSpan = TimeSpan::from_micros(2 * SWEEP_INTERVAL.as_micros());
/// A queued job is given up when less than this share of its usual run is left to its objective.
const MIN_RUN_SHARE_LEFT: f64 = 0.6;
/// Hints are assumed to be off by at most this many times their mean error (of the logarithm).
const MAX_HINT_ERRORS: f64 = 5.0;

impl Dispatcher {
    /// Reviews an open job in a sweep: answers it when its time is up, else tries to have it started
    /// elsewhere.
    pub(crate) fn review_job(&mut self, now: Timestamp, id: JobId, actions: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        let answer_by = job.deadline.min(self.lifecycle.shutdown_at);
        if now + ANSWER_MARGIN >= answer_by || self.outlasts_shutdown(now, &job) {
            self.reject_or_fail(&mut job, actions);
        } else if self.is_beyond_objective(now, &job) {
            // Overload: work that can no longer be in time, queued here or at a worker, only delays work that
            // can.
            self.demand.record_shed(now, &job);
            self.reject_or_fail(&mut job, actions);
        } else if !job.is_idle() {
            let unaccepted = self.find_unaccepted_attempt(now, &job);
            let to_cancel = unaccepted.or_else(|| self.find_attempt_to_relocate(now, &mut job));
            actions.extend(to_cancel.map(|attempt| Action::CancelAttempt { job: id, attempt }));
            self.hedge_job(now, &mut job, actions);
        }
        self.store_job(job);
    }

    /// Whether this node ends before a job is likely to be served, while another may run it.
    pub(super) fn outlasts_shutdown(&self, now: Timestamp, job: &Job) -> bool {
        let time_left = self.lifecycle.shutdown_at.seconds_since(now);
        match job.in_flight().next() {
            None => time_left < job.work / self.fleet.overall_speed.speed,
            Some(attempt) => {
                let remaining_run = self.remaining_run(now, job.id, attempt);
                self.is_idempotent(job) && remaining_run.is_some_and(|run| run > time_left)
            }
        }
    }

    /// Whether a job is unlikely to meet its objective: a queued one by its usual run, one in flight where it
    /// waits at a worker beyond the last start that could still be in time.
    fn is_beyond_objective(&self, now: Timestamp, job: &Job) -> bool {
        let time_left = job.objective_at.seconds_since(now);
        if job.is_idle() {
            return time_left < MIN_RUN_SHARE_LEFT * self.reliable_run(job);
        }
        // Objectives grow with the true work, which may exceed the hint by as much as hints have been off.
        // While few attempts start promptly, less of that doubt counts in favour of the job, since those
        // behind it wait.
        let max_error = (MAX_HINT_ERRORS * self.fleet.hint_error * self.fleet.prompt_start_share).exp();
        let stretch = self.settings.classes[job.class].latency_objective_stretch;
        let doubt = stretch * (max_error - RELIABLE_HINT_SHARE) - 1.0 / self.fleet.overall_speed.speed;
        let spare = time_left - now.seconds_since(job.objective_at) + doubt * job.work;
        let mut in_flight = job.in_flight().map(|attempt| self.in_flight_attempt(job.id, attempt));
        let is_waiting =
            |attempt: Option<&InFlightAttempt>| attempt.is_some_and(|attempt| !attempt.has_started());
        self.settings.may_cancel && spare < 0.0 && in_flight.all(is_waiting)
    }
}
