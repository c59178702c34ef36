//! Faults of discovery servers.

use std::time::Duration;

use curlewusher_model::TimeSpan;

use super::FaultInjection;
use crate::fleet::{FleetCommand, HEARTBEAT_INTERVAL};

impl FaultInjection<'_> {
    /// Makes discovery fail polls and end watches until the end of the fault.
    pub(super) async fn stop_discovery(&self) {
        self.environment.fleet.apply(FleetCommand::StopDiscovery);
        self.wait_for_end().await;
        self.environment.fleet.apply(FleetCommand::StartDiscovery);
    }

    /// Multiplies the duration of discovery's polls by the factor of the fault until its end.
    pub(super) async fn slow_discovery(&self) {
        let normal_duration = Duration::from_secs_f64(self.environment.scenario.fleet.discovery_call_s);
        self.environment.fleet.set_poll_duration(normal_duration.mul_f64(self.fault.factor.unwrap_or(1.0)));
        self.wait_for_end().await;
        self.environment.fleet.set_poll_duration(normal_duration);
    }

    /// Delays the lines of the watches until the end of the fault. A heartbeat interval then seems to take the
    /// factor of the fault as long, so that each line is later than the one before it.
    pub(super) async fn delay_watch_lines(&self) {
        let growth = HEARTBEAT_INTERVAL.mul_f64((self.fault.factor.unwrap_or(1.0) - 1.0).max(0.0));
        let growth = TimeSpan::from_secs_f64(growth.as_secs_f64());
        self.environment.fleet.apply(FleetCommand::DelayWatchLines { growth });
        self.wait_for_end().await;
        self.environment.fleet.apply(FleetCommand::DelayWatchLines { growth: TimeSpan::ZERO });
    }

    /// Starts a new discovery server for each target, and makes the node reload its configuration with the
    /// new address.
    pub(super) async fn change_discovery_addresses(&self) {
        for number in self.targets.iter().copied() {
            // If the new server cannot be started, the node keeps its present one.
            let Ok(discovery) = self.environment.fleet.start_discovery(number).await else { continue };
            if let Some(node) = &mut self.environment.slot(number).await.node
                && let Err(error) = node.reload_with_discovery(&self.environment.scenario, discovery)
            {
                self.environment.report_crash(error);
            }
        }
    }
}
