//! Subset of the workers that this node uses.
//!
//! Deployments of many nodes with many workers are divided into subsets, each of which works like a small
//! deployment: its nodes observe the load of their workers and can afford gossip. Nodes with the same
//! endpoint list compute the same subsets.

use crate::{KindId, Settings, ZoneId};

/// Minimum number of nodes of a subset.
const MIN_SUBSET_NODES: u32 = 8;
/// Minimum number of workers of a subset.
const MIN_SUBSET_WORKERS: usize = 8;

/// Worker that accepts new work.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// Zone of the worker.
    pub zone: ZoneId,
    /// Kind of machine of the worker.
    pub kind: KindId,
    /// Index of the worker in the fleet.
    pub index: usize,
}

/// Workers that this node uses, and the number of nodes that use the same workers.
pub(crate) struct Subset {
    /// Number of nodes of the deployment.
    nodes: u32,
    /// Index of this node among the nodes of the deployment.
    node_index: u32,
    /// Maximum number of subsets according to the settings.
    max_count: usize,
    /// Number of subsets into which nodes and workers are divided.
    count: usize,
    /// Indices of the workers of the subset in the fleet, in ascending order.
    members: Vec<usize>,
}

impl Subset {
    /// Returns a subset without workers.
    pub(super) fn new(settings: &Settings) -> Self {
        Subset {
            nodes: settings.nodes,
            node_index: settings.node_index,
            max_count: max_subsets(settings),
            count: 1,
            members: Vec::new(),
        }
    }

    /// Returns the indices of the workers of the subset in the fleet, in ascending order.
    pub fn members(&self) -> &[usize] {
        &self.members
    }

    /// Returns the number of workers of the subset.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether workers outside this subset accept new work.
    pub fn has_outside_workers(&self) -> bool {
        self.count > 1
    }

    /// Returns the number of nodes that share this subset.
    pub fn nodes(&self) -> u32 {
        self.nodes.div_ceil(self.count as u32)
    }

    /// Returns the position of this node among the nodes that share this subset.
    pub fn node_position(&self) -> u32 {
        self.node_index / self.count as u32
    }

    /// Returns the indices of the other nodes that share this subset.
    pub fn other_nodes(&self) -> impl Iterator<Item = u32> {
        let count = self.count as u32;
        let nodes = (self.node_index % count..self.nodes).step_by(count as usize);
        nodes.filter(|node| *node != self.node_index)
    }

    /// Distributes the workers of each zone and kind evenly over the subsets, and keeps the workers of this
    /// node's subset.
    pub(super) fn rebuild(&mut self, mut candidates: Vec<Candidate>) {
        self.count = self.max_count.min(candidates.len() / MIN_SUBSET_WORKERS).max(1);
        candidates.sort_by_key(|worker| (worker.zone.0, worker.kind.0, worker.index));
        let own = self.node_index as usize % self.count;
        let numbered = candidates.iter().zip(1..);
        let own_workers = numbered.filter(|(_, position)| position % self.count == own);
        self.members = own_workers.map(|(worker, _)| worker.index).collect();
        self.members.sort_unstable();
    }
}

/// Returns the maximum number of subsets into which the nodes can be divided. Without gossip it is 1, since
/// each subset would fetch the data of keys that workers of other subsets already have.
fn max_subsets(settings: &Settings) -> usize {
    if !settings.may_gossip {
        return 1;
    }
    (settings.nodes / MIN_SUBSET_NODES).max(1) as usize
}
