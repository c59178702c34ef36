//! Owns the word on whether the first byte of a delivery attempt may still leave: who takes it back says so here,
//! and who is about to write looks here in that same moment. It must never decide that, and never be asked of an
//! attempt whose bytes have begun to leave.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Something that comes true once, and wakes those who wait for it.
#[derive(Default)]
pub struct CancelFlag {
    raised: Cell<bool>,
    told: Notify,
}

impl CancelFlag {
    /// May be said again.
    pub fn raise(&self) {
        if !self.raised.replace(true) {
            self.told.notify_waiters();
        }
    }

    pub fn is_raised(&self) -> bool {
        self.raised.get()
    }

    /// Returns once it is true.
    pub async fn wait(&self) {
        loop {
            // It hears what is said from here on, polled or not: nothing is lost between the look and the wait.
            let told = self.told.notified();
            if self.is_raised() {
                return;
            }
            told.await;
        }
    }
}

/// Whether the first byte of one delivery attempt may still leave. The dispatch task makes it, and alone revokes it;
/// the client's going is said by the job's sender side, past the queue, where it might stand behind a crowd.
#[derive(Default)]
pub struct SendPermit {
    revoked: CancelFlag,
    client_gone: Rc<CancelFlag>,
    leave_by: Option<Instant>,
}

impl SendPermit {
    /// For an attempt of a job whose client has gone once `client_gone` says so. From `leave_by` on it holds no more.
    pub fn new(client_gone: Rc<CancelFlag>, leave_by: Option<Instant>) -> Rc<SendPermit> {
        Rc::new(SendPermit { revoked: CancelFlag::default(), client_gone, leave_by })
    }

    pub fn revoke(&self) {
        self.revoked.raise();
    }

    pub fn is_valid(&self) -> bool {
        let over = || self.leave_by.is_some_and(|by| Instant::now() >= by);
        !self.revoked.is_raised() && !self.client_gone.is_raised() && !over()
    }

    /// Returns once it holds no more.
    pub async fn revoked(&self) {
        tokio::select! {
            biased;
            () = self.revoked.wait() => {}
            () = self.client_gone.wait() => {}
            () = async {
                match self.leave_by {
                    Some(by) => sleep_until(by).await,
                    None => pending().await,
                }
            } => {}
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/send_permit.rs"]
mod tests;
