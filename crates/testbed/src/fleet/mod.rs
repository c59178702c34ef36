//! Simulated fleet: servers of the workers and of discovery on loopback, driven by the models of
//! `curlewusher-model`.
//!
//! | module | content |
//! | --- | --- |
//! | `worker_server` | listener, connections and requests of one worker |
//! | `discovery_server` | listeners of discovery and the streams of endpoint watches |
//! | `owner` | task that owns the models and applies their effects |
//! | `discovery_state` | endpoint registry, open watches, and the endpoint list that each node was sent |
//! | `attempt_table` | attempts in flight at workers |
//! | `callback` | delivery of callbacks to nodes |
//! | `message` | inputs of the owner |
//!
//! The servers send messages to the owner, and only the owner changes the models. The fleet records all its
//! observations in the event log.

mod attempt_table;
mod callback;
mod discovery_server;
mod discovery_state;
mod endpoint_encoder;
mod error;
mod http_response;
mod links;
mod message;
mod node_addresses;
mod owner;
mod reserved_port;
mod sent_requests;
mod startup;
mod worker_server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use curlewusher_model::workload::PlannedJob;
use parking_lot::Mutex;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;

use self::attempt_table::AttemptTable;
use self::callback::CallbackDelivery;
use self::discovery_server::DiscoveryServers;
pub use self::discovery_state::HEARTBEAT_INTERVAL;
use self::discovery_state::SentLists;
pub use self::endpoint_encoder::worker_name;
pub use self::error::FleetError;
pub use self::links::FleetLinks;
pub use self::message::FleetCommand;
use self::message::FleetMessage;
pub use self::node_addresses::NodeAddresses;
use self::owner::FleetOwner;
pub use self::sent_requests::{RequestOrigin, SentRequests, expected_result};
use self::startup::{FleetBuilder, WorkerServers};
use crate::event_log::EventLog;
use crate::proxy::Proxy;
use crate::scenario::Scenario;

/// Running fleet. Dropping it stops its servers.
pub struct Fleet {
    messages: UnboundedSender<FleetMessage>,
    discovery: DiscoveryServers,
    /// Links between the nodes and the fleet.
    pub links: Arc<FleetLinks>,
    sent_lists: SentLists,
    /// Whether the nodes connect to the fleet through proxies.
    has_proxies: bool,
    proxies: Mutex<Vec<Proxy>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Fleet {
    /// Opens the ports of all workers and starts the models.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened.
    pub async fn start(
        scenario: &Scenario,
        jobs: Arc<Vec<PlannedJob>>,
        sent_requests: SentRequests,
        nodes: NodeAddresses,
        log: EventLog,
    ) -> Result<Fleet, FleetError> {
        let links = Arc::new(FleetLinks::new(scenario.nodes.count, scenario.worker_count()));
        let sent_lists: SentLists = Arc::new(Mutex::new(vec![None; scenario.nodes.count]));
        let (messages, inputs) = unbounded_channel();
        let builder = FleetBuilder {
            scenario,
            links: links.clone(),
            sent_requests,
            messages: messages.clone(),
            log: log.clone(),
        };
        let WorkerServers { processes, attributes, proxies, mut tasks } = builder.start_workers().await?;
        let owner = FleetOwner {
            pool: builder.worker_pool(),
            discovery: builder.discovery_state(attributes, sent_lists.clone()),
            workers: processes,
            jobs,
            attempts: AttemptTable::new(),
            callbacks: CallbackDelivery::new(nodes),
            log,
        };
        tasks.push(tokio::spawn(owner.run(inputs)));
        let poll_duration = Duration::from_secs_f64(scenario.fleet.discovery_call_s);
        Ok(Fleet {
            discovery: DiscoveryServers::new(messages.clone(), poll_duration),
            messages,
            links,
            sent_lists,
            has_proxies: scenario.needs_proxies(),
            proxies: Mutex::new(proxies),
            tasks,
        })
    }

    /// Returns the endpoint list that a node was sent last, or `None` if it was sent no list.
    pub fn last_sent_list(&self, node: usize) -> Option<serde_json::Value> {
        self.sent_lists.lock()[node].clone()
    }

    /// Sets the duration of each poll of discovery from now on.
    pub fn set_poll_duration(&self, poll_duration: Duration) {
        self.discovery.set_poll_duration(poll_duration);
    }

    /// Requests a change of the fleet. Returns before the change takes effect.
    pub fn apply(&self, command: FleetCommand) {
        // Fails only when the fleet has shut down.
        let _ = self.messages.send(FleetMessage::Apply(command));
    }

    /// Starts a discovery server for a node and returns its address. The node's earlier server accepts no
    /// more polls, and its watches close after a delay.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened.
    pub async fn start_discovery(&self, node: usize) -> Result<SocketAddr, FleetError> {
        let address = self.discovery.start(node).await?;
        if !self.has_proxies {
            return Ok(address);
        }
        let link = self.links.discovery[node].subscribe();
        let proxy = Proxy::start(address, link).await.map_err(FleetError::DiscoveryProxy)?;
        let address = proxy.address;
        self.proxies.lock().push(proxy);
        Ok(address)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/fleet.rs"]
mod tests;
