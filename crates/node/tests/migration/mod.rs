//! Callbacks that cross each other, migration of jobs between two processes of a node, and extreme settings.

use std::io::{ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use curlewusher_control::frame::Frame;

use crate::common::{
    COMPLETED, Node, ScriptedProcess, ScriptedServer, ScriptedWatch, callback_request, job_request,
    next_request_at_either, node_config, node_config_for_handover, node_config_with_long_timeouts,
    open_request, read_response, send_request, wait_for_counter, wait_until,
};

#[test]
fn earlier_callback_is_repeated_then_no_later_attempt_is_ended_by_it() {
    let (worker, other) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, watch, _discovery) = Node::start_with_workers(&[("s-1", &worker)]);
    let client = node.submit_accepted_job(&worker, "r1", "order", 8.0);
    node.post_callback("r1", "s-1", r#""state":"returned""#);
    // It never ran, so that it is retried there and accepted.
    worker.next_request().accept();
    wait_until("the count is not 2", || node.counter("curlewusher_delivery_attempts_accepted_total") == 2);
    watch.send_endpoints_and_wait(43, false, &[other.endpoint_json("s-2", "in_service")], &node);
    // The answer to the first call was lost on its way.
    node.post_callback("r1", "s-1", r#""state":"returned""#);
    let (_, next, _) = next_request_at_either(&worker, &other);
    assert_eq!(
        next.message.start_line, "DELETE /jobs/r1 HTTP/1.1",
        "a second attempt beside one that may run"
    );
    next.respond("200 OK");
    // It may have run by then.
    assert_eq!(read_response(client).status(), 502);
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 2);
}

#[test]
fn withdrawn_attempt_starts_then_hedged_request_is_not_withdrawn() {
    let workers = [ScriptedServer::start(), ScriptedServer::start()];
    let names = ["s-1", "s-2"];
    let two = |discovery, known: &[String]| {
        let text = node_config(discovery, known).replace(r#""mayDuplicate":false"#, r#""mayDuplicate":true"#);
        // A worker may be slow to accept a job on a busy machine; that is not tested here.
        text.replace(r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":6000000"#)
    };
    let (node, _watch, _discovery) =
        Node::start_with_config(&[("s-1", &workers[0]), ("s-2", &workers[1])], two);
    let next = || {
        let (worker, request, _) = next_request_at_either(&workers[0], &workers[1]);
        (request, usize::from(std::ptr::eq(worker, &workers[1])))
    };
    // The budget of hedged requests grows with the jobs served before.
    for n in 0..12 {
        let client = node.submit_job(&format!("r{n}"), "view", 8.0);
        let (got, at) = next();
        node.serve_job(client, &got, &format!("r{n}"), names[at]);
    }
    let client = node.submit_job("c", "view", 8.0);
    let (first, one) = next();
    first.accept();
    // It does not start there.
    let (second, other) = next();
    assert!(other != one && second.message.start_line.starts_with("POST"), "{}", second.message.start_line);
    second.accept();
    node.post_callback("c", names[other], r#""state":"started""#);
    let (withdrawal, at) = next();
    assert_eq!((withdrawal.message.start_line.as_str(), at), ("DELETE /jobs/c HTTP/1.1", one));
    // It starts there while the withdrawal is in transit.
    let callbacks = "curlewusher_callbacks_total";
    let before = node.counter(callbacks);
    node.post_callback("c", names[one], r#""state":"started""#);
    wait_for_counter(&node, callbacks, before + 1);
    assert_eq!(
        node.counter("curlewusher_delivery_attempts_given_up_total"),
        1,
        "both attempts are withdrawn"
    );
    withdrawal.respond("200 OK");
    node.complete_job(client, "c", names[other]);
}

/// Disconnects a client and waits until the node has closed the connection.
fn disconnect_client(mut client: TcpStream) {
    client.shutdown(Shutdown::Write).expect("it is open");
    assert_eq!(client.read_to_end(&mut Vec::new()).unwrap_or(0), 0, "no answer");
}

/// A worker, a node with a job that the worker has accepted, its client, the node's successor, and discovery.
fn take_over_with_accepted_job(
    deadline_s: f64,
) -> (ScriptedServer, Node, TcpStream, ScriptedProcess, impl Sized) {
    let worker = ScriptedServer::start();
    let (node, watch, discovery) = Node::start_with_config(&[("s-1", &worker)], node_config_for_handover);
    let client = node.submit_accepted_job(&worker, "r1", "order", deadline_s);
    wait_until("the count is not 1", || node.counter("curlewusher_delivery_attempts_accepted_total") == 1);
    let successor = ScriptedProcess::take_over(&node);
    (worker, node, client, successor, (watch, discovery))
}

#[test]
fn client_disconnects_while_job_migrates_then_running_attempt_is_withdrawn() {
    let (worker, node, client, mut successor, _discovery) = take_over_with_accepted_job(60.0);
    let (seq, _) = successor.next_migrated_job();
    disconnect_client(client);
    successor.send_frame(seq, &Frame::MigrationResult(false));
    worker.expect_withdrawal("r1").respond("200 OK");
    drop(successor);
    node.wait_for_log_line("peer lost");
    assert_eq!(node.counter("curlewusher_clients_gone_total"), 1);
}

#[test]
fn client_disconnects_while_job_migrates_then_pending_job_is_not_sent() {
    let worker = ScriptedServer::start();
    let (node, watch, _discovery) = Node::start_with_config(&[], node_config_for_handover);
    let client = node.submit_job("r1", "order", 9.0);
    wait_until("the count is not 1", || node.counter("curlewusher_jobs_taken_total") == 1);
    let mut successor = ScriptedProcess::take_over(&node);
    let (seq, _) = successor.next_migrated_job();
    disconnect_client(client);
    successor.send_frame(seq, &Frame::MigrationResult(false));
    drop(successor);
    node.wait_for_log_line("peer lost");
    watch.send_endpoints(43, false, &[worker.endpoint_json("s-1", "in_service")]);
    let client = node.submit_job("r2", "view", 9.0);
    let got = worker.next_request();
    assert_eq!(got.message.header("x-request-id"), Some("r2"), "forwarded without a client");
    node.serve_job(client, &got, "r2", "s-1");
    assert!(!worker.has_pending_request(), "forwarded without a client");
}

#[test]
fn deadline_is_too_close_for_migration_then_job_stays() {
    let (worker, _node, client, mut successor, _discovery) = take_over_with_accepted_job(2.4);
    // The successor does not answer; the client gets its answer all the same.
    assert_eq!(read_response(client).status(), 502);
    assert!(worker.next_request().message.start_line.starts_with("DELETE "));
    assert_eq!(successor.decoder.next_frame(), Ok(None), "a job migrates");
    successor.stream.set_nonblocking(true).expect("a socket");
    let said = successor.stream.read(&mut [0]).map_err(|e| e.kind());
    assert_eq!(said, Err(ErrorKind::WouldBlock), "a job migrates, or the link is closed");
}

#[test]
fn job_is_unknown_while_other_process_may_hold_it_then_callback_gets_503() {
    let worker = ScriptedServer::start();
    let (node, _watch, _discovery) = Node::start_with_config(&[("s-1", &worker)], node_config_for_handover);
    let word = r#"{"id":"r9","from":"s-1","state":"failed"}"#;
    assert_eq!(node.callback(word), 204);
    // The successor closes the link and keeps running: it is the test itself.
    drop(ScriptedProcess::take_over(&node));
    node.wait_for_log_line("peer lost");
    assert_eq!(node.callback(word), 503);
    // A process that has ended holds no job.
    let discovery = ScriptedServer::start();
    let successor = Node::wait_until_serving(node.spawn_beside(discovery.address));
    node.wait_for_log_line("successor linked");
    successor.kill();
    node.wait_for_log_line("peer lost");
    assert_eq!(node.callback(word), 204);
}

/// A job from a new client is the next that the worker gets, and is served.
fn assert_serves_next(at: SocketAddr, worker: &ScriptedServer, id: &str) {
    let client = open_request(at, &job_request(id, "view", 9.0, ""));
    let got = worker.next_request();
    assert_eq!(got.message.header("x-request-id"), Some(id), "another job is sent");
    got.accept();
    let callback = callback_request(&format!(r#"{{"id":"{id}","from":"s-1",{COMPLETED}}}"#));
    assert_eq!(send_request(at, &callback).status(), 204);
    assert_eq!(read_response(client).status(), 200);
}

#[test]
fn migration_breaks_off_then_exactly_one_process_holds_the_job() {
    // A job without an attempt in flight is to migrate.
    let workers = [ScriptedServer::start(), ScriptedServer::start()];
    let (predecessor, watch, _discovery) = Node::start_with_config(&[], node_config_for_handover);
    let client = predecessor.submit_job("r1", "order", 60.0);
    wait_until("the count is not 1", || predecessor.counter("curlewusher_jobs_taken_total") == 1);
    let mut to_predecessor = ScriptedProcess::take_over(&predecessor);
    let (_, moved) = to_predecessor.next_migrated_job();

    // The successor receives the job, and the predecessor has closed the link before the confirmation can arrive.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    let discovery = ScriptedServer::start();
    let known = [workers[1].endpoint_json("s-1", "in_service")];
    let (mut to_successor, successor) =
        ScriptedProcess::accept_successor(&node_config_for_handover(discovery.address, &known), &listener);
    ScriptedWatch::open(&discovery).send_endpoints(42, true, &known);
    let (seq, asks) = to_successor.next_frame();
    assert_eq!(asks, Frame::TakeoverRequest);
    to_successor.send_frame(seq, &Frame::TakeoverGranted("".into()));
    // What it sends next is not received.
    to_successor.stream.shutdown(Shutdown::Read).expect("it is up");
    let socket = TcpStream::connect(at).expect("it listens");
    to_successor.send_with_descriptor(&socket, &moved.encode(9).expect("short"));
    successor.wait_for_log_line("peer lost");
    assert_serves_next(at, &workers[1], "r2");
    assert!(!workers[1].has_pending_request(), "the job belongs to the predecessor");

    drop(to_predecessor);
    predecessor.wait_for_log_line("peer lost");
    watch.send_endpoints(43, false, &[workers[0].endpoint_json("s-1", "in_service")]);
    let got = workers[0].next_request();
    assert_eq!(got.message.header("x-request-id"), Some("r1"));
    predecessor.serve_job(client, &got, "r1", "s-1");
}

#[test]
fn thousands_of_jobs_are_open_then_callbacks_and_disconnects_are_still_handled() {
    // More than the queue has room for besides.
    const JOBS: usize = 4160;
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let most = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: most, maximum: most }).expect("its own to raise");
    // They all wait: no worker is known, and while discovery is unreachable only first submissions are rejected.
    let retry = |n: usize| job_request(&n.to_string(), "order", 900.0, "X-Retry: 1\r\n");
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let text =
        node_config_with_long_timeouts(nowhere, &[]).replace(r#""sockets":1024"#, r#""sockets":16384"#);
    let node = Node::start_with_descriptors(&text, 5000);
    let mut clients = Vec::new();
    while clients.len() < JOBS {
        let batch = clients.len()..clients.len() + JOBS / 65;
        clients.extend(batch.map(|n| open_request(node.address, &retry(n))));
        wait_for_counter(&node, "curlewusher_jobs_taken_total", clients.len() as u64);
    }
    assert_eq!(node.counter(r#"curlewusher_answers_total{kind="deferred"}"#), 0, "not all jobs are open");
    // A callback is handled, and so is a client's disconnect.
    node.post_callback("0", "s-1", r#""state":"started""#);
    clients.pop();
    wait_until("the count is not 1", || node.counter("curlewusher_clients_gone_total") == 1);
}

#[test]
fn settings_are_extreme_but_valid_then_jobs_are_served() {
    let end = u64::MAX;
    for (was, is) in [
        // Nothing could be sent by a connection that is to be up at once.
        (r#""connectTimeoutUs":500000,"#, ""),
        (r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":0"#),
        (r#","keepaliveUs":120000000"#, ""),
        (r#""keepaliveUs":120000000"#, r#""keepaliveUs":0"#),
        (r#""maxRetryAfterUs":2000000"#, r#""maxRetryAfterUs":0"#),
        (r#""sendCap":3"#, r#""sendCap":1"#),
        (r#""cancel":true"#, r#""cancel":false"#),
        (r#""askWithinUs":10000000"#, r#""askWithinUs":0"#),
        (r#""fallUs":1000000"#, r#""fallUs":0"#),
        (r#""warmUpUs":1000000"#, r#""warmUpUs":0"#),
        (r#""dedupWindowUs":40000000"#, r#""dedupWindowUs":0"#),
        // What stands for 'without end'.
        (r#""objectiveUs":9000000"#, &format!(r#""objectiveUs":{end}"#)),
        (r#""giveUpUs":9000000"#, &format!(r#""giveUpUs":{end}"#)),
        (r#""dedupWindowUs":40000000"#, &format!(r#""dedupWindowUs":{end}"#)),
        (r#""connectTimeoutUs":500000"#, &format!(r#""connectTimeoutUs":{end}"#)),
        (r#""keepaliveUs":120000000"#, &format!(r#""keepaliveUs":{end}"#)),
        (r#""maxRetryAfterUs":2000000"#, &format!(r#""maxRetryAfterUs":{end}"#)),
        (r#""askWithinUs":10000000"#, &format!(r#""askWithinUs":{end}"#)),
        (r#""fallUs":1000000"#, &format!(r#""fallUs":{end}"#)),
        (r#""warmUpUs":1000000"#, &format!(r#""warmUpUs":{end}"#)),
        (r#""sockets":1024"#, &format!(r#""sockets":{end}"#)),
    ] {
        let odd = |discovery, known: &[String]| {
            let text = node_config(discovery, known);
            assert!(text.contains(was), "{was}");
            text.replace(was, is)
        };
        let worker = ScriptedServer::start();
        let (node, _watch, _discovery) = Node::start_with_config(&[("s-1", &worker)], odd);
        let request = job_request("r1", "register", 8.0, "Idempotency-Key: k9\r\n");
        let client = open_request(node.address, &request);
        let got = worker.next_request();
        node.serve_job(client, &got, "r1", "s-1");
    }
}

#[test]
fn setting_is_unusable_then_it_is_named_with_the_remedy() {
    let good = node_config("127.0.0.1:1".parse().expect("an address"), &[]);
    for (was, is, said) in [
        (r#""sendCap":3"#, r#""sendCap":0"#, "settings.limits.sendCap: max_attempts is zero; give 1 or more"),
        (r#""giveUpUs":9000000"#, r#""giveUpUs":0"#, "settings.services.giveUpUs: "),
        (r#""balancers":1"#, r#""balancers":0"#, "settings.balancers: nodes is zero; give "),
        (r#""coldShare":0.2"#, r#""coldShare":2"#, "settings.rules.coldShare: "),
        (r#""overloadFactor":3.0"#, r#""overloadFactor":-1"#, "settings.rules.overloadFactor: "),
        (r#""discovery":"subscribe""#, r#""discovery":"ask""#, "settings.discovery is neither automatic nor"),
    ] {
        assert!(good.contains(was), "{was}");
        let node = Node::spawn(&good.replace(was, is), 1024).0.wait_with_output().expect("it ends");
        let line = String::from_utf8(node.stderr).expect("text");
        assert_eq!(node.status.code(), Some(2), "{line}");
        assert!(line.contains(said) && line.lines().count() == 1, "{said}: {line}");
    }
}

#[test]
fn connection_timeouts_are_not_set_then_defaults_apply() {
    let text = node_config("127.0.0.1:1".parse().expect("an address"), &[]);
    let written = r#","connectTimeoutUs":500000,"keepaliveUs":120000000"#;
    assert!(text.contains(written));
    let file = Node::write_config_file(&text.replace(written, ""));
    let mut check = std::process::Command::new(env!("CARGO_BIN_EXE_curlewusher"));
    let said = check.arg("check").env("RELAY_CONFIG", file).output().expect("it starts");
    let said = String::from_utf8(said.stdout).expect("text");
    for line in ["connectTimeoutUs = 500000  # default", "keepaliveUs = 1000000  # default"] {
        assert!(said.contains(&format!("settings.limits.{line}")), "{said}");
    }
}

#[test]
fn max_retry_after_is_zero_then_no_retry_after_header_is_sent() {
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    for (most, advised) in [("2000000", true), ("0", false)] {
        let text = node_config(nowhere, &[])
            .replace("\"maxRetryAfterUs\":2000000", &format!("\"maxRetryAfterUs\":{most}"));
        let node = Node::start(&text);
        let answer = send_request(node.address, &job_request("r1", "view", 0.3, ""));
        assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, advised), "{most}");
    }
}
