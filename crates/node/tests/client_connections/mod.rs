//! Connections of clients that disconnect, close or send at the same moment as the node, or read no responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::common::{
    Client, HttpMessage, Node, ScriptedServer, ScriptedWatch, TEST_TIMEOUT, job_request, node_config,
    open_request, read_response, send_request, wait_until,
};

/// Closes a connection, with a reset or in good order.
fn close(stream: TcpStream, reset: bool) {
    if reset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option of any socket");
    }
    drop(stream);
}

#[test]
fn client_pipelines_data_and_disconnects_then_disconnect_is_noticed_and_job_is_not_sent() {
    // No worker is there, so that each job waits. The close of a client lies behind the bytes that it pipelined.
    let (node, watch, _discovery) = Node::start_with_workers(&[]);
    let gone = || node.counter("curlewusher_clients_gone_total");
    let mut clients = 0;
    for more in [0, 3, 40, 200 << 10] {
        for reset in [false, true] {
            let taken = node.counter("curlewusher_jobs_taken_total");
            let mut client = node.submit_job(&format!("r{clients}"), "view", 60.0);
            wait_until("the job is not taken", || node.counter("curlewusher_jobs_taken_total") > taken);
            client.write_all("x".repeat(more).as_bytes()).expect("it reads on");
            close(client, reset);
            clients += 1;
            wait_until(&format!("{more} bytes, reset: {reset}"), || gone() == clients);
        }
    }
    let worker = ScriptedServer::start();
    watch.send_endpoints(43, false, &[worker.endpoint_json("s-1", "in_service")]);
    let client = node.submit_job("last", "view", 9.0);
    let got = worker.next_request();
    assert_eq!(got.message.header("x-request-id"), Some("last"));
    node.serve_job(client, &got, "last", "s-1");
    assert!(!worker.has_pending_request());
}

#[test]
fn client_pipelines_data_behind_chunked_job_and_disconnects_then_job_is_withdrawn() {
    // hyper reads to the end of a chunked body, and what lies behind that with it.
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nPOST /and more";
    let client = open_request(
        node.address,
        &job_request("r1", "view", 60.0, "").replace("Content-Length: 4\r\n\r\nbody", chunked),
    );
    worker.next_request().accept();
    close(client, false);
    wait_until("the client is not seen to leave", || node.counter("curlewusher_clients_gone_total") == 1);
    worker.expect_withdrawal("r1");
}

#[test]
fn request_is_pipelined_behind_job_then_it_waits_and_is_served() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let mut client = Client::connect(node.address);
    client.send(&(job_request("r1", "view", 9.0, "") + &job_request("r2", "view", 9.0, "")));
    for id in ["r1", "r2"] {
        let got = worker.next_request();
        assert_eq!(got.message.header("x-request-id"), Some(id));
        got.accept();
        node.post_completion(id, "s-1");
        assert_eq!(client.read_response().expect("an answer").status(), 200);
    }
}

/// Whether a connection was reset, once the node has handled all earlier events: it answers another request after them.
fn is_reset(stream: &TcpStream, node: &Node) -> bool {
    node.get("/ready");
    stream.take_error().expect("an option of any socket").is_some()
}

/// Reads responses up to an orderly close; returns their statuses.
fn read_statuses_to_end(mut stream: TcpStream, node: &Node, what: &str) -> Vec<u16> {
    let mut said = Vec::new();
    stream.read_to_end(&mut said).unwrap_or_else(|e| panic!("{what}: {e}"));
    assert!(!is_reset(&stream, node), "{what}");
    let mut rest = &said[..];
    std::iter::from_fn(|| HttpMessage::read(&mut rest)).map(|answer| answer.status()).collect()
}

