//! Soak runs: a fleet of real processes under faults that are drawn from a seed and overlap, checked by the rules.

mod fault_draw;
mod shutdown_draw;
mod table;

use fault_draw::FaultDraw;
use shutdown_draw::add_shutdowns;
pub use table::{table_head, table_row};

use crate::scenario::Scenario;
use crate::shared_classes::{ClassTimeouts, scenario_with_shared_classes};

/// A soak run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// The seed of the faults and of the load.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of workers.
    pub workers: usize,
    /// How long jobs arrive, in seconds.
    pub length_s: f64,
    /// How many faults are drawn.
    pub faults: usize,
    /// How many shutdowns are drawn beside them. With none the clients do not cross shutdowns either.
    pub shutdowns: usize,
}

/// Jobs a second for each worker: about half of what the workers can do.
const JOBS_PER_WORKER: f64 = 2.5;
/// Number of workers in a bay.
const WORKERS_PER_BAY: usize = 4;

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
        scenario.fleet.bays = (self.workers / WORKERS_PER_BAY).max(1);
        scenario.load.rate = JOBS_PER_WORKER * self.workers as f64;
        scenario.faults = FaultDraw::new(self).draw();
        if self.shutdowns > 0 {
            add_shutdowns(self, &mut scenario);
        }
        scenario
    }
}

#[cfg(test)]
#[path = "../../tests/unit/soak.rs"]
mod tests;
