//! Random plans, scenarios and tables of stress runs.

use curlewusher_model::Timestamp;

use super::*;
use crate::golden::{self, golden};
use crate::rules::{CommandFigures, OperationFigures, Rule, UpgradeFigures, Violation};
use crate::scenario::UpgradeProcess;

#[test]
fn same_seed_then_same_upgrade_plans_and_the_scenario_is_valid() {
    let scenario = |seed| StressRun { kind: StressKind::Kills, rounds: 3, max_delay_s: 6.0 }.scenario(seed);
    let fault = Fault { delay_s: Some(2.0), ..Fault::of_kind(FaultKind::KillInUpgrade) };
    let plans =
        |seed| (0..40).map(|n| UpgradePlan::sample(&scenario(seed), &fault, &n.to_string())).collect();
    let (first, again, other): (Vec<_>, Vec<_>, Vec<_>) = (plans(1), plans(1), plans(2));
    assert!(first == again && first != other);
    assert!(first.iter().all(|plan| plan.delay.as_secs_f64() <= 2.0 && plan.kill.is_some()));
    let kills_predecessor =
        |plan: &&UpgradePlan| plan.kill.is_some_and(|kill| kill.victim == UpgradeProcess::Predecessor);
    assert!(
        (5..35).contains(&first.iter().filter(kills_predecessor).count()),
        "both processes are picked as victims"
    );
}

#[test]
fn each_kind_of_stress_run_then_the_scenario_is_as_recorded() {
    let scenario = |kind| {
        let scenario = StressRun { kind, rounds: 7, max_delay_s: 2.5 }.scenario(11);
        toml::to_string(&scenario).expect("the scenario can be serialized")
    };
    let texts = [StressKind::Upgrades, StressKind::Kills, StressKind::Calls].map(scenario);
    golden!("stress_scenarios.toml").assert_eq(&texts.join("\n# Next kind.\n"));
}

fn operations() -> OperationFigures {
    let upgrade = |harmed, ready_s, killed| UpgradeFigures {
        ready_s,
        ended_s: ready_s.map(|ready_s| ready_s + 3.25),
        killed,
        harmed,
        rejected: 2 * harmed,
        not_ready_answers: harmed + 1,
        ..UpgradeFigures::default()
    };
    let commands = [("DISABLE", CommandFigures { count: 9, slowest_ms: 12.34 }), ("READY", (3, 0.5).into())];
    OperationFigures {
        upgrades: vec![upgrade(0, Some(1.5), false), upgrade(2, Some(0.25), true), upgrade(1, None, false)],
        commands: commands.map(|(command, figures)| (command.to_owned(), figures)).into(),
    }
}

#[test]
fn results_of_stress_runs_then_the_tables_are_as_recorded() {
    let violation =
        |rule| Violation { rule, at: Timestamp::default(), description: String::new(), timeline: Vec::new() };
    let violations = [Rule::OneAnswer, Rule::Upgrade, Rule::OneAnswer, Rule::Console].map(violation);
    let table = |kind, seed, crashes, operations: &OperationFigures, violations: &[Violation]| {
        let run = StressRun { kind, rounds: 7, max_delay_s: 2.5 };
        StressResults { run, seed, crashes, operations, violations }.table()
    };
    let commands_only = OperationFigures { upgrades: Vec::new(), ..operations() };
    let tables = [
        table(StressKind::Kills, 11, 2, &operations(), &violations),
        table(StressKind::Upgrades, 1, 0, &operations(), &[]),
        table(StressKind::Calls, 3, 0, &commands_only, &violations[3..]),
    ];
    golden!("stress_tables.txt").assert_eq(&tables.join("\n"));
}
