//! Errors that prevent the node from starting or make it stop. Each error states whether another start may
//! succeed.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use curlewusher_core::SettingsError;
use thiserror::Error;

use crate::admin::listener::AdminListenerError;
use crate::config::ConfigError;
use crate::telemetry::logging::LoggingError;

/// Errors that prevent the node from starting or make it stop. Each message names the cause and states what
/// an operator can do.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The configuration cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The admin address cannot be used.
    #[error(transparent)]
    AdminListener(#[from] AdminListenerError),
    /// The address for clients cannot be used.
    #[error(
        "config: listen: {listen}: {source}; give `listen` an address of this machine that no other program has"
    )]
    ClientListener {
        /// Configured address.
        listen: SocketAddr,
        /// Error of the system call.
        source: io::Error,
    },
    /// The settings contradict each other or are out of range.
    #[error("config: {0}")]
    Settings(#[from] SettingsError),
    /// The log cannot be written with the configuration of the operator's file.
    #[error("operator file: log: {0}")]
    Logging(#[from] LoggingError),
    /// The system refused the resources of the asynchronous runtime.
    #[error("the runtime does not start: {0}; raise the limits of this user, and start it again")]
    Runtime(#[source] io::Error),
    /// The system refused to install a signal handler.
    #[error("{signal}: {source}; raise the limits of this user, and start it again")]
    SignalHandler {
        /// Name of the signal.
        signal: &'static str,
        /// Error of the system call.
        source: io::Error,
    },
    /// A task that must run until the shutdown is complete has ended.
    #[error("{0} has ended; start the node again, and report this with the lines before it")]
    TaskEnded(SupervisedTask),
}

impl ServeError {
    /// Returns whether another start with the same configuration would fail in the same way.
    pub fn is_permanent(&self) -> bool {
        match self {
            ServeError::Config(_)
            | ServeError::AdminListener(_)
            | ServeError::ClientListener { .. }
            | ServeError::Settings(_)
            | ServeError::Logging(_) => true,
            ServeError::Runtime(_) | ServeError::SignalHandler { .. } | ServeError::TaskEnded(_) => false,
        }
    }
}

/// Task that must run until the shutdown is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SupervisedTask {
    /// Task that executes operators' commands. Without it an operator could not end a drain.
    Admin,
    /// Task that reloads the configuration. Without it the node could not be reconfigured.
    Reload,
    /// Task that owns the jobs and makes the decisions.
    Dispatch,
    /// Task that divides the work of the node between this process and its peer.
    Takeover,
    /// Task that watches the endpoint list.
    EndpointWatcher,
    /// Task that closes idle connections to workers.
    IdleConnectionSweep,
}

impl fmt::Display for SupervisedTask {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            SupervisedTask::Admin => "the admin address",
            SupervisedTask::Reload => "the reload task",
            SupervisedTask::Dispatch => "the dispatch task",
            SupervisedTask::Takeover => "the takeover task",
            SupervisedTask::EndpointWatcher => "the endpoint watcher",
            SupervisedTask::IdleConnectionSweep => "the sweep of idle connections",
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/serve_error.rs"]
mod tests;
