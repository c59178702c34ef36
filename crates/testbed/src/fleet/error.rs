//! Errors of starting the fleet. Each worker and each node needs its own sockets.

use std::io;

use thiserror::Error;

/// Errors of opening a socket of the fleet. Each message names the remedy.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A worker's port cannot be reserved.
    #[error(
        "cannot reserve a worker's port: {0}; raise the limit of open files (ulimit -n), or simulate fewer workers"
    )]
    WorkerPort(#[source] io::Error),
    /// The proxy in front of a worker cannot start.
    #[error(
        "cannot start a worker's proxy: {0}; raise the limit of open files (ulimit -n), or simulate fewer workers"
    )]
    WorkerProxy(#[source] io::Error),
    /// A node's discovery server cannot listen.
    #[error(
        "cannot open a discovery port: {0}; raise the limit of open files (ulimit -n), or simulate fewer nodes"
    )]
    DiscoveryPort(#[source] io::Error),
    /// The proxy in front of a discovery server cannot start.
    #[error(
        "cannot start a proxy of discovery: {0}; raise the limit of open files (ulimit -n), or simulate fewer nodes"
    )]
    DiscoveryProxy(#[source] io::Error),
}
