//! CPU time of a node in situations in which a faulty loop could spin without waiting.
//!
//! The operators' test bench once reported a thread that had not waited for 20 s. Each test covers one
//! possible cause.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Node, ScriptedServer, ScriptedWatch, endpoint_json, job_request, node_config, open_request, wait_until,
};

/// Period over which the CPU time of a node is measured.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(2);
/// Interval at which a client sends one more byte of an incomplete request.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);
/// Unit of the times in `/proc/PID/stat`. Linux counts 100 ticks per second there.
const TICK: Duration = Duration::from_millis(10);
/// Positions of the user time and the system time among the fields of `/proc/PID/stat` that follow the
/// process name, which ends with a parenthesis.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// Returns the CPU time that a node has used so far.
fn cpu_time(node: &Node) -> Duration {
    let stat =
        std::fs::read_to_string(format!("/proc/{}/stat", node.pid())).expect("the node is not running");
    let (_, fields) = stat.rsplit_once(')').expect("the process name has no parenthesis");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = CPU_TIME_FIELDS
        .map(|position| fields[position].parse::<u32>().expect("the field is not a number of ticks"));
    TICK * ticks.iter().sum()
}

/// Asserts that a node uses less than half of one processor. A loop that never waits uses a whole one.
fn assert_no_busy_loop(node: &Node, situation: &str) {
    let (started, used_before) = (Instant::now(), cpu_time(node));
    thread::sleep(OBSERVATION_PERIOD);
    let used = cpu_time(node) - used_before;
    assert!(used < started.elapsed() / 2, "{situation}: {used:?} of CPU time in {:?}", started.elapsed());
}

#[test]
fn descriptors_run_out_and_no_connection_may_be_evicted_then_node_has_no_busy_loop() {
    // Guards against an accept loop that spins on connections that it cannot accept.
    let config = |discovery, endpoints: &[String]| node_config(discovery, endpoints).replace("1024", "64");
    let (node, _watch, _discovery) = Node::start_with_endpoints(&[], 64, config);
    // The endpoint list is empty, so every job stays pending.
    let jobs: Vec<_> = (0..100)
        .map(|number| open_request(node.address, &job_request(&format!("r{number}"), "view", 60.0, "")))
        .collect();
    assert_no_busy_loop(&node, "a hundred jobs are pending");
    drop(jobs);
}

#[test]
fn discovery_refuses_connections_then_node_has_no_busy_loop() {
    // Guards against polls that are repeated without a backoff.
    let (node, watch, discovery) = Node::start_with_workers(&[]);
    drop((watch, discovery));
    assert_no_busy_loop(&node, "discovery is down");
}

#[test]
fn requests_stay_incomplete_while_node_drains_then_node_has_no_busy_loop() {
    // Guards against a drain or a close that spins on the connections that it waits for.
    let (_worker, node, _watch, _discovery) = Node::start_with_worker();
    let request_start = "POST /api/k1 HTTP/1.1\r\nX-Filler: ";
    let clients: Vec<_> = (0..50).map(|_| open_request(node.address, request_start)).collect();
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    // The requests make progress until the node closes their connections.
    thread::spawn(move || {
        while clients.iter().all(|mut client| client.write_all(b"x").is_ok()) {
            thread::sleep(PROGRESS_INTERVAL);
        }
    });
    assert_no_busy_loop(&node, "the node is draining");
}

#[test]
fn worker_closes_each_connection_then_node_has_no_busy_loop() {
    // Guards against attempts and connections that are repeated without a backoff.
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("binding a port failed");
    let endpoints =
        [endpoint_json("s-1", listener.local_addr().expect("the listener has no address"), "in_service")];
    thread::spawn(move || listener.incoming().for_each(drop));
    let discovery = ScriptedServer::start();
    let node = Node::start(&node_config(discovery.address, &endpoints));
    let _watch = ScriptedWatch::open_with_endpoints(&discovery, &endpoints);
    let _jobs: Vec<TcpStream> =
        (0..20).map(|number| node.submit_job(&format!("r{number}"), "view", 60.0)).collect();
    wait_until("no attempt was sent", || node.counter("curlewusher_delivery_attempts_total") > 0);
    assert_no_busy_loop(&node, "the worker closes each connection");
}
