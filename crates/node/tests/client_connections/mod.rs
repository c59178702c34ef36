//! Client connections: disconnects, requests that cross a close, and clients that read no responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::common::{
    Client, HttpMessage, Node, ScriptedServer, ScriptedWatch, TEST_TIMEOUT, job_request, node_config,
    open_request, read_response, send_request, wait_until,
};

/// Closes a connection, with a reset if `reset` is set.
fn close(stream: TcpStream, reset: bool) {
    if reset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("setting the socket option failed");
    }
    drop(stream);
}

#[test]
fn client_pipelines_data_and_disconnects_then_disconnect_is_noticed_and_job_is_not_sent() {
    // No worker is listed, so each job waits. The node reads a client's pipelined bytes before its close.
    let (node, watch, _discovery) = Node::start_with_workers(&[]);
    let noticed = || node.counter("curlewusher_clients_gone_total");
    let mut closed = 0;
    for length in [0, 3, 40, 200 << 10] {
        for reset in [false, true] {
            let before = node.counter("curlewusher_jobs_taken_total");
            let mut client = node.submit_job(&format!("r{closed}"), "view", 60.0);
            wait_until("the job was not accepted", || node.counter("curlewusher_jobs_taken_total") > before);
            client.write_all("x".repeat(length).as_bytes()).expect("writing to the node failed");
            close(client, reset);
            closed += 1;
            wait_until(&format!("no disconnect seen: {length} bytes, reset {reset}"), || noticed() == closed);
        }
    }
    let worker = ScriptedServer::start();
    watch.send_endpoints(43, false, &[worker.endpoint_json("s-1", "in_service")]);
    let client = node.submit_job("last", "view", 9.0);
    let received = worker.next_request();
    assert_eq!(received.message.header("x-request-id"), Some("last"));
    node.serve_job(client, &received, "last", "s-1");
    assert!(!worker.has_pending_request());
}

#[test]
fn client_pipelines_data_behind_chunked_job_and_disconnects_then_attempt_is_cancelled() {
    // hyper reads up to the end of a chunked body, together with the bytes behind it.
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nPOST /and more";
    let client = open_request(
        node.address,
        &job_request("r1", "view", 60.0, "").replace("Content-Length: 4\r\n\r\nbody", chunked),
    );
    worker.next_request().accept();
    close(client, false);
    wait_until("no disconnect was noticed", || node.counter("curlewusher_clients_gone_total") == 1);
    worker.expect_cancellation("r1");
}

#[test]
fn request_is_pipelined_behind_job_then_it_waits_and_is_served() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let mut client = Client::connect(node.address);
    client.send(&(job_request("r1", "view", 9.0, "") + &job_request("r2", "view", 9.0, "")));
    for id in ["r1", "r2"] {
        let received = worker.next_request();
        assert_eq!(received.message.header("x-request-id"), Some(id));
        received.accept();
        node.post_completion(id, "s-1");
        assert_eq!(client.read_response().expect("no response").status(), 200);
    }
}

/// Returns whether a connection was reset. The node first answers another request, after all earlier events.
fn is_reset(stream: &TcpStream, node: &Node) -> bool {
    node.get("/ready");
    stream.take_error().expect("reading the socket error failed").is_some()
}

/// Reads responses up to an orderly close. Returns their statuses.
fn read_statuses_to_end(mut stream: TcpStream, node: &Node, description: &str) -> Vec<u16> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap_or_else(|e| panic!("{description}: {e}"));
    assert!(!is_reset(&stream, node), "{description}");
    let mut rest = &bytes[..];
    std::iter::from_fn(|| HttpMessage::read(&mut rest)).map(|response| response.status()).collect()
}

#[test]
fn client_keeps_sending_then_it_reads_complete_response_and_orderly_close() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let pipelined = "x".repeat(100 << 10);
    let valid = job_request("r1", "view", 9.0, "");
    let cases = [
        (valid.replace("Content-Length: 4", "Content-Length: 200000"), 413),
        (
            valid
                .replace("X-Class: view", "X-Class: other")
                .replace("Content-Length: 4", "Content-Length: 200000"),
            400,
        ),
        (valid.replace("/api/k1", "/elsewhere").replace("Content-Length: 4", "Content-Length: 60000"), 404),
        ("nonsense\r\n\r\n".to_owned(), 400),
        (valid.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400),
    ];
    for (request, status) in cases {
        // The whole text is in transit before the node responds, and hyper leaves the pipelined part unread.
        let client = open_request(node.address, &(request.clone() + &pipelined));
        assert_eq!(read_statuses_to_end(client, &node, &request), [status], "{request}");
    }
    // The same for the response to a job with pipelined data behind it.
    let client = open_request(node.address, &(valid + &pipelined));
    worker.next_request().accept();
    node.post_completion("r1", "s-1");
    assert_eq!(read_statuses_to_end(client, &node, "a job"), [200]);
}

