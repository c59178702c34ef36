//! Owns a run from its first process to its last: the order of start and end, the faults at their times, and the samples
//! of cost. It must never judge what happened.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use curlewusher_model::endpoint_registry::EndpointStatus;
use curlewusher_model::{TimeSpan, Timestamp};
use indicatif::{ProgressBar, ProgressStyle};
use rustix::process::Signal;
use thiserror::Error;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::console::free_place;
use crate::event_log::{Event, EventLog, Readiness, Record};
use crate::fleet::{Fleet, FleetCommand, FleetError, NodeAddresses, SentRequests};
use crate::load::{Clients, Front};
use crate::nodes::{
    Node, NodeError, ProcessSpec, Program, Sample, check_readiness, nonzero_violation_counters, sample_cost,
};
use crate::operator_actions::join_all;
use crate::proxy::LinkState;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::stress_run::StressRun;
use crate::upgrade::UpgradePlan;

/// The front notices that a node ends or has died after this.
const FRONT_HEARS_END: Duration = Duration::from_millis(300);
const FRONT_HEARS_DEATH: Duration = Duration::from_millis(2000);
/// SIGKILL comes so long after SIGTERM, or after the longest time of a class where that is longer, and 0.7 s.
pub const KILL_AT_LEAST: Duration = Duration::from_millis(3000);
pub const KILL_GRACE: Duration = Duration::from_millis(700);
/// A drained worker has left after this.
const WORKER_DRAINS: Duration = Duration::from_secs(5);
const SAMPLES: Duration = Duration::from_millis(500);
/// What is sent over a slow link arrives so much later.
const ANSWER_DELAY: Duration = Duration::from_millis(150);

/// What a run left.
pub struct Played {
    pub records: Vec<Record>,
    pub samples: Vec<Sample>,
    /// When the load began and when it was over.
    pub begin: Timestamp,
    pub end: Timestamp,
    /// What went wrong with a node's process beyond the scenario, with its last lines.
    pub crashes: Vec<String>,
    /// It was ended before its time.
    pub interrupted: bool,
}

/// A node as it is held: taken out while it is ended or upgraded.
#[derive(Default)]
pub struct Held {
    pub node: Option<Node>,
    /// Where an operator calls; in an upgrade the newer process as soon as it is ready.
    pub console: Option<SocketAddr>,
    /// Processes of an upgrade, which cost as one.
    pub processes: Vec<u32>,
}

/// Why a node could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    #[error(transparent)]
    Node(#[from] NodeError),
    #[error("{0}")]
    Discovery(FleetError),
}

/// All that a run consists of.
pub struct Environment {
    pub scenario: Arc<Scenario>,
    pub program: Program,
    pub fleet: Fleet,
    pub front: Arc<Front>,
    places: NodeAddresses,
    pub log: EventLog,
    pub nodes: Vec<Mutex<Held>>,
    crashes: parking_lot::Mutex<Vec<String>>,
    /// Nodes have a second address.
    consoles: bool,
    /// Folders of the nodes' own; short names, since the name of a Unix socket in one holds 107 bytes at
    /// most.
    temporary: PathBuf,
}

impl Drop for Environment {
    fn drop(&mut self) {
        // What is left is worth nothing to anybody, and a folder that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.temporary);
    }
}

