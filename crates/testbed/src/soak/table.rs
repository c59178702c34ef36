//! Table of the results of soak runs.

use std::fmt::Write;

use crate::report::Figures;
use crate::rules::Violation;
use crate::scenario::Scenario;

/// Returns the header of the table.
pub fn table_head() -> String {
    format!(
        "{:>6}{:>8}{:>10}{:>8}{:>12}{:>9}\n",
        "seed", "jobs", "in time", "faults", "violations", "crashes"
    )
}

/// Returns the row of a run, followed by a line for each violation and crash.
pub fn table_row(
    scenario: &Scenario,
    figures: &Figures,
    violations: &[Violation],
    crashes: &[String],
) -> String {
    let mut row = format!(
        "{:>6}{:>8}{:>10.3}{:>8}{:>12}{:>9}\n",
        scenario.seed,
        figures.jobs,
        figures.share_in_time,
        scenario.faults.len(),
        violations.len(),
        crashes.len()
    );
    for violation in violations {
        // Writing to a string cannot fail.
        let _ = writeln!(
            row,
            "        {:?} at {:.3} s: {}",
            violation.rule,
            violation.at.as_secs_f64(),
            violation.description
        );
    }
    for crash in crashes {
        let _ = writeln!(row, "        {crash}");
    }
    row
}
