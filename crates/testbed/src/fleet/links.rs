//! Links between the nodes and the fleet. The faults of a scenario change the state of the links.

use tokio::sync::watch;

use crate::proxy::LinkState;

/// State of the links between the nodes and the fleet. It has an effect only if the scenario needs proxies.
pub struct FleetLinks {
    /// Links to discovery, by node.
    pub discovery: Vec<watch::Sender<LinkState>>,
    /// Links to workers, by worker.
    pub workers: Vec<watch::Sender<LinkState>>,
}

impl FleetLinks {
    /// Creates links without faults.
    pub(super) fn new(node_count: usize, worker_count: usize) -> Self {
        let links = |count| (0..count).map(|_| watch::Sender::default()).collect();
        FleetLinks { discovery: links(node_count), workers: links(worker_count) }
    }
}
