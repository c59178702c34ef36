//! A flag with which one task cancels work of other tasks.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// A flag that is raised once and then wakes its waiters in the order in which they began to wait.
///
/// This type replaces `tokio_util::sync::CancellationToken` because it records the time at which the flag was
/// raised: the check after a write compares that time with the time of the write.
#[derive(Default)]
pub struct CancelFlag {
    raised_at: Cell<Option<Instant>>,
    waiters: Notify,
}

impl CancelFlag {
    /// Raises the flag. Raising it again has no effect, and the recorded time stays that of the first call.
    pub fn raise(&self) {
        if !self.is_raised() {
            self.raised_at.set(Some(Instant::now()));
            self.waiters.notify_waiters();
        }
    }

    /// Returns whether the flag is raised.
    pub fn is_raised(&self) -> bool {
        self.raised_at.get().is_some()
    }

    /// Returns whether the flag was raised more than `tolerance` before `now`.
    pub(super) fn was_raised_before(&self, now: Instant, tolerance: Duration) -> bool {
        self.raised_at.get().is_some_and(|raised_at| now > raised_at + tolerance)
    }

    /// Waits until the flag is raised.
    pub async fn wait(&self) {
        loop {
            // From here on, each `notify_waiters` wakes this future, even if it has not been polled. So no
            // notification is missed between the check and the wait.
            let notified = self.waiters.notified();
            if self.is_raised() {
                return;
            }
            notified.await;
        }
    }
}
