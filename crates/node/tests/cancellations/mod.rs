//! Cancellation of jobs whose client has disconnected or whose deadline has passed.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

use crate::common::{
    HttpMessage, Node, ScriptedServer, TEST_TIMEOUT, endpoint_json, job_request, next_request_at_either,
    node_config, open_request, read_response, wait_until,
};

#[test]
fn client_disconnects_while_202_is_in_transit_then_job_is_cancelled_by_id() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    for id in ["r1", "r2", "r3", "r4"] {
        let client = node.submit_job(id, "view", 5.0);
        let request = worker.next_request();
        // The stopped node finds both events when it continues: the disconnect of its client and the 202.
        node.signal("-STOP");
        drop(client);
        request.accept();
        node.signal("-CONT");
        // If the node only closed the connection, the job would run on, and another attempt could run beside
        // it.
        worker.expect_cancellation(id).respond("200 OK");
    }
}

/// Asserts that the connection of an attempt is closed, and that the job is cancelled by id on another
/// connection.
fn assert_cancelled(worker: &ScriptedServer, id: &str, connection: usize) {
    let events = [worker.next_event(), worker.next_event()];
    let (closes, cancellations): (Vec<_>, Vec<_>) =
        events.iter().partition(|request| request.message.start_line.is_empty());
    assert_eq!(closes.iter().map(|close| close.connection).collect::<Vec<_>>(), [connection]);
    assert_eq!(cancellations[0].message.start_line, format!("DELETE /jobs/{id} HTTP/1.1"));
    assert_ne!(cancellations[0].connection, connection);
}

#[test]
fn client_closes_connection_then_its_job_is_cancelled() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    // After the 202 the job is cancelled by id.
    let client = node.submit_accepted_job(&worker, "r1", "view", 5.0);
    node.post_callback("r1", "s-1", r#""state":"started""#);
    drop(client);
    let request = worker.next_event();
    assert_eq!(request.message.start_line, "DELETE /jobs/r1 HTTP/1.1");
    request.respond("204 No Content");
    // Before the 202 the connection is closed as well. After a partition only a repeated cancellation
    // arrives.
    let client = node.submit_job("r2", "view", 5.0);
    let request = worker.next_request();
    assert!(request.message.start_line.starts_with("POST"), "{}", request.message.start_line);
    drop(client);
    assert_cancelled(&worker, "r2", request.connection);
    assert_eq!(node.counter("curlewusher_clients_gone_total"), 2);
}

#[test]
fn worker_is_unresponsive_then_client_gets_response_by_deadline_and_attempt_is_cancelled() {
    // The job may have run, so that an order fails and a view is rejected. In both cases the attempt is
    // cancelled.
    for (class, status) in [("order", 502), ("view", 503)] {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let client = node.submit_job("r1", class, 0.3);
        let request = worker.next_event();
        assert!(request.message.start_line.starts_with("POST"));
        let response = read_response(client);
        assert_eq!((response.status(), response.header("retry-after").is_some()), (status, status == 503));
        assert_cancelled(&worker, "r1", request.connection);
        assert_eq!(node.counter("curlewusher_delivery_attempts_given_up_total"), 1);
    }
}

#[test]
fn cancellation_gets_error_response_then_accepted_job_is_not_retried() {
    // The worker responds and continues to run the job: another attempt would duplicate it.
    for status in
        ["503 Service Unavailable", "500 Internal Server Error", "429 Too Many Requests", "302 Found"]
    {
        let ([one, two], node, _watch, _discovery) = Node::start_with_two_workers();
        let client = node.submit_job("r1", "view", 8.0);
        let (worker, request, other) = next_request_at_either(&one, &two);
        // The job is cancelled because it does not start.
        request.accept();
        for _ in 0..3 {
            let (server, cancellation, _) = next_request_at_either(&one, &two);
            assert!(
                std::ptr::eq(server, worker),
                "another attempt began while the first one runs, after {status}"
            );
            assert_eq!(cancellation.message.start_line, "DELETE /jobs/r1 HTTP/1.1");
            cancellation.respond(status);
        }
        worker.expect_cancellation("r1").respond("204 No Content");
        let request = other.next_request();
        node.serve_job(client, &request, "r1", if std::ptr::eq(other, &one) { "s-1" } else { "s-2" });
    }
}

/// Returns the listener of a worker that reads only when the test reads. Until then its system receives only
/// a part of a long request.
fn listen_with_short_receive_buffer() -> TcpListener {
    const RECEIVE_BUFFER_BYTES: usize = 4096;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("creating the socket failed");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("setting the receive buffer failed");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("binding a port failed");
    socket.listen(16).expect("listening on the socket failed");
    socket.set_nonblocking(true).expect("making the listener non-blocking failed");
    socket.into()
}

/// Waits for the next connection to one of these workers. Returns the index of the worker and the connection.
fn next_connection(workers: &[TcpListener]) -> (usize, TcpStream) {
    let mut next = None;
    wait_until("no connection was established", || {
        let accepted = workers.iter().enumerate().find_map(|(i, worker)| Some((i, worker.accept().ok()?.0)));
        next = accepted;
        next.is_some()
    });
    let (index, stream) = next.expect("no connection was accepted");
    stream.set_nonblocking(false).expect("making the stream blocking failed");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the read timeout failed");
    (index, stream)
}

#[test]
fn request_is_partly_sent_at_its_cancellation_then_the_rest_never_arrives() {
    // The operating system still holds bytes of the first attempt. It must not deliver them after the retry,
    // as a duplicate attempt.
    let workers = [listen_with_short_receive_buffer(), listen_with_short_receive_buffer()];
    let names = ["s-1", "s-2"];
    let endpoint = |(worker, name): (&TcpListener, &str)| {
        endpoint_json(name, worker.local_addr().expect("the listener has no address"), "in_service")
    };
    let endpoints: Vec<_> = workers.iter().zip(names).map(endpoint).collect();
    let (node, _watch, _discovery) = Node::start_with_endpoints(&endpoints, 1024, node_config);
    let body = "x".repeat(60_000);
    let submission = job_request("r1", "view", 8.0, "").replace("Content-Length: 4", "Content-Length: 60000");
    let client = open_request(node.address, &submission.replace("body", &body));
    let (worker, unread) = next_connection(&workers);
    // The worker has read nothing when the job is cancelled, so that the job is unknown to it.
    let (index, cancellation) = next_connection(&workers);
    let request = HttpMessage::read(&mut BufReader::new(&cancellation)).expect("no request arrived");
    assert_eq!((index, request.start_line.as_str()), (worker, "DELETE /jobs/r1 HTTP/1.1"));
    respond(&cancellation, "404 Not Found");
    let (other, stream) = next_connection(&workers);
    assert_ne!(other, worker);
    assert_eq!(HttpMessage::read(&mut BufReader::new(&stream)).expect("no request arrived").body, body);
    respond(&stream, "202 Accepted");
    // Only now does the worker read the connection of the first attempt.
    assert!(HttpMessage::read(&mut BufReader::new(&unread)).is_none(), "a duplicate attempt arrived");
    node.complete_job(client, "r1", names[other]);
}

fn respond(mut stream: &TcpStream, status: &str) {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).expect("writing the response failed");
}
