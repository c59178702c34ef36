//! Owns the drills: one thing that operators do, many times after another on one node under load, and the
//! table of what came of it. It must never judge: the table counts what the judge found.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use curlewusher_model::workload::random_stream;
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until};

use crate::event_log::ExpectedAnswer;
use crate::fleet::name_of;
use crate::play::{Played, Stage};
use crate::rules::{OperationFigures, Rule, UpgradeFigures, Violation};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::upkeep::Plan;

/// What is done again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Kind {
    /// A newer process takes over
    Upgrades,
    /// The same, and the older or the newer process is killed at a drawn moment
    Kills,
    /// Every call of the second address, also wrong ones, beside callers that finish none
    Calls,
}

/// A drill.
#[derive(Clone, Copy, Debug)]
pub struct Drill {
    pub kind: Kind,
    pub times: usize,
    /// SIGTERM comes up to this after a newer process's yes, s.
    pub delay_s: f64,
}

/// One upgrade lasts no longer than this, s: its longest delay and the waits round it.
const LONGEST_ROUND_S: f64 = 18.0;
/// Load before the first time, and after the last, so that what was called back can be seen in use.
const CALM: Duration = Duration::from_millis(1000);
const AFTER: Duration = Duration::from_millis(5500);
/// Callers that finish no call, and how long each holds its connection.
const STUCK: usize = 3;
const STUCK_FOR: Duration = Duration::from_secs(4);

/// The small world of a drill: all that a job can be, at a load that the workers bear easily.
const WORLD: &str = r#"
title = "drill"
seed = 1
length_s = 1.0
[nodes]
count = 1
[fleet]
workers = 6
fetch_s = 0.02
warm_up_s = 4.0
list_late_s = 0.3
[load]
rate = 40.0
retries = 0
new_connections = 0.3
[[class]]
name = "scan-view"
share = 0.5
mean_s = 0.1
repeats = "safe"
aim_s = 0.75
stretch = 2.5
give_up_s = 3.0
worth = 1.0
[[class]]
name = "sample-register"
share = 0.25
mean_s = 0.3
repeats = "keyed"
aim_s = 2.0
stretch = 2.0
give_up_s = 3.0
worth = 2.0
[[class]]
name = "release-order"
share = 0.25
mean_s = 0.5
slots = 2
repeats = "unsafe"
aim_s = 1.0
stretch = 2.0
give_up_s = 10.0
worth = 3.0
"#;

impl Drill {
    /// The scenario that it plays in, long enough for all times.
    pub fn scenario(self, seed: u64) -> Scenario {
        let mut scenario = Scenario::parse(WORLD).expect("a scenario that the tests read");
        scenario.title = format!("drill {:?}", self.kind).to_lowercase();
        scenario.seed = seed;
        scenario.length_s = 20.0 + self.times as f64 * LONGEST_ROUND_S;
        scenario
    }
}

impl Stage {
    /// Does it all on the first node, and counts the times that are done.
    pub async fn drill(&self, drill: Drill, begin: u64, done: &AtomicUsize) {
        sleep_until(self.log.instant(begin) + CALM).await;
        let kind = if drill.kind == Kind::Kills { FaultKind::KillInUpgrade } else { FaultKind::Upgrade };
        for round in 0..drill.times {
            match drill.kind {
                Kind::Upgrades | Kind::Kills => {
                    let fault = Fault { delay_s: Some(drill.delay_s), ..Fault::of(kind) };
                    let plan = Plan::draw(&self.scenario, &fault, &format!("drill-{round}"));
                    self.upgrade(0, plan).await;
                }
                Kind::Calls => self.calls(round).await,
            }
            done.fetch_add(1, Ordering::Relaxed);
        }
        sleep(AFTER).await;
    }

