//! Messages that the rest of the node sends to the dispatch task: messages of clients, workers and discovery,
//! and commands of operators and of the peer process.

use std::time::Duration;

use curlewusher_control::command::CommandResult;
use curlewusher_control::maintenance::{DisabledWorkers, MaintenanceAction};
use curlewusher_core::{EndpointUpdate, StateSnapshot};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::attempts::CallbackState;
use super::endpoints::NamedEndpoint;
use super::jobs::{JobHandle, JobOwner, SubmittedJob};
use super::migration::{IncomingMigration, MigrationOutcome, OutgoingMigration};
use crate::attempt::{AttemptReport, AttemptReporter, ReportFuture};

/// Number of messages that can wait in the queue, in addition to one slot per connection. Each open job has a
/// slot reserved for the message that its client has disconnected. If these reserved slots were not
/// additional, jobs could fill the queue, and no message that ends a job would reach the task any more.
const QUEUE_CAPACITY: usize = 4096;

/// Sender of the queue of the dispatch task.
pub type DispatchQueue<P> = mpsc::Sender<DispatchMessage<P>>;

/// Creates the queue of the dispatch task, for a node with at most `max_connections` connections that have
/// one job each.
pub fn create_queue<P>(max_connections: usize) -> (DispatchQueue<P>, mpsc::Receiver<DispatchMessage<P>>) {
    mpsc::channel(QUEUE_CAPACITY + max_connections)
}

impl<P> AttemptReporter for DispatchQueue<P> {
    fn report(&self, report: AttemptReport) -> ReportFuture<'_> {
        Box::pin(async move {
            // The dispatch task finishes last; after that, reports have no receiver.
            let _ = self.send(DispatchMessage::Attempt(report)).await;
        })
    }
}

/// Message to the dispatch task.
pub enum DispatchMessage<P> {
    /// A client has submitted a job.
    Submit(SubmittedJob<P>),
    /// The client of the job has disconnected.
    ClientDisconnected(JobHandle),
    /// A worker has sent a callback for a job.
    Callback {
        /// Request id of the job.
        request_id: String,
        /// Name of the worker in the endpoint list.
        worker_name: String,
        /// State that the worker reports.
        state: CallbackState,
        /// Channel for the owner of the job; `None` unless the caller would forward the callback to the peer.
        owner: Option<oneshot::Sender<JobOwner>>,
    },
    /// Query whether a job with the request id is open.
    QueryJob {
        /// Request id of the job.
        request_id: String,
        /// Channel for the result of the query.
        is_open: oneshot::Sender<bool>,
    },
    /// The server requests the migration of a job to the peer process.
    MigrateJob {
        /// Handle of the job.
        job_handle: JobHandle,
        /// Channel for the job; dropped if the job cannot be migrated now.
        migration_channel: oneshot::Sender<OutgoingMigration<P>>,
    },
    /// The peer process has responded to a migration, or has not responded in time.
    MigrationFinished {
        /// Handle of the job.
        job_handle: JobHandle,
        /// Outcome of the migration, which determines the owner of the job.
        outcome: MigrationOutcome,
    },
    /// A job has arrived from the peer process.
    ReceiveMigration(IncomingMigration<P>),
    /// The response to the peer process about an incoming job has been written, or could not be written.
    MigrationConfirmed {
        /// Handle of the job.
        job_handle: JobHandle,
        /// Outcome of the migration, which determines the owner of the job.
        outcome: MigrationOutcome,
    },
    /// The transport reports on an attempt.
    Attempt(AttemptReport),
    /// Discovery has sent its endpoint list or a change to it, or a poll has confirmed that the list is
    /// unchanged.
    EndpointsChanged(EndpointChange),
    /// The open watch of the current address has sent a heartbeat.
    EndpointHeartbeat {
        /// Time at which the heartbeat was read.
        read_at: Instant,
    },
    /// The open watch has sent a malformed list.
    EndpointsMalformed,
    /// The address of discovery has changed.
    DiscoveryAddressChanged,
    /// The watch could not be opened, or has failed.
    WatchFailed,
    /// A graceful shutdown of this node has begun. Each open job must be answered within this duration.
    ShutdownStarted(Duration),
}

/// An endpoint list that discovery has sent, or a change to it.
pub struct EndpointChange {
    /// Entries of the list or change.
    pub endpoints: Vec<NamedEndpoint>,
    /// Type of the message: complete list or change.
    pub update: EndpointUpdate,
    /// Poll that this message answers; `None` for later messages of a watch.
    pub answered_poll: Option<AnsweredPoll>,
}

/// Request of the dispatch task for a poll of discovery.
pub struct EndpointPollRequest {
    /// Time as of which discovery has confirmed the list; `None` if it has not.
    pub confirmed_at: Option<Instant>,
}

/// A poll of discovery that was answered.
pub struct AnsweredPoll {
    /// Time at which the poll was sent; `None` if it was a poll of an earlier address of discovery.
    pub sent_at: Option<Instant>,
    /// Time from the poll to the answer.
    pub duration: Duration,
}

/// Command of an operator or of the peer process. Commands have a separate queue, which is read before
/// [`DispatchMessage`]s, so that commands do not wait behind the messages of a busy node.
pub enum DispatchCommand {
    /// Disables or enables the worker with this name for an operator.
    ChangeMaintenance {
        /// Name of the worker.
        name: String,
        /// Action on the worker: disable or enable.
        action: MaintenanceAction,
        /// Channel for the result that the operator gets.
        result: oneshot::Sender<CommandResult>,
    },
    /// Disables or enables a worker that the peer process has listed, even if no list of this process has
    /// contained it.
    ChangeMaintenanceForPeer {
        /// Name of the worker.
        name: String,
        /// Action on the worker: disable or enable.
        action: MaintenanceAction,
        /// Channel for the result that the operator gets.
        result: oneshot::Sender<CommandResult>,
    },
    /// Requests the current state, for the successor.
    TakeSnapshot(oneshot::Sender<TransferableState>),
    /// Restores the state of the predecessor of this process.
    RestoreSnapshot(Box<TransferableState>),
    /// The successor of this process has taken over, or has exited.
    SetSuccessorActive {
        /// Whether the successor has taken over.
        active: bool,
    },
}

/// State that a process transfers to its successor.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransferableState {
    /// Workers that operators have disabled.
    #[serde(rename = "bans")]
    pub disabled_workers: DisabledWorkers,
    /// State that the dispatcher has learned; `None` if only the commands of operators are transferred.
    #[serde(rename = "learned")]
    pub snapshot: Option<StateSnapshot>,
}
