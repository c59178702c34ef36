//! An HTTP/1.1 connection to a worker, which carries one request at a time.

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
use crate::upstream::pool::socket::{Socket, Traffic};

/// How long a connection pauses after a response before it carries another request.
///
/// A second response that comes a few milliseconds late finds the connection idle then, and closes it. Read
/// as the response to the next request, it could claim that a job is accepted, or has not run, that the
/// worker never got.
pub const COOL_DOWN: Duration = Duration::from_millis(30);

/// Why a connection was not established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// No process listens at the address, or it accepts no more connections.
    #[error("connection refused; see that the worker runs")]
    Refused(#[source] io::Error),
    /// It was not established in time, or broke while it was.
    #[error("connection not established; see that the network lets it through")]
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

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The worker has not got the request.
    #[error("the connection closed before a byte of the request was written")]
    NothingWritten(#[source] hyper::Error),
    /// The worker may have got the request.
    #[error("the connection broke or ended before a response")]
    ConnectionLost(#[source] hyper::Error),
    /// The worker may have got the request, and what it sent is no HTTP response.
    #[error("the response is malformed")]
    MalformedResponse(#[source] hyper::Error),
}

impl RequestError {
    /// Whether bytes were received that are no complete response.
    pub fn is_malformed_response(&self, traffic: &Traffic) -> bool {
        match self {
            RequestError::NothingWritten(_) => false,
            RequestError::ConnectionLost(_) => traffic.response_read(),
            RequestError::MalformedResponse(_) => true,
        }
    }
}

/// Origin of the connection that carries a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrigin {
    /// It was dialled for this request.
    Dialled,
    /// It has carried an earlier request.
    Reused,
}

/// A connection to a worker. Dropping it closes it: the task that drives it is aborted, and the socket with
/// it.
pub struct Connection {
    requests: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    traffic: Rc<Traffic>,
    generation: AddressGeneration,
    origin: ConnectionOrigin,
    idle_since: Instant,
    /// Returned to the connection budget once the connection is dropped.
    _permit: ConnectionPermit,
}

impl Connection {
    /// Dials a worker. The connection is of the given generation of its address.
    pub async fn dial(
        address: SocketAddr,
        generation: AddressGeneration,
        permit: ConnectionPermit,
        metrics: Metrics,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let traffic = Rc::<Traffic>::default();
        let socket = Socket::new(stream, traffic.clone(), metrics.clone());
        let (requests, connection) =
            http1::handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
        let driver = spawn_local(drive(connection, address, metrics));
        let idle_since = Instant::now();
        Ok(Connection {
            requests,
            driver,
            traffic,
            generation,
            origin: ConnectionOrigin::Dialled,
            idle_since,
            _permit: permit,
        })
    }

    /// Whether it was dialled for the present request or has carried one before.
    pub fn origin(&self) -> ConnectionOrigin {
        self.origin
    }

    /// The generation of its address in which it was dialled.
    pub fn generation(&self) -> &AddressGeneration {
        &self.generation
    }

    /// When it was established or its last response ended.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// The account of what has passed over it.
    pub fn traffic(&self) -> Rc<Traffic> {
        self.traffic.clone()
    }

    /// Whether it is open and was not idle for `max_idle` yet.
    pub fn is_usable(&self, now: Instant, max_idle: Duration) -> bool {
        self.requests.is_ready() && now.duration_since(self.idle_since) < max_idle
    }

    /// Whether it has paused for [`COOL_DOWN`].
    pub fn has_cooled_down(&self, now: Instant) -> bool {
        now.duration_since(self.idle_since) >= COOL_DOWN
    }

    /// Sends a request and waits for the head of its response. If the permit is invalid just before the
    /// first byte, nothing is written and the connection ends.
    pub async fn send(
        &mut self,
        request: UpstreamRequest,
        send_permit: Rc<SendPermit>,
    ) -> Result<Response<Incoming>, RequestError> {
        self.traffic.begin_request(send_permit);
        self.requests.send_request(request).await.map_err(|error| {
            trace!(target: UPSTREAM, %error, "request failed");
            if !self.traffic.request_written() {
                RequestError::NothingWritten(error)
            } else if error.is_parse() {
                RequestError::MalformedResponse(error)
            } else {
                RequestError::ConnectionLost(error)
            }
        })
    }

    /// Waits, after the end of a response, until the connection can carry another request. Fails if the
    /// response says that the connection ends with it.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Marks it as idle from now on, after a request.
    pub fn mark_idle(&mut self) {
        self.origin = ConnectionOrigin::Reused;
        self.idle_since = Instant::now();
    }

    /// Resets it, and returns once it is closed: what the worker's system has not received of the request yet never
    /// arrives.
    pub async fn reset(self) {
        self.traffic.discard_unsent();
        self.close().await;
    }

    /// Closes it, and returns once it is closed. The system continues to deliver what was written.
    pub async fn close(mut self) {
        self.driver.abort();
        // An aborted task ends as cancelled; in either case its socket is closed.
        let _ = (&mut self.driver).await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Drives a connection to its end. The request on it, if there is one, learns how it ended.
async fn drive(
    connection: http1::Connection<TokioIo<Socket>, Full<Bytes>>,
    address: SocketAddr,
    metrics: Metrics,
) {
    // On an idle connection an error that is none of the network is a response without a request.
    if let Err(error) = connection.await
        && !error.source().is_some_and(<dyn Error>::is::<io::Error>)
    {
        metrics.add(Counter::MalformedWorkerResponses);
        debug!(target: UPSTREAM, %address, %error, "connection closed");
    }
}
