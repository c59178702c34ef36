//! What the rest of the node sends to the dispatch task: messages of clients, workers and discovery, and the
//! commands of operators and of the other process of this node.

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

/// Messages that can wait in the queue, beside one slot for each connection. Each open job has a slot
/// reserved for the message that its client has disconnected; without these of their own, jobs could fill the
/// queue and no message that ends a job would reach the task any more.
const QUEUE_CAPACITY: usize = 4096;

/// The sending half of the dispatch task's queue.
pub type DispatchQueue<P> = mpsc::Sender<DispatchMessage<P>>;

/// Creates the dispatch task's queue, for a node that has at most that many connections with one job each.
pub fn create_queue<P>(max_connections: usize) -> (DispatchQueue<P>, mpsc::Receiver<DispatchMessage<P>>) {
    mpsc::channel(QUEUE_CAPACITY + max_connections)
}

impl<P> AttemptReporter for DispatchQueue<P> {
    fn report(&self, report: AttemptReport) -> ReportFuture<'_> {
        Box::pin(async move {
            // The dispatch task ends last; once it has ended, reports have no receiver.
            let _ = self.send(DispatchMessage::Attempt(report)).await;
        })
    }
}

/// A message to the dispatch task.
pub enum DispatchMessage<P> {
    /// A client has sent a job.
    Submit(SubmittedJob<P>),
    /// The client of that job has disconnected.
    ClientDisconnected(JobHandle),
    /// A worker reports on a job.
    Callback {
        /// The job.
        request_id: String,
        /// The worker's name in the endpoint list.
        worker_name: String,
        /// What it reports.
        state: CallbackState,
        /// Receives which process owns the job, for a caller that would look for it elsewhere.
        owner: Option<oneshot::Sender<JobOwner>>,
    },
    /// Queries whether a job of that request id is open.
    QueryJob {
        /// The request id.
        request_id: String,
        /// Receives the answer.
        held: oneshot::Sender<bool>,
    },
    /// A job is to be migrated to the other process.
    MigrateJob {
        /// The job.
        job_handle: JobHandle,
        /// Receives the job; dropped where it cannot be migrated now.
        migration_channel: oneshot::Sender<OutgoingMigration<P>>,
    },
    /// The other process has answered to a migration, or has not answered in time.
    MigrationFinished {
        /// The job.
        job_handle: JobHandle,
        /// Which process owns it now.
        outcome: MigrationOutcome,
    },
    /// A job has arrived from the other process.
    ReceiveMigration(IncomingMigration<P>),
    /// The answer to the other process about an incoming job has been written, or could not be.
    MigrationConfirmed {
        /// The job.
        job_handle: JobHandle,
        /// Which process owns it now.
        outcome: MigrationOutcome,
    },
    /// The transport reports on an attempt.
    Attempt(AttemptReport),
    /// Discovery has sent its endpoint list, or a change to it.
    EndpointsChanged(EndpointChange),
    /// The open watch reports that nothing has changed.
    EndpointsConfirmed {
        /// Up to this moment.
        as_of: Instant,
    },
    /// The open watch has sent a list that cannot be read.
    EndpointsMalformed,
    /// Discovery has another address from now on.
    DiscoveryAddressChanged,
    /// The watch could not be opened, or has broken.
    WatchFailed,
    /// This node shuts down after that long.
    ShutdownStarted(Duration),
}

/// An endpoint list that discovery has sent, or a change to it.
pub struct EndpointChange {
    /// The entries.
    pub endpoints: Vec<NamedEndpoint>,
    /// Whether these are all endpoints or changes.
    pub update: EndpointUpdate,
    /// The moment at which the complete list, with this message applied, was current; none if that is unknown.
    pub current_as_of: Option<Instant>,
    /// How long the poll took that it answers.
    pub poll_duration: Option<Duration>,
}

/// A command of an operator or of the other process of this node. Commands have a queue of their own, which
/// is read before [`DispatchMessage`]s, so that they need not wait behind those of a busy node.
pub enum DispatchCommand {
    /// Disables or enables the worker of that name for an operator.
    ChangeMaintenance {
        /// The worker.
        name: String,
        /// Whether it is disabled or enabled.
        action: MaintenanceAction,
        /// Receives the answer to the operator.
        result: oneshot::Sender<CommandResult>,
    },
    /// The same for a worker that the other process of this node knows, whether or not a list here has named
    /// it.
    ChangeMaintenanceForPeer {
        /// The worker.
        name: String,
        /// Whether it is disabled or enabled.
        action: MaintenanceAction,
        /// Receives the answer to the operator.
        result: oneshot::Sender<CommandResult>,
    },
    /// Requests the present state, for a successor.
    TakeSnapshot(oneshot::Sender<TransferableState>),
    /// Adopts what the predecessor of this process knew.
    RestoreSnapshot(Box<TransferableState>),
    /// The successor of this process has taken over, or has ended.
    SetSuccessorActive {
        /// Whether it has taken over.
        active: bool,
    },
}

/// What a process passes on to its successor.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransferableState {
    /// Workers that operators have disabled.
    #[serde(rename = "bans")]
    pub disabled_workers: DisabledWorkers,
    /// What the dispatcher has learned; None where only the operators' commands are to be adopted.
    #[serde(rename = "learned")]
    pub snapshot: Option<StateSnapshot>,
}
