//! Messages to the task that owns the models of the fleet ([`FleetOwner`](super::owner::FleetOwner)).

use bytes::Bytes;
use curlewusher_model::endpoint_registry::EndpointStatus;
use curlewusher_model::worker_pool::WorkerIndex;
use curlewusher_model::{TimeSpan, Timestamp};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::sent_requests::RequestOrigin;

/// Change of the fleet that a scenario requests.
#[derive(Clone, Copy, Debug)]
pub enum FleetCommand {
    /// Kills a worker's process, which resets its connections.
    Kill(WorkerIndex),
    /// Starts a worker's process.
    Start(WorkerIndex),
    /// Sets the divisor of a worker's speed.
    SetSlowdown(WorkerIndex, f64),
    /// Drains a worker, which discovery then lists as terminating.
    Drain(WorkerIndex),
    /// Changes only the status with which discovery lists a worker.
    SetListedStatus(WorkerIndex, EndpointStatus),
    /// Makes a worker unresponsive: it reads requests and does not respond.
    MakeUnresponsive(WorkerIndex),
    /// Makes an unresponsive worker respond again.
    MakeResponsive(WorkerIndex),
    /// Stops discovery and closes all endpoint watches.
    StopDiscovery,
    /// Starts discovery again.
    StartDiscovery,
    /// Makes each further line of a watch later than the line before it by `growth`; zero puts lines on time
    /// again.
    DelayWatchLines {
        /// Difference between the lateness of a line and of the one before it.
        growth: TimeSpan,
    },
}

/// Id of a discovery server. A node has several of them in the course of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DiscoveryServerId {
    /// Number of the node that the server is for.
    pub(super) node: usize,
    /// Number of the server, which is unique among the servers of all nodes.
    pub(super) generation: u64,
}

/// Decision of a worker on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Accepted,
    Rejected,
}

/// Attempt of which a worker has received the last byte.
pub(super) struct AttemptArrival {
    pub(super) worker: WorkerIndex,
    pub(super) request_id: String,
    pub(super) origin: RequestOrigin,
    /// Time at which the head of the request was received.
    pub(super) head_received_at: Timestamp,
    pub(super) admission: oneshot::Sender<Admission>,
}

/// Poll of the endpoint list.
pub(super) struct EndpointPoll {
    pub(super) server: DiscoveryServerId,
    /// Index of the newest change that the node has received, or 0 if it has received none.
    pub(super) since: u64,
    /// Channel for the lines of the watch. It is dropped if discovery is down.
    pub(super) lines: UnboundedSender<Bytes>,
}

/// Input of the task that owns the models.
pub(super) enum FleetMessage {
    /// An attempt has arrived at a worker.
    AttemptArrived(AttemptArrival),
    /// A node cancelled an attempt by its request id, or closed the connection before the response (202).
    CancelAttempt { worker: WorkerIndex, request_id: String },
    /// A node polled the endpoint list.
    EndpointsPolled(EndpointPoll),
    /// Closes the watches of a replaced discovery server.
    CloseWatches(DiscoveryServerId),
    /// Changes the fleet.
    Apply(FleetCommand),
}
