//! Connections to workers: late, second, invalid and endless responses, resets, restarts and cancellations.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

use crate::common::{
    FullBacklogWorker, HttpMessage, Node, ReceivedRequest, ScriptedServer, ScriptedWatch, TEST_TIMEOUT,
    endpoint_json, next_request_at_either, node_config, node_config_with_admin, read_response,
    send_admin_command, wait_for_counter, wait_until,
};

const POST: &str = "POST /api/k1?q=2 HTTP/1.1";
const MALFORMED_RESPONSES: &str = "curlewusher_next_hop_answers_spoilt_total";
const ATTEMPTS: &str = "curlewusher_delivery_attempts_total";
const LOST_COUNTERS: [&str; 3] =
    [r#"curlewusher_delivery_attempts_ended_total{outcome="lost"}"#, ATTEMPTS, MALFORMED_RESPONSES];
/// Parts of a response that a worker writes before it closes the connection.
const PARTIAL_RESPONSES: [&str; 2] = ["HTTP/1.1 20", "HTTP/1.1 202 Accepted\r\nContent-Le"];

/// Submits a job and asserts that this worker receives it. Returns the client's connection and the request,
/// to which the worker has not responded.
fn submit_to(
    node: &Node,
    worker: &ScriptedServer,
    id: &str,
    class: &str,
    deadline_s: f64,
) -> (TcpStream, ReceivedRequest) {
    let client = node.submit_job(id, class, deadline_s);
    let request = worker.next_request();
    assert_eq!(
        (request.message.start_line.as_str(), request.message.header("x-request-id")),
        (POST, Some(id))
    );
    (client, request)
}

#[test]
fn job_is_not_accepted_then_it_is_retried_elsewhere_after_acknowledged_cancellation() {
    // In a partition the close of the connection never arrives at the worker, and the first attempt may run
    // beside the next one.
    let ([one, two], node, _watch, _discovery) = Node::start_with_two_workers();
    let client = node.submit_job("r1", "view", 8.0);
    let (worker, _unanswered, other) = next_request_at_either(&one, &two);
    worker.ignore_cancellations("r1", 3, other);
    let cancellation = worker.expect_cancellation("r1");
    assert!(!other.has_pending_request(), "another attempt began while the first one may still run");
    cancellation.respond("404 Not Found");
    let request = other.next_request();
    assert_eq!(request.message.start_line, POST);
    node.serve_job(client, &request, "r1", if std::ptr::eq(other, &one) { "s-1" } else { "s-2" });
}

/// Starts two workers whose listeners the test holds, and a node with these endpoints. Returns the workers
/// with their names, the node, and its open endpoint watch.
fn start_with_bare_listeners() -> (Vec<(&'static str, TcpListener)>, Node, ScriptedWatch) {
    let listen = || {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
        listener.set_nonblocking(true).expect("making the listener non-blocking failed");
        listener
    };
    let workers = vec![("s-1", listen()), ("s-2", listen())];
    let address = |worker: &(&str, TcpListener)| worker.1.local_addr().expect("the listener has no address");
    let endpoints: Vec<_> =
        workers.iter().map(|worker| endpoint_json(worker.0, address(worker), "in_service")).collect();
    let discovery = ScriptedServer::start();
    let node = Node::start(&node_config(discovery.address, &endpoints));
    let watch = ScriptedWatch::open(&discovery);
    watch.send_endpoints(42, true, &endpoints);
    (workers, node, watch)
}

/// Waits for the next connection to one of the workers and reads the job's request from it. Returns the index
/// of the worker and the connection.
fn accept_job(workers: &[(&str, TcpListener)]) -> (usize, TcpStream) {
    let started = Instant::now();
    loop {
        for (i, worker) in workers.iter().enumerate() {
            match worker.1.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("making the stream blocking failed");
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the read timeout failed");
                    let request =
                        HttpMessage::read(&mut BufReader::new(&stream)).expect("no request arrived");
                    assert_eq!(request.start_line, POST);
                    return (i, stream);
                }
                Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
            }
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "no connection was established");
        std::thread::yield_now();
    }
}

