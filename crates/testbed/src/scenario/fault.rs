//! Faults of a scenario: failures of workers, nodes, links and discovery, and operator actions.

use serde::{Deserialize, Serialize};

/// Maximum delay between the first readiness of a successor and SIGTERM for its predecessor, in seconds.
pub const MAX_SIGTERM_DELAY_S: f64 = 6.0;

/// Fault or operator action that is injected during a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds.
    pub at_s: f64,
    /// Duration of the fault, in seconds. `None` if the fault lasts until the end of the run.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Indexes of the affected workers or nodes, from 0.
    #[serde(default, rename = "of")]
    pub targets: Vec<usize>,
    /// Fraction of all workers or nodes that the fault affects, in place of `targets`. The lowest indexes are
    /// affected.
    #[serde(default)]
    pub share: Option<f64>,
    /// Slowdown factor, for `slow`, `discovery_slow` and `discovery_lines_late`.
    #[serde(default)]
    pub factor: Option<f64>,
    /// Maximum delay between the first readiness of the successor and SIGTERM for the predecessor, in
    /// seconds. The delay is random up to this maximum.
    #[serde(default)]
    pub delay_s: Option<f64>,
    /// Process that is killed, for `kill_in_upgrade`. `None` if it is picked at random.
    #[serde(default, rename = "whom")]
    pub victim: Option<UpgradeProcess>,
}

impl Fault {
    /// Creates a fault of a kind, with nothing else set.
    pub fn of_kind(kind: FaultKind) -> Self {
        Fault {
            at_s: 0.0,
            for_s: None,
            kind,
            targets: Vec::new(),
            share: None,
            factor: None,
            delay_s: None,
            victim: None,
        }
    }
}

/// Role of a process of a node during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpgradeProcess {
    /// Process that was started first.
    #[serde(rename = "older")]
    Predecessor,
    /// Process that replaces the predecessor.
    #[serde(rename = "newer")]
    Successor,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A worker's process is killed. After `for_s`, the worker starts again and warms up.
    Kill,
    /// A worker accepts connections and requests, but sends no responses.
    Silent,
    /// The speed of a worker is divided by `factor`.
    Slow,
    /// A worker completes its running jobs, accepts no new ones, and is killed after 5 s. After `for_s`, the
    /// worker starts again and warms up.
    Drain,
    /// Discovery lists a worker as draining, and as available again after `for_s`. The worker accepts jobs
    /// during this time.
    AnnouncedDrain,
    /// New workers start and warm up.
    Grow,
    /// Discovery fails polls and ends endpoint watches.
    DiscoveryDown,
    /// The address of discovery changes, and SIGHUP makes the nodes reload it.
    Reload,
    /// A node gets SIGTERM, then SIGKILL 3.7 s later, or the longest timeout of a class plus 0.7 s later if
    /// that is longer. The node is started again `for_s` after its exit.
    NodeStop,
    /// Nodes are stopped and started again as with `node_stop`, and their shutdowns overlap. Each node gets
    /// SIGHUP as with `reload_series` before its shutdown. During the shutdown it gets a series of signals
    /// that is generated from the seed: up to three times SIGHUP, up to three further SIGTERM, and SIGSTOP
    /// for up to 0.15 s at three stages.
    NodeStopSignals,
    /// A node gets SIGHUP several times in quick succession, with an unchanged configuration.
    ReloadSeries,
    /// Idle clients connect to a node until its file descriptors are exhausted, and stay connected for
    /// `for_s`.
    IdleClients,
    /// A node is killed. The client router stops using it 2 s later, and it is started again after another
    /// `for_s`.
    NodeKill,
    /// An operator drains a node, and ends the drain after `for_s`.
    NodeDrain,
    /// An operator disables a worker on all nodes, and enables it after `for_s`. Halfway through this time,
    /// the worker is restarted and warms up.
    Maintenance,
    /// A successor of a node's process is started. The predecessor gets SIGTERM after a random delay once the
    /// successor is ready.
    Upgrade,
    /// An upgrade takes place as with `upgrade`, and one of the two processes is killed at a random time.
    KillInUpgrade,
    /// A node's process is paused with SIGSTOP, and resumed after `for_s`.
    NodePause,
    /// Discovery takes `factor` times as long to serve a poll, so that polls are queued and dropped.
    DiscoverySlow,
    /// Discovery falls behind with the lines of its watches: each line is written later than the one before it,
    /// as if a heartbeat interval took `factor` times as long. At the end, the delayed lines are written.
    DiscoveryLinesLate,
    /// The link between a node and discovery drops all bytes without an error. At the end, open connections
    /// are reset.
    DiscoveryLinkCut,
    /// Connections between a node and discovery are reset, including new ones during the fault.
    DiscoveryLinkRefused,
    /// All connections of a node to discovery are reset, once.
    DiscoveryLinkReset,
    /// Data from discovery to a node arrives late and in small pieces. Data to discovery arrives in small
    /// pieces without delay.
    DiscoveryLinkSlow,
    /// The links between the nodes and a worker drop all bytes without an error. At the end, open connections
    /// are reset.
    WorkerLinkCut,
    /// All connections of the nodes to a worker are reset, once.
    WorkerLinkReset,
    /// Data from a worker arrives late and in small pieces. Data to the worker arrives in small pieces
    /// without delay.
    WorkerLinkSlow,
}

