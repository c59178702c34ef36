//! A flag by which one task cancels what others do.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// A flag that is raised once and wakes its waiters in the order in which they began to wait.
///
/// It stands in place of `tokio_util::sync::CancellationToken`, because it records the moment at which it was
/// raised: the check after a write compares that moment with the moment of the write.
#[derive(Default)]
pub struct CancelFlag {
    raised_at: Cell<Option<Instant>>,
    waiters: Notify,
}

impl CancelFlag {
    /// Raises the flag. Raising it again changes nothing, not even the recorded moment.
    pub fn raise(&self) {
        if !self.is_raised() {
            self.raised_at.set(Some(Instant::now()));
            self.waiters.notify_waiters();
        }
    }

    /// Whether it is raised.
    pub fn is_raised(&self) -> bool {
        self.raised_at.get().is_some()
    }

    /// Whether it was raised more than `span` before `now`.
    pub(super) fn was_raised_before(&self, now: Instant, span: Duration) -> bool {
        self.raised_at.get().is_some_and(|raised_at| now > raised_at + span)
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
