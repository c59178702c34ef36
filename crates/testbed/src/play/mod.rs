//! A run from its first process to its last: the order of start and end, the load, and the tasks beside it.
//!
//! What was observed is checked elsewhere.

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
const LOAD_LEAD_TIME: TimeSpan = TimeSpan::from_millis(200);
/// Interval at which the progress bar is redrawn.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// What is left of a run.
pub struct FinishedRun {
    /// The event log.
    pub records: Vec<Record>,
    /// Costs of the nodes, in the order of time.
    pub samples: Vec<Sample>,
    /// Start of the load.
    pub begin: Timestamp,
    /// End of the load.
    pub end: Timestamp,
    /// Failures of nodes' processes that the scenario does not demand, with their last log lines.
    pub crashes: Vec<String>,
    /// Whether it was stopped before its time.
    pub interrupted: bool,
}

/// Why a run could not begin.
#[derive(Debug, Error)]
pub enum PlayError {
    /// The fleet cannot be simulated.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A node did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The program was interrupted while the nodes started.
    #[error("interrupted before the load began; nothing was seen")]
    Interrupted,
}

/// Plays a scenario to its end, or until the process is interrupted: then all children end and what was observed remains.
/// With a stress run, the load ends once that is over.
///
/// # Errors
///
/// The fleet or a node did not start, or the process was interrupted before the load began.
pub async fn play(
    scenario: Scenario,
    program: Program,
    stress: Option<StressRun>,
    display: ProgressDisplay,
) -> Result<FinishedRun, PlayError> {
    let jobs = Arc::new(scenario.workload().sample_jobs());
    let needs_admin_addresses = stress.is_some();
    let spec =
        EnvironmentSpec { scenario: Arc::new(scenario), program, jobs: jobs.clone(), needs_admin_addresses };
    let environment = Arc::new(Environment::create(spec).await?);
    tokio::select! {
        started = environment.start_all_nodes() => started?,
        // The processes that have started end when their handles are dropped.
        _ = tokio::signal::ctrl_c() => return Err(PlayError::Interrupted),
    }
    let begin = environment.log.now() + LOAD_LEAD_TIME;
    let progress = match stress {
        Some(run) => Progress::new(display, run.rounds, Unit::Rounds),
        None => Progress::new(display, jobs.len(), Unit::Jobs),
    };
    let clients = Arc::new(Clients::new(&environment, jobs));
    let run = Run { environment, clients, stress, begin, rounds_done: Arc::default() };
    Ok(run.play(&progress).await)
}

/// A run whose nodes are ready.
struct Run {
    environment: Arc<Environment>,
    clients: Arc<Clients>,
    stress: Option<StressRun>,
    begin: Timestamp,
    rounds_done: Arc<AtomicUsize>,
}

/// The tasks beside the load. Upgrades are awaited at the end; of the others, some never end.
#[derive(Default)]
struct BackgroundTasks {
    upgrades: JoinSet<()>,
    others: JoinSet<()>,
}

impl Run {
    async fn play(&self, progress: &Progress) -> FinishedRun {
        let mut tasks = BackgroundTasks::default();
        self.spawn_faults(&mut tasks);
        self.spawn_readiness_checks(&mut tasks);
        let samples = Arc::new(Mutex::new(Vec::new()));
        let sampling = tokio::spawn(sample_nodes(self.environment.clone(), samples.clone()));
        self.spawn_stress(&mut tasks);
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

    fn spawn_faults(&self, tasks: &mut BackgroundTasks) {
        for (index, fault) in self.environment.scenario.faults.iter().cloned().enumerate() {
            let group = if fault.kind.is_upgrade() { &mut tasks.upgrades } else { &mut tasks.others };
            let (environment, begin) = (self.environment.clone(), self.begin);
            group.spawn(async move { inject_fault(&environment, index, &fault, begin).await });
        }
    }

    fn spawn_readiness_checks(&self, tasks: &mut BackgroundTasks) {
        for node in 0..self.environment.node_count() {
            tasks.others.spawn(self.environment.router.clone().watch_readiness(node));
        }
    }

    /// Starts the stress run, if any; the clients stop after it.
    fn spawn_stress(&self, tasks: &mut BackgroundTasks) {
        let Some(stress) = self.stress else { return };
        let (environment, begin) = (self.environment.clone(), self.begin);
        let (clients, rounds_done) = (self.clients.clone(), self.rounds_done.clone());
        tasks.others.spawn(async move {
            stress.carry_out(&environment, begin, &rounds_done).await;
            clients.stop();
        });
    }

    /// Shows the progress until the load ends. Returns whether the process was interrupted.
    async fn wait_for_load(&self, load: &mut JoinHandle<()>, progress: &Progress) -> bool {
        let interrupted = loop {
            progress.show(self.completed());
            tokio::select! {
                _ = &mut *load => break false,
                _ = tokio::signal::ctrl_c() => break true,
                () = sleep(PROGRESS_INTERVAL) => {}
            }
        };
        progress.clear();
        interrupted
    }

    fn completed(&self) -> usize {
        match self.stress {
            Some(_) => self.rounds_done.load(Ordering::Relaxed),
            None => self.clients.completed_jobs(),
        }
    }
}

impl BackgroundTasks {
    /// Awaits the upgrades unless the run was interrupted, and aborts the other tasks.
    async fn finish(mut self, interrupted: bool) {
        while !interrupted && self.upgrades.join_next().await.is_some() {}
        self.upgrades.shutdown().await;
        self.others.shutdown().await;
    }
}
