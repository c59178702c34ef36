//! The timers of the dispatch task, in the order in which they expire.

use std::collections::BTreeSet;

use curlewusher_core::Timestamp;

use crate::attempt::AttemptId;

/// What is to be done when a timer expires. At one moment the dispatcher's timers come before those of
/// attempts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The dispatcher has requested to be called.
    Dispatcher,
    /// An attempt has run for as long as it may.
    AttemptTimeout(AttemptId),
}

/// A timer and its moment; the order of the fields is the order of expiry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    expires_at: Timestamp,
    timer: Timer,
}

/// Timers ordered by the moment of expiry. A timer that is scheduled twice for one moment expires once.
#[derive(Default)]
pub(super) struct TimerQueue(BTreeSet<ScheduledTimer>);

impl TimerQueue {
    /// Adds a timer.
    pub(super) fn schedule(&mut self, expires_at: Timestamp, timer: Timer) {
        self.0.insert(ScheduledTimer { expires_at, timer });
    }

    /// Removes a timer; one that has expired or was never scheduled is no error.
    pub(super) fn cancel(&mut self, expires_at: Timestamp, timer: Timer) {
        self.0.remove(&ScheduledTimer { expires_at, timer });
    }

    /// The moment at which the next timer expires.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.0.first().map(|next| next.expires_at)
    }

    /// Removes the next timer that has expired at `now`.
    pub(super) fn pop_expired(&mut self, now: Timestamp) -> Option<Timer> {
        let next = *self.0.first().filter(|next| next.expires_at <= now)?;
        self.0.remove(&next);
        Some(next.timer)
    }
}
