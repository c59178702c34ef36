//! Random faults of a soak run, generated from its seed.
//!
//! Each worker and each node gets at most one fault of its process (for example a kill, a drain, or
//! unresponsiveness), because a process that has exited cannot fail again. Faults of links, pauses and faults
//! of discovery can affect any target at any time.

use curlewusher_model::workload::random_stream;
use rand::Rng;
use rand::seq::SliceRandom;

use super::SoakRun;
use crate::scenario::{Fault, FaultKind};

/// Earliest time at which a fault begins, in seconds, so that all nodes have an endpoint list by then.
const FIRST_FAULT_S: f64 = 1.0;
/// Length of the last part of the run, in seconds, in which the fleet has to recover. No fault begins in this
/// part. Pauses, drains of workers and downtimes of nodes, which count from their exits, may last into it.
const RECOVERY_S: f64 = 5.0;
/// Maximum duration of a fault, in seconds.
const MAX_FAULT_DURATION_S: f64 = 12.0;
/// Maximum pause of a node's process, in seconds. Time limits do not allow for longer pauses, which count as
/// faults of the machine.
pub(super) const MAX_PAUSE_S: f64 = 0.15;
/// Maximum slowdown factor of a worker.
const MAX_SLOWDOWN: f64 = 5.0;
/// Maximum slowdown factor of discovery, at which discovery cannot serve the polls of all nodes.
const MAX_DISCOVERY_SLOWDOWN: f64 = 40.0;

/// Maximum slowdown factor of the lines of a watch. At 1.5, each line takes as long as the silence after which
/// a watch counts as broken.
const MAX_LINE_SLOWDOWN: f64 = 1.5;

/// Kinds of the generated faults, with their weights.
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

/// Generator of the faults of a run.
pub(super) struct FaultGenerator<R> {
    soak: SoakRun,
    random: R,
    /// Workers whose process has no fault so far.
    workers: Vec<usize>,
    /// Nodes whose process has no fault so far.
    nodes: Vec<usize>,
}

impl FaultGenerator<()> {
    /// Creates a generator with the random stream `soak` of the run's seed.
    pub(super) fn new(soak: SoakRun) -> FaultGenerator<impl Rng> {
        let mut random = random_stream(soak.seed, "soak");
        let mut workers: Vec<usize> = (0..soak.workers).collect();
        let mut nodes: Vec<usize> = (0..soak.nodes).collect();
        workers.shuffle(&mut random);
        nodes.shuffle(&mut random);
        FaultGenerator { soak, random, workers, nodes }
    }
}

impl<R: Rng> FaultGenerator<R> {
    /// Returns the faults in the order of their start times. In half of the runs, late lines of the watches are
    /// added to the number of faults that the run has.
    pub(super) fn generate(mut self) -> Vec<Fault> {
        let mut faults = Vec::from_iter(generate_late_lines(self.soak));
        self.soak.faults += faults.len();
        while faults.len() < self.soak.faults {
            let kind = self.pick_kind();
            faults.extend(self.generate_fault(kind));
        }
        faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
        faults
    }

    fn pick_kind(&mut self) -> FaultKind {
        let all: u32 = WEIGHTED_KINDS.iter().map(|(_, weight)| weight).sum();
        let mut offset = self.random.random_range(0..all);
        for (kind, weight) in WEIGHTED_KINDS {
            if offset < weight {
                return kind;
            }
            offset -= weight;
        }
        FaultKind::Kill
    }

    /// Returns a fault of a kind at a random time, or `None` if no target is left for a fault of its process.
    fn generate_fault(&mut self, kind: FaultKind) -> Option<Fault> {
        let targets = self.pick_targets(kind)?;
        let latest_s = self.soak.length_s - RECOVERY_S;
        let at_s = self.random.random_range(FIRST_FAULT_S..latest_s);
        let max_duration_s = match kind {
            FaultKind::NodePause => MAX_PAUSE_S,
            _ => MAX_FAULT_DURATION_S.min(latest_s - at_s),
        };
        let for_s = self.random.random_range(0.0..=max_duration_s);
        let factor = match kind {
            FaultKind::Slow => Some(self.random.random_range(1.0..MAX_SLOWDOWN)),
            FaultKind::DiscoverySlow => Some(self.random.random_range(1.0..MAX_DISCOVERY_SLOWDOWN)),
            _ => None,
        };
        Some(Fault { at_s, for_s: Some(for_s), targets, factor, ..Fault::of_kind(kind) })
    }

    fn pick_targets(&mut self, kind: FaultKind) -> Option<Vec<usize>> {
        match kind {
            FaultKind::DiscoveryDown | FaultKind::DiscoverySlow | FaultKind::DiscoveryLinesLate => {
                Some(Vec::new())
            }
            // A fault often affects several workers at once, as the loss of a zone does. A third of the
            // workers, rounded down, never get such a fault. Nodes are treated in the same way.
            FaultKind::Kill
            | FaultKind::Drain
            | FaultKind::AnnouncedDrain
            | FaultKind::Silent
            | FaultKind::Slow => {
                let min_remaining = self.soak.workers / 3;
                take_healthy_targets(&mut self.random, &mut self.workers, min_remaining)
            }
            FaultKind::NodeKill | FaultKind::NodeStop => {
                let min_remaining = self.soak.nodes / 3;
                take_healthy_targets(&mut self.random, &mut self.nodes, min_remaining)
            }
            kind if kind.targets_nodes() => Some(self.pick_any_targets(self.soak.nodes)),
            _ => Some(self.pick_any_targets(self.soak.workers)),
        }
    }

    /// Picks up to half of all targets at random. A target can have several of these faults.
    fn pick_any_targets(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        all.shuffle(&mut self.random);
        all.truncate(self.random.random_range(1..=(count / 2).max(1)));
        all
    }
}

/// Generates late lines of the watches with a random stream of their own, so that the other faults of a seed
/// do not depend on them. They end when the fleet begins to recover.
fn generate_late_lines(soak: SoakRun) -> Option<Fault> {
    let mut random = random_stream(soak.seed, "soak-late-lines");
    if soak.faults == 0 || random.random_bool(0.5) {
        return None;
    }
    let at_s = random.random_range(FIRST_FAULT_S..(soak.length_s - RECOVERY_S) / 2.0);
    let for_s = soak.length_s - RECOVERY_S - at_s;
    let factor = Some(random.random_range(1.0..MAX_LINE_SLOWDOWN));
    Some(Fault { at_s, for_s: Some(for_s), factor, ..Fault::of_kind(FaultKind::DiscoveryLinesLate) })
}

/// Takes a random number of targets from `remaining`: at most a quarter, rounded up, of those in excess of
/// `min_remaining`. Returns `None` if `remaining` has at most `min_remaining` targets.
fn take_healthy_targets(
    random: &mut impl Rng,
    remaining: &mut Vec<usize>,
    min_remaining: usize,
) -> Option<Vec<usize>> {
    let available = remaining.len().saturating_sub(min_remaining);
    if available == 0 {
        return None;
    }
    let count = random.random_range(1..=available.div_ceil(4));
    Some(remaining.split_off(remaining.len() - count))
}
