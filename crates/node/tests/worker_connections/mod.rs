//! Connections to workers: late, second, invalid and endless responses, resets, restarts and withdrawals.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

use crate::common::{
    FullBacklogWorker, HttpMessage, Node, ReceivedRequest, ScriptedServer, ScriptedWatch, TEST_TIMEOUT,
    call_operator, endpoint_json, next_request_at_either, node_config, node_config_with_console,
    read_response, wait_for_counter, wait_until,
};

const POST: &str = "POST /api/k1?q=2 HTTP/1.1";
const SPOILT: &str = "curlewusher_next_hop_answers_spoilt_total";
const ATTEMPTS: &str = "curlewusher_delivery_attempts_total";
const LOST_COUNTERS: [&str; 3] =
    [r#"curlewusher_delivery_attempts_ended_total{outcome="lost"}"#, ATTEMPTS, SPOILT];
/// What a worker wrote of a response before its connection closed.
const PARTIAL_RESPONSES: [&str; 2] = ["HTTP/1.1 20", "HTTP/1.1 202 Accepted\r\nContent-Le"];

/// A client's job that this worker has, and has not answered.
fn submit_to(
    node: &Node,
    worker: &ScriptedServer,
    id: &str,
    class: &str,
    wait: f64,
) -> (TcpStream, ReceivedRequest) {
    let client = node.submit_job(id, class, wait);
    let got = worker.next_request();
    assert_eq!((got.message.start_line.as_str(), got.message.header("x-request-id")), (POST, Some(id)));
    (client, got)
}

#[test]
fn job_is_not_accepted_then_it_is_retried_elsewhere_after_acknowledged_withdrawal() {
    // On a cut network the closing of its connection never arrives, and the first copy may run beside the
    // next.
    let ([one, two], node, _watch, _discovery) = Node::start_with_two_workers();
    let client = node.submit_job("r1", "view", 8.0);
    let (worker, _silent, other) = next_request_at_either(&one, &two);
    worker.ignore_withdrawals("r1", 3, other);
    let call = worker.expect_withdrawal("r1");
    assert!(!other.has_pending_request(), "a second attempt beside one that may still run");
    call.respond("404 Not Found");
    let got = other.next_request();
    assert_eq!(got.message.start_line, POST);
    node.serve_job(client, &got, "r1", if std::ptr::eq(other, &one) { "s-1" } else { "s-2" });
}

/// Two workers whose listeners the test holds, and a node that knows them.
fn start_with_bare_listeners() -> (Vec<(&'static str, TcpListener)>, Node, ScriptedWatch) {
    let listen = || {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        listener
    };
    let workers = vec![("s-1", listen()), ("s-2", listen())];
    let at = |worker: &(&str, TcpListener)| worker.1.local_addr().expect("an address");
    let known: Vec<_> =
        workers.iter().map(|worker| endpoint_json(worker.0, at(worker), "in_service")).collect();
    let discovery = ScriptedServer::start();
    let node = Node::start(&node_config(discovery.address, &known));
    let watch = ScriptedWatch::open(&discovery);
    watch.send_endpoints(42, true, &known);
    (workers, node, watch)
}

/// The next connection to one of them, by its place, with the job's request read from it.
fn accept_job(workers: &[(&str, TcpListener)]) -> (usize, TcpStream) {
    let begun = Instant::now();
    loop {
        for (i, worker) in workers.iter().enumerate() {
            match worker.1.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("a stream");
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
                    let got = HttpMessage::read(&mut BufReader::new(&stream)).expect("a request");
                    assert_eq!(got.start_line, POST);
                    return (i, stream);
                }
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
            }
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "nothing came");
        std::thread::yield_now();
    }
}

#[test]
fn worker_process_is_gone_then_no_withdrawal_is_needed_before_retry() {
    let (mut workers, node, _watch) = start_with_bare_listeners();
    let client = node.submit_job("r1", "view", 8.0);
    // The first worker's process is gone: no process listens there, and the open connection stays silent.
    let (i, _silent) = accept_job(&workers);
    drop(workers.remove(i));
    let (_, stream) = accept_job(&workers);
    (&stream).write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").expect("it reads");
    node.complete_job(client, "r1", workers[0].0);
}

#[test]
fn withdrawal_connection_is_refused_then_accepted_job_is_not_retried() {
    // A worker that holds as many connections as it may refuses others, and runs on.
    let (mut workers, node, _watch) = start_with_bare_listeners();
    let client = node.submit_job("r1", "view", 8.0);
    let (i, stream) = accept_job(&workers);
    let taken = b"HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let (name, full) = workers.remove(i);
    drop(full);
    (&stream).write_all(taken).expect("it reads");
    // The job is not started, so that it is withdrawn; each withdrawal meets a refused connection.
    wait_for_counter(&node, "curlewusher_withdrawals_unheard_total", 3);
    assert_eq!(node.counter(ATTEMPTS), 1, "a second attempt beside one that may still run");
    node.complete_job(client, "r1", name);
    assert_eq!(node.counter(ATTEMPTS), 1);
}

