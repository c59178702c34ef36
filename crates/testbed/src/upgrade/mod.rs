//! Upgrades of a node: a successor is started beside the node's process and takes over.
//!
//! | event | action |
//! | --- | --- |
//! | the successor confirms READY | the predecessor gets SIGTERM after the delay of the plan |
//! | the successor is not ready in time | the successor is killed; a crash |
//! | the predecessor does not exit in time after SIGTERM | the predecessor is killed; a crash |
//! | the time of the planned kill is reached | the victim gets SIGKILL |
//! | the successor exits | the predecessor stays in service; a crash unless the kill was planned |
//! | the predecessor exits | the successor stays in service; a crash unless `ProcessExit::is_expected` |
//!
//! If both processes have exited, the node is started again. Crashes are recorded as [`NodeCrash`].

mod plan;
mod state;

use std::net::SocketAddr;
use std::process::ExitStatus;
use std::time::Duration;

use tokio::time::{Instant, sleep};

pub use plan::UpgradePlan;
use state::{UpgradeState, wait_for_exit};

use crate::admin_command::reserve_address;
use crate::environment::{Environment, NodeCrash};
use crate::event_log::{Event, ExpectedResponse};
use crate::nodes::{Node, NodeFailure, ProcessSpec};
use crate::operator_actions::send_command_to_address;
use crate::scenario::UpgradeProcess;
use crate::waiting::wait_until;

/// Interval between READY commands to the successor until it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Exit of one of the two processes of an upgrade.
struct ProcessExit {
    process: Option<Node>,
    role: UpgradeProcess,
    /// Whether the testbed killed the process as planned.
    killed: bool,
    /// Whether the exit was planned, or is a successful exit of the predecessor after the successor was
    /// ready. Any other exit is a crash.
    is_expected: bool,
}

/// Event in the course of an upgrade.
enum UpgradeEvent {
    PredecessorExited(Option<ExitStatus>),
    SuccessorExited,
    SuccessorAnswered { is_ready: bool },
    KillDue,
    SigtermDue,
    SigkillDue,
    ReadyDeadlineExpired,
}

/// Upgrades a node, and returns once the node has a single process again.
pub async fn upgrade_node(environment: &Environment, node: usize, plan: UpgradePlan) {
    NodeUpgrade { environment, node, plan }.run().await;
}

/// Upgrade of one node.
struct NodeUpgrade<'run> {
    environment: &'run Environment,
    node: usize,
    plan: UpgradePlan,
}

