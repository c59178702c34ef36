//! Handles a client's job: admits it, submits it to the dispatch task and awaits the response.

use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::connection::AbortReason;
use super::error::RequestError;
use super::migration::{MIGRATION_RETRY_DELAY, migrate_job};
use super::open_job::OpenJob;
use super::request::JobRequest;
use super::request_body::read_body;
use super::response::{self, HttpResponse};
use super::service::ConnectionService;
use crate::dispatch::{DispatchMessage, JobHandle, JobResponse, MigrationOutcome};
use crate::telemetry::metrics::Counter;

impl ConnectionService {
    /// Serves a job. The job is cancelled if this future is dropped before it completes.
    pub(super) async fn handle_job(&self, request: Request<Incoming>) -> Result<HttpResponse, RequestError> {
        let state = &self.state;
        let received_at = state.clock.now();
        let (head, incoming) = request.into_parts();
        let job_request = JobRequest::parse(head, &state.catalog, received_at)?;
        let body = read_body(incoming, &self.connection).await;
        // There must be no await from here until the job counts as open: the shutdown closes the intake as
        // soon as no job is open.
        let intake_closed = state.intake_closed.get();
        if intake_closed || body.is_ok() && state.open_jobs.get() >= state.max_open_jobs() {
            if !intake_closed {
                state.metrics.add(Counter::RequestsShed);
            }
            return Ok(state.reject_job());
        }
        let body = body?;
        let open_job = OpenJob::new(state);
        let job_response = self.dispatch_job(job_request, body, open_job).await?;
        response::from_job_response(job_response)
    }

    /// Submits a job and awaits its response.
    async fn dispatch_job(
        &self,
        job_request: JobRequest,
        body: Bytes,
        mut open_job: OpenJob,
    ) -> Result<JobResponse, RequestError> {
        let state = &self.state;
        // While a peer process of this node runs, jobs with the same id must not be open in both processes.
        let claim = match state.peer.link() {
            Some(link) => {
                let claim = link.claim_job(&job_request.request_id).await;
                Some(claim.ok_or(RequestError::DuplicateJob)?)
            }
            None => None,
        };
        let job_handle = JobHandle::default();
        job_handle.set_client_probe(self.disconnect_probe());
        let permit = state.queue.clone().reserve_owned().await.map_err(|_| RequestError::JobAbandoned)?;
        open_job.arm_disconnect_message(permit, job_handle.clone());
        let (response_channel, response_receiver) = oneshot::channel();
        let submission = job_request.into_submission(body, job_handle.clone(), response_channel);
        let submitted = state.queue.send(DispatchMessage::Submit(submission)).await;
        submitted.map_err(|_| RequestError::JobAbandoned)?;
        // From here on the dispatch task rejects duplicates of the id itself.
        drop(claim);
        self.await_response(&job_handle, response_receiver, &mut open_job).await
    }

    /// Awaits the response to a job. While open jobs should migrate, also tries to migrate the job. Once the
    /// migration has succeeded, this future is dropped together with its connection.
    async fn await_response(
        &self,
        job_handle: &JobHandle,
        mut response_receiver: oneshot::Receiver<JobResponse>,
        open_job: &mut OpenJob,
    ) -> Result<JobResponse, RequestError> {
        let mut retry_delay = Duration::ZERO;
        let job_response = loop {
            tokio::select! {
                biased;
                received = &mut response_receiver => {
                    break received.map_err(|_| RequestError::JobAbandoned)?;
                }
                slot = self.state.migration_slot(retry_delay) => {
                    retry_delay = MIGRATION_RETRY_DELAY;
                    let client = self.duplicate_socket();
                    let outcome = migrate_job(&self.state, job_handle, client, slot).await;
                    if outcome == MigrationOutcome::Accepted {
                        open_job.disarm_disconnect_message();
                        self.connection.abort(AbortReason::JobMigrated);
                        // The abort ends the task of the connection, which drops this future.
                        pending::<()>().await;
                    }
                }
            }
        };
        open_job.disarm_disconnect_message();
        Ok(job_response)
    }
}