impl FaultKind {
    /// Returns whether the targets of the fault are nodes, as opposed to workers.
    pub fn targets_nodes(self) -> bool {
        match self {
            FaultKind::Reload
            | FaultKind::NodeStop
            | FaultKind::NodeStopSignals
            | FaultKind::ReloadSeries
            | FaultKind::IdleClients
            | FaultKind::NodeKill
            | FaultKind::NodeDrain
            | FaultKind::Upgrade
            | FaultKind::KillInUpgrade
            | FaultKind::NodePause
            | FaultKind::DiscoveryLinkCut
            | FaultKind::DiscoveryLinkRefused
            | FaultKind::DiscoveryLinkReset
            | FaultKind::DiscoveryLinkSlow => true,
            FaultKind::Kill
            | FaultKind::Silent
            | FaultKind::Slow
            | FaultKind::Drain
            | FaultKind::AnnouncedDrain
            | FaultKind::Grow
            | FaultKind::DiscoveryDown
            | FaultKind::DiscoverySlow
            | FaultKind::DiscoveryLinesLate
            | FaultKind::WorkerLinkCut
            | FaultKind::WorkerLinkReset
            | FaultKind::WorkerLinkSlow
            | FaultKind::Maintenance => false,
        }
    }

    /// Returns whether the fault is injected by the proxies between the nodes and discovery or the workers.
    pub fn needs_proxies(self) -> bool {
        matches!(
            self,
            FaultKind::DiscoveryLinkCut
                | FaultKind::DiscoveryLinkRefused
                | FaultKind::DiscoveryLinkReset
                | FaultKind::DiscoveryLinkSlow
                | FaultKind::WorkerLinkCut
                | FaultKind::WorkerLinkReset
                | FaultKind::WorkerLinkSlow
        )
    }

    /// Returns whether the fault has a factor by which something slows down.
    pub fn needs_factor(self) -> bool {
        matches!(self, FaultKind::Slow | FaultKind::DiscoverySlow | FaultKind::DiscoveryLinesLate)
    }

    /// Returns whether the fault is an upgrade of nodes.
    pub fn is_upgrade(self) -> bool {
        matches!(self, FaultKind::Upgrade | FaultKind::KillInUpgrade)
    }

    /// Returns whether the fault is injected with commands to the nodes' admin addresses.
    pub fn needs_admin_address(self) -> bool {
        self.is_upgrade() || matches!(self, FaultKind::NodeDrain | FaultKind::Maintenance)
    }
}
