//! Counts of what was decided or done without permission.

use super::Denial;

/// How often something was decided without permission, by reason. All counts are zero unless the program has a fault.
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

    /// Number of violations for this reason.
    pub fn count(&self, reason: Denial) -> u64 {
        self.counts[reason as usize]
    }

    /// Number of all violations.
    pub fn total(&self) -> u64 {
        self.total
    }
}
