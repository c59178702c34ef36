//! Rule on drains of nodes: a drained node closes its clients' connections and is not ready, and is ready
//! again afterwards.

use std::collections::BTreeMap;

use curlewusher_model::{TimeSpan, Timestamp};

use super::violation::{OperationsViolation, TimedViolation};
use crate::event_log::Readiness;

/// Maximum time from the command that ends a drain to the readiness of the node.
const READY_AFTER_DRAIN_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Change of the result of a node's readiness check.
#[derive(Debug)]
struct ReadinessSample {
    at: Timestamp,
    readiness: Readiness,
}

/// Effect of a command on the drain of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainAction {
    /// DRAIN begins the drain.
    Begin,
    /// UNDRAIN ends the drain.
    End,
}

/// Command that begins or ends the drain of a node.
#[derive(Debug)]
struct DrainCommand {
    begun_at: Timestamp,
    action: DrainAction,
}

/// Number of connections that clients hold to a node 4 s after the command to drain it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionCount {
    /// Idle connections.
    pub(super) idle: usize,
    /// Connections with a job that was sent within the last 2 s.
    pub(super) fresh: usize,
}

/// Readiness changes of the nodes and the commands that drain them, both by node and oldest first.
#[derive(Debug, Default)]
pub(super) struct NodeDrains {
    readiness: BTreeMap<usize, Vec<ReadinessSample>>,
    commands: BTreeMap<usize, Vec<DrainCommand>>,
}

impl NodeDrains {
    /// Records a change of a node's readiness.
    pub(super) fn observe_readiness(&mut self, at: Timestamp, node: usize, readiness: Readiness) {
        self.readiness.entry(node).or_default().push(ReadinessSample { at, readiness });
    }

    /// Records a command that begins or ends a drain.
    pub(super) fn observe_command(&mut self, begun_at: Timestamp, node: usize, action: DrainAction) {
        self.commands.entry(node).or_default().push(DrainCommand { begun_at, action });
    }

    /// Returns the readiness of a node at a time; [`Readiness::Nothing`] before its first readiness check.
    fn readiness_at(&self, node: usize, at: Timestamp) -> Readiness {
        let samples = self.readiness.get(&node).into_iter().flatten();
        let last = samples.take_while(|sample| sample.at <= at).last();
        last.map_or(Readiness::Nothing, |sample| sample.readiness)
    }

    /// Returns the violations of a node 4 s after the command to drain it: open connections, and readiness.
    pub(super) fn check_drained<'log>(
        &self,
        at: Timestamp,
        node: usize,
        connections: ConnectionCount,
    ) -> Vec<TimedViolation<'log>> {
        let ConnectionCount { idle, fresh } = connections;
        let has_connections = idle + fresh > 0;
        let is_ready = self.readiness_at(node, at) == Readiness::Yes;
        let violations = [
            has_connections.then_some(OperationsViolation::ConnectionsAfterDrain { node, idle, fresh }),
            is_ready.then_some(OperationsViolation::ReadyWhileDrained { node }),
        ];
        violations.into_iter().flatten().map(|violation| TimedViolation { at, violation }).collect()
    }

    /// Returns a violation for each drain after which the node was not ready in time. Drains whose time limit
    /// is after the end of the log, or that another command followed within the limit, are not checked.
    pub(super) fn finish<'log>(&self, end: Timestamp, tolerance: TimeSpan) -> Vec<TimedViolation<'log>> {
        let mut violations = Vec::new();
        for (node, commands) in &self.commands {
            for (index, command) in commands.iter().enumerate() {
                let limit = command.begun_at + READY_AFTER_DRAIN_TIMEOUT + tolerance;
                let is_replaced = commands.get(index + 1).is_some_and(|next| next.begun_at <= limit);
                let must_be_ready = command.action == DrainAction::End && limit <= end && !is_replaced;
                if must_be_ready && self.readiness_at(*node, limit) != Readiness::Yes {
                    let violation = OperationsViolation::NotReadyAfterDrain { node: *node };
                    violations.push(TimedViolation { at: limit, violation });
                }
            }
        }
        violations
    }
}
