//! Whether the client of a job is still connected.

use std::cell::OnceCell;
use std::time::Duration;

use tokio::time::Instant;

use super::cancel_flag::CancelFlag;

/// Whether a socket shows that its peer has disconnected.
type DisconnectProbe = Box<dyn Fn() -> bool>;

/// Whether the client of a job is still connected. Once it is gone, it stays gone.
///
/// The server's task of the connection reports a disconnection when it runs. A process that was held up may be
/// about to write before that, so whoever is about to write looks at the client's socket as well.
#[derive(Default)]
pub struct ClientPresence {
    gone: CancelFlag,
    probe: OnceCell<DisconnectProbe>,
}

impl ClientPresence {
    /// Sets how to look at the client's socket. Only the first probe of a job counts.
    pub fn set_probe(&self, is_disconnected: impl Fn() -> bool + 'static) {
        // A job has one connection in this process.
        let _ = self.probe.set(Box::new(is_disconnected));
    }

    /// The client has disconnected.
    pub fn mark_gone(&self) {
        self.gone.raise();
    }

    /// Whether the client has disconnected; looks at its socket.
    pub fn is_gone(&self) -> bool {
        if !self.gone.is_raised() && self.probe.get().is_some_and(|is_disconnected| is_disconnected()) {
            self.mark_gone();
        }
        self.gone.is_raised()
    }

    /// Whether its disconnection was noticed more than `span` before `now`.
    pub(super) fn was_gone_before(&self, now: Instant, span: Duration) -> bool {
        self.gone.was_raised_before(now, span)
    }

    /// Returns once its disconnection is noticed.
    pub async fn wait_until_gone(&self) {
        self.gone.wait().await;
    }
}
