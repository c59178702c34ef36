//! Connection state of the client of a job.

use std::cell::OnceCell;
use std::time::Duration;

use tokio::time::Instant;

use super::cancel_flag::CancelFlag;

/// Function that checks the client socket, and returns whether it shows that the client has disconnected.
type DisconnectProbe = Box<dyn Fn() -> bool>;

/// Connection state of the client of a job. A disconnected client stays disconnected.
///
/// The connection task of the server reports a disconnection when that task runs. After a stall of the
/// process, an attempt may be about to be written before that. Therefore the client socket is also checked
/// before each write.
#[derive(Default)]
pub struct ClientPresence {
    disconnected: CancelFlag,
    probe: OnceCell<DisconnectProbe>,
}

impl ClientPresence {
    /// Sets the probe of the client socket. Only the first probe of a job is used.
    pub fn set_probe(&self, probe: impl Fn() -> bool + 'static) {
        // Each job has a single client connection in this process.
        let _ = self.probe.set(Box::new(probe));
    }

    /// Records that the client has disconnected.
    pub fn mark_disconnected(&self) {
        self.disconnected.raise();
    }

    /// Returns whether the client has disconnected, and checks its socket if no disconnection has been
    /// recorded.
    pub fn is_disconnected(&self) -> bool {
        if !self.disconnected.is_raised() && self.probe.get().is_some_and(|probe| probe()) {
            self.mark_disconnected();
        }
        self.disconnected.is_raised()
    }

    /// Returns whether the disconnection was recorded more than `tolerance` before `now`.
    pub(super) fn was_disconnected_before(&self, now: Instant, tolerance: Duration) -> bool {
        self.disconnected.was_raised_before(now, tolerance)
    }

    /// Waits until a disconnection of the client is recorded.
    pub async fn wait_until_disconnected(&self) {
        self.disconnected.wait().await;
    }
}
