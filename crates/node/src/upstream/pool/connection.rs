//! An HTTP/1.1 connection to a worker that carries one request at a time.

use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;
use tracing::{debug, trace};

use crate::attempt::SendPermit;
use crate::connection_budget::ConnectionPermit;
use crate::telemetry::logging::UPSTREAM;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::payload::UpstreamRequest;
use crate::upstream::pool::generation::AddressGeneration;
use crate::upstream::pool::socket::{Socket, SocketState};

/// Delay after a response before its connection carries another request.
///
/// A second response that arrives a few milliseconds late then finds the connection idle, and the connection
/// is closed. Without the delay it could be read as the response to the next request: it could state that a
/// job is accepted, or has not run, although the worker has never received that job.
pub const REUSE_DELAY: Duration = Duration::from_millis(30);

/// Maximum size of the head of a response, in bytes. hyper's read buffer has the same limit.
const MAX_RESPONSE_HEAD_BYTES: usize = 16 << 10;

/// Reason for which a connection was not established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// No process listens at the address, or the process accepts no more connections.
    #[error("connection refused; check that the worker is running")]
    Refused(#[source] io::Error),
    /// The connection was not established in time, or it broke while it was being established.
    #[error("connection not established; check the network between the node and the worker")]
    Unreachable(#[source] io::Error),
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => ConnectError::Refused(error),
            _ => ConnectError::Unreachable(error),
        }
    }
}

/// Reason for which a request received no response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The connection closed before a byte of the request was written, so that the worker has not received
    /// it.
    #[error("the connection closed before a byte of the request was written")]
    NothingWritten(#[source] hyper::Error),
    /// The connection broke or closed before a response, and the worker may have received the request.
    #[error("the connection broke or closed before a response")]
    ConnectionLost(#[source] hyper::Error),
    /// The bytes from the worker are not a valid HTTP response, and the worker may have received the request.
    #[error("the response is malformed")]
    MalformedResponse(#[source] hyper::Error),
}

impl RequestError {
    /// Returns whether bytes were received that do not form a complete response.
    pub fn is_malformed_response(&self, socket_state: &SocketState) -> bool {
        match self {
            RequestError::NothingWritten(_) => false,
            RequestError::ConnectionLost(_) => socket_state.has_read_response_byte(),
            RequestError::MalformedResponse(_) => true,
        }
    }
}

/// Origin of the connection that carries a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrigin {
    /// The connection was dialled for this request.
    Dialled,
    /// The connection has carried an earlier request.
    Reused,
}

/// A connection to a worker. Dropping it aborts the task that drives the connection, which closes the socket.
pub struct Connection {
    requests: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    socket_state: Rc<SocketState>,
    generation: AddressGeneration,
    origin: ConnectionOrigin,
    idle_since: Instant,
    /// Permit that returns to the connection budget once the connection is dropped.
    _permit: ConnectionPermit,
}

impl Connection {
    /// Dials a worker. The connection belongs to the given generation of the worker's address.
    pub async fn dial(
        address: SocketAddr,
        generation: AddressGeneration,
        permit: ConnectionPermit,
        metrics: Metrics,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket_state = Rc::<SocketState>::default();
        let socket = Socket::new(stream, socket_state.clone(), metrics.clone());
        let (requests, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let driver = spawn_local(drive(connection, address, metrics));
        let idle_since = Instant::now();
        Ok(Connection {
            requests,
            driver,
            socket_state,
            generation,
            origin: ConnectionOrigin::Dialled,
            idle_since,
            _permit: permit,
        })
    }

    /// Returns whether the connection was dialled for the current request or has carried an earlier one.
    pub fn origin(&self) -> ConnectionOrigin {
        self.origin
    }

    /// Returns the generation of the worker's address in which the connection was dialled.
    pub fn generation(&self) -> &AddressGeneration {
        &self.generation
    }

    /// Returns the time at which the connection was established or its last response ended.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Returns the state that the connection shares with its socket.
    pub fn socket_state(&self) -> Rc<SocketState> {
        self.socket_state.clone()
    }

    /// Returns whether the connection is open and has been idle for less than `max_idle`.
    pub fn is_usable(&self, now: Instant, max_idle: Duration) -> bool {
        self.requests.is_ready() && now.duration_since(self.idle_since) < max_idle
    }

    /// Returns whether the connection has been idle for [`REUSE_DELAY`].
    pub fn has_reuse_delay_elapsed(&self, now: Instant) -> bool {
        now.duration_since(self.idle_since) >= REUSE_DELAY
    }

    /// Sends a request and waits for the head of its response. If the permit is invalid just before the first
    /// byte, nothing is written and the connection closes.
    pub async fn send(
        &mut self,
        request: UpstreamRequest,
        send_permit: Rc<SendPermit>,
    ) -> Result<Response<Incoming>, RequestError> {
        self.socket_state.begin_request(send_permit);
        self.requests.send_request(request).await.map_err(|error| {
            trace!(target: UPSTREAM, %error, "request failed");
            if !self.socket_state.has_written_request_byte() {
                RequestError::NothingWritten(error)
            } else if error.is_parse() {
                RequestError::MalformedResponse(error)
            } else {
                RequestError::ConnectionLost(error)
            }
        })
    }

    /// Waits, after the end of a response, until the connection can carry another request. Fails if the
    /// response states that the connection closes after it.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Marks the connection as idle from now on, after a request.
    pub fn mark_idle(&mut self) {
        self.origin = ConnectionOrigin::Reused;
        self.idle_since = Instant::now();
    }

    /// Resets the connection and returns once it is closed. Bytes of the request that the worker's system has
    /// not received yet never arrive.
    pub async fn reset(self) {
        self.socket_state.set_discard_unsent();
        self.close().await;
    }

    /// Closes the connection and returns once it is closed. The operating system continues to deliver the
    /// written bytes.
    pub async fn close(mut self) {
        self.driver.abort();
        // The task has finished or was aborted. In both cases its socket is closed.
        let _ = (&mut self.driver).await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Drives a connection until it closes. A request in flight on it, if any, gets the error that closed the
/// connection.
async fn drive(
    connection: http1::Connection<TokioIo<Socket>, Full<Bytes>>,
    address: SocketAddr,
    metrics: Metrics,
) {
    // On an idle connection, an error other than a network error means a response without a request.
    if let Err(error) = connection.await
        && !error.source().is_some_and(<dyn Error>::is::<io::Error>)
    {
        metrics.add(Counter::MalformedWorkerResponses);
        debug!(target: UPSTREAM, %address, %error, "connection closed");
    }
}
