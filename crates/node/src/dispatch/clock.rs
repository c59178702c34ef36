//! The clock of the node: microseconds since the Unix epoch that never go back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewusher_core::{TimeSpan, Timestamp};

/// Reads the system's time once, at its start, and counts on from there with the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Time since the Unix epoch at `started`.
    unix_at_start: Timestamp,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_at_start: Timestamp::from_micros(unix.as_micros() as u64) }
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        self.unix_at_start + time_span(self.started.elapsed())
    }

    /// A moment of the runtime's clock on this clock; a moment before the start becomes the start.
    pub(super) fn moment_of(&self, instant: tokio::time::Instant) -> Timestamp {
        let since_start = instant.into_std().saturating_duration_since(self.started);
        self.unix_at_start + time_span(since_start)
    }

    /// A moment of this clock on the runtime's clock; a moment before the start becomes the start.
    pub(super) fn instant_at(&self, moment: Timestamp) -> tokio::time::Instant {
        (self.started + Duration::from(moment.saturating_since(self.unix_at_start))).into()
    }
}

/// A duration of the standard library in the dispatcher's type, rounded down to a microsecond.
pub fn time_span(duration: Duration) -> TimeSpan {
    TimeSpan::from_micros(duration.as_micros() as u64)
}