#[test]
fn worker_process_has_exited_then_no_cancellation_is_needed_before_retry() {
    let (mut workers, node, _watch) = start_with_bare_listeners();
    let client = node.submit_job("r1", "view", 8.0);
    // The first worker's process has exited: no process listens at its address, and no data arrives on the
    // open connection.
    let (i, _unanswered) = accept_job(&workers);
    drop(workers.remove(i));
    let (_, stream) = accept_job(&workers);
    (&stream)
        .write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        .expect("writing the response failed");
    node.complete_job(client, "r1", workers[0].0);
}

#[test]
fn cancellation_connection_is_refused_then_accepted_job_is_not_retried() {
    // A worker at its connection limit refuses further connections and continues to run.
    let (mut workers, node, _watch) = start_with_bare_listeners();
    let client = node.submit_job("r1", "view", 8.0);
    let (i, stream) = accept_job(&workers);
    let accepted = b"HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let (name, listener) = workers.remove(i);
    drop(listener);
    (&stream).write_all(accepted).expect("writing the response failed");
    // The job is cancelled because it does not start. The connection for each cancellation is refused.
    wait_for_counter(&node, "curlewusher_withdrawals_unheard_total", 3);
    assert_eq!(node.counter(ATTEMPTS), 1, "another attempt began while the first one may still run");
    node.complete_job(client, "r1", name);
    assert_eq!(node.counter(ATTEMPTS), 1);
}

#[test]
fn client_disconnects_while_connecting_then_nothing_is_cancelled() {
    let worker = FullBacklogWorker::start();
    let endpoints = [worker.endpoint_json("in_service")];
    let (node, _watch, _discovery) = Node::start_with_endpoints(&endpoints, 1024, node_config);
    let client = node.submit_job("r1", "order", 8.0);
    wait_for_counter(&node, "curlewusher_next_hop_connections_total", 1);
    drop(client);
    wait_for_counter(&node, "curlewusher_clients_gone_total", 1);
    // From now on connections can be established. No connection may be for the first job.
    worker.drain_backlog();
    let client = node.submit_job("r2", "order", 8.0);
    let stream = worker.accept();
    let request = HttpMessage::read(&mut BufReader::new(&stream)).expect("no request arrived");
    assert_eq!((request.start_line.as_str(), request.header("x-request-id")), (POST, Some("r2")));
    (&stream)
        .write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        .expect("writing the response failed");
    node.complete_job(client, "r2", "s-1");
    // Once the node has exited, it has opened all its connections.
    node.signal("-TERM");
    assert!(node.wait_for_exit().status.success());
    assert!(worker.try_accept().is_none(), "a connection was established besides that of the second job");
}

#[test]
fn cancellation_is_unacknowledged_then_client_gets_response_nevertheless() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, _unanswered) = submit_to(&node, &worker, "r1", "order", 0.5);
    // The client gets its response before the worker closes the connection of the cancellation.
    let first = worker.expect_cancellation("r1");
    assert_eq!(read_response(client).status(), 502);
    first.close();
}

#[test]
fn stray_response_arrives_late_then_it_is_not_taken_for_the_next_jobs_response() {
    // A stray response differs from the response to the next job only in that it arrives while the connection
    // is idle. If the next job was written first, the run was too slow and is inconclusive.
    let is_conclusive = (0..20).any(|_| {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let (client, first) = submit_to(&node, &worker, "r1", "view", 8.0);
        node.serve_job(client, &first, "r1", "s-1");
        let client = node.submit_job("r2", "view", 8.0);
        wait_for_counter(&node, "curlewusher_jobs_taken_total", 2);
        node.signal("-STOP");
        if worker.try_next_request().is_some() {
            node.signal("-CONT");
            return false;
        }
        first.write_raw("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        node.signal("-CONT");
        let request = worker.next_request();
        if request.connection == first.connection {
            return false;
        }
        node.serve_job(client, &request, "r2", "s-1");
        assert_eq!((node.counter(ATTEMPTS), node.counter(MALFORMED_RESPONSES)), (2, 1));
        true
    });
    assert!(is_conclusive, "in all runs a connection carried a job right after a response");
}

#[test]
fn second_response_follows_the_first_then_connection_is_closed() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, first) = submit_to(&node, &worker, "r1", "view", 8.0);
    let accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    first.write_raw(&format!("{accepted}HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n"));
    node.complete_job(client, "r1", "s-1");
    let (client, request) = submit_to(&node, &worker, "r2", "view", 8.0);
    assert_ne!(request.connection, first.connection);
    node.serve_job(client, &request, "r2", "s-1");
    assert_eq!((node.counter(ATTEMPTS), node.counter(MALFORMED_RESPONSES)), (2, 1));
}