#[test]
fn client_disconnects_while_connecting_then_nothing_is_withdrawn() {
    let worker = FullBacklogWorker::start();
    let known = [worker.endpoint_json("in_service")];
    let (node, _watch, _discovery) = Node::start_with_endpoints(&known, 1024, node_config);
    let client = node.submit_job("r1", "order", 8.0);
    wait_for_counter(&node, "curlewusher_next_hop_connections_total", 1);
    drop(client);
    wait_for_counter(&node, "curlewusher_clients_gone_total", 1);
    // Now connections can be established. None of them concerns the first job.
    worker.drain_backlog();
    let client = node.submit_job("r2", "order", 8.0);
    let stream = worker.accept();
    let got = HttpMessage::read(&mut BufReader::new(&stream)).expect("a request");
    assert_eq!((got.start_line.as_str(), got.header("x-request-id")), (POST, Some("r2")));
    (&stream).write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").expect("it reads");
    node.complete_job(client, "r2", "s-1");
    // By its exit it has opened all its connections.
    node.signal("-TERM");
    assert!(node.wait_for_exit().status.success());
    assert!(worker.try_accept().is_none(), "another connection than that of the second job");
}

#[test]
fn withdrawal_is_unacknowledged_then_client_is_answered_all_the_same() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, _got) = submit_to(&node, &worker, "r1", "order", 0.5);
    // While the worker still closes the withdrawal's connection, the client has its response.
    let first = worker.expect_withdrawal("r1");
    assert_eq!(read_response(client).status(), 502);
    first.close();
}

#[test]
fn stray_response_arrives_late_then_it_is_not_taken_for_the_next_jobs_response() {
    // A stray response differs from that to the next job only in that it arrives while the connection is idle. Where the
    // next job was written before it, the test was too slow and shows nothing.
    let shown = (0..20).any(|_| {
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
        let got = worker.next_request();
        if got.connection == first.connection {
            return false;
        }
        node.serve_job(client, &got, "r2", "s-1");
        assert_eq!((node.counter(ATTEMPTS), node.counter(SPOILT)), (2, 1));
        true
    });
    assert!(shown, "a connection carries a job right after an answer");
}

#[test]
fn second_response_follows_the_first_then_connection_is_closed() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, first) = submit_to(&node, &worker, "r1", "view", 8.0);
    let accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    first.write_raw(&format!("{accepted}HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n"));
    node.complete_job(client, "r1", "s-1");
    let (client, got) = submit_to(&node, &worker, "r2", "view", 8.0);
    assert_ne!(got.connection, first.connection);
    node.serve_job(client, &got, "r2", "s-1");
    assert_eq!((node.counter(ATTEMPTS), node.counter(SPOILT)), (2, 1));
}

#[test]
fn response_is_invalid_then_non_idempotent_job_fails_after_one_attempt() {
    let long = format!("HTTP/1.1 202 Accepted\r\nX-Long: {}", "a".repeat(1 << 20));
    let spoilt =
        ["nonsense\r\n\r\n", "HTTP/7.3 202 Accepted\r\n\r\n", "HTTP/1.1 2x2 Accepted\r\n\r\n", &long];
    // It may have run, and may still: it is withdrawn by id. Only the last group leaves the connection usable.
    let strange = ["101 Switching Protocols", "200 OK", "204 No Content", "302 Found"]
        .map(|status| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
    for (bytes, count) in spoilt.into_iter().map(|s| (s, 1)).chain(strange.iter().map(|s| (s.as_str(), 0))) {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let (client, got) = submit_to(&node, &worker, "r1", "order", 8.0);
        // A long one may be cut off before its end.
        got.try_write(bytes);
        worker.expect_withdrawal("r1").respond("200 OK");
        let start = &bytes[..bytes.len().min(40)];
        assert_eq!(read_response(client).status(), 502, "{start}");
        assert_eq!((node.counter(ATTEMPTS), node.counter(SPOILT)), (1, count), "{start}");
        // The node keeps serving.
        let (client, got) = submit_to(&node, &worker, "r2", "order", 8.0);
        node.serve_job(client, &got, "r2", "s-1");
    }
}

#[test]
fn response_is_invalid_then_idempotent_job_is_retried_after_withdrawal() {
    let invalid = ["nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"];
    let cases = invalid.map(|bytes| (bytes, false)).into_iter().chain(PARTIAL_RESPONSES.map(|b| (b, true)));
    for (bytes, closes) in cases {
        let ([one, two], node, _watch, _discovery) = Node::start_with_two_workers();
        let client = node.submit_job("r1", "view", 8.0);
        let (worker, got, other) = next_request_at_either(&one, &two);
        got.write_raw(bytes);
        if closes {
            got.close();
        }
        worker.ignore_withdrawals("r1", 2, other);
        worker.expect_withdrawal("r1").respond("200 OK");
        let got = other.next_request();
        assert_eq!(got.message.start_line, POST);
        node.serve_job(client, &got, "r1", if std::ptr::eq(other, &one) { "s-1" } else { "s-2" });
    }
}

#[test]
fn connection_closes_without_response_then_attempt_counts_as_lost() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, got) = submit_to(&node, &worker, "r1", "order", 8.0);
    got.close();
    assert_eq!(read_response(client).status(), 502);
    assert_eq!(LOST_COUNTERS.map(|c| node.counter(c)), [1, 1, 0]);
    assert!(!worker.has_pending_request());
}

