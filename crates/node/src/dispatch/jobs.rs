//! The jobs that are open at this process: their ids, what is known of each, and the handle by which the
//! server reaches a job.

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

/// The final response to a job.
#[derive(Debug)]
pub enum JobResponse {
    /// A worker's result.
    Served(Bytes),
    /// Not run; it can safely be sent again, preferably after `retry_after`.
    Rejected {
        /// Zero where there is no advice.
        retry_after: Duration,
    },
    /// No result; it may have run.
    Failed,
    /// A job of the same request id is open already.
    Duplicate,
}

/// Which process of this node owns the job of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOwner {
    /// This one.
    Local,
    /// The job is being migrated to the other process or from there.
    Migrating,
    /// Not this one.
    Unknown,
}

/// A job as the server submits it.
pub struct SubmittedJob<P> {
    /// The client's id of it.
    pub request_id: Rc<str>,
    /// Its class.
    pub class: ClassId,
    /// Whose quota it counts against.
    pub tenant: TenantId,
    /// The moment at which the client stops waiting.
    pub deadline: Timestamp,
    /// The client's estimate of its work, in seconds on a core of speed 1.
    pub cost_hint: Option<f64>,
    /// Slots that it occupies at a worker.
    pub slots: f64,
    /// Hash of what it concerns, the same at every node.
    pub affinity_key: Option<u64>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// What is sent to workers; the dispatch task never reads it.
    pub payload: P,
    /// The server's handle of the job.
    pub job_handle: JobHandle,
    /// Receives the one response.
    pub response_channel: oneshot::Sender<JobResponse>,
}

/// Links a job at the server with its entry at the dispatch task: the task records the job's id in it, the
/// server records that the client has disconnected.
#[derive(Clone, Default)]
pub struct JobHandle {
    id: Rc<Cell<Option<JobId>>>,
    client: Rc<ClientPresence>,
}

impl JobHandle {
    /// From now on no attempt of the job is sent. Everything else that follows from the disconnection waits
    /// for [`DispatchMessage::ClientDisconnected`](super::DispatchMessage::ClientDisconnected).
    pub fn mark_client_gone(&self) {
        self.client.mark_gone();
    }

    /// Sets how to look at the client's socket, which is done before an attempt is sent.
    pub fn probe_client(&self, is_disconnected: impl Fn() -> bool + 'static) {
        self.client.set_probe(is_disconnected);
    }

    /// The job's id, once the dispatch task has taken the job.
    pub(super) fn job_id(&self) -> Option<JobId> {
        self.id.get()
    }

    /// Records the job's id.
    pub(super) fn set_job_id(&self, id: JobId) {
        self.id.set(Some(id));
    }

    /// Whether the client has disconnected.
    pub(super) fn is_client_gone(&self) -> bool {
        self.client.is_gone()
    }

    /// The client, as the permits of the job's attempts see it.
    pub(super) fn client(&self) -> Rc<ClientPresence> {
        self.client.clone()
    }
}

/// An open job.
pub(super) struct Job<P> {
    pub(super) request_id: Rc<str>,
    pub(super) class: ClassId,
    /// When its last byte was read from the client, in whichever process of this node that was.
    pub(super) submitted_at: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) payload: Rc<P>,
    /// Taken when the job is answered or its client disconnects.
    pub(super) response_channel: Option<oneshot::Sender<JobResponse>>,
    pub(super) job_handle: JobHandle,
    /// In the order of sends.
    pub(super) attempts: Vec<Attempt>,
}

impl<P> Job<P> {
    /// Whether it has been answered, or its client has disconnected.
    pub(super) fn is_settled(&self) -> bool {
        self.response_channel.is_none()
    }

    /// Whether it is settled and no attempt is in flight.
    fn is_finished(&self) -> bool {
        self.is_settled() && self.attempts.iter().all(Attempt::has_ended)
    }
}

/// The open jobs, and the request ids that are in use. A job that is being migrated is not in the table,
/// but its request id stays in use until the migration has ended. Ids of jobs are never used again.
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
    /// The job of a request id that is in use.
    pub(super) fn find(&self, request_id: &str) -> Option<JobId> {
        self.ids_by_request.get(request_id).copied()
    }

    /// Puts a request id in use, for a job with a new id.
    pub(super) fn reserve(&mut self, request_id: Rc<str>) -> JobId {
        let job_id = JobId(self.next_id);
        self.next_id += 1;
        self.ids_by_request.insert(request_id, job_id);
        job_id
    }

    /// Ends the use of a request id.
    pub(super) fn release(&mut self, request_id: &str) {
        self.ids_by_request.remove(request_id);
    }

    /// Adds a job whose request id is in use.
    pub(super) fn insert(&mut self, id: JobId, job: Job<P>) {
        self.jobs.insert(id, job);
    }

    /// Removes a job whose request id stays in use.
    pub(super) fn remove(&mut self, id: JobId) -> Option<Job<P>> {
        self.jobs.remove(&id)
    }

    /// Removes a job that is finished, and ends the use of its request id.
    pub(super) fn remove_if_finished(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(Job::is_finished)
            && let Some(job) = self.jobs.remove(&id)
        {
            self.release(&job.request_id);
        }
    }

    /// A job that is not being migrated.
    pub(super) fn get(&self, id: JobId) -> Option<&Job<P>> {
        self.jobs.get(&id)
    }

    /// The same, to change it.
    pub(super) fn get_mut(&mut self, id: JobId) -> Option<&mut Job<P>> {
        self.jobs.get_mut(&id)
    }

    /// An attempt of a job that is not being migrated, to change it.
    pub(super) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.jobs.get_mut(&id.job)?.attempts.get_mut(id.number as usize)
    }
}
