//! Crashes: unexpected failures of a node's process, which the scenario does not demand.

use std::io;
use std::process::ExitStatus;

use thiserror::Error;

use super::StartError;
use crate::nodes::{Node, NodeError};

/// Unexpected failure of a node's process, with the last lines of its log if they explain the failure.
#[derive(Debug, Error)]
pub enum NodeCrash {
    /// The process exited although the testbed did not stop it.
    #[error("node {node} ended by itself, {status}; its last lines:\n    {lines}")]
    ExitedUnexpectedly {
        /// Number of the node.
        node: usize,
        /// Exit status of the process.
        status: ExitStatus,
        /// Last lines of the node's log.
        lines: String,
    },
    /// The process exited after SIGTERM with a failure status, or its status could not be read.
    #[error("node {node} did not exit with success after SIGTERM: {status:?}; its last lines:\n    {lines}")]
    ExitedWithFailure {
        /// Number of the node.
        node: usize,
        /// Exit status of the process, or the error of reading it.
        status: Result<ExitStatus, io::Error>,
        /// Last lines of the node's log.
        lines: String,
    },
    /// The process was still running at the deadline of its graceful shutdown, and the testbed killed it.
    #[error("node {node} did not end by itself after SIGTERM, and was killed")]
    IgnoredSigterm {
        /// Number of the node.
        node: usize,
    },
    /// The node failed its readiness check after the last job.
    #[error("node {node} failed its readiness check after the load")]
    NotReadyAtEnd {
        /// Number of the node.
        node: usize,
    },
    /// The node's metrics count a violation of one of its own invariants.
    #[error("node {node} counted a violation of its own invariants: {counter}")]
    CountedViolation {
        /// Number of the node.
        node: usize,
        /// Line of the node's metrics with the counter.
        counter: String,
    },
    /// The node had no process when its upgrade was due to begin.
    #[error("node {node} had no process when its upgrade was due to begin")]
    NoProcessToUpgrade {
        /// Number of the node.
        node: usize,
    },
    /// The node's process failed in an upgrade, or its configuration could not be written for a reload.
    #[error(transparent)]
    Process(#[from] NodeError),
    /// The node could not be started again.
    #[error(transparent)]
    Restart(#[from] StartError),
}

impl NodeCrash {
    /// Creates the crash of a process that exited although the testbed did not stop it.
    pub fn unexpected_exit(node: &Node, status: ExitStatus) -> Self {
        NodeCrash::ExitedUnexpectedly { node: node.spec.number, status, lines: format_last_lines(node) }
    }

    /// Creates the crash of a process that did not exit with success after SIGTERM.
    pub fn failed_exit(node: &Node, status: Result<ExitStatus, io::Error>) -> Self {
        NodeCrash::ExitedWithFailure { node: node.spec.number, status, lines: format_last_lines(node) }
    }
}

fn format_last_lines(node: &Node) -> String {
    node.last_lines().join("\n    ")
}