    /// One round of calls: a worker out, out again and back, one that was never listed, words that are no
    /// call; and callers that connect and finish nothing.
    async fn calls(&self, round: usize) {
        let mut random = random_stream(self.scenario.seed, &format!("drill-{round}"));
        let Some(console) = self.nodes[0].lock().await.console else { return };
        if round.is_multiple_of(STUCK) {
            for nth in 0..STUCK {
                tokio::spawn(stuck(console, nth));
            }
        }
        let worker = name_of(round % self.scenario.workers());
        let mut between = || Duration::from_secs_f64(0.05 + random.random::<f64>() * 0.6);
        for (line, owed) in [
            ("READY".to_owned(), ExpectedAnswer::Yes),
            (format!("DISABLE {worker}"), ExpectedAnswer::Yes),
            (format!("DISABLE w-never-{round}"), ExpectedAnswer::No),
            (format!("DISABLE {worker}"), ExpectedAnswer::Yes),
            (format!("ENABLE w-never-{round}"), ExpectedAnswer::No),
            ("RESTART".to_owned(), ExpectedAnswer::No),
            (format!("ENABLE {worker}"), ExpectedAnswer::Yes),
        ] {
            let _ = self.operate(0, &line, owed).await;
            sleep(between()).await;
        }
    }
}

/// A caller that says nothing, or half a line.
async fn stuck(console: SocketAddr, nth: usize) {
    let Ok(mut stream) = TcpStream::connect(console).await else { return };
    let _ = stream.write_all(&b"DISABLE w-0"[..nth * 5]).await;
    sleep(STUCK_FOR).await;
}

/// The table of a drill.
pub fn table(
    drill: Drill,
    seed: u64,
    played: &Played,
    operations: &OperationFigures,
    violations: &[Violation],
) -> String {
    let mut out = format!("drill {:?}, {} times, seed {seed}\n", drill.kind, drill.times).to_lowercase();
    let mut rules: BTreeMap<String, usize> = BTreeMap::new();
    violations.iter().for_each(|violation| *rules.entry(format!("{:?}", violation.rule)).or_default() += 1);
    let lost = violations.iter().filter(|violation| violation.rule == Rule::OneAnswer).count();
    let mut line = |name: &str, value: String| _ = writeln!(out, "{name:<40}{value}");
    line("jobs lost", lost.to_string());
    let upgrades = &operations.upgrades;
    if !upgrades.is_empty() {
        let count = upgrades.len() as f64;
        let harmed: usize = upgrades.iter().map(|upgrade| upgrade.harmed).sum();
        let most = upgrades.iter().map(|upgrade| upgrade.harmed).max().unwrap_or_default();
        line("jobs harmed an upgrade, max, mean", format!("{most}, {:.2}", harmed as f64 / count));
        line("jobs refused, all", upgrades.iter().map(|upgrade| upgrade.rejected).sum::<usize>().to_string());
        line(
            "times no to /ready, all",
            upgrades.iter().map(|upgrade| upgrade.not_ready_answers).sum::<usize>().to_string(),
        );
        let times = |of: &dyn Fn(&UpgradeFigures) -> Option<f64>| {
            let all: Vec<f64> = upgrades.iter().filter_map(of).collect();
            let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
            format!("{:.2} s, {mean:.2} s, of {}", all.iter().copied().fold(0.0, f64::max), all.len())
        };
        line("newer ready after, max, mean", times(&|upgrade| upgrade.ready_s));
        line("one process again after, max, mean", times(&|upgrade| upgrade.ended_s));
        line("upgrades with a kill that hit", upgrades.iter().filter(|u| u.killed).count().to_string());
    }
    for (command, figures) in &operations.commands {
        line(
            &format!("{command}: calls, slowest answer"),
            format!("{}, {:.1} ms", figures.count, figures.slowest_ms),
        );
    }
    line("crashes", played.crashes.len().to_string());
    line("broken rules", violations.len().to_string());
    for (rule, count) in rules {
        line(&format!("  {rule}"), count.to_string());
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_the_same_upgrades_and_the_world_of_a_drill_can_be_read() {
        let scenario = |seed| Drill { kind: Kind::Kills, times: 3, delay_s: 6.0 }.scenario(seed);
        let fault = Fault { delay_s: Some(2.0), ..Fault::of(FaultKind::KillInUpgrade) };
        let plans = |seed| (0..40).map(|n| Plan::draw(&scenario(seed), &fault, &n.to_string())).collect();
        let (first, again, other): (Vec<_>, Vec<_>, Vec<_>) = (plans(1), plans(1), plans(2));
        assert!(first == again && first != other);
        assert!(first.iter().all(|plan| plan.delay.as_secs_f64() <= 2.0 && plan.kill.is_some()));
        let older = first.iter().filter(|p| p.kill.is_some_and(|(w, _)| w == crate::scenario::Whom::Older));
        assert!((5..35).contains(&older.count()), "both are drawn");
    }
}
