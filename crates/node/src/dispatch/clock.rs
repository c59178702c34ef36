//! The clock of the node, and all conversions between its moments and those of other clocks.
//!
//! | clock | type | converted by |
//! | --- | --- | --- |
//! | the node's own: the dispatcher, timers, deadlines | [`Timestamp`], [`TimeSpan`] | |
//! | the runtime's monotonic clock | [`tokio::time::Instant`], [`Duration`] | [`Clock::moment_of`], [`Clock::instant_at`], [`time_span`] |
//! | the wall clock of discovery and of the other process of this node | [`WallTime`] | [`WallTime::of`], [`WallTime::moment`] |
//!
//! The origin of the node's clock is the Unix epoch, so that moments of two processes can be compared and a wall
//! time has the same count of microseconds. The records that the dispatcher itself writes for another process
//! (`MigratedJob`, `StateSnapshot`) hold moments of the writer's clock, which the reader's dispatcher takes as its own.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewusher_core::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// Reads the system's time once, at its start, and counts on from there with the monotonic clock. It never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// The moment of `started`.
    start: Timestamp,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), start: Timestamp::ORIGIN + time_span(since_epoch) }
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        self.start + time_span(self.started.elapsed())
    }

    /// A moment of the runtime's clock on this clock; a moment before the start becomes the start.
    pub(super) fn moment_of(&self, instant: tokio::time::Instant) -> Timestamp {
        let since_start = instant.into_std().saturating_duration_since(self.started);
        self.start + time_span(since_start)
    }

    /// A moment of this clock on the runtime's clock; a moment before the start becomes the start.
    pub(super) fn instant_at(&self, moment: Timestamp) -> tokio::time::Instant {
        (self.started + Duration::from(moment.saturating_since(self.start))).into()
    }
}

/// A duration of the standard library in the dispatcher's type, rounded down to a microsecond.
pub(super) fn time_span(duration: Duration) -> TimeSpan {
    TimeSpan::from_micros(duration.as_micros() as u64)
}

/// A moment on the wall clock of discovery or of the other process of this node: microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// The wall time of a moment of the node's clock.
    pub fn of(moment: Timestamp) -> WallTime {
        WallTime(moment.as_micros())
    }

    /// The wall time at a number of milliseconds since the Unix epoch, at most the latest that can be represented.
    pub fn from_unix_millis(milliseconds: u64) -> WallTime {
        WallTime(milliseconds.saturating_mul(1000))
    }

    /// The moment of the node's clock at this wall time.
    pub fn moment(self) -> Timestamp {
        Timestamp::from_micros(self.0)
    }
}
