//! Distribution of spans of time.

use curlewusher_model::TimeSpan;
use hdrhistogram::Histogram;

/// The longest span that a histogram distinguishes, in microseconds: one hour.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant decimal digits of a histogram's values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of spans in microseconds.
pub(super) struct SpanHistogram(Histogram<u64>);

impl SpanHistogram {
    pub(super) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        SpanHistogram(histogram.expect("valid constant bounds"))
    }

    /// Records a span; longer ones than an hour count as an hour.
    pub(super) fn record(&mut self, span: TimeSpan) {
        self.0.saturating_record(span.as_micros());
    }

    /// A quantile in milliseconds; 0 if nothing was recorded.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        if self.0.is_empty() { 0.0 } else { self.0.value_at_quantile(quantile) as f64 / 1e3 }
    }
}
