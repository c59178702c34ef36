//! Faults of workers.

use std::time::Duration;

use curlewusher_model::endpoint_registry::EndpointStatus;
use tokio::time::sleep;

use super::FaultInjection;
use crate::fleet::FleetCommand;

/// A draining worker exits after this.
const WORKER_DRAIN_TIME: Duration = Duration::from_secs(5);
/// The factor of a worker that runs at its usual speed.
const USUAL_SPEED: f64 = 1.0;

impl FaultInjection<'_> {
    /// Applies a command to each target.
    fn command_each(&self, command: impl Fn(usize) -> FleetCommand) {
        self.targets.iter().for_each(|worker| self.environment.fleet.apply(command(*worker)));
    }

    /// Worker processes die and start again.
    pub(super) async fn kill_workers(&self) {
        self.command_each(FleetCommand::Kill);
        self.wait_for_end().await;
        self.start_workers();
    }

    /// Workers accept connections and requests, and answer nothing.
    pub(super) async fn silence_workers(&self) {
        self.command_each(FleetCommand::Silence);
        self.wait_for_end().await;
        self.command_each(FleetCommand::Unsilence);
    }

    /// Workers run slower.
    pub(super) async fn slow_workers(&self) {
        let factor = self.fault.factor.unwrap_or(USUAL_SPEED);
        self.command_each(|worker| FleetCommand::SetSlowdown(worker, factor));
        self.wait_for_end().await;
        self.command_each(|worker| FleetCommand::SetSlowdown(worker, USUAL_SPEED));
    }

    /// Workers complete what is running, exit, and start again.
    pub(super) async fn drain_workers(&self) {
        self.command_each(FleetCommand::Drain);
        sleep(WORKER_DRAIN_TIME).await;
        self.kill_workers().await;
    }

    /// Discovery lists workers as draining that accept jobs as before.
    pub(super) async fn announce_drain(&self) {
        self.command_each(|worker| FleetCommand::SetListedStatus(worker, EndpointStatus::Terminating));
        self.wait_for_end().await;
        self.command_each(|worker| FleetCommand::SetListedStatus(worker, EndpointStatus::InService));
    }

    /// Workers start, warming up.
    pub(super) fn start_workers(&self) {
        self.command_each(FleetCommand::Start);
    }
}
