//! Testbed: runs scenarios on real nodes and checks the observations against the rules. This file is the
//! entry point.

#![forbid(unsafe_code)]
#![allow(
    clippy::disallowed_methods,
    reason = "the simulated peers are no part of a node, and have no memory limit"
)]

mod admin_command;
mod checked_run;
mod client_connections;
mod client_router;
mod command_line;
mod compare;
mod environment;
mod event_log;
mod faults;
mod fleet;
mod load;
mod nodes;
mod operator_actions;
mod play;
mod process_cost;
mod proxy;
mod report;
mod rules;
mod run_folder;
mod sampling;
mod scenario;
mod scripted;
mod shared_classes;
mod soak;
mod stress_run;
mod upgrade;
mod waiting;

#[cfg(test)]
#[path = "../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

use std::process::ExitCode;

use clap::Parser;

use crate::command_line::CommandLine;

fn main() -> ExitCode {
    CommandLine::parse().execute()
}
