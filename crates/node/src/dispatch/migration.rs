//! Migration of a job between the two processes of a node: data that is transferred, and jobs in migration.
//!
//! Each job is owned by exactly one process. A migration has these steps in the dispatch tasks of the two
//! processes:
//!
//! | step | sending process | receiving process |
//! | --- | --- | --- |
//! | `MigrateJob` | the job is moved from the table to the outgoing jobs | |
//! | `ReceiveMigration` | | the request id is reserved, and the job is added to the incoming jobs |
//! | `MigrationFinished` | if accepted, the job is dropped; else, it is rolled back into the table | |
//! | `MigrationConfirmed` | | if accepted, the job is added to the table; else, it is dropped |
//!
//! The dispatch task takes no action for a job while it is outgoing or incoming, and the worker must
//! redeliver callbacks for it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use curlewusher_core::{JobId, MigratedJob, TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::attempts::{Attempt, CallbackState};
use super::clock::WallTime;
use super::jobs::{Job, JobHandle, JobResponse};

/// Time that a job must have left in addition to that of its migration. This process needs it to answer the
/// job after a rollback.
const RESPONSE_MARGIN_AFTER_ROLLBACK: TimeSpan = TimeSpan::from_millis(500);

/// A job that is migrated from one process of this node to the other, without its payload.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobMigration {
    #[serde(rename = "id")]
    pub(super) request_id: String,
    #[serde(rename = "taken")]
    pub(super) submitted_at: WallTime,
    pub(super) attempts: Vec<MigratedAttempt>,
    /// State of the job in the dispatcher.
    pub(super) job: MigratedJob,
}

impl JobMigration {
    /// Returns the request id that the client gave the job.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Creates the transferred record of a job that the dispatcher has released.
    pub(super) fn new<P>(job: &Job<P>, released: MigratedJob) -> Self {
        JobMigration {
            request_id: job.request_id.to_string(),
            submitted_at: WallTime::from_timestamp(job.submitted_at),
            attempts: job.attempts.iter().map(MigratedAttempt::new).collect(),
            job: released,
        }
    }

    /// Returns whether an attempt of the job is in flight.
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
    /// Whether the worker has accepted the attempt and the attempt has not ended.
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
    /// Creates the transferred record of an attempt that is in flight or has ended.
    fn new(attempt: &Attempt) -> Self {
        MigratedAttempt {
            worker_name: attempt.worker_name.to_string(),
            address: attempt.address,
            in_flight: attempt.is_in_flight(),
            progress: attempt.progress,
            last_callback: attempt.last_callback.clone(),
            expires_at: WallTime::from_timestamp(attempt.expires_at),
        }
    }
}

/// Returns whether a job can be migrated: its client awaits a response, the job could still be answered in
/// time after a migration that is rolled back, and each attempt has ended or was accepted. Until a worker has
/// accepted an attempt, its response arrives over a connection of this process.
pub(super) fn is_migratable<P>(job: &Job<P>, now: Timestamp, min_time_for_migration: TimeSpan) -> bool {
    let is_transferable =
        |attempt: &Attempt| attempt.has_ended() || attempt.is_in_flight() && attempt.accepted;
    let has_time = job.deadline > now + min_time_for_migration + RESPONSE_MARGIN_AFTER_ROLLBACK;
    !job.is_answered() && has_time && job.attempts.iter().all(is_transferable)
}

/// Outcome of a migration, the same for both processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationOutcome {
    /// The receiving process owns the job.
    Accepted,
    /// The sending process still owns the job.
    RolledBack,
}

/// Job to migrate to the peer process.
pub struct OutgoingMigration<P> {
    /// Record of the job.
    pub migration: JobMigration,
    /// Payload of the job.
    pub payload: Rc<P>,
}

/// A job that has arrived from the peer process.
pub struct IncomingMigration<P> {
    /// Record of the job.
    pub migration: JobMigration,
    /// Payload of the job.
    pub payload: P,
    /// Handle of the job at the server.
    pub job_handle: JobHandle,
    /// Channel for the single response.
    pub response_channel: oneshot::Sender<JobResponse>,
    /// Channel for whether this process can accept the job.
    pub accepted: oneshot::Sender<bool>,
}

/// A job that the peer process has not yet accepted, with its entry from the job table.
pub(super) struct OutgoingJob<P> {
    pub(super) migration: JobMigration,
    pub(super) job: Job<P>,
}

/// A job that this process has accepted. The peer may not yet have been notified of that, and may still roll
/// the migration back.
pub(super) struct IncomingJob<P> {
    pub(super) request_id: Rc<str>,
    pub(super) migration: JobMigration,
    pub(super) payload: P,
    pub(super) response_channel: oneshot::Sender<JobResponse>,
    pub(super) job_handle: JobHandle,
}

/// Jobs that are being migrated to or from the peer process.
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
    /// Returns whether a job is being migrated.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.outgoing.contains_key(&id) || self.incoming.contains_key(&id)
    }

    /// Adds a job that is being migrated to the peer process.
    pub(super) fn insert_outgoing(&mut self, id: JobId, outgoing: OutgoingJob<P>) {
        self.outgoing.insert(id, outgoing);
    }

    /// Returns a mutable reference to a job that is being migrated to the peer process.
    pub(super) fn outgoing_job_mut(&mut self, id: JobId) -> Option<&mut Job<P>> {
        self.outgoing.get_mut(&id).map(|outgoing| &mut outgoing.job)
    }

    /// Removes a job whose migration to the peer process has ended.
    pub(super) fn remove_outgoing(&mut self, id: JobId) -> Option<OutgoingJob<P>> {
        self.outgoing.remove(&id)
    }

    /// Adds a job that is being migrated from the peer process.
    pub(super) fn insert_incoming(&mut self, id: JobId, incoming: IncomingJob<P>) {
        self.incoming.insert(id, incoming);
    }

    /// Removes a job whose migration from the peer process has ended.
    pub(super) fn remove_incoming(&mut self, id: JobId) -> Option<IncomingJob<P>> {
        self.incoming.remove(&id)
    }
}
