//! Soak runs: a fleet of real processes under overlapping faults that are generated from a seed, checked
//! against the rules.

mod fault_generator;
mod shutdown_generator;
mod table;

use fault_generator::FaultGenerator;
use shutdown_generator::add_shutdowns;
pub use table::{table_head, table_row};

use crate::scenario::Scenario;
use crate::shared_classes::{ClassTimeouts, scenario_with_shared_classes};

/// Parameters of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct SoakRun {
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of workers.
    pub workers: usize,
    /// Duration for which jobs arrive, in seconds.
    pub length_s: f64,
    /// Number of generated faults.
    pub faults: usize,
    /// Number of shutdowns that are generated in addition to the faults. If it is 0, the scenario also has no
    /// clients that keep using their connections during shutdowns.
    pub shutdowns: usize,
}

/// Number of jobs per second for each worker, about half of the capacity of a worker.
const JOBS_PER_S_PER_WORKER: f64 = 2.5;
/// Number of workers in a cell.
const WORKERS_PER_CELL: usize = 4;

/// Clients' timeouts in a soak run without shutdowns.
const TIMEOUTS: ClassTimeouts =
    ClassTimeouts { scan_view_s: 6.0, sample_register_s: 8.0, release_order_s: 10.0 };

/// Scenario without classes and faults. [`SoakRun::scenario`] sets the numbers of nodes and workers, and the
/// rate.
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

impl SoakRun {
    /// Returns the scenario of the run, with all generated faults and shutdowns.
    pub fn scenario(self) -> Scenario {
        let mut scenario = scenario_with_shared_classes(SCENARIO, TIMEOUTS);
        scenario.title = format!("soak {}", self.seed);
        scenario.seed = self.seed;
        scenario.length_s = self.length_s;
        scenario.nodes.count = self.nodes;
        scenario.fleet.workers = self.workers;
        scenario.fleet.bays = (self.workers / WORKERS_PER_CELL).max(1);
        scenario.load.rate = JOBS_PER_S_PER_WORKER * self.workers as f64;
        scenario.faults = FaultGenerator::new(self).generate();
        if self.shutdowns > 0 {
            add_shutdowns(self, &mut scenario);
        }
        scenario
    }
}

#[cfg(test)]
#[path = "../../tests/unit/soak.rs"]
mod tests;
