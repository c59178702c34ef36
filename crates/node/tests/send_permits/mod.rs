//! Check before the first byte of an attempt: nothing is sent to a draining or disabled worker, or for a
//! client that has disconnected.

use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::common::{
    COMPLETION_FIELDS, Client, FullBacklogWorker, Node, ScriptedServer, ScriptedWatch, TEST_TIMEOUT,
    callback_request, close_and_wait_for_arrival, node_config_with_long_timeouts, read_response,
    send_admin_command, wait_for_counter, wait_for_unread_bytes,
};

/// Time after which a connection to a worker is reusable. The node's reuse delay after a response is 30 ms.
const REUSE_DELAY: Duration = Duration::from_millis(40);
/// Duration for which a node may be stalled at any time.
const STALL_DURATION: Duration = Duration::from_millis(150);
const LIST_CHANGES: &str = "curlewusher_transport_map_changes_total";
const DISCONNECTED_CLIENTS: &str = "curlewusher_clients_gone_total";
const NEVER_SENT: &str = r#"curlewusher_delivery_attempts_ended_total{outcome="never_sent"}"#;

/// Starts a node with `worker` as its only endpoint. Its connect timeout is longer than any test, so that no
/// attempt ends because a connection is not established.
fn start_node(worker: &FullBacklogWorker) -> (Node, ScriptedWatch, ScriptedServer) {
    Node::start_with_endpoints(&[worker.endpoint_json("in_service")], 1024, |discovery, endpoints| {
        let config = node_config_with_long_timeouts(discovery, endpoints);
        config.replacen('{', r#"{"console":"127.0.0.1:0","#, 1)
    })
}

/// Submits a job and waits until the node begins to connect to its worker.
fn submit_connecting_job(node: &Node) -> TcpStream {
    let client = node.submit_job("r1", "order", 600.0);
    wait_for_counter(node, "curlewusher_next_hop_connections_total", 1);
    client
}

/// Asserts that the job is sent to `other`, and that no connection is established to `worker`.
fn assert_job_is_sent_to(other: &ScriptedServer, worker: &FullBacklogWorker, node: &Node, client: TcpStream) {
    let started = Instant::now();
    let request = loop {
        assert!(
            worker.try_accept().is_none(),
            "a connection was established to a worker that must not receive the job"
        );
        if let Some(request) = other.try_next_request() {
            break request;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "the job was sent to neither worker");
        std::thread::yield_now();
    };
    assert_eq!(request.message.header("x-request-id"), Some("r1"));
    node.serve_job(client, &request, "r1", "s-2");
    assert_eq!(node.counter(NEVER_SENT), 1);
}

/// Connects a client and waits until the node has accepted the connection, so that the events of several such
/// clients are handled in order.
fn connect_accepted_client(node: &Node) -> Client {
    let mut client = Client::connect(node.address);
    client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    client
}

/// Returns the callback with which the worker `s-1` completes a job.
fn completion_request(id: &str) -> String {
    callback_request(&format!(r#"{{"id":"{id}","from":"s-1",{COMPLETION_FIELDS}}}"#))
}

#[test]
fn worker_drains_while_connecting_then_job_is_sent_to_another_worker() {
    for status in ["terminating", "terminated", "not in the list", "in_service"] {
        let (worker, other) = (FullBacklogWorker::start(), ScriptedServer::start());
        let (node, watch, _discovery) = start_node(&worker);
        let client = submit_connecting_job(&node);
        let changes = node.counter(LIST_CHANGES);
        let second = other.endpoint_json("s-2", "in_service");
        match status {
            "not in the list" => watch.send_endpoints(43, true, &[second]),
            _ => watch.send_endpoints(43, false, &[worker.endpoint_json(status), second]),
        }
        wait_for_counter(&node, LIST_CHANGES, changes + 1);
        if status == "in_service" {
            // In this case an operator disables the worker.
            assert_eq!(send_admin_command(node.admin_address(), "DISABLE s-1\n"), "+OK");
        }
        worker.drain_backlog();
        assert_job_is_sent_to(&other, &worker, &node, client);
        // Once the node has exited, it has opened all its connections.
        node.signal("-TERM");
        assert!(node.wait_for_exit().status.success());
        assert!(worker.try_accept().is_none(), "{status}");
    }
}

#[test]
fn drain_and_connection_arrive_together_then_nothing_is_sent_to_draining_worker() {
    // The node handles the connection first: the connection's task already holds the request when the node
    // reads the list.
    let (worker, other) = (FullBacklogWorker::start(), ScriptedServer::start());
    let (node, watch, _discovery) = start_node(&worker);
    let client = submit_connecting_job(&node);
    let paused = node.pause();
    watch.send_endpoints(
        43,
        false,
        &[worker.endpoint_json("terminating"), other.endpoint_json("s-2", "in_service")],
    );
    worker.drain_backlog();
    let mut stream = worker.accept();
    drop(paused);
    assert_eq!(
        stream.read(&mut [0; 64]).expect("reading from the connection failed"),
        0,
        "a request was sent to a draining worker"
    );
    assert_job_is_sent_to(&other, &worker, &node, client);
}

#[test]
fn client_disconnects_as_connection_is_established_then_nothing_is_sent() {
    let worker = FullBacklogWorker::start();
    let (node, watch, discovery) = start_node(&worker);
    let _heartbeats = watch.keep_alive(discovery);
    let mut callback_clients: Vec<_> = (0..300).map(|_| connect_accepted_client(&node)).collect();
    let client = submit_connecting_job(&node);
    let paused = node.pause();
    // The notice of the disconnect is queued behind more callbacks than the dispatch task handles in one
    // turn.
    for client in &mut callback_clients {
        client.send(&completion_request("r0"));
    }
    wait_for_unread_bytes(callback_clients.iter().map(Client::stream));
    close_and_wait_for_arrival(client);
    worker.drain_backlog();
    let mut stream = worker.accept();
    drop(paused);
    assert_eq!(
        stream.read(&mut [0; 64]).expect("reading from the connection failed"),
        0,
        "a request was sent although its client has disconnected"
    );
    wait_for_counter(&node, DISCONNECTED_CLIENTS, 1);
}

/// Waits for a log line with this event and returns the lines up to and including it.
fn log_lines_until(node: &Node, event: &str) -> Vec<String> {
    let mut lines = vec![node.next_log_line()];
    while !lines.last().is_some_and(|line| line.contains(event)) {
        lines.push(node.next_log_line());
    }
    lines
}

/// Disconnects a client while the node is stalled, right before the node would send the client's job. Returns
/// `false` if the node had read the completion of the other job before the stall, so that the job was sent
/// while its client was still connected.
fn disconnect_client_during_stall() -> bool {
    let (worker, discovery) = (ScriptedServer::start(), ScriptedServer::start());
    let endpoints = [worker.endpoint_json("s-1", "in_service")];
    let config = node_config_with_long_timeouts(discovery.address, &endpoints);
    let operator = "[log]\nlevel = \"debug\"\n[next_hop]\nreuse_ms = 60000\n";
    let node = Node::start_with_operator_file(&config, operator);
    let _heartbeats = ScriptedWatch::open_with_endpoints(&discovery, &endpoints).keep_alive(discovery);
    let mut callbacks = connect_accepted_client(&node);
    let first = node.submit_job("r1", "order", 600.0);
    let second = node.submit_job("r2", "view", 600.0);
    wait_for_counter(&node, "curlewusher_jobs_taken_total", 2);
    // The connection is idle from the 202 on, so that r2 needs no new connection. The completion of r1 makes
    // the worker available for r2.
    worker.next_request().accept();
    std::thread::sleep(REUSE_DELAY);
    let paused = node.pause_with_events(|| {
        callbacks.send(&completion_request("r1"));
        wait_for_unread_bytes([callbacks.stream()]);
    });
    close_and_wait_for_arrival(second);
    std::thread::sleep(STALL_DURATION);
    drop(paused);
    assert_eq!(read_response(first).status(), 200);
    let lines = log_lines_until(&node, "client disconnected request_id=r2");
    let position = |event: &str| lines.iter().position(|line| line.contains(event));
    let resumed_at = position("configuration reloaded").expect("the node was not stalled");
    if position("attempt sent request_id=r2").is_some_and(|sent_at| sent_at < resumed_at) {
        return false;
    }
    assert!(!worker.has_pending_request(), "an attempt began 0.1 s after its client had disconnected");
    true
}

#[test]
fn client_disconnects_while_node_is_stalled_before_write_then_nothing_is_sent() {
    // Guards against attempts for clients whose disconnect has arrived but has not been read by the node,
    // as in seed 218 of `randomized_lifecycle`.
    let is_conclusive = (0..20).any(|_| disconnect_client_during_stall());
    assert!(is_conclusive, "in all runs the node read the callback before it was stalled");
}

#[test]
fn client_disconnects_as_its_job_is_dequeued_then_no_attempt_begins() {
    // The worker runs the first job, and the second job is queued. The callback that makes the worker
    // available arrives before the client of the second job disconnects.
    let worker = ScriptedServer::start();
    let (node, watch, discovery) =
        Node::start_with_config(&[("s-1", &worker)], node_config_with_long_timeouts);
    let _heartbeats = watch.keep_alive(discovery);
    let first = node.submit_accepted_job(&worker, "r1", "order", 600.0);
    node.post_callback("r1", "s-1", r#""state":"started""#);
    let second = node.submit_job("r2", "order", 600.0);
    wait_for_counter(&node, "curlewusher_jobs_taken_total", 2);
    let mut callbacks = connect_accepted_client(&node);
    let paused = node.pause();
    callbacks.send(&completion_request("r1"));
    wait_for_unread_bytes([callbacks.stream()]);
    close_and_wait_for_arrival(second);
    drop(paused);
    assert_eq!(read_response(first).status(), 200);
    wait_for_counter(&node, DISCONNECTED_CLIENTS, 1);
    assert_eq!(
        (node.counter("curlewusher_delivery_attempts_total"), node.counter(NEVER_SENT)),
        (1, 1),
        "an attempt began although its client had disconnected"
    );
    assert!(!worker.has_pending_request());
}
