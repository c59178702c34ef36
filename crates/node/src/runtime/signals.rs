//! Signals that the node handles.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::runtime::error::ServeError;

/// Receivers of the handled signals.
pub struct Signals {
    /// Receiver of SIGTERM, which starts the graceful shutdown.
    pub terminate: Signal,
    /// Receiver of SIGHUP, which reloads the configuration.
    pub hang_up: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called before the node starts, because a signal without a handler kills
    /// the process.
    pub fn install() -> Result<Self, ServeError> {
        Ok(Signals {
            terminate: install_handler(SignalKind::terminate(), "SIGTERM")?,
            hang_up: install_handler(SignalKind::hangup(), "SIGHUP")?,
        })
    }
}

fn install_handler(kind: SignalKind, name: &'static str) -> Result<Signal, ServeError> {
    signal(kind).map_err(|source| ServeError::SignalHandler { signal: name, source })
}
