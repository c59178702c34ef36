//! Environment of a run: the fleet, the client router, the nodes under test and the event log. Faults,
//! operator actions and upgrades act on it.

mod crash;
mod node_lifecycle;
mod signal_series;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use curlewusher_model::workload::PlannedJob;
use tokio::sync::{Mutex, MutexGuard};

pub use crash::NodeCrash;
pub use node_lifecycle::{MIN_SHUTDOWN_TIMEOUT, SHUTDOWN_MARGIN, StartError, StopMode};
pub use signal_series::SignalSeries;

use crate::client_router::ClientRouter;
use crate::event_log::EventLog;
use crate::fleet::{Fleet, FleetError, NodeAddresses, SentRequests};
use crate::nodes::{Node, Program};
use crate::scenario::Scenario;

/// Slot of a node for its process. The process is taken out of the slot while it is stopped or upgraded.
#[derive(Default)]
pub struct NodeSlot {
    /// Process in service.
    pub node: Option<Node>,
    /// Admin address of the process that receives commands. During an upgrade this is the successor once it
    /// is ready.
    pub admin_address: Option<SocketAddr>,
    /// Ids of the processes of an upgrade in progress. Their costs are added up in each sample.
    pub upgrade_processes: Vec<u32>,
}

/// Input of [`Environment::create`].
pub struct EnvironmentSpec {
    /// Scenario of the run.
    pub scenario: Arc<Scenario>,
    /// Program of the nodes under test.
    pub program: Program,
    /// Workload, generated from the scenario.
    pub jobs: Arc<Vec<PlannedJob>>,
    /// Whether the nodes get admin addresses even if no fault of the scenario needs them.
    pub needs_admin_addresses: bool,
}

/// Everything that a run acts on. Dropping the environment stops the nodes and the fleet.
pub struct Environment {
    /// Scenario of the run.
    pub scenario: Arc<Scenario>,
    /// Program of the nodes under test.
    pub program: Program,
    /// Simulated workers and discovery servers.
    pub fleet: Fleet,
    /// Router that chooses the node for each request of a client.
    pub router: Arc<ClientRouter>,
    /// Requests that clients have sent.
    pub sent_requests: SentRequests,
    /// Log of the events observed so far.
    pub log: EventLog,
    nodes: Vec<Mutex<NodeSlot>>,
    node_addresses: NodeAddresses,
    crashes: parking_lot::Mutex<Vec<NodeCrash>>,
    has_admin_addresses: bool,
    /// Parent of the nodes' temporary folders. Its name is short because a Unix socket path has at most 107
    /// bytes.
    temporary_folder: PathBuf,
}

impl Drop for Environment {
    fn drop(&mut self) {
        // The nodes' remaining files are not read again, and a folder that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.temporary_folder);
    }
}

impl Environment {
    /// Starts the fleet, but not the nodes: [`Environment::start_all_nodes`] starts them.
    ///
    /// # Errors
    ///
    /// Fails if the fleet cannot open its sockets.
    pub async fn create(spec: EnvironmentSpec) -> Result<Environment, FleetError> {
        let EnvironmentSpec { scenario, program, jobs, needs_admin_addresses } = spec;
        let node_count = scenario.nodes.count;
        let (log, sent_requests) = (EventLog::new(), SentRequests::default());
        let node_addresses = NodeAddresses::new(node_count);
        let fleet =
            Fleet::start(&scenario, jobs, sent_requests.clone(), node_addresses.clone(), log.clone()).await?;
        let router = Arc::new(ClientRouter::new(node_count, node_addresses.clone(), log.clone()));
        let temporary_folder =
            std::env::temp_dir().join(format!("curlewusher-testbed-{}", std::process::id()));
        // Removes the folder of an earlier process with the same id. Usually there is none.
        let _ = std::fs::remove_dir_all(&temporary_folder);
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
            temporary_folder,
        })
    }

    /// Returns the number of nodes in the scenario.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the address at which a node serves, or `None` before its first start.
    pub fn address_of(&self, node: usize) -> Option<SocketAddr> {
        self.node_addresses.get(node)
    }

    /// Locks the slot of a node and returns its guard.
    pub async fn slot(&self, node: usize) -> MutexGuard<'_, NodeSlot> {
        self.nodes[node].lock().await
    }

    /// Records an unexpected failure of a node's process.
    pub fn report_crash(&self, crash: impl Into<NodeCrash>) {
        self.crashes.lock().push(crash.into());
    }

    /// Removes and returns all reported crashes, oldest first.
    pub fn take_crashes(&self) -> Vec<NodeCrash> {
        std::mem::take(&mut *self.crashes.lock())
    }
}