#[test]
fn client_keeps_sending_then_it_reads_complete_response_and_orderly_close() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let much = "x".repeat(100 << 10);
    let good = job_request("r1", "view", 9.0, "");
    let cases = [
        (good.replace("Content-Length: 4", "Content-Length: 200000"), 413),
        (
            good.replace("X-Class: view", "X-Class: other")
                .replace("Content-Length: 4", "Content-Length: 200000"),
            400,
        ),
        (good.replace("/api/k1", "/elsewhere").replace("Content-Length: 4", "Content-Length: 60000"), 404),
        ("nonsense\r\n\r\n".to_owned(), 400),
        (good.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400),
    ];
    for (request, status) in cases {
        // All of it is under way before the answer is made, and stays unread by hyper.
        let client = open_request(node.address, &(request.clone() + &much));
        assert_eq!(read_statuses_to_end(client, &node, &request), [status], "{request}");
    }
    // The answer to a job, behind which much came.
    let client = open_request(node.address, &(good + &much));
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
    assert_eq!(idle.read(&mut [0]).expect("an end in good order"), 0);
    idle.write_all(job_request("r2", "view", 9.0, "").as_bytes()).expect("it is read");
    assert!(!is_reset(&idle, &node));
    node.complete_job(client, "r1", "s-1");
    assert!(node.wait_for_exit().status.success());
    assert!(!worker.has_pending_request());
}

const READY: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// An idle connection, on which one request was answered.
fn connect_idle_client(node: &Node) -> TcpStream {
    let stream = open_request(node.address, READY);
    assert_eq!(HttpMessage::read(&mut std::io::BufReader::new(&stream)).expect("an answer").status(), 200);
    stream
}

/// Returns once the node has closed an idle connection. From then on it exits as soon as no job is in flight.
fn wait_for_close(mut idle: TcpStream) {
    assert_eq!(idle.read(&mut [0]).expect("an end in good order"), 0);
}

/// The worker accepts and completes the next jobs.
fn complete_next_jobs(node: &Node, worker: &ScriptedServer, count: usize) {
    for _ in 0..count {
        let got = worker.next_request();
        got.accept();
        node.post_completion(got.message.header("x-request-id").expect("an id"), "s-1");
    }
}

/// Asserts that each client gets that status and the end of its connection, and that the node then exits with success.
fn assert_answered_before_exit(node: Node, clients: impl IntoIterator<Item = TcpStream>, status: u16) {
    for client in clients {
        let answer = read_response(client);
        assert_eq!((answer.status(), answer.header("connection")), (status, Some("close")));
    }
    assert!(node.wait_for_exit().status.success());
}

#[test]
fn request_is_partly_read_at_sigterm_then_it_is_served() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let first = node.submit_accepted_job(&worker, "r1", "view", 9.0);
    let idle = connect_idle_client(&node);
    node.signal("-TERM");
    wait_until("it stays ready", || node.get("/ready").status() != 200);
    let requests = ["r2", "r3"].map(|id| job_request(id, "view", 9.0, ""));
    // One is in its head, the other in its body.
    let mut parts = requests.iter().zip([30, requests[1].len() - 2]).map(|(r, at)| r.split_at(at));
    let mut begun: Vec<_> =
        parts.by_ref().map(|(begun, rest)| (open_request(node.address, begun), rest)).collect();
    wait_for_close(idle);
    for (client, rest) in &mut begun {
        client.write_all(rest.as_bytes()).expect("it reads on");
    }
    wait_until("not all jobs are taken", || node.counter("curlewusher_jobs_taken_total") == 3);
    node.post_completion("r1", "s-1");
    complete_next_jobs(&node, &worker, begun.len());
    assert_answered_before_exit(node, begun.into_iter().map(|(client, _)| client).chain([first]), 200);
}

