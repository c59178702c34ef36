//! Stress runs: one action of operators, repeated many times on one node under load, and the table of its results.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use curlewusher_model::Timestamp;
use curlewusher_model::workload::random_stream;
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until};

use crate::event_log::ExpectedAnswer;
use crate::fleet::worker_name;
use crate::play::{Environment, Played};
use crate::rules::{OperationFigures, Rule, UpgradeFigures, Violation};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::upgrade::UpgradePlan;

/// What is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum StressKind {
    /// A newer process takes over
    Upgrades,
    /// The same, and the older or the newer process is killed at a drawn moment
    Kills,
    /// Every call of the second address, also wrong ones, beside callers that finish none
    Calls,
}

/// A stress run.
#[derive(Clone, Copy, Debug)]
pub struct StressRun {
    pub kind: StressKind,
    pub rounds: usize,
    /// The longest wait between a successor's first yes and SIGTERM for its predecessor, in seconds.
    pub max_delay_s: f64,
}

/// Upper bound of an upgrade's duration in seconds: its longest delay and the waits around it.
const MAX_ROUND_S: f64 = 18.0;
/// Load before the first round.
const LEAD_TIME: Duration = Duration::from_millis(1000);
/// Load after the last round, in which a worker that was enabled can be seen in use.
const TRAIL_TIME: Duration = Duration::from_millis(5500);
/// Number of clients at once that leave an admin command unfinished.
const STALLED_CLIENTS: usize = 3;
/// How long each of them keeps its connection.
const STALL_TIME: Duration = Duration::from_secs(4);

/// A small scenario with every idempotence of jobs, at a load that the workers carry with ease.
const SCENARIO: &str = r#"
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

impl StressRun {
    /// The scenario that it runs in, long enough for all rounds.
    pub fn scenario(self, seed: u64) -> Scenario {
        let mut scenario = Scenario::parse(SCENARIO).expect("a scenario that the tests read");
        scenario.title = format!("drill {:?}", self.kind).to_lowercase();
        scenario.seed = seed;
        scenario.length_s = 20.0 + self.rounds as f64 * MAX_ROUND_S;
        scenario
    }
}

impl Environment {
    /// Does all rounds on the first node, and counts those that are done.
    pub async fn stress(&self, run: StressRun, begin: Timestamp, rounds_done: &AtomicUsize) {
        sleep_until(self.log.instant(begin) + LEAD_TIME).await;
        for round in 0..run.rounds {
            match run.kind {
                StressKind::Upgrades => self.stress_upgrade(run, FaultKind::Upgrade, round).await,
                StressKind::Kills => self.stress_upgrade(run, FaultKind::KillInUpgrade, round).await,
                StressKind::Calls => self.stress_admin_commands(round).await,
            }
            rounds_done.fetch_add(1, Ordering::Relaxed);
        }
        sleep(TRAIL_TIME).await;
    }

    async fn stress_upgrade(&self, run: StressRun, kind: FaultKind, round: usize) {
        let fault = Fault { delay_s: Some(run.max_delay_s), ..Fault::of_kind(kind) };
        let plan = UpgradePlan::draw(&self.scenario, &fault, &format!("drill-{round}"));
        self.upgrade(0, plan).await;
    }

    /// One round of admin commands: a worker is disabled, disabled again and enabled, another is unknown, a command is
    /// unknown; and some clients connect and finish nothing.
    async fn stress_admin_commands(&self, round: usize) {
        let mut random = random_stream(self.scenario.seed, &format!("drill-{round}"));
        let Some(admin_address) = self.nodes[0].lock().await.console else { return };
        if round.is_multiple_of(STALLED_CLIENTS) {
            for client in 0..STALLED_CLIENTS {
                tokio::spawn(stall(admin_address, client));
            }
        }
        let worker = worker_name(round % self.scenario.worker_count());
        for (command, expected) in [
            ("READY".to_owned(), ExpectedAnswer::Yes),
            (format!("DISABLE {worker}"), ExpectedAnswer::Yes),
            (format!("DISABLE w-never-{round}"), ExpectedAnswer::No),
            (format!("DISABLE {worker}"), ExpectedAnswer::Yes),
            (format!("ENABLE w-never-{round}"), ExpectedAnswer::No),
            ("RESTART".to_owned(), ExpectedAnswer::No),
            (format!("ENABLE {worker}"), ExpectedAnswer::Yes),
        ] {
            let _ = self.send_command(0, &command, expected).await;
            sleep(Duration::from_secs_f64(0.05 + random.random::<f64>() * 0.6)).await;
        }
    }
}

