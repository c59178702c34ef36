//! The faults of a soak run, drawn from its seed.
//!
//! Faults of a process (a kill, a drain, silence) are each drawn for another worker or node, since a process that is
//! gone cannot fail again; faults of links, pauses and discovery hit anything at any time.

use curlewusher_model::workload::random_stream;
use rand::Rng;
use rand::seq::SliceRandom;

use super::Soak;
use crate::scenario::{Fault, FaultKind};

/// No fault begins before this moment, so that all nodes have an endpoint list.
const FIRST_FAULT_S: f64 = 1.0;
/// No fault lasts into the last part of the run, in which the fleet has to recover.
const RECOVERY_S: f64 = 5.0;
/// The longest duration of a fault.
const MAX_FAULT_S: f64 = 12.0;
/// The longest pause of a node's process; longer ones are faults of the machine that no time limit allows for.
pub(super) const MAX_PAUSE_S: f64 = 0.15;
/// The largest slowdown of a worker.
const MAX_SLOWDOWN: f64 = 5.0;
/// The largest slowdown of discovery, at which it cannot serve the polls of all nodes.
const MAX_DISCOVERY_SLOWDOWN: f64 = 40.0;

/// The kinds that are drawn, with their weights.
const WEIGHTED_KINDS: [(FaultKind, u32); 18] = [
    (FaultKind::Kill, 4),
    (FaultKind::Drain, 2),
    (FaultKind::AnnouncedDrain, 6),
    (FaultKind::Silent, 2),
    (FaultKind::Slow, 2),
    (FaultKind::DiscoveryDown, 3),
    (FaultKind::DiscoverySlow, 3),
    (FaultKind::Reload, 1),
    (FaultKind::NodeKill, 5),
    (FaultKind::NodeStop, 2),
    (FaultKind::NodePause, 3),
    (FaultKind::DiscoveryLinkCut, 4),
    (FaultKind::DiscoveryLinkRefused, 5),
    (FaultKind::DiscoveryLinkReset, 3),
    (FaultKind::DiscoveryLinkSlow, 2),
    (FaultKind::WorkerLinkCut, 2),
    (FaultKind::WorkerLinkReset, 3),
    (FaultKind::WorkerLinkSlow, 2),
];

/// Draws the faults of a run.
pub(super) struct FaultDraw<R> {
    soak: Soak,
    random: R,
    /// Workers whose process has had no fault.
    workers: Vec<usize>,
    /// Nodes whose process has had no fault.
    nodes: Vec<usize>,
}

impl FaultDraw<()> {
    /// A draw from the random stream of the run's seed.
    pub(super) fn new(soak: Soak) -> FaultDraw<impl Rng> {
        let mut random = random_stream(soak.seed, "soak");
        let mut workers: Vec<usize> = (0..soak.workers).collect();
        let mut nodes: Vec<usize> = (0..soak.nodes).collect();
        workers.shuffle(&mut random);
        nodes.shuffle(&mut random);
        FaultDraw { soak, random, workers, nodes }
    }
}

impl<R: Rng> FaultDraw<R> {
    /// The faults, in the order of their begins.
    pub(super) fn draw(mut self) -> Vec<Fault> {
        let mut faults = Vec::new();
        while faults.len() < self.soak.faults {
            let kind = self.draw_kind();
            faults.extend(self.draw_fault(kind));
        }
        faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
        faults
    }

    fn draw_kind(&mut self) -> FaultKind {
        let all: u32 = WEIGHTED_KINDS.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.random.random_range(0..all);
        for (kind, weight) in WEIGHTED_KINDS {
            if drawn < weight {
                return kind;
            }
            drawn -= weight;
        }
        FaultKind::Kill
    }

    /// None if all processes have had their fault.
    fn draw_fault(&mut self, kind: FaultKind) -> Option<Fault> {
        let targets = self.draw_targets(kind)?;
        let last_s = self.soak.length_s - RECOVERY_S;
        let at_s = self.random.random_range(FIRST_FAULT_S..last_s);
        let longest_s = match kind {
            FaultKind::NodePause => MAX_PAUSE_S,
            _ => MAX_FAULT_S.min(last_s - at_s),
        };
        let for_s = self.random.random_range(0.0..=longest_s);
        let factor = match kind {
            FaultKind::Slow => Some(self.random.random_range(1.0..MAX_SLOWDOWN)),
            FaultKind::DiscoverySlow => Some(self.random.random_range(1.0..MAX_DISCOVERY_SLOWDOWN)),
            _ => None,
        };
        Some(Fault { at_s, for_s: Some(for_s), targets, factor, ..Fault::of_kind(kind) })
    }

    fn draw_targets(&mut self, kind: FaultKind) -> Option<Vec<usize>> {
        match kind {
            FaultKind::DiscoveryDown | FaultKind::DiscoverySlow => Some(Vec::new()),
            // Often several at once, as when a zone is lost; a third of all keep running.
            FaultKind::Kill
            | FaultKind::Drain
            | FaultKind::AnnouncedDrain
            | FaultKind::Silent
            | FaultKind::Slow => {
                let spare = self.soak.workers / 3;
                take_some(&mut self.random, &mut self.workers, spare)
            }
            FaultKind::NodeKill | FaultKind::NodeStop => {
                let spare = self.soak.nodes / 3;
                take_some(&mut self.random, &mut self.nodes, spare)
            }
            kind if kind.targets_nodes() => Some(self.pick_some(self.soak.nodes)),
            _ => Some(self.pick_some(self.soak.workers)),
        }
    }

    /// Up to half of all. They can have another fault afterwards.
    fn pick_some(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        all.shuffle(&mut self.random);
        all.truncate(self.random.random_range(1..=(count / 2).max(1)));
        all
    }
}

/// Takes up to a quarter of those that remain above `spare`; none if there are none.
fn take_some(random: &mut impl Rng, remaining: &mut Vec<usize>, spare: usize) -> Option<Vec<usize>> {
    let available = remaining.len().saturating_sub(spare);
    if available == 0 {
        return None;
    }
    let count = random.random_range(1..=available.div_ceil(4));
    Some(remaining.split_off(remaining.len() - count))
}
