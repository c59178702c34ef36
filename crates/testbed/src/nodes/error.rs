//! Errors of node processes.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Errors of a node's process. Each message names the remedy or has the last lines of the node's log.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A file or folder that the node needs cannot be written.
    #[error("{}: {problem}; use a writable folder for --out and TMPDIR", file.display())]
    Write {
        /// Path of the file or folder.
        file: PathBuf,
        /// Error of the operating system.
        #[source]
        problem: io::Error,
    },
    /// The node's program cannot be started.
    #[error("node {node}: {}: {problem}; set --node to an executable program", program.display())]
    Start {
        /// Number of the node.
        node: usize,
        /// Path of the program.
        program: PathBuf,
        /// Error of the operating system.
        #[source]
        problem: io::Error,
    },
    /// The process was started, and then failed.
    #[error("node {node} {failure}; its last lines:\n    {lines}")]
    Failed {
        /// Number of the node.
        node: usize,
        /// Failure of the process.
        failure: NodeFailure,
        /// Last lines of the node's log.
        lines: String,
    },
}

/// Failure of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NodeFailure {
    /// The process exited before it announced its address.
    #[error("ended before it served")]
    ExitedBeforeServing,
    /// The process is running, but did not announce its address in time.
    #[error("did not announce its address in time")]
    NoAddress,
    /// The process announced its address, but its readiness check did not succeed in time.
    #[error("did not become ready in time")]
    NotReady,
    /// The predecessor of an upgrade exited before its successor was ready, or with a failure status.
    #[error("exited with failure, or before its successor was ready")]
    PredecessorExited,
    /// The successor of an upgrade exited unexpectedly.
    #[error("exited unexpectedly as the successor of an upgrade")]
    SuccessorExited,
    /// The predecessor of an upgrade did not exit in time after SIGTERM, and the testbed killed it.
    #[error("did not end by itself within 3.7 s of SIGTERM, and was killed")]
    IgnoredSigterm,
    /// The successor of an upgrade did not confirm READY in time, and the testbed killed it.
    #[error("did not say yes to READY within 6 s in an upgrade")]
    SuccessorNotReady,
}
