//! Whether the first byte of an attempt may still be sent.
//!
//! The party that withdraws the permit and the socket that is about to write look at the same value, in one
//! thread, so that a permit is never withdrawn too late. It says nothing of an attempt whose first byte has
//! been sent.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// A flag that is raised once and wakes those who wait for that, in the order in which they began to wait.
#[derive(Default)]
pub struct CancelFlag {
    raised: Cell<bool>,
    waiters: Notify,
}

impl CancelFlag {
    /// Raises the flag. Does nothing if it is raised already.
    pub fn raise(&self) {
        if !self.raised.replace(true) {
            self.waiters.notify_waiters();
        }
    }

    /// Whether it is raised.
    pub fn is_raised(&self) -> bool {
        self.raised.get()
    }

    /// Returns once it is raised.
    pub async fn wait(&self) {
        loop {
            // It is woken by each `notify_waiters` from here on, polled or not, so that none is missed
            // between the check and the wait.
            let notified = self.waiters.notified();
            if self.is_raised() {
                return;
            }
            notified.await;
        }
    }
}

/// Whether the first byte of one attempt may still be sent. It ends by the first of three:
///
/// - the dispatch task, which alone creates and revokes permits, revokes it;
/// - the client disconnects: the job's server task raises that flag directly, since in the queue of the
///   dispatch task it might wait behind others;
/// - a deadline passes.
#[derive(Default)]
pub struct SendPermit {
    revoked: CancelFlag,
    client_gone: Rc<CancelFlag>,
    deadline: Option<Instant>,
}

impl SendPermit {
    /// A permit that ends with `client_gone`, and at `deadline` if there is one.
    pub fn new(client_gone: Rc<CancelFlag>, deadline: Option<Instant>) -> Rc<SendPermit> {
        Rc::new(SendPermit { revoked: CancelFlag::default(), client_gone, deadline })
    }

    /// Ends the permit.
    pub fn revoke(&self) {
        self.revoked.raise();
    }

    /// Whether the first byte may be sent now.
    pub fn is_valid(&self) -> bool {
        let is_expired = || self.deadline.is_some_and(|deadline| Instant::now() >= deadline);
        !self.revoked.is_raised() && !self.client_gone.is_raised() && !is_expired()
    }

    /// Returns once the permit is not valid any more.
    pub async fn invalidated(&self) {
        tokio::select! {
            biased;
            () = self.revoked.wait() => {}
            () = self.client_gone.wait() => {}
            () = self.expired() => {}
        }
    }

    async fn expired(&self) {
        match self.deadline {
            Some(deadline) => sleep_until(deadline).await,
            None => pending().await,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/send_permit.rs"]
mod tests;
