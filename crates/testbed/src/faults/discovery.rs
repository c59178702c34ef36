//! Faults of discovery.

use std::time::Duration;

use super::FaultInjection;
use crate::fleet::FleetCommand;

impl FaultInjection<'_> {
    /// Discovery fails its polls and ends its watches.
    pub(super) async fn stop_discovery(&self) {
        self.environment.fleet.apply(FleetCommand::StopDiscovery);
        self.wait_for_end().await;
        self.environment.fleet.apply(FleetCommand::StartDiscovery);
    }

    /// Discovery takes longer for each call.
    pub(super) async fn slow_discovery(&self) {
        let usual = Duration::from_secs_f64(self.environment.scenario.fleet.discovery_call_s);
        self.environment.fleet.set_poll_duration(usual.mul_f64(self.fault.factor.unwrap_or(1.0)));
        self.wait_for_end().await;
        self.environment.fleet.set_poll_duration(usual);
    }

    /// Discovery gets a new address for each node, which reloads its configuration on SIGHUP.
    pub(super) async fn move_discovery(&self) {
        for number in self.targets.iter().copied() {
            // Without a new server the node keeps its old one.
            let Ok(discovery) = self.environment.fleet.start_discovery(number).await else { continue };
            if let Some(node) = &mut self.environment.slot(number).await.node
                && let Err(error) = node.reload_with_discovery(&self.environment.scenario, discovery)
            {
                self.environment.report_crash(error);
            }
        }
    }
}
