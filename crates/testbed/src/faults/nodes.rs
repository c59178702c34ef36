//! Faults of the nodes' processes.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::{Instant, sleep, sleep_until};

use super::FaultInjection;
use crate::environment::{SignalSeries, StopMode};
use crate::scenario::FaultKind;
use crate::waiting::join_all;

/// The next node is stopped this long after the one before: it begins to drain while that one does.
const STOP_INTERVAL: Duration = Duration::from_millis(400);
/// How often a node gets SIGHUP in a series, and how quickly.
const RELOADS: usize = 4;
const RELOAD_INTERVAL: Duration = Duration::from_millis(5);

impl FaultInjection<'_> {
    /// Nodes are stopped one after another, and each is started again where the fault has a duration.
    pub(super) async fn restart_nodes(&self) {
        let mode = if self.fault.kind == FaultKind::NodeKill { StopMode::Kill } else { StopMode::Terminate };
        for number in self.targets.iter().copied() {
            self.restart_node(number, mode.clone()).await;
        }
    }

    /// Nodes are stopped under signals, each while the one before may still drain, and started again.
    pub(super) async fn restart_nodes_under_signals(&self) {
        let started = Instant::now();
        join_all(self.targets.iter().enumerate().map(|(position, number)| async move {
            sleep_until(started + STOP_INTERVAL * position as u32).await;
            let concern = format!("signals-{}-{number}", self.index);
            let signals = SignalSeries::draw(self.environment.scenario.seed, &concern);
            self.reload_repeatedly(*number).await;
            self.restart_node(*number, StopMode::TerminateUnderSignals(signals)).await;
        }))
        .await;
    }

    /// Nodes get SIGHUP several times, with nothing changed.
    pub(super) async fn reload_series(&self) {
        join_all(self.targets.iter().map(|number| self.reload_repeatedly(*number))).await;
    }

    async fn reload_repeatedly(&self, number: usize) {
        for _ in 0..RELOADS {
            self.environment.signal_nodes(&[number], Signal::HUP).await;
            sleep(RELOAD_INTERVAL).await;
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
