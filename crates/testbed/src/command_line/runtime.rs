//! The asynchronous runtime of a command.

use tokio::runtime::{Builder, Runtime};

use super::error::CommandError;

/// Threads of a command that simulates a fleet. One suffices but at large size.
const FLEET_THREADS: usize = 2;
/// Threads of a scripted node.
const SCRIPTED_NODE_THREADS: usize = 1;

/// The runtime of a command that simulates a fleet.
pub fn fleet_runtime() -> Result<Runtime, CommandError> {
    runtime(FLEET_THREADS)
}

/// The runtime of a scripted node.
pub fn scripted_node_runtime() -> Result<Runtime, CommandError> {
    runtime(SCRIPTED_NODE_THREADS)
}

fn runtime(threads: usize) -> Result<Runtime, CommandError> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all().build().map_err(CommandError::Runtime)
}
