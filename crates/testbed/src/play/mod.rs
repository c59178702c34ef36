//! Run of a scenario: the order in which the processes start and stop, the load, and the background tasks.
//!
//! The rules are checked elsewhere, on the records of the finished run.

mod progress;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use curlewusher_model::{TimeSpan, Timestamp};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

pub use progress::ProgressDisplay;
use progress::{Progress, Unit};

use crate::environment::{Environment, EnvironmentSpec, StartError, StopMode};
use crate::event_log::Record;
use crate::faults::inject_fault;
use crate::fleet::FleetError;
use crate::load::Clients;
use crate::nodes::Program;
use crate::process_cost::Sample;
use crate::sampling::sample_nodes;
use crate::scenario::Scenario;
use crate::stress_run::StressRun;

/// Time from the readiness of all nodes to the start of the load.
const LOAD_START_DELAY: TimeSpan = TimeSpan::from_millis(200);
/// Interval at which the progress bar is redrawn.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Observations of a finished run.
pub struct FinishedRun {
    /// Records of the event log.
    pub records: Vec<Record>,
    /// Samples of the nodes' resource use, in the order of time.
    pub samples: Vec<Sample>,
    /// Start of the load.
    pub begin: Timestamp,
    /// End of the load.
    pub end: Timestamp,
    /// Unexpected failures of nodes' processes, with their last log lines.
    pub crashes: Vec<String>,
    /// Whether the run was interrupted before its end.
    pub interrupted: bool,
}

/// Reason for which a run could not begin.
#[derive(Debug, Error)]
pub enum RunStartError {
    /// The fleet could not be started.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A node could not be started.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The program was interrupted while the nodes started.
    #[error("interrupted before the load began; there is nothing to report")]
    Interrupted,
}

/// Runs a scenario to its end, or until the testbed is interrupted. An interrupt kills all nodes, and the
/// observations up to that time are returned. With a stress run, the load ends once the stress run has
/// completed.
///
/// # Errors
///
/// Fails if the fleet or a node does not start, or if the testbed is interrupted before the load begins.
pub async fn run_scenario(
    scenario: Scenario,
    program: Program,
    stress: Option<StressRun>,
    display: ProgressDisplay,
) -> Result<FinishedRun, RunStartError> {
    let jobs = Arc::new(scenario.workload().sample_jobs());
    let needs_admin_addresses = stress.is_some();
    let spec =
        EnvironmentSpec { scenario: Arc::new(scenario), program, jobs: jobs.clone(), needs_admin_addresses };
    let environment = Arc::new(Environment::create(spec).await?);
    tokio::select! {
        started = environment.start_all_nodes() => started?,
        // The dropped handles kill the processes that have started.
        _ = tokio::signal::ctrl_c() => return Err(RunStartError::Interrupted),
    }
    let begin = environment.log.now() + LOAD_START_DELAY;
    let progress = match stress {
        Some(run) => Progress::new(display, run.rounds, Unit::Rounds),
        None => Progress::new(display, jobs.len(), Unit::Jobs),
    };
    let clients = Arc::new(Clients::new(&environment, jobs));
    let run = Run { environment, clients, stress, begin, rounds_done: Arc::default() };
    Ok(run.run_to_end(&progress).await)
}

/// Run whose nodes are ready.
struct Run {
    environment: Arc<Environment>,
    clients: Arc<Clients>,
    stress: Option<StressRun>,
    /// Start of the load.
    begin: Timestamp,
    /// Number of finished rounds of the stress run.
    rounds_done: Arc<AtomicUsize>,
}

/// Tasks that run in the background of the load. Upgrades are awaited at the end of the run. Some of the
/// other tasks never finish.
#[derive(Default)]
struct BackgroundTasks {
    upgrades: JoinSet<()>,
    others: JoinSet<()>,
}

impl Run {
    /// Runs the load and the background tasks, stops the nodes, and returns the observations.
    async fn run_to_end(&self, progress: &Progress) -> FinishedRun {
        let mut tasks = BackgroundTasks::default();
        self.spawn_faults(&mut tasks);
        self.spawn_readiness_checks(&mut tasks);
        let samples = Arc::new(Mutex::new(Vec::new()));
        let sampling = tokio::spawn(sample_nodes(self.environment.clone(), samples.clone()));
        self.spawn_stress_run(&mut tasks);
        let mut load = tokio::spawn(self.clients.clone().run(self.begin));
        let interrupted = self.wait_for_load(&mut load, progress).await;
        load.abort();
        let end = self.environment.log.now();
        tasks.finish(interrupted).await;
        let mode = if interrupted { StopMode::Kill } else { StopMode::Terminate };
        self.environment.stop_all_nodes(mode).await;
        sampling.abort();
        let crashes = self.environment.take_crashes().iter().map(ToString::to_string).collect();
        let samples = std::mem::take(&mut *samples.lock());
        let records = self.environment.log.take();
        FinishedRun { records, samples, begin: self.begin, end, crashes, interrupted }
    }

    /// Spawns one task for each fault of the scenario.
    fn spawn_faults(&self, tasks: &mut BackgroundTasks) {
        for (index, fault) in self.environment.scenario.faults.iter().cloned().enumerate() {
            let group = if fault.kind.is_upgrade() { &mut tasks.upgrades } else { &mut tasks.others };
            let (environment, begin) = (self.environment.clone(), self.begin);
            group.spawn(async move { inject_fault(&environment, index, &fault, begin).await });
        }
    }

    /// Spawns one task for each node that checks the node's readiness.
    fn spawn_readiness_checks(&self, tasks: &mut BackgroundTasks) {
        for node in 0..self.environment.node_count() {
            tasks.others.spawn(self.environment.router.clone().watch_readiness(node));
        }
    }

    /// Spawns the stress run, if there is one. The clients stop after it.
    fn spawn_stress_run(&self, tasks: &mut BackgroundTasks) {
        let Some(stress) = self.stress else { return };
        let (environment, begin) = (self.environment.clone(), self.begin);
        let (clients, rounds_done) = (self.clients.clone(), self.rounds_done.clone());
        tasks.others.spawn(async move {
            stress.execute(&environment, begin, &rounds_done).await;
            clients.stop();
        });
    }

    /// Shows the progress until the load ends. Returns whether the testbed was interrupted.
    async fn wait_for_load(&self, load: &mut JoinHandle<()>, progress: &Progress) -> bool {
        let interrupted = loop {
            progress.show(self.finished_units());
            tokio::select! {
                _ = &mut *load => break false,
                _ = tokio::signal::ctrl_c() => break true,
                () = sleep(PROGRESS_INTERVAL) => {}
            }
        };
        progress.clear();
        interrupted
    }

    /// Returns the number of finished rounds of the stress run, or of finished jobs if there is no stress
    /// run.
    fn finished_units(&self) -> usize {
        match self.stress {
            Some(_) => self.rounds_done.load(Ordering::Relaxed),
            None => self.clients.finished_jobs(),
        }
    }
}

impl BackgroundTasks {
    /// Awaits the upgrades unless the run was interrupted, and aborts all remaining tasks.
    async fn finish(mut self, interrupted: bool) {
        while !interrupted && self.upgrades.join_next().await.is_some() {}
        self.upgrades.shutdown().await;
        self.others.shutdown().await;
    }
}
