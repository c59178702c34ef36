//! Callbacks of attempts that have ended or are cancelled, migration of jobs between two processes of a node,
//! thousands of open jobs, and extreme settings.

use std::io::{ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use curlewusher_control::frame::Frame;

use crate::common::{
    COMPLETION_FIELDS, Node, ScriptedPeer, ScriptedServer, ScriptedWatch, callback_request, job_request,
    next_request_at_either, node_config, node_config_for_handover, node_config_with_long_timeouts,
    open_request, read_response, send_request, wait_for_counter, wait_until,
};

#[test]
fn callback_of_earlier_attempt_is_redelivered_then_later_attempt_does_not_end() {
    let (worker, other_worker) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, watch, _discovery) = Node::start_with_workers(&[("s-1", &worker)]);
    let client = node.submit_accepted_job(&worker, "r1", "order", 8.0);
    node.post_callback("r1", "s-1", r#""state":"returned""#);
    // The job did not run, so the node retries it at the same worker, which accepts it.
    worker.next_request().accept();
    wait_until("the second attempt was not accepted", || {
        node.counter("curlewusher_delivery_attempts_accepted_total") == 2
    });
    watch.send_endpoints_and_wait(43, false, &[other_worker.endpoint_json("s-2", "in_service")], &node);
    // The worker redelivers the callback, as it does when the response to the first one is lost.
    node.post_callback("r1", "s-1", r#""state":"returned""#);
    let (_, request, _) = next_request_at_either(&worker, &other_worker);
    assert_eq!(
        request.message.start_line, "DELETE /jobs/r1 HTTP/1.1",
        "a duplicate attempt was sent while an earlier one may run"
    );
    request.respond("200 OK");
    // The cancelled attempt may have run, so the client gets an error.
    assert_eq!(read_response(client).status(), 502);
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 2);
}

#[test]
fn cancelled_attempt_starts_then_hedged_request_is_not_cancelled() {
    let workers = [ScriptedServer::start(), ScriptedServer::start()];
    let names = ["s-1", "s-2"];
    let config = |discovery, endpoints: &[String]| {
        let config =
            node_config(discovery, endpoints).replace(r#""mayDuplicate":false"#, r#""mayDuplicate":true"#);
        // A longer connect timeout, since a worker on a busy machine may accept a job slowly.
        config.replace(r#""connectTimeoutUs":500000"#, r#""connectTimeoutUs":6000000"#)
    };
    let (node, _watch, _discovery) =
        Node::start_with_config(&[("s-1", &workers[0]), ("s-2", &workers[1])], config);
    let next_request = || {
        let (worker, request, _) = next_request_at_either(&workers[0], &workers[1]);
        (request, usize::from(std::ptr::eq(worker, &workers[1])))
    };
    // The budget for hedged requests grows with each served job.
    for number in 0..12 {
        let client = node.submit_job(&format!("r{number}"), "view", 8.0);
        let (request, worker) = next_request();
        node.serve_job(client, &request, &format!("r{number}"), names[worker]);
    }
    let client = node.submit_job("c", "view", 8.0);
    let (first_request, first_worker) = next_request();
    first_request.accept();
    // The first attempt does not start, so the node sends a hedged request.
    let (hedge, hedge_worker) = next_request();
    assert!(
        hedge_worker != first_worker && hedge.message.start_line.starts_with("POST"),
        "{}",
        hedge.message.start_line
    );
    hedge.accept();
    node.post_callback("c", names[hedge_worker], r#""state":"started""#);
    let (cancellation, worker) = next_request();
    assert_eq!((cancellation.message.start_line.as_str(), worker), ("DELETE /jobs/c HTTP/1.1", first_worker));
    // The first attempt starts while its cancellation is in transit.
    let series = "curlewusher_callbacks_total";
    let before = node.counter(series);
    node.post_callback("c", names[first_worker], r#""state":"started""#);
    wait_for_counter(&node, series, before + 1);
    assert_eq!(
        node.counter("curlewusher_delivery_attempts_given_up_total"),
        1,
        "both attempts were cancelled"
    );
    cancellation.respond("200 OK");
    node.complete_job(client, "c", names[hedge_worker]);
}

/// Disconnects a client and waits until the node has closed the connection.
fn disconnect_client(mut client: TcpStream) {
    client.shutdown(Shutdown::Write).expect("shutting down the connection failed");
    assert_eq!(client.read_to_end(&mut Vec::new()).unwrap_or(0), 0, "the node sent a response");
}

/// Takes over from a node with a job in flight. Returns the worker that has accepted the job, the node, the
/// client of the job, the scripted successor, and discovery.
fn take_over_with_accepted_job(
    deadline_s: f64,
) -> (ScriptedServer, Node, TcpStream, ScriptedPeer, impl Sized) {
    let worker = ScriptedServer::start();
    let (node, watch, discovery) = Node::start_with_config(&[("s-1", &worker)], node_config_for_handover);
    let client = node.submit_accepted_job(&worker, "r1", "order", deadline_s);
    wait_until("the attempt was not accepted", || {
        node.counter("curlewusher_delivery_attempts_accepted_total") == 1
    });
    let successor = ScriptedPeer::take_over(&node);
    (worker, node, client, successor, (watch, discovery))
}

#[test]
fn client_disconnects_while_job_migrates_then_running_attempt_is_cancelled() {
    let (worker, node, client, mut successor, _discovery) = take_over_with_accepted_job(60.0);
    let (seq, _) = successor.next_migrated_job();
    disconnect_client(client);
    successor.send_frame(seq, &Frame::MigrationResult(false));
    worker.expect_cancellation("r1").respond("200 OK");
    drop(successor);
    node.wait_for_log_line("peer lost");
    assert_eq!(node.counter("curlewusher_clients_gone_total"), 1);
}

#[test]
fn client_disconnects_while_job_migrates_then_pending_job_is_not_sent() {
    let worker = ScriptedServer::start();
    let (node, watch, _discovery) = Node::start_with_config(&[], node_config_for_handover);
    let client = node.submit_job("r1", "order", 9.0);
    wait_until("the job was not accepted", || node.counter("curlewusher_jobs_taken_total") == 1);
    let mut successor = ScriptedPeer::take_over(&node);
    let (seq, _) = successor.next_migrated_job();
    disconnect_client(client);
    successor.send_frame(seq, &Frame::MigrationResult(false));
    drop(successor);
    node.wait_for_log_line("peer lost");
    watch.send_endpoints(43, false, &[worker.endpoint_json("s-1", "in_service")]);
    let client = node.submit_job("r2", "view", 9.0);
    let request = worker.next_request();
    assert_eq!(request.message.header("x-request-id"), Some("r2"), "a job without a client was sent");
    node.serve_job(client, &request, "r2", "s-1");
    assert!(!worker.has_pending_request(), "a job without a client was sent");
}

#[test]
fn deadline_is_too_close_for_migration_then_job_does_not_migrate() {
    let (worker, _node, client, mut successor, _discovery) = take_over_with_accepted_job(2.4);
    // The successor does not respond, and the client gets a response nevertheless.
    assert_eq!(read_response(client).status(), 502);
    assert!(worker.next_request().message.start_line.starts_with("DELETE "));
    assert_eq!(successor.decoder.next_frame(), Ok(None), "a job migrated");
    successor.stream.set_nonblocking(true).expect("making the stream non-blocking failed");
    let result = successor.stream.read(&mut [0]).map_err(|error| error.kind());
    assert_eq!(result, Err(ErrorKind::WouldBlock), "a job migrated, or the link was closed");
}

#[test]
fn job_is_unknown_while_peer_may_own_it_then_callback_gets_503() {
    let worker = ScriptedServer::start();
    let (node, _watch, _discovery) = Node::start_with_config(&[("s-1", &worker)], node_config_for_handover);
    let callback = r#"{"id":"r9","from":"s-1","state":"failed"}"#;
    assert_eq!(node.send_callback(callback), 204);
    // The successor closes the link and keeps running, since it is the test process.
    drop(ScriptedPeer::take_over(&node));
    node.wait_for_log_line("peer lost");
    assert_eq!(node.send_callback(callback), 503);
    // An exited process owns no job.
    let discovery = ScriptedServer::start();
    let successor = Node::wait_until_serving(node.spawn_peer(discovery.address));
    node.wait_for_log_line("successor linked");
    successor.kill();
    node.wait_for_log_line("peer lost");
    assert_eq!(node.send_callback(callback), 204);
}

/// Submits a job from a new client. Asserts that it is the next job that the worker receives, and that the
/// client gets the result.
fn assert_serves_next(address: SocketAddr, worker: &ScriptedServer, id: &str) {
    let client = open_request(address, &job_request(id, "view", 9.0, ""));
    let request = worker.next_request();
    assert_eq!(request.message.header("x-request-id"), Some(id), "another job was sent");
    request.accept();
    let callback = callback_request(&format!(r#"{{"id":"{id}","from":"s-1",{COMPLETION_FIELDS}}}"#));
    assert_eq!(send_request(address, &callback).status(), 204);
    assert_eq!(read_response(client).status(), 200);
}

#[test]
fn migration_is_interrupted_then_exactly_one_process_owns_the_job() {
    // The job that migrates has no attempt in flight.
    let workers = [ScriptedServer::start(), ScriptedServer::start()];
    let (predecessor, watch, _discovery) = Node::start_with_config(&[], node_config_for_handover);
    let client = predecessor.submit_job("r1", "order", 60.0);
    wait_until("the job was not accepted", || predecessor.counter("curlewusher_jobs_taken_total") == 1);
    let mut link_to_predecessor = ScriptedPeer::take_over(&predecessor);
    let (_, migration) = link_to_predecessor.next_migrated_job();

    // The successor receives the job, but the predecessor has closed the link before the confirmation
    // arrives.
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
    let address = listener.local_addr().expect("the listener has no address");
    let discovery = ScriptedServer::start();
    let endpoints = [workers[1].endpoint_json("s-1", "in_service")];
    let (mut link_to_successor, successor) =
        ScriptedPeer::accept_successor(&node_config_for_handover(discovery.address, &endpoints), &listener);
    ScriptedWatch::open(&discovery).send_endpoints(42, true, &endpoints);
    let (seq, request) = link_to_successor.next_frame();
    assert_eq!(request, Frame::TakeoverRequest);
    link_to_successor.send_frame(seq, &Frame::TakeoverGranted("".into()));
    // The scripted predecessor receives no further frame.
    link_to_successor.stream.shutdown(Shutdown::Read).expect("shutting down the link failed");
    let socket = TcpStream::connect(address).expect("connecting to the successor failed");
    link_to_successor.send_with_descriptor(&socket, &migration.encode(9).expect("the frame is too long"));
    successor.wait_for_log_line("peer lost");
    assert_serves_next(address, &workers[1], "r2");
    assert!(!workers[1].has_pending_request(), "the successor sent the job of the predecessor");

    drop(link_to_predecessor);
    predecessor.wait_for_log_line("peer lost");
    watch.send_endpoints(43, false, &[workers[0].endpoint_json("s-1", "in_service")]);
    let request = workers[0].next_request();
    assert_eq!(request.message.header("x-request-id"), Some("r1"));
    predecessor.serve_job(client, &request, "r1", "s-1");
}

#[test]
fn thousands_of_jobs_are_open_then_callbacks_and_disconnects_are_still_handled() {
    // More than the 4,096 messages for which the dispatch queue has room in addition to the slots of the open
    // jobs.
    const JOB_COUNT: usize = 4160;
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let hard_limit = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: hard_limit, maximum: hard_limit })
        .expect("raising the soft limit to the hard limit failed");
    // All jobs stay pending: there is no worker, and while discovery is unreachable only first submissions
    // are rejected.
    let client_retry = |number: usize| job_request(&number.to_string(), "order", 900.0, "X-Retry: 1\r\n");
    let unreachable = "127.0.0.1:1".parse().expect("the address is malformed");
    let config =
        node_config_with_long_timeouts(unreachable, &[]).replace(r#""sockets":1024"#, r#""sockets":16384"#);
    let node = Node::start_with_descriptor_limit(&config, 5000);
    let mut clients = Vec::new();
    while clients.len() < JOB_COUNT {
        let batch = clients.len()..clients.len() + JOB_COUNT / 65;
        clients.extend(batch.map(|number| open_request(node.address, &client_retry(number))));
        wait_for_counter(&node, "curlewusher_jobs_taken_total", clients.len() as u64);
    }
    assert_eq!(node.counter(r#"curlewusher_answers_total{kind="deferred"}"#), 0, "some jobs were rejected");
    // The node still handles a callback and a client's disconnect.
    node.post_callback("0", "s-1", r#""state":"started""#);
    clients.pop();
    wait_until("no disconnect was noticed", || node.counter("curlewusher_clients_gone_total") == 1);
}

#[test]
fn settings_are_extreme_but_valid_then_jobs_are_served() {
    let max = u64::MAX;
    for (original, replacement) in [
        // With a connect timeout of zero taken literally, no attempt could be sent.
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
        // The maximum value means "unlimited".
        (r#""objectiveUs":9000000"#, &format!(r#""objectiveUs":{max}"#)),
        (r#""giveUpUs":9000000"#, &format!(r#""giveUpUs":{max}"#)),
        (r#""dedupWindowUs":40000000"#, &format!(r#""dedupWindowUs":{max}"#)),
        (r#""connectTimeoutUs":500000"#, &format!(r#""connectTimeoutUs":{max}"#)),
        (r#""keepaliveUs":120000000"#, &format!(r#""keepaliveUs":{max}"#)),
        (r#""maxRetryAfterUs":2000000"#, &format!(r#""maxRetryAfterUs":{max}"#)),
        (r#""askWithinUs":10000000"#, &format!(r#""askWithinUs":{max}"#)),
        (r#""fallUs":1000000"#, &format!(r#""fallUs":{max}"#)),
        (r#""warmUpUs":1000000"#, &format!(r#""warmUpUs":{max}"#)),
        (r#""sockets":1024"#, &format!(r#""sockets":{max}"#)),
    ] {
        let config = |discovery, endpoints: &[String]| {
            let config = node_config(discovery, endpoints);
            assert!(config.contains(original), "{original}");
            config.replace(original, replacement)
        };
        let worker = ScriptedServer::start();
        let (node, _watch, _discovery) = Node::start_with_config(&[("s-1", &worker)], config);
        let request = job_request("r1", "register", 8.0, "Idempotency-Key: k9\r\n");
        let client = open_request(node.address, &request);
        let request = worker.next_request();
        node.serve_job(client, &request, "r1", "s-1");
    }
}

#[test]
fn setting_is_invalid_then_error_names_it_and_the_remedy() {
    let valid = node_config("127.0.0.1:1".parse().expect("the address is malformed"), &[]);
    for (original, replacement, message) in [
        (r#""sendCap":3"#, r#""sendCap":0"#, "settings.limits.sendCap: max_attempts is zero; give 1 or more"),
        (r#""giveUpUs":9000000"#, r#""giveUpUs":0"#, "settings.services.giveUpUs: "),
        (r#""balancers":1"#, r#""balancers":0"#, "settings.balancers: nodes is zero; give "),
        (r#""coldShare":0.2"#, r#""coldShare":2"#, "settings.rules.coldShare: "),
        (r#""overloadFactor":3.0"#, r#""overloadFactor":-1"#, "settings.rules.overloadFactor: "),
        (r#""discovery":"subscribe""#, r#""discovery":"ask""#, "settings.discovery is neither automatic nor"),
    ] {
        assert!(valid.contains(original), "{original}");
        let output = Node::spawn(&valid.replace(original, replacement), 1024)
            .0
            .wait_with_output()
            .expect("waiting for the exit failed");
        let line = String::from_utf8(output.stderr).expect("the output is not UTF-8");
        assert_eq!(output.status.code(), Some(2), "{line}");
        assert!(line.contains(message) && line.lines().count() == 1, "{message}: {line}");
    }
}

#[test]
fn connection_timeouts_are_not_set_then_defaults_apply() {
    let config = node_config("127.0.0.1:1".parse().expect("the address is malformed"), &[]);
    let timeouts = r#","connectTimeoutUs":500000,"keepaliveUs":120000000"#;
    assert!(config.contains(timeouts));
    let file = Node::write_config_file(&config.replace(timeouts, ""));
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_curlewusher"));
    let output =
        command.arg("check").env("RELAY_CONFIG", file).output().expect("starting the program failed");
    let stdout = String::from_utf8(output.stdout).expect("the output is not UTF-8");
    for line in ["connectTimeoutUs = 500000  # default", "keepaliveUs = 1000000  # default"] {
        assert!(stdout.contains(&format!("settings.limits.{line}")), "{stdout}");
    }
}

#[test]
fn max_retry_after_is_zero_then_no_retry_after_header_is_sent() {
    let unreachable = "127.0.0.1:1".parse().expect("the address is malformed");
    for (max_retry_after, has_header) in [("2000000", true), ("0", false)] {
        let config = node_config(unreachable, &[])
            .replace("\"maxRetryAfterUs\":2000000", &format!("\"maxRetryAfterUs\":{max_retry_after}"));
        let node = Node::start(&config);
        let response = send_request(node.address, &job_request("r1", "view", 0.3, ""));
        assert_eq!(
            (response.status(), response.header("retry-after").is_some()),
            (503, has_header),
            "{max_retry_after}"
        );
    }
}
