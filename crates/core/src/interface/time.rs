//! Points in time and durations as two types, so that neither can be passed in place of the other.
//!
//! Both count whole microseconds in a `u64`. [`std::time::Duration`] is not used for durations: it is twice
//! as large, and its conversion to seconds rounds differently, whereas all nodes and versions must compute
//! the same estimates.
//!
//! The operators `+` and `-` require a result within the bounds of the type. Use the `saturating_` methods
//! for results that may be out of bounds.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Time of the clock of the embedder, in microseconds since an origin that the embedder chooses. The clock
/// never goes backwards. Times of different clocks must not be mixed: an embedder converts the time of
/// another clock before it passes it on.
///
/// Two timestamps cannot be added, and a duration cannot be used as a timestamp:
///
/// ```compile_fail
/// use curlewusher_core::Timestamp;
///
/// let sum = Timestamp::ORIGIN + Timestamp::ORIGIN;
/// ```
///
/// ```compile_fail
/// use curlewusher_core::{TimeSpan, Timestamp};
///
/// let deadline: Timestamp = TimeSpan::ZERO;
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

/// Duration in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeSpan(u64);

impl Timestamp {
    /// Origin of the clock.
    pub const ORIGIN: Self = Timestamp(0);
    /// Latest time that can be represented.
    pub const MAX: Self = Timestamp(u64::MAX);

    /// Creates a timestamp from a number of microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// Returns the number of microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this timestamp.
    pub const fn saturating_since(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }

    /// Returns the seconds since `earlier`, or 0 if `earlier` is later than this timestamp.
    pub fn seconds_since(self, earlier: Timestamp) -> f64 {
        self.saturating_since(earlier).as_secs_f64()
    }

    /// Adds a duration. The result is at most [`Timestamp::MAX`].
    #[must_use]
    pub const fn saturating_add(self, duration: TimeSpan) -> Self {
        Timestamp(self.0.saturating_add(duration.0))
    }

    /// Subtracts a duration. The result is at least [`Timestamp::ORIGIN`].
    #[must_use]
    pub const fn saturating_sub(self, duration: TimeSpan) -> Self {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

impl TimeSpan {
    /// Duration of length zero.
    pub const ZERO: Self = TimeSpan(0);
    /// Longest duration that can be represented.
    pub const MAX: Self = TimeSpan(u64::MAX);

    /// Creates a duration from a number of microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        TimeSpan(micros)
    }

    /// Creates a duration from a number of milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        TimeSpan(millis * 1_000)
    }

    /// Creates a duration from a number of seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        TimeSpan(seconds * 1_000_000)
    }

    /// Creates a duration from a number of seconds, rounded down to a microsecond. A negative number and NaN
    /// become zero, and a number that is too large becomes [`TimeSpan::MAX`].
    pub fn from_secs_f64(seconds: f64) -> Self {
        TimeSpan((seconds.max(0.0) * MICROS_PER_SECOND) as u64)
    }

    /// Returns the duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration in seconds.
    pub const fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Returns whether the duration is [`TimeSpan::ZERO`].
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Subtracts a duration. The result is zero if `shorter` is the longer one.
    #[must_use]
    pub const fn saturating_sub(self, shorter: TimeSpan) -> Self {
        TimeSpan(self.0.saturating_sub(shorter.0))
    }
}

impl From<TimeSpan> for Duration {
    fn from(duration: TimeSpan) -> Self {
        Duration::from_micros(duration.0)
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: TimeSpan) -> Timestamp {
        Timestamp(self.0 + duration.0)
    }
}

impl AddAssign<TimeSpan> for Timestamp {
    fn add_assign(&mut self, duration: TimeSpan) {
        self.0 += duration.0;
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: TimeSpan) -> Timestamp {
        Timestamp(self.0 - duration.0)
    }
}

/// Time from the right timestamp to the left one, which must not be earlier.
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

impl AddAssign for TimeSpan {
    fn add_assign(&mut self, other: TimeSpan) {
        self.0 += other.0;
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

impl Sum for TimeSpan {
    fn sum<I: Iterator<Item = TimeSpan>>(durations: I) -> TimeSpan {
        durations.fold(TimeSpan::ZERO, Add::add)
    }
}
