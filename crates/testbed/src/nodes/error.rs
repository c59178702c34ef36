//! Why a node does not run.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why a node does not run. Each error names the remedy, or shows the last lines of the node's log.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A file or folder that the node needs cannot be written.
    #[error("{}: {problem}; give the lab a folder that it can write to", file.display())]
    Write {
        /// The file or folder.
        file: PathBuf,
        /// The system's error.
        #[source]
        problem: io::Error,
    },
    /// The program cannot be started.
    #[error("node {node}: {}: {problem}; name a program that can be run with --node", program.display())]
    Start {
        /// Number of the node.
        node: usize,
        /// The program.
        program: PathBuf,
        /// The system's error.
        #[source]
        problem: io::Error,
    },
    /// The process runs, or ran, and did not do what it has to.
    #[error("node {node} {failure}; its last lines:\n    {lines}")]
    Failed {
        /// Number of the node.
        node: usize,
        /// What it did wrong.
        failure: NodeFailure,
        /// The last lines of its log.
        lines: String,
    },
}

/// What a node's process did wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NodeFailure {
    /// The process exited before it announced its address.
    #[error("ended before it served")]
    ExitedBeforeServing,
    /// The process runs and has not announced its address in time.
    #[error("did not say where it serves")]
    NoAddress,
    /// The process serves and its readiness check has not succeeded in time.
    #[error("did not become ready")]
    NotReady,
    /// The predecessor of an upgrade exited early, or not with success.
    #[error("ended badly, or before its newer process was ready")]
    PredecessorExited,
    /// The successor of an upgrade exited.
    #[error("ended by itself as the newer process of an upgrade")]
    SuccessorExited,
    /// The predecessor of an upgrade did not exit in time after SIGTERM.
    #[error("did not end by itself within 3.7 s of SIGTERM, and was killed")]
    IgnoredSigterm,
    /// The successor of an upgrade did not answer READY by yes in time.
    #[error("did not say yes to READY within 6 s in an upgrade")]
    SuccessorNotReady,
}