#[test]
fn request_crosses_connection_close_then_it_is_not_served_and_not_reset() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let mut idle = connect_idle_client(&node);
    // A job in flight keeps the node running.
    let client = node.submit_accepted_job(&worker, "r1", "view", 9.0);
    node.signal("-TERM");
    assert_eq!(idle.read(&mut [0]).expect("the node reset the connection"), 0);
    idle.write_all(job_request("r2", "view", 9.0, "").as_bytes()).expect("writing to the node failed");
    assert!(!is_reset(&idle, &node));
    node.complete_job(client, "r1", "s-1");
    assert!(node.wait_for_exit().status.success());
    assert!(!worker.has_pending_request());
}

const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// Opens an idle connection, on which one request was answered.
fn connect_idle_client(node: &Node) -> TcpStream {
    let stream = open_request(node.address, READY_REQUEST);
    assert_eq!(HttpMessage::read(&mut std::io::BufReader::new(&stream)).expect("no response").status(), 200);
    stream
}

/// Waits for the close of an idle connection. From then on the node exits as soon as no job is in flight.
fn wait_for_close(mut idle: TcpStream) {
    assert_eq!(idle.read(&mut [0]).expect("the node reset the connection"), 0);
}

/// Accepts and completes the next `count` jobs at the worker.
fn complete_next_jobs(node: &Node, worker: &ScriptedServer, count: usize) {
    for _ in 0..count {
        let received = worker.next_request();
        received.accept();
        node.post_completion(received.message.header("x-request-id").expect("no job id"), "s-1");
    }
}

/// Asserts that each client gets this status and a close, and that the node then exits with success.
fn assert_answered_before_exit(node: Node, clients: impl IntoIterator<Item = TcpStream>, status: u16) {
    for client in clients {
        let response = read_response(client);
        assert_eq!((response.status(), response.header("connection")), (status, Some("close")));
    }
    assert!(node.wait_for_exit().status.success());
}

#[test]
fn request_is_partly_read_at_sigterm_then_it_is_served() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let first = node.submit_accepted_job(&worker, "r1", "view", 9.0);
    let idle = connect_idle_client(&node);
    node.signal("-TERM");
    wait_until("the node did not become unready", || node.get("/ready").status() != 200);
    let requests = ["r2", "r3"].map(|id| job_request(id, "view", 9.0, ""));
    // The first request is cut in its head, the second in its body.
    let mut parts = requests.iter().zip([30, requests[1].len() - 2]).map(|(text, cut)| text.split_at(cut));
    let mut clients: Vec<_> =
        parts.by_ref().map(|(first_part, rest)| (open_request(node.address, first_part), rest)).collect();
    wait_for_close(idle);
    for (client, rest) in &mut clients {
        client.write_all(rest.as_bytes()).expect("writing to the node failed");
    }
    wait_until("not all jobs were accepted", || node.counter("curlewusher_jobs_taken_total") == 3);
    node.post_completion("r1", "s-1");
    complete_next_jobs(&node, &worker, clients.len());
    assert_answered_before_exit(node, clients.into_iter().map(|(client, _)| client).chain([first]), 200);
}

#[test]
fn last_open_job_is_answered_during_shutdown_then_partial_requests_are_completed_and_served() {
    // Guards against a node that stops reading requests while they are arriving.
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let first = node.submit_accepted_job(&worker, "r1", "view", 9.0);
    let [idle, used] = [connect_idle_client(&node), connect_idle_client(&node)];
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    let requests = ["r2", "r3"].map(|id| job_request(id, "view", 9.0, ""));
    let mut clients = [used, open_request(node.address, "")];
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.write_all(&request.as_bytes()[..30]).expect("writing to the node failed");
    }
    wait_for_close(idle);
    node.complete_job(first, "r1", "s-1");
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.write_all(&request.as_bytes()[30..]).expect("writing to the node failed");
    }
    complete_next_jobs(&node, &worker, clients.len());
    assert_answered_before_exit(node, clients, 200);
}

