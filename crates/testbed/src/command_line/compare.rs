//! `compare`: runs two sides with the same scenario and the same seeds.

use std::path::{Path, PathBuf};

use super::ExitStatus;
use super::error::CommandError;
use super::node_program::{node_path, program_without_arguments};
use super::runtime::fleet_runtime;
use super::scenario_file::read_scenario;
use crate::checked_run::{CheckedRun, write_file};
use crate::compare::{compare, comparison_json, summary_line};
use crate::play::ProgressDisplay;
use crate::report::Figures;
use crate::scenario::Scenario;

/// The options of `compare`
#[derive(clap::Args)]
pub struct CompareOptions {
    /// The scenario's file
    scenario: PathBuf,
    /// The first program
    #[arg(long, value_name = "FILE")]
    a: Option<PathBuf>,
    /// The second program
    #[arg(long, value_name = "FILE")]
    b: Option<PathBuf>,
    /// The operator's file of the first
    #[arg(long, value_name = "FILE")]
    operator_a: Option<PathBuf>,
    /// The operator's file of the second
    #[arg(long, value_name = "FILE")]
    operator_b: Option<PathBuf>,
    /// How many seeds, counted from the scenario's
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Where both sides' reports go
    #[arg(long, default_value = "found/compare", value_name = "FOLDER")]
    out: PathBuf,
}

/// Two sides of a comparison.
struct Sides {
    first: Side,
    second: Side,
}

/// Side of a comparison.
struct Side {
    name: &'static str,
    node: PathBuf,
    /// Operator's file that replaces the one of the scenario.
    operator_file: Option<PathBuf>,
}

impl CompareOptions {
    pub(super) fn execute(self) -> Result<ExitStatus, CommandError> {
        let CompareOptions { scenario, a, b, operator_a, operator_b, seeds, out } = self;
        let scenario = read_scenario(&scenario)?;
        let sides = Sides {
            first: Side { name: "a", node: node_path(a)?, operator_file: operator_a },
            second: Side { name: "b", node: node_path(b)?, operator_file: operator_b },
        };
        let mut pairs = Vec::new();
        for seed in scenario.seed..scenario.seed + seeds {
            let scenario = Scenario { seed, ..scenario.clone() };
            pairs.push(sides.run(&scenario, &out)?);
        }
        let comparison = compare(&pairs)?;
        write_file(&out.join("comparison.json"), &comparison_json(&comparison)?)?;
        println!("{}", summary_line(&comparison));
        let mut figures = pairs.iter().flat_map(|(a, b)| [a, b]);
        let has_failures = figures.any(|figures| figures.broken_rules + figures.crashes > 0);
        Ok(if has_failures { ExitStatus::Failure } else { ExitStatus::Success })
    }
}

impl Sides {
    /// Runs both sides. The side that runs first alternates between seeds, so that a machine that has warmed
    /// up favours neither.
    fn run(&self, scenario: &Scenario, out: &Path) -> Result<(Figures, Figures), CommandError> {
        if scenario.seed.is_multiple_of(2) {
            let first = self.first.run(scenario, out)?;
            Ok((first, self.second.run(scenario, out)?))
        } else {
            let second = self.second.run(scenario, out)?;
            Ok((self.first.run(scenario, out)?, second))
        }
    }
}

impl Side {
    fn run(&self, scenario: &Scenario, out: &Path) -> Result<Figures, CommandError> {
        let mut scenario = scenario.clone();
        let seed = scenario.seed;
        scenario.nodes.operator = self.operator_file.clone().or(scenario.nodes.operator);
        let program = program_without_arguments(self.node.clone(), out.join(format!("{}-{seed}", self.name)));
        let run = CheckedRun::run(scenario, program, None, ProgressDisplay::Bar);
        let run = fleet_runtime()?.block_on(run)?;
        println!("seed {seed} {}: {:.3}", self.name, run.figures.share_in_time);
        Ok(run.figures)
    }
}
