//! Faults of a scenario: failures of workers, nodes, links and discovery, and actions of operators.

use serde::{Deserialize, Serialize};

/// The longest delay between the first readiness of a successor and SIGTERM for its predecessor, in seconds.
pub const MAX_DELAY_S: f64 = 6.0;

/// A fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    /// Its duration; none if it lasts.
    #[serde(default)]
    pub for_s: Option<f64>,
    pub kind: FaultKind,
    /// The workers or nodes, by number from 0.
    #[serde(default, rename = "of")]
    pub targets: Vec<usize>,
    /// In place of `targets`: the fraction of all workers or nodes, those with the lowest numbers first.
    #[serde(default)]
    pub share: Option<f64>,
    /// The slowdown, for `slow`.
    #[serde(default)]
    pub factor: Option<f64>,
    /// The longest delay between the first readiness of the successor and SIGTERM; the delay is drawn up to it.
    #[serde(default)]
    pub delay_s: Option<f64>,
    /// The process that dies, for `kill_in_upgrade`; drawn if none is named.
    #[serde(default, rename = "whom")]
    pub victim: Option<UpgradeProcess>,
}

impl Fault {
    /// A fault of a kind, with nothing else set.
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

/// One of the two processes of a node during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpgradeProcess {
    #[serde(rename = "older")]
    Predecessor,
    #[serde(rename = "newer")]
    Successor,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A worker's process dies; after `for_s` it starts again and warms up.
    Kill,
    /// A worker accepts connections and requests, and sends no responses.
    Silent,
    /// A worker runs slower by `factor`.
    Slow,
    /// A worker completes what is running and ends; after `for_s` it starts again and warms up.
    Drain,
    /// Discovery lists a worker as draining, and as in service again after `for_s`; the worker accepts jobs all the while.
    AnnouncedDrain,
    /// Workers that did not exist before start and warm up.
    Grow,
    /// Discovery fails its polls and ends its watches.
    DiscoveryDown,
    /// Discovery moves, and SIGHUP makes the nodes reload its address.
    Reload,
    /// A node gets SIGTERM, is killed 3.7 s (or, if that is longer, the longest timeout of a class and 0.7 s) later,
    /// and is started again after `for_s`.
    NodeStop,
    /// The same for nodes whose shutdowns overlap, each under a series of signals that is drawn from the seed: SIGHUP
    /// several times, SIGTERM twice, and SIGSTOP for up to 0.15 s at the moments of its drain.
    NodeStopSignals,
    /// A node gets SIGHUP several times in quick succession, with nothing changed.
    ReloadSeries,
    /// Idle clients connect to a node until they fill its descriptors, for `for_s`.
    IdleClients,
    /// A node is killed, and started again after `for_s`.
    NodeKill,
    /// An operator drains a node, and ends the drain after `for_s`.
    NodeDrain,
    /// An operator disables a worker on all nodes, and enables it after `for_s`; half way through, the worker is
    /// restarted and warms up.
    Maintenance,
    /// The successor of a node's process is started beside it; the predecessor gets SIGTERM a drawn time after the
    /// successor is ready.
    Upgrade,
    /// The same, and one of both processes is killed at a drawn moment.
    KillInUpgrade,
    /// A node's process is paused by SIGSTOP, and continued after `for_s`.
    NodePause,
    /// Discovery takes longer for each call, by `factor`, so that calls queue behind each other and are dropped.
    DiscoverySlow,
    /// The link between a node and discovery drops all bytes without an error; at the end open connections are reset.
    DiscoveryLinkCut,
    /// Connections between a node and discovery are reset, also those that are opened meanwhile.
    DiscoveryLinkRefused,
    /// All connections of a node to discovery are reset, once.
    DiscoveryLinkReset,
    /// What discovery sends to a node arrives late and in small pieces.
    DiscoveryLinkSlow,
    /// The links between the nodes and a worker drop all bytes without an error; at the end open connections are reset.
    WorkerLinkCut,
    /// All connections of the nodes to a worker are reset, once.
    WorkerLinkReset,
    /// What a worker sends arrives late and in small pieces; what is sent to it arrives in small pieces, without delay.
    WorkerLinkSlow,
}

impl FaultKind {
    /// Whether its targets are nodes, as opposed to workers.
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
            | FaultKind::WorkerLinkCut
            | FaultKind::WorkerLinkReset
            | FaultKind::WorkerLinkSlow
            | FaultKind::Maintenance => false,
        }
    }

    /// Whether it is done by the proxies between the nodes and what they connect to.
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

    /// Whether it is an upgrade of nodes.
    pub fn is_upgrade(self) -> bool {
        matches!(self, FaultKind::Upgrade | FaultKind::KillInUpgrade)
    }

    /// Whether it is done by commands at the nodes' admin addresses.
    pub fn needs_admin_address(self) -> bool {
        self.is_upgrade() || matches!(self, FaultKind::NodeDrain | FaultKind::Maintenance)
    }
}