/// Plays a scenario to its end, or until the process is interrupted: then all children end and what was seen remains.
/// With a stress run, the load ends once that is over.
pub async fn play(
    scenario: Scenario,
    program: Program,
    stress: Option<StressRun>,
    bar: bool,
) -> Result<Played, String> {
    let scenario = Arc::new(scenario);
    let jobs = Arc::new(scenario.workload().draw());
    let (log, tries) = (EventLog::new(), SentRequests::default());
    let places: NodeAddresses = Arc::new(parking_lot::Mutex::new(vec![None; scenario.nodes.count]));
    let fleet = Fleet::start(&scenario, jobs.clone(), tries.clone(), places.clone(), log.clone())
        .await
        .map_err(|error| error.to_string())?;
    let front = Arc::new(Front::new(scenario.nodes.count, places.clone(), log.clone()));
    let temporary = std::env::temp_dir().join(format!("curlewusher-testbed-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&temporary);
    let environment = Arc::new(Environment {
        nodes: (0..scenario.nodes.count).map(|_| Mutex::default()).collect(),
        consoles: stress.is_some() || scenario.needs_admin_addresses(),
        scenario: scenario.clone(),
        program,
        fleet,
        front: front.clone(),
        places,
        log: log.clone(),
        crashes: parking_lot::Mutex::default(),
        temporary,
    });
    let starts = environment.start_all_nodes();
    tokio::select! {
        started = starts => started.map_err(|error| error.to_string())?,
        // What has started ends with its handle.
        _ = tokio::signal::ctrl_c() => return Err("interrupted before the load began; nothing was seen".into()),
    }
    let begin = log.now() + TimeSpan::from_millis(200);
    let done = Arc::new(AtomicUsize::new(0));
    // Upgrades are seen through; of the other faults, some never end.
    let (mut tasks, mut upgrades) = (JoinSet::new(), JoinSet::new());
    for (nth, fault) in scenario.faults.clone().into_iter().enumerate() {
        let (environment, upgrade) = (environment.clone(), fault.kind.is_upgrade());
        let task = async move { environment.fault(nth, fault, begin).await };
        if upgrade {
            upgrades.spawn(task)
        } else {
            tasks.spawn(task)
        };
    }
    for node in 0..scenario.nodes.count {
        tasks.spawn(front.clone().watch(node));
    }
    let samples = Arc::new(parking_lot::Mutex::new(Vec::new()));
    let (watched, kept) = (environment.clone(), samples.clone());
    let sampling = tokio::spawn(async move { watched.sample(kept).await });
    let all = stress.map_or(jobs.len(), |run| run.rounds);
    let clients = Arc::new(Clients::new(scenario.clone(), jobs, tries, front, log.clone()));
    let shown = if bar { ProgressBar::new(all as u64) } else { ProgressBar::hidden() };
    let what = if stress.is_some() { "times" } else { "jobs ended" };
    let style = &format!("{{elapsed_precise}} {{wide_bar}} {{pos}}/{{len}} {what}");
    let rounds = Arc::new(AtomicUsize::new(0));
    if let Some(run) = stress {
        let (environment, clients, rounds) = (environment.clone(), clients.clone(), rounds.clone());
        tasks.spawn(async move {
            environment.stress(run, begin, &rounds).await;
            clients.enough.store(true, Ordering::Relaxed);
        });
    }
    shown.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
    let mut load = tokio::spawn(clients.run(begin, done.clone()));
    let interrupted = loop {
        let count = if stress.is_some() { &rounds } else { &done };
        shown.set_position(count.load(Ordering::Relaxed) as u64);
        tokio::select! {
            _ = &mut load => break false,
            _ = tokio::signal::ctrl_c() => break true,
            () = sleep(Duration::from_millis(100)) => {}
        }
    };
    shown.finish_and_clear();
    load.abort();
    let end = log.now();
    while !interrupted && upgrades.join_next().await.is_some() {}
    upgrades.shutdown().await;
    tasks.shutdown().await;
    environment.end(interrupted).await;
    sampling.abort();
    let crashes = std::mem::take(&mut *environment.crashes.lock());
    let samples = std::mem::take(&mut *samples.lock());
    Ok(Played { records: log.take(), samples, begin, end, crashes, interrupted })
}

impl Environment {
    pub async fn start_node(&self, number: usize, listen: SocketAddr) -> Result<(), StartError> {
        let discovery = self.fleet.start_discovery(number).await.map_err(StartError::Discovery)?;
        let admin_address = self.consoles.then(free_place);
        // Both processes of an upgrade are told the same address, so that it cannot be left to the system.
        let listen = if self.consoles && listen.port() == 0 { free_place() } else { listen };
        let temporary = self.temporary.join(format!("n{number}"));
        let saved_list = self.fleet.saved_list(number).filter(|_| self.scenario.nodes.saved_lists);
        let spec =
            ProcessSpec { number, version: 0, listen, discovery, admin_address, saved_list, temporary };
        let node = Node::start(&self.program, &self.scenario, spec).await?;
        self.places.lock()[number] = Some(node.address);
        *self.nodes[number].lock().await =
            Held { node: Some(node), console: admin_address, processes: Vec::new() };
        self.log.record(Event::NodeReady { node: number });
        self.front.admit(number, true);
        Ok(())
    }

    pub fn crashed(&self, words: impl std::fmt::Display) {
        self.crashes.lock().push(words.to_string());
    }

    /// Starts all nodes at once, and returns when each is ready or has failed, with the failure of the first in their order.
    async fn start_all_nodes(self: &Arc<Self>) -> Result<(), StartError> {
        let mut starts = JoinSet::new();
        for node in 0..self.scenario.nodes.count {
            let environment = self.clone();
            let listen = SocketAddr::from(([127, 0, 0, 1], 0));
            starts.spawn(async move { (node, environment.start_node(node, listen).await) });
        }
        let mut failures = BTreeMap::new();
        while let Some(started) = starts.join_next().await {
            match started {
                Ok((node, result)) => failures.extend(result.err().map(|error| (node, error))),
                Err(error) => std::panic::resume_unwind(error.into_panic()),
            }
        }
        failures.into_values().next().map_or(Ok(()), Err)
    }

    async fn sample(&self, into: Arc<parking_lot::Mutex<Vec<Sample>>>) {
        // Processor time of all processes that a node ever had.
        let mut spent: Vec<HashMap<u32, f64>> = vec![HashMap::new(); self.nodes.len()];
        loop {
            for (number, held) in self.nodes.iter().enumerate() {
                let mut held = held.lock().await;
                if let Some(node) = held.node.as_mut()
                    && let Ok(Some(status)) = node.child.try_wait()
                {
                    // Nobody told it to end: whoever does takes it out first.
                    let lines = node.last_lines().join("\n    ");
                    self.crashed(format!(
                        "node {number} ended by itself, {status}; its last lines:\n    {lines}"
                    ));
                    self.log.record(Event::NodeExited { node: number, killed: false });
                    self.front.admit(number, false);
                    held.node = None;
                }
                let at_s = self.log.now().as_secs_f64();
                let own = held.node.as_ref().and_then(|node| node.child.id());
                let processes = held.processes.iter().copied().chain(own);
                let costs: Vec<Sample> = processes
                    .filter_map(|id| {
                        let sample = sample_cost(id, number, at_s)?;
                        spent[number].insert(id, sample.cpu_s);
                        Some(sample)
                    })
                    .collect();
                let cpu_s = spent[number].values().sum();
                let sum = |sum: Sample, one: Sample| Sample {
                    memory_mb: sum.memory_mb + one.memory_mb,
                    descriptors: sum.descriptors + one.descriptors,
                    ..sum
                };
                into.lock().extend(costs.into_iter().reduce(sum).map(|sample| Sample { cpu_s, ..sample }));
            }
            sleep(SAMPLES).await;
        }
    }

    async fn fault(&self, nth: usize, fault: Fault, begin: Timestamp) {
        let instant = |s: f64| self.log.instant(begin + TimeSpan::from_secs_f64(s));
        let targets = self.scenario.targets_of(&fault);
        sleep_until(instant(fault.at_s)).await;
        let words = |moment: &str| format!("{:?} of {targets:?} {moment}", fault.kind);
        self.log.record(Event::Fault { description: words("begins") });
        let until = fault.for_s.map(|s| instant(fault.at_s + s));
        let ends = async {
            match until {
                Some(until) => sleep_until(until).await,
                None => std::future::pending().await,
            }
        };
        let order =
            |order: fn(usize) -> FleetCommand| targets.iter().for_each(|w| self.fleet.apply(order(*w)));
        match fault.kind {
            FaultKind::Kill => {
                order(FleetCommand::Kill);
                ends.await;
                order(FleetCommand::Start);
            }
            FaultKind::Silent => {
                order(FleetCommand::Silence);
                ends.await;
                order(FleetCommand::Unsilence);
            }
            FaultKind::Slow => {
                let factor = fault.factor.unwrap_or(1.0);
                targets.iter().for_each(|w| self.fleet.apply(FleetCommand::SetSlowdown(*w, factor)));
                ends.await;
                order(|w| FleetCommand::SetSlowdown(w, 1.0));
            }
            FaultKind::Drain => {
                order(FleetCommand::Drain);
                sleep(WORKER_DRAINS).await;
                order(FleetCommand::Kill);
                ends.await;
                order(FleetCommand::Start);
            }
            FaultKind::AnnouncedDrain => {
                order(|worker| FleetCommand::SetListedStatus(worker, EndpointStatus::Terminating));
                ends.await;
                order(|worker| FleetCommand::SetListedStatus(worker, EndpointStatus::InService));
            }
            FaultKind::Grow => order(FleetCommand::Start),
            FaultKind::DiscoveryDown => {
                self.fleet.apply(FleetCommand::StopDiscovery);
                ends.await;
                self.fleet.apply(FleetCommand::StartDiscovery);
            }
            FaultKind::Reload => {
                for node in targets.iter().copied() {
                    let Ok(discovery) = self.fleet.start_discovery(node).await else { continue };
                    if let Some(node) = &mut self.nodes[node].lock().await.node
                        && let Err(problem) = node.move_discovery(&self.scenario, discovery)
                    {
                        self.crashed(problem);
                    }
                }
            }
            FaultKind::NodeStop | FaultKind::NodeKill => {
                let kill = fault.kind == FaultKind::NodeKill;
                for number in targets.iter().copied() {
                    let taken = self.nodes[number].lock().await.node.take();
                    let Some(node) = taken else { continue };
                    let address = node.address;
                    self.end_node(node, kill, true).await;
                    if let Some(s) = fault.for_s {
                        // Counted from its end: a restart does not overlap the drain.
                        sleep(Duration::from_secs_f64(s)).await;
                        if let Err(problem) = self.start_node(number, address).await {
                            self.crashed(problem);
                        }
                    }
                }
            }
            FaultKind::NodePause => {
                self.signal_nodes(&targets, Signal::STOP).await;
                ends.await;
                self.signal_nodes(&targets, Signal::CONT).await;
            }
            FaultKind::DiscoverySlow => {
                let usual = Duration::from_secs_f64(self.scenario.fleet.discovery_call_s);
                self.fleet.set_poll_duration(usual.mul_f64(fault.factor.unwrap_or(1.0)));
                ends.await;
                self.fleet.set_poll_duration(usual);
            }
            FaultKind::DiscoveryLinkCut
            | FaultKind::DiscoveryLinkRefused
            | FaultKind::DiscoveryLinkReset
            | FaultKind::DiscoveryLinkSlow
            | FaultKind::WorkerLinkCut
            | FaultKind::WorkerLinkReset
            | FaultKind::WorkerLinkSlow => {
                self.change_links(fault.kind, &targets, true);
                ends.await;
                self.change_links(fault.kind, &targets, false);
            }
            FaultKind::NodeDrain => {
                join_all(targets.iter().map(|node| self.drain_node(*node, until))).await;
            }
            FaultKind::Maintenance => {
                let length = Duration::from_secs_f64(fault.for_s.unwrap_or_default());
                join_all(targets.iter().map(|worker| self.maintain_worker(*worker, length))).await;
            }
            FaultKind::Upgrade | FaultKind::KillInUpgrade => {
                let plan = |node: &usize| {
                    UpgradePlan::draw(&self.scenario, &fault, &format!("upgrade-{nth}-{node}"))
                };
                join_all(targets.iter().map(|node| self.upgrade(*node, plan(node)))).await;
            }
        }
        self.log.record(Event::Fault { description: words("ends") });
    }

    async fn signal_nodes(&self, nodes: &[usize], signal: Signal) {
        for number in nodes {
            if let Some(node) = &self.nodes[*number].lock().await.node {
                node.signal(signal);
            }
        }
    }

    /// Begins a fault of links, or ends it.
    fn change_links(&self, kind: FaultKind, targets: &[usize], begins: bool) {
        let links = match kind {
            FaultKind::WorkerLinkCut | FaultKind::WorkerLinkReset | FaultKind::WorkerLinkSlow => {
                &self.fleet.links.workers
            }
            _ => &self.fleet.links.discovery,
        };
        let change = |link: &mut LinkState| match (kind, begins) {
            (FaultKind::DiscoveryLinkCut | FaultKind::WorkerLinkCut, true) => link.is_cut = true,
            (FaultKind::DiscoveryLinkCut | FaultKind::WorkerLinkCut, false) => link.heal(),
            (FaultKind::DiscoveryLinkRefused, true) => link.refuse(),
            (FaultKind::DiscoveryLinkRefused, false) => link.is_refusing = false,
            (FaultKind::DiscoveryLinkReset | FaultKind::WorkerLinkReset, true) => link.resets += 1,
            (FaultKind::DiscoveryLinkSlow | FaultKind::WorkerLinkSlow, begins) => {
                link.in_pieces = begins;
                link.answer_delay = if begins { ANSWER_DELAY } else { Duration::ZERO };
            }
            _ => {}
        };
        targets.iter().for_each(|target| links[*target].send_modify(change));
    }

    /// Ends a node; the front hears of it in its own time.
    async fn end_node(&self, mut node: Node, kill: bool, heard: bool) {
        let number = node.spec.number;
        let hears = async {
            sleep(if kill { FRONT_HEARS_DEATH } else { FRONT_HEARS_END }).await;
            self.front.admit(number, false);
        };
        let ends = async {
            if kill {
                let _ = node.child.kill().await;
                return self.log.record(Event::NodeExited { node: number, killed: true });
            }
            self.log.record(Event::NodeTerminated { node: number });
            node.signal(Signal::TERM);
            let longest = self.scenario.classes.iter().map(|class| class.timeout_s).fold(0.0, f64::max);
            let last = Instant::now() + KILL_AT_LEAST.max(Duration::from_secs_f64(longest)) + KILL_GRACE;
            let ended = timeout_at(last, node.child.wait()).await;
            match ended {
                Ok(Ok(status)) if status.success() => {}
                Ok(status) => {
                    let lines = node.last_lines().join("\n    ");
                    self.crashed(format!(
                        "node {number} ended badly, {status:?}; its last lines:\n    {lines}"
                    ));
                }
                Err(_) => {
                    let _ = node.child.kill().await;
                    self.crashed(format!(
                        "node {number} did not end by itself after SIGTERM, and was killed"
                    ));
                    return self.log.record(Event::NodeExited { node: number, killed: true });
                }
            }
            self.log.record(Event::NodeExited { node: number, killed: false });
        };
        if heard {
            // Its place is taken by its next process only once the front has heard of the end of this one.
            tokio::join!(hears, ends);
        } else {
            ends.await;
        }
    }

    /// Ends all nodes, and looks whether each that should be there still serves.
    async fn end(&self, interrupted: bool) {
        join_all((0..self.nodes.len()).map(|number| self.end_checked(number, interrupted))).await;
    }

    async fn end_checked(&self, number: usize, interrupted: bool) {
        let Some(node) = self.nodes[number].lock().await.node.take() else { return };
        if !interrupted && check_readiness(node.address).await != Readiness::Yes {
            self.crashed(format!("node {number} is not ready at the end of the load"));
        }
        for violation in nonzero_violation_counters(node.address).await {
            self.crashed(format!("node {number} has counted a violation: {violation}"));
        }
        let _ = timeout(Duration::from_secs(40), self.end_node(node, interrupted, false)).await;
    }
}
