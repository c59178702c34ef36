//! The router in front of the nodes: it checks their readiness and chooses the node for each request in turn.

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
/// New connections still go to a node for this long after the first check that it failed.
const CLOSE_AFTER_NOT_READY: TimeSpan = TimeSpan::from_millis(200);
/// The same after the first check without an answer: one check that is lost does not close a node.
const CLOSE_AFTER_NO_ANSWER: TimeSpan = TimeSpan::from_secs(2);

/// The moment at which a node closes that is open.
const NEVER: u64 = u64::MAX;

/// Spreads clients over the nodes that are ready.
pub struct ClientRouter {
    /// The moment from which each node gets no new connections, in microseconds of the event log.
    closes_at: Vec<AtomicU64>,
    /// Number of requests that were routed.
    routed: AtomicUsize,
    addresses: NodeAddresses,
    /// The connections that clients hold to the nodes.
    pub connections: ClientConnections,
    log: EventLog,
}

impl ClientRouter {
    /// A router that has closed all nodes.
    pub fn new(node_count: usize, addresses: NodeAddresses, log: EventLog) -> Self {
        ClientRouter {
            closes_at: (0..node_count).map(|_| AtomicU64::new(0)).collect(),
            routed: AtomicUsize::new(0),
            addresses,
            connections: ClientConnections::new(node_count),
            log,
        }
    }

    /// Lets new connections go to a node.
    pub fn open(&self, node: usize) {
        self.closes_at[node].store(NEVER, Ordering::Relaxed);
    }

    /// Lets no new connections go to a node from now on.
    pub fn close(&self, node: usize) {
        self.closes_at[node].store(self.log.now().as_micros(), Ordering::Relaxed);
    }

    fn is_open(&self, node: usize) -> bool {
        self.log.now().as_micros() < self.closes_at[node].load(Ordering::Relaxed)
    }

    fn apply_readiness(&self, node: usize, readiness: Readiness) {
        let delay = match readiness {
            Readiness::Yes => return self.open(node),
            Readiness::No => CLOSE_AFTER_NOT_READY,
            Readiness::Nothing => CLOSE_AFTER_NO_ANSWER,
        };
        // Counted from the first failed check: later ones do not defer the moment.
        self.closes_at[node].fetch_min((self.log.now() + delay).as_micros(), Ordering::Relaxed);
    }

    /// Checks the readiness of a node at a fixed interval until the task is aborted, and records its changes.
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

    /// The route to the next node in turn that is open, or to which a connection is kept: kept connections stay in use
    /// while they are open.
    pub fn route(&self, may_reuse_connection: bool) -> Option<Route> {
        let first = self.routed.fetch_add(1, Ordering::Relaxed);
        let node_count = self.closes_at.len();
        (0..node_count)
            .map(|offset| (first + offset) % node_count)
            .find_map(|node| self.route_to(node, may_reuse_connection))
    }

    fn route_to(&self, node: usize, may_reuse_connection: bool) -> Option<Route> {
        let address = self.address_of(node)?;
        let idle_connection = if may_reuse_connection { self.connections.take(node) } else { None };
        let is_usable = self.is_open(node) || idle_connection.is_some();
        is_usable.then_some(Route { node, address, idle_connection })
    }
}
