//! Migration of a job between the two processes of a node: what is transferred, and the jobs that are on
//! their way.
//!
//! A job is owned by exactly one process. The steps of a migration, as the dispatch tasks of both processes
//! see it:
//!
//! | step | sending process | receiving process |
//! | --- | --- | --- |
//! | `MigrateJob` | the job leaves the table and is kept as outgoing | |
//! | `ReceiveMigration` | | its request id is reserved, the job is kept as incoming |
//! | `MigrationFinished` | accepted: dropped; else: rolled back into the table | |
//! | `MigrationConfirmed` | | confirmed: added to the table; else: dropped |
//!
//! Nothing is done for a job while it is outgoing or incoming, and callbacks for it are to be repeated by the
//! worker.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use curlewusher_core::{JobId, MigratedJob, TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::attempts::{Attempt, CallbackState};
use super::clock::WallTime;
use super::jobs::{Job, JobHandle, JobResponse};

/// Time that a job needs after its migration has timed out, to be answered by this process after all.
const TIME_TO_ANSWER_AFTER_ROLLBACK: TimeSpan = TimeSpan::from_millis(500);

/// A job that is migrated from one process of this node to the other, without its payload.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobMigration {
    #[serde(rename = "id")]
    pub(super) request_id: String,
    #[serde(rename = "taken")]
    pub(super) submitted_at: WallTime,
    pub(super) attempts: Vec<MigratedAttempt>,
    /// What the dispatcher knows of it.
    pub(super) job: MigratedJob,
}

impl JobMigration {
    /// The client's id of the job.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// What is transferred of a job that the dispatcher has released.
    pub(super) fn new<P>(job: &Job<P>, released: MigratedJob) -> Self {
        JobMigration {
            request_id: job.request_id.to_string(),
            submitted_at: WallTime::of(job.submitted_at),
            attempts: job.attempts.iter().map(MigratedAttempt::new).collect(),
            job: released,
        }
    }

    /// Whether an attempt is in flight.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// An attempt of a job that is migrated.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MigratedAttempt {
    #[serde(rename = "from")]
    pub(super) worker_name: String,
    #[serde(rename = "to")]
    pub(super) address: Option<SocketAddr>,
    /// Its worker has accepted it and it has not ended.
    #[serde(rename = "out")]
    pub(super) in_flight: bool,
    #[serde(rename = "share")]
    pub(super) progress: f64,
    #[serde(rename = "last")]
    pub(super) last_callback: Option<CallbackState>,
    #[serde(rename = "times_out")]
    pub(super) expires_at: WallTime,
}

impl MigratedAttempt {
    /// What is transferred of an attempt that is in flight or has ended.
    fn new(attempt: &Attempt) -> Self {
        MigratedAttempt {
            worker_name: attempt.worker_name.to_string(),
            address: attempt.address,
            in_flight: attempt.is_in_flight(),
            progress: attempt.progress,
            last_callback: attempt.last_callback.clone(),
            expires_at: WallTime::of(attempt.expires_at),
        }
    }
}

/// Whether a job can be migrated: its client waits for a response, it could still be answered in time after a
/// migration that times out, and each attempt has ended or was accepted. Until a worker has accepted an attempt,
/// its answer goes to a connection of this process.
pub(super) fn is_migratable<P>(job: &Job<P>, now: Timestamp, migration_timeout: TimeSpan) -> bool {
    let is_transferable =
        |attempt: &Attempt| attempt.has_ended() || attempt.is_in_flight() && attempt.accepted;
    let has_time = job.deadline > now + migration_timeout + TIME_TO_ANSWER_AFTER_ROLLBACK;
    !job.is_settled() && has_time && job.attempts.iter().all(is_transferable)
}

/// How a migration ended, for both processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationOutcome {
    /// The receiving process owns the job.
    Accepted,
    /// The job stays with the sending process.
    RolledBack,
}

/// A job that is to be sent to the other process of this node.
pub struct OutgoingMigration<P> {
    /// The job.
    pub migration: JobMigration,
    /// Its payload.
    pub payload: Rc<P>,
}

/// A job that has arrived from the other process of this node.
pub struct IncomingMigration<P> {
    /// The job.
    pub migration: JobMigration,
    /// Its payload.
    pub payload: P,
    /// The server's handle of the job.
    pub job_handle: JobHandle,
    /// Receives the one response.
    pub response_channel: oneshot::Sender<JobResponse>,
    /// Receives whether this process can take the job.
    pub accepted: oneshot::Sender<bool>,
}

/// A job that the other process has not yet accepted, as it was in the job table.
pub(super) struct OutgoingJob<P> {
    pub(super) migration: JobMigration,
    pub(super) job: Job<P>,
}

/// A job that this process has accepted; the other process may not yet know that, and may still take the job
/// back.
pub(super) struct IncomingJob<P> {
    pub(super) request_id: Rc<str>,
    pub(super) migration: JobMigration,
    pub(super) payload: P,
    pub(super) response_channel: oneshot::Sender<JobResponse>,
    pub(super) job_handle: JobHandle,
}

/// The jobs that are being migrated to the other process of this node or from there.
pub(super) struct Migrations<P> {
    outgoing: HashMap<JobId, OutgoingJob<P>>,
    incoming: HashMap<JobId, IncomingJob<P>>,
}

impl<P> Default for Migrations<P> {
    fn default() -> Self {
        Migrations { outgoing: HashMap::new(), incoming: HashMap::new() }
    }
}

impl<P> Migrations<P> {
    /// Whether a job is being migrated.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.outgoing.contains_key(&id) || self.incoming.contains_key(&id)
    }

    /// Adds a job that is being migrated to the other process.
    pub(super) fn insert_outgoing(&mut self, id: JobId, outgoing: OutgoingJob<P>) {
        self.outgoing.insert(id, outgoing);
    }

    /// A job that is being migrated to the other process, to change it.
    pub(super) fn outgoing_job_mut(&mut self, id: JobId) -> Option<&mut Job<P>> {
        self.outgoing.get_mut(&id).map(|outgoing| &mut outgoing.job)
    }

    /// Removes a job whose migration to the other process has ended.
    pub(super) fn remove_outgoing(&mut self, id: JobId) -> Option<OutgoingJob<P>> {
        self.outgoing.remove(&id)
    }

    /// Adds a job that is being migrated from the other process.
    pub(super) fn insert_incoming(&mut self, id: JobId, incoming: IncomingJob<P>) {
        self.incoming.insert(id, incoming);
    }

    /// Removes a job whose migration from the other process has ended.
    pub(super) fn remove_incoming(&mut self, id: JobId) -> Option<IncomingJob<P>> {
        self.incoming.remove(&id)
    }
}
