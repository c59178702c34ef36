//! Upgrades of a node: a successor is started beside its process and takes over.
//!
//! | event | what follows |
//! | --- | --- |
//! | the successor answers READY by yes | SIGTERM for the predecessor after the drawn delay |
//! | the successor is not ready in time | it is killed, a crash |
//! | the predecessor does not exit in time after SIGTERM | it is killed, a crash |
//! | the planned kill is due | its victim gets SIGKILL |
//! | the successor exits | the predecessor goes on; a crash unless it was killed as planned |
//! | the predecessor exits | the successor goes on; a crash unless it was to exit |
//!
//! If both have exited, the node is started anew.

use std::net::SocketAddr;
use std::process::ExitStatus;
use std::time::Duration;

use curlewusher_model::workload::random_stream;
use rand::Rng;
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use crate::console::free_place;
use crate::event_log::{Event, ExpectedAnswer};
use crate::nodes::{Node, ProcessSpec};
use crate::operator_actions::wait_until;
use crate::play::{Environment, KILL_AT_LEAST, KILL_GRACE};
use crate::scenario::{Fault, FaultKind, MAX_DELAY_S, Scenario, UpgradeProcess};

/// The successor of an upgrade answers READY by yes within this.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// Interval of READY commands until then.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A kill in an upgrade comes at most this long after the wait for SIGTERM, in seconds.
const KILL_AFTER_DELAY_S: f64 = 1.0;

/// A kill of one of the two processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedKill {
    pub victim: UpgradeProcess,
    /// Time from the start of the successor.
    pub after: Duration,
}

/// What is drawn for an upgrade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpgradePlan {
    /// Wait between the successor's first yes and SIGTERM for the predecessor.
    pub delay: Duration,
    /// The process that is to be killed, if any.
    pub kill: Option<PlannedKill>,
}

impl UpgradePlan {
    /// Draws a plan from the scenario's seed; each concern has a random stream of its own.
    pub fn draw(scenario: &Scenario, fault: &Fault, concern: &str) -> UpgradePlan {
        let mut random = random_stream(scenario.seed, concern);
        let delay_s = random.random::<f64>() * fault.delay_s.unwrap_or(MAX_DELAY_S);
        let kill_s = random.random::<f64>() * (delay_s + KILL_AFTER_DELAY_S);
        let drawn_victim =
            if random.random() { UpgradeProcess::Predecessor } else { UpgradeProcess::Successor };
        let kill = (fault.kind == FaultKind::KillInUpgrade).then(|| PlannedKill {
            victim: fault.victim.unwrap_or(drawn_victim),
            after: Duration::from_secs_f64(kill_s),
        });
        UpgradePlan { delay: Duration::from_secs_f64(delay_s), kill }
    }
}

/// An upgrade in progress.
struct Upgrade {
    predecessor: Option<Node>,
    successor: Option<Node>,
    /// Whether the successor has answered READY by yes.
    is_ready: bool,
    /// When the successor must be ready.
    ready_deadline: Option<Instant>,
    /// When the predecessor gets SIGTERM.
    sigterm_at: Option<Instant>,
    /// When the predecessor gets SIGKILL because it did not end.
    sigkill_at: Option<Instant>,
    /// The kill that the scenario demands, until it is done.
    planned_kill: Option<ScheduledKill>,
    /// The process that was killed as planned.
    killed: Option<UpgradeProcess>,
}

struct ScheduledKill {
    victim: UpgradeProcess,
    at: Instant,
}

/// The exit of one of the two processes.
struct ProcessExit {
    process: Option<Node>,
    role: UpgradeProcess,
    /// Whether the testbed killed it as planned.
    killed: bool,
    /// Whether it was to exit.
    is_expected: bool,
}

/// What happens next in an upgrade.
enum UpgradeEvent {
    PredecessorExited(Option<ExitStatus>),
    SuccessorExited,
    SuccessorAnswered { is_ready: bool },
    KillDue,
    SigtermDue,
    SigkillDue,
    ReadyDeadlineExpired,
}

impl Upgrade {
    /// Whether something is still to happen.
    fn is_in_progress(&self) -> bool {
        let has_predecessor = self.predecessor.is_some();
        let has_successor = self.successor.is_some();
        // A killed process exits in a moment, and is none to go on with.
        let is_successor_pending = !self.is_ready || self.killed == Some(UpgradeProcess::Successor);
        let is_predecessor_pending =
            self.sigkill_at.is_some() || self.killed == Some(UpgradeProcess::Predecessor);
        has_predecessor && (has_successor || is_predecessor_pending) || has_successor && is_successor_pending
    }

