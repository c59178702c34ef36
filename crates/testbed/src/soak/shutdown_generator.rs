//! Random shutdowns of a soak run, generated from its seed, and the faults that overlap them: series of
//! signals, idle clients, and outages of discovery.

use curlewusher_model::workload::random_stream;
use rand::Rng;
use rand::seq::SliceRandom;

use super::SoakRun;
use crate::scenario::{Fault, FaultKind, Scenario, SplitRequests};
use crate::shared_classes::{ClassTimeouts, set_timeouts};

/// Earliest time at which a shutdown begins, in seconds, so that clients have open connections by then.
const FIRST_SHUTDOWN_S: f64 = 1.5;
/// Length of the last part of the run, in seconds, in which no shutdown begins. SIGKILL may follow SIGTERM
/// after 3.7 s, and the node starts again.
const LAST_SHUTDOWN_MARGIN_S: f64 = 6.0;
/// Maximum downtime of a node, in seconds.
const MAX_DOWNTIME_S: f64 = 0.5;
/// Maximum number of nodes whose shutdowns overlap.
const MAX_OVERLAPPING_SHUTDOWNS: usize = 3;
/// Duration for which idle clients stay connected, in seconds. They connect up to 1 s before the shutdown,
/// and the duration is long enough for them to be connected at its end.
const IDLE_CLIENTS_DURATION_S: f64 = 3.5;
/// Maximum duration of an outage of discovery that overlaps a shutdown, in seconds.
const MAX_OUTAGE_S: f64 = 3.0;
/// Probability that idle clients connect at a shutdown, in a run with idle clients.
const IDLE_CLIENTS_PROBABILITY: f64 = 0.4;
/// Probability that an outage of discovery overlaps a shutdown.
const OUTAGE_PROBABILITY: f64 = 0.25;
/// Probability that a random node gets a series of SIGHUP at the time of a shutdown.
const RELOAD_PROBABILITY: f64 = 0.5;
/// File descriptors that a node may use in a run with idle clients.
const REDUCED_DESCRIPTOR_LIMIT: usize = 256;
/// Divisor of the seeds whose runs have idle clients, which makes it one run in three.
const IDLE_CLIENTS_SEED_DIVISOR: u64 = 3;
/// Clients' timeouts that are short enough for SIGKILL to follow SIGTERM as early as possible, after 3.7 s.
const SHORT_TIMEOUTS: ClassTimeouts =
    ClassTimeouts { scan_view_s: 2.0, sample_register_s: 2.5, release_order_s: 3.0 };
/// Requests that clients write in two parts. An ordinary client takes up to 2 s to write a request.
const SPLIT_REQUESTS: SplitRequests = SplitRequests { share: 0.3, pause_s: 1.3 };
/// Fraction of jobs behind whose request the client writes another request at once.
const PIPELINED_SHARE: f64 = 0.1;

/// Adds shutdowns to a scenario, and makes clients keep using their connections while nodes shut down.
pub(super) fn add_shutdowns(soak: SoakRun, scenario: &mut Scenario) {
    let mut random = random_stream(soak.seed, "shutdowns");
    scenario.load.split = Some(SPLIT_REQUESTS);
    scenario.load.pipelined = Some(PIPELINED_SHARE);
    set_timeouts(scenario, SHORT_TIMEOUTS);
    let has_idle_clients = soak.seed.is_multiple_of(IDLE_CLIENTS_SEED_DIVISOR);
    if has_idle_clients {
        scenario.nodes.descriptors = REDUCED_DESCRIPTOR_LIMIT;
    }
    for _ in 0..soak.shutdowns {
        scenario.faults.extend(generate_shutdown(soak, has_idle_clients, &mut random));
    }
    scenario.faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
}

/// Generates a shutdown of some nodes, and the faults that overlap it.
fn generate_shutdown(soak: SoakRun, has_idle_clients: bool, random: &mut impl Rng) -> Vec<Fault> {
    let latest_s = (soak.length_s - LAST_SHUTDOWN_MARGIN_S).max(FIRST_SHUTDOWN_S + 0.5);
    let at_s = random.random_range(FIRST_SHUTDOWN_S..latest_s);
    let mut nodes: Vec<usize> = (0..soak.nodes).collect();
    nodes.shuffle(random);
    nodes.truncate(random.random_range(1..=MAX_OVERLAPPING_SHUTDOWNS.min(soak.nodes.div_ceil(4))));
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
            for_s: Some(IDLE_CLIENTS_DURATION_S),
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
