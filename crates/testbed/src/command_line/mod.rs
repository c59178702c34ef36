//! Command line, with a module for the options and the execution of each subcommand.

mod check;
mod compare;
mod error;
mod node_program;
mod run;
mod runtime;
mod scenario_file;
mod scripted_node;
mod soak;
mod stress_run;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use error::CommandError;

use crate::checked_run::Verdict;

/// Plays scenarios on real nodes on loopback: a fleet, clients and faults round them, and a judge over what was seen.
///
/// Ends with 0 when no rule was broken and no node crashed, 1 when one was or did, 2 when it could not begin, and 3 when
/// the run does not count.
#[derive(Parser)]
#[command(name = "curlewusher-testbed", version)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario, judge it, and leave a report
    Run(run::RunOptions),
    /// Play the same scenario and seeds on two nodes' programs or two operator's files, in turns, and compare them
    Compare(compare::CompareOptions),
    /// Do one thing of daily operation many times on a node under load, and print a table of what came of it
    #[command(name = "drill")]
    StressRun(stress_run::StressRunOptions),
    /// Play a fleet under faults that are drawn from a seed and overlap, one seed after another, and print a table
    Soak(soak::SoakOptions),
    /// Read a scenario and say whether it is good
    Check(check::CheckOptions),
    /// Be a node that keeps all rules, or breaks one: for tests of the judge and of the lab's own limit
    #[command(hide = true)]
    ScriptedNode(scripted_node::ScriptedNodeOptions),
}

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// A rule was broken, or a node crashed.
    Failure = 1,
    /// The command failed with an error: it could not begin, or could not write its results.
    Error = 2,
    /// The run is invalid, and its figures must not be used.
    InvalidRun = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

impl From<Verdict> for ExitStatus {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Passed => ExitStatus::Success,
            Verdict::Failed => ExitStatus::Failure,
            Verdict::Invalid => ExitStatus::InvalidRun,
        }
    }
}

impl CommandLine {
    /// Executes the command, and prints the error if it fails with one.
    pub fn execute(self) -> ExitCode {
        let status = self.command.execute().unwrap_or_else(|error| {
            eprintln!("curlewusher-testbed: {error}");
            ExitStatus::Error
        });
        status.into()
    }
}

impl Command {
    fn execute(self) -> Result<ExitStatus, CommandError> {
        match self {
            Command::Run(options) => options.execute(),
            Command::Compare(options) => options.execute(),
            Command::StressRun(options) => options.execute(),
            Command::Soak(options) => options.execute(),
            Command::Check(options) => options.execute(),
            Command::ScriptedNode(options) => options.execute(),
        }
    }
}
