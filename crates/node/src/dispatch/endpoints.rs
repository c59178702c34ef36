//! The endpoint table: name and address of each worker that discovery lists.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use curlewusher_core::{Endpoint, Timestamp, WorkerId, WorkerStatus};

/// An entry of discovery's endpoint list, with what the dispatcher does not need to know.
pub struct NamedEndpoint {
    /// The worker's name.
    pub name: Rc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What the dispatcher knows of it.
    pub endpoint: Endpoint,
}

/// A worker's name and address.
#[derive(Clone)]
pub(super) struct WorkerAddress {
    pub(super) name: Rc<str>,
    pub(super) address: SocketAddr,
}

/// Whether connections to an endpoint that were opened before a change of the list can still be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExistingConnections {
    /// They lead to the process that is listed.
    Valid,
    /// They lead to a process that has ended.
    Stale,
}

/// The listed workers.
#[derive(Default)]
pub(super) struct EndpointTable {
    workers: HashMap<WorkerId, WorkerAddress>,
    /// When each worker was last listed to have started. Kept when the table is cleared, so that a worker
    /// that was restarted is recognized in the next list.
    started_at: HashMap<WorkerId, Timestamp>,
}

impl EndpointTable {
    /// Removes all workers, before a snapshot of the list is added.
    pub(super) fn clear(&mut self) {
        self.workers.clear();
    }

    /// Applies an entry of the list.
    pub(super) fn apply(&mut self, listed: NamedEndpoint) -> ExistingConnections {
        let NamedEndpoint { name, address, endpoint } = listed;
        let previous_start = self.started_at.insert(endpoint.worker, endpoint.started_at);
        if endpoint.status == WorkerStatus::Removed {
            self.started_at.remove(&endpoint.worker);
            self.workers.remove(&endpoint.worker);
            return ExistingConnections::Stale;
        }
        self.workers.insert(endpoint.worker, WorkerAddress { name, address });
        match previous_start {
            Some(previous) if previous != endpoint.started_at => ExistingConnections::Stale,
            _ => ExistingConnections::Valid,
        }
    }

    /// Name and address of a worker that is listed.
    pub(super) fn get(&self, worker: WorkerId) -> Option<&WorkerAddress> {
        self.workers.get(&worker)
    }
}