#[test]
fn last_open_job_is_answered_during_shutdown_then_partial_requests_are_completed_and_served() {
    // Guards against an intake that closes while requests are arriving.
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let first = node.submit_accepted_job(&worker, "r1", "view", 9.0);
    let [idle, used] = [connect_idle_client(&node), connect_idle_client(&node)];
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    let requests = ["r2", "r3"].map(|id| job_request(id, "view", 9.0, ""));
    let mut clients = [used, open_request(node.address, "")];
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.write_all(&request.as_bytes()[..30]).expect("it reads");
    }
    wait_for_close(idle);
    node.complete_job(first, "r1", "s-1");
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.write_all(&request.as_bytes()[30..]).expect("it reads on");
    }
    complete_next_jobs(&node, &worker, clients.len());
    assert_answered_before_exit(node, clients, 200);
}

#[test]
fn client_stops_in_middle_of_head_during_shutdown_then_it_gets_503() {
    // Guards against a close without a response over a request that has begun.
    let (_worker, node, _watch, _discovery) = Node::start_with_worker();
    let [idle, used] = [connect_idle_client(&node), connect_idle_client(&node)];
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    let request = job_request("r1", "view", 9.0, "");
    let clients = [used, open_request(node.address, "")];
    for mut client in &clients {
        client.write_all(&request.as_bytes()[..30]).expect("it reads");
    }
    wait_for_close(idle);
    assert_answered_before_exit(node, clients, 503);
}

#[test]
fn client_sends_slowly_until_last_answers_of_shutdown_then_it_is_answered_before_sigkill() {
    // Guards against a request in progress that keeps the node open until it is killed.
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    // Its worker does not complete it: its answer is the last one of the shutdown.
    let first = node.submit_accepted_job(&worker, "r1", "view", 60.0);
    let idle = connect_idle_client(&node);
    node.signal("-TERM");
    wait_for_close(idle);
    let slow = open_request(node.address, "POST /api/k1 HTTP/1.1\r\nX-Filler: ");
    let mut writer = slow.try_clone().expect("a descriptor is free");
    // Until the node closes the connection; at most the 10 s of the longest request.
    let sending = std::thread::spawn(move || {
        (0..100).all(|_| {
            std::thread::sleep(Duration::from_millis(100));
            writer.write_all(b"x").is_ok()
        })
    });
    assert_eq!(read_response(first).status(), 503);
    assert_answered_before_exit(node, [slow], 503);
    assert!(!sending.join().expect("it does not panic"), "it was cut off");
}

/// Sends a job on one new connection after the other until the node refuses one; each gets 503 before that.
fn send_until_refused(address: SocketAddr, request: &str) {
    while let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        stream.write_all(request.as_bytes()).expect("it reads");
        let answer = HttpMessage::read(&mut std::io::BufReader::new(&stream)).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    }
}

#[test]
fn clients_connect_until_node_exits_then_each_is_answered_or_refused() {
    // Guards against a reset of connections that wait at the listener when the node exits.
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
        client.join().expect("each of its connections is answered");
    }
    assert!(node.wait_for_exit().status.success());
}

/// A client that requests more than the system buffers for it, and reads the first bytes only.
fn connect_client_that_reads_nothing(node: &Node) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("an option of any socket");
    // The system holds a few dozen segments for it, which are 64 KiB each on the loopback interface otherwise.
    socket.set_tcp_mss(1460).expect("an option of any TCP socket");
    socket.connect(&node.address.into()).expect("it listens");
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    let ask = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.write_all(ask.repeat(420).as_bytes()).expect("it reads");
    stream.read_exact(&mut [0; 12]).expect("an answer");
    stream
}

#[test]
fn job_arrives_after_last_answer_of_shutdown_then_it_gets_503_with_retry_after() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let _slow = connect_client_that_reads_nothing(&node);
    let idle = connect_idle_client(&node);
    node.signal("-TERM");
    wait_for_close(idle);
    // No job was in flight, and a response that is not read keeps the node running a little longer.
    let answer = send_request(node.address, &job_request("r1", "view", 9.0, ""));
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    assert!(answer.header("retry-after").is_some());
    assert!(node.wait_for_exit().status.success());
    assert!(!worker.has_pending_request());
}