#[test]
fn response_is_invalid_then_non_idempotent_job_fails_after_one_attempt() {
    let long = format!("HTTP/1.1 202 Accepted\r\nX-Long: {}", "a".repeat(1 << 20));
    let malformed =
        ["nonsense\r\n\r\n", "HTTP/7.3 202 Accepted\r\n\r\n", "HTTP/1.1 2x2 Accepted\r\n\r\n", &long];
    // The job may have run or may still run, so that it is cancelled by id. Only the responses of this last
    // group leave the connection usable.
    let unexpected = ["101 Switching Protocols", "200 OK", "204 No Content", "302 Found"]
        .map(|status| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
    for (bytes, count) in
        malformed.into_iter().map(|s| (s, 1)).chain(unexpected.iter().map(|s| (s.as_str(), 0)))
    {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let (client, request) = submit_to(&node, &worker, "r1", "order", 8.0);
        // The node may close the connection before the end of a long response.
        request.try_write(bytes);
        worker.expect_cancellation("r1").respond("200 OK");
        let start = &bytes[..bytes.len().min(40)];
        assert_eq!(read_response(client).status(), 502, "{start}");
        assert_eq!((node.counter(ATTEMPTS), node.counter(MALFORMED_RESPONSES)), (1, count), "{start}");
        // The node continues to serve.
        let (client, request) = submit_to(&node, &worker, "r2", "order", 8.0);
        node.serve_job(client, &request, "r2", "s-1");
    }
}

#[test]
fn response_is_invalid_then_idempotent_job_is_retried_after_cancellation() {
    let invalid = ["nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"];
    let cases = invalid.map(|bytes| (bytes, false)).into_iter().chain(PARTIAL_RESPONSES.map(|b| (b, true)));
    for (bytes, closes) in cases {
        let ([one, two], node, _watch, _discovery) = Node::start_with_two_workers();
        let client = node.submit_job("r1", "view", 8.0);
        let (worker, request, other) = next_request_at_either(&one, &two);
        request.write_raw(bytes);
        if closes {
            request.close();
        }
        worker.ignore_cancellations("r1", 2, other);
        worker.expect_cancellation("r1").respond("200 OK");
        let request = other.next_request();
        assert_eq!(request.message.start_line, POST);
        node.serve_job(client, &request, "r1", if std::ptr::eq(other, &one) { "s-1" } else { "s-2" });
    }
}

#[test]
fn connection_closes_without_response_then_attempt_counts_as_lost() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, request) = submit_to(&node, &worker, "r1", "order", 8.0);
    request.close();
    assert_eq!(read_response(client).status(), 502);
    assert_eq!(LOST_COUNTERS.map(|c| node.counter(c)), [1, 1, 0]);
    assert!(!worker.has_pending_request());
}

#[test]
fn connection_closes_within_response_then_attempt_counts_as_lost_after_cancellation() {
    // The partial response may be the beginning of a 202, so that the worker may run the job.
    for bytes in PARTIAL_RESPONSES {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let (client, request) = submit_to(&node, &worker, "r1", "order", 8.0);
        request.write_raw(bytes);
        request.close();
        worker.expect_cancellation("r1").respond("200 OK");
        assert_eq!(read_response(client).status(), 502, "{bytes}");
        assert_eq!(LOST_COUNTERS.map(|c| node.counter(c)), [1, 1, 1], "{bytes}");
        assert!(!worker.has_pending_request());
    }
}

#[test]
fn response_head_never_ends_then_attempt_is_cancelled_by_deadline() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, request) = submit_to(&node, &worker, "r1", "order", 0.5);
    request.write_raw("HTTP/1.1 202 Accepted\r\nContent-Le");
    assert_eq!(read_response(client).status(), 502);
    worker.expect_cancellation("r1").respond("200 OK");
}

#[test]
fn informational_responses_precede_202_then_the_202_counts() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, request) = submit_to(&node, &worker, "r1", "order", 8.0);
    request.write_raw("HTTP/1.1 100 Continue\r\n\r\n");
    request.write_raw("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    node.serve_job(client, &request, "r1", "s-1");
    assert_eq!(
        (node.counter("curlewusher_delivery_attempts_accepted_total"), node.counter(MALFORMED_RESPONSES)),
        (1, 0)
    );
}

