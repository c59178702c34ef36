//! The pool of connections to workers: dials them, keeps those that are idle, and bounds their number.
//!
//! A connection goes through these states:
//!
//! | state | held by | left by |
//! | --- | --- | --- |
//! | dialled | [`ConnectionPool::obtain`] | success: in use; failure: closed |
//! | in use | the caller | [`ConnectionPool::recycle`]: idle, if its response has ended well and its worker's connections were not discarded; else closed |
//! | idle | [`IdleConnections`] | `obtain`: reserved; expiry, discarding, or need of its budget: closed |
//! | reserved | [`ReservedConnection`], up to the end of [`COOL_DOWN`] | in use; idle again, if the caller does not wait any longer |
//!
//! The pool knows nothing of jobs.

pub mod connection;
mod generation;
mod idle;
mod socket;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use curlewusher_control::takeover::DescriptorShare;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{debug, trace};

use crate::connection_budget::ConnectionPermit;
use crate::telemetry::logging::UPSTREAM;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::config::UpstreamConfig;
use crate::upstream::pool::connection::{COOL_DOWN, ConnectError, Connection};
use crate::upstream::pool::generation::AddressGeneration;
use crate::upstream::pool::idle::IdleConnections;

/// Upper bound of the body of a worker's response, in bytes. Longer ones count as malformed.
const MAX_RESPONSE_BODY_BYTES: usize = 64 << 10;
/// How long the rest of a response is waited for, to keep its connection.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_secs(2);
/// How often idle connections are checked for expiry.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle one, or else a new one.
    Any,
    /// Only a new one. An idle one may have ended without showing it; and a worker may read from it before it accepts
    /// connections that were made earlier.
    New,
}

/// The connections to all workers.
pub struct ConnectionPool {
    metrics: Metrics,
    config: UpstreamConfig,
    idle: RefCell<HashMap<SocketAddr, IdleConnections>>,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(metrics: Metrics, config: UpstreamConfig) -> Self {
        ConnectionPool { metrics, config, idle: RefCell::default() }
    }

    /// A connection is used again only this soon after its last use.
    ///
    /// Workers may close or reset one that was idle for far less than they announce. A request that is
    /// written to it then may or may not have arrived, which costs more than any number of new connections.
    /// Half of the announced time is well before their closing.
    fn max_idle(&self) -> Duration {
        self.config.options.get().max_reuse_idle.duration().min(self.config.keepalive / 2)
    }

    /// Uses this share of the connection budget.
    pub fn set_budget_share(&self, share: DescriptorShare) {
        self.config.budget.set_share(share, || drop(self.take_any_idle()));
    }

    /// Closes the idle connections to a worker, and those in use once they have carried their request.
    pub fn discard_connections(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes expired connections, until the future is dropped: the worker closes them too, and a request
    /// that is written to one in that moment would be lost.
    pub async fn sweep_idle_connections(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let (now, max_idle) = (Instant::now(), self.max_idle());
            self.idle.borrow_mut().retain(|_, idle| {
                idle.close_expired(now, max_idle);
                // The generation lasts for as long as a connection of it is in use.
                !idle.is_unused()
            });
        }
    }

