//! The signals that the node handles.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::runtime::error::ServeError;

/// Receivers of the handled signals.
pub struct Signals {
    /// SIGTERM: shut down gracefully.
    pub terminate: Signal,
    /// SIGHUP: read the configuration again.
    pub hang_up: Signal,
}

impl Signals {
    /// Installs the handlers. A signal without a handler ends the program, so this is done first.
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
