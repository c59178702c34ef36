//! Start, supervision, reconfiguration and shutdown of the process.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`startup`] | builds the parts of the node in order, connects them, and spawns their tasks |
//! | [`descriptor_budget`] | divides the file descriptors among the parts |
//! | [`supervision`] | runs until the shutdown is complete, or returns an error when a task ends unexpectedly |
//! | [`signals`] | installs the handlers of SIGTERM and SIGHUP |
//! | [`reload`] | reads the configuration again on SIGHUP |
//! | [`shutdown`] | answers the open jobs after SIGTERM, and closes all connections |
//! | [`error`] | errors that prevent the node from starting or make it stop |
//!
//! All parts run on one thread, except the admin address and the writer of the log, which have one thread
//! each.

mod descriptor_budget;
pub mod error;
mod reload;
mod shutdown;
mod signals;
mod startup;
mod supervision;

use tokio::task::LocalSet;

use crate::config::{Config, ConfigSources};
use crate::runtime::error::ServeError;
use crate::runtime::signals::Signals;
use crate::telemetry::logging::Logging;

/// Serves until SIGTERM, or until a part fails that the node requires.
pub fn run(sources: &ConfigSources) -> Result<(), ServeError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ServeError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(sources))
}

async fn serve(sources: &ConfigSources) -> Result<(), ServeError> {
    let mut signals = Signals::install()?;
    let config = Config::read(sources)?;
    // The logger is dropped after the node, so that lines that its parts log while they are dropped are still
    // written.
    let logging = Logging::start(&config.operator.log)?;
    match startup::start_node(config, &logging, &mut signals.terminate).await? {
        Some(node) => node.run_until_shutdown(sources, &logging, signals).await,
        None => Ok(()),
    }
}
