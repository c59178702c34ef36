//! Workers that operators disable and enable: a disabled one gets nothing, and an enabled one is used again.

use std::collections::{BTreeMap, HashMap, HashSet};

use curlewusher_model::{TimeSpan, Timestamp};

use super::admin_command::{ANSWER_WITHIN, AdminCommand};
use super::violation::{Finding, OperationsViolation};
use crate::rules::RuleParameters;

/// A worker that is enabled again is used within this.
const USED_WITHIN: TimeSpan = TimeSpan::from_secs(5);
/// Over so many attempts for each worker, each worker should have had one.
const ATTEMPTS_PER_WORKER: usize = 4;

/// A worker from the view of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct WorkerAtNode {
    pub(super) node: usize,
    pub(super) worker: usize,
}

#[derive(Debug)]
struct EnabledWorker {
    since: Timestamp,
    /// Attempts since then, by worker.
    attempts: HashMap<usize, usize>,
}

/// Which workers are disabled or were enabled, and what they got.
#[derive(Debug, Default)]
pub(super) struct Maintenance<'log> {
    /// From when a disabled worker must get nothing.
    disabled: HashMap<WorkerAtNode, Timestamp>,
    /// Work that disabled workers got. Each finding stands unless an ENABLE turns out to have begun before; that
    /// command is on record at its end only.
    suspects: BTreeMap<WorkerAtNode, Vec<Finding<'log>>>,
    /// By worker.
    enabled: BTreeMap<usize, EnabledWorker>,
    used_workers: HashSet<usize>,
}

impl<'log> Maintenance<'log> {
    /// Records an attempt that arrived at a worker, and suspects it if the worker is disabled.
    pub(super) fn observe_arrival(
        &mut self,
        request: &'log str,
        target: WorkerAtNode,
        head_at: Timestamp,
        parameters: &RuleParameters,
    ) {
        let WorkerAtNode { node, worker } = target;
        self.used_workers.insert(worker);
        for enabled in self.enabled.values_mut() {
            if (enabled.since..enabled.since + USED_WITHIN).contains(&head_at) {
                *enabled.attempts.entry(worker).or_default() += 1;
            }
        }
        let Some(since) = self.disabled.get(&target).copied() else { return };
        let limit = since + parameters.stop_within + parameters.slack;
        if head_at > limit {
            let late_by = head_at - limit;
            let violation = OperationsViolation::SentToDisabledWorker { node, request, worker, late_by };
            self.suspects.entry(target).or_default().push(Finding { at: head_at, violation });
        }
    }

    /// Records a command that disables a worker, unless the node rejected it.
    pub(super) fn disable(&mut self, command: &AdminCommand<'_>, worker: usize) {
        if command.is_rejected() {
            return;
        }
        let limit = command.begun_at + ANSWER_WITHIN;
        let since = if command.is_confirmed() { command.ended_at.min(limit) } else { limit };
        self.disabled.entry(WorkerAtNode { node: command.node, worker }).or_insert(since);
        self.enabled.remove(&worker);
    }

    /// Records a command that enables a worker, which from its begin on justifies work for it; returns what it does not
    /// justify.
    pub(super) fn enable(&mut self, begun_at: Timestamp, target: WorkerAtNode) -> Vec<Finding<'log>> {
        self.disabled.remove(&target);
        let mut findings = self.suspects.remove(&target).unwrap_or_default();
        findings.retain(|suspect| suspect.at < begun_at);
        if self.used_workers.contains(&target.worker) {
            let enabled = EnabledWorker { since: begun_at, attempts: HashMap::new() };
            self.enabled.insert(target.worker, enabled);
        }
        findings
    }

    /// Returns what has not been justified, or has not happened, by the end of the log.
    pub(super) fn finish(self, end: Timestamp) -> Vec<Finding<'log>> {
        let enough_attempts = ATTEMPTS_PER_WORKER * self.used_workers.len();
        let unused = self.enabled.into_iter().filter_map(|(worker, EnabledWorker { since, attempts })| {
            let limit = since + USED_WITHIN;
            let has_enough_attempts = attempts.values().sum::<usize>() >= enough_attempts;
            let is_unused = limit <= end && has_enough_attempts && !attempts.contains_key(&worker);
            let violation = OperationsViolation::EnabledWorkerUnused { worker };
            is_unused.then_some(Finding { at: limit, violation })
        });
        self.suspects.into_values().flatten().chain(unused).collect()
    }
}
