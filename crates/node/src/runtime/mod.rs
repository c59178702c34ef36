//! The lifecycle of the process: it is started, supervised, reconfigured and shut down here.
//!
//! | module | job |
//! | --- | --- |
//! | [`startup`] | builds the parts of the node in order, connects them, and spawns their tasks |
//! | [`descriptor_budget`] | divides the file descriptors among them |
//! | [`supervision`] | runs until the shutdown is complete, or ends the program when a task that must not end does |
//! | [`signals`] | installs the handlers of SIGTERM and SIGHUP |
//! | [`reload`] | reads the configuration again on SIGHUP |
//! | [`shutdown`] | answers what is open after SIGTERM, and ends |
//! | [`error`] | why the node could not start or had to stop |
//!
//! Everything runs on one thread, but for the admin address and the writer of the log, which have one each.

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

/// Serves until SIGTERM, or until something fails that the node cannot do without.
pub fn run(sources: &ConfigSources) -> Result<(), ServeError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ServeError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(sources))
}

async fn serve(sources: &ConfigSources) -> Result<(), ServeError> {
    let mut signals = Signals::install()?;
    let config = Config::read(sources)?;
    // Dropped after the node: what its parts log while they are dropped is still written.
    let logging = Logging::start(&config.operator.log)?;
    match startup::start_node(config, &logging, &mut signals.terminate).await? {
        Some(node) => node.run_until_shutdown(sources, &logging, signals).await,
        None => Ok(()),
    }
}
