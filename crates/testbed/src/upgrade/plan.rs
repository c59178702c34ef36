//! Random plan of an upgrade: the delay of SIGTERM, and the kill of one of the two processes.

use std::time::Duration;

use curlewusher_model::workload::random_stream;
use rand::Rng;

use crate::scenario::{Fault, FaultKind, MAX_SIGTERM_DELAY_S, Scenario, UpgradeProcess};

/// Time by which the delay of a planned kill may exceed the delay of SIGTERM, in seconds.
const KILL_DELAY_MARGIN_S: f64 = 1.0;

/// Planned kill of one of the two processes of an upgrade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedKill {
    /// Process that is killed.
    pub victim: UpgradeProcess,
    /// Delay of the kill after the start of the upgrade.
    pub after: Duration,
}

/// Sampled parameters of an upgrade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpgradePlan {
    /// Time from the successor's first confirmation of READY to SIGTERM for the predecessor.
    pub delay: Duration,
    /// Planned kill, if any.
    pub kill: Option<PlannedKill>,
}

impl UpgradePlan {
    /// Samples a plan from the random stream `stream_name`, which is derived from the scenario's seed.
    pub fn sample(scenario: &Scenario, fault: &Fault, stream_name: &str) -> UpgradePlan {
        let mut random = random_stream(scenario.seed, stream_name);
        let delay_s = random.random::<f64>() * fault.delay_s.unwrap_or(MAX_SIGTERM_DELAY_S);
        let kill_s = random.random::<f64>() * (delay_s + KILL_DELAY_MARGIN_S);
        let random_victim =
            if random.random() { UpgradeProcess::Predecessor } else { UpgradeProcess::Successor };
        let kill = (fault.kind == FaultKind::KillInUpgrade).then(|| PlannedKill {
            victim: fault.victim.unwrap_or(random_victim),
            after: Duration::from_secs_f64(kill_s),
        });
        UpgradePlan { delay: Duration::from_secs_f64(delay_s), kill }
    }
}
