//! The laboratory. Owns the command line. It must never do the work of a part.

#![forbid(unsafe_code)]

mod client_connections;
mod compare;
mod console;
mod event_log;
mod fleet;
mod load;
mod nodes;
mod operator_actions;
mod play;
mod proxy;
mod report;
mod rules;
mod scenario;
mod scripted;
mod soak;
mod stress_run;
mod upgrade;

#[cfg(test)]
#[path = "../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::nodes::Program;
use crate::report::Figures;
use crate::scenario::Scenario;

/// Plays scenarios on real nodes on loopback: a fleet, clients and faults round them, and a judge over what was seen.
///
/// Ends with 0 when no rule was broken and no node crashed, 1 when one was or did, 2 when it could not begin, and 3 when
/// the run does not count.
#[derive(Parser)]
#[command(name = "curlewusher-testbed", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario, judge it, and leave a report
    Run {
        /// The scenario's file
        scenario: PathBuf,
        /// The node's program; else the one beside this program
        #[arg(long, value_name = "FILE")]
        node: Option<PathBuf>,
        /// Play the lab's own scripted node instead, with this fault (none keeps the rules)
        #[arg(long, value_name = "FAULT", conflicts_with = "node")]
        scripted: Option<scripted::Flaw>,
        /// Another seed than the file's
        #[arg(long)]
        seed: Option<u64>,
        /// Where report.html, figures.json, seen.jsonl and the nodes' logs go
        #[arg(long, default_value = "found/testbed", value_name = "FOLDER")]
        out: PathBuf,
        /// No progress bar
        #[arg(long)]
        quiet: bool,
    },
    /// Play the same scenario and seeds on two nodes' programs or two operator's files, in turns, and compare them
    Compare {
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
    },
    /// Do one thing of daily operation many times on a node under load, and print a table of what came of it
    Drill {
        /// What is done
        kind: stress_run::StressKind,
        /// How many times, one after another
        #[arg(long, default_value_t = 20)]
        times: usize,
        /// It decides all drawn moments, and the load
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The longest wait between a newer process's yes and SIGTERM for the older one, seconds
        #[arg(long, default_value_t = scenario::MAX_DELAY_S, value_name = "SECONDS")]
        delay: f64,
        /// The node's program; else the one beside this program
        #[arg(long, value_name = "FILE")]
        node: Option<PathBuf>,
        /// Use the lab's own scripted node instead, with this fault
        #[arg(long, value_name = "FAULT", conflicts_with = "node")]
        scripted: Option<scripted::Flaw>,
        /// Where the report, what was seen and the nodes' logs go
        #[arg(long, default_value = "found/drill", value_name = "FOLDER")]
        out: PathBuf,
        /// No progress bar
        #[arg(long)]
        quiet: bool,
    },
    /// Play a fleet under faults that are drawn from a seed and overlap, one seed after another, and print a table
    Soak {
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
        /// The node's program; else the one beside this program
        #[arg(long, value_name = "FILE")]
        node: Option<PathBuf>,
        /// Where the reports, what was seen and the nodes' logs go, a folder for each seed
        #[arg(long, default_value = "found/soak", value_name = "FOLDER")]
        out: PathBuf,
    },
    /// Read a scenario and say whether it is good
    Check {
        /// The scenario's file
        scenario: PathBuf,
    },
    /// Be a node that keeps all rules, or breaks one: for tests of the judge and of the lab's own limit
    #[command(hide = true)]
    ScriptedNode {
        /// What it does wrong
        flaw: scripted::Flaw,
    },
}

/// Bounds of the length of a soak run, in seconds.
const MIN_SOAK_S: f64 = 8.0;
const MAX_SOAK_S: f64 = 3_600.0;

fn main() -> ExitCode {
    match command(CommandLine::parse().command) {
        Ok(code) => ExitCode::from(code),
        Err(problem) => {
            eprintln!("curlewusher-testbed: {problem}");
            ExitCode::from(2)
        }
    }
}