#[test]
fn sigterm_arrives_twice_before_first_list_then_every_job_is_answered_and_exit_succeeds() {
    let discovery = ScriptedServer::start();
    let node = Node::start(&node_config(discovery.address, &[]));
    // Discovery holds its answer.
    discovery.next_request();
    let client = node.submit_job("r1", "view", 60.0);
    wait_until("the job is not taken", || node.counter("curlewusher_jobs_taken_total") == 1);
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    node.signal("-HUP");
    node.signal("-TERM");
    let answer = read_response(client);
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    assert!(node.wait_for_exit().status.success());
}

/// A worker, and a node that knows it and has few descriptors.
fn start_with_64_descriptors() -> (ScriptedServer, Node, ScriptedWatch, ScriptedServer) {
    let worker = ScriptedServer::start();
    let known = [worker.endpoint_json("s-1", "in_service")];
    let config = |discovery, known: &[String]| node_config(discovery, known).replace("1024", "64");
    let (node, watch, discovery) = Node::start_with_endpoints(&known, 64, config);
    (worker, node, watch, discovery)
}

#[test]
fn many_misbehaving_clients_connect_then_good_clients_are_served() {
    let (worker, node, _watch, _discovery) = start_with_64_descriptors();
    wait_until("it stays unready", || node.get("/ready").status() == 200);
    let much = "x".repeat(60 << 10);
    let bad = |kind: usize| match kind {
        // Refused, with much behind it; refused in its body; half a head; nothing; good, with more behind it.
        0 => "POST /elsewhere HTTP/1.1\r\nContent-Length: 60000\r\n\r\n".to_owned() + &much,
        1 => "POST /api/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned() + &much,
        2 => "POST /api".to_owned(),
        3 => String::new(),
        _ => READY.to_owned() + "GET /and",
    };
    // Most are closed at once, with a reset or without. Some are kept until the node closes them.
    let mut rest = Vec::new();
    for n in 0..300 {
        let mut stream = TcpStream::connect(node.address).expect("it listens");
        // It may have been evicted already.
        let _ = stream.write_all(bad(n % 5).as_bytes());
        match n % 4 {
            0 => rest.push(stream),
            left => close(stream, left == 1),
        }
        if n % 50 == 49 {
            let id = format!("r{n}");
            node.assert_serves(&worker, &id, "view", "s-1");
            assert_eq!(node.get("/ready").status(), 200);
        }
    }
    assert_eq!(node.counter("curlewusher_accept_failures_total"), 0, "it keeps within its descriptors");
    // The connections that were kept are closed, in good order or not.
    for mut stream in rest {
        let mut said = Vec::new();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        let timed_out = |e: std::io::Error| e.kind() == std::io::ErrorKind::WouldBlock;
        assert!(!stream.read_to_end(&mut said).is_err_and(timed_out), "it is kept open");
    }
}

#[test]
fn clients_read_no_responses_then_they_yield_descriptors_to_a_job() {
    let (worker, node, _watch, _discovery) = start_with_64_descriptors();
    // More than the connection budget; each blocks its responses, and stays connected.
    let _crowd: Vec<_> = (0..40).map(|_| connect_client_that_reads_nothing(&node)).collect();
    node.assert_serves(&worker, "r1", "view", "s-1");
}

#[test]
fn job_arrives_during_last_withdrawal_after_sigterm_then_it_gets_503() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "order", 60.0);
    node.signal("-TERM");
    assert_eq!(read_response(client).status(), 502);
    // Its worker has received the withdrawal and does not respond. By the time of the second withdrawal the node has
    // closed all its connections.
    for _ in 0..2 {
        worker.expect_withdrawal("r1");
    }
    let late = send_request(node.address, &job_request("r2", "view", 9.0, ""));
    assert_eq!((late.status(), late.header("connection")), (503, Some("close")));
    assert!(node.wait_for_exit().status.success());
}

