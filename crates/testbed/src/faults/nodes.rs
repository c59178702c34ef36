//! Faults of node processes.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::{Instant, sleep, sleep_until};

use super::FaultInjection;
use crate::environment::{SignalSeries, StopMode};
use crate::scenario::FaultKind;
use crate::waiting::join_all;

/// Time between the stops of two nodes under signals. It is shorter than a drain, so that the drains overlap.
const STOP_INTERVAL: Duration = Duration::from_millis(400);
/// Number of SIGHUP signals that a node gets in a series.
const RELOADS_PER_SERIES: usize = 4;
/// Interval between the SIGHUP signals of a series.
const RELOAD_INTERVAL: Duration = Duration::from_millis(5);

impl FaultInjection<'_> {
    /// Stops the targets one after another, and starts each again if the fault has a duration.
    pub(super) async fn restart_nodes(&self) {
        let mode = if self.fault.kind == FaultKind::NodeKill { StopMode::Kill } else { StopMode::Terminate };
        for number in self.targets.iter().copied() {
            self.restart_node(number, mode.clone()).await;
        }
    }

    /// Reloads each target repeatedly, stops it under a series of signals while the one before may still
    /// drain, and starts it again if the fault has a duration.
    pub(super) async fn restart_nodes_under_signals(&self) {
        let started = Instant::now();
        join_all(self.targets.iter().enumerate().map(|(position, number)| async move {
            sleep_until(started + STOP_INTERVAL * position as u32).await;
            let stream_name = format!("signals-{}-{number}", self.index);
            let signals = SignalSeries::sample(self.environment.scenario.seed, &stream_name);
            self.reload_node_repeatedly(*number).await;
            self.restart_node(*number, StopMode::TerminateUnderSignals(signals)).await;
        }))
        .await;
    }

    /// Sends SIGHUP to each target several times, with an unchanged configuration.
    pub(super) async fn reload_nodes_repeatedly(&self) {
        join_all(self.targets.iter().map(|number| self.reload_node_repeatedly(*number))).await;
    }

    async fn reload_node_repeatedly(&self, number: usize) {
        for _ in 0..RELOADS_PER_SERIES {
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
        // The downtime begins at the exit, so that a restart does not overlap the graceful shutdown.
        sleep(Duration::from_secs_f64(downtime_s)).await;
        if let Err(error) = self.environment.start_node(number, address).await {
            self.environment.report_crash(error);
        }
    }

    /// Pauses the processes of the targets by SIGSTOP, and continues them at the end of the fault.
    pub(super) async fn pause_nodes(&self) {
        self.environment.signal_nodes(&self.targets, Signal::STOP).await;
        self.wait_for_end().await;
        self.environment.signal_nodes(&self.targets, Signal::CONT).await;
    }
}
