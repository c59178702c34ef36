//! Moments and spans of time, as two types: the compiler refuses to add two moments, or to pass a span as a moment.
//!
//! Both count whole microseconds and serialize as that number. They share no code with the node, since the models stand
//! in for what the node is judged by.

use std::ops::{Add, Div, Mul, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: f64 = 1e6;

/// A moment: microseconds since the start of the run, on the monotonic clock of the process that drives the models.
///
/// The testbed's event log owns that clock. The default is the start of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

/// A span of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeSpan(u64);

impl Timestamp {
    /// The start of the run.
    pub const ZERO: Timestamp = Timestamp(0);
    /// The latest moment; no span can be added to it.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The moment so many microseconds after the start of the run.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// Microseconds since the start of the run.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Seconds since the start of the run.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// The span since an earlier moment; zero if that moment is the later one.
    pub fn saturating_since(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }

    /// The span between two moments, in whichever order.
    pub fn abs_diff(self, other: Timestamp) -> TimeSpan {
        TimeSpan(self.0.abs_diff(other.0))
    }
}

impl TimeSpan {
    /// No time.
    pub const ZERO: TimeSpan = TimeSpan(0);
    /// The longest span.
    pub const MAX: TimeSpan = TimeSpan(u64::MAX);

    /// A span of so many microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        TimeSpan(micros)
    }

    /// A span of so many milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        TimeSpan(millis * 1_000)
    }

    /// A span of so many seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        TimeSpan(seconds * 1_000_000)
    }

    /// A span of so many seconds, rounded to the nearest microsecond; a negative number counts as zero.
    pub fn from_secs_f64(seconds: f64) -> Self {
        TimeSpan((seconds.max(0.0) * MICROS_PER_SECOND).round() as u64)
    }

    /// Its number of microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Its number of whole milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Its number of seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }
}

impl From<TimeSpan> for Duration {
    fn from(span: TimeSpan) -> Self {
        Duration::from_micros(span.0)
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

    fn add(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0 + span.0)
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0 - span.0)
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
