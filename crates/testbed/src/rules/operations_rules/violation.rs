//! What a node did against a rule on operations, and the text of it.

use std::fmt;

use curlewusher_model::{TimeSpan, Timestamp};
use thiserror::Error;

use crate::event_log::ExpectedAnswer;
use crate::rules::{Rule, Violation};

/// Number of jobs that an upgrade may harm.
pub(super) const MAX_HARMED_JOBS: usize = 2;

/// A broken rule on operations.
#[derive(Debug, Error)]
pub(super) enum OperationsViolation<'log> {
    #[error("node {node} answered {command} after {} ms", took.as_millis())]
    LateAnswer { node: usize, command: &'log str, took: TimeSpan },
    #[error("node {node} said {answer} to {command}; {expected:?} was expected")]
    UnexpectedAnswer { node: usize, command: &'log str, answer: Answer<'log>, expected: ExpectedAnswer },
    #[error(
        "node {node}, 4 s after its drain: {idle} clients' connections idle, {fresh} with a job of the last 2 s"
    )]
    ConnectionsAfterDrain { node: usize, idle: usize, fresh: usize },
    #[error("node {node} says yes 4 s after the call of its drain")]
    ReadyWhileDrained { node: usize },
    #[error("node {node} says no yes 2 s after the end of its drain was called")]
    NotReadyAfterDrain { node: usize },
    #[error(
        "node {node} sent {request} to worker {worker}, which is out, {} ms too late",
        late_by.as_millis()
    )]
    SentToDisabledWorker { node: usize, request: &'log str, worker: usize, late_by: TimeSpan },
    #[error("worker {worker} was used before, and not for 5 s after it was called back")]
    EnabledWorkerUnused { worker: usize },
    #[error(
        "an upgrade of node {node} harmed {jobs} jobs by refused or reset connections; {MAX_HARMED_JOBS} are allowed"
    )]
    HarmfulUpgrade { node: usize, jobs: usize },
}

/// The answer to an admin command; none if the node gave none.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer<'log>(pub(super) Option<&'log str>);

impl fmt::Display for Answer<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(answer) => write!(formatter, "{answer:?}"),
            None => formatter.write_str("nothing"),
        }
    }
}

impl OperationsViolation<'_> {
    fn rule(&self) -> Rule {
        match self {
            OperationsViolation::LateAnswer { .. } | OperationsViolation::UnexpectedAnswer { .. } => {
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

/// A violation and the moment that it is reported for.
#[derive(Debug)]
pub(super) struct Finding<'log> {
    pub(super) at: Timestamp,
    pub(super) violation: OperationsViolation<'log>,
}

impl Finding<'_> {
    pub(super) fn describe(&self) -> Violation {
        Violation::without_events(self.violation.rule(), self.at, self.violation.to_string())
    }
}