    /// Kills the victim of the planned kill, if it still runs.
    fn carry_out_kill(&mut self) {
        let ScheduledKill { victim, .. } = self.planned_kill.take().expect("the kill is due");
        let process = match victim {
            UpgradeProcess::Predecessor => &self.predecessor,
            UpgradeProcess::Successor => &self.successor,
        };
        if let Some(process) = process {
            process.signal(Signal::KILL);
            self.killed = Some(victim);
        }
    }

    fn terminate_predecessor(&mut self) {
        self.sigterm_at = None;
        self.sigkill_at = Some(Instant::now() + KILL_AT_LEAST + KILL_GRACE);
        if let Some(predecessor) = &self.predecessor {
            predecessor.signal(Signal::TERM);
        }
    }
}

/// Waits for the exit of a process; never returns if there is none.
async fn wait_for_exit(node: &mut Option<Node>) -> Option<ExitStatus> {
    match node {
        Some(node) => node.child.wait().await.ok(),
        None => std::future::pending().await,
    }
}

impl Environment {
    /// Upgrades a node and returns when it has a single process again.
    pub async fn upgrade(&self, node: usize, plan: UpgradePlan) {
        let begin = Instant::now();
        let Some(predecessor) = self.take_for_upgrade(node).await else {
            return self.crashed(format!("node {node} was not there to be upgraded"));
        };
        self.log.record(Event::UpgradeBegan { node });
        let address = predecessor.address;
        let spec = ProcessSpec {
            saved_list: None,
            version: predecessor.spec.version + 1,
            listen: address,
            admin_address: Some(free_place()),
            ..predecessor.spec.clone()
        };
        let started = Node::spawn(&self.program, &self.scenario, spec);
        let successor = started.map_err(|error| self.crashed(error)).ok();
        let successor_id = successor.as_ref().and_then(|successor| successor.child.id());
        self.nodes[node].lock().await.processes.extend(successor_id);
        let mut upgrade = Upgrade {
            predecessor: Some(predecessor),
            successor,
            is_ready: false,
            ready_deadline: Some(begin + READY_WITHIN),
            sigterm_at: None,
            sigkill_at: None,
            planned_kill: plan
                .kill
                .map(|PlannedKill { victim, after }| ScheduledKill { victim, at: begin + after }),
            killed: None,
        };
        while upgrade.is_in_progress() {
            let event = self.next_upgrade_event(node, &mut upgrade).await;
            self.handle_upgrade_event(node, &mut upgrade, plan, event).await;
        }
        self.finish_upgrade(node, upgrade, address).await;
    }

    /// Takes a node's process out of its place; its cost is sampled further on.
    async fn take_for_upgrade(&self, node: usize) -> Option<Node> {
        let mut held = self.nodes[node].lock().await;
        let process = held.node.take()?;
        held.processes = process.child.id().into_iter().collect();
        Some(process)
    }

    /// Puts the remaining process in the node's place, or starts the node anew if there is none.
    async fn finish_upgrade(&self, node: usize, upgrade: Upgrade, address: SocketAddr) {
        let Upgrade { predecessor, successor, killed, .. } = upgrade;
        let remaining = successor.or(predecessor);
        let has_process = remaining.is_some();
        let mut held = self.nodes[node].lock().await;
        held.processes.clear();
        held.console = remaining.as_ref().and_then(|process| process.spec.admin_address);
        held.node = remaining;
        drop(held);
        if !has_process {
            self.log.record(Event::NodeExited { node, killed: killed.is_some() });
            if let Err(error) = self.start_node(node, address).await {
                self.crashed(error);
            }
        }
        self.log.record(Event::UpgradeEnded { node });
    }

