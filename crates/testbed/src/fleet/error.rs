//! Why the fleet cannot be simulated.

use std::io;

use thiserror::Error;

/// Why a socket of the fleet cannot be opened.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A worker's port cannot be reserved.
    #[error("a worker's port: {0}")]
    WorkerPort(#[source] io::Error),
    /// The proxy in front of a worker does not start.
    #[error("a worker's proxy: {0}")]
    WorkerProxy(#[source] io::Error),
    /// A node's discovery server cannot listen.
    #[error("discovery's port: {0}")]
    DiscoveryPort(#[source] io::Error),
    /// The proxy in front of a discovery server does not start.
    #[error("discovery's proxy: {0}")]
    DiscoveryProxy(#[source] io::Error),
}
