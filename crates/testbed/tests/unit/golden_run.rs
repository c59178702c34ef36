//! Golden test of a constructed run that violates every rule: the checker's verdict, the text of each
//! violation, the figures and the report.

use curlewusher_model::Timestamp;

use super::*;
use crate::event_log::Record;
use crate::golden::{self, golden};
use crate::play::FinishedRun;
use crate::process_cost::Sample;
use crate::rules::{Violation, check_footprint, check_rules};
use crate::scenario::Scenario;

fn scenario() -> Scenario {
    Scenario::parse(include_str!("../golden/run_scenario.toml")).expect("the scenario is valid")
}

fn records() -> Vec<Record> {
    let lines = include_str!("../golden/run_events.jsonl").lines();
    lines.map(|line| serde_json::from_str(line).expect("the line is a valid record")).collect()
}

/// Returns samples of three nodes; node 1 is restarted, and nodes 0 and 2 exceed a limit.
fn samples() -> Vec<Sample> {
    let sample =
        |at_s, node, cpu_s, memory_mb, descriptors| Sample { at_s, node, cpu_s, memory_mb, descriptors };
    vec![
        sample(0.5, 0, 0.25, 20.0, 40),
        sample(0.5, 1, 0.5, 21.5, 41),
        sample(0.5, 2, 0.125, 22.25, 42),
        sample(1.0, 0, 0.75, 30.0, 301),
        sample(1.0, 1, 0.0625, 31.5, 300),
        sample(1.000_001_9, 2, 0.5, 192.5, 55),
        sample(1.5, 0, 1.25, 25.0, 350),
        sample(1.5, 1, 0.5, 192.0, 90),
    ]
}

fn finished_run() -> FinishedRun {
    FinishedRun {
        records: records(),
        samples: samples(),
        begin: Timestamp::from_micros(200_000),
        end: Timestamp::from_micros(43_000_000),
        crashes: vec!["node 1 ended by itself, exit status: 1; its last lines:\n    (none)".into()],
        interrupted: false,
    }
}

fn violations(scenario: &Scenario, finished_run: &FinishedRun) -> Vec<Violation> {
    let mut violations = check_rules(&finished_run.records, &scenario.rule_parameters());
    violations.extend(check_footprint(&finished_run.samples, scenario.footprint_limits()));
    violations
}

#[test]
fn constructed_run_then_the_verdict_and_each_violation_are_as_recorded() {
    let (scenario, finished_run) = (scenario(), finished_run());
    let violations = violations(&scenario, &finished_run);
    let mut verdict = format!("{} violations\n", violations.len());
    for violation in &violations {
        verdict += &violation.to_string();
    }
    golden!("run_verdict.txt").assert_eq(&verdict);
}

#[test]
fn constructed_run_then_its_figures_and_its_report_are_as_recorded() {
    let (scenario, finished_run) = (scenario(), finished_run());
    let violations = violations(&scenario, &finished_run);
    let figures = compute_figures(&scenario, &finished_run, &violations);
    let stored = serde_json::to_string_pretty(&figures).expect("the value can be serialized");
    golden!("run_figures.json").assert_eq(&(stored + "\n"));
    golden!("run_summary.txt").assert_eq(&render_summary(&figures));
    golden!("run_page.html").assert_eq(&render_page(&scenario, &finished_run, &figures, &violations));
}

#[test]
fn recorded_events_then_they_are_serialized_as_they_were_read() {
    let lines = records()
        .into_iter()
        .map(|record| serde_json::to_string(&record).expect("the value can be serialized") + "\n");
    golden!("run_events.jsonl").assert_eq(&lines.collect::<String>());
}