#[test]
fn connection_closes_within_response_then_attempt_counts_as_lost_after_withdrawal() {
    // The response may have begun a 202: the worker may run the job.
    for bytes in PARTIAL_RESPONSES {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let (client, got) = submit_to(&node, &worker, "r1", "order", 8.0);
        got.write_raw(bytes);
        got.close();
        worker.expect_withdrawal("r1").respond("200 OK");
        assert_eq!(read_response(client).status(), 502, "{bytes}");
        assert_eq!(LOST_COUNTERS.map(|c| node.counter(c)), [1, 1, 1], "{bytes}");
        assert!(!worker.has_pending_request());
    }
}

#[test]
fn response_head_never_ends_then_attempt_is_withdrawn_by_deadline() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, got) = submit_to(&node, &worker, "r1", "order", 0.5);
    got.write_raw("HTTP/1.1 202 Accepted\r\nContent-Le");
    assert_eq!(read_response(client).status(), 502);
    worker.expect_withdrawal("r1").respond("200 OK");
}

#[test]
fn informational_responses_precede_202_then_the_202_counts() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let (client, got) = submit_to(&node, &worker, "r1", "order", 8.0);
    got.write_raw("HTTP/1.1 100 Continue\r\n\r\n");
    got.write_raw("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    node.serve_job(client, &got, "r1", "s-1");
    assert_eq!((node.counter("curlewusher_delivery_attempts_accepted_total"), node.counter(SPOILT)), (1, 0));
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
        let (client, got) = submit_to(&node, &worker, "r1", "order", 8.0);
        got.write_raw(&format!("HTTP/1.1 202 Accepted\r\n{body}"));
        wait_for_counter(&node, "curlewusher_delivery_attempts_accepted_total", 1);
        node.complete_job(client, "r1", "s-1");
        // Its connection is closed, so that the budget has it back.
        let end = worker.next_event();
        assert_eq!((end.message.start_line.as_str(), end.connection), ("", got.connection));
        wait_for_counter(&node, SPOILT, 1);
        assert_eq!(node.counter(ATTEMPTS), 1);
    }
}

#[test]
fn worker_restarts_while_response_is_read_then_its_connection_is_not_reused() {
    let worker = ScriptedServer::start();
    let (node, watch, known) = start_with_lasting_connections(&worker);
    let (client, got) = submit_to(&node, &worker, "r1", "view", 8.0);
    // While its response is still being read, the worker restarts.
    got.write_raw("HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\n");
    wait_for_counter(&node, "curlewusher_delivery_attempts_accepted_total", 1);
    node.complete_job(client, "r1", "s-1");
    watch.send_endpoints_and_wait(43, false, &[restarted(&known)], &node);
    let (client, second) = submit_to(&node, &worker, "r2", "view", 8.0);
    assert_ne!(second.connection, got.connection);
    node.serve_job(client, &second, "r2", "s-1");
    got.write_raw("late");
    let end = worker.next_event();
    assert_eq!((end.message.start_line.as_str(), end.connection), ("", got.connection));
}

