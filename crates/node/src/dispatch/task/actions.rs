//! Execution of the actions of the dispatcher.

use std::rc::Rc;

use curlewusher_core::permission::Denial;
use curlewusher_core::{Action, JobId, Outcome, TimeSpan, Timestamp, WorkerId};
use tokio::sync::oneshot;
use tracing::debug;

use super::DispatchTask;
use crate::attempt::{AttemptId, AttemptRequest, AttemptTransport, SendPermit, SendPermitParts};
use crate::dispatch::attempts::{Attempt, AttemptState};
use crate::dispatch::endpoints::WorkerAddress;
use crate::dispatch::jobs::JobResponse;
use crate::dispatch::messages::EndpointPollRequest;
use crate::dispatch::timers::Timer;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::Counter;

/// Parameters for sending an attempt.
struct AttemptSpec {
    job: JobId,
    worker: WorkerId,
    timeout: TimeSpan,
    /// Time before which the first byte must be written; `None` if only the timeout limits it.
    send_deadline: Option<Timestamp>,
    needs_new_connection: bool,
}

/// Result of sending an attempt.
enum SendResult {
    /// The attempt was passed to the transport.
    Sent,
    /// The attempt was not passed to the transport: the worker is no longer listed, the client has
    /// disconnected, the send deadline has passed, the lease on the endpoint list has expired, or another
    /// attempt of the job at the same worker has not ended.
    NotSent(AttemptId),
    /// The job does not exist.
    NoJob,
}

/// An attempt that has been recorded and not yet passed to the transport.
struct RecordedAttempt<P> {
    id: AttemptId,
    request_id: Rc<str>,
    payload: Rc<P>,
    expires_at: Timestamp,
    cancel: oneshot::Receiver<()>,
    send_permit: Rc<SendPermit>,
    /// Whether another attempt of the job at the same worker has not ended.
    is_duplicate: bool,
}

impl<T: AttemptTransport> DispatchTask<T> {
    /// Performs the actions of the dispatcher in order. Attempts that could not be sent are reported to the
    /// dispatcher afterwards.
    pub(super) fn perform_actions(&mut self) {
        let mut not_sent = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::SendAttempt { job, worker, timeout, send_deadline, needs_new_connection } => {
                    let spec = AttemptSpec { job, worker, timeout, send_deadline, needs_new_connection };
                    if let SendResult::NotSent(id) = self.send_attempt(&spec) {
                        not_sent.push(id);
                    }
                }
                Action::Reject { job, retry_after } => {
                    self.respond(job, JobResponse::Rejected { retry_after: retry_after.into() });
                    self.jobs.remove_if_finished(job);
                }
                Action::Fail { job } => {
                    self.respond(job, JobResponse::Failed);
                    self.jobs.remove_if_finished(job);
                }
                Action::RevokeAttempt { job, attempt: number } => {
                    self.revoke_send_permit(AttemptId { job, number });
                }
                Action::CancelAttempt { job, attempt: number } => {
                    self.cancel_attempt(AttemptId { job, number }, Outcome::Cancelled);
                }
                Action::SetTimer { after } => {
                    self.timers.schedule(self.clock.now() + after, Timer::Dispatcher);
                }
                Action::WatchEndpoints => self.request_endpoint_poll(),
                // The settings allow no messages between nodes, and the node has no protocol for them.
                Action::SendGossip { .. } => {}
            }
        }
        for id in not_sent {
            self.end_attempt(id, Outcome::NotSent);
        }
    }

    fn request_endpoint_poll(&self) {
        let confirmed_at = self.dispatcher.endpoints_confirmed_at();
        let confirmed_at = confirmed_at.map(|timestamp| self.clock.instant_at(timestamp));
        // A request that is already queued covers this one as well.
        let _ = self.poll_requests.try_send(EndpointPollRequest { confirmed_at });
    }

    /// Records an attempt, and passes it to the transport if it can still be sent.
    fn send_attempt(&mut self, spec: &AttemptSpec) -> SendResult {
        let worker = self.endpoints.get(spec.worker).cloned();
        let Some(recorded) = self.record_attempt(spec, worker.as_ref()) else { return SendResult::NoJob };
        let RecordedAttempt { id, request_id, payload, expires_at, cancel, send_permit, is_duplicate } =
            recorded;
        if is_duplicate {
            self.permissions.record_violation(Denial::AttemptInFlight, &request_id);
            return SendResult::NotSent(id);
        }
        let Some(worker) = worker.filter(|_| send_permit.is_valid()) else { return SendResult::NotSent(id) };
        self.timers.schedule(expires_at, Timer::AttemptTimeout(id));
        self.metrics.add(Counter::AttemptsStarted);
        let send_window = spec.send_deadline.map(|deadline| deadline.saturating_since(self.clock.now()));
        debug!(
            target: DISPATCH,
            %request_id,
            attempt = id.number,
            worker = %worker.name,
            address = %worker.address,
            send_window_us = send_window.map(TimeSpan::as_micros),
            "attempt sent"
        );
        self.worker_client.start_attempt(AttemptRequest {
            id,
            request_id,
            address: worker.address,
            payload,
            timeout: spec.timeout.into(),
            needs_new_connection: spec.needs_new_connection,
            cancel,
            send_permit,
        });
        SendResult::Sent
    }

    /// Records an attempt as in flight. Returns `None` if the job does not exist.
    fn record_attempt(
        &mut self,
        spec: &AttemptSpec,
        worker: Option<&WorkerAddress>,
    ) -> Option<RecordedAttempt<T::Payload>> {
        let job = self.jobs.get_mut(spec.job)?;
        let expires_at = self.clock.now() + spec.timeout;
        let (cancel_channel, cancel) = oneshot::channel();
        let send_permit = SendPermit::new(SendPermitParts {
            request_id: Rc::clone(&job.request_id),
            client: job.job_handle.client(),
            deadline: spec.send_deadline.map(|deadline| self.clock.instant_at(deadline)),
            lease: self.permissions.lease(),
        });
        let worker_name = worker.map_or_else(|| "".into(), |worker| Rc::clone(&worker.name));
        let recorded = RecordedAttempt {
            id: AttemptId { job: spec.job, number: job.attempts.len() as u32 },
            request_id: Rc::clone(&job.request_id),
            payload: Rc::clone(&job.payload),
            expires_at,
            cancel,
            send_permit: Rc::clone(&send_permit),
            // This check does not rely on the dispatcher, which learns the state of its attempts from events.
            // The attempts recorded here reflect what was observed on sockets.
            is_duplicate: job
                .attempts
                .iter()
                .any(|other| !other.has_ended() && other.worker_name == worker_name),
        };
        job.attempts.push(Attempt {
            worker_name,
            address: worker.map(|worker| worker.address),
            state: AttemptState::InFlight,
            accepted: false,
            progress: 0.0,
            last_callback: None,
            cancel: Some(cancel_channel),
            send_permit,
            expires_at,
        });
        Some(recorded)
    }

    /// Revokes the permit to write the first byte of an attempt. Has no effect if the byte has been written.
    fn revoke_send_permit(&mut self, id: AttemptId) {
        if let Some(attempt) = self.jobs.attempt_mut(id).filter(|attempt| attempt.is_in_flight()) {
            attempt.send_permit.revoke();
        }
    }
}
