//! Parameters of a node's process.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Parameters of a process other than its program.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Number of the node.
    pub number: usize,
    /// Number of upgrades that led to this process: 0 for a process that no upgrade started, and one more
    /// than that of the predecessor for a successor.
    pub version: usize,
    /// Address at which the node listens for clients. With port 0, the operating system chooses the port.
    pub listen: SocketAddr,
    /// Address of the node's discovery server.
    pub discovery: SocketAddr,
    /// Address at which the node listens for admin commands, if the scenario needs them.
    pub admin_address: Option<SocketAddr>,
    /// Endpoint list with which the process starts, if any.
    pub saved_list: Option<serde_json::Value>,
    /// Temporary folder of the node, which both processes of an upgrade share.
    pub temporary_folder: PathBuf,
}

/// Program that all nodes run.
#[derive(Clone)]
pub struct Program {
    /// Path of the executable file.
    pub path: PathBuf,
    /// Command-line arguments.
    pub arguments: Vec<String>,
    /// Folder for the nodes' configuration files and logs.
    pub folder: PathBuf,
}

impl ProcessSpec {
    /// Returns the name of the process's files without extension. It has a suffix only for the successors of
    /// upgrades.
    pub(super) fn file_stem(&self) -> String {
        match self.version {
            0 => format!("n{}", self.number),
            version => format!("n{}-v{version}", self.number),
        }
    }
}