#[test]
fn withdrawal_is_abandoned_then_restarted_worker_does_not_get_it() {
    let (worker, first, second) = (ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start());
    let known = [worker.endpoint_json("s-1", "in_service")];
    let older = Node::start_older(&node_config_with_console(first.address, &known));
    let _operators = older.operator_address();
    let watch = ScriptedWatch::open(&first);
    watch.send_endpoints(42, true, &known);
    let (client, got) = submit_to(&older, &worker, "r1", "order", 0.5);
    got.accept();
    // The worker never answers, and the job's time is up.
    let _call = worker.expect_withdrawal("r1");
    assert_eq!(read_response(client).status(), 502);
    wait_for_counter(&older, r#"curlewusher_delivery_attempts_ended_total{outcome="cancelled"}"#, 1);
    // All that the older one wrote has arrived by the time that the newer one serves.
    let newer = Node::wait_until_serving(older.spawn_beside(second.address));
    let operators = newer.operator_address();
    let watch = ScriptedWatch::open(&second);
    watch.send_endpoints(42, true, &known);
    older.wait_for_log_line("phase changed node=n0 phase=retired");
    wait_until("the newer process does not serve", || call_operator(operators, "READY\n") == "+OK");
    while worker.try_next_request().is_some() {}
    older.signal("-TERM");
    assert_eq!(older.wait_for_exit().status.code(), Some(0));
    for id in ["r2", "r3", "r4", "r5", "r6"] {
        let (client, got) = submit_to(&newer, &worker, id, "order", 8.0);
        newer.serve_job(client, &got, id, "s-1");
    }
}

/// This endpoint after a restart of its process.
fn restarted(endpoint: &str) -> String {
    endpoint.replace(r#""since_ms":0"#, r#""since_ms":1700000000000"#)
}

/// A node that reuses idle connections for longer than any test takes, and knows one worker.
fn start_with_lasting_connections(worker: &ScriptedServer) -> (Node, ScriptedWatch, String) {
    let discovery = ScriptedServer::start();
    let known = worker.endpoint_json("s-1", "in_service");
    let config = node_config(discovery.address, std::slice::from_ref(&known));
    let node = Node::start_with_operator_file(&config, "[next_hop]\nreuse_ms = 600000\n");
    let watch = ScriptedWatch::open(&discovery);
    watch.send_endpoints(42, true, std::slice::from_ref(&known));
    (node, watch, known)
}

#[test]
fn worker_restarts_while_connection_is_idle_then_it_carries_no_job() {
    // The connection is idle for a moment only. Where the job was written before the node had read of the restart, the
    // test was too slow and shows nothing.
    let shown = (0..20).any(|_| {
        let worker = ScriptedServer::start();
        let (node, watch, known) = start_with_lasting_connections(&worker);
        let (client, first) = submit_to(&node, &worker, "r1", "view", 8.0);
        node.serve_job(client, &first, "r1", "s-1");
        let client = node.submit_job("r2", "view", 8.0);
        wait_for_counter(&node, "curlewusher_jobs_taken_total", 2);
        watch.send_endpoints(43, false, &[restarted(&known)]);
        let second = worker.next_request();
        node.serve_job(client, &second, "r2", "s-1");
        second.connection != first.connection
    });
    assert!(shown, "a job is sent over a connection to a process that has ended");
}

#[test]
fn client_disconnects_while_job_waits_for_idle_connection_then_worker_keeps_its_connection() {
    // The connection is idle for a moment only. Where the job was written before the node had noticed that its client
    // disconnected, the test was too slow and shows nothing.
    let shown = (0..20).any(|_| {
        let worker = ScriptedServer::start();
        let (node, _watch, _known) = start_with_lasting_connections(&worker);
        // Two connections, since the answer on the first one is not at its end, which then rest.
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
        let got = worker.next_request();
        if got.message.header("x-request-id") != Some("r4") {
            return false;
        }
        got.write_raw("HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\n");
        node.complete_job(client, "r4", "s-1");
        // The same holds for that one: the next job finds it idle while the response to the last one is unfinished.
        let (client, got) = submit_to(&node, &worker, "r5", "view", 8.0);
        node.serve_job(client, &got, "r5", "s-1");
        node.counter("curlewusher_next_hop_connections_total") == 2
    });
    assert!(shown, "it closes connections, or a connection carries a job right after an answer");
}

#[test]
fn attempt_is_withdrawn_before_202_then_idle_connection_does_not_carry_the_withdrawal() {
    // A worker that accepts a new connection late reads the idle one first: it would not know the job, and run it later.
    let worker = ScriptedServer::start();
    let (node, _watch, _known) = start_with_lasting_connections(&worker);
    let (client, first) = submit_to(&node, &worker, "r1", "order", 8.0);
    first.write_raw("HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\n");
    node.complete_job(client, "r1", "s-1");
    let (client, second) = submit_to(&node, &worker, "r2", "order", 8.0);
    assert_ne!(second.connection, first.connection);
    // The response on the first connection ends, which is idle from now on.
    first.write_raw("late");
    drop(client);
    let withdrawal = worker.expect_withdrawal("r2");
    assert_ne!(withdrawal.connection, first.connection);
}
