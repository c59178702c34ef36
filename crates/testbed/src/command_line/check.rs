//! `check`: validates a scenario.

use std::path::PathBuf;

use super::ExitStatus;
use super::error::CommandError;
use super::scenario_file::read_scenario;

/// The options of `check`
#[derive(clap::Args)]
pub struct CheckOptions {
    /// The scenario's file
    scenario: PathBuf,
}

impl CheckOptions {
    pub(super) fn execute(self) -> Result<ExitStatus, CommandError> {
        let scenario = read_scenario(&self.scenario)?;
        let jobs = scenario.workload().sample_jobs().len();
        println!(
            "{}: {} nodes, {} workers, {jobs} jobs",
            scenario.title,
            scenario.nodes.count,
            scenario.worker_count()
        );
        Ok(ExitStatus::Success)
    }
}