#[test]
fn client_stops_in_middle_of_head_during_shutdown_then_it_gets_503() {
    // Guards against the close of a connection without a response to a request that has begun.
    let (_worker, node, _watch, _discovery) = Node::start_with_worker();
    let [idle, used] = [connect_idle_client(&node), connect_idle_client(&node)];
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    let request = job_request("r1", "view", 9.0, "");
    let clients = [used, open_request(node.address, "")];
    for mut client in &clients {
        client.write_all(&request.as_bytes()[..30]).expect("writing to the node failed");
    }
    wait_for_close(idle);
    assert_answered_before_exit(node, clients, 503);
}

#[test]
fn client_sends_slowly_until_final_responses_of_shutdown_then_it_is_answered_before_sigkill() {
    // Guards against a partial request that keeps the node running until it is killed.
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    // The worker does not complete the job, so that its response is a final response of the shutdown.
    let first = node.submit_accepted_job(&worker, "r1", "view", 60.0);
    let idle = connect_idle_client(&node);
    node.signal("-TERM");
    wait_for_close(idle);
    let slow = open_request(node.address, "POST /api/k1 HTTP/1.1\r\nX-Filler: ");
    let mut writer = slow.try_clone().expect("duplicating the stream failed");
    // Sends until the node closes the connection, at most for 10 s, the maximum duration of a request.
    let sending = std::thread::spawn(move || {
        (0..100).all(|_| {
            std::thread::sleep(Duration::from_millis(100));
            writer.write_all(b"x").is_ok()
        })
    });
    assert_eq!(read_response(first).status(), 503);
    assert_answered_before_exit(node, [slow], 503);
    assert!(!sending.join().expect("the client's thread panicked"), "the slow client was not cut off");
}

/// Sends a job on one new connection after another until the node refuses one. Each job must get 503.
fn send_until_refused(address: SocketAddr, request: &str) {
    while let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the socket option failed");
        stream.write_all(request.as_bytes()).expect("writing to the node failed");
        let response = HttpMessage::read(&mut std::io::BufReader::new(&stream)).expect("no response");
        assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
    }
}

#[test]
fn clients_connect_until_node_exits_then_each_is_answered_or_refused() {
    // Guards against a reset of connections that wait in the accept queue when the node exits.
    let (_worker, node, _watch, _discovery) = Node::start_with_worker();
    let idle = connect_idle_client(&node);
    node.signal("-TERM");
    wait_for_close(idle);
    let address = node.address;
    let request = job_request("r1", "view", 9.0, "");
    let clients = [(); 4].map(|()| {
        let request = request.clone();
        std::thread::spawn(move || send_until_refused(address, &request))
    });
    for client in clients {
        client.join().expect("the client's thread panicked");
    }
    assert!(node.wait_for_exit().status.success());
}

/// Connects a client that requests more than the system buffers for it and reads only the first bytes.
fn connect_stalled_client(node: &Node) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("no socket");
    socket.set_recv_buffer_size(4096).expect("setting the socket option failed");
    // The system buffers a few dozen segments. Without this limit each has 64 KiB on the loopback interface.
    socket.set_tcp_mss(1460).expect("setting the socket option failed");
    socket.connect(&node.address.into()).expect("connecting to the node failed");
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the socket option failed");
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.write_all(request.repeat(420).as_bytes()).expect("writing to the node failed");
    stream.read_exact(&mut [0; 12]).expect("no response");
    stream
}

#[test]
fn job_arrives_after_final_response_of_shutdown_then_it_gets_503_with_retry_after() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let _slow_client = connect_stalled_client(&node);
    let idle = connect_idle_client(&node);
    node.signal("-TERM");
    wait_for_close(idle);
    // No job is in flight. The response that the slow client does not read keeps the node running briefly.
    let response = send_request(node.address, &job_request("r1", "view", 9.0, ""));
    assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
    assert!(response.header("retry-after").is_some());
    assert!(node.wait_for_exit().status.success());
    assert!(!worker.has_pending_request());
}

