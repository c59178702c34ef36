//! A token bucket with a burst of one second.

use std::time::Instant;

/// Admits a number of lines at once, and as many again in each second.
pub struct RateLimiter {
    /// Lines that may still be written; grows with time up to the rate.
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// A full bucket.
    pub fn new(lines_per_s: f64, now: Instant) -> Self {
        RateLimiter { tokens: lines_per_s, refilled_at: now }
    }

    /// Whether a line may be written now; if so it is counted against the limit.
    pub fn try_acquire(&mut self, lines_per_s: f64, now: Instant) -> bool {
        self.refill(lines_per_s, now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, lines_per_s: f64, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * lines_per_s).min(lines_per_s);
        self.refilled_at = now;
    }
}
