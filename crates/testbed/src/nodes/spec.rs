//! What a node's process is started with.

use std::net::SocketAddr;
use std::path::PathBuf;

/// What a process is started with beside its program.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Number of the node.
    pub number: usize,
    /// Counts the processes of a node that were started beside an older one.
    pub version: usize,
    /// Where clients connect; the system chooses the port if it is 0.
    pub listen: SocketAddr,
    /// The node's discovery server.
    pub discovery: SocketAddr,
    /// Where admin commands arrive, if the scenario needs that.
    pub admin_address: Option<SocketAddr>,
    /// The endpoint list that the process starts with.
    pub saved_list: Option<serde_json::Value>,
    /// The node's own temporary folder, which both processes of an upgrade share.
    pub temporary: PathBuf,
}

/// The program that all nodes run.
#[derive(Clone)]
pub struct Program {
    /// The file.
    pub path: PathBuf,
    /// Its command line.
    pub arguments: Vec<String>,
    /// Where configurations and logs are written.
    pub folder: PathBuf,
}

impl ProcessSpec {
    /// The name of the process's files. The first process of a node has the plain name.
    pub(super) fn file_stem(&self) -> String {
        match self.version {
            0 => format!("n{}", self.number),
            version => format!("n{}-v{version}", self.number),
        }
    }
}
