//! Stress runs: an operator action that is repeated many times on one node under load, and the table of the
//! results.

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
use crate::event_log::ExpectedResponse;
use crate::fleet::worker_name;
use crate::operator_actions::send_command;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::shared_classes::{ClassTimeouts, scenario_with_shared_classes};
use crate::upgrade::{UpgradePlan, upgrade_node};

/// Action that a stress run repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum StressKind {
    /// A newer process takes over
    Upgrades,
    /// The same, and the older or the newer process is killed at a drawn moment
    Kills,
    /// Every admin command, also wrong ones, beside clients that complete none
    Calls,
}

/// Parameters of a stress run.
#[derive(Clone, Copy, Debug)]
pub struct StressRun {
    /// Action that is repeated.
    pub kind: StressKind,
    /// Number of rounds, one after another.
    pub rounds: usize,
    /// Maximum delay between the first time a successor reports that it is ready and SIGTERM for its
    /// predecessor, in seconds.
    pub max_delay_s: f64,
}

/// Length of a run without any rounds, in seconds.
const BASE_LENGTH_S: f64 = 20.0;
/// Maximum duration of a round, in seconds: the maximum delay of an upgrade and the waits before and after
/// it.
const MAX_ROUND_DURATION_S: f64 = 18.0;
/// Duration of the load before the first round.
const LOAD_BEFORE_ROUNDS: Duration = Duration::from_secs(1);
/// Duration of the load after the last round, so that a worker that was enabled can be observed in use.
const LOAD_AFTER_ROUNDS: Duration = Duration::from_millis(5500);
/// Minimum pause after an admin command, in seconds.
const MIN_PAUSE_S: f64 = 0.05;
/// Maximum random addition to the pause after an admin command, in seconds.
const MAX_ADDITIONAL_PAUSE_S: f64 = 0.6;
/// Number of clients that leave an admin command unfinished at the same time.
const STALLED_CLIENTS: usize = 3;
/// Duration for which a client with an unfinished admin command keeps its connection.
const STALL_DURATION: Duration = Duration::from_secs(4);
/// Number of bytes of a command that each stalled client sends in addition to the bytes of the client before
/// it. The first client sends none.
const STALL_STEP_BYTES: usize = 5;
/// Clients' timeouts in a stress run.
const TIMEOUTS: ClassTimeouts =
    ClassTimeouts { scan_view_s: 3.0, sample_register_s: 3.0, release_order_s: 10.0 };

/// Small scenario without classes, with a load far below the capacity of the workers.
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
    /// Returns the scenario of the stress run, long enough for all rounds.
    pub fn scenario(self, seed: u64) -> Scenario {
        let mut scenario = scenario_with_shared_classes(SCENARIO, TIMEOUTS);
        scenario.title = format!("drill {:?}", self.kind).to_lowercase();
        scenario.seed = seed;
        scenario.length_s = BASE_LENGTH_S + self.rounds as f64 * MAX_ROUND_DURATION_S;
        scenario
    }

    /// Executes all rounds on the first node, and counts the completed rounds in `rounds_done`.
    pub async fn execute(self, environment: &Environment, load_start: Timestamp, rounds_done: &AtomicUsize) {
        sleep_until(environment.log.instant(load_start) + LOAD_BEFORE_ROUNDS).await;
        for round in 0..self.rounds {
            match self.kind {
                StressKind::Upgrades => self.upgrade(environment, FaultKind::Upgrade, round).await,
                StressKind::Kills => self.upgrade(environment, FaultKind::KillInUpgrade, round).await,
                StressKind::Calls => send_admin_commands(environment, round).await,
            }
            rounds_done.fetch_add(1, Ordering::Relaxed);
        }
        sleep(LOAD_AFTER_ROUNDS).await;
    }

    async fn upgrade(self, environment: &Environment, kind: FaultKind, round: usize) {
        let fault = Fault { delay_s: Some(self.max_delay_s), ..Fault::of_kind(kind) };
        let plan = UpgradePlan::sample(&environment.scenario, &fault, &random_stream_name(round));
        upgrade_node(environment, 0, plan).await;
    }
}

/// Returns the name of the random stream of a round.
fn random_stream_name(round: usize) -> String {
    format!("drill-{round}")
}

/// Executes one round of admin commands: checks the readiness, disables a worker twice and enables it, and
/// sends commands with an unknown worker and an unknown command. In one of every [`STALLED_CLIENTS`] rounds,
/// as many clients connect and leave a command unfinished.
async fn send_admin_commands(environment: &Environment, round: usize) {
    let mut random = random_stream(environment.scenario.seed, &random_stream_name(round));
    let Some(admin_address) = environment.slot(0).await.admin_address else { return };
    if round.is_multiple_of(STALLED_CLIENTS) {
        for client in 0..STALLED_CLIENTS {
            tokio::spawn(hold_unfinished_command(admin_address, client));
        }
    }
    let worker = worker_name(round % environment.scenario.worker_count());
    for (command, expected) in [
        ("READY".to_owned(), ExpectedResponse::Yes),
        (format!("DISABLE {worker}"), ExpectedResponse::Yes),
        (format!("DISABLE w-never-{round}"), ExpectedResponse::No),
        (format!("DISABLE {worker}"), ExpectedResponse::Yes),
        (format!("ENABLE w-never-{round}"), ExpectedResponse::No),
        ("RESTART".to_owned(), ExpectedResponse::No),
        (format!("ENABLE {worker}"), ExpectedResponse::Yes),
    ] {
        // The rule checker checks the response, which is in the event log.
        let _ = send_command(environment, 0, &command, expected).await;
        let pause_s = MIN_PAUSE_S + random.random::<f64>() * MAX_ADDITIONAL_PAUSE_S;
        sleep(Duration::from_secs_f64(pause_s)).await;
    }
}

/// Connects as a client that sends nothing or a part of a command, and keeps the connection for
/// [`STALL_DURATION`].
async fn hold_unfinished_command(admin_address: SocketAddr, client: usize) {
    let Ok(mut stream) = TcpStream::connect(admin_address).await else { return };
    // The node may close the connection at any time.
    let _ = stream.write_all(&b"DISABLE w-0"[..client * STALL_STEP_BYTES]).await;
    sleep(STALL_DURATION).await;
}

#[cfg(test)]
#[path = "../../tests/unit/stress_run.rs"]
mod tests;