fn command(command: Command) -> Result<u8, String> {
    match command {
        Command::Run { scenario, node, scripted, seed, out, quiet } => {
            let mut scenario = read(&scenario)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let program = program_or_scripted(node, scripted, &out)?;
            runtime(1)?.block_on(run(scenario, program, None, !quiet)).map(|ran| {
                print!("{}", report::render_summary(&ran.figures));
                println!("report: {}", out.join("report.html").display());
                ran.code
            })
        }
        Command::Drill { kind, times, seed, delay, node, scripted, out, quiet } => {
            if !(0.0..=scenario::MAX_DELAY_S).contains(&delay) {
                return Err(format!("--delay: {delay} is not from 0 to {}", scenario::MAX_DELAY_S));
            }
            let stress = stress_run::StressRun { kind, rounds: times, max_delay_s: delay };
            let program = program_or_scripted(node, scripted, &out)?;
            runtime(1)?.block_on(run(stress.scenario(seed), program, Some(stress), !quiet)).map(|ran| {
                print!(
                    "{}",
                    stress_run::table(stress, seed, &ran.played, &ran.figures.operations, &ran.violations)
                );
                println!("report: {}", out.join("report.html").display());
                ran.code
            })
        }
        Command::Soak { first, seeds, nodes, workers, length, faults, node, out } => {
            if !(MIN_SOAK_S..=MAX_SOAK_S).contains(&length) {
                return Err(format!("--length: {length} is not from {MIN_SOAK_S} to {MAX_SOAK_S}"));
            }
            let path = program(node)?;
            print!("{}", soak::table_head());
            let mut worst = 0;
            for seed in first..first + seeds {
                let (nodes, workers) = (nodes as usize, workers as usize);
                let scenario = soak::Soak { seed, nodes, workers, length_s: length, faults }.scenario();
                let folder = out.join(seed.to_string());
                let program = Program { path: path.clone(), arguments: Vec::new(), folder };
                let ran = runtime(1)?.block_on(run(scenario.clone(), program, None, false))?;
                let crashes = &ran.played.crashes;
                print!("{}", soak::table_row(&scenario, &ran.figures, &ran.violations, crashes));
                worst = worst.max(if ran.code == 1 { 1 } else { 0 });
            }
            Ok(worst)
        }
        Command::Compare { scenario, a, b, operator_a, operator_b, seeds, out } => {
            let scenario = read(&scenario)?;
            let (a, b) = (program(a)?, program(b)?);
            let mut pairs = Vec::new();
            for seed in scenario.seed..scenario.seed + seeds {
                let side = |name: &str, path: &Path, operator: &Option<PathBuf>| -> Result<Figures, String> {
                    let mut scenario = scenario.clone();
                    scenario.seed = seed;
                    scenario.nodes.operator = operator.clone().or(scenario.nodes.operator);
                    let folder = out.join(format!("{name}-{seed}"));
                    let program = Program { path: path.to_owned(), arguments: Vec::new(), folder };
                    let ran = runtime(1)?.block_on(run(scenario, program, None, true))?;
                    println!("seed {seed} {name}: {:.3}", ran.figures.share_in_time);
                    Ok(ran.figures)
                };
                // Each goes first in turn, so that what warms the machine helps neither.
                pairs.push(if seed % 2 == 0 {
                    let first = side("a", &a, &operator_a)?;
                    (first, side("b", &b, &operator_b)?)
                } else {
                    let first = side("b", &b, &operator_b)?;
                    (side("a", &a, &operator_a)?, first)
                });
            }
            let comparison = compare::compare(&pairs).map_err(|error| error.to_string())?;
            let text = compare::comparison_json(&comparison).map_err(|e| e.to_string())?;
            write(&out.join("comparison.json"), &text)?;
            println!("{}", compare::summary_line(&comparison));
            Ok(u8::from(
                pairs.iter().any(|(a, b)| a.broken_rules + b.broken_rules + a.crashes + b.crashes > 0),
            ))
        }
        Command::Check { scenario } => read(&scenario).map(|scenario| {
            let jobs = scenario.workload().draw().len();
            println!(
                "{}: {} nodes, {} workers, {jobs} jobs",
                scenario.title,
                scenario.nodes.count,
                scenario.worker_count()
            );
            0
        }),
        Command::ScriptedNode { flaw } => {
            runtime(0)?.block_on(scripted::serve(flaw)).map(|()| 0).map_err(|error| error.to_string())
        }
    }
}

