//! Lifecycle of a job from its submission to its response, and its owner.

use std::rc::Rc;
use std::time::Duration;

use curlewusher_core::{Event, JobId, JobSubmission};
use tracing::debug;

use super::DispatchTask;
use crate::attempt::AttemptTransport;
use crate::dispatch::jobs::{Job, JobOwner, JobResponse, SubmittedJob};
use crate::dispatch::outcomes::response_kind;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::Counter;

impl<T: AttemptTransport> DispatchTask<T> {
    /// Accepts a job, or answers it as a duplicate if its request id is in use: a callback could not be
    /// matched to one of two jobs with the same id.
    pub(super) fn submit_job(&mut self, submitted: SubmittedJob<T::Payload>) {
        if self.jobs.find(&submitted.request_id).is_some() {
            // A client that has disconnected needs no response.
            let _ = submitted.response_channel.send(JobResponse::Duplicate);
            return;
        }
        self.metrics.add(Counter::JobsReceived);
        log_submission(&submitted);
        let job = self.jobs.reserve(Rc::clone(&submitted.request_id));
        submitted.job_handle.set_job_id(job);
        let submission = JobSubmission {
            job,
            class: submitted.class,
            tenant: submitted.tenant,
            deadline: submitted.deadline,
            cost_hint: submitted.cost_hint,
            slots: submitted.slots,
            key: submitted.affinity_key,
            is_retry: submitted.is_retry,
        };
        self.jobs.insert(
            job,
            Job {
                request_id: submitted.request_id,
                class: submitted.class,
                submitted_at: self.clock.now(),
                deadline: submitted.deadline,
                payload: Rc::new(submitted.payload),
                response_channel: Some(submitted.response_channel),
                job_handle: submitted.job_handle,
                attempts: Vec::new(),
            },
        );
        self.apply_event(Event::JobSubmitted(submission));
    }

    /// Records that the client of a job has disconnected, which may be reported twice. For a job that is
    /// being migrated to the peer process, the event has no effect on the dispatcher. The dispatcher receives
    /// the event again if the migration is rolled back.
    pub(super) fn handle_client_disconnect(&mut self, id: JobId) {
        let outgoing = self.migrations.outgoing_job_mut(id);
        let Some(job) = self.jobs.get_mut(id).or(outgoing) else { return };
        if job.response_channel.take().is_none() {
            return;
        }
        self.metrics.add(Counter::ClientsDisconnected);
        debug!(target: DISPATCH, request_id = %job.request_id, "client disconnected");
        self.apply_event(Event::ClientDisconnected { job: id });
        self.jobs.remove_if_finished(id);
    }

    /// Returns which process owns the job with a request id.
    pub(super) fn job_owner(&self, request_id: &str) -> JobOwner {
        match self.jobs.find(request_id) {
            Some(id) if self.migrations.contains(id) => JobOwner::Migrating,
            Some(_) => JobOwner::Local,
            None => JobOwner::Unknown,
        }
    }

    /// Sends the response to a job. Only the first response has an effect.
    pub(super) fn respond(&mut self, id: JobId, response: JobResponse) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(response_channel) = job.response_channel.take() else { return };
        let kind = response_kind(&response);
        let elapsed = Duration::from(self.clock.now().saturating_since(job.submitted_at));
        self.metrics.record_response(kind, job.class.0, elapsed);
        let elapsed_ms = elapsed.as_millis() as u64;
        debug!(target: DISPATCH, request_id = %job.request_id, response = ?kind, elapsed_ms, "job answered");
        // A client that is disconnecting needs no response.
        let _ = response_channel.send(response);
    }
}

/// Logs the submission of a job.
fn log_submission<P>(job: &SubmittedJob<P>) {
    debug!(
        target: DISPATCH,
        request_id = %job.request_id,
        class = job.class.0,
        affinity_key = ?job.affinity_key,
        cost_hint = ?job.cost_hint,
        slots = job.slots,
        is_retry = job.is_retry,
        "job accepted"
    );
}
