//! Violations of the rules on operations, and their texts.

use std::fmt;

use curlewusher_model::{TimeSpan, Timestamp};
use thiserror::Error;

use crate::event_log::ExpectedResponse;
use crate::rules::{Rule, Violation};

/// Maximum number of jobs that an upgrade may harm if the testbed kills neither process.
pub(super) const MAX_HARMED_JOBS: usize = 2;

/// Violation of a rule on operations.
#[derive(Debug, Error)]
pub(super) enum OperationsViolation<'log> {
    /// The node answered an admin command too late.
    #[error("node {node} answered {command} after {} ms", took.as_millis())]
    LateResponse { node: usize, command: &'log str, took: TimeSpan },
    /// The node sent no response to an admin command, or an unexpected one.
    #[error("node {node} said {response} to {command}; {expected:?} was expected")]
    UnexpectedResponse {
        node: usize,
        command: &'log str,
        response: CommandResponse<'log>,
        expected: ExpectedResponse,
    },
    /// Clients still hold connections to the node 4 s after the command to drain it.
    #[error(
        "node {node}, 4 s after its drain: {idle} clients' connections idle, {fresh} with a job of the last 2 s"
    )]
    ConnectionsAfterDrain { node: usize, idle: usize, fresh: usize },
    /// The node is still ready 4 s after the command to drain it.
    #[error("node {node} says yes 4 s after the call of its drain")]
    ReadyWhileDrained { node: usize },
    /// The node is not ready 2 s after the command that ended its drain.
    #[error("node {node} says no yes 2 s after the end of its drain was called")]
    NotReadyAfterDrain { node: usize },
    /// The node sent an attempt to a disabled worker after the time within which it must stop.
    #[error(
        "node {node} sent {request} to worker {worker}, which is out, {} ms too late",
        late_by.as_millis()
    )]
    SentToDisabledWorker { node: usize, request: &'log str, worker: usize, late_by: TimeSpan },
    /// The worker received no attempt within 5 s of the command that enabled it, although it had been used
    /// before.
    #[error("worker {worker} was used before, and not for 5 s after it was called back")]
    EnabledWorkerUnused { worker: usize },
    /// The upgrade harmed more than [`MAX_HARMED_JOBS`] jobs, although the testbed killed neither process.
    #[error(
        "an upgrade of node {node} harmed {jobs} jobs by refused or reset connections; {MAX_HARMED_JOBS} are allowed"
    )]
    HarmfulUpgrade { node: usize, jobs: usize },
}

/// Response to an admin command, or `None` if the node did not respond.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommandResponse<'log>(pub(super) Option<&'log str>);

impl fmt::Display for CommandResponse<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(response) => write!(formatter, "{response:?}"),
            None => formatter.write_str("nothing"),
        }
    }
}

impl OperationsViolation<'_> {
    /// Returns the violated rule.
    fn rule(&self) -> Rule {
        match self {
            OperationsViolation::LateResponse { .. } | OperationsViolation::UnexpectedResponse { .. } => {
                Rule::Console
            }
            OperationsViolation::ConnectionsAfterDrain { .. }
            | OperationsViolation::ReadyWhileDrained { .. }
            | OperationsViolation::NotReadyAfterDrain { .. } => Rule::NodeDrain,
            OperationsViolation::SentToDisabledWorker { .. }
            | OperationsViolation::EnabledWorkerUnused { .. } => Rule::Maintenance,
            OperationsViolation::HarmfulUpgrade { .. } => Rule::Upgrade,
        }
    }
}

/// Violation and the time at which it occurred.
#[derive(Debug)]
pub(super) struct TimedViolation<'log> {
    pub(super) at: Timestamp,
    pub(super) violation: OperationsViolation<'log>,
}

impl TimedViolation<'_> {
    /// Converts the violation into its reported form.
    pub(super) fn describe(&self) -> Violation {
        Violation::without_events(self.violation.rule(), self.at, self.violation.to_string())
    }
}
