//! `soak`: executes soak runs, one seed after another.

use std::path::{Path, PathBuf};

use super::ExitStatus;
use super::error::CommandError;
use super::node_program::{node_path, program_without_arguments};
use super::runtime::fleet_runtime;
use crate::checked_run::{CheckedRun, Verdict};
use crate::play::ProgressDisplay;
use crate::soak::{SoakRun, table_head, table_row};

/// Minimum length of a run, in seconds.
const MIN_LENGTH_S: f64 = 8.0;
/// Maximum length of a run, in seconds.
const MAX_LENGTH_S: f64 = 3_600.0;

/// The options of `soak`
#[derive(clap::Args)]
pub struct SoakOptions {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Nodes, each a process
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(1..=64))]
    nodes: u64,
    /// Workers
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(3..=1000))]
    workers: u64,
    /// How long jobs arrive, seconds
    #[arg(long, default_value_t = 30.0, value_name = "SECONDS")]
    length: f64,
    /// Faults in each run
    #[arg(long, default_value_t = 14)]
    faults: usize,
    /// Shutdowns in each run, with series of signals and clients that keep using their connections
    #[arg(long, default_value_t = 0)]
    shutdowns: usize,
    /// The node's program; else the one beside this program
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Where the reports, what was seen and the nodes' logs go, a folder for each seed
    #[arg(long, default_value = "found/soak", value_name = "FOLDER")]
    out: PathBuf,
}

impl SoakOptions {
    /// Executes all runs. A run that is late because of a busy machine does not fail the command.
    pub(super) fn execute(mut self) -> Result<ExitStatus, CommandError> {
        CommandError::check_range("--length", self.length, MIN_LENGTH_S, MAX_LENGTH_S)?;
        let node = node_path(self.node.take())?;
        print!("{}", table_head());
        let mut status = ExitStatus::Success;
        for seed in self.first..self.first + self.seeds {
            if self.run_seed(seed, &node)? == Verdict::Failed {
                status = ExitStatus::Failure;
            }
        }
        Ok(status)
    }

    /// Runs the scenario of a seed and prints its row of the table.
    fn run_seed(&self, seed: u64, node: &Path) -> Result<Verdict, CommandError> {
        let soak = SoakRun {
            seed,
            nodes: self.nodes as usize,
            workers: self.workers as usize,
            length_s: self.length,
            faults: self.faults,
            shutdowns: self.shutdowns,
        };
        let scenario = soak.scenario();
        let program = program_without_arguments(node.to_owned(), self.out.join(seed.to_string()));
        let run = CheckedRun::run(scenario.clone(), program, None, ProgressDisplay::Hidden);
        let run = fleet_runtime()?.block_on(run)?;
        print!("{}", table_row(&scenario, &run.figures, &run.violations, &run.finished_run.crashes));
        if !run.violations.is_empty() || !run.finished_run.crashes.is_empty() {
            println!("        repeat: {}", self.reproduction_command(seed, node));
        }
        Ok(run.verdict())
    }

    /// Returns the command that runs a seed again, with all options that determine the generated faults.
    fn reproduction_command(&self, seed: u64, node: &Path) -> String {
        let SoakOptions { nodes, workers, length, faults, shutdowns, .. } = self;
        format!(
            "curlewusher-testbed soak --first {seed} --seeds 1 --nodes {nodes} --workers {workers} --length {length} \
             --faults {faults} --shutdowns {shutdowns} --node {}",
            node.display()
        )
    }
}
