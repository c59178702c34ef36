//! Limits of the connections to workers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_settings::operator::UpstreamOptions;

use crate::connection_budget::ConnectionBudget;

/// Limits of the connections to workers.
pub struct UpstreamConfig {
    /// Maximum time for establishing a connection.
    pub connect_timeout: Duration,
    /// Time without a request after which workers close a connection.
    pub keepalive: Duration,
    /// Options set by the operator, which may change while the process runs.
    pub options: Rc<Cell<UpstreamOptions>>,
    /// Budget that limits the number of connections.
    pub budget: ConnectionBudget,
}
