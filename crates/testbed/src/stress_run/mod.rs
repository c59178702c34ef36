//! Stress runs: one action of operators, repeated many times on one node under load, and the table of its results.

mod table;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use curlewusher_model::Timestamp;
use curlewusher_model::workload::random_stream;
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until};

pub use table::StressResults;

use crate::environment::Environment;
use crate::event_log::ExpectedAnswer;
use crate::fleet::worker_name;
use crate::operator_actions::send_command;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::shared_classes::{ClassTimeouts, scenario_with_shared_classes};
use crate::upgrade::{UpgradePlan, upgrade_node};

/// What is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum StressKind {
    /// A newer process takes over
    Upgrades,
    /// The same, and the older or the newer process is killed at a drawn moment
    Kills,
    /// Every admin command, also wrong ones, beside clients that complete none
    Calls,
}

/// A stress run.
#[derive(Clone, Copy, Debug)]
pub struct StressRun {
    /// What is repeated.
    pub kind: StressKind,
    /// How often, one after another.
    pub rounds: usize,
    /// The longest wait between a successor's first yes and SIGTERM for its predecessor, in seconds.
    pub max_delay_s: f64,
}

/// Length of a run without rounds, in seconds.
const BASE_LENGTH_S: f64 = 20.0;
/// Upper bound of an upgrade's duration in seconds: its longest delay and the waits around it.
const MAX_ROUND_S: f64 = 18.0;
/// Load before the first round.
const LEAD_TIME: Duration = Duration::from_secs(1);
/// Load after the last round, in which a worker that was enabled can be seen in use.
const TRAIL_TIME: Duration = Duration::from_millis(5500);
/// The shortest pause after an admin command, in seconds.
const MIN_PAUSE_S: f64 = 0.05;
/// The longest addition to it, in seconds; a part is drawn.
const MAX_PAUSE_ADDITION_S: f64 = 0.6;
/// Number of clients at once that leave an admin command unfinished.
const STALLED_CLIENTS: usize = 3;
/// How long each of them keeps its connection.
const STALL_TIME: Duration = Duration::from_secs(4);
/// Bytes of a command that each stalled client sends beyond those of the one before; the first sends none.
const STALL_STEP_BYTES: usize = 5;
/// The clients' timeouts.
const TIMEOUTS: ClassTimeouts =
    ClassTimeouts { scan_view_s: 3.0, sample_register_s: 3.0, release_order_s: 10.0 };

/// A small scenario without classes, at a load that the workers carry with ease.
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
"#;

impl StressRun {
    /// The scenario that it runs in, long enough for all rounds.
    pub fn scenario(self, seed: u64) -> Scenario {
        let mut scenario = scenario_with_shared_classes(SCENARIO, TIMEOUTS);
        scenario.title = format!("drill {:?}", self.kind).to_lowercase();
        scenario.seed = seed;
        scenario.length_s = BASE_LENGTH_S + self.rounds as f64 * MAX_ROUND_S;
        scenario
    }

    /// Carries out all rounds on the first node, and counts those that are done.
    pub async fn carry_out(
        self,
        environment: &Environment,
        load_start: Timestamp,
        rounds_done: &AtomicUsize,
    ) {
        sleep_until(environment.log.instant(load_start) + LEAD_TIME).await;
        for round in 0..self.rounds {
            match self.kind {
                StressKind::Upgrades => self.upgrade(environment, FaultKind::Upgrade, round).await,
                StressKind::Kills => self.upgrade(environment, FaultKind::KillInUpgrade, round).await,
                StressKind::Calls => send_admin_commands(environment, round).await,
            }
            rounds_done.fetch_add(1, Ordering::Relaxed);
        }
        sleep(TRAIL_TIME).await;
    }

    async fn upgrade(self, environment: &Environment, kind: FaultKind, round: usize) {
        let fault = Fault { delay_s: Some(self.max_delay_s), ..Fault::of_kind(kind) };
        let plan = UpgradePlan::sample(&environment.scenario, &fault, &concern_of(round));
        upgrade_node(environment, 0, plan).await;
    }
}

/// Name of the random stream of a round.
fn concern_of(round: usize) -> String {
    format!("drill-{round}")
}

/// One round of admin commands: a worker is disabled, disabled again and enabled, another is unknown, a command is
/// unknown; and some clients connect and finish nothing.
async fn send_admin_commands(environment: &Environment, round: usize) {
    let mut random = random_stream(environment.scenario.seed, &concern_of(round));
    let Some(admin_address) = environment.slot(0).await.admin_address else { return };
    if round.is_multiple_of(STALLED_CLIENTS) {
        for client in 0..STALLED_CLIENTS {
            tokio::spawn(stall(admin_address, client));
        }
    }
    let worker = worker_name(round % environment.scenario.worker_count());
    for (command, expected) in [
        ("READY".to_owned(), ExpectedAnswer::Yes),
        (format!("DISABLE {worker}"), ExpectedAnswer::Yes),
        (format!("DISABLE w-never-{round}"), ExpectedAnswer::No),
        (format!("DISABLE {worker}"), ExpectedAnswer::Yes),
        (format!("ENABLE w-never-{round}"), ExpectedAnswer::No),
        ("RESTART".to_owned(), ExpectedAnswer::No),
        (format!("ENABLE {worker}"), ExpectedAnswer::Yes),
    ] {
        // The rule checker judges the answer by the event log.
        let _ = send_command(environment, 0, &command, expected).await;
        let pause_s = MIN_PAUSE_S + random.random::<f64>() * MAX_PAUSE_ADDITION_S;
        sleep(Duration::from_secs_f64(pause_s)).await;
    }
}

/// A client that sends nothing, or part of a command.
async fn stall(admin_address: SocketAddr, client: usize) {
    let Ok(mut stream) = TcpStream::connect(admin_address).await else { return };
    // A node may close the connection at any moment.
    let _ = stream.write_all(&b"DISABLE w-0"[..client * STALL_STEP_BYTES]).await;
    sleep(STALL_TIME).await;
}

#[cfg(test)]
#[path = "../../tests/unit/stress_run.rs"]
mod tests;
