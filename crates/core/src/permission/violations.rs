//! Counts of what was decided or done without permission.

use super::Denial;

/// How often something was decided without permission, by reason. It stays empty while the program has no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    counts: [u64; Denial::ALL.len()],
    total: u64,
}

impl Violations {
    /// Counts one.
    pub fn record(&mut self, reason: Denial) {
        self.counts[reason as usize] += 1;
        self.total += 1;
    }

    /// How many there were for this reason.
    pub fn count(&self, reason: Denial) -> u64 {
        self.counts[reason as usize]
    }

    /// How many there were in all.
    pub fn total(&self) -> u64 {
        self.total
    }
}
