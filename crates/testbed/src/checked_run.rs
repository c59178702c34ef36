//! Run of a scenario with its verdict: the scenario is run, the rules are checked, and the report is written.

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

/// Maximum number of violations that are printed. The report shows more of them.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Verdict on a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was broken and no node crashed.
    Passed,
    /// A rule was broken, or a node crashed.
    Failed,
    /// No rule was broken and no node crashed, but the load was late or the run was interrupted. The figures
    /// of the run must not be used.
    Invalid,
}

/// Run that has finished, with its violations and figures. The files of the report are written.
pub struct CheckedRun {
    /// Observations of the run.
    pub finished_run: FinishedRun,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Figures of the run, as in `figures.json`.
    pub figures: Figures,
}

/// Reason for which a run has no result.
#[derive(Debug, Error)]
pub enum RunError {
    /// The run could not begin.
    #[error(transparent)]
    Start(#[from] RunStartError),
    /// The folder of the run cannot be used.
    #[error(transparent)]
    Folder(#[from] RunFolderError),
    /// A file of the report could not be written.
    #[error("{}: {source}", file.display())]
    Write {
        /// Path of the file.
        file: PathBuf,
        /// Error that the operating system reported.
        source: io::Error,
    },
    /// A result cannot be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl CheckedRun {
    /// Runs a scenario, checks the observations against the rules, writes the report into the program's
    /// folder, and prints the first violations and all crashes.
    ///
    /// # Errors
    ///
    /// Fails if the run could not begin, or if a file could not be written.
    pub async fn run(
        scenario: Scenario,
        program: Program,
        stress: Option<StressRun>,
        display: ProgressDisplay,
    ) -> Result<CheckedRun, RunError> {
        let folder = program.folder.clone();
        let _claim = RunFolder::claim(&folder)?;
        let finished_run = run_scenario(scenario.clone(), program, stress, display).await?;
        let violations = check(&scenario, &finished_run);
        let figures = report::compute_figures(&scenario, &finished_run, &violations);
        let run = CheckedRun { finished_run, violations, figures };
        run.write_files(&scenario, &folder)?;
        run.print_failures();
        Ok(run)
    }

    /// Returns the verdict on the run.
    pub fn verdict(&self) -> Verdict {
        if !self.violations.is_empty() || !self.finished_run.crashes.is_empty() {
            Verdict::Failed
        } else if self.figures.valid {
            Verdict::Passed
        } else {
            Verdict::Invalid
        }
    }

    fn write_files(&self, scenario: &Scenario, folder: &Path) -> Result<(), RunError> {
        let CheckedRun { finished_run, violations, figures } = self;
        write_file(&folder.join("seen.jsonl"), &json_lines(&finished_run.records)?)?;
        write_file(&folder.join("figures.json"), &serde_json::to_string_pretty(figures)?)?;
        let page = report::render_page(scenario, finished_run, figures, violations);
        write_file(&folder.join("report.html"), &page)
    }

    fn print_failures(&self) {
        for violation in self.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            eprint!("BROKEN RULE {violation}");
        }
        if self.violations.len() > MAX_PRINTED_VIOLATIONS {
            eprintln!("... and {} more; see the report", self.violations.len() - MAX_PRINTED_VIOLATIONS);
        }
        self.finished_run.crashes.iter().for_each(|crash| eprintln!("CRASH {crash}"));
    }
}

fn check(scenario: &Scenario, finished_run: &FinishedRun) -> Vec<Violation> {
    // The interruption leaves requests without a response. That is not a violation by a node.
    let mut violations = if finished_run.interrupted {
        Vec::new()
    } else {
        rules::check_rules(&finished_run.records, &scenario.rule_parameters())
    };
    violations.extend(rules::check_footprint(&finished_run.samples, scenario.footprint_limits()));
    violations
}

fn json_lines(records: &[Record]) -> Result<String, serde_json::Error> {
    records.iter().map(|record| serde_json::to_string(record).map(|line| line + "\n")).collect()
}

/// Writes a file of a report.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write_file(file: &Path, text: &str) -> Result<(), RunError> {
    std::fs::write(file, text).map_err(|source| RunError::Write { file: file.to_owned(), source })
}