fn read(path: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut scenario = Scenario::parse(&text).map_err(|problem| format!("{}: {problem}", path.display()))?;
    // What the file names is found from where the file lies.
    if let (Some(file), Some(folder)) = (&scenario.nodes.operator, path.parent()) {
        scenario.nodes.operator = Some(folder.join(file));
    }
    Ok(scenario)
}

fn program(given: Option<PathBuf>) -> Result<PathBuf, String> {
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("curlewusher"));
    let path =
        given.or_else(beside).ok_or("this program's own place is not known: name the node's with --node")?;
    if !path.is_file() {
        return Err(format!("no program at {}: build it, or name it with --node", path.display()));
    }
    Ok(path)
}

fn program_or_scripted(
    node: Option<PathBuf>,
    scripted: Option<scripted::Flaw>,
    out: &Path,
) -> Result<Program, String> {
    let Some(flaw) = scripted else {
        return Ok(Program { path: program(node)?, arguments: Vec::new(), folder: out.to_owned() });
    };
    let path = std::env::current_exe().map_err(|e| format!("this program's own place: {e}"))?;
    let arguments = vec!["scripted-node".into(), flaw.to_string()];
    Ok(Program { path, arguments, folder: out.to_owned() })
}

/// Threads beside the one that waits: the lab needs more than one only at large size.
fn runtime(more: usize) -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1 + more)
        .enable_all()
        .build()
        .map_err(|e| format!("the runtime does not start: {e}"))
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// What is left of a run once its files are written.
struct Ran {
    played: play::Played,
    violations: Vec<rules::Violation>,
    figures: Figures,
    /// What this program ends with.
    code: u8,
}

async fn run(
    scenario: Scenario,
    program: Program,
    stress: Option<stress_run::StressRun>,
    bar: bool,
) -> Result<Ran, String> {
    let out = program.folder.clone();
    std::fs::create_dir_all(&out).map_err(|e| format!("{}: {e}", out.display()))?;
    let played = play::play(scenario.clone(), program, stress, bar).await?;
    // A run cut short leaves requests open that nobody can be blamed for.
    let mut violations = if played.interrupted {
        Vec::new()
    } else {
        rules::check_rules(&played.records, &scenario.rule_parameters())
    };
    violations.extend(rules::check_footprint(&played.samples, &scenario));
    let figures = report::compute_figures(&scenario, &played, &violations);
    let lines = played.records.iter().map(|record| serde_json::to_string(record).map(|line| line + "\n"));
    let seen: String = lines.collect::<Result<_, _>>().map_err(|e| e.to_string())?;
    write(&out.join("seen.jsonl"), &seen)?;
    write(&out.join("figures.json"), &serde_json::to_string_pretty(&figures).map_err(|e| e.to_string())?)?;
    write(&out.join("report.html"), &report::render_page(&scenario, &played, &figures, &violations))?;
    for violation in violations.iter().take(5) {
        eprint!("BROKEN RULE {violation}");
    }
    if violations.len() > 5 {
        eprintln!("... and {} more; see the report", violations.len() - 5);
    }
    played.crashes.iter().for_each(|crash| eprintln!("CRASH {crash}"));
    let code = match (violations.is_empty() && played.crashes.is_empty(), figures.valid) {
        (false, _) => 1,
        (true, false) => 3,
        (true, true) => 0,
    };
    Ok(Ran { played, violations, figures, code })
}