#[test]
fn body_of_202_never_ends_then_job_is_accepted_and_connection_closed() {
    let chunk = format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", 40_000, "a".repeat(40_000));
    let long = format!("{chunk}{:x}\r\n{}\r\n", 40_000, "a".repeat(40_000));
    let bodies = [
        "Content-Length: 9\r\n\r\nhalf",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "Transfer-Encoding: chunked\r\n\r\nnonsense\r\n",
        &long,
    ];
    for body in bodies {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let (client, request) = submit_to(&node, &worker, "r1", "order", 8.0);
        request.write_raw(&format!("HTTP/1.1 202 Accepted\r\n{body}"));
        wait_for_counter(&node, "curlewusher_delivery_attempts_accepted_total", 1);
        node.complete_job(client, "r1", "s-1");
        // The connection is closed, which releases its permit of the connection budget.
        let end = worker.next_event();
        assert_eq!((end.message.start_line.as_str(), end.connection), ("", request.connection));
        wait_for_counter(&node, MALFORMED_RESPONSES, 1);
        assert_eq!(node.counter(ATTEMPTS), 1);
    }
}

#[test]
fn worker_restarts_while_response_is_read_then_its_connection_is_not_reused() {
    let worker = ScriptedServer::start();
    let (node, watch, endpoint) = start_with_long_lived_connections(&worker);
    let (client, request) = submit_to(&node, &worker, "r1", "view", 8.0);
    // The worker restarts while the node still reads its response.
    request.write_raw("HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\n");
    wait_for_counter(&node, "curlewusher_delivery_attempts_accepted_total", 1);
    node.complete_job(client, "r1", "s-1");
    watch.send_endpoints_and_wait(43, false, &[restarted(&endpoint)], &node);
    let (client, second) = submit_to(&node, &worker, "r2", "view", 8.0);
    assert_ne!(second.connection, request.connection);
    node.serve_job(client, &second, "r2", "s-1");
    request.write_raw("late");
    let end = worker.next_event();
    assert_eq!((end.message.start_line.as_str(), end.connection), ("", request.connection));
}

