//! Scenario with every field: the values that are read, by their names in the file, and the parameters that
//! the scenario is converted into.

use curlewusher_model::worker_pool::Machine;
use curlewusher_model::workload::{JobClass, LoadSegment};

use super::Scenario;
use crate::golden::{self, golden};
use crate::rules::RetryPolicy;

/// Scenario with every field.
const FULL: &str = include_str!("../golden/scenario_full.toml");

fn full() -> Scenario {
    Scenario::parse(FULL).expect("the scenario is valid")
}

fn workload_lines(scenario: &Scenario) -> Vec<String> {
    let spec = scenario.workload();
    let mut lines = vec![format!(
        "plan: seed {}, length {}, rate {}",
        spec.seed,
        spec.duration.as_micros(),
        spec.arrival_rate
    )];
    lines.push(format!(
        "sets {}, skew {}, hint spread {}",
        spec.data_set_count, spec.zipf_exponent, spec.hint_spread
    ));
    let segment = |segment: &LoadSegment| {
        format!(
            "tide: from {}, until {}, factor {}",
            segment.from.as_micros(),
            segment.until.as_micros(),
            segment.factor
        )
    };
    lines.extend(spec.load_curve.iter().map(segment));
    let class = |class: &JobClass| {
        format!(
            "class: share {}, mean {}, slots {}",
            class.weight, class.mean_work_seconds, class.large_job_slots
        )
    };
    lines.extend(spec.classes.iter().map(class));
    lines
}

fn pool_lines(scenario: &Scenario) -> Vec<String> {
    let parameters = scenario.pool_parameters();
    vec![
        format!(
            "cold share {}, warm-up {}",
            parameters.initial_capacity_fraction,
            parameters.warm_up_duration.as_micros()
        ),
        format!(
            "overload factor {}, fall window {}",
            parameters.overload_factor,
            parameters.overload_window.as_micros()
        ),
        format!(
            "crowding {}, fetch {}, archive {}",
            parameters.contention_penalty, parameters.fetch_seconds, parameters.archive_concurrency
        ),
        format!(
            "deduplication window {}, progress {}",
            parameters.deduplication_window.as_micros(),
            parameters.progress_interval.as_micros()
        ),
    ]
}

fn machine_lines(scenario: &Scenario) -> Vec<String> {
    let line = |(worker, machine): (usize, &Machine)| {
        let (kind_index, kind) = (scenario.kind_index_of(worker), scenario.kind_of(worker));
        format!(
            "worker {worker}: kind {kind_index} {}, bay {}, cores {}, speed {}, slots {}, memory {}, queue {}, sets {}",
            kind.name,
            machine.cell,
            machine.cores,
            machine.speed,
            machine.slots,
            machine.memory,
            machine.queue_capacity,
            machine.cache_capacity
        )
    };
    scenario.machines().iter().enumerate().map(line).collect()
}

fn rule_lines(scenario: &Scenario) -> Vec<String> {
    let rules = scenario.rule_parameters();
    let repeats = |repeats: &RetryPolicy| match repeats {
        RetryPolicy::Idempotent => "repeats: safe".to_owned(),
        RetryPolicy::IdempotentWithKey { window } => format!("repeats: keyed for {}", window.as_micros()),
        RetryPolicy::NonIdempotent => "repeats: unsafe".to_owned(),
    };
    let mut lines: Vec<String> = rules.classes.iter().map(repeats).collect();
    lines.push(format!(
        "slack {}, stop within {}",
        rules.tolerance.as_micros(),
        rules.max_stop_delay.as_micros()
    ));
    lines.push(format!(
        "drain grace {}, fall window {}",
        rules.drain_grace.as_micros(),
        rules.overload_window.as_micros()
    ));
    lines.push(format!("newer learns {}", rules.successor_grace.as_micros()));
    lines
}

fn fault_lines(scenario: &Scenario) -> Vec<String> {
    let targets = |fault| format!("fault for {:?}", scenario.targets_of(fault));
    let mut lines: Vec<String> = scenario.faults.iter().map(targets).collect();
    lines.push(format!(
        "grown {:?}, second addresses {}",
        scenario.grown_workers(),
        scenario.needs_admin_addresses()
    ));
    lines
}

#[test]
fn scenario_with_every_field_then_every_value_is_as_recorded() {
    let values = serde_json::to_string_pretty(&full()).expect("the value can be serialized");
    golden!("scenario_values.json").assert_eq(&(values + "\n"));
    let minimal =
        Scenario::parse(include_str!("../golden/scenario_least.toml")).expect("the scenario is valid");
    let values = serde_json::to_string_pretty(&minimal).expect("the value can be serialized");
    golden!("scenario_least_values.json").assert_eq(&(values + "\n"));
}

#[test]
fn scenario_with_every_field_then_the_converted_parameters_are_as_recorded() {
    let scenario = full();
    let lines =
        [workload_lines, pool_lines, machine_lines, rule_lines, fault_lines].map(|lines| lines(&scenario));
    golden!("scenario_parts.txt").assert_eq(&(lines.concat().join("\n") + "\n"));
}
