//! Reads the configuration again on SIGHUP, and applies what may change while the node runs: the address of
//! discovery, the log, and the operator's options of the server and of upstream. A configuration that cannot be
//! used changes nothing.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use curlewusher_settings::operator::{ServerOptions, UpstreamOptions};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::{error, info};

use crate::config::{Config, ConfigError, ConfigSources};
use crate::telemetry::logging::{Logging, NODE};
use crate::telemetry::metrics::{Counter, Metrics};

/// Where the parts of a running node read the values that a reload can change.
pub struct ConfigReloader {
    /// Name of the node.
    pub name: String,
    /// Counts reloads and those that failed.
    pub metrics: Metrics,
    /// Read by the server.
    pub server_options: Rc<Cell<ServerOptions>>,
    /// Read by the connections to workers.
    pub upstream_options: Rc<Cell<UpstreamOptions>>,
    /// Address of discovery; its watcher is notified of a change.
    pub discovery: watch::Sender<SocketAddr>,
}

impl ConfigReloader {
    /// Reloads on each SIGHUP. Returns only if no more signals can be delivered.
    pub async fn run(&self, sources: &ConfigSources, logging: &Logging, mut hang_up: Signal) {
        while hang_up.recv().await.is_some() {
            match Config::read_again(sources) {
                Ok(config) => self.apply(&config, logging),
                Err(problem) => self.reject(&problem),
            }
        }
    }

    fn apply(&self, config: &Config, logging: &Logging) {
        self.metrics.add(Counter::Reloads);
        logging.apply(&config.operator.log);
        self.server_options.set(config.operator.server);
        self.upstream_options.set(config.operator.upstream);
        info!(target: NODE, discovery = %config.discovery, "configuration reloaded");
        self.discovery.send_if_modified(|current| {
            let previous = std::mem::replace(current, config.discovery);
            previous != config.discovery
        });
    }

    fn reject(&self, error: &ConfigError) {
        self.metrics.add(Counter::ReloadFailures);
        error!(target: NODE, node = %self.name, %error, "configuration reload failed");
    }
}
