//! The progress bar of a run.

use indicatif::{ProgressBar, ProgressStyle};

/// Whether a run shows a progress bar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressDisplay {
    /// On the terminal.
    Bar,
    /// Not at all.
    Hidden,
}

/// What a progress bar counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unit {
    Jobs,
    Rounds,
}

/// A progress bar, which may be hidden.
pub(super) struct Progress(ProgressBar);

impl Progress {
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

    pub(super) fn show(&self, completed: usize) {
        self.0.set_position(completed as u64);
    }

    pub(super) fn clear(&self) {
        self.0.finish_and_clear();
    }
}
