//! Owns what operators do to nodes that are in service: upgrades, drains and maintenance, each in the order
//! in which the page on day-to-day service has it. It must never judge how a node took it.

use std::net::SocketAddr;
use std::time::Duration;

use curlewusher_model::workload::random_stream;
use rand::Rng;
use rustix::process::Signal;
use tokio::time::{Instant, sleep, sleep_until};

use crate::console::{Said, call, free_place};
use crate::event_log::{Event, ExpectedAnswer};
use crate::fleet::{Order, name_of};
use crate::nodes::{Node, Place};
use crate::play::{KILL_AT_LEAST, KILL_GRACE, Stage};
use crate::scenario::{Fault, FaultKind, LONGEST_DELAY_S, Scenario, Whom};

/// A newer process says yes to READY within this.
pub const READY_WITHIN: Duration = Duration::from_secs(6);
/// It is asked so often until then.
const ASK_AGAIN: Duration = Duration::from_millis(50);
/// After the call of a drain, clients have left the node by now.
pub const LEFT_WITHIN: Duration = Duration::from_secs(4);
/// A worker in maintenance is down for this.
const RESTART: Duration = Duration::from_millis(500);
/// A kill in an upgrade comes before the longest wait for SIGTERM is over, or up to this later.
const KILL_AFTER_DELAY_S: f64 = 1.0;

/// What is drawn for an upgrade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// From the yes of the newer process to SIGTERM for the older one.
    pub delay: Duration,
    /// Who is killed, so long after the start of the newer process.
    pub kill: Option<(Whom, Duration)>,
}

impl Plan {
    /// Draws it from the scenario's seed; the concern keeps upgrades apart.
    pub fn draw(scenario: &Scenario, fault: &Fault, concern: &str) -> Plan {
        let mut random = random_stream(scenario.seed, concern);
        let delay_s = random.random::<f64>() * fault.delay_s.unwrap_or(LONGEST_DELAY_S);
        let kill_s = random.random::<f64>() * (delay_s + KILL_AFTER_DELAY_S);
        let drawn = if random.random() { Whom::Older } else { Whom::Newer };
        let kill = (fault.kind == FaultKind::KillInUpgrade)
            .then(|| (fault.whom.unwrap_or(drawn), Duration::from_secs_f64(kill_s)));
        Plan { delay: Duration::from_secs_f64(delay_s), kill }
    }
}

/// An upgrade under way.
struct Upgrade {
    older: Option<Node>,
    newer: Option<Node>,
    ready: bool,
    /// When the newer process must have said yes.
    late: Option<Instant>,
    /// When SIGTERM is sent, and when SIGKILL.
    term: Option<Instant>,
    kill: Option<Instant>,
    /// The kill that the scenario wants, and whom it has hit.
    wanted: Option<(Whom, Instant)>,
    hit: Option<Whom>,
}

/// Waits for the end of a process; for ever where there is none.
async fn end(node: &mut Option<Node>) -> Option<std::process::ExitStatus> {
    match node {
        Some(node) => node.child.wait().await.ok(),
        None => std::future::pending().await,
    }
}