#[test]
fn callback_is_invalid_then_it_is_rejected_and_changes_nothing() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "view", 9.0);
    let cases = [
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
    for case in cases {
        assert_eq!(node.callback(case), 400, "{case}");
    }
    assert_eq!(
        node.callback(&format!(r#"{{"id":"r1","from":"s-1","state":"lost"{}}}"#, " ".repeat(70_000))),
        413
    );
    // One client disconnects in the middle of its body, and one sends nothing more.
    let half = "POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{\"id\":\"r1\",";
    drop(open_request(node.address, half));
    assert_eq!(send_request(node.address, half).status(), 408);
    node.complete_job(client, "r1", "s-1");
    assert!(!worker.has_pending_request());
}

/// Sends the first part of each request at the moment at which the drain of the node is over and it closes idle
/// connections: one on which a request was answered, and a new one. Returns the clients with the rest of their requests;
/// none where the node was paused too late or for too long, so that the attempt shows nothing.
fn send_partial_heads_as_drain_ends(node: &Node, requests: &[String; 2]) -> Option<Vec<(TcpStream, String)>> {
    // The drain of this second node begins later, so that the first node's drain is over once this one has exited.
    let (clock, _watch, _discovery) = Node::start_with_workers(&[]);
    let control = connect_idle_client(node);
    let begun = [connect_idle_client(node), open_request(node.address, "")];
    // All of them are accepted.
    node.get("/ready");
    let terminated_at = Instant::now();
    node.signal("-TERM");
    node.wait_for_log_line("graceful shutdown started");
    let held = node.pause();
    control.set_nonblocking(true).expect("a stream");
    if control.peek(&mut [0]).is_ok() {
        return None;
    }
    control.set_nonblocking(false).expect("a stream");
    clock.signal("-TERM");
    assert!(clock.wait_for_exit().status.success());
    // The last answers are due 3.3 s after SIGTERM.
    if terminated_at.elapsed() > Duration::from_millis(1500) {
        return None;
    }
    let mut clients = Vec::new();
    for (mut client, request) in begun.into_iter().zip(requests) {
        let (half, rest) = request.split_at(30);
        client.write_all(half.as_bytes()).expect("it reads");
        clients.push((client, rest.to_owned()));
    }
    drop(held);
    wait_for_close(control);
    Some(clients)
}

#[test]
fn partial_head_arrives_at_connection_close_then_it_is_completed_and_served() {
    let shown = (0..20).any(|_| {
        let (node, watch, _discovery) = Node::start_with_workers(&[]);
        // A job that waits, since no worker is known, keeps the node running.
        let first = node.submit_job("r1", "view", 9.0);
        wait_until("the job is not taken", || node.counter("curlewusher_jobs_taken_total") == 1);
        let requests = ["r2", "r3"].map(|id| job_request(id, "view", 9.0, ""));
        let Some(mut begun) = send_partial_heads_as_drain_ends(&node, &requests) else { return false };
        for (client, rest) in &mut begun {
            client.write_all(rest.as_bytes()).expect("it reads on");
        }
        let worker = ScriptedServer::start();
        watch.send_endpoints(43, false, &[worker.endpoint_json("s-1", "in_service")]);
        complete_next_jobs(&node, &worker, begun.len() + 1);
        assert_answered_before_exit(node, begun.into_iter().map(|(client, _)| client).chain([first]), 200);
        true
    });
    assert!(shown, "the node was never paused in time");
}

#[test]
fn partial_head_arrives_after_last_answer_of_shutdown_then_complete_request_gets_503() {
    let shown = (0..20).any(|_| {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let requests = ["r1", "r2"].map(|id| job_request(id, "view", 9.0, ""));
        let Some(mut begun) = send_partial_heads_as_drain_ends(&node, &requests) else { return false };
        for (client, rest) in &mut begun {
            client.write_all(rest.as_bytes()).expect("it reads on");
        }
        assert_answered_before_exit(node, begun.into_iter().map(|(client, _)| client), 503);
        assert!(!worker.has_pending_request());
        true
    });
    assert!(shown, "the node was never paused in time");
}
