//! Report of a run: its figures, the summary for a terminal and the HTML page.
//!
//! All figures are derived from the records and samples of a finished run. This module measures nothing.

mod chart;
mod figures;
mod page;
mod series;
mod summary;

pub use figures::{Figures, compute_figures};
pub use page::render_page;
pub use summary::render_summary;

#[cfg(test)]
#[path = "../../tests/unit/golden_run.rs"]
mod golden_run;
