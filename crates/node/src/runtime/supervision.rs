//! Supervision of a started node until its shutdown is complete. A node that has lost one of its tasks would
//! keep its address but answer nothing. For this reason the process exits with an error when any of these
//! tasks ends.

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

/// Handles of the spawned tasks. The process exits when one of these tasks ends.
pub struct TaskHandles {
    /// Task of [`SupervisedTask::Dispatch`].
    pub dispatch: JoinHandle<()>,
    /// Task of [`SupervisedTask::Takeover`].
    pub takeover: JoinHandle<()>,
    /// Task of [`SupervisedTask::EndpointWatcher`].
    pub endpoint_watcher: JoinHandle<()>,
    /// Task of [`SupervisedTask::IdleConnectionSweep`].
    pub idle_connection_sweep: JoinHandle<()>,
}

/// Node whose tasks are running.
pub struct RunningNode {
    /// Counters of the node.
    pub metrics: Metrics,
    /// Tasks of the node.
    pub tasks: TaskHandles,
    /// Reloader of the configuration, which SIGHUP triggers.
    pub reloader: ConfigReloader,
    /// Graceful shutdown, which SIGTERM starts.
    pub shutdown: GracefulShutdown,
    /// Service that executes operators' commands.
    pub admin: AdminService,
    /// Receiver of the commands from the admin address, if there is one.
    pub admin_commands: Option<mpsc::Receiver<PendingCommand>>,
}

impl RunningNode {
    /// Runs until the shutdown after SIGTERM is complete, and writes the final counters. Returns an error
    /// with the name of the task if a task ends before that.
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