    /// A connection for one request: an idle one that has cooled down, if `choice` allows it, or a new one. Cancel-safe:
    /// an idle connection that was reserved is idle again.
    pub async fn obtain(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Result<Connection, ConnectError> {
        match choice {
            ConnectionChoice::Any => self.obtain_any(address).await,
            ConnectionChoice::New => self.dial(address).await,
        }
    }

    async fn obtain_any(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        while let Some(connection) = self.take_idle(address) {
            // No other request can reserve it meanwhile; a request that finds no idle connection dials.
            let reserved = ReservedConnection { pool: self, address, connection: Some(connection) };
            let Some(connection) = reserved.cool_down().await else { continue };
            // The worker's connections may have been discarded meanwhile.
            if self.is_current(address, &connection) && connection.is_usable(Instant::now(), self.max_idle())
            {
                return Ok(connection);
            }
        }
        self.dial(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.borrow_mut().get_mut(&address)?.take(Instant::now(), self.max_idle())
    }

    /// Whether a connection is of the present generation of its worker's address.
    fn is_current(&self, address: SocketAddr, connection: &Connection) -> bool {
        self.idle.borrow().get(&address).is_some_and(|idle| idle.has_generation_of(connection))
    }

    /// Puts a connection back on which nothing was written since it was taken. If no permit is free, another request
    /// may wait for that of this connection, which is closed.
    fn put_back(&self, address: SocketAddr, connection: Connection) {
        if self.config.budget.free() == 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if let Some(idle) = idle.get_mut(&address).filter(|idle| idle.has_generation_of(&connection)) {
            idle.put_back(connection);
        }
    }

    async fn dial(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        self.metrics.add(Counter::WorkerConnections);
        trace!(target: UPSTREAM, %address, "connection attempt started");
        let generation = self.idle.borrow_mut().entry(address).or_default().generation();
        let dialled =
            timeout(self.config.connect_timeout, self.dial_within_budget(address, generation)).await;
        let dialled = dialled.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        dialled.map_err(|error| {
            self.metrics.add(Counter::WorkerConnectionFailures);
            debug!(target: UPSTREAM, %address, %error, "connection attempt failed");
            ConnectError::from(error)
        })
    }

    async fn dial_within_budget(
        &self,
        address: SocketAddr,
        generation: AddressGeneration,
    ) -> io::Result<Connection> {
        let permit = self.acquire_permit().await.ok_or(ErrorKind::Other)?;
        Connection::dial(address, generation, permit, self.metrics.clone()).await
    }

    /// Waits for the permit of one more connection. If none is free, an idle connection is closed.
    async fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.config.budget.free() == 0 {
            drop(self.take_any_idle());
        }
        self.config.budget.acquire().await
    }

    /// Takes the oldest idle connection of some worker.
    fn take_any_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().values_mut().find(|idle| !idle.is_empty())?.take_oldest()
    }

    /// Reads a response to its end and keeps the connection for another request; closes it if that is not
    /// possible.
    pub async fn recycle(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        response: Response<Incoming>,
    ) {
        if let Err(error) = read_to_end(response).await {
            self.record_malformed_response(address, &error.to_string());
            return connection.close().await;
        }
        if !matches!(timeout(RESPONSE_END_TIMEOUT, connection.ready()).await, Ok(Ok(()))) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if let Some(idle) = idle.get_mut(&address).filter(|idle| idle.has_generation_of(&connection)) {
            connection.mark_idle();
            idle.push(connection);
        }
    }

    /// Counts a response that is malformed or incomplete.
    pub fn record_malformed_response(&self, address: SocketAddr, reason: &str) {
        self.metrics.add(Counter::MalformedWorkerResponses);
        debug!(target: UPSTREAM, %address, reason, "malformed response received");
    }
}

/// Why the rest of a response could not be read.
#[derive(Debug, thiserror::Error)]
enum ResponseEndError {
    /// It is malformed or longer than [`MAX_RESPONSE_BODY_BYTES`].
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// It took longer than [`RESPONSE_END_TIMEOUT`].
    #[error("it does not end")]
    TimedOut,
}

async fn read_to_end(response: Response<Incoming>) -> Result<(), ResponseEndError> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BODY_BYTES).collect();
    match timeout(RESPONSE_END_TIMEOUT, body).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(ResponseEndError::Body(error)),
        Err(_) => Err(ResponseEndError::TimedOut),
    }
}

/// An idle connection that was taken for a request and waits for the end of its pause. Dropping it earlier,
/// because the request is cancelled, leaves the connection to other requests.
struct ReservedConnection<'a> {
    pool: &'a ConnectionPool,
    address: SocketAddr,
    /// `None` once it was passed to the caller.
    connection: Option<Connection>,
}

impl ReservedConnection<'_> {
    /// Waits for the end of the pause and returns the connection.
    async fn cool_down(mut self) -> Option<Connection> {
        let idle_since = self.connection.as_ref()?.idle_since();
        sleep_until(idle_since + COOL_DOWN).await;
        self.connection.take()
    }
}

impl Drop for ReservedConnection<'_> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(self.address, connection);
        }
    }
}
