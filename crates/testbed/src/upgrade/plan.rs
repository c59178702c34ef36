//! What is drawn for an upgrade: its delay, and the kill of one of the two processes.

use std::time::Duration;

use curlewusher_model::workload::random_stream;
use rand::Rng;

use crate::scenario::{Fault, FaultKind, MAX_DELAY_S, Scenario, UpgradeProcess};

/// A kill in an upgrade comes at most this long after the wait for SIGTERM, in seconds.
const KILL_AFTER_DELAY_S: f64 = 1.0;

/// A kill of one of the two processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedKill {
    /// The process that is killed.
    pub victim: UpgradeProcess,
    /// Time from the start of the successor.
    pub after: Duration,
}

/// What is drawn for an upgrade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpgradePlan {
    /// Wait between the successor's first yes and SIGTERM for the predecessor.
    pub delay: Duration,
    /// The process that is to be killed, if any.
    pub kill: Option<PlannedKill>,
}

impl UpgradePlan {
    /// Draws a plan from the scenario's seed; each concern has a random stream of its own.
    pub fn draw(scenario: &Scenario, fault: &Fault, concern: &str) -> UpgradePlan {
        let mut random = random_stream(scenario.seed, concern);
        let delay_s = random.random::<f64>() * fault.delay_s.unwrap_or(MAX_DELAY_S);
        let kill_s = random.random::<f64>() * (delay_s + KILL_AFTER_DELAY_S);
        let drawn_victim =
            if random.random() { UpgradeProcess::Predecessor } else { UpgradeProcess::Successor };
        let kill = (fault.kind == FaultKind::KillInUpgrade).then(|| PlannedKill {
            victim: fault.victim.unwrap_or(drawn_victim),
            after: Duration::from_secs_f64(kill_s),
        });
        UpgradePlan { delay: Duration::from_secs_f64(delay_s), kill }
    }
}
