//! Soak runs: a fleet of real processes under faults that are drawn from a seed and overlap, judged by the rules.
//!
//! Faults of a process (a kill, a drain, silence) are each drawn for another worker or node, since a process that is
//! gone cannot fail again; faults of links, pauses and discovery hit anything at any time.

use std::fmt::Write;

use curlewusher_model::workload::random_stream;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::report::Figures;
use crate::rules::Violation;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::shared_classes::{ClassTimeouts, scenario_with_shared_classes};

/// A soak run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    pub seed: u64,
    pub nodes: usize,
    pub workers: usize,
    pub length_s: f64,
    /// How many faults are drawn.
    pub faults: usize,
}

/// No fault begins before this moment, so that all nodes have a list.
const FIRST_FAULT_S: f64 = 1.0;
/// No fault lasts into the last part of the run, in which the fleet has to recover.
const RECOVERY_S: f64 = 5.0;
const MAX_FAULT_S: f64 = 12.0;
/// A node may be held up for so long; longer pauses are faults of the machine that no limit allows for.
pub const MAX_PAUSE_S: f64 = 0.15;
const MAX_SLOWDOWN: f64 = 5.0;
/// Calls of discovery take so many times as long: the calls of all nodes do not fit any more.
const MAX_DISCOVERY_SLOWDOWN: f64 = 40.0;
/// Jobs a second for each worker: about half of what the workers can do.
const JOBS_PER_WORKER: f64 = 2.5;

/// The kinds that are drawn, with their weights.
const KINDS: [(FaultKind, u32); 18] = [
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

/// The clients' timeouts.
const TIMEOUTS: ClassTimeouts =
    ClassTimeouts { scan_view_s: 6.0, sample_register_s: 8.0, release_order_s: 10.0 };

/// The load and the fleet, without nodes, workers, classes and faults.
const SCENARIO: &str = r#"
title = "soak"
seed = 1
length_s = 1.0
[nodes]
count = 1
saved_lists = true
[fleet]
fetch_s = 0.02
warm_up_s = 4.0
list_late_s = 1.0
[load]
rate = 40.0
retries = 2
retry_wait_s = 0.1
new_connections = 0.3
"#;

impl Soak {
    /// The scenario, with all faults drawn.
    pub fn scenario(self) -> Scenario {
        let mut scenario = scenario_with_shared_classes(SCENARIO, TIMEOUTS);
        scenario.title = format!("soak {}", self.seed);
        scenario.seed = self.seed;
        scenario.length_s = self.length_s;
        scenario.nodes.count = self.nodes;
        scenario.fleet.workers = self.workers;
        scenario.fleet.bays = (self.workers / 4).max(1);
        scenario.load.rate = JOBS_PER_WORKER * self.workers as f64;
        scenario.faults = FaultDraw::new(self).draw();
        scenario
    }
}

/// Draws the faults of a run.
struct FaultDraw<R> {
    soak: Soak,
    random: R,
    /// Workers and nodes whose process has had no fault.
    workers: Vec<usize>,
    nodes: Vec<usize>,
}

impl FaultDraw<()> {
    fn new(soak: Soak) -> FaultDraw<impl Rng> {
        let mut random = random_stream(soak.seed, "soak");
        let mut workers: Vec<usize> = (0..soak.workers).collect();
        let mut nodes: Vec<usize> = (0..soak.nodes).collect();
        workers.shuffle(&mut random);
        nodes.shuffle(&mut random);
        FaultDraw { soak, random, workers, nodes }
    }
}

impl<R: Rng> FaultDraw<R> {
    fn draw(mut self) -> Vec<Fault> {
        let mut faults = Vec::new();
        while faults.len() < self.soak.faults {
            let kind = self.draw_kind();
            faults.extend(self.draw_fault(kind));
        }
        faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
        faults
    }

    fn draw_kind(&mut self) -> FaultKind {
        let all: u32 = KINDS.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.random.random_range(0..all);
        for (kind, weight) in KINDS {
            if drawn < weight {
                return kind;
            }
            drawn -= weight;
        }
        FaultKind::Kill
    }

    /// None where all processes have had their fault.
    fn draw_fault(&mut self, kind: FaultKind) -> Option<Fault> {
        let targets = self.draw_targets(kind)?;
        let last_s = self.soak.length_s - RECOVERY_S;
        let at_s = self.random.random_range(FIRST_FAULT_S..last_s);
        let longest_s =
            if kind == FaultKind::NodePause { MAX_PAUSE_S } else { MAX_FAULT_S.min(last_s - at_s) };
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

    /// Up to half of all, none of them used up.
    fn pick_some(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        all.shuffle(&mut self.random);
        all.truncate(self.random.random_range(1..=(count / 2).max(1)));
        all
    }
}

/// Takes up to a quarter of those that are left above `spare`; none where there are none.
fn take_some(random: &mut impl Rng, left: &mut Vec<usize>, spare: usize) -> Option<Vec<usize>> {
    let available = left.len().saturating_sub(spare);
    if available == 0 {
        return None;
    }
    let count = random.random_range(1..=available.div_ceil(4));
    Some(left.split_off(left.len() - count))
}

/// The head of the table of soak runs.
pub fn table_head() -> String {
    format!(
        "{:>6}{:>8}{:>10}{:>8}{:>12}{:>9}\n",
        "seed", "jobs", "in time", "faults", "violations", "crashes"
    )
}

/// One line of the table, and below it what was found.
pub fn table_row(
    scenario: &Scenario,
    figures: &Figures,
    violations: &[Violation],
    crashes: &[String],
) -> String {
    let mut row = format!(
        "{:>6}{:>8}{:>10.3}{:>8}{:>12}{:>9}\n",
        scenario.seed,
        figures.jobs,
        figures.share_in_time,
        scenario.faults.len(),
        violations.len(),
        crashes.len()
    );
    for violation in violations {
        let _ = writeln!(
            row,
            "        {:?} at {:.3} s: {}",
            violation.rule,
            violation.at.as_secs_f64(),
            violation.description
        );
    }
    for crash in crashes {
        let _ = writeln!(row, "        {crash}");
    }
    row
}
