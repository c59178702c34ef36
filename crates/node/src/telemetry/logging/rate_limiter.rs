//! Token bucket with a burst of one second.

use std::time::Instant;

/// Token bucket that admits a burst of up to `lines_per_s` lines, and is refilled at that rate.
pub struct RateLimiter {
    /// Number of lines that may be written now. It grows with time, up to the number of lines per second.
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a full bucket.
    pub fn new(lines_per_s: f64, now: Instant) -> Self {
        RateLimiter { tokens: lines_per_s, refilled_at: now }
    }

    /// Returns whether a line may be written now. If so, counts the line against the limit.
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
