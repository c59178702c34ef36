//! Errors of a scripted node.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Reason for which a scripted node cannot run. Each message names the remedy.
#[derive(Debug, Error)]
pub enum ScriptedNodeError {
    /// The environment variable `RELAY_CONFIG` is not set.
    #[error("RELAY_CONFIG is not set; set it to the path of a node's configuration file")]
    ConfigUnset,
    /// The configuration file cannot be read.
    #[error("{path}: {problem}; set RELAY_CONFIG to the path of a readable file")]
    ConfigUnreadable {
        /// Path of the configuration file.
        path: String,
        /// Error of the operating system.
        #[source]
        problem: io::Error,
    },
    /// The configuration file is malformed.
    #[error("{path}: {problem}; write a JSON object with listen, discovery and, for admin commands, console")]
    ConfigInvalid {
        /// Path of the configuration file.
        path: String,
        /// Error of the JSON parser.
        #[source]
        problem: serde_json::Error,
    },
    /// An address in the configuration cannot be bound.
    #[error("{address}: {problem}; configure an address that is not in use")]
    Listen {
        /// Address that cannot be bound.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        problem: io::Error,
    },
    /// A socket, a signal handler or a file in the node's temporary folder cannot be opened.
    #[error("{0}; set TMPDIR to a writable folder, and raise the limit of open files (ulimit -n)")]
    System(#[from] io::Error),
}

/// Reason for which an admin command is rejected. The texts are sent to the operator.
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
