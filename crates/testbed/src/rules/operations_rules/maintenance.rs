//! Rule on maintenance: a disabled worker receives no attempts, and a worker that is enabled again is used
//! again.

use std::collections::{BTreeMap, HashMap, HashSet};

use curlewusher_model::{TimeSpan, Timestamp};

use super::admin_command::{AdminCommand, RESPONSE_TIMEOUT};
use super::violation::{OperationsViolation, TimedViolation};
use crate::rules::RuleParameters;

/// Maximum time from the command that enables a worker to the first attempt for that worker.
const FIRST_ATTEMPT_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// Minimum average number of attempts per used worker within [`FIRST_ATTEMPT_TIMEOUT`] at which a worker
/// without an attempt is a violation: with so many attempts, each worker should have received one.
const MIN_ATTEMPTS_PER_WORKER: usize = 4;

/// Pair of a node and a worker: each node has its own state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct WorkerAtNode {
    pub(super) node: usize,
    pub(super) worker: usize,
}

/// Worker that was enabled again.
#[derive(Debug)]
struct EnabledWorker {
    /// Start of the command that enabled the worker.
    since: Timestamp,
    /// Number of attempts for each worker within [`FIRST_ATTEMPT_TIMEOUT`] from then.
    attempts: HashMap<usize, usize>,
}

/// Workers that are disabled or were enabled again, and the attempts that arrived at them.
#[derive(Debug, Default)]
pub(super) struct Maintenance<'log> {
    /// Time from which each disabled worker counts as disabled. Attempts are allowed for another
    /// [`RuleParameters::max_stop_delay`] plus the tolerance.
    disabled: HashMap<WorkerAtNode, Timestamp>,
    /// Attempts that disabled workers received. Each of them is a violation unless it arrived after the start
    /// of an ENABLE command. The log contains a command only at the time of its end.
    suspected_violations: BTreeMap<WorkerAtNode, Vec<TimedViolation<'log>>>,
    /// Workers that were enabled again, by worker.
    enabled: BTreeMap<usize, EnabledWorker>,
    /// Workers at which at least one attempt arrived.
    used_workers: HashSet<usize>,
}

impl<'log> Maintenance<'log> {
    /// Records an attempt that arrived at a worker. If the worker is disabled, and the head of the attempt
    /// arrived after the time within which the node must stop sending to the worker, the attempt is a
    /// suspected violation.
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
            if (enabled.since..enabled.since + FIRST_ATTEMPT_TIMEOUT).contains(&head_at) {
                *enabled.attempts.entry(worker).or_default() += 1;
            }
        }
        let Some(since) = self.disabled.get(&target).copied() else { return };
        let limit = since + parameters.max_stop_delay + parameters.tolerance;
        if head_at > limit {
            let late_by = head_at - limit;
            let violation = OperationsViolation::SentToDisabledWorker { node, request, worker, late_by };
            self.suspected_violations
                .entry(target)
                .or_default()
                .push(TimedViolation { at: head_at, violation });
        }
    }

    /// Records a command that disables a worker, unless the node rejected the command. The worker counts as
    /// disabled from the response `+OK`, and at the latest [`RESPONSE_TIMEOUT`] after the start of the
    /// command.
    pub(super) fn disable(&mut self, command: &AdminCommand<'_>, worker: usize) {
        if command.is_rejected() {
            return;
        }
        let limit = command.begun_at + RESPONSE_TIMEOUT;
        let since = if command.is_confirmed() { command.ended_at.min(limit) } else { limit };
        self.disabled.entry(WorkerAtNode { node: command.node, worker }).or_insert(since);
        self.enabled.remove(&worker);
    }

    /// Records a command that enables a worker. From the start of the command on, attempts for the worker are
    /// allowed. Returns the violations before that time.
    pub(super) fn enable(&mut self, begun_at: Timestamp, target: WorkerAtNode) -> Vec<TimedViolation<'log>> {
        self.disabled.remove(&target);
        let mut violations = self.suspected_violations.remove(&target).unwrap_or_default();
        violations.retain(|violation| violation.at < begun_at);
        if self.used_workers.contains(&target.worker) {
            let enabled = EnabledWorker { since: begun_at, attempts: HashMap::new() };
            self.enabled.insert(target.worker, enabled);
        }
        violations
    }

    /// Returns the remaining suspected violations, and the workers that were not used in time after they were
    /// enabled.
    pub(super) fn finish(self, end: Timestamp) -> Vec<TimedViolation<'log>> {
        let min_attempts = MIN_ATTEMPTS_PER_WORKER * self.used_workers.len();
        let unused = self.enabled.into_iter().filter_map(|(worker, EnabledWorker { since, attempts })| {
            let limit = since + FIRST_ATTEMPT_TIMEOUT;
            let has_enough_attempts = attempts.values().sum::<usize>() >= min_attempts;
            let is_unused = limit <= end && has_enough_attempts && !attempts.contains_key(&worker);
            let violation = OperationsViolation::EnabledWorkerUnused { worker };
            is_unused.then_some(TimedViolation { at: limit, violation })
        });
        self.suspected_violations.into_values().flatten().chain(unused).collect()
    }
}
