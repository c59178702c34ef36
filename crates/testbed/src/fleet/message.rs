//! Messages to the task that owns the models of the fleet.

use bytes::Bytes;
use curlewusher_model::Timestamp;
use curlewusher_model::endpoint_registry::EndpointStatus;
use curlewusher_model::worker_pool::WorkerIndex;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::sent_requests::RequestOrigin;

/// A change of the fleet that a scenario demands.
#[derive(Clone, Copy, Debug)]
pub enum FleetCommand {
    /// Kills a worker's process; its connections are reset.
    Kill(WorkerIndex),
    /// Starts a worker's process.
    Start(WorkerIndex),
    /// Sets the factor by which a worker takes longer than usual.
    SetSlowdown(WorkerIndex, f64),
    /// Drains a worker; discovery lists it as terminating.
    Drain(WorkerIndex),
    /// Changes only the status under which discovery lists a worker.
    SetListedStatus(WorkerIndex, EndpointStatus),
    /// Makes a worker read requests without a response.
    Silence(WorkerIndex),
    /// Lets a silent worker respond again.
    Unsilence(WorkerIndex),
    /// Stops discovery and closes all endpoint watches.
    StopDiscovery,
    /// Starts discovery again.
    StartDiscovery,
}

/// Identifies one of the discovery servers that a node has had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DiscoveryServerId {
    /// Number of the node that the server is for.
    pub(super) node: usize,
    /// Distinguishes the servers of a node.
    pub(super) generation: u64,
}

/// A worker's response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Accepted,
    Rejected,
}

/// An attempt whose last byte has arrived at a worker.
pub(super) struct AttemptArrival {
    pub(super) worker: WorkerIndex,
    pub(super) request_id: String,
    pub(super) origin: RequestOrigin,
    /// When the request's head arrived.
    pub(super) head_received_at: Timestamp,
    pub(super) admission: oneshot::Sender<Admission>,
}

/// A poll of the endpoint list.
pub(super) struct EndpointPoll {
    pub(super) server: DiscoveryServerId,
    /// Index of the newest change that the node has.
    pub(super) since: u64,
    /// Receives the messages of the watch; dropped if discovery is down.
    pub(super) lines: UnboundedSender<Bytes>,
}

/// An input of the task that owns the models.
pub(super) enum FleetMessage {
    AttemptArrived(AttemptArrival),
    /// A node cancelled an attempt by its id, or closed its connection before the 202.
    CancelAttempt {
        worker: WorkerIndex,
        request_id: String,
    },
    EndpointsPolled(EndpointPoll),
    /// Closes the watches of a discovery server that was replaced.
    CloseWatches(DiscoveryServerId),
    Apply(FleetCommand),
}
