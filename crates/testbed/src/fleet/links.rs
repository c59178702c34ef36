//! The links between nodes and the fleet, whose state the faults of a scenario change.

use tokio::sync::watch;

use crate::proxy::LinkState;

/// The links between nodes and the fleet. They have an effect only if the scenario needs proxies.
pub struct FleetLinks {
    /// The links to discovery, by node.
    pub discovery: Vec<watch::Sender<LinkState>>,
    /// The links to workers, by worker.
    pub workers: Vec<watch::Sender<LinkState>>,
}

impl FleetLinks {
    /// Links without faults.
    pub(super) fn new(nodes: usize, workers: usize) -> Self {
        let links = |count| (0..count).map(|_| watch::Sender::default()).collect();
        FleetLinks { discovery: links(nodes), workers: links(workers) }
    }
}
