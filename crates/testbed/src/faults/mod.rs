//! Injection of a scenario's faults. Each begins at its time, acts on the environment, and ends after its
//! duration.

mod discovery;
mod idle_clients;
mod links;
mod nodes;
mod workers;

use std::time::Duration;

use curlewusher_model::{TimeSpan, Timestamp};
use tokio::time::{Instant, sleep_until};

use self::links::LinkImpairment;
use crate::environment::Environment;
use crate::event_log::Event;
use crate::operator_actions::{drain_node, maintain_worker};
use crate::scenario::{Fault, FaultKind};
use crate::upgrade::{UpgradePlan, upgrade_node};
use crate::waiting::{join_all, wait_until};

/// Fault in progress.
struct FaultInjection<'run> {
    environment: &'run Environment,
    fault: &'run Fault,
    /// Index of the fault in the scenario.
    index: usize,
    /// Numbers of the workers or nodes that the fault acts on.
    targets: Vec<usize>,
    /// Time at which the fault ends, or `None` if it lasts until the end of the run.
    end: Option<Instant>,
}

/// Waits for the time of a fault, injects it, and returns once it has ended. Times count from the start of
/// the load.
pub async fn inject_fault(environment: &Environment, index: usize, fault: &Fault, load_start: Timestamp) {
    let instant = |seconds: f64| environment.log.instant(load_start + TimeSpan::from_secs_f64(seconds));
    let targets = environment.scenario.targets_of(fault);
    sleep_until(instant(fault.at_s)).await;
    let record = |phase: &str| {
        let description = format!("{:?} of {targets:?} {phase}", fault.kind);
        environment.log.record(Event::Fault { description });
    };
    record("begins");
    let end = fault.for_s.map(|for_s| instant(fault.at_s + for_s));
    FaultInjection { environment, fault, index, targets: targets.clone(), end }.inject().await;
    record("ends");
}

impl FaultInjection<'_> {
    async fn inject(&self) {
        match self.fault.kind {
            FaultKind::Kill => self.kill_workers().await,
            FaultKind::Silent => self.make_workers_unresponsive().await,
            FaultKind::Slow => self.slow_workers().await,
            FaultKind::Drain => self.drain_workers().await,
            FaultKind::AnnouncedDrain => self.announce_drain().await,
            FaultKind::Grow => self.start_workers(),
            FaultKind::DiscoveryDown => self.stop_discovery().await,
            FaultKind::DiscoverySlow => self.slow_discovery().await,
            FaultKind::DiscoveryLinesLate => self.delay_watch_lines().await,
            FaultKind::Reload => self.change_discovery_addresses().await,
            FaultKind::NodeStop | FaultKind::NodeKill => self.restart_nodes().await,
            FaultKind::NodeStopSignals => self.restart_nodes_under_signals().await,
            FaultKind::ReloadSeries => self.reload_nodes_repeatedly().await,
            FaultKind::IdleClients => self.connect_idle_clients().await,
            FaultKind::NodePause => self.pause_nodes().await,
            FaultKind::DiscoveryLinkCut => self.impair_discovery_links(LinkImpairment::Cut).await,
            FaultKind::DiscoveryLinkRefused => self.impair_discovery_links(LinkImpairment::Refused).await,
            FaultKind::DiscoveryLinkReset => self.impair_discovery_links(LinkImpairment::Reset).await,
            FaultKind::DiscoveryLinkSlow => self.impair_discovery_links(LinkImpairment::Slow).await,
            FaultKind::WorkerLinkCut => self.impair_worker_links(LinkImpairment::Cut).await,
            FaultKind::WorkerLinkReset => self.impair_worker_links(LinkImpairment::Reset).await,
            FaultKind::WorkerLinkSlow => self.impair_worker_links(LinkImpairment::Slow).await,
            FaultKind::NodeDrain => self.drain_nodes().await,
            FaultKind::Maintenance => self.maintain_workers().await,
            FaultKind::Upgrade | FaultKind::KillInUpgrade => self.upgrade_nodes().await,
        }
    }

    /// Waits for the end of the fault. Never returns if the fault has no end.
    async fn wait_for_end(&self) {
        wait_until(self.end).await;
    }

    async fn drain_nodes(&self) {
        join_all(self.targets.iter().map(|node| drain_node(self.environment, *node, self.end))).await;
    }

    async fn maintain_workers(&self) {
        let duration = Duration::from_secs_f64(self.fault.for_s.unwrap_or_default());
        let workers = self.targets.iter();
        join_all(workers.map(|worker| maintain_worker(self.environment, *worker, duration))).await;
    }

    async fn upgrade_nodes(&self) {
        let plan = |node: usize| {
            let stream_name = format!("upgrade-{}-{node}", self.index);
            UpgradePlan::sample(&self.environment.scenario, self.fault, &stream_name)
        };
        join_all(self.targets.iter().map(|node| upgrade_node(self.environment, *node, plan(*node)))).await;
    }
}
