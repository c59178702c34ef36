//! Distribution of durations.

use curlewusher_model::TimeSpan;
use hdrhistogram::Histogram;

/// Maximum value of a histogram, in microseconds: one hour.
const MAX_MICROS: u64 = 3_600_000_000;
/// Number of significant decimal digits of a histogram's values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of durations, in microseconds.
pub(super) struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    /// Returns an empty histogram.
    pub(super) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        DurationHistogram(histogram.expect("the bounds of the histogram are valid"))
    }

    /// Records a duration; durations of more than one hour count as one hour.
    pub(super) fn record(&mut self, duration: TimeSpan) {
        self.0.saturating_record(duration.as_micros());
    }

    /// Returns a quantile, in milliseconds, or 0 if nothing was recorded. `quantile` is from 0 to 1.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        if self.0.is_empty() { 0.0 } else { self.0.value_at_quantile(quantile) as f64 / 1e3 }
    }
}
