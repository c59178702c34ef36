//! State that is shared by all connections and handlers of the server.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use curlewusher_settings::Site;
use curlewusher_settings::operator::ServerOptions;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
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

/// Maximum number of jobs that migrate to the peer process at the same time. Neither process acts on such a
/// job, and each of them holds its body.
const MAX_CONCURRENT_MIGRATIONS: usize = 8;

/// Parts of the node that the server uses.
pub struct ServerParts<'a> {
    /// Queue of the dispatch task, which decides on the outcome of each job.
    pub queue: DispatchQueue<RequestPayload>,
    /// Clock of the node, for deadlines.
    pub clock: Clock,
    /// Configuration, for the names of classes and tenants.
    pub site: &'a Site,
    /// Phase of the process.
    pub lifecycle: Lifecycle,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// The peer process of this node, while there is one.
    pub peer: Peer,
    /// Limit on the number of open connections.
    pub connection_budget: ConnectionBudget,
    /// Operator's settings, which may change while the node runs.
    pub options: Rc<Cell<ServerOptions>>,
}

/// State of the server, shared by its connections.
pub struct ServerState {
    /// Queue of the dispatch task.
    pub queue: DispatchQueue<RequestPayload>,
    /// Clock of the node.
    pub clock: Clock,
    /// Configured classes and tenants, against which requests are validated.
    pub catalog: JobCatalog,
    /// Phase of the process.
    pub lifecycle: Lifecycle,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// The operator's settings.
    pub options: Rc<Cell<ServerOptions>>,
    /// Limit on the number of open connections.
    pub connection_budget: ConnectionBudget,
    /// The peer process of this node, while there is one.
    pub peer: Peer,
    /// Accepted connections. [`ServerState::live_connections`] removes those that have closed.
    pub connections: RefCell<Vec<Weak<Connection>>>,
    /// Number of connections accepted so far.
    accepted_connections: Cell<u64>,
    /// Number of jobs whose body was read to its end and that are not answered.
    pub open_jobs: Cell<usize>,
    /// Notified whenever `open_jobs` has decreased.
    pub job_closed: Notify,
    /// Whether the shutdown has closed the intake, which it does once no job is open. No job is accepted from
    /// then on.
    pub intake_closed: Rc<Cell<bool>>,
    /// Mode of the listener, which determines whether this process accepts new connections.
    pub listener_mode: watch::Sender<ListenerMode>,
    /// Whether open jobs should migrate to the peer process of this node.
    pub migrating: watch::Sender<bool>,
    /// Free slots of migrations to the peer process.
    migration_slots: Arc<Semaphore>,
}

/// Slot of one migration to the peer process, which is free again once this value is dropped.
pub struct MigrationSlot {
    _permit: OwnedSemaphorePermit,
}

impl ServerState {
    /// Creates the state of a server without connections, which accepts no connections yet.
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
            migration_slots: Arc::new(Semaphore::new(MAX_CONCURRENT_MIGRATIONS)),
        }
    }

    /// Returns the maximum number of open jobs: three quarters of the connection budget. The remaining
    /// connections are left for callbacks and for requests that are answered with a rejection.
    pub fn max_open_jobs(&self) -> usize {
        self.connection_budget.target() * 3 / 4
    }

    /// Assigns and returns the number of a connection that was just accepted: the number of connections
    /// accepted before it.
    pub fn next_connection_number(&self) -> u64 {
        let number = self.accepted_connections.get();
        self.accepted_connections.set(number + 1);
        number
    }

    /// Builds the response to a job that is rejected without being submitted to the dispatch task.
    pub fn reject_job(&self) -> HttpResponse {
        response::rejected(self.options.get().overload_retry_after.duration())
    }

    /// Returns the connections that have not closed.
    pub fn live_connections(&self) -> Vec<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    /// Waits for `delay`, and then until open jobs should migrate and a slot for a migration is free.
    pub async fn migration_slot(&self, delay: Duration) -> MigrationSlot {
        sleep(delay).await;
        loop {
            // This fails only if the sender has been dropped, but this state owns the sender.
            let _ = self.migrating.subscribe().wait_for(|migrating| *migrating).await;
            let Ok(permit) = self.migration_slots.clone().acquire_owned().await else {
                return pending().await;
            };
            if *self.migrating.borrow() {
                return MigrationSlot { _permit: permit };
            }
        }
    }
}