/// A client that sends nothing, or part of a command.
async fn stall(admin_address: SocketAddr, client: usize) {
    let Ok(mut stream) = TcpStream::connect(admin_address).await else { return };
    let _ = stream.write_all(&b"DISABLE w-0"[..client * 5]).await;
    sleep(STALL_TIME).await;
}

/// Renders the table of a stress run.
pub fn table(
    run: StressRun,
    seed: u64,
    played: &Played,
    operations: &OperationFigures,
    violations: &[Violation],
) -> String {
    let mut table =
        Table(format!("drill {:?}, {} times, seed {seed}\n", run.kind, run.rounds).to_lowercase());
    let lost = violations.iter().filter(|violation| violation.rule == Rule::OneAnswer).count();
    table.add("jobs lost", lost);
    if !operations.upgrades.is_empty() {
        table.add_upgrades(&operations.upgrades);
    }
    for (command, figures) in &operations.commands {
        let value = format!("{}, {:.1} ms", figures.count, figures.slowest_ms);
        table.add(&format!("{command}: calls, slowest answer"), value);
    }
    table.add("crashes", played.crashes.len());
    table.add("broken rules", violations.len());
    let mut count_by_rule: BTreeMap<String, usize> = BTreeMap::new();
    for violation in violations {
        *count_by_rule.entry(format!("{:?}", violation.rule)).or_default() += 1;
    }
    for (rule, count) in count_by_rule {
        table.add(&format!("  {rule}"), count);
    }
    table.0
}

/// Lines of a name and a value.
struct Table(String);

impl Table {
    fn add(&mut self, name: &str, value: impl std::fmt::Display) {
        let _ = writeln!(self.0, "{name:<40}{value}");
    }

    fn add_upgrades(&mut self, upgrades: &[UpgradeFigures]) {
        let harmed: usize = upgrades.iter().map(|upgrade| upgrade.harmed).sum();
        let most_harmed = upgrades.iter().map(|upgrade| upgrade.harmed).max().unwrap_or_default();
        let mean_harmed = harmed as f64 / upgrades.len() as f64;
        self.add("jobs harmed an upgrade, max, mean", format!("{most_harmed}, {mean_harmed:.2}"));
        self.add("jobs refused, all", upgrades.iter().map(|upgrade| upgrade.rejected).sum::<usize>());
        let not_ready = upgrades.iter().map(|upgrade| upgrade.not_ready_answers).sum::<usize>();
        self.add("times no to /ready, all", not_ready);
        let ready = upgrades.iter().filter_map(|upgrade| upgrade.ready_s);
        self.add("newer ready after, max, mean", max_and_mean(ready.collect()));
        let ended = upgrades.iter().filter_map(|upgrade| upgrade.ended_s);
        self.add("one process again after, max, mean", max_and_mean(ended.collect()));
        self.add("upgrades with a kill that hit", upgrades.iter().filter(|upgrade| upgrade.killed).count());
    }
}

fn max_and_mean(seconds: Vec<f64>) -> String {
    let mean = seconds.iter().sum::<f64>() / seconds.len().max(1) as f64;
    let max = seconds.iter().copied().fold(0.0, f64::max);
    format!("{max:.2} s, {mean:.2} s, of {}", seconds.len())
}

#[cfg(test)]
#[path = "../tests/unit/stress_run.rs"]
mod tests;
