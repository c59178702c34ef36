//! The state of an upgrade in progress: its two processes and what is still to happen to them.

use std::process::ExitStatus;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::Instant;

use super::plan::{PlannedKill, UpgradePlan};
use crate::environment::{MIN_SHUTDOWN_TIME, SHUTDOWN_GRACE};
use crate::nodes::Node;
use crate::scenario::UpgradeProcess;

/// The successor of an upgrade answers READY by yes within this.
const READY_WITHIN: Duration = Duration::from_secs(6);

/// An upgrade in progress.
pub(super) struct UpgradeState {
    pub(super) predecessor: Option<Node>,
    pub(super) successor: Option<Node>,
    /// Whether the successor has answered READY by yes.
    pub(super) is_ready: bool,
    /// When the successor must be ready.
    pub(super) ready_deadline: Option<Instant>,
    /// When the predecessor gets SIGTERM.
    pub(super) sigterm_at: Option<Instant>,
    /// When the predecessor gets SIGKILL because it did not end.
    pub(super) sigkill_at: Option<Instant>,
    /// The kill that the scenario demands, until it is done.
    planned_kill: Option<ScheduledKill>,
    /// The process that was killed as planned.
    pub(super) killed: Option<UpgradeProcess>,
}

struct ScheduledKill {
    victim: UpgradeProcess,
    at: Instant,
}

impl UpgradeState {
    /// The state after the start of the successor; `begin` is the moment from which the times of the plan count.
    pub(super) fn new(predecessor: Node, successor: Option<Node>, plan: UpgradePlan, begin: Instant) -> Self {
        let schedule = |PlannedKill { victim, after }| ScheduledKill { victim, at: begin + after };
        UpgradeState {
            predecessor: Some(predecessor),
            successor,
            is_ready: false,
            ready_deadline: Some(begin + READY_WITHIN),
            sigterm_at: None,
            sigkill_at: None,
            planned_kill: plan.kill.map(schedule),
            killed: None,
        }
    }

    /// Whether something is still to happen.
    pub(super) fn is_in_progress(&self) -> bool {
        let has_predecessor = self.predecessor.is_some();
        let has_successor = self.successor.is_some();
        // A killed process exits in a moment, and cannot continue the service.
        let is_successor_pending = !self.is_ready || self.killed == Some(UpgradeProcess::Successor);
        let is_predecessor_pending =
            self.sigkill_at.is_some() || self.killed == Some(UpgradeProcess::Predecessor);
        has_predecessor && (has_successor || is_predecessor_pending) || has_successor && is_successor_pending
    }

    /// When the planned kill is due, if it is still to come.
    pub(super) fn kill_at(&self) -> Option<Instant> {
        self.planned_kill.as_ref().map(|kill| kill.at)
    }

    /// Kills the victim of the planned kill, if it still runs.
    pub(super) fn carry_out_kill(&mut self) {
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

    /// Starts the graceful shutdown of the predecessor.
    pub(super) fn terminate_predecessor(&mut self) {
        self.sigterm_at = None;
        self.sigkill_at = Some(Instant::now() + MIN_SHUTDOWN_TIME + SHUTDOWN_GRACE);
        if let Some(predecessor) = &self.predecessor {
            predecessor.signal(Signal::TERM);
        }
    }
}

/// Waits for the exit of a process; never returns if there is none.
pub(super) async fn wait_for_exit(node: &mut Option<Node>) -> Option<ExitStatus> {
    match node {
        Some(node) => node.child.wait().await.ok(),
        None => std::future::pending().await,
    }
}
