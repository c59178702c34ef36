//! Moments and spans of time, as two types, so that neither can be passed for the other.
//!
//! Both count whole microseconds in a `u64`. [`std::time::Duration`] is not used for spans: it is twice as large, and its
//! conversion to seconds rounds differently, whereas all nodes and versions must compute the same estimates.
//!
//! The operators `+` and `-` require a result within the bounds of the type; where it may be out of bounds, use the
//! `saturating_` methods.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// A moment on the embedder's clock: microseconds since an origin that the embedder chooses. The clock never goes
/// backwards. Moments of different clocks must not be mixed; an embedder converts a foreign one where it enters.
///
/// Two moments have no sum, and a span is no moment:
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

/// A span of time: a whole number of microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeSpan(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ORIGIN: Self = Timestamp(0);
    /// The latest moment.
    pub const MAX: Self = Timestamp(u64::MAX);

    /// The moment at a number of microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span since an earlier moment; zero where `earlier` is the later one.
    pub const fn saturating_since(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }

    /// Seconds since an earlier moment; 0 where `earlier` is the later one.
    pub fn seconds_since(self, earlier: Timestamp) -> f64 {
        self.saturating_since(earlier).as_secs_f64()
    }

    /// The moment that follows this one by a span, at most [`Timestamp::MAX`].
    #[must_use]
    pub const fn saturating_add(self, span: TimeSpan) -> Self {
        Timestamp(self.0.saturating_add(span.0))
    }

    /// The moment that precedes this one by a span, at least [`Timestamp::ORIGIN`].
    #[must_use]
    pub const fn saturating_sub(self, span: TimeSpan) -> Self {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl TimeSpan {
    /// The empty span.
    pub const ZERO: Self = TimeSpan(0);
    /// The longest span.
    pub const MAX: Self = TimeSpan(u64::MAX);

    /// A span of whole microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        TimeSpan(micros)
    }

    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        TimeSpan(millis * 1_000)
    }

    /// A span of whole seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        TimeSpan(seconds * 1_000_000)
    }

    /// A span of seconds, rounded down to a microsecond. A negative number and NaN count as zero, and a number that is
    /// too large as [`TimeSpan::MAX`].
    pub fn from_secs_f64(seconds: f64) -> Self {
        TimeSpan((seconds.max(0.0) * MICROS_PER_SECOND) as u64)
    }

    /// The span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in seconds.
    pub const fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Whether the span is [`TimeSpan::ZERO`].
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// The difference to a shorter span; zero where `shorter` is the longer one.
    #[must_use]
    pub const fn saturating_sub(self, shorter: TimeSpan) -> Self {
        TimeSpan(self.0.saturating_sub(shorter.0))
    }
}

impl From<TimeSpan> for Duration {
    fn from(span: TimeSpan) -> Self {
        Duration::from_micros(span.0)
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0 + span.0)
    }
}

impl AddAssign<TimeSpan> for Timestamp {
    fn add_assign(&mut self, span: TimeSpan) {
        self.0 += span.0;
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0 - span.0)
    }
}

/// The span from the right moment to the left one, which must not be the earlier one.
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
    fn sum<I: Iterator<Item = TimeSpan>>(spans: I) -> TimeSpan {
        spans.fold(TimeSpan::ZERO, Add::add)
    }
}
