//! Runs a node that has been started, until its shutdown is complete. A node that has lost one of its tasks would
//! keep its address and answer nothing, so the end of any of them ends the program with an error.

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::admin::connection::PendingCommand;
use crate::admin::service::AdminService;
use crate::config::ConfigSources;
use crate::runtime::error::{ServeError, SupervisedTask};
use crate::runtime::reload::ConfigReloader;
use crate::runtime::shutdown::GracefulShutdown;
use crate::runtime::signals::Signals;
use crate::telemetry::logging::Logging;
use crate::telemetry::metrics::Metrics;

/// The spawned tasks whose end ends the program.
pub struct TaskHandles {
    /// See [`SupervisedTask::Dispatch`].
    pub dispatch: JoinHandle<()>,
    /// See [`SupervisedTask::Takeover`].
    pub takeover: JoinHandle<()>,
    /// See [`SupervisedTask::EndpointWatcher`].
    pub endpoint_watcher: JoinHandle<()>,
    /// See [`SupervisedTask::IdleConnectionSweep`].
    pub idle_connection_sweep: JoinHandle<()>,
}

/// A node whose tasks run.
pub struct RunningNode {
    /// Its counters.
    pub metrics: Metrics,
    /// Its tasks.
    pub tasks: TaskHandles,
    /// What SIGHUP starts.
    pub reloader: ConfigReloader,
    /// What SIGTERM starts.
    pub shutdown: GracefulShutdown,
    /// Carries out operators' commands.
    pub admin: AdminService,
    /// Commands from the admin address, where there is one.
    pub admin_commands: Option<mpsc::Receiver<PendingCommand>>,
}

impl RunningNode {
    /// Runs until SIGTERM has been handled, and writes the last counters. The error names a task that ended before.
    pub async fn run_until_shutdown(
        self,
        sources: &ConfigSources,
        logging: &Logging,
        signals: Signals,
    ) -> Result<(), ServeError> {
        let RunningNode { metrics, tasks, reloader, shutdown, admin, admin_commands } = self;
        let ended_task = tokio::select! {
            () = shutdown.run(signals.terminate) => None,
            () = admin.serve(admin_commands) => Some(SupervisedTask::Admin),
            () = reloader.run(sources, logging, signals.hang_up) => Some(SupervisedTask::Reload),
            _ = tasks.dispatch => Some(SupervisedTask::Dispatch),
            _ = tasks.takeover => Some(SupervisedTask::Takeover),
            _ = tasks.endpoint_watcher => Some(SupervisedTask::EndpointWatcher),
            _ = tasks.idle_connection_sweep => Some(SupervisedTask::IdleConnectionSweep),
        };
        if let Some(task) = ended_task {
            return Err(ServeError::TaskEnded(task));
        }
        logging.write_final_metrics(&metrics.encode());
        Ok(())
    }
}
