//! The shutdowns of a soak run and what overlaps them, drawn from its seed: series of signals, idle clients,
//! outages of discovery.

use curlewusher_model::workload::random_stream;
use rand::Rng;
use rand::seq::SliceRandom;

use super::Soak;
use crate::scenario::{Fault, FaultKind, Scenario, SplitRequests};
use crate::shared_classes::{ClassTimeouts, set_timeouts};

/// No shutdown begins before this moment, so that clients hold connections.
const FIRST_SHUTDOWN_S: f64 = 1.5;
/// No shutdown begins in the last part of the run: SIGKILL may come 3.7 s after SIGTERM, and the node starts again.
const LAST_SHUTDOWN_MARGIN_S: f64 = 6.0;
/// The longest downtime of a node.
const MAX_DOWNTIME_S: f64 = 0.5;
/// The most nodes whose shutdowns overlap.
const MAX_OVERLAPPING: usize = 3;
/// How long idle clients stay; they come up to a second before the shutdown, and so that they are there at its end.
const IDLE_CLIENTS_S: f64 = 3.5;
/// The longest outage of discovery beside a shutdown.
const MAX_OUTAGE_S: f64 = 3.0;
/// Probabilities of what comes beside a shutdown.
const IDLE_CLIENTS_PROBABILITY: f64 = 0.4;
const OUTAGE_PROBABILITY: f64 = 0.25;
const RELOAD_PROBABILITY: f64 = 0.5;
/// Descriptors of a node in a run with idle clients.
const SCARCE_DESCRIPTORS: usize = 256;
/// Every third run has idle clients.
const RUNS_PER_RUN_WITH_IDLE_CLIENTS: u64 = 3;
/// Clients' timeouts with which SIGKILL comes at the earliest moment, 3.7 s after SIGTERM.
const SHORT_TIMEOUTS: ClassTimeouts =
    ClassTimeouts { scan_view_s: 2.0, sample_register_s: 2.5, release_order_s: 3.0 };
/// Requests that clients write in two parts; an ordinary client takes up to 2 s for a request.
const SPLIT_REQUESTS: SplitRequests = SplitRequests { share: 0.3, pause_s: 1.3 };
const PIPELINED_SHARE: f64 = 0.1;

/// Adds shutdowns to a scenario, and clients that keep using their connections while nodes shut down.
pub(super) fn add_shutdowns(soak: Soak, scenario: &mut Scenario) {
    let mut random = random_stream(soak.seed, "shutdowns");
    scenario.load.split = Some(SPLIT_REQUESTS);
    scenario.load.pipelined = Some(PIPELINED_SHARE);
    set_timeouts(scenario, SHORT_TIMEOUTS);
    let has_idle_clients = soak.seed.is_multiple_of(RUNS_PER_RUN_WITH_IDLE_CLIENTS);
    if has_idle_clients {
        scenario.nodes.descriptors = SCARCE_DESCRIPTORS;
    }
    for _ in 0..soak.shutdowns {
        scenario.faults.extend(draw_shutdown(soak, has_idle_clients, &mut random));
    }
    scenario.faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
}

/// A shutdown of some nodes, and the faults that overlap it.
fn draw_shutdown(soak: Soak, has_idle_clients: bool, random: &mut impl Rng) -> Vec<Fault> {
    let last_s = (soak.length_s - LAST_SHUTDOWN_MARGIN_S).max(FIRST_SHUTDOWN_S + 0.5);
    let at_s = random.random_range(FIRST_SHUTDOWN_S..last_s);
    let mut nodes: Vec<usize> = (0..soak.nodes).collect();
    nodes.shuffle(random);
    nodes.truncate(random.random_range(1..=MAX_OVERLAPPING.min(soak.nodes.div_ceil(4))));
    let mut faults = vec![Fault {
        at_s,
        for_s: Some(random.random_range(0.0..MAX_DOWNTIME_S)),
        targets: nodes.clone(),
        ..Fault::of_kind(FaultKind::NodeStopSignals)
    }];
    if has_idle_clients && random.random_bool(IDLE_CLIENTS_PROBABILITY) {
        let at_s = at_s - random.random_range(0.0..1.0);
        let targets = vec![nodes[0]];
        faults.push(Fault {
            at_s,
            for_s: Some(IDLE_CLIENTS_S),
            targets,
            ..Fault::of_kind(FaultKind::IdleClients)
        });
    }
    if random.random_bool(OUTAGE_PROBABILITY) {
        let at_s = at_s - random.random_range(0.0..1.0);
        let for_s = Some(random.random_range(0.0..MAX_OUTAGE_S));
        faults.push(Fault { at_s, for_s, ..Fault::of_kind(FaultKind::DiscoveryDown) });
    }
    if random.random_bool(RELOAD_PROBABILITY) {
        let targets = vec![random.random_range(0..soak.nodes)];
        faults.push(Fault { at_s, for_s: Some(0.0), targets, ..Fault::of_kind(FaultKind::ReloadSeries) });
    }
    faults
}
