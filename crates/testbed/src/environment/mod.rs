//! The environment of a run: the fleet, the client router, the nodes under test and the event log, which faults, operator
//! actions and upgrades act on.

mod crash;
mod node_lifecycle;
mod signal_series;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use curlewusher_model::workload::PlannedJob;
use tokio::sync::{Mutex, MutexGuard};

pub use crash::NodeCrash;
pub use node_lifecycle::{MIN_SHUTDOWN_TIME, SHUTDOWN_GRACE, StartError, StopMode};
pub use signal_series::SignalSeries;

use crate::client_router::ClientRouter;
use crate::event_log::EventLog;
use crate::fleet::{Fleet, FleetError, NodeAddresses, SentRequests};
use crate::nodes::{Node, Program};
use crate::scenario::Scenario;

/// The process of a node. It is taken out while it is stopped or upgraded.
#[derive(Default)]
pub struct NodeSlot {
    /// The process in service.
    pub node: Option<Node>,
    /// The admin address of the process that takes commands: in an upgrade the successor as soon as it is ready.
    pub admin_address: Option<SocketAddr>,
    /// Ids of the processes of an upgrade in progress, whose costs are added up.
    pub upgrade_processes: Vec<u32>,
}

/// What an environment is created from.
pub struct EnvironmentSpec {
    /// The scenario that is played.
    pub scenario: Arc<Scenario>,
    /// The program of the nodes under test.
    pub program: Program,
    /// The workload, drawn from the scenario.
    pub jobs: Arc<Vec<PlannedJob>>,
    /// Whether the nodes get admin addresses although no fault of the scenario needs them.
    pub needs_admin_addresses: bool,
}

/// Everything that a run acts on. The nodes and the fleet stop when it is dropped.
pub struct Environment {
    /// The scenario that is played.
    pub scenario: Arc<Scenario>,
    /// The program of the nodes under test.
    pub program: Program,
    /// The simulated workers and discovery servers.
    pub fleet: Fleet,
    /// Chooses the node for each request of a client.
    pub router: Arc<ClientRouter>,
    /// The requests that clients have sent.
    pub sent_requests: SentRequests,
    /// What was observed so far.
    pub log: EventLog,
    nodes: Vec<Mutex<NodeSlot>>,
    node_addresses: NodeAddresses,
    crashes: parking_lot::Mutex<Vec<NodeCrash>>,
    has_admin_addresses: bool,
    /// Parent of the nodes' own folders. Its name is short, since the path of a Unix socket holds 107 bytes at most.
    temporary: PathBuf,
}

impl Drop for Environment {
    fn drop(&mut self) {
        // Nobody reads what the nodes left here, and a folder that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.temporary);
    }
}

impl Environment {
    /// Starts the fleet; the nodes are started by [`Environment::start_all_nodes`].
    ///
    /// # Errors
    ///
    /// The fleet cannot open its sockets.
    pub async fn create(spec: EnvironmentSpec) -> Result<Environment, FleetError> {
        let EnvironmentSpec { scenario, program, jobs, needs_admin_addresses } = spec;
        let node_count = scenario.nodes.count;
        let (log, sent_requests) = (EventLog::new(), SentRequests::default());
        let node_addresses = NodeAddresses::new(node_count);
        let fleet =
            Fleet::start(&scenario, jobs, sent_requests.clone(), node_addresses.clone(), log.clone()).await?;
        let router = Arc::new(ClientRouter::new(node_count, node_addresses.clone(), log.clone()));
        let temporary = std::env::temp_dir().join(format!("curlewusher-testbed-{}", std::process::id()));
        // A folder of an earlier process with the same id; usually there is none.
        let _ = std::fs::remove_dir_all(&temporary);
        Ok(Environment {
            nodes: (0..node_count).map(|_| Mutex::default()).collect(),
            has_admin_addresses: needs_admin_addresses || scenario.needs_admin_addresses(),
            scenario,
            program,
            fleet,
            router,
            sent_requests,
            log,
            node_addresses,
            crashes: parking_lot::Mutex::default(),
            temporary,
        })
    }

    /// Number of nodes in the scenario.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Where a node serves; none before its first start.
    pub fn address_of(&self, node: usize) -> Option<SocketAddr> {
        self.node_addresses.get(node)
    }

    /// Locks the slot of a node.
    pub async fn slot(&self, node: usize) -> MutexGuard<'_, NodeSlot> {
        self.nodes[node].lock().await
    }

    /// Records that a node's process failed in a way that the scenario does not demand.
    pub fn report_crash(&self, crash: impl Into<NodeCrash>) {
        self.crashes.lock().push(crash.into());
    }

    /// Removes and returns all reported crashes, oldest first.
    pub fn take_crashes(&self) -> Vec<NodeCrash> {
        std::mem::take(&mut *self.crashes.lock())
    }
}
