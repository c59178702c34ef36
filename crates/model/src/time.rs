//! Points in time and durations as two types. The compiler rejects adding two points in time, or passing a
//! duration as a point in time.
//!
//! Both types count whole microseconds and serialize as that number. They share no code with the node,
//! because the models represent the environment against which the node is tested.

use std::ops::{Add, Div, Mul, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: f64 = 1e6;

/// Point in time, in microseconds since the start of the run.
///
/// The time is measured on the monotonic clock of the process that drives the models. In the testbed, the
/// event log owns this clock. The default is the start of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

/// Duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeSpan(u64);

impl Timestamp {
    /// Start of the run.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Maximum timestamp. Adding a duration above zero to it overflows.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Creates the timestamp `micros` microseconds after the start of the run.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// Returns the number of microseconds since the start of the run.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the number of seconds since the start of the run.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than this timestamp.
    pub fn saturating_since(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }

    /// Returns the duration between two timestamps, regardless of their order.
    pub fn abs_diff(self, other: Timestamp) -> TimeSpan {
        TimeSpan(self.0.abs_diff(other.0))
    }
}

impl TimeSpan {
    /// Duration of zero.
    pub const ZERO: TimeSpan = TimeSpan(0);
    /// Maximum duration.
    pub const MAX: TimeSpan = TimeSpan(u64::MAX);

    /// Creates a duration of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        TimeSpan(micros)
    }

    /// Creates a duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        TimeSpan(millis * 1_000)
    }

    /// Creates a duration of `seconds` seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        TimeSpan(seconds * 1_000_000)
    }

    /// Creates a duration of `seconds` seconds, rounded to the nearest microsecond. A negative number counts
    /// as zero.
    pub fn from_secs_f64(seconds: f64) -> Self {
        TimeSpan((seconds.max(0.0) * MICROS_PER_SECOND).round() as u64)
    }

    /// Returns the number of microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the number of whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the number of seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }
}

impl From<TimeSpan> for Duration {
    fn from(time_span: TimeSpan) -> Self {
        Duration::from_micros(time_span.0)
    }
}

impl From<Duration> for TimeSpan {
    /// Rounds down to whole microseconds.
    fn from(duration: Duration) -> Self {
        TimeSpan(duration.as_micros() as u64)
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: TimeSpan) -> Timestamp {
        Timestamp(self.0 + duration.0)
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: TimeSpan) -> Timestamp {
        Timestamp(self.0 - duration.0)
    }
}

impl Sub for Timestamp {
    type Output = TimeSpan;

    fn sub(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0 - earlier.0)
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;

    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0 + other.0)
    }
}

impl Sub for TimeSpan {
    type Output = TimeSpan;

    fn sub(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0 - other.0)
    }
}

impl Mul<u64> for TimeSpan {
    type Output = TimeSpan;

    fn mul(self, factor: u64) -> TimeSpan {
        TimeSpan(self.0 * factor)
    }
}

impl Div<u64> for TimeSpan {
    type Output = TimeSpan;

    fn div(self, divisor: u64) -> TimeSpan {
        TimeSpan(self.0 / divisor)
    }
}