#[test]
fn sigterm_arrives_twice_before_first_list_then_every_job_is_answered_and_exit_succeeds() {
    let discovery = ScriptedServer::start();
    let node = Node::start(&node_config(discovery.address, &[]));
    // Discovery does not respond.
    discovery.next_request();
    let client = node.submit_job("r1", "view", 60.0);
    wait_until("the job was not accepted", || node.counter("curlewusher_jobs_taken_total") == 1);
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    node.signal("-HUP");
    node.signal("-TERM");
    let response = read_response(client);
    assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
    assert!(node.wait_for_exit().status.success());
}

/// Starts a worker, and a node with 64 file descriptors that lists it. Also returns its watch and discovery.
fn start_with_64_descriptors() -> (ScriptedServer, Node, ScriptedWatch, ScriptedServer) {
    let worker = ScriptedServer::start();
    let endpoints = [worker.endpoint_json("s-1", "in_service")];
    let config = |discovery, endpoints: &[String]| node_config(discovery, endpoints).replace("1024", "64");
    let (node, watch, discovery) = Node::start_with_endpoints(&endpoints, 64, config);
    (worker, node, watch, discovery)
}

#[test]
fn many_misbehaving_clients_connect_then_good_clients_are_served() {
    let (worker, node, _watch, _discovery) = start_with_64_descriptors();
    wait_until("the node did not become ready", || node.get("/ready").status() == 200);
    let pipelined = "x".repeat(60 << 10);
    let build_bad_request = |kind: usize| match kind {
        // Unknown path and invalid chunk with pipelined data; partial head; nothing; partial second request.
        0 => "POST /elsewhere HTTP/1.1\r\nContent-Length: 60000\r\n\r\n".to_owned() + &pipelined,
        1 => "POST /api/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned() + &pipelined,
        2 => "POST /api".to_owned(),
        3 => String::new(),
        _ => READY_REQUEST.to_owned() + "GET /and",
    };
    // Three of four clients disconnect at once, one with a reset. The fourth stays until the node closes.
    let mut kept_clients = Vec::new();
    for n in 0..300 {
        let mut stream = TcpStream::connect(node.address).expect("connecting to the node failed");
        // The node may have evicted the connection already.
        let _ = stream.write_all(build_bad_request(n % 5).as_bytes());
        match n % 4 {
            0 => kept_clients.push(stream),
            remainder => close(stream, remainder == 1),
        }
        if n % 50 == 49 {
            let id = format!("r{n}");
            node.assert_serves(&worker, &id, "view", "s-1");
            assert_eq!(node.get("/ready").status(), 200);
        }
    }
    assert_eq!(node.counter("curlewusher_accept_failures_total"), 0, "descriptors were exhausted");
    // The node must close the remaining connections, with or without a reset.
    for mut stream in kept_clients {
        let mut bytes = Vec::new();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the socket option failed");
        let is_timeout = |e: std::io::Error| e.kind() == std::io::ErrorKind::WouldBlock;
        assert!(!stream.read_to_end(&mut bytes).is_err_and(is_timeout), "a connection stayed open");
    }
}

#[test]
fn clients_read_no_responses_then_they_yield_descriptors_to_a_job() {
    let (worker, node, _watch, _discovery) = start_with_64_descriptors();
    // More clients than the connection budget. Each blocks its responses and stays connected.
    let _clients: Vec<_> = (0..40).map(|_| connect_stalled_client(&node)).collect();
    node.assert_serves(&worker, "r1", "view", "s-1");
}

#[test]
fn job_arrives_during_last_cancellation_after_sigterm_then_it_gets_503() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "order", 60.0);
    node.signal("-TERM");
    assert_eq!(read_response(client).status(), 502);
    // The worker does not respond. By the second cancellation the node has closed all client connections.
    for _ in 0..2 {
        worker.expect_cancellation("r1");
    }
    let response = send_request(node.address, &job_request("r2", "view", 9.0, ""));
    assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
    assert!(node.wait_for_exit().status.success());
}

