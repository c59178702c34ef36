//! Pool of connections to workers. It dials connections, keeps idle ones for reuse, and limits their number.
//!
//! States of a connection:
//!
//! | state | held by | left by |
//! | --- | --- | --- |
//! | being dialled | [`ConnectionPool::obtain`] | success: in use; failure: closed |
//! | in use | the caller | [`ConnectionPool::recycle`]: idle, if its response was received completely and its worker's connections were not discarded; otherwise closed |
//! | idle | [`IdleConnections`] | `obtain`: reserved; expiry, discarding, or an exhausted budget: closed |
//! | reserved | [`ReservedConnection`], until the end of [`REUSE_DELAY`] | in use; idle again, if the caller stops waiting |
//!
//! The pool handles connections only, not jobs.

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
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{debug, trace};

use crate::connection_budget::ConnectionPermit;
use crate::http_body::{self, BodyError};
use crate::telemetry::logging::UPSTREAM;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::config::UpstreamConfig;
use crate::upstream::pool::connection::{ConnectError, Connection, REUSE_DELAY};
use crate::upstream::pool::generation::AddressGeneration;
use crate::upstream::pool::idle::IdleConnections;

/// Maximum size of the body of a worker's response, in bytes. Responses with a longer body count as
/// malformed.
const MAX_RESPONSE_BODY_BYTES: usize = 64 << 10;
/// Maximum time for reading the body of a response in order to reuse its connection, and after that the
/// maximum time until the connection can carry another request.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two checks of the idle connections for expiry.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Connections that may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection, or a new one if there is no idle one.
    Any,
    /// A new connection only. An idle connection may have closed unnoticed. In addition, a worker may read
    /// from an idle connection before it accepts connections that were made earlier.
    New,
}

/// Pool of the connections to all workers.
pub struct ConnectionPool {
    metrics: Metrics,
    config: UpstreamConfig,
    idle: RefCell<HashMap<SocketAddr, IdleConnections>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(metrics: Metrics, config: UpstreamConfig) -> Self {
        ConnectionPool { metrics, config, idle: RefCell::default() }
    }

    /// Returns the idle time after which a connection is not reused.
    ///
    /// Workers may close or reset a connection that was idle for far less than the keep-alive time that they
    /// announce. If a request is written at the time of the close, it is unknown whether the request has
    /// arrived, which costs more than any number of new connections. Half of the announced time is well
    /// before workers close a connection.
    fn max_idle(&self) -> Duration {
        self.config.options.get().max_reuse_idle.duration().min(self.config.keepalive / 2)
    }

    /// Sets the share of the connection budget that the pool may use.
    pub fn set_descriptor_share(&self, share: DescriptorShare) {
        self.config.budget.set_share(share, || drop(self.take_any_idle()));
    }

    /// Closes the idle connections to a worker, and those in use once they have carried their request.
    pub fn discard_connections(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes expired connections until the future is dropped. Workers close expired connections too, and a
    /// request that is written at the time of the close would be lost.
    pub async fn sweep_idle_connections(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let (now, max_idle) = (Instant::now(), self.max_idle());
            self.idle.borrow_mut().retain(|_, idle| {
                idle.close_expired(now, max_idle);
                // The entry keeps its generation for as long as a connection of that generation is in use.
                !idle.is_unused()
            });
        }
    }

    /// Returns a connection for one request: an idle one after its [`REUSE_DELAY`], if `choice` allows it, or
    /// a new one. Cancel-safe: an idle connection that was reserved becomes idle again.
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
            // The connection is reserved for this request. Another request that finds no idle connection
            // dials.
            let reserved = ReservedConnection { pool: self, address, connection: Some(connection) };
            let Some(connection) = reserved.wait_for_reuse_delay().await else { continue };
            // The worker's connections may have been discarded during the delay.
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

    /// Returns whether a connection is of the current generation of its worker's address.
    fn is_current(&self, address: SocketAddr, connection: &Connection) -> bool {
        self.idle.borrow().get(&address).is_some_and(|idle| idle.is_current(connection))
    }

    /// Returns a taken connection, on which nothing was written, to the pool. Closes the connection instead if
    /// its worker's connections were discarded, or if no permit is free: another request may be waiting for
    /// the permit of this connection.
    fn return_unused(&self, address: SocketAddr, connection: Connection) {
        if self.config.budget.free() == 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if let Some(idle) = idle.get_mut(&address).filter(|idle| idle.is_current(&connection)) {
            idle.reinsert(connection);
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

    /// Waits for the permit for one more connection. Closes an idle connection if no permit is free.
    async fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.config.budget.free() == 0 {
            drop(self.take_any_idle());
        }
        self.config.budget.acquire().await
    }

    /// Takes the oldest idle connection of an arbitrary worker that has one.
    fn take_any_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().values_mut().find(|idle| !idle.is_empty())?.take_oldest()
    }

    /// Reads a response to its end and keeps the connection for another request. Closes the connection if
    /// that is not possible.
    pub async fn recycle(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        response: Response<Incoming>,
    ) {
        if let Err(error) = discard_body(response).await {
            self.record_malformed_response(address, &error.to_string());
            return connection.close().await;
        }
        if !matches!(timeout(RESPONSE_END_TIMEOUT, connection.ready()).await, Ok(Ok(()))) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if let Some(idle) = idle.get_mut(&address).filter(|idle| idle.is_current(&connection)) {
            connection.mark_idle();
            idle.push(connection);
        }
    }

    /// Counts and logs a response that is malformed or incomplete.
    pub fn record_malformed_response(&self, address: SocketAddr, reason: &str) {
        self.metrics.add(Counter::MalformedWorkerResponses);
        debug!(target: UPSTREAM, %address, reason, "malformed response received");
    }
}

/// Reason for which the body of a response could not be read to its end.
#[derive(Debug, thiserror::Error)]
enum ResponseBodyError {
    /// The body is malformed or longer than [`MAX_RESPONSE_BODY_BYTES`].
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body took longer than [`RESPONSE_END_TIMEOUT`].
    #[error("the body did not end in time")]
    TimedOut,
}

async fn discard_body(response: Response<Incoming>) -> Result<(), ResponseBodyError> {
    let discarded = http_body::discard(response.into_body(), MAX_RESPONSE_BODY_BYTES);
    match timeout(RESPONSE_END_TIMEOUT, discarded).await {
        Ok(result) => result.map_err(ResponseBodyError::Body),
        Err(_) => Err(ResponseBodyError::TimedOut),
    }
}

/// An idle connection that was taken for a request and waits for the end of its [`REUSE_DELAY`]. Dropping the
/// reservation earlier, because the request is cancelled, returns the connection to the pool for other
/// requests.
struct ReservedConnection<'a> {
    pool: &'a ConnectionPool,
    address: SocketAddr,
    /// Reserved connection, or `None` once it was passed to the caller.
    connection: Option<Connection>,
}

impl ReservedConnection<'_> {
    /// Waits for the end of the reuse delay and returns the connection.
    async fn wait_for_reuse_delay(mut self) -> Option<Connection> {
        let idle_since = self.connection.as_ref()?.idle_since();
        sleep_until(idle_since + REUSE_DELAY).await;
        self.connection.take()
    }
}

impl Drop for ReservedConnection<'_> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.return_unused(self.address, connection);
        }
    }
}
