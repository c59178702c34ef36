//! The node: applies curlewusher's decisions to real sockets. This file contains the command line and the
//! exit codes.
//!
//! The node is a program without a library target. In a library every public item counts as used, so the
//! compiler would no longer report unused code, and the testbed could share code with the node that it
//! checks. Unit tests access private items as `#[path]` modules under `tests/unit`. All other tests run the
//! program as a process.

#![forbid(unsafe_code)]

mod admin;
mod attempt;
mod check;
mod config;
mod connection_budget;
mod discovery;
mod dispatch;
mod handover;
mod http_body;
mod lifecycle;
mod runtime;
mod server;
mod telemetry;
mod upstream;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

use crate::runtime::error::ServeError;

/// Takes jobs from clients, sends each to one of many unlike workers, and answers every one of them once.
///
/// The platform's configuration is the JSON file that RELAY_CONFIG names; RELAY_NAME, RELAY_LISTEN,
/// RELAY_DISCOVERY and RELAY_CONSOLE stand before what it says.
#[derive(Parser)]
#[command(name = "curlewusher", version)]
struct CommandLine {
    /// The operator's file; without one every field has its default
    #[arg(long, global = true, env = "CURLEWUSHER_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM; the same without any command. Ends with 2 if its configuration cannot be used here, as
    /// an address that another program has, and with 1 if it fails otherwise
    Serve,
    /// Read all configuration, print each value in effect and where it comes from, and end with 0, or 2 if it is bad
    Check,
    /// Print the completions for a shell
    Completions {
        /// Which shell
        shell: clap_complete::Shell,
    },
}

/// Exit code if another start with the same configuration would fail in the same way.
const EXIT_PERMANENT_FAILURE: u8 = 2;
/// Exit code if another start may succeed.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let sources = config::ConfigSources { operator_file: command_line.operator };
    let result = match command_line.command.unwrap_or(Command::Serve) {
        Command::Serve => runtime::run(&sources),
        Command::Check => check::run(&sources).map_err(ServeError::Config),
        Command::Completions { shell } => {
            print_completions(shell);
            Ok(())
        }
    };
    let Err(error) = result else { return ExitCode::SUCCESS };
    eprintln!("curlewusher: {error}");
    ExitCode::from(if error.is_permanent() { EXIT_PERMANENT_FAILURE } else { EXIT_FAILURE })
}

fn print_completions(shell: clap_complete::Shell) {
    clap_complete::generate(shell, &mut CommandLine::command(), "curlewusher", &mut std::io::stdout());
}