#[test]
fn cancellation_is_abandoned_then_restarted_worker_does_not_get_it() {
    let (worker, first, second) = (ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start());
    let endpoints = [worker.endpoint_json("s-1", "in_service")];
    let predecessor = Node::start_older_version(&node_config_with_admin(first.address, &endpoints));
    let _admin_address = predecessor.admin_address();
    let watch = ScriptedWatch::open(&first);
    watch.send_endpoints(42, true, &endpoints);
    let (client, request) = submit_to(&predecessor, &worker, "r1", "order", 0.5);
    request.accept();
    // The worker never responds, and the job's deadline passes.
    let _cancellation = worker.expect_cancellation("r1");
    assert_eq!(read_response(client).status(), 502);
    wait_for_counter(&predecessor, r#"curlewusher_delivery_attempts_ended_total{outcome="cancelled"}"#, 1);
    // All data that the predecessor wrote has arrived by the time the successor serves.
    let successor = Node::wait_until_serving(predecessor.spawn_peer(second.address));
    let admin_address = successor.admin_address();
    let watch = ScriptedWatch::open(&second);
    watch.send_endpoints(42, true, &endpoints);
    predecessor.wait_for_log_line("phase changed node=n0 phase=retired");
    wait_until("the successor did not become ready", || {
        send_admin_command(admin_address, "READY\n") == "+OK"
    });
    while worker.try_next_request().is_some() {}
    predecessor.signal("-TERM");
    assert_eq!(predecessor.wait_for_exit().status.code(), Some(0));
    for id in ["r2", "r3", "r4", "r5", "r6"] {
        let (client, request) = submit_to(&successor, &worker, id, "order", 8.0);
        successor.serve_job(client, &request, id, "s-1");
    }
}

/// Returns this endpoint as listed after a restart of its process.
fn restarted(endpoint: &str) -> String {
    endpoint.replace(r#""since_ms":0"#, r#""since_ms":1700000000000"#)
}

/// Starts a node with one worker. The node reuses connections that have been idle for longer than any test
/// takes. Returns the node, its open endpoint watch, and the worker's endpoint.
fn start_with_long_lived_connections(worker: &ScriptedServer) -> (Node, ScriptedWatch, String) {
    let discovery = ScriptedServer::start();
    let endpoint = worker.endpoint_json("s-1", "in_service");
    let config = node_config(discovery.address, std::slice::from_ref(&endpoint));
    let node = Node::start_with_operator_file(&config, "[next_hop]\nreuse_ms = 600000\n");
    let watch = ScriptedWatch::open(&discovery);
    watch.send_endpoints(42, true, std::slice::from_ref(&endpoint));
    (node, watch, endpoint)
}

#[test]
fn worker_restarts_while_connection_is_idle_then_it_carries_no_job() {
    // The connection is idle only for a short time. If the job was written before the node had read the
    // notice of the restart, the run was too slow and is inconclusive.
    let is_conclusive = (0..20).any(|_| {
        let worker = ScriptedServer::start();
        let (node, watch, endpoint) = start_with_long_lived_connections(&worker);
        let (client, first) = submit_to(&node, &worker, "r1", "view", 8.0);
        node.serve_job(client, &first, "r1", "s-1");
        let client = node.submit_job("r2", "view", 8.0);
        wait_for_counter(&node, "curlewusher_jobs_taken_total", 2);
        watch.send_endpoints(43, false, &[restarted(&endpoint)]);
        let second = worker.next_request();
        node.serve_job(client, &second, "r2", "s-1");
        second.connection != first.connection
    });
    assert!(is_conclusive, "in all runs a job was sent over a connection to an exited process");
}

#[test]
fn client_disconnects_while_job_waits_for_idle_connection_then_worker_keeps_its_connection() {
    // The connection is idle only for a short time. If the job was written before the node had noticed the
    // disconnect of its client, the run was too slow and is inconclusive.
    let is_conclusive = (0..20).any(|_| {
        let worker = ScriptedServer::start();
        let (node, _watch, _endpoint) = start_with_long_lived_connections(&worker);
        // The node opens two connections, because the response on the first one is unfinished when the second
        // job is sent. Both then become idle.
        let (client, first) = submit_to(&node, &worker, "r1", "view", 8.0);
        first.write_raw("HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\n");
        node.complete_job(client, "r1", "s-1");
        let (client, second) = submit_to(&node, &worker, "r2", "view", 8.0);
        node.complete_job(client, "r2", "s-1");
        first.write_raw("late");
        second.accept();
        let client = node.submit_job("r3", "view", 8.0);
        wait_for_counter(&node, ATTEMPTS, 3);
        drop(client);
        wait_for_counter(&node, "curlewusher_clients_gone_total", 1);
        let client = node.submit_job("r4", "view", 8.0);
        let request = worker.next_request();
        if request.message.header("x-request-id") != Some("r4") {
            return false;
        }
        request.write_raw("HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\n");
        node.complete_job(client, "r4", "s-1");
        // The other connection is unaffected as well: the next job finds it idle while the response to the
        // previous job is unfinished.
        let (client, request) = submit_to(&node, &worker, "r5", "view", 8.0);
        node.serve_job(client, &request, "r5", "s-1");
        node.counter("curlewusher_next_hop_connections_total") == 2
    });
    assert!(is_conclusive, "in all runs the node closed a connection or sent a job right after a response");
}

#[test]
fn attempt_is_cancelled_before_202_then_idle_connection_does_not_carry_the_cancellation() {
    // A worker that accepts a new connection late reads the idle one first. The job would still be unknown to
    // the worker when it reads the cancellation, and the worker would run the job later.
    let worker = ScriptedServer::start();
    let (node, _watch, _endpoint) = start_with_long_lived_connections(&worker);
    let (client, first) = submit_to(&node, &worker, "r1", "order", 8.0);
    first.write_raw("HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\n");
    node.complete_job(client, "r1", "s-1");
    let (client, second) = submit_to(&node, &worker, "r2", "order", 8.0);
    assert_ne!(second.connection, first.connection);
    // The response on the first connection is complete, and this connection is idle from now on.
    first.write_raw("late");
    drop(client);
    let cancellation = worker.expect_cancellation("r2");
    assert_ne!(cancellation.connection, first.connection);
}
