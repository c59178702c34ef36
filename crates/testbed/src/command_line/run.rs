//! `run`: runs a scenario once.

use std::path::PathBuf;

use super::ExitStatus;
use super::error::CommandError;
use super::node_program::choose_program;
use super::runtime::fleet_runtime;
use super::scenario_file::read_scenario;
use crate::checked_run::CheckedRun;
use crate::play::ProgressDisplay;
use crate::report::render_summary;
use crate::scripted::Flaw;

/// The options of `run`
#[derive(clap::Args)]
pub struct RunOptions {
    /// The scenario's file
    scenario: PathBuf,
    /// The node's program; else the one beside this program
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Play the lab's own scripted node instead, with this fault (none keeps the rules)
    #[arg(long, value_name = "FAULT", conflicts_with = "node")]
    scripted: Option<Flaw>,
    /// Another seed than the file's
    #[arg(long)]
    seed: Option<u64>,
    /// Where report.html, figures.json, seen.jsonl and the nodes' logs go
    #[arg(long, default_value = "found/testbed", value_name = "FOLDER")]
    out: PathBuf,
    /// No progress bar
    #[arg(long)]
    quiet: bool,
}

impl RunOptions {
    pub(super) fn execute(self) -> Result<ExitStatus, CommandError> {
        let RunOptions { scenario, node, scripted, seed, out, quiet } = self;
        let mut scenario = read_scenario(&scenario)?;
        scenario.seed = seed.unwrap_or(scenario.seed);
        let program = choose_program(node, scripted, &out)?;
        let display = if quiet { ProgressDisplay::Hidden } else { ProgressDisplay::Bar };
        let run = fleet_runtime()?.block_on(CheckedRun::run(scenario, program, None, display))?;
        print!("{}", render_summary(&run.figures));
        println!("report: {}", out.join("report.html").display());
        Ok(run.verdict().into())
    }
}
