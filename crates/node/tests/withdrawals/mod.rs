//! Withdrawals of jobs whose client has disconnected or whose deadline has passed.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

use crate::common::{
    HttpMessage, Node, ScriptedServer, TEST_TIMEOUT, endpoint_json, job_request, next_request_at_either,
    node_config, open_request, read_response, wait_until,
};

#[test]
fn client_disconnects_while_202_is_in_transit_then_job_is_withdrawn_by_id() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    for id in ["r1", "r2", "r3", "r4"] {
        let client = node.submit_job(id, "view", 5.0);
        let got = worker.next_request();
        // The stopped node finds both when it continues: that its client has disconnected, and the 202.
        node.signal("-STOP");
        drop(client);
        got.accept();
        node.signal("-CONT");
        // Closing the connection would leave the job to run, and another attempt beside it.
        worker.expect_withdrawal(id).respond("200 OK");
    }
}

/// Asserts that the connection of an attempt is closed, and that the job is withdrawn by id on another.
fn assert_withdrawn(worker: &ScriptedServer, id: &str, connection: usize) {
    let both = [worker.next_event(), worker.next_event()];
    let (ends, calls): (Vec<_>, Vec<_>) = both.iter().partition(|got| got.message.start_line.is_empty());
    assert_eq!(ends.iter().map(|end| end.connection).collect::<Vec<_>>(), [connection]);
    assert_eq!(calls[0].message.start_line, format!("DELETE /jobs/{id} HTTP/1.1"));
    assert_ne!(calls[0].connection, connection);
}

#[test]
fn client_closes_connection_then_its_job_is_withdrawn() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    // After the 202 the job is withdrawn by id.
    let client = node.submit_accepted_job(&worker, "r1", "view", 5.0);
    node.post_callback("r1", "s-1", r#""state":"started""#);
    drop(client);
    let got = worker.next_event();
    assert_eq!(got.message.start_line, "DELETE /jobs/r1 HTTP/1.1");
    got.respond("204 No Content");
    // Before it, the connection is closed as well: on a cut network only a repeated withdrawal arrives.
    let client = node.submit_job("r2", "view", 5.0);
    let got = worker.next_request();
    assert!(got.message.start_line.starts_with("POST"), "{}", got.message.start_line);
    drop(client);
    assert_withdrawn(&worker, "r2", got.connection);
    assert_eq!(node.counter("curlewusher_clients_gone_total"), 2);
}

#[test]
fn worker_is_silent_then_client_is_answered_by_deadline_and_attempt_is_withdrawn() {
    // It may have run, so that an order fails and a view is rejected; either attempt is withdrawn.
    for (class, status) in [("order", 502), ("view", 503)] {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let client = node.submit_job("r1", class, 0.3);
        let got = worker.next_event();
        assert!(got.message.start_line.starts_with("POST"));
        let answer = read_response(client);
        assert_eq!((answer.status(), answer.header("retry-after").is_some()), (status, status == 503));
        assert_withdrawn(&worker, "r1", got.connection);
        assert_eq!(node.counter("curlewusher_delivery_attempts_given_up_total"), 1);
    }
}

#[test]
fn withdrawal_is_answered_with_error_then_accepted_job_is_not_retried() {
    // The worker answers, and runs on: another attempt would duplicate it.
    for status in
        ["503 Service Unavailable", "500 Internal Server Error", "429 Too Many Requests", "302 Found"]
    {
        let ([one, two], node, _watch, _discovery) = Node::start_with_two_workers();
        let client = node.submit_job("r1", "view", 8.0);
        let (worker, got, other) = next_request_at_either(&one, &two);
        // It does not start, so that it is withdrawn.
        got.accept();
        for _ in 0..3 {
            let (at, withdrawal, _) = next_request_at_either(&one, &two);
            assert!(std::ptr::eq(at, worker), "a second attempt beside one that runs, after {status}");
            assert_eq!(withdrawal.message.start_line, "DELETE /jobs/r1 HTTP/1.1");
            withdrawal.respond(status);
        }
        worker.expect_withdrawal("r1").respond("204 No Content");
        let got = other.next_request();
        node.serve_job(client, &got, "r1", if std::ptr::eq(other, &one) { "s-1" } else { "s-2" });
    }
}

/// A worker that reads nothing unless the test does, whose system receives only a part of a long request meanwhile.
fn listen_with_short_receive_buffer() -> TcpListener {
    const RECEIVE_BUFFER_BYTES: usize = 4096;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(16).expect("it listens");
    socket.set_nonblocking(true).expect("a listener");
    socket.into()
}

/// Waits for the next connection to one of these workers; returns the worker's index with it.
fn next_connection(workers: &[TcpListener]) -> (usize, TcpStream) {
    let mut next = None;
    wait_until("no connection", || {
        let accepted = workers.iter().enumerate().find_map(|(i, worker)| Some((i, worker.accept().ok()?.0)));
        next = accepted;
        next.is_some()
    });
    let (index, stream) = next.expect("one was accepted");
    stream.set_nonblocking(false).expect("a stream");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    (index, stream)
}

#[test]
fn request_is_partly_sent_at_its_withdrawal_then_the_rest_never_arrives() {
    // The system must not deliver after the retry what it still held of the first attempt, as a duplicate of it.
    let workers = [listen_with_short_receive_buffer(), listen_with_short_receive_buffer()];
    let names = ["s-1", "s-2"];
    let endpoint = |(worker, name): (&TcpListener, &str)| {
        endpoint_json(name, worker.local_addr().expect("an address"), "in_service")
    };
    let known: Vec<_> = workers.iter().zip(names).map(endpoint).collect();
    let (node, _watch, _discovery) = Node::start_with_endpoints(&known, 1024, node_config);
    let body = "x".repeat(60_000);
    let request = job_request("r1", "view", 8.0, "").replace("Content-Length: 4", "Content-Length: 60000");
    let client = open_request(node.address, &request.replace("body", &body));
    let (worker, unread) = next_connection(&workers);
    // The worker has read nothing when the job is withdrawn, and knows no such job.
    let (at, withdrawal) = next_connection(&workers);
    let got = HttpMessage::read(&mut BufReader::new(&withdrawal)).expect("a request");
    assert_eq!((at, got.start_line.as_str()), (worker, "DELETE /jobs/r1 HTTP/1.1"));
    respond(&withdrawal, "404 Not Found");
    let (other, stream) = next_connection(&workers);
    assert_ne!(other, worker);
    assert_eq!(HttpMessage::read(&mut BufReader::new(&stream)).expect("a request").body, body);
    respond(&stream, "202 Accepted");
    // Now the worker reads the first attempt.
    assert!(HttpMessage::read(&mut BufReader::new(&unread)).is_none(), "a duplicate attempt has arrived");
    node.complete_job(client, "r1", names[other]);
}

fn respond(mut stream: &TcpStream, status: &str) {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).expect("the node reads");
}
