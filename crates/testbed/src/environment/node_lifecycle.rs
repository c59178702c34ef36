//! Starts and stops of the nodes under test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::{Environment, NodeCrash, NodeSlot, SignalSeries};
use crate::admin_command::reserve_address;
use crate::event_log::{Event, Readiness};
use crate::fleet::FleetError;
use crate::nodes::{Node, NodeError, ProcessSpec, check_readiness, nonzero_violation_counters};
use crate::waiting::join_all;

/// Time from SIGTERM for a node until the client router opens no more connections to it.
const SHUTDOWN_DETECTION_DELAY: Duration = Duration::from_millis(300);
/// Time from SIGKILL for a node until the client router opens no more connections to it.
const KILL_DETECTION_DELAY: Duration = Duration::from_secs(2);
/// Minimum timeout of a graceful shutdown. If the longest timeout of a class is longer, that applies instead.
pub const MIN_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time from the end of the shutdown timeout until a process that has not exited is killed.
pub const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
/// Maximum duration of the stop of a node at the end of a run.
const FINAL_STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Method of stopping a node's process.
#[derive(Clone, Debug)]
pub enum StopMode {
    /// SIGTERM, then SIGKILL if the process does not exit in time.
    Terminate,
    /// As `Terminate`, with more signals after the first SIGTERM.
    TerminateUnderSignals(SignalSeries),
    /// SIGKILL.
    Kill,
}

/// Reason for which a node could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The node's process failed.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// The node's discovery server could not be started.
    #[error(transparent)]
    Discovery(#[from] FleetError),
}

impl Environment {
    /// Starts a node and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the node's discovery server cannot be started, or its process does not become ready.
    pub async fn start_node(&self, number: usize, listen: SocketAddr) -> Result<(), StartError> {
        let discovery = self.fleet.start_discovery(number).await?;
        let admin_address = self.has_admin_addresses.then(reserve_address);
        // Both processes of an upgrade listen on the same address, so the operating system cannot choose the
        // port.
        let must_reserve = self.has_admin_addresses && listen.port() == 0;
        let listen = if must_reserve { reserve_address() } else { listen };
        let temporary_folder = self.temporary_folder.join(format!("n{number}"));
        let saved_list = self.fleet.last_sent_list(number).filter(|_| self.scenario.nodes.saved_lists);
        let spec = ProcessSpec {
            number,
            version: 0,
            listen,
            discovery,
            admin_address,
            saved_list,
            temporary_folder,
        };
        let node = Node::start(&self.program, &self.scenario, spec).await?;
        self.node_addresses.set(number, node.address);
        *self.slot(number).await =
            NodeSlot { node: Some(node), admin_address, upgrade_processes: Vec::new() };
        self.log.record(Event::NodeReady { node: number });
        self.router.open(number);
        Ok(())
    }

    /// Starts all nodes at the same time, and waits until each is ready or has failed.
    ///
    /// # Errors
    ///
    /// Returns the error of the failed node with the lowest number.
    pub async fn start_all_nodes(self: &Arc<Self>) -> Result<(), StartError> {
        let mut starts = JoinSet::new();
        for node in 0..self.node_count() {
            let environment = self.clone();
            let listen = SocketAddr::from(([127, 0, 0, 1], 0));
            starts.spawn(async move { (node, environment.start_node(node, listen).await) });
        }
        let mut failures = BTreeMap::new();
        while let Some(started) = starts.join_next().await {
            match started {
                Ok((node, result)) => failures.extend(result.err().map(|error| (node, error))),
                Err(error) => std::panic::resume_unwind(error.into_panic()),
            }
        }
        failures.into_values().next().map_or(Ok(()), Err)
    }

    /// Stops a process that was taken out of its slot, and closes the node in the client router after a
    /// detection delay. Waits for both, so that the node's next process starts afterwards.
    pub async fn stop_node(&self, node: Node, mode: StopMode) {
        let number = node.spec.number;
        let detection_delay = match mode {
            StopMode::Terminate | StopMode::TerminateUnderSignals(_) => SHUTDOWN_DETECTION_DELAY,
            StopMode::Kill => KILL_DETECTION_DELAY,
        };
        let detection = async {
            sleep(detection_delay).await;
            self.router.close(number);
        };
        tokio::join!(detection, self.stop_process(node, mode));
    }

    async fn stop_process(&self, mut node: Node, mode: StopMode) {
        let number = node.spec.number;
        let is_killed = match mode {
            StopMode::Terminate => self.terminate_process(&mut node, &SignalSeries::default()).await,
            StopMode::TerminateUnderSignals(signals) => self.terminate_process(&mut node, &signals).await,
            StopMode::Kill => {
                // Fails only if the process has already exited.
                let _ = node.child.kill().await;
                true
            }
        };
        self.log.record(Event::NodeExited { node: number, killed: is_killed });
    }

    /// Sends SIGTERM, and SIGKILL if the process does not exit in time. Returns whether the process was
    /// killed.
    async fn terminate_process(&self, node: &mut Node, signals: &SignalSeries) -> bool {
        let number = node.spec.number;
        self.log.record(Event::NodeTerminated { node: number });
        node.signal(Signal::TERM);
        let longest_timeout_s = self.scenario.classes.iter().map(|class| class.timeout_s).fold(0.0, f64::max);
        let shutdown_timeout = MIN_SHUTDOWN_TIMEOUT.max(Duration::from_secs_f64(longest_timeout_s));
        let deadline = Instant::now() + shutdown_timeout + SHUTDOWN_MARGIN;
        match timeout_at(deadline, signals.send_until_exit(node)).await {
            Ok(Ok(status)) if status.success() => false,
            Ok(status) => {
                self.report_crash(NodeCrash::failed_exit(node, status));
                false
            }
            Err(_) => {
                // Fails only if the process has exited just after the deadline.
                let _ = node.child.kill().await;
                self.report_crash(NodeCrash::IgnoredSigterm { node: number });
                true
            }
        }
    }

    /// Sends a signal to the processes of nodes, except for nodes that are being stopped or upgraded.
    pub async fn signal_nodes(&self, nodes: &[usize], signal: Signal) {
        for number in nodes {
            if let Some(node) = &self.slot(*number).await.node {
                node.signal(signal);
            }
        }
    }

    /// Stops all nodes at the end of a run. A node whose metrics count a violation is reported as a crash.
    /// With [`StopMode::Terminate`], a node that is not ready is reported as well.
    pub async fn stop_all_nodes(&self, mode: StopMode) {
        join_all((0..self.node_count()).map(|number| self.stop_node_at_end(number, mode.clone()))).await;
    }

    async fn stop_node_at_end(&self, number: usize, mode: StopMode) {
        let Some(node) = self.slot(number).await.node.take() else { return };
        let must_be_ready = matches!(mode, StopMode::Terminate);
        if must_be_ready && check_readiness(node.address).await != Readiness::Yes {
            self.report_crash(NodeCrash::NotReadyAtEnd { node: number });
        }
        for counter in nonzero_violation_counters(node.address).await {
            self.report_crash(NodeCrash::CountedViolation { node: number, counter });
        }
        // On a timeout, the dropped handle kills the process.
        let _ = timeout(FINAL_STOP_TIMEOUT, self.stop_process(node, mode)).await;
    }
}