impl NodeUpgrade<'_> {
    async fn run(&self) {
        let started_at = Instant::now();
        let Some(predecessor) = self.take_predecessor().await else {
            return self.environment.report_crash(NodeCrash::NoProcessToUpgrade { node: self.node });
        };
        self.record(Event::UpgradeBegan { node: self.node });
        let address = predecessor.address;
        let successor = self.start_successor(&predecessor).await;
        let mut state = UpgradeState::new(predecessor, successor, self.plan, started_at);
        while state.is_in_progress() {
            let event = self.next_event(&mut state).await;
            self.handle_event(event, &mut state).await;
        }
        self.finish(state, address).await;
    }

    fn record(&self, event: Event) {
        self.environment.log.record(event);
    }

    /// Takes the node's process out of its slot. The cost of the process is still sampled.
    async fn take_predecessor(&self) -> Option<Node> {
        let mut slot = self.environment.slot(self.node).await;
        let process = slot.node.take()?;
        slot.upgrade_processes = process.child.id().into_iter().collect();
        Some(process)
    }

    /// Starts the successor on the predecessor's address. If that fails, reports a crash and returns `None`.
    async fn start_successor(&self, predecessor: &Node) -> Option<Node> {
        let spec = ProcessSpec {
            saved_list: None,
            version: predecessor.spec.version + 1,
            listen: predecessor.address,
            admin_address: Some(reserve_address()),
            ..predecessor.spec.clone()
        };
        let started = Node::spawn(&self.environment.program, &self.environment.scenario, spec);
        let successor = started.map_err(|error| self.environment.report_crash(error)).ok();
        let process_id = successor.as_ref().and_then(|successor| successor.child.id());
        self.environment.slot(self.node).await.upgrade_processes.extend(process_id);
        successor
    }

    /// Puts the remaining process into the node's slot, or starts the node again if no process remains.
    async fn finish(&self, state: UpgradeState, address: SocketAddr) {
        let UpgradeState { predecessor, successor, killed_process, .. } = state;
        let remaining = successor.or(predecessor);
        let has_process = remaining.is_some();
        let mut slot = self.environment.slot(self.node).await;
        slot.upgrade_processes.clear();
        slot.admin_address = admin_address_of(remaining.as_ref());
        slot.node = remaining;
        drop(slot);
        if !has_process {
            self.record(Event::NodeExited { node: self.node, killed: killed_process.is_some() });
            if let Err(error) = self.environment.start_node(self.node, address).await {
                self.environment.report_crash(error);
            }
        }
        self.record(Event::UpgradeEnded { node: self.node });
    }

    async fn next_event(&self, state: &mut UpgradeState) -> UpgradeEvent {
        let successor_address = admin_address_of(state.successor.as_ref());
        let is_ready = state.is_ready;
        let ready_poll = async {
            match successor_address {
                Some(address) if !is_ready => self.poll_readiness(address).await,
                _ => std::future::pending().await,
            }
        };
        let kill_at = state.kill_at();
        tokio::select! {
            status = wait_for_exit(&mut state.predecessor) => UpgradeEvent::PredecessorExited(status),
            _ = wait_for_exit(&mut state.successor) => UpgradeEvent::SuccessorExited,
            is_ready = ready_poll => UpgradeEvent::SuccessorAnswered { is_ready },
            () = wait_until(kill_at) => UpgradeEvent::KillDue,
            () = wait_until(state.sigterm_at) => UpgradeEvent::SigtermDue,
            () = wait_until(state.sigkill_at) => UpgradeEvent::SigkillDue,
            () = wait_until(state.ready_deadline) => UpgradeEvent::ReadyDeadlineExpired,
        }
    }

    /// Sends READY to the successor after the poll interval. Returns whether the successor confirms the
    /// command.
    async fn poll_readiness(&self, successor: SocketAddr) -> bool {
        sleep(READY_POLL_INTERVAL).await;
        let expected = ExpectedResponse::Either;
        send_command_to_address(self.environment, successor, self.node, "READY", expected)
            .await
            .is_confirmed()
    }

    async fn handle_event(&self, event: UpgradeEvent, state: &mut UpgradeState) {
        match event {
            UpgradeEvent::PredecessorExited(status) => self.handle_predecessor_exit(status, state),
            UpgradeEvent::SuccessorExited => self.handle_successor_exit(state).await,
            UpgradeEvent::SuccessorAnswered { is_ready: false } => {}
            UpgradeEvent::SuccessorAnswered { is_ready: true } => self.handle_readiness(state).await,
            UpgradeEvent::KillDue => state.kill_victim(),
            UpgradeEvent::SigtermDue => state.terminate_predecessor(),
            UpgradeEvent::SigkillDue => {
                state.sigkill_at = None;
                if self.kill_failed_process(state.predecessor.take(), NodeFailure::IgnoredSigterm).await {
                    self.record(Event::ProcessExited { node: self.node, is_successor: false, killed: false });
                }
            }
            UpgradeEvent::ReadyDeadlineExpired => {
                state.ready_deadline = None;
                if self.kill_failed_process(state.successor.take(), NodeFailure::SuccessorNotReady).await {
                    self.record(Event::ProcessExited { node: self.node, is_successor: true, killed: true });
                }
            }
        }
    }

    /// Directs admin commands to the successor from now on, and schedules SIGTERM for the predecessor.
    async fn handle_readiness(&self, state: &mut UpgradeState) {
        self.record(Event::SuccessorReady { node: self.node });
        state.is_ready = true;
        state.ready_deadline = None;
        state.sigterm_at = state.predecessor.as_ref().map(|_| Instant::now() + self.plan.delay);
        self.environment.slot(self.node).await.admin_address = admin_address_of(state.successor.as_ref());
    }

    fn handle_predecessor_exit(&self, status: Option<ExitStatus>, state: &mut UpgradeState) {
        let role = UpgradeProcess::Predecessor;
        let killed = state.killed_process == Some(role);
        let is_normal_exit = state.is_ready && status.is_some_and(|status| status.success());
        let process = state.predecessor.take();
        self.record_exit(ProcessExit { process, role, killed, is_expected: killed || is_normal_exit });
        state.sigterm_at = None;
        state.sigkill_at = None;
    }

    /// Handles an exit of the successor, which is a crash with any exit status unless the testbed killed it
    /// as planned. The predecessor then gets no SIGTERM. If it already got one, the upgrade waits for its
    /// exit.
    async fn handle_successor_exit(&self, state: &mut UpgradeState) {
        let role = UpgradeProcess::Successor;
        let killed = state.killed_process == Some(role);
        let process = state.successor.take();
        self.record_exit(ProcessExit { process, role, killed, is_expected: killed });
        state.ready_deadline = None;
        state.sigterm_at = None;
        self.environment.slot(self.node).await.admin_address = admin_address_of(state.predecessor.as_ref());
    }

    /// Kills a process and reports its failure as a crash. Returns `false` if there is no process.
    async fn kill_failed_process(&self, process: Option<Node>, failure: NodeFailure) -> bool {
        let Some(mut process) = process else { return false };
        // Fails only if the process has already exited.
        let _ = process.child.kill().await;
        self.environment.report_crash(process.failure_error(failure));
        true
    }

    fn record_exit(&self, exit: ProcessExit) {
        let ProcessExit { process, role, killed, is_expected } = exit;
        let is_successor = role == UpgradeProcess::Successor;
        self.record(Event::ProcessExited { node: self.node, is_successor, killed });
        if let Some(process) = process.filter(|_| !is_expected) {
            let failure = match role {
                UpgradeProcess::Predecessor => NodeFailure::PredecessorExited,
                UpgradeProcess::Successor => NodeFailure::SuccessorExited,
            };
            self.environment.report_crash(process.failure_error(failure));
        }
    }
}

fn admin_address_of(process: Option<&Node>) -> Option<SocketAddr> {
    process.and_then(|process| process.spec.admin_address)
}
