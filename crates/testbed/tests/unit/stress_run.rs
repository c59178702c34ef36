//! Drawing of stress runs.

#[path = "soak.rs"]
mod soak;

use super::*;
use crate::scenario::UpgradeProcess;

#[test]
fn same_seed_then_same_upgrade_plans_and_the_scenario_is_valid() {
    let scenario = |seed| StressRun { kind: StressKind::Kills, rounds: 3, max_delay_s: 6.0 }.scenario(seed);
    let fault = Fault { delay_s: Some(2.0), ..Fault::of_kind(FaultKind::KillInUpgrade) };
    let plans = |seed| (0..40).map(|n| UpgradePlan::draw(&scenario(seed), &fault, &n.to_string())).collect();
    let (first, again, other): (Vec<_>, Vec<_>, Vec<_>) = (plans(1), plans(1), plans(2));
    assert!(first == again && first != other);
    assert!(first.iter().all(|plan| plan.delay.as_secs_f64() <= 2.0 && plan.kill.is_some()));
    let kills_predecessor =
        |plan: &&UpgradePlan| plan.kill.is_some_and(|kill| kill.victim == UpgradeProcess::Predecessor);
    assert!((5..35).contains(&first.iter().filter(kills_predecessor).count()), "both are drawn");
}
