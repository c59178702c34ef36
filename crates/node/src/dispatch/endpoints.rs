//! Endpoint table with the name and address of each worker that discovery lists.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use curlewusher_core::{Endpoint, Timestamp, WorkerId, WorkerStatus};

/// An entry of the endpoint list of discovery, including the parts that the dispatcher does not use.
pub struct NamedEndpoint {
    /// Name of the worker.
    pub name: Rc<str>,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Part of the entry that the dispatcher uses.
    pub endpoint: Endpoint,
}

/// Name and address of a worker.
#[derive(Clone)]
pub(super) struct WorkerAddress {
    pub(super) name: Rc<str>,
    pub(super) address: SocketAddr,
}

/// Validity of connections to an endpoint that were opened before a change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExistingConnections {
    /// The connections lead to the listed process.
    Valid,
    /// The connections lead to a process that has exited.
    Stale,
}

/// Table of the listed workers.
#[derive(Default)]
pub(super) struct EndpointTable {
    workers: HashMap<WorkerId, WorkerAddress>,
    /// Start time of each worker according to its last entry. It is kept when the table is cleared, so that a
    /// restarted worker is recognized in the next list.
    started_at: HashMap<WorkerId, Timestamp>,
}

impl EndpointTable {
    /// Removes all workers. Called before a snapshot of the list is added.
    pub(super) fn clear(&mut self) {
        self.workers.clear();
    }

    /// Applies an entry of the list, and returns whether existing connections to the endpoint are still
    /// valid.
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

    /// Returns the name and address of a listed worker.
    pub(super) fn get(&self, worker: WorkerId) -> Option<&WorkerAddress> {
        self.workers.get(&worker)
    }
}
