//! Nodes that operators drain: clients leave them, they are not ready meanwhile, and are ready again afterwards.

use std::collections::BTreeMap;

use curlewusher_model::{TimeSpan, Timestamp};

use super::violation::{Finding, OperationsViolation};
use crate::event_log::Readiness;

/// A node is ready this long after the end of its drain.
const READY_AFTER_DRAIN_WITHIN: TimeSpan = TimeSpan::from_secs(2);

#[derive(Debug)]
struct ReadinessSample {
    at: Timestamp,
    readiness: Readiness,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainAction {
    /// DRAIN.
    Begin,
    /// UNDRAIN.
    End,
}

#[derive(Debug)]
struct DrainCommand {
    begun_at: Timestamp,
    action: DrainAction,
}

/// Connections that clients hold to a node 4 s after the command to drain it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionCount {
    pub(super) idle: usize,
    /// Those with a job that was sent within the last 2 s.
    pub(super) fresh: usize,
}

/// Readiness of the nodes and the commands that drain them, both by node and oldest first.
#[derive(Debug, Default)]
pub(super) struct NodeDrains {
    readiness: BTreeMap<usize, Vec<ReadinessSample>>,
    commands: BTreeMap<usize, Vec<DrainCommand>>,
}

impl NodeDrains {
    pub(super) fn observe_readiness(&mut self, at: Timestamp, node: usize, readiness: Readiness) {
        self.readiness.entry(node).or_default().push(ReadinessSample { at, readiness });
    }

    pub(super) fn observe_command(&mut self, begun_at: Timestamp, node: usize, action: DrainAction) {
        self.commands.entry(node).or_default().push(DrainCommand { begun_at, action });
    }

    fn readiness_at(&self, node: usize, at: Timestamp) -> Readiness {
        let samples = self.readiness.get(&node).into_iter().flatten();
        let last = samples.take_while(|sample| sample.at <= at).last();
        last.map_or(Readiness::Nothing, |sample| sample.readiness)
    }

    /// What is wrong with a node 4 s after the command to drain it.
    pub(super) fn check_drained<'log>(
        &self,
        at: Timestamp,
        node: usize,
        connections: ConnectionCount,
    ) -> Vec<Finding<'log>> {
        let ConnectionCount { idle, fresh } = connections;
        let has_connections = idle + fresh > 0;
        let is_ready = self.readiness_at(node, at) == Readiness::Yes;
        let violations = [
            has_connections.then_some(OperationsViolation::ConnectionsAfterDrain { node, idle, fresh }),
            is_ready.then_some(OperationsViolation::ReadyWhileDrained { node }),
        ];
        violations.into_iter().flatten().map(|violation| Finding { at, violation }).collect()
    }

    /// Returns the nodes that were not ready in time after their drains, by the end of the log.
    pub(super) fn finish<'log>(&self, end: Timestamp, slack: TimeSpan) -> Vec<Finding<'log>> {
        let mut findings = Vec::new();
        for (node, commands) in &self.commands {
            for (index, command) in commands.iter().enumerate() {
                let limit = command.begun_at + READY_AFTER_DRAIN_WITHIN + slack;
                let is_replaced = commands.get(index + 1).is_some_and(|next| next.begun_at <= limit);
                let is_due = command.action == DrainAction::End && limit <= end && !is_replaced;
                if is_due && self.readiness_at(*node, limit) != Readiness::Yes {
                    let violation = OperationsViolation::NotReadyAfterDrain { node: *node };
                    findings.push(Finding { at: limit, violation });
                }
            }
        }
        findings
    }
}
