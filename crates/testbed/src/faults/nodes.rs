//! Faults of the nodes' processes.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use super::FaultInjection;
use crate::environment::StopMode;
use crate::scenario::FaultKind;

impl FaultInjection<'_> {
    /// Nodes are stopped one after another, and each is started again where the fault has a duration.
    pub(super) async fn restart_nodes(&self) {
        let mode = if self.fault.kind == FaultKind::NodeKill { StopMode::Kill } else { StopMode::Terminate };
        for number in self.targets.iter().copied() {
            self.restart_node(number, mode).await;
        }
    }

    async fn restart_node(&self, number: usize, mode: StopMode) {
        let taken = self.environment.slot(number).await.node.take();
        let Some(node) = taken else { return };
        let address = node.address;
        self.environment.stop_node(node, mode).await;
        let Some(downtime_s) = self.fault.for_s else { return };
        // Counted from its exit: a restart does not overlap the graceful shutdown.
        sleep(Duration::from_secs_f64(downtime_s)).await;
        if let Err(error) = self.environment.start_node(number, address).await {
            self.environment.report_crash(error);
        }
    }

    /// The processes of nodes are stopped by a signal, and continued at the end.
    pub(super) async fn pause_nodes(&self) {
        self.environment.signal_nodes(&self.targets, Signal::STOP).await;
        self.wait_for_end().await;
        self.environment.signal_nodes(&self.targets, Signal::CONT).await;
    }
}
