//! The check before the first byte of an attempt: nothing is sent to a draining or disabled worker, or for a client that
//! has left.

use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::common::{
    COMPLETED, Client, FullBacklogWorker, Node, ScriptedServer, ScriptedWatch, TEST_TIMEOUT, call_operator,
    callback_request, close_and_wait_for_arrival, node_config_with_long_timeouts, read_response,
    wait_for_counter, wait_for_unread_bytes,
};

/// A connection to a worker rests for 30 ms after a response.
const COOL_DOWN: Duration = Duration::from_millis(40);
/// A node may be held up for this long at any moment.
const HOLD: Duration = Duration::from_millis(150);
const CHANGES: &str = "curlewusher_transport_map_changes_total";
const CLIENTS_GONE: &str = "curlewusher_clients_gone_total";
const NEVER_SENT: &str = r#"curlewusher_delivery_attempts_ended_total{outcome="never_sent"}"#;

/// A node that knows only `worker`. Connections may take longer to be established than any test, and no attempt is given
/// up for that.
fn start_node(worker: &FullBacklogWorker) -> (Node, ScriptedWatch, ScriptedServer) {
    Node::start_with_endpoints(&[worker.endpoint_json("in_service")], 1024, |discovery, known| {
        let config = node_config_with_long_timeouts(discovery, known);
        config.replacen('{', r#"{"console":"127.0.0.1:0","#, 1)
    })
}

/// Submits a job, and waits until the node connects to its worker.
fn submit_connecting_job(node: &Node) -> TcpStream {
    let client = node.submit_job("r1", "order", 600.0);
    wait_for_counter(node, "curlewusher_next_hop_connections_total", 1);
    client
}

/// Asserts that the job is sent to `other`, and that no connection is established to `worker`.
fn assert_job_goes_to(other: &ScriptedServer, worker: &FullBacklogWorker, node: &Node, client: TcpStream) {
    let begun = Instant::now();
    let got = loop {
        assert!(
            worker.try_accept().is_none(),
            "a connection is established though nothing may be sent there"
        );
        if let Some(got) = other.try_next_request() {
            break got;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "the job is sent to neither");
        std::thread::yield_now();
    };
    assert_eq!(got.message.header("x-request-id"), Some("r1"));
    node.serve_job(client, &got, "r1", "s-2");
    assert_eq!(node.counter(NEVER_SENT), 1);
}

/// A client whose connection the node has accepted, so that events of several such clients are handled in order.
fn connect_known_client(node: &Node) -> Client {
    let mut client = Client::connect(node.address);
    client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read_response().map(|answer| answer.status()), Some(200));
    client
}

