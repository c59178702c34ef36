//! The node: curlewusher's decisions on real sockets. Owns the command line. It must never do the work of a part.

#![forbid(unsafe_code)]

mod check;
mod config;
mod console;
mod counters;
mod dispatch;
mod handover;
mod lifecycle;
mod logs;
mod next_hop;
mod operate;
mod places;
mod sender_side;
mod serve;
mod transport_map;
mod upgrade;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

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
    /// Serve until SIGTERM; the same without any command
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
    let told = config::Told { operator: line.operator };
    let (done, bad) = match line.command.unwrap_or(Command::Serve) {
        Command::Serve => (serve::run(&told), 1),
        Command::Check => (check::run(&told), 2),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut CommandLine::command(),
                "curlewusher",
                &mut std::io::stdout(),
            );
            (Ok(()), 1)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("curlewusher: {problem}");
            ExitCode::from(bad)
        }
    }
}
