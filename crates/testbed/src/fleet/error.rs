//! Why the fleet cannot be simulated. Each worker and each node needs sockets of its own.

use std::io;

use thiserror::Error;

/// Why a socket of the fleet cannot be opened. Each error names the remedy.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A worker's port cannot be reserved.
    #[error("a worker's port: {0}; raise the limit of open files (ulimit -n), or play fewer workers")]
    WorkerPort(#[source] io::Error),
    /// The proxy in front of a worker does not start.
    #[error("a worker's proxy: {0}; raise the limit of open files (ulimit -n), or play fewer workers")]
    WorkerProxy(#[source] io::Error),
    /// A node's discovery server cannot listen.
    #[error("discovery's port: {0}; raise the limit of open files (ulimit -n), or play fewer nodes")]
    DiscoveryPort(#[source] io::Error),
    /// The proxy in front of a discovery server does not start.
    #[error("discovery's proxy: {0}; raise the limit of open files (ulimit -n), or play fewer nodes")]
    DiscoveryProxy(#[source] io::Error),
}
