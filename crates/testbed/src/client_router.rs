//! Router in front of the nodes. It checks their readiness and assigns requests to the ready nodes
//! round-robin.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use curlewusher_model::TimeSpan;
use tokio::time::{MissedTickBehavior, interval};

use crate::client_connections::{ClientConnections, Route};
use crate::event_log::{Event, EventLog, Readiness};
use crate::fleet::NodeAddresses;
use crate::nodes::check_readiness;

/// Interval of the readiness checks of a node.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay from the first readiness check with a negative response until the node gets no new connections.
const NOT_READY_CLOSE_DELAY: TimeSpan = TimeSpan::from_millis(200);
/// Delay from the first readiness check without a response until the node gets no new connections. It is
/// longer than [`NOT_READY_CLOSE_DELAY`], so that one lost check does not close a node.
const NO_RESPONSE_CLOSE_DELAY: TimeSpan = TimeSpan::from_secs(2);

/// Close time of a node that is open.
const NEVER: u64 = u64::MAX;

/// Router that distributes the requests of clients over the nodes that are ready.
pub struct ClientRouter {
    /// Time from which each node gets no new connections, in microseconds since the start of the event log.
    closes_at: Vec<AtomicU64>,
    /// Number of requests that were routed. It determines the node at which the next search begins.
    routed_requests: AtomicUsize,
    addresses: NodeAddresses,
    /// Connections of the clients to the nodes.
    pub connections: ClientConnections,
    log: EventLog,
}

impl ClientRouter {
    /// Creates a router with all nodes closed.
    pub fn new(node_count: usize, addresses: NodeAddresses, log: EventLog) -> Self {
        ClientRouter {
            closes_at: (0..node_count).map(|_| AtomicU64::new(0)).collect(),
            routed_requests: AtomicUsize::new(0),
            addresses,
            connections: ClientConnections::new(node_count),
            log,
        }
    }

    /// Routes new connections to a node from now on.
    pub fn open(&self, node: usize) {
        self.closes_at[node].store(NEVER, Ordering::Relaxed);
    }

    /// Routes no new connections to a node from now on.
    pub fn close(&self, node: usize) {
        self.closes_at[node].store(self.log.now().as_micros(), Ordering::Relaxed);
    }

    fn is_open(&self, node: usize) -> bool {
        self.log.now().as_micros() < self.closes_at[node].load(Ordering::Relaxed)
    }

    fn apply_readiness(&self, node: usize, readiness: Readiness) {
        let delay = match readiness {
            Readiness::Yes => return self.open(node),
            Readiness::No => NOT_READY_CLOSE_DELAY,
            Readiness::Nothing => NO_RESPONSE_CLOSE_DELAY,
        };
        // The delay counts from the first failed check. Later failed checks do not postpone the close time.
        self.closes_at[node].fetch_min((self.log.now() + delay).as_micros(), Ordering::Relaxed);
    }

    /// Checks the readiness of a node at a fixed interval until the task is aborted, and records changes of
    /// the readiness.
    pub async fn watch_readiness(self: Arc<Self>, node: usize) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut last = Readiness::Nothing;
        loop {
            ticks.tick().await;
            let Some(address) = self.address_of(node) else { continue };
            let readiness = check_readiness(address).await;
            self.apply_readiness(node, readiness);
            if readiness != last {
                self.log.record(Event::ReadinessChanged { node, readiness });
                last = readiness;
            }
        }
    }

    fn address_of(&self, node: usize) -> Option<SocketAddr> {
        self.addresses.get(node)
    }

    /// Returns the route to the next node, round-robin, that is open or has an idle connection. Idle
    /// connections stay in use until they close, even if their node gets no new connections.
    pub fn route(&self, may_reuse_connection: bool) -> Option<Route> {
        let first = self.routed_requests.fetch_add(1, Ordering::Relaxed);
        let node_count = self.closes_at.len();
        (0..node_count)
            .map(|offset| (first + offset) % node_count)
            .find_map(|node| self.route_to(node, may_reuse_connection))
    }

    fn route_to(&self, node: usize, may_reuse_connection: bool) -> Option<Route> {
        let address = self.address_of(node)?;
        let idle_connection = if may_reuse_connection { self.connections.take_idle(node) } else { None };
        let is_usable = self.is_open(node) || idle_connection.is_some();
        is_usable.then_some(Route { node, address, idle_connection })
    }
}
