//! Crashes: failures of a node's process that the scenario does not demand.

use std::io;
use std::process::ExitStatus;

use thiserror::Error;

use super::StartError;
use crate::nodes::{Node, NodeError};

/// A failure of a node's process, with its last log lines where they explain it.
#[derive(Debug, Error)]
pub enum NodeCrash {
    /// The process exited although nothing stopped it.
    #[error("node {node} ended by itself, {status}; its last lines:\n    {lines}")]
    ExitedUnexpectedly {
        /// Number of the node.
        node: usize,
        /// The exit status of the process.
        status: ExitStatus,
        /// The last lines of its log.
        lines: String,
    },
    /// The process exited after SIGTERM, but not with success.
    #[error("node {node} ended badly, {status:?}; its last lines:\n    {lines}")]
    ExitedWithFailure {
        /// Number of the node.
        node: usize,
        /// The exit status of the process, or why it could not be read.
        status: Result<ExitStatus, io::Error>,
        /// The last lines of its log.
        lines: String,
    },
    /// The process was still running when its graceful shutdown had to be over.
    #[error("node {node} did not end by itself after SIGTERM, and was killed")]
    IgnoredSigterm {
        /// Number of the node.
        node: usize,
    },
    /// The node failed its readiness check after the last job.
    #[error("node {node} is not ready at the end of the load")]
    NotReadyAtEnd {
        /// Number of the node.
        node: usize,
    },
    /// The node counted a violation of an invariant itself.
    #[error("node {node} has counted a violation: {counter}")]
    CountedViolation {
        /// Number of the node.
        node: usize,
        /// The line of the metrics page.
        counter: String,
    },
    /// An upgrade was due while the node had no process.
    #[error("node {node} was not there to be upgraded")]
    AbsentForUpgrade {
        /// Number of the node.
        node: usize,
    },
    /// The process failed in an upgrade or a reload.
    #[error(transparent)]
    Process(#[from] NodeError),
    /// The node could not be started again.
    #[error(transparent)]
    Restart(#[from] StartError),
}

impl NodeCrash {
    /// The crash of a process that exited although nothing stopped it.
    pub fn unexpected_exit(node: &Node, status: ExitStatus) -> Self {
        NodeCrash::ExitedUnexpectedly { node: node.spec.number, status, lines: last_lines(node) }
    }

    /// The crash of a process that did not exit with success after SIGTERM.
    pub fn failed_exit(node: &Node, status: Result<ExitStatus, io::Error>) -> Self {
        NodeCrash::ExitedWithFailure { node: node.spec.number, status, lines: last_lines(node) }
    }
}

fn last_lines(node: &Node) -> String {
    node.last_lines().join("\n    ")
}
