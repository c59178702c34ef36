//! Conversions between [`Micros`] of the embedder's clock and seconds, the unit of all estimates.

use crate::Micros;

/// A span in seconds.
pub(crate) fn to_seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// Seconds from `from` to `to`; 0 where `to` is the earlier one.
pub(crate) fn seconds_between(from: Micros, to: Micros) -> f64 {
    to_seconds(to.saturating_sub(from))
}

/// A span of so many seconds; negative ones count as 0.
pub(crate) fn to_micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6) as Micros
}
