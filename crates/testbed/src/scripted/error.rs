//! Why a scripted node does not run, or rejects an admin command.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a scripted node does not run. Each error names the remedy.
#[derive(Debug, Error)]
pub enum ScriptedNodeError {
    /// The environment does not name a configuration.
    #[error("RELAY_CONFIG is not set; name the configuration file of a node in it")]
    ConfigUnset,
    /// The configuration cannot be read.
    #[error("{path}: {problem}; name a file that can be read in RELAY_CONFIG")]
    ConfigUnreadable {
        /// The file.
        path: String,
        /// The system's error.
        #[source]
        problem: io::Error,
    },
    /// The configuration is not of the expected form.
    #[error("{path}: {problem}; write what a node reads: listen, discovery and, if need be, console")]
    ConfigInvalid {
        /// The file.
        path: String,
        /// The parser's error.
        #[source]
        problem: serde_json::Error,
    },
    /// An address of the configuration cannot be bound.
    #[error("{address}: {problem}; give the node an address that nothing else uses")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        #[source]
        problem: io::Error,
    },
    /// The system refused a socket, a signal handler or a file in the node's folder.
    #[error(
        "{0}; set TMPDIR to a folder that can be written to, and raise the limit of open files (ulimit -n)"
    )]
    System(#[from] io::Error),
}

/// Why an admin command is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum CommandError {
    #[error("not yet")]
    NotReady,
    #[error("never listed")]
    UnknownWorker,
    #[error("no such call")]
    UnknownCommand,
    #[error("the folder cannot be written")]
    FolderNotWritable,
}
