//! The node: curlewusher's decisions on real sockets. Owns the command line. It must never do the work of a part.

#![forbid(unsafe_code)]

mod admin;
mod check;
mod config;
mod connection_budget;
mod discovery;
mod dispatch;
mod handover;
mod lifecycle;
mod serve;
mod server;
mod telemetry;
mod upstream;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use serve::ServeError;

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
    /// Serve until SIGTERM; the same without any command. Ends with 2 if what it is told cannot be used here, as an
    /// address that another program has, and with 1 if it fails otherwise
    Serve,
    /// Read all configuration, print each value in effect and where it comes from, and end with 0, or 2 if it is bad
    Check,
    /// Print the completions for a shell
    Completions {
        /// Which shell
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    let line = CommandLine::parse();
    let sources = config::ConfigSources { operator: line.operator };
    let done = match line.command.unwrap_or(Command::Serve) {
        Command::Serve => serve::run(&sources),
        Command::Check => check::run(&sources).map_err(ServeError::Config),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut CommandLine::command(),
                "curlewusher",
                &mut std::io::stdout(),
            );
            Ok(())
        }
    };
    let Err(problem) = done else { return ExitCode::SUCCESS };
    eprintln!("curlewusher: {problem}");
    ExitCode::from(if problem.stays() { 2 } else { 1 })
}
