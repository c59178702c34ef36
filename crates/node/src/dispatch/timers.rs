//! Timers of the dispatch task, in the order of their expiry.

use std::collections::BTreeSet;

use curlewusher_core::Timestamp;

use crate::attempt::AttemptId;

/// Type of a timer. If timers expire at the same time, those of the dispatcher precede those of attempts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Timer that the dispatcher has requested.
    Dispatcher,
    /// Timeout of an attempt.
    AttemptTimeout(AttemptId),
}

/// A timer and its expiry time. The order of the fields is the order of expiry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    expires_at: Timestamp,
    timer: Timer,
}

/// Timers ordered by expiry time. A timer that is scheduled twice for the same time expires once.
#[derive(Default)]
pub(super) struct TimerQueue(BTreeSet<ScheduledTimer>);

impl TimerQueue {
    /// Adds a timer.
    pub(super) fn schedule(&mut self, expires_at: Timestamp, timer: Timer) {
        self.0.insert(ScheduledTimer { expires_at, timer });
    }

    /// Removes a timer. Has no effect if the timer has expired or was never scheduled.
    pub(super) fn cancel(&mut self, expires_at: Timestamp, timer: Timer) {
        self.0.remove(&ScheduledTimer { expires_at, timer });
    }

    /// Returns the time at which the next timer expires.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.0.first().map(|next| next.expires_at)
    }

    /// Removes and returns the next timer that has expired at `now`.
    pub(super) fn pop_expired(&mut self, now: Timestamp) -> Option<Timer> {
        let next = *self.0.first().filter(|next| next.expires_at <= now)?;
        self.0.remove(&next);
        Some(next.timer)
    }
}
