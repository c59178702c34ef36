//! Why the node could not start or had to stop, and whether a restart can help.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use curlewusher_core::SettingsError;
use thiserror::Error;

use crate::admin::listener::AdminListenerError;
use crate::config::ConfigError;
use crate::telemetry::logging::LoggingError;

/// Why the node does not serve, or no longer serves. Each text names the cause and what an operator can do.
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
        /// The configured address.
        listen: SocketAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// The settings contradict each other or are out of range.
    #[error("config: {0}")]
    Settings(#[from] SettingsError),
    /// The log cannot be written as the operator's file configures it.
    #[error("operator file: log: {0}")]
    Logging(#[from] LoggingError),
    /// The system denies the resources of the asynchronous runtime.
    #[error("the runtime does not start: {0}; raise the limits of this user, and start it again")]
    Runtime(#[source] io::Error),
    /// The system denies a signal handler.
    #[error("{signal}: {source}; raise the limits of this user, and start it again")]
    SignalHandler {
        /// Name of the signal.
        signal: &'static str,
        /// What the system answered.
        source: io::Error,
    },
    /// A task that runs for as long as the node does has ended.
    #[error("{0} has ended; start the node again, and report this with the lines before it")]
    TaskEnded(SupervisedTask),
}

impl ServeError {
    /// Whether another start with the same configuration fails in the same way.
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

/// A task that runs for as long as the node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SupervisedTask {
    /// Carries out operators' commands; without it a drain could not be ended.
    Admin,
    /// Reads the configuration again; without it the node could not be reconfigured.
    Reload,
    /// Owns the jobs and the decisions.
    Dispatch,
    /// Shares the node with another process.
    Takeover,
    /// Watches the endpoint list.
    EndpointWatcher,
    /// Closes idle connections to workers.
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
