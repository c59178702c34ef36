//! `drill`: executes a stress run on one node.

use std::path::PathBuf;

use super::ExitStatus;
use super::error::CommandError;
use super::node_program::choose_program;
use super::runtime::fleet_runtime;
use crate::checked_run::CheckedRun;
use crate::play::ProgressDisplay;
use crate::scenario::MAX_SIGTERM_DELAY_S;
use crate::scripted::Flaw;
use crate::stress_run::{StressKind, StressResults, StressRun};

/// The options of `drill`
#[derive(clap::Args)]
pub struct StressRunOptions {
    /// What is done
    kind: StressKind,
    /// How many times, one after another
    #[arg(long, default_value_t = 20)]
    times: usize,
    /// It decides all drawn moments, and the load
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The longest wait between a newer process's yes and SIGTERM for the older one, seconds
    #[arg(long, default_value_t = MAX_SIGTERM_DELAY_S, value_name = "SECONDS")]
    delay: f64,
    /// The node's program; else the one beside this program
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Use the lab's own scripted node instead, with this fault
    #[arg(long, value_name = "FAULT", conflicts_with = "node")]
    scripted: Option<Flaw>,
    /// Where the report, what was seen and the nodes' logs go
    #[arg(long, default_value = "found/drill", value_name = "FOLDER")]
    out: PathBuf,
    /// No progress bar
    #[arg(long)]
    quiet: bool,
}

impl StressRunOptions {
    pub(super) fn execute(self) -> Result<ExitStatus, CommandError> {
        let StressRunOptions { kind, times, seed, delay, node, scripted, out, quiet } = self;
        CommandError::check_range("--delay", delay, 0.0, MAX_SIGTERM_DELAY_S)?;
        let stress = StressRun { kind, rounds: times, max_delay_s: delay };
        let program = choose_program(node, scripted, &out)?;
        let display = if quiet { ProgressDisplay::Hidden } else { ProgressDisplay::Bar };
        let run = CheckedRun::run(stress.scenario(seed), program, Some(stress), display);
        let run = fleet_runtime()?.block_on(run)?;
        let results = StressResults {
            run: stress,
            seed,
            crashes: run.finished_run.crashes.len(),
            operations: &run.figures.operations,
            violations: &run.violations,
        };
        print!("{}", results.table());
        println!("report: {}", out.join("report.html").display());
        Ok(run.verdict().into())
    }
}
