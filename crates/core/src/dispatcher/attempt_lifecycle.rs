//! Reports of workers and connections on attempts, from acceptance to the end.

use super::Dispatcher;
use super::job_lifecycle::cancellations;
use crate::policy::ejection::{EndAssessment, assess_end, ejection_duration};
use crate::policy::retries::RetryCharge;
use crate::state::{AttemptId, EndedAttempt};
use crate::{Outcome, Timestamp};

/// End of an attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptEnd {
    /// Attempt that ended.
    pub attempt: AttemptId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the client has its response, so that the job needs no further attempt.
    pub job_answered: bool,
}

impl Dispatcher {
    /// Records that a worker has accepted an attempt, or has reported something on it that implies
    /// acceptance.
    pub(super) fn record_acceptance(&mut self, now: Timestamp, id: AttemptId) {
        if let Some(index) = self.worker_index_of(id) {
            self.fleet.worker_mut(index).record_acceptance(now, id);
        }
    }

    /// Records that the connection of an attempt had been closed while it was idle.
    pub(super) fn record_stale_connection(&mut self, id: AttemptId) {
        if let Some(index) = self.worker_index_of(id) {
            self.fleet.worker_mut(index).record_stale_connection(id);
        }
    }

    /// Handles the report that a worker has started to run an attempt.
    pub(super) fn handle_start(&mut self, now: Timestamp, id: AttemptId) {
        self.record_acceptance(now, id);
        self.record_start(now, id);
    }

    /// Records that an attempt has started to run, or to respond.
    fn record_start(&mut self, now: Timestamp, id: AttemptId) {
        let Some(index) = self.worker_index_of(id) else { return };
        let Some(delay) = self.fleet.worker_mut(index).record_start(now, id) else { return };
        self.fleet.record_start_delay(now, index, delay);
        // The first attempt that starts is kept. All others are cancelled, so that the job does not run
        // twice.
        if let Some(job) = self.jobs.get(id.job) {
            self.outbox.extend(cancellations(&self.settings, job, Some(id.number)));
        }
    }

    /// Handles a progress report of a worker on an attempt.
    pub(super) fn handle_progress(&mut self, now: Timestamp, id: AttemptId, fraction_done: f64) {
        self.record_acceptance(now, id);
        if let Some(index) = self.worker_index_of(id) {
            self.fleet.worker_mut(index).record_progress(now, id, fraction_done);
        }
    }

    /// Handles the beginning of the response of an attempt, which streams to the client.
    pub(super) fn handle_stream(&mut self, now: Timestamp, id: AttemptId) {
        self.record_start(now, id);
        if let Some(job) = self.jobs.get_mut(id.job) {
            job.mark_streaming();
        }
    }

    /// Handles the end of an attempt as reported by its worker or its connection.
    pub(super) fn handle_end(&mut self, now: Timestamp, end: AttemptEnd) {
        let AttemptEnd { attempt: id, outcome, job_answered } = end;
        let was_revoked = outcome == Outcome::NotSent && self.is_revoked(id);
        let is_first_report = self.jobs.record_outcome(id, outcome);
        let ended = is_first_report.then(|| self.remove_ended(id, outcome)).flatten();
        if let Some(ended) = &ended {
            self.assess_worker(now, ended);
        }
        if !is_first_report && !job_answered {
            return;
        }
        let is_requeued = was_revoked && !job_answered && self.requeue_unsent_job(now, id.job);
        if !is_requeued {
            let charge = ended.as_ref().map_or(RetryCharge::Budget, RetryCharge::after);
            self.close_or_retry_job(now, id.job, job_answered, charge);
        }
    }

    /// Removes an attempt that has ended from its worker.
    fn remove_ended(&mut self, id: AttemptId, outcome: Outcome) -> Option<EndedAttempt> {
        let worker_index = self.worker_index_of(id)?;
        let attempt = self.fleet.worker_mut(worker_index).remove_attempt(id)?;
        self.gossip.record_change();
        Some(EndedAttempt { worker_index, attempt, outcome })
    }

    /// Updates the health and the estimates of a worker after the end of an attempt there.
    fn assess_worker(&mut self, now: Timestamp, ended: &EndedAttempt) {
        match assess_end(now, &self.settings, ended) {
            EndAssessment::Success => self.fleet.record_success(now, &self.settings, ended),
            EndAssessment::ConnectFailure => {
                self.fleet.worker_mut(ended.worker_index).record_unreachable();
                self.eject_worker(now, ended.worker_index);
            }
            EndAssessment::Failure => self.eject_worker(now, ended.worker_index),
            EndAssessment::CancelledWait => self.fleet.record_cancelled_wait(now, ended),
            EndAssessment::Inconclusive => {}
        }
    }

    /// Ejects a worker that has failed.
    fn eject_worker(&mut self, now: Timestamp, index: usize) {
        let random_fraction = self.rng.f64();
        let worker = self.fleet.worker_mut(index);
        let ejected_until = now + ejection_duration(worker.health().consecutive_failures, random_fraction);
        worker.record_failure(ejected_until);
    }

    /// Returns whether an attempt that is in flight was revoked.
    fn is_revoked(&self, id: AttemptId) -> bool {
        let worker = self.worker_index_of(id).map(|index| self.fleet.worker(index));
        worker.and_then(|worker| worker.attempt(id)).is_some_and(|attempt| attempt.revoked)
    }

    /// Returns the index of the worker of an attempt that is in flight or has ended.
    fn worker_index_of(&self, id: AttemptId) -> Option<usize> {
        self.fleet.find(self.jobs.attempt(id)?.worker)
    }
}
