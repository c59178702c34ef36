//! Faults of workers.

use std::time::Duration;

use curlewusher_model::endpoint_registry::EndpointStatus;
use tokio::time::sleep;

use super::FaultInjection;
use crate::fleet::FleetCommand;

/// Time from the start of a worker's drain until the worker exits.
const WORKER_DRAIN_TIME: Duration = Duration::from_secs(5);
/// Slowdown factor of a worker that runs at its normal speed.
const NO_SLOWDOWN: f64 = 1.0;

impl FaultInjection<'_> {
    /// Applies a command to each of the targets.
    fn apply_to_targets(&self, command: impl Fn(usize) -> FleetCommand) {
        self.targets.iter().for_each(|worker| self.environment.fleet.apply(command(*worker)));
    }

    /// Kills the targets, and starts them again at the end of the fault.
    pub(super) async fn kill_workers(&self) {
        self.apply_to_targets(FleetCommand::Kill);
        self.wait_for_end().await;
        self.start_workers();
    }

    /// Makes the targets accept connections and requests without a response until the end of the fault.
    pub(super) async fn make_workers_unresponsive(&self) {
        self.apply_to_targets(FleetCommand::MakeUnresponsive);
        self.wait_for_end().await;
        self.apply_to_targets(FleetCommand::MakeResponsive);
    }

    /// Slows the targets down by the factor of the fault until its end.
    pub(super) async fn slow_workers(&self) {
        let factor = self.fault.factor.unwrap_or(NO_SLOWDOWN);
        self.apply_to_targets(|worker| FleetCommand::SetSlowdown(worker, factor));
        self.wait_for_end().await;
        self.apply_to_targets(|worker| FleetCommand::SetSlowdown(worker, NO_SLOWDOWN));
    }

    /// Drains the targets, kills them after the drain, and starts them again at the end of the fault.
    pub(super) async fn drain_workers(&self) {
        self.apply_to_targets(FleetCommand::Drain);
        sleep(WORKER_DRAIN_TIME).await;
        self.kill_workers().await;
    }

    /// Makes discovery list the targets as draining until the end of the fault, while they accept jobs as
    /// before.
    pub(super) async fn announce_drain(&self) {
        self.apply_to_targets(|worker| FleetCommand::SetListedStatus(worker, EndpointStatus::Terminating));
        self.wait_for_end().await;
        self.apply_to_targets(|worker| FleetCommand::SetListedStatus(worker, EndpointStatus::InService));
    }

    /// Starts the targets, which then warm up.
    pub(super) fn start_workers(&self) {
        self.apply_to_targets(FleetCommand::Start);
    }
}
