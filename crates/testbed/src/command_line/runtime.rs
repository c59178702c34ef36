//! Asynchronous runtimes of the commands.

use tokio::runtime::{Builder, Runtime};

use super::error::CommandError;

/// Number of threads of a command that simulates a fleet. One is sufficient except for large fleets.
const FLEET_THREADS: usize = 2;
/// Number of threads of a scripted node.
const SCRIPTED_NODE_THREADS: usize = 1;

/// Creates the runtime of a command that simulates a fleet.
pub fn fleet_runtime() -> Result<Runtime, CommandError> {
    runtime(FLEET_THREADS)
}

/// Creates the runtime of a scripted node.
pub fn scripted_node_runtime() -> Result<Runtime, CommandError> {
    runtime(SCRIPTED_NODE_THREADS)
}

fn runtime(threads: usize) -> Result<Runtime, CommandError> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all().build().map_err(CommandError::Runtime)
}
