//! Counts of decisions and operations without permission.

use super::Denial;

/// Counts of decisions without permission, by reason. All counts are zero unless the program has a bug.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    counts: [u64; Denial::ALL.len()],
    total: u64,
}

impl Violations {
    /// Counts a violation.
    pub fn record(&mut self, reason: Denial) {
        self.counts[reason as usize] += 1;
        self.total += 1;
    }

    /// Returns the number of violations for this reason.
    pub fn count(&self, reason: Denial) -> u64 {
        self.counts[reason as usize]
    }

    /// Returns the number of all violations.
    pub fn total(&self) -> u64 {
        self.total
    }
}
