//! Open jobs of this process: their ids, their state, and the handle that links a job to the server.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_core::{ClassId, JobId, TenantId, Timestamp};
use tokio::sync::oneshot;

use super::attempts::Attempt;
use crate::attempt::AttemptId;
use crate::attempt::ClientPresence;

/// Final response to a job.
#[derive(Debug)]
pub enum JobResponse {
    /// The worker returned this result.
    Served(Bytes),
    /// The job did not run and can safely be resubmitted, preferably after `retry_after`.
    Rejected {
        /// Recommended delay of the resubmission; zero for no recommendation.
        retry_after: Duration,
    },
    /// The job has no result and may have run.
    Failed,
    /// A job with the same request id is already open.
    Duplicate,
}

/// Owner of the job with a request id, among the processes of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOwner {
    /// This process owns the job.
    Local,
    /// The job is being migrated to or from the peer process.
    Migrating,
    /// This process has no job with the request id.
    Unknown,
}

/// A job that the server submits.
pub struct SubmittedJob<P> {
    /// Request id that the client gave the job.
    pub request_id: Rc<str>,
    /// Class of the job.
    pub class: ClassId,
    /// Tenant whose quota the job is charged to.
    pub tenant: TenantId,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
    /// Estimate by the client of the work of the job, in seconds on a core of speed 1.
    pub cost_hint: Option<f64>,
    /// Number of slots that the job occupies at a worker.
    pub slots: f64,
    /// Hash of the key of the data that the job uses, the same at every node; `None` if the job has no key.
    pub affinity_key: Option<u64>,
    /// Whether the client marks the job as a retry.
    pub is_retry: bool,
    /// Payload that is sent to workers. The dispatch task never reads it.
    pub payload: P,
    /// Handle of the job at the server.
    pub job_handle: JobHandle,
    /// Channel for the single response.
    pub response_channel: oneshot::Sender<JobResponse>,
}

/// Link between a job at the server and its entry in the dispatch task. The dispatch task records the job id
/// in it, and the server records the disconnection of the client.
#[derive(Clone, Default)]
pub struct JobHandle {
    id: Rc<Cell<Option<JobId>>>,
    client: Rc<ClientPresence>,
}

impl JobHandle {
    /// Records that the client has disconnected, so that no further attempt of the job is sent. The other
    /// consequences of the disconnection follow with
    /// [`DispatchMessage::ClientDisconnected`](super::DispatchMessage::ClientDisconnected).
    pub fn mark_client_disconnected(&self) {
        self.client.mark_disconnected();
    }

    /// Sets the probe of the client socket, which is called before an attempt is sent.
    pub fn set_client_probe(&self, probe: impl Fn() -> bool + 'static) {
        self.client.set_probe(probe);
    }

    /// Returns the job id; `None` until the dispatch task has accepted the job.
    pub(super) fn job_id(&self) -> Option<JobId> {
        self.id.get()
    }

    /// Records the job id.
    pub(super) fn set_job_id(&self, id: JobId) {
        self.id.set(Some(id));
    }

    /// Returns whether the client has disconnected.
    pub(super) fn is_client_disconnected(&self) -> bool {
        self.client.is_disconnected()
    }

    /// Returns the connection state of the client, for the send permits of the attempts of the job.
    pub(super) fn client(&self) -> Rc<ClientPresence> {
        self.client.clone()
    }
}

/// An open job.
pub(super) struct Job<P> {
    pub(super) request_id: Rc<str>,
    pub(super) class: ClassId,
    /// Time at which the last byte of the job was read from the client, by either process of this node.
    pub(super) submitted_at: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) payload: Rc<P>,
    /// Sender of the response; taken when the job is answered or its client disconnects.
    pub(super) response_channel: Option<oneshot::Sender<JobResponse>>,
    pub(super) job_handle: JobHandle,
    /// Attempts of the job, in the order of sending.
    pub(super) attempts: Vec<Attempt>,
}

impl<P> Job<P> {
    /// Returns whether the job needs no further response: it has been answered, or its client has
    /// disconnected.
    pub(super) fn is_answered(&self) -> bool {
        self.response_channel.is_none()
    }

    /// Returns whether the job needs no further response and all of its attempts have ended.
    fn is_finished(&self) -> bool {
        self.is_answered() && self.attempts.iter().all(Attempt::has_ended)
    }
}

/// Table of the open jobs and of the request ids in use. A job that is being migrated is not in the table,
/// but its request id stays in use until the migration has ended. Job ids are never reused.
pub(super) struct JobTable<P> {
    next_id: u64,
    jobs: HashMap<JobId, Job<P>>,
    ids_by_request: HashMap<Rc<str>, JobId>,
}

impl<P> Default for JobTable<P> {
    fn default() -> Self {
        JobTable { next_id: 0, jobs: HashMap::new(), ids_by_request: HashMap::new() }
    }
}

impl<P> JobTable<P> {
    /// Returns the id of the job with a request id that is in use.
    pub(super) fn find(&self, request_id: &str) -> Option<JobId> {
        self.ids_by_request.get(request_id).copied()
    }

    /// Reserves a request id for a job, and returns the new id of the job.
    pub(super) fn reserve(&mut self, request_id: Rc<str>) -> JobId {
        let job_id = JobId(self.next_id);
        self.next_id += 1;
        self.ids_by_request.insert(request_id, job_id);
        job_id
    }

    /// Releases a request id.
    pub(super) fn release(&mut self, request_id: &str) {
        self.ids_by_request.remove(request_id);
    }

    /// Adds a job whose request id has been reserved.
    pub(super) fn insert(&mut self, id: JobId, job: Job<P>) {
        self.jobs.insert(id, job);
    }

    /// Removes a job; its request id stays in use.
    pub(super) fn remove(&mut self, id: JobId) -> Option<Job<P>> {
        self.jobs.remove(&id)
    }

    /// Removes a job that is finished, and releases its request id.
    pub(super) fn remove_if_finished(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(Job::is_finished)
            && let Some(job) = self.jobs.remove(&id)
        {
            self.release(&job.request_id);
        }
    }

    /// Returns a job that is not being migrated.
    pub(super) fn get(&self, id: JobId) -> Option<&Job<P>> {
        self.jobs.get(&id)
    }

    /// Returns a mutable reference to a job that is not being migrated.
    pub(super) fn get_mut(&mut self, id: JobId) -> Option<&mut Job<P>> {
        self.jobs.get_mut(&id)
    }

    /// Returns a mutable reference to an attempt of a job that is not being migrated.
    pub(super) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.jobs.get_mut(&id.job)?.attempts.get_mut(id.number as usize)
    }
}
