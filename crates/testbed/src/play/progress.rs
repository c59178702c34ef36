//! Progress bar of a run.

use indicatif::{ProgressBar, ProgressStyle};

/// Display mode of a run's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressDisplay {
    /// A progress bar on the terminal.
    Bar,
    /// No display.
    Hidden,
}

/// Unit that a progress bar counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unit {
    /// Jobs of the workload.
    Jobs,
    /// Rounds of a stress run.
    Rounds,
}

/// Progress bar, which may be hidden.
pub(super) struct Progress(ProgressBar);

impl Progress {
    /// Creates a progress bar that counts up to `total`.
    pub(super) fn new(display: ProgressDisplay, total: usize, unit: Unit) -> Self {
        let bar = match display {
            ProgressDisplay::Bar => ProgressBar::new(total as u64),
            ProgressDisplay::Hidden => ProgressBar::hidden(),
        };
        let counted = match unit {
            Unit::Jobs => "jobs ended",
            Unit::Rounds => "times",
        };
        let template = format!("{{elapsed_precise}} {{wide_bar}} {{pos}}/{{len}} {counted}");
        let style = ProgressStyle::with_template(&template);
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        Progress(bar)
    }

    /// Shows the number of finished units.
    pub(super) fn show(&self, finished: usize) {
        self.0.set_position(finished as u64);
    }

    /// Removes the progress bar from the terminal.
    pub(super) fn clear(&self) {
        self.0.finish_and_clear();
    }
}
