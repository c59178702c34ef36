//! A run with its verdict: a scenario is played, the rules are checked, and the report is written.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::event_log::Record;
use crate::nodes::Program;
use crate::play::{FinishedRun, ProgressDisplay, RunStartError, run_scenario};
use crate::report::{self, Figures};
use crate::rules::{self, Violation};
use crate::run_folder::{RunFolder, RunFolderError};
use crate::scenario::Scenario;
use crate::stress_run::StressRun;

/// Number of violations that are printed; the report has all.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// What a run showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was broken and no node crashed.
    Passed,
    /// A rule was broken, or a node crashed.
    Failed,
    /// Nothing was found, but the load was late or the run was interrupted: its figures must not be used.
    Invalid,
}

/// A run whose files are written.
pub struct CheckedRun {
    /// What was observed.
    pub played: FinishedRun,
    /// The violations of rules.
    pub violations: Vec<Violation>,
    /// The figures, as in `figures.json`.
    pub figures: Figures,
}

/// Why a run has no result.
#[derive(Debug, Error)]
pub enum RunError {
    /// It could not begin.
    #[error(transparent)]
    Play(#[from] RunStartError),
    /// Its folder cannot be used.
    #[error(transparent)]
    Folder(#[from] RunFolderError),
    /// A file of the report could not be written.
    #[error("{}: {source}", file.display())]
    Write {
        /// The file.
        file: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// A result cannot be expressed in JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl CheckedRun {
    /// Plays a scenario, checks what was observed, writes the report into the program's folder, and prints the first
    /// violations and all crashes.
    ///
    /// # Errors
    ///
    /// The run could not begin, or a file could not be written.
    pub async fn complete(
        scenario: Scenario,
        program: Program,
        stress: Option<StressRun>,
        display: ProgressDisplay,
    ) -> Result<CheckedRun, RunError> {
        let folder = program.folder.clone();
        let _claim = RunFolder::claim(&folder)?;
        let played = run_scenario(scenario.clone(), program, stress, display).await?;
        let violations = check(&scenario, &played);
        let figures = report::compute_figures(&scenario, &played, &violations);
        let run = CheckedRun { played, violations, figures };
        run.write_files(&scenario, &folder)?;
        run.print_findings();
        Ok(run)
    }

    /// What the run showed.
    pub fn verdict(&self) -> Verdict {
        if !self.violations.is_empty() || !self.played.crashes.is_empty() {
            Verdict::Failed
        } else if self.figures.valid {
            Verdict::Passed
        } else {
            Verdict::Invalid
        }
    }

    fn write_files(&self, scenario: &Scenario, folder: &Path) -> Result<(), RunError> {
        let CheckedRun { played, violations, figures } = self;
        write_file(&folder.join("seen.jsonl"), &json_lines(&played.records)?)?;
        write_file(&folder.join("figures.json"), &serde_json::to_string_pretty(figures)?)?;
        let page = report::render_page(scenario, played, figures, violations);
        write_file(&folder.join("report.html"), &page)
    }

    fn print_findings(&self) {
        for violation in self.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            eprint!("BROKEN RULE {violation}");
        }
        if self.violations.len() > MAX_PRINTED_VIOLATIONS {
            eprintln!("... and {} more; see the report", self.violations.len() - MAX_PRINTED_VIOLATIONS);
        }
        self.played.crashes.iter().for_each(|crash| eprintln!("CRASH {crash}"));
    }
}

fn check(scenario: &Scenario, played: &FinishedRun) -> Vec<Violation> {
    // An interrupted run leaves requests without a response that no node is to blame for.
    let mut violations = if played.interrupted {
        Vec::new()
    } else {
        rules::check_rules(&played.records, &scenario.rule_parameters())
    };
    violations.extend(rules::check_footprint(&played.samples, scenario.footprint_limits()));
    violations
}

fn json_lines(records: &[Record]) -> Result<String, serde_json::Error> {
    records.iter().map(|record| serde_json::to_string(record).map(|line| line + "\n")).collect()
}

/// Writes a file of a report.
///
/// # Errors
///
/// The file cannot be written.
pub fn write_file(file: &Path, text: &str) -> Result<(), RunError> {
    std::fs::write(file, text).map_err(|source| RunError::Write { file: file.to_owned(), source })
}
