//! Clock of the node, and conversions between its times and those of other clocks.
//!
//! | clock | type | converted by |
//! | --- | --- | --- |
//! | clock of the node: dispatcher, timers, deadlines | [`Timestamp`], [`TimeSpan`] | |
//! | monotonic clock of the runtime | [`tokio::time::Instant`], [`Duration`] | [`Clock::timestamp_of`], [`Clock::instant_at`], [`time_span`] |
//! | wall clock of discovery and of the peer process | [`WallTime`] | [`WallTime::from_timestamp`], [`WallTime::to_timestamp`] |
//!
//! The origin of the node's clock is the Unix epoch, so that the times of two processes can be compared and a
//! wall time has the same number of microseconds. The records that the dispatcher itself writes for the peer
//! (`MigratedJob`, `StateSnapshot`) contain times of the writer's clock, which the reader's dispatcher uses
//! as times of its own clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewusher_core::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// Clock that reads the system time once, when it is created, and advances with the monotonic clock. It never
/// goes backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Time of the monotonic clock at which this clock was created.
    start_instant: Instant,
    /// Time of this clock at its creation.
    start_timestamp: Timestamp,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_instant: Instant::now(), start_timestamp: Timestamp::ORIGIN + time_span(since_epoch) }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.start_timestamp + time_span(self.start_instant.elapsed())
    }

    /// Converts a time of the monotonic clock into a time of this clock; a time before the start becomes the
    /// start.
    pub(super) fn timestamp_of(&self, instant: tokio::time::Instant) -> Timestamp {
        let since_start = instant.into_std().saturating_duration_since(self.start_instant);
        self.start_timestamp + time_span(since_start)
    }

    /// Converts a time of this clock into a time of the monotonic clock; a time before the start becomes the
    /// start.
    pub(super) fn instant_at(&self, timestamp: Timestamp) -> tokio::time::Instant {
        (self.start_instant + Duration::from(timestamp.saturating_since(self.start_timestamp))).into()
    }
}

/// Converts a duration of the standard library into the type of the dispatcher, rounded down to a
/// microsecond.
pub(super) fn time_span(duration: Duration) -> TimeSpan {
    TimeSpan::from_micros(duration.as_micros() as u64)
}

/// Time of the wall clock of discovery or of the peer process, in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Converts a time of the clock of the node into a wall time.
    pub fn from_timestamp(timestamp: Timestamp) -> WallTime {
        WallTime(timestamp.as_micros())
    }

    /// Creates the wall time at this number of milliseconds since the Unix epoch; limited to the latest time
    /// that can be represented.
    pub fn from_unix_millis(milliseconds: u64) -> WallTime {
        WallTime(milliseconds.saturating_mul(1000))
    }

    /// Converts the wall time into a time of the clock of the node.
    pub fn to_timestamp(self) -> Timestamp {
        Timestamp::from_micros(self.0)
    }
}
