//! Processor time of a node in situations in which a loop could turn without waiting for anything.
//!
//! The operators' bench once reported that a thread had not waited for 20 s; each test here drives one suspect.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Node, ScriptedServer, ScriptedWatch, endpoint_json, job_request, node_config, open_request, wait_until,
};

/// How long a node is observed.
const OBSERVED: Duration = Duration::from_secs(2);
/// How often a client sends a byte of a request that makes progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);
/// Unit of the times in `/proc/PID/stat`: Linux counts 100 ticks a second there.
const TICK: Duration = Duration::from_millis(10);
/// Positions of the user and system times behind the name of the process, which ends with a parenthesis.
const USER_AND_SYSTEM_TIME: [usize; 2] = [11, 12];

/// Processor time that a node has used so far.
fn cpu_time(node: &Node) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.pid())).expect("it runs");
    let (_, fields) = stat.rsplit_once(')').expect("a name in parentheses");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = USER_AND_SYSTEM_TIME.map(|at| fields[at].parse::<u32>().expect("a number of ticks"));
    TICK * ticks.iter().sum()
}

/// Asserts that a node waits for most of the time: a loop that never waits uses up one processor.
fn assert_waits(node: &Node, situation: &str) {
    let (begun, used_before) = (Instant::now(), cpu_time(node));
    thread::sleep(OBSERVED);
    let used = cpu_time(node) - used_before;
    assert!(used < begun.elapsed() / 2, "{situation}: {used:?} of {:?}", begun.elapsed());
}

#[test]
fn descriptors_are_used_up_and_nothing_may_be_evicted_then_node_waits() {
    // Guards against a turn of the accept loop for each connection that it cannot accept.
    let config = |discovery, known: &[String]| node_config(discovery, known).replace("1024", "64");
    let (node, _watch, _discovery) = Node::start_with_endpoints(&[], 64, config);
    // No worker is known, so that each job waits.
    let jobs: Vec<_> = (0..100)
        .map(|number| open_request(node.address, &job_request(&format!("r{number}"), "view", 60.0, "")))
        .collect();
    assert_waits(&node, "a hundred jobs wait");
    drop(jobs);
}

#[test]
fn discovery_refuses_connections_then_node_waits() {
    // Guards against polls without a pause.
    let (node, watch, discovery) = Node::start_with_workers(&[]);
    drop((watch, discovery));
    assert_waits(&node, "discovery is down");
}

#[test]
fn requests_stay_incomplete_while_node_drains_then_node_waits() {
    // Guards against a turn of the drain or of the close for each connection that it waits for.
    let (_worker, node, _watch, _discovery) = Node::start_with_worker();
    let begin = "POST /api/k1 HTTP/1.1\r\nX-Filler: ";
    let clients: Vec<_> = (0..50).map(|_| open_request(node.address, begin)).collect();
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    // The requests make progress until the node closes their connections.
    thread::spawn(move || {
        while clients.iter().all(|mut client| client.write_all(b"x").is_ok()) {
            thread::sleep(PROGRESS_INTERVAL);
        }
    });
    assert_waits(&node, "a drain");
}

#[test]
fn worker_closes_each_connection_then_node_waits() {
    // Guards against attempts and connections without a pause.
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let known = [endpoint_json("s-1", listener.local_addr().expect("an address"), "in_service")];
    thread::spawn(move || listener.incoming().for_each(drop));
    let discovery = ScriptedServer::start();
    let node = Node::start(&node_config(discovery.address, &known));
    let _watch = ScriptedWatch::answer(&discovery, &known);
    let _jobs: Vec<TcpStream> =
        (0..20).map(|number| node.submit_job(&format!("r{number}"), "view", 60.0)).collect();
    wait_until("no attempt is made", || node.counter("curlewusher_delivery_attempts_total") > 0);
    assert_waits(&node, "a worker that closes its connections");
}
