//! Connections of the clients to the nodes, idle or with a request in flight. The caller chooses the node of
//! a request. No request is retried here, so that the event log shows each reset connection.

mod exchange;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use self::exchange::{Exchange, exchange, is_open};
pub use self::exchange::{OutgoingRequest, Response, WritePattern};
use crate::event_log::FailureReason;

/// Timeout for opening a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Age up to which (exclusive) a request in flight counts as fresh.
const MAX_FRESH_AGE: Duration = Duration::from_secs(2);

/// Destination of a request.
pub struct Route {
    /// Number of the node.
    pub node: usize,
    /// Address of the node.
    pub address: SocketAddr,
    /// Idle connection to the node. If it is `None`, a new connection is opened.
    pub idle_connection: Option<TcpStream>,
}

/// Numbers of open connections of all clients to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Number of connections without a request.
    pub idle: usize,
    /// Number of connections with a request that was sent within the last two seconds.
    pub fresh: usize,
}

/// Connections of all clients, by node.
pub struct ClientConnections(Vec<Mutex<NodeConnections>>);

#[derive(Default)]
struct NodeConnections {
    /// Idle connections in the order of their last use, the most recently used last.
    idle: Vec<IdleConnection>,
    /// Send times of the requests in flight, by request number.
    in_flight: HashMap<u64, Instant>,
    last_request_number: u64,
}

struct IdleConnection {
    since: Instant,
    stream: TcpStream,
}

/// Guard that counts a request as in flight until the guard is dropped.
struct InFlightRequest<'a> {
    connections: &'a Mutex<NodeConnections>,
    number: u64,
}

impl<'a> InFlightRequest<'a> {
    fn begin(connections: &'a Mutex<NodeConnections>) -> Self {
        let mut locked = connections.lock();
        locked.last_request_number += 1;
        let number = locked.last_request_number;
        locked.in_flight.insert(number, Instant::now());
        InFlightRequest { connections, number }
    }
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.connections.lock().in_flight.remove(&self.number);
    }
}

impl ClientConnections {
    /// Creates an empty set of connections for each node.
    pub fn new(node_count: usize) -> Self {
        ClientConnections((0..node_count).map(|_| Mutex::default()).collect())
    }

    /// Takes an idle connection to a node: the most recently used one that is still open.
    pub fn take_idle(&self, node: usize) -> Option<TcpStream> {
        let mut connections = self.0[node].lock();
        connections.idle.retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT && is_open(&idle.stream));
        connections.idle.pop().map(|idle| idle.stream)
    }

    /// Counts the open connections to a node.
    pub fn count(&self, node: usize) -> ConnectionCounts {
        let mut connections = self.0[node].lock();
        connections.idle.retain(|idle| is_open(&idle.stream));
        let fresh = connections.in_flight.values().filter(|sent| sent.elapsed() < MAX_FRESH_AGE).count();
        ConnectionCounts { idle: connections.idle.len(), fresh }
    }

    /// Sends a request and reads the response. With `keep_alive` the connection is kept for another request,
    /// if the node allows that.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened, or closes before the response is complete.
    pub async fn send(
        &self,
        route: Route,
        request: OutgoingRequest<'_>,
        keep_alive: bool,
    ) -> Result<Response, FailureReason> {
        let Route { node, address, idle_connection } = route;
        let mut stream = match idle_connection {
            Some(stream) => stream,
            None => connect(address).await?,
        };
        // A failure to set the option is ignored: without it, the connection is only slower.
        let _ = stream.set_nodelay(true);
        let in_flight = InFlightRequest::begin(&self.0[node]);
        let Exchange { response, is_reusable } = exchange(&mut stream, request).await?;
        drop(in_flight);
        if is_reusable && keep_alive {
            self.0[node].lock().idle.push(IdleConnection { since: Instant::now(), stream });
        }
        Ok(response)
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, FailureReason> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        _ => Err(FailureReason::Unreachable),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_connections.rs"]
mod tests;
