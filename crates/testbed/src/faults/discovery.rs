//! Faults of discovery servers.

use std::time::Duration;

use super::FaultInjection;
use crate::fleet::FleetCommand;

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
