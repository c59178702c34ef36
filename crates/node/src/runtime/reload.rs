//! Reload of the configuration on SIGHUP. A reload applies the values that may change while the node runs:
//! the address of discovery, the options of the log, and the operator's options of the server and of
//! upstream. A configuration that cannot be read or used is rejected and changes nothing.

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

/// Reloader of the configuration. It holds the places from which the parts of a running node read the values
/// that a reload can change.
pub struct ConfigReloader {
    /// Name of the node.
    pub name: String,
    /// Counters, among them those of reloads and of failed reloads.
    pub metrics: Metrics,
    /// Options that the server reads.
    pub server_options: Rc<Cell<ServerOptions>>,
    /// Options that the connections to workers read.
    pub upstream_options: Rc<Cell<UpstreamOptions>>,
    /// Address of discovery. The endpoint watcher is notified of each change.
    pub discovery: watch::Sender<SocketAddr>,
}

impl ConfigReloader {
    /// Reloads the configuration on each SIGHUP. Returns only if no more signals can be delivered.
    pub async fn run(&self, sources: &ConfigSources, logging: &Logging, mut hang_up: Signal) {
        while hang_up.recv().await.is_some() {
            match Config::read_again(sources) {
                Ok(config) => self.apply(&config, logging),
                Err(error) => self.reject(&error),
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