async fn moment(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl Stage {
    /// Makes a call to a node and writes down how it went. In an upgrade the newer process is called once it
    /// is ready.
    pub async fn operate(&self, node: usize, line: &str, owed: ExpectedAnswer) -> Option<Said> {
        let console = self.nodes[node].lock().await.console?;
        Some(self.operate_at(console, node, line, owed).await)
    }

    async fn operate_at(&self, console: SocketAddr, node: usize, line: &str, owed: ExpectedAnswer) -> Said {
        let said = call(console, line).await;
        // A process that was started a moment ago does not listen yet; no call was made.
        if !(said.refused && owed == ExpectedAnswer::Either) {
            let (call, line, took_us) = (line.to_owned(), said.line.clone(), said.took_us);
            self.log.record(Event::AdminCommandEnded {
                node,
                command: call,
                expected: owed,
                answer: line,
                took_us,
            });
        }
        said
    }

    /// Drains a node, notes 4 s later what clients hold open to it, and ends the drain.
    pub async fn node_drain(&self, node: usize, until: Option<Instant>) {
        let begin = Instant::now();
        self.operate(node, "DRAIN", ExpectedAnswer::Yes).await;
        if until.is_some_and(|until| until > begin + LEFT_WITHIN) {
            sleep_until(begin + LEFT_WITHIN).await;
            let (idle, fresh) = self.front.links.standing(node);
            self.log.record(Event::ConnectionsCounted { node, idle, fresh });
        }
        moment(until).await;
        self.operate(node, "UNDRAIN", ExpectedAnswer::Yes).await;
    }

    /// Calls a worker out on all nodes, twice, since calls out may be repeated; starts it again half way;
    /// calls it back.
    pub async fn maintain(&self, worker: usize, length: Duration) {
        let begin = Instant::now();
        let (out, back) = (format!("DISABLE {}", name_of(worker)), format!("ENABLE {}", name_of(worker)));
        self.all_nodes(&out).await;
        sleep_until(begin + length / 4).await;
        self.all_nodes(&out).await;
        sleep_until(begin + length / 2).await;
        self.fleet.order(Order::Kill(worker));
        sleep(RESTART.min(length / 4)).await;
        self.fleet.order(Order::Start(worker));
        sleep_until(begin + length).await;
        self.all_nodes(&back).await;
    }

    async fn all_nodes(&self, line: &str) {
        join_all((0..self.nodes.len()).map(|node| self.operate(node, line, ExpectedAnswer::Yes))).await;
    }

    /// Starts a newer process beside a node's own, and ends the older one once that is ready.
    pub async fn upgrade(&self, node: usize, plan: Plan) {
        let begin = Instant::now();
        let older = {
            let mut held = self.nodes[node].lock().await;
            let Some(older) = held.node.take() else {
                return self.crashed(format!("node {node} was not there to be upgraded"));
            };
            held.processes = older.child.id().into_iter().collect();
            older
        };
        self.log.record(Event::UpgradeBegan { node });
        let place = Place {
            version: older.place.version + 1,
            listen: older.address,
            console: Some(free_place()),
            ..older.place.clone()
        };
        let started = Node::spawn(&self.program, &self.scenario, place);
        let newer = started.map_err(|problem| self.crashed(problem)).ok();
        self.nodes[node].lock().await.processes.extend(newer.as_ref().and_then(|newer| newer.child.id()));
        let mut upgrade = Upgrade {
            older: Some(older),
            newer,
            ready: false,
            late: Some(begin + READY_WITHIN),
            term: None,
            kill: None,
            wanted: plan.kill.map(|(whom, after)| (whom, begin + after)),
            hit: None,
        };
        let address = upgrade.older.as_ref().map(|older| older.address);
        while upgrade.older.is_some() && upgrade.newer.is_some()
            || upgrade.newer.is_some() && !upgrade.ready
            || upgrade.older.is_some() && upgrade.kill.is_some()
            // Whoever was killed ends in a moment, and is no process to go on with.
            || upgrade.hit == Some(Whom::Newer) && upgrade.newer.is_some()
            || upgrade.hit == Some(Whom::Older) && upgrade.older.is_some()
        {
            self.step(node, &mut upgrade, plan).await;
        }
        let mut held = self.nodes[node].lock().await;
        held.processes.clear();
        held.node = upgrade.newer.or(upgrade.older);
        held.console = held.node.as_ref().and_then(|node| node.place.console);
        let gone = held.node.is_none();
        drop(held);
        if let (true, Some(address)) = (gone, address) {
            // Both are gone: the platform starts the node anew.
            self.log.record(Event::NodeExited { node, killed: upgrade.hit.is_some() });
            if let Err(problem) = self.start_node(node, address).await {
                self.crashed(problem);
            }
        }
        self.log.record(Event::UpgradeEnded { node });
    }

    /// The next thing that happens in an upgrade.
    async fn step(&self, node: usize, upgrade: &mut Upgrade, plan: Plan) {
        let newer_console = upgrade.newer.as_ref().and_then(|newer| newer.place.console);
        let ask = async {
            match newer_console {
                Some(console) if !upgrade.ready => {
                    sleep(ASK_AGAIN).await;
                    self.operate_at(console, node, "READY", ExpectedAnswer::Either).await.yes()
                }
                _ => std::future::pending().await,
            }
        };
        let (wanted, late, term, kill) =
            (upgrade.wanted.map(|(_, at)| at), upgrade.late, upgrade.term, upgrade.kill);
        tokio::select! {
            status = end(&mut upgrade.older) => {
                let killed = upgrade.hit == Some(Whom::Older);
                let left = upgrade.ready && status.is_some_and(|status| status.success());
                self.gone(node, upgrade.older.take(), Whom::Older, killed, killed || left);
                (upgrade.term, upgrade.kill) = (None, None);
            }
            status = end(&mut upgrade.newer) => {
                let _ = status;
                let killed = upgrade.hit == Some(Whom::Newer);
                // Whatever it says of itself: a newer process that ends has crashed.
                self.gone(node, upgrade.newer.take(), Whom::Newer, killed, killed);
                upgrade.late = None;
                // Without a newer one, the older one is not told to end; one that was told already is seen
                // through.
                upgrade.term = None;
                let console = upgrade.older.as_ref().and_then(|older| older.place.console);
                self.nodes[node].lock().await.console = console;
            }
            yes = ask => if yes {
                self.log.record(Event::SuccessorReady { node });
                upgrade.ready = true;
                upgrade.late = None;
                upgrade.term = upgrade.older.as_ref().map(|_| Instant::now() + plan.delay);
                self.nodes[node].lock().await.console = newer_console;
            },
            () = moment(wanted) => {
                let (whom, _) = upgrade.wanted.take().expect("its moment has come");
                let victim = match whom {
                    Whom::Older => &upgrade.older,
                    Whom::Newer => &upgrade.newer,
                };
                if let Some(victim) = victim {
                    victim.signal(Signal::KILL);
                    upgrade.hit = Some(whom);
                }
            }
            () = moment(term) => {
                upgrade.term = None;
                upgrade.kill = Some(Instant::now() + KILL_AT_LEAST + KILL_GRACE);
                upgrade.older.iter().for_each(|older| older.signal(Signal::TERM));
            }
            () = moment(kill) => {
                upgrade.kill = None;
                if let Some(mut older) = upgrade.older.take() {
                    let _ = older.child.kill().await;
                    self.crashed(older.failed("did not end by itself within 3.7 s of SIGTERM, and was killed"));
                    self.log.record(Event::ProcessExited { node, is_successor: false, killed: false });
                }
            }
            () = moment(late) => {
                upgrade.late = None;
                if let Some(mut newer) = upgrade.newer.take() {
                    let _ = newer.child.kill().await;
                    self.crashed(newer.failed("did not say yes to READY within 6 s in an upgrade"));
                    self.log.record(Event::ProcessExited { node, is_successor: true, killed: true });
                }
            }
        }
    }

    fn gone(&self, node: usize, process: Option<Node>, whom: Whom, killed: bool, fine: bool) {
        self.log.record(Event::ProcessExited { node, is_successor: whom == Whom::Newer, killed });
        if let Some(process) = process.filter(|_| !fine) {
            let why = match whom {
                Whom::Older => "ended badly, or before its newer process was ready",
                Whom::Newer => "ended by itself as the newer process of an upgrade",
            };
            self.crashed(process.failed(why));
        }
    }
}

/// Waits for all of them together.
pub async fn join_all<F: Future>(all: impl Iterator<Item = F>) {
    let mut open: Vec<_> = all.map(Box::pin).collect();
    std::future::poll_fn(|cx| {
        open.retain_mut(|one| one.as_mut().poll(cx).is_pending());
        if open.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}