#[test]
fn callback_is_invalid_then_it_is_rejected_and_changes_nothing() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "view", 9.0);
    let invalid_bodies = [
        "",
        "{",
        r#"{"id":"r1","from":"s-1"}"#,
        r#"{"id":"r1","from":"s-1","state":"asleep"}"#,
        r#"{"id":"r1","from":"s-1","state":"running"}"#,
        r#"{"id":"r1","from":"s-1","state":"running","share":1.5}"#,
        r#"{"id":"r1","from":"s-1","state":"done"}"#,
        r#"{"id":"r1","from":"s-1","state":"done","result":"\ud800"}"#,
        r#"{"id":["r1"],"from":"s-1","state":"lost"}"#,
    ];
    for body in invalid_bodies {
        assert_eq!(node.send_callback(body), 400, "{body}");
    }
    assert_eq!(
        node.send_callback(&format!(r#"{{"id":"r1","from":"s-1","state":"lost"{}}}"#, " ".repeat(70_000))),
        413
    );
    // One client disconnects in the middle of its body, and another one stops sending there.
    let partial_request = "POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{\"id\":\"r1\",";
    drop(open_request(node.address, partial_request));
    assert_eq!(send_request(node.address, partial_request).status(), 408);
    node.complete_job(client, "r1", "s-1");
    assert!(!worker.has_pending_request());
}

/// Sends the first part of each request as the node's drain completes and idle connections close: the first
/// on a connection that was used before, the second on a new one. Returns the clients and the rests of their
/// requests, or `None` if the node was paused too late or for too long and the test must start again.
fn send_partial_heads_as_drain_ends(node: &Node, requests: &[String; 2]) -> Option<Vec<(TcpStream, String)>> {
    // The drain of this second node begins later, so the first drain has completed once this node exits.
    let (timer_node, _watch, _discovery) = Node::start_with_workers(&[]);
    let control = connect_idle_client(node);
    let connections = [connect_idle_client(node), open_request(node.address, "")];
    // After this response the node has accepted all connections.
    node.get("/ready");
    let terminated_at = Instant::now();
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    let paused_node = node.pause();
    control.set_nonblocking(true).expect("setting the socket option failed");
    if control.peek(&mut [0]).is_ok() {
        return None;
    }
    control.set_nonblocking(false).expect("setting the socket option failed");
    timer_node.signal("-TERM");
    assert!(timer_node.wait_for_exit().status.success());
    // The deadline for the final responses is 3.3 s after SIGTERM.
    if terminated_at.elapsed() > Duration::from_millis(1500) {
        return None;
    }
    let mut clients = Vec::new();
    for (mut client, request) in connections.into_iter().zip(requests) {
        let (first_part, rest) = request.split_at(30);
        client.write_all(first_part.as_bytes()).expect("writing to the node failed");
        clients.push((client, rest.to_owned()));
    }
    drop(paused_node);
    wait_for_close(control);
    Some(clients)
}

#[test]
fn partial_head_arrives_at_connection_close_then_it_is_completed_and_served() {
    let paused_in_time = (0..20).any(|_| {
        let (node, watch, _discovery) = Node::start_with_workers(&[]);
        // The node has no worker. A job that waits for one keeps the node running.
        let first = node.submit_job("r1", "view", 9.0);
        wait_until("the job was not accepted", || node.counter("curlewusher_jobs_taken_total") == 1);
        let requests = ["r2", "r3"].map(|id| job_request(id, "view", 9.0, ""));
        let Some(mut clients) = send_partial_heads_as_drain_ends(&node, &requests) else { return false };
        for (client, rest) in &mut clients {
            client.write_all(rest.as_bytes()).expect("writing to the node failed");
        }
        let worker = ScriptedServer::start();
        watch.send_endpoints(43, false, &[worker.endpoint_json("s-1", "in_service")]);
        complete_next_jobs(&node, &worker, clients.len() + 1);
        assert_answered_before_exit(node, clients.into_iter().map(|(client, _)| client).chain([first]), 200);
        true
    });
    assert!(paused_in_time, "the node was never paused in time");
}

#[test]
fn partial_head_arrives_after_final_response_of_shutdown_then_complete_request_gets_503() {
    let paused_in_time = (0..20).any(|_| {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let requests = ["r1", "r2"].map(|id| job_request(id, "view", 9.0, ""));
        let Some(mut clients) = send_partial_heads_as_drain_ends(&node, &requests) else { return false };
        for (client, rest) in &mut clients {
            client.write_all(rest.as_bytes()).expect("writing to the node failed");
        }
        assert_answered_before_exit(node, clients.into_iter().map(|(client, _)| client), 503);
        assert!(!worker.has_pending_request());
        true
    });
    assert!(paused_in_time, "the node was never paused in time");
}