/// The callback of the worker that completes a job.
fn completion_request(id: &str) -> String {
    callback_request(&format!(r#"{{"id":"{id}","from":"s-1",{COMPLETED}}}"#))
}

#[test]
fn worker_drains_while_connecting_then_job_is_sent_to_another_worker() {
    for status in ["terminating", "terminated", "not in the list", "in_service"] {
        let (worker, other) = (FullBacklogWorker::start(), ScriptedServer::start());
        let (node, watch, _discovery) = start_node(&worker);
        let client = submit_connecting_job(&node);
        let changes = node.counter(CHANGES);
        let second = other.endpoint_json("s-2", "in_service");
        match status {
            "not in the list" => watch.send_endpoints(43, true, &[second]),
            _ => watch.send_endpoints(43, false, &[worker.endpoint_json(status), second]),
        }
        wait_for_counter(&node, CHANGES, changes + 1);
        if status == "in_service" {
            // It is an operator who disables it.
            assert_eq!(call_operator(node.operator_address(), "DISABLE s-1\n"), "+OK");
        }
        worker.drain_backlog();
        assert_job_goes_to(&other, &worker, &node, client);
        // By its exit it has opened all its connections.
        node.signal("-TERM");
        assert!(node.wait_for_exit().status.success());
        assert!(worker.try_accept().is_none(), "{status}");
    }
}

#[test]
fn drain_and_connection_arrive_together_then_nothing_is_sent_to_draining_worker() {
    // The node handles the connection first: the request is with the connection's task when the list is read.
    let (worker, other) = (FullBacklogWorker::start(), ScriptedServer::start());
    let (node, watch, _discovery) = start_node(&worker);
    let client = submit_connecting_job(&node);
    let held = node.pause();
    watch.send_endpoints(
        43,
        false,
        &[worker.endpoint_json("terminating"), other.endpoint_json("s-2", "in_service")],
    );
    worker.drain_backlog();
    let mut stream = worker.accept();
    drop(held);
    assert_eq!(stream.read(&mut [0; 64]).expect("it is closed"), 0, "a request goes to a draining worker");
    assert_job_goes_to(&other, &worker, &node, client);
}

#[test]
fn client_disconnects_as_connection_is_established_then_nothing_is_sent() {
    let worker = FullBacklogWorker::start();
    let (node, watch, discovery) = start_node(&worker);
    let _heartbeats = watch.keep_alive(discovery);
    let mut crowd: Vec<_> = (0..300).map(|_| connect_known_client(&node)).collect();
    let client = submit_connecting_job(&node);
    let held = node.pause();
    // The message that it has disconnected is queued behind more callbacks than the dispatch task handles in one turn.
    for client in &mut crowd {
        client.send(&completion_request("r0"));
    }
    wait_for_unread_bytes(crowd.iter().map(Client::stream));
    close_and_wait_for_arrival(client);
    worker.drain_backlog();
    let mut stream = worker.accept();
    drop(held);
    assert_eq!(stream.read(&mut [0; 64]).expect("it is closed"), 0, "a request is sent without a client");
    wait_for_counter(&node, CLIENTS_GONE, 1);
}

/// The lines of a node's log up to one with this event.
fn log_lines_until(node: &Node, event: &str) -> Vec<String> {
    let mut lines = vec![node.next_log_line()];
    while !lines.last().is_some_and(|line| line.contains(event)) {
        lines.push(node.next_log_line());
    }
    lines
}

/// A client leaves while the node is held up, right before it would send the client's job. False where the node had read
/// the end of the other job before it was held up: the job was sent while its client was there.
fn client_leaves_while_node_is_held_up() -> bool {
    let (worker, discovery) = (ScriptedServer::start(), ScriptedServer::start());
    let known = [worker.endpoint_json("s-1", "in_service")];
    let config = node_config_with_long_timeouts(discovery.address, &known);
    let operator = "[log]\nlevel = \"debug\"\n[next_hop]\nreuse_ms = 60000\n";
    let node = Node::start_with_operator_file(&config, operator);
    let _heartbeats = ScriptedWatch::answer(&discovery, &known).keep_alive(discovery);
    let mut callbacks = connect_known_client(&node);
    let first = node.submit_job("r1", "order", 600.0);
    let second = node.submit_job("r2", "view", 600.0);
    wait_for_counter(&node, "curlewusher_jobs_taken_total", 2);
    // The connection is idle from the 202 on, so that r2 needs no new one; the end of r1 frees the worker for r2.
    worker.next_request().accept();
    std::thread::sleep(COOL_DOWN);
    let held = node.pause_together_with(|| {
        callbacks.send(&completion_request("r1"));
        wait_for_unread_bytes([callbacks.stream()]);
    });
    close_and_wait_for_arrival(second);
    std::thread::sleep(HOLD);
    drop(held);
    assert_eq!(read_response(first).status(), 200);
    let lines = log_lines_until(&node, "client disconnected request_id=r2");
    let position = |event: &str| lines.iter().position(|line| line.contains(event));
    let resumed_at = position("configuration reloaded").expect("it was held up");
    if position("attempt sent request_id=r2").is_some_and(|sent_at| sent_at < resumed_at) {
        return false;
    }
    assert!(!worker.has_pending_request(), "an attempt begins 0.1 s after its client has left");
    true
}

#[test]
fn client_disconnects_while_node_is_held_up_before_write_then_nothing_is_sent() {
    // Guards against attempts for clients whose disconnection has arrived and was not looked at: lifecycle 218.
    let shown = (0..20).any(|_| client_leaves_while_node_is_held_up());
    assert!(shown, "the node always read the callback before it was held up");
}

#[test]
fn client_disconnects_as_its_job_is_dequeued_then_no_attempt_begins() {
    // The worker runs the first, and the second is queued. The callback that frees the worker arrives before the
    // second's client disconnects.
    let worker = ScriptedServer::start();
    let (node, watch, discovery) =
        Node::start_with_config(&[("s-1", &worker)], node_config_with_long_timeouts);
    let _heartbeats = watch.keep_alive(discovery);
    let first = node.submit_accepted_job(&worker, "r1", "order", 600.0);
    node.post_callback("r1", "s-1", r#""state":"started""#);
    let second = node.submit_job("r2", "order", 600.0);
    wait_for_counter(&node, "curlewusher_jobs_taken_total", 2);
    let mut callbacks = connect_known_client(&node);
    let held = node.pause();
    callbacks.send(&completion_request("r1"));
    wait_for_unread_bytes([callbacks.stream()]);
    close_and_wait_for_arrival(second);
    drop(held);
    assert_eq!(read_response(first).status(), 200);
    wait_for_counter(&node, CLIENTS_GONE, 1);
    assert_eq!(
        (node.counter("curlewusher_delivery_attempts_total"), node.counter(NEVER_SENT)),
        (1, 1),
        "an attempt begins without a client"
    );
    assert!(!worker.has_pending_request());
}