    async fn next_upgrade_event(&self, node: usize, upgrade: &mut Upgrade) -> UpgradeEvent {
        let successor_address = upgrade.successor.as_ref().and_then(|successor| successor.spec.admin_address);
        let ready_poll = async {
            match successor_address {
                Some(address) if !upgrade.is_ready => {
                    sleep(READY_POLL_INTERVAL).await;
                    self.send_command_to(address, node, "READY", ExpectedAnswer::Either).await.yes()
                }
                _ => std::future::pending().await,
            }
        };
        let kill_at = upgrade.planned_kill.as_ref().map(|kill| kill.at);
        tokio::select! {
            status = wait_for_exit(&mut upgrade.predecessor) => UpgradeEvent::PredecessorExited(status),
            _ = wait_for_exit(&mut upgrade.successor) => UpgradeEvent::SuccessorExited,
            is_ready = ready_poll => UpgradeEvent::SuccessorAnswered { is_ready },
            () = wait_until(kill_at) => UpgradeEvent::KillDue,
            () = wait_until(upgrade.sigterm_at) => UpgradeEvent::SigtermDue,
            () = wait_until(upgrade.sigkill_at) => UpgradeEvent::SigkillDue,
            () = wait_until(upgrade.ready_deadline) => UpgradeEvent::ReadyDeadlineExpired,
        }
    }

    async fn handle_upgrade_event(
        &self,
        node: usize,
        upgrade: &mut Upgrade,
        plan: UpgradePlan,
        event: UpgradeEvent,
    ) {
        match event {
            UpgradeEvent::PredecessorExited(status) => {
                let role = UpgradeProcess::Predecessor;
                let killed = upgrade.killed == Some(role);
                let has_handed_over = upgrade.is_ready && status.is_some_and(|status| status.success());
                let process = upgrade.predecessor.take();
                let is_expected = killed || has_handed_over;
                self.record_exit(node, ProcessExit { process, role, killed, is_expected });
                upgrade.sigterm_at = None;
                upgrade.sigkill_at = None;
            }
            UpgradeEvent::SuccessorExited => self.handle_successor_exit(node, upgrade).await,
            UpgradeEvent::SuccessorAnswered { is_ready: false } => {}
            UpgradeEvent::SuccessorAnswered { is_ready: true } => {
                self.log.record(Event::SuccessorReady { node });
                upgrade.is_ready = true;
                upgrade.ready_deadline = None;
                upgrade.sigterm_at = upgrade.predecessor.as_ref().map(|_| Instant::now() + plan.delay);
                let successor = upgrade.successor.as_ref();
                self.nodes[node].lock().await.console =
                    successor.and_then(|process| process.spec.admin_address);
            }
            UpgradeEvent::KillDue => upgrade.carry_out_kill(),
            UpgradeEvent::SigtermDue => upgrade.terminate_predecessor(),
            UpgradeEvent::SigkillDue => {
                upgrade.sigkill_at = None;
                let problem = "did not end by itself within 3.7 s of SIGTERM, and was killed";
                if self.kill_failed(upgrade.predecessor.take(), problem).await {
                    self.log.record(Event::ProcessExited { node, is_successor: false, killed: false });
                }
            }
            UpgradeEvent::ReadyDeadlineExpired => {
                upgrade.ready_deadline = None;
                let problem = "did not say yes to READY within 6 s in an upgrade";
                if self.kill_failed(upgrade.successor.take(), problem).await {
                    self.log.record(Event::ProcessExited { node, is_successor: true, killed: true });
                }
            }
        }
    }

    /// A successor that exits has crashed, whatever its status. The predecessor is not terminated then; if it already
    /// was, the upgrade waits for its exit.
    async fn handle_successor_exit(&self, node: usize, upgrade: &mut Upgrade) {
        let role = UpgradeProcess::Successor;
        let killed = upgrade.killed == Some(role);
        let process = upgrade.successor.take();
        self.record_exit(node, ProcessExit { process, role, killed, is_expected: killed });
        upgrade.ready_deadline = None;
        upgrade.sigterm_at = None;
        let predecessor = upgrade.predecessor.as_ref();
        self.nodes[node].lock().await.console = predecessor.and_then(|process| process.spec.admin_address);
    }

    /// Kills a process that failed; false if there is none.
    async fn kill_failed(&self, process: Option<Node>, problem: &'static str) -> bool {
        let Some(mut process) = process else { return false };
        let _ = process.child.kill().await;
        self.crashed(process.failed(problem));
        true
    }

    fn record_exit(&self, node: usize, exit: ProcessExit) {
        let ProcessExit { process, role, killed, is_expected } = exit;
        let is_successor = role == UpgradeProcess::Successor;
        self.log.record(Event::ProcessExited { node, is_successor, killed });
        if let Some(process) = process.filter(|_| !is_expected) {
            let problem = match role {
                UpgradeProcess::Predecessor => "ended badly, or before its newer process was ready",
                UpgradeProcess::Successor => "ended by itself as the newer process of an upgrade",
            };
            self.crashed(process.failed(problem));
        }
    }
}
