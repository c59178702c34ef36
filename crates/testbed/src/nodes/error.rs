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
    #[error("node {node} {why}; its last lines:\n    {lines}")]
    Failed {
        /// Number of the node.
        node: usize,
        /// What it did wrong.
        why: &'static str,
        /// The last lines of its log.
        lines: String,
    },
}
