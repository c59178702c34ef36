//! Clients' connections to the nodes: which are idle, and which have a request in flight. The node of a request is chosen
//! elsewhere. No request is repeated here, so that the event log shows each reset connection.

mod exchange;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use self::exchange::{Exchange, exchange, is_open};
pub use self::exchange::{OutgoingRequest, Response};
use crate::event_log::FailureReason;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection that was idle for this long is not used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A request counts as fresh for this long after it was sent.
const FRESH_FOR: Duration = Duration::from_secs(2);

/// Where a request is sent.
pub struct Route {
    /// Number of the node.
    pub node: usize,
    /// Its address.
    pub address: SocketAddr,
    /// An idle connection to the node; a new one is opened if there is none.
    pub idle_connection: Option<TcpStream>,
}

/// Open connections of all clients to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections without a request.
    pub idle: usize,
    /// Connections with a request that was sent within the last two seconds.
    pub fresh: usize,
}

/// All connections of all clients, by node.
pub struct ClientConnections(Vec<Mutex<NodeConnections>>);

#[derive(Default)]
struct NodeConnections {
    /// In the order of their last use, the latest at the end.
    idle: Vec<IdleConnection>,
    /// When each request in flight was sent, by its number.
    in_flight: HashMap<u64, Instant>,
    last_number: u64,
}

struct IdleConnection {
    since: Instant,
    stream: TcpStream,
}

/// Counts a request as in flight until it is dropped.
struct InFlightRequest<'a> {
    connections: &'a Mutex<NodeConnections>,
    number: u64,
}

impl<'a> InFlightRequest<'a> {
    fn begin(connections: &'a Mutex<NodeConnections>) -> Self {
        let mut locked = connections.lock();
        locked.last_number += 1;
        let number = locked.last_number;
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
    /// No connections yet.
    pub fn new(nodes: usize) -> Self {
        ClientConnections((0..nodes).map(|_| Mutex::default()).collect())
    }

    /// Takes the idle connection to a node that was used last and is still open.
    pub fn take(&self, node: usize) -> Option<TcpStream> {
        let mut connections = self.0[node].lock();
        connections.idle.retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT && is_open(&idle.stream));
        connections.idle.pop().map(|idle| idle.stream)
    }

    /// Counts the open connections to a node.
    pub fn count(&self, node: usize) -> ConnectionCounts {
        let mut connections = self.0[node].lock();
        connections.idle.retain(|idle| is_open(&idle.stream));
        let fresh = connections.in_flight.values().filter(|sent| sent.elapsed() < FRESH_FOR).count();
        ConnectionCounts { idle: connections.idle.len(), fresh }
    }

    /// Sends a request and reads the response. With `keep` the connection is kept for another request, if the node allows
    /// that.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened, or ends before the response is complete.
    pub async fn send(
        &self,
        route: Route,
        request: OutgoingRequest<'_>,
        keep: bool,
    ) -> Result<Response, FailureReason> {
        let Route { node, address, idle_connection } = route;
        let mut stream = match idle_connection {
            Some(stream) => stream,
            None => connect(address).await?,
        };
        // Without the option the connection is only slower.
        let _ = stream.set_nodelay(true);
        let in_flight = InFlightRequest::begin(&self.0[node]);
        let Exchange { response, is_reusable } = exchange(&mut stream, request).await?;
        drop(in_flight);
        if is_reusable && keep {
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
