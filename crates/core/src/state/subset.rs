//! The subset of the workers that this node uses.
//!
//! Many nodes with many workers are split into subsets, each of which works like a small deployment: its
//! nodes know their workers' load, and can afford gossip. Nodes with the same list compute the same subsets.

use crate::{KindId, Settings, ZoneId};

/// Fewest nodes of a subset.
const MIN_SUBSET_NODES: u32 = 8;
/// Fewest workers of a subset.
const MIN_SUBSET_WORKERS: usize = 8;

/// A worker that takes new work.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its index in the fleet.
    pub index: usize,
}

/// The workers that this node uses, and the nodes that use the same.
pub(crate) struct Subset {
    /// Number of nodes that dispatch to the same workers.
    nodes: u32,
    /// This node's index among them.
    node_index: u32,
    /// Most subsets that the settings allow.
    max_count: usize,
    /// Number of subsets that nodes and workers are parted into.
    count: usize,
    /// Indices of the workers in the fleet, in ascending order.
    members: Vec<usize>,
}

impl Subset {
    /// A subset without workers.
    pub(super) fn new(settings: &Settings) -> Self {
        Subset {
            nodes: settings.nodes,
            node_index: settings.node_index,
            max_count: max_subsets(settings),
            count: 1,
            members: Vec::new(),
        }
    }

    /// Indices of its workers in the fleet, in ascending order.
    pub fn members(&self) -> &[usize] {
        &self.members
    }

    /// Number of its workers.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are workers that take new work outside this subset.
    pub fn has_outside_workers(&self) -> bool {
        self.count > 1
    }

    /// Number of nodes that share this subset.
    pub fn nodes(&self) -> u32 {
        self.nodes.div_ceil(self.count as u32)
    }

    /// This node's position among the nodes that share this subset.
    pub fn node_position(&self) -> u32 {
        self.node_index / self.count as u32
    }

    /// Indices of the other nodes that share this subset.
    pub fn other_nodes(&self) -> impl Iterator<Item = u32> {
        let count = self.count as u32;
        let nodes = (self.node_index % count..self.nodes).step_by(count as usize);
        nodes.filter(|node| *node != self.node_index)
    }

    /// Assigns the workers to the subsets, each zone's and kind's evenly, and keeps this node's.
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

/// Most subsets that the nodes can be split into; one without gossip, since each subset would fetch the keys
/// that others hold already.
fn max_subsets(settings: &Settings) -> usize {
    if !settings.may_gossip {
        return 1;
    }
    (settings.nodes / MIN_SUBSET_NODES).max(1) as usize
}
