//! Lifecycle of an attempt after it was sent: acceptance, callbacks, cancellation, end.

use curlewusher_core::{Event, Outcome};
use tracing::{debug, trace};

use super::DispatchTask;
use crate::attempt::{AttemptId, AttemptReport, AttemptTransport};
use crate::dispatch::attempts::{AttemptState, CallbackState};
use crate::dispatch::callbacks::{CallbackEffect, find_target, interpret};
use crate::dispatch::jobs::{Job, JobResponse};
use crate::dispatch::outcomes::outcome_counter;
use crate::dispatch::timers::Timer;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::Counter;

impl<T: AttemptTransport> DispatchTask<T> {
    /// Handles a report of the transport on an attempt.
    pub(super) fn handle_attempt_report(&mut self, report: AttemptReport) {
        match report {
            AttemptReport::Accepted(id) => self.handle_attempt_accepted(id),
            AttemptReport::Ended(id, outcome) => self.end_attempt(id, outcome),
            AttemptReport::Cancelled(id) => self.handle_attempt_cancelled(id),
            AttemptReport::LostWithReusedConnection(id) => {
                self.apply_event(Event::ReusedConnectionLost { job: id.job, attempt: id.number });
                self.end_attempt(id, Outcome::Lost);
            }
        }
    }

    /// Records that a worker has accepted an attempt, regardless of the current state of the attempt.
    fn handle_attempt_accepted(&mut self, id: AttemptId) {
        let Some(attempt) = self.jobs.attempt_mut(id) else { return };
        attempt.accepted = true;
        self.metrics.add(Counter::AttemptsAccepted);
        self.apply_event(Event::AttemptAccepted { job: id.job, attempt: id.number });
    }

    /// Ends an attempt whose cancellation is complete, with the outcome that was recorded when the
    /// cancellation was requested.
    fn handle_attempt_cancelled(&mut self, id: AttemptId) {
        if let Some(AttemptState::Cancelling(outcome)) =
            self.jobs.attempt_mut(id).map(|attempt| attempt.state)
        {
            self.end_attempt(id, outcome);
        }
    }

    /// Applies a callback to the latest attempt of the job at the worker that has not ended. Any other
    /// callback is ignored.
    pub(super) fn handle_callback(&mut self, request_id: &str, worker: &str, state: CallbackState) {
        self.metrics.add(Counter::Callbacks);
        trace!(target: DISPATCH, request_id, worker, "callback received");
        let Some((id, effect)) = self.interpret_callback(request_id, worker, &state) else {
            return self.metrics.add(Counter::CallbacksWithoutEffect);
        };
        let (job, attempt) = (id.job, id.number);
        match effect {
            CallbackEffect::Ignored => self.metrics.add(Counter::CallbacksWithoutEffect),
            CallbackEffect::Ambiguous => self.cancel_attempt(id, Outcome::Error),
            CallbackEffect::Started => {
                debug!(target: DISPATCH, request_id, attempt, worker, "attempt started");
                self.apply_event(Event::AttemptStarted { job, attempt });
            }
            CallbackEffect::Progressed(fraction_done) => {
                if let Some(attempt) = self.jobs.attempt_mut(id) {
                    attempt.progress = fraction_done;
                }
                self.apply_event(Event::AttemptProgressed { job, attempt, fraction_done });
            }
            CallbackEffect::Ended(outcome) => {
                if let CallbackState::Done(result) = state {
                    self.respond(job, JobResponse::Served(result));
                } else if let Some(attempt) = self.jobs.attempt_mut(id) {
                    attempt.last_callback = Some(state);
                }
                self.end_attempt(id, outcome);
            }
        }
    }

    /// Returns the attempt to which a callback applies, and the effect of the callback. `None` if it applies
    /// to no attempt.
    fn interpret_callback(
        &self,
        request_id: &str,
        worker: &str,
        state: &CallbackState,
    ) -> Option<(AttemptId, CallbackEffect)> {
        let job = self.jobs.find(request_id)?;
        let attempts = &self.jobs.get(job)?.attempts;
        let target = find_target(attempts, worker, state)?;
        let attempt = attempts.get(target.number as usize)?;
        let effect = interpret(attempt, state, target.redelivery);
        Some((AttemptId { job, number: target.number }, effect))
    }

    /// Requests the cancellation of an attempt that is in flight. The dispatcher is notified of the end of
    /// the attempt only once the transport has confirmed the cancellation, or has reported the end, or a
    /// callback has ended the attempt before that. So the attempt does not overlap with the one that replaces
    /// it.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.jobs.attempt_mut(id).filter(|attempt| attempt.is_in_flight()) else {
            return;
        };
        attempt.request_cancellation(outcome);
        self.metrics.add(Counter::AttemptsAbandoned);
    }

    /// Records the end of an attempt. Only the first end of each attempt has an effect.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        if self.jobs.get(id.job).is_some_and(|job| job.job_handle.is_client_disconnected()) {
            // The message of the disconnection may be further back in the queue, and no other attempt may
            // follow this one.
            self.handle_client_disconnect(id.job);
        }
        let Some(attempt) = self.jobs.attempt_mut(id).filter(|attempt| !attempt.has_ended()) else { return };
        attempt.end();
        let expires_at = attempt.expires_at;
        self.timers.cancel(expires_at, Timer::AttemptTimeout(id));
        self.metrics.add(outcome_counter(outcome));
        self.log_attempt_end(id, outcome);
        let job_answered = self.jobs.get(id.job).is_some_and(Job::is_answered);
        self.apply_event(Event::AttemptEnded { job: id.job, attempt: id.number, outcome, job_answered });
        self.jobs.remove_if_finished(id.job);
    }

    /// Logs the end of an attempt.
    fn log_attempt_end(&self, id: AttemptId, outcome: Outcome) {
        let Some(job) = self.jobs.get(id.job) else { return };
        let Some(attempt) = job.attempts.get(id.number as usize) else { return };
        let (request_id, worker) = (&*job.request_id, &*attempt.worker_name);
        debug!(target: DISPATCH, request_id, attempt = id.number, worker, ?outcome, "attempt ended");
    }
}
