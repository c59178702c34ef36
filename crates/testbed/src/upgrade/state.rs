//! State of an upgrade in progress: its two processes and the times of the actions on them.

use std::process::ExitStatus;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::Instant;

use super::plan::{PlannedKill, UpgradePlan};
use crate::environment::{MIN_SHUTDOWN_TIMEOUT, SHUTDOWN_MARGIN};
use crate::nodes::Node;
use crate::scenario::UpgradeProcess;

/// Maximum time from the start of an upgrade until the successor confirms READY.
const READY_TIMEOUT: Duration = Duration::from_secs(6);

/// State of an upgrade in progress.
pub(super) struct UpgradeState {
    /// Process of the predecessor until its exit.
    pub(super) predecessor: Option<Node>,
    /// Process of the successor until its exit.
    pub(super) successor: Option<Node>,
    /// Whether the successor has confirmed READY.
    pub(super) is_ready: bool,
    /// Time at which the successor is killed unless it is ready.
    pub(super) ready_deadline: Option<Instant>,
    /// Time at which the predecessor gets SIGTERM.
    pub(super) sigterm_at: Option<Instant>,
    /// Time at which the predecessor gets SIGKILL unless it has exited after SIGTERM.
    pub(super) sigkill_at: Option<Instant>,
    /// Kill that the plan demands, until it is executed.
    planned_kill: Option<ScheduledKill>,
    /// Process that was killed as planned.
    pub(super) killed_process: Option<UpgradeProcess>,
}

/// Planned kill with its absolute time.
struct ScheduledKill {
    victim: UpgradeProcess,
    at: Instant,
}

impl UpgradeState {
    /// Creates the state after the start of the successor. The delay of the planned kill counts from
    /// `started_at`.
    pub(super) fn new(
        predecessor: Node,
        successor: Option<Node>,
        plan: UpgradePlan,
        started_at: Instant,
    ) -> Self {
        let schedule = |PlannedKill { victim, after }| ScheduledKill { victim, at: started_at + after };
        UpgradeState {
            predecessor: Some(predecessor),
            successor,
            is_ready: false,
            ready_deadline: Some(started_at + READY_TIMEOUT),
            sigterm_at: None,
            sigkill_at: None,
            planned_kill: plan.kill.map(schedule),
            killed_process: None,
        }
    }

    /// Returns whether the upgrade waits for an exit or for the successor's readiness.
    pub(super) fn is_in_progress(&self) -> bool {
        let has_predecessor = self.predecessor.is_some();
        let has_successor = self.successor.is_some();
        // A killed process is about to exit, and cannot stay in service.
        let is_successor_pending = !self.is_ready || self.killed_process == Some(UpgradeProcess::Successor);
        let is_predecessor_pending =
            self.sigkill_at.is_some() || self.killed_process == Some(UpgradeProcess::Predecessor);
        has_predecessor && (has_successor || is_predecessor_pending) || has_successor && is_successor_pending
    }

    /// Returns the time of the planned kill, or `None` if it has been executed or none is planned.
    pub(super) fn kill_at(&self) -> Option<Instant> {
        self.planned_kill.as_ref().map(|kill| kill.at)
    }

    /// Kills the victim of the planned kill, if it is still running.
    pub(super) fn kill_victim(&mut self) {
        let ScheduledKill { victim, .. } =
            self.planned_kill.take().expect("a kill event requires a planned kill");
        let process = match victim {
            UpgradeProcess::Predecessor => &self.predecessor,
            UpgradeProcess::Successor => &self.successor,
        };
        if let Some(process) = process {
            process.signal(Signal::KILL);
            self.killed_process = Some(victim);
        }
    }

    /// Sends SIGTERM to the predecessor and schedules its SIGKILL.
    pub(super) fn terminate_predecessor(&mut self) {
        self.sigterm_at = None;
        self.sigkill_at = Some(Instant::now() + MIN_SHUTDOWN_TIMEOUT + SHUTDOWN_MARGIN);
        if let Some(predecessor) = &self.predecessor {
            predecessor.signal(Signal::TERM);
        }
    }
}

/// Waits for the exit of a process. Never returns if there is no process.
pub(super) async fn wait_for_exit(node: &mut Option<Node>) -> Option<ExitStatus> {
    match node {
        Some(node) => node.child.wait().await.ok(),
        None => std::future::pending().await,
    }
}
