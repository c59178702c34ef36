//! What all connections and handlers of the server share.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use curlewusher_settings::Site;
use curlewusher_settings::operator::ServerOptions;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use super::connection::Connection;
use super::listener_mode::ListenerMode;
use super::request::JobCatalog;
use super::response::{self, HttpResponse};
use crate::connection_budget::ConnectionBudget;
use crate::dispatch::{Clock, DispatchQueue};
use crate::handover::Peer;
use crate::lifecycle::Lifecycle;
use crate::telemetry::metrics::Metrics;
use crate::upstream::RequestPayload;

/// The parts of the node that the server works with.
pub struct ServerParts<'a> {
    /// Queue of the dispatch task, which decides what becomes of each job.
    pub queue: DispatchQueue<RequestPayload>,
    /// Clock of the node, for deadlines.
    pub clock: Clock,
    /// The configuration, for the names of classes and tenants.
    pub site: &'a Site,
    /// Phase of the process.
    pub lifecycle: Lifecycle,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// The other process of this node, while there is one.
    pub peer: Peer,
    /// How many connections may be open.
    pub connection_budget: ConnectionBudget,
    /// The operator's settings, which may change while the node runs.
    pub options: Rc<Cell<ServerOptions>>,
}

/// State of the server, shared by its connections.
pub struct ServerState {
    /// Queue of the dispatch task.
    pub queue: DispatchQueue<RequestPayload>,
    /// Clock of the node.
    pub clock: Clock,
    /// Classes and tenants that requests can name.
    pub catalog: JobCatalog,
    /// Phase of the process.
    pub lifecycle: Lifecycle,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// The operator's settings.
    pub options: Rc<Cell<ServerOptions>>,
    /// How many connections may be open.
    pub connection_budget: ConnectionBudget,
    /// The other process of this node, while there is one.
    pub peer: Peer,
    /// Accepted connections; those that have ended are removed by [`ServerState::live_connections`].
    pub connections: RefCell<Vec<Weak<Connection>>>,
    /// How many connections were accepted.
    accepted_connections: Cell<u64>,
    /// Jobs whose body was read to its end and that are not answered.
    pub open_jobs: Cell<usize>,
    /// Notified whenever `open_jobs` has decreased.
    pub job_closed: Notify,
    /// Set once the shutdown has seen that no job is open; no job is taken from then on.
    pub intake_closed: Rc<Cell<bool>>,
    /// Whether this process accepts new connections.
    pub listener_mode: watch::Sender<ListenerMode>,
    /// Whether open jobs are to migrate to the other process of this node.
    pub migrating: watch::Sender<bool>,
}

impl ServerState {
    /// State of a server without connections, which accepts none yet.
    pub fn new(parts: ServerParts) -> ServerState {
        ServerState {
            queue: parts.queue,
            clock: parts.clock,
            catalog: JobCatalog::new(parts.site),
            lifecycle: parts.lifecycle,
            metrics: parts.metrics,
            options: parts.options,
            connection_budget: parts.connection_budget,
            peer: parts.peer,
            connections: RefCell::default(),
            accepted_connections: Cell::new(0),
            open_jobs: Cell::new(0),
            job_closed: Notify::new(),
            intake_closed: Rc::default(),
            listener_mode: watch::Sender::new(ListenerMode::Paused),
            migrating: watch::Sender::new(false),
        }
    }

    /// Most jobs that may be open: three quarters of the connection budget. The other connections of the
    /// budget are left for callbacks and for requests that must be answered with a rejection.
    pub fn max_open_jobs(&self) -> usize {
        self.connection_budget.target() * 3 / 4
    }

    /// The number of a connection that was just accepted: how many were accepted before it.
    pub fn number_connection(&self) -> u64 {
        let number = self.accepted_connections.get();
        self.accepted_connections.set(number + 1);
        number
    }

    /// The response to a job that is rejected before the dispatch task knows it.
    pub fn reject_job(&self) -> HttpResponse {
        response::rejected(self.options.get().overload_retry_after.duration())
    }

    /// The connections that have not ended.
    pub fn live_connections(&self) -> Vec<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    /// Returns once open jobs are to migrate, after a pause.
    pub async fn migration_requested(&self, pause: Duration) {
        sleep(pause).await;
        // It fails only without a sender, which this state owns.
        let _ = self.migrating.subscribe().wait_for(|migrating| *migrating).await;
    }
}
