//! The bounds of the connections to workers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use curlewusher_settings::operator::UpstreamOptions;

use crate::connection_budget::ConnectionBudget;

/// The bounds of the connections to workers.
pub struct UpstreamConfig {
    /// How long a connection may take to be established.
    pub connect_timeout: Duration,
    /// After this time without a request workers close a connection.
    pub keepalive: Duration,
    /// The operator's options, which may change.
    pub options: Rc<Cell<UpstreamOptions>>,
    /// How many connections there may be.
    pub budget: ConnectionBudget,
}
