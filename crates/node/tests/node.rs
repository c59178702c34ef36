//! The program as a process, with clients, workers and discovery scripted by the tests.

mod client_connections;
mod command_line;
mod common;
mod endpoint_lease;
mod endpoint_watch;
mod migration;
mod operation;
mod outputs;
mod randomized_lifecycle;
mod scale;
mod send_permits;
mod versions;
mod worker_connections;

use std::io::{Read, Write};
use std::net::TcpListener;

use common::{
    HttpMessage, Node, ScriptedServer, ScriptedWatch, endpoint_list_json, job_request,
    next_request_at_either, node_config, node_config_with_long_timeouts, open_request, read_response,
    send_request, wait_for_counter, wait_until,
};

#[test]
fn job_is_submitted_then_worker_gets_it_unchanged_and_client_gets_result() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    assert_eq!(node.get("/ready").status(), 200);
    let request = job_request("r1", "register", 5.0, "Idempotency-Key: k9\r\n");
    let client = open_request(node.address, &request.replace("/api", "http://backend.local/api"));
    let got = worker.next_event();
    assert_eq!(got.message.start_line, "POST /api/k1?q=2 HTTP/1.1");
    assert_eq!(got.message.header("x-request-id"), Some("r1"));
    assert_eq!(got.message.header("idempotency-key"), Some("k9"));
    assert_eq!(got.message.body, "body");
    let wait: f64 = got.message.header("x-deadline").and_then(|v| v.parse().ok()).expect("a deadline");
    assert!(wait > 0.0 && wait <= 5.0, "{wait}");
    got.accept();
    node.post_callback("r1", "s-1", r#""state":"started""#);
    node.post_callback("r1", "s-1", r#""state":"running","share":0.4"#);
    node.post_callback("r1", "s-1", r#""state":"done","result":"a\nb""#);
    let answer = read_response(client);
    assert_eq!((answer.status(), answer.body.as_str()), (200, "a\nb"));
    assert_eq!(node.counter(r#"curlewusher_answers_total{kind="served"}"#), 1);
}

#[test]
fn callbacks_are_early_repeated_or_foreign_then_only_the_first_valid_one_counts() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_job("r1", "view", 5.0);
    let got = worker.next_event();
    // Neither another worker nor another job is meant.
    node.post_callback("r1", "s-9", r#""state":"failed""#);
    node.post_callback("r9", "s-1", r#""state":"failed""#);
    for _ in 0..3 {
        node.post_callback("r1", "s-1", r#""state":"done","result":"first""#);
    }
    assert_eq!(read_response(client).body, "first");
    got.accept();
    assert_eq!(node.counter("curlewusher_callbacks_without_effect_total"), 4);
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 1);
    for bad in ["", "{", r#"{"id":"a","from":"b"}"#, r#"{"id":"a","from":"b","state":"running"}"#] {
        assert_eq!(node.callback(bad), 400, "{bad}");
    }
}

#[test]
fn jobs_come_one_after_another_then_worker_connection_is_reused() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    for id in ["r1", "r2", "r3"] {
        let client = node.submit_job(id, "view", 5.0);
        let got = worker.next_event();
        assert_eq!(got.connection, 0, "{id}");
        node.serve_job(client, &got, id, "s-1");
    }
}

#[test]
fn worker_connection_stays_idle_then_node_closes_it() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_job("r1", "order", 5.0);
    node.serve_job(client, &worker.next_event(), "r1", "s-1");
    // The node ends it long before the far end would.
    let end = worker.next_event();
    assert_eq!((end.message.start_line.as_str(), end.connection), ("", 0));
}

#[test]
fn non_idempotent_job_fails_then_it_is_retried_only_if_it_never_ran() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    // Turned away unstarted: it goes out once more. Lost without a 202: it may have run.
    let client = node.submit_job("r1", "order", 5.0);
    worker.next_event().respond("503 Service Unavailable\r\nX-Not-Run: 1");
    worker.next_event().close();
    let lost = read_response(client);
    assert_eq!(lost.status(), 502, "a refusal would call it harmless to come again");
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 2);
    // A 503 without that header says nothing.
    let (node, _watch, _discovery) = Node::start_with_workers(&[("s-1", &worker)]);
    let client = node.submit_job("r2", "order", 5.0);
    worker.next_request().respond("503 Service Unavailable");
    assert_eq!(read_response(client).status(), 502);
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 1);
}

#[test]
fn worker_closes_idle_connection_then_no_attempt_is_lost() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    for id in ["r1", "r2"] {
        let client = node.submit_job(id, "order", 5.0);
        let got = worker.next_request();
        node.serve_job(client, &got, id, "s-1");
        got.close();
    }
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 2);
}

#[test]
fn client_leaves_while_202_is_in_transit_then_job_is_withdrawn_by_id() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    for id in ["r1", "r2", "r3", "r4"] {
        let client = node.submit_job(id, "view", 5.0);
        let got = worker.next_request();
        // Held still, the node finds both when it goes on: that its client has left, and the 202.
        node.signal("-STOP");
        drop(client);
        got.accept();
        node.signal("-CONT");
        // Closing the connection would leave the job to run, and another attempt beside it.
        let call = worker.next_request();
        assert_eq!(call.message.start_line, format!("DELETE /jobs/{id} HTTP/1.1"));
        call.respond("200 OK");
    }
}

#[test]
fn accepted_job_does_not_start_then_it_is_retried_elsewhere_after_acknowledged_withdrawal() {
    let (first, second) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, _watch, _discovery) = Node::start_with_workers(&[("s-1", &first), ("s-2", &second)]);
    let client = node.submit_job("r1", "view", 8.0);
    // Whichever of the two it goes to takes it on and never starts it.
    let (worker, got, other) = next_request_at_either(&first, &second);
    got.accept();
    for _ in 0..3 {
        let call = worker.next_request();
        assert_eq!(call.message.start_line, "DELETE /jobs/r1 HTTP/1.1");
        assert!(!other.has_pending_request(), "a second copy beside one that may still run");
        call.close();
    }
    let call = worker.next_request();
    assert!(!other.has_pending_request(), "a second copy beside one that may still run");
    call.respond("200 OK");
    other.next_request().accept();
    let name = if std::ptr::eq(other, &first) { "s-1" } else { "s-2" };
    node.post_completion("r1", name);
    assert_eq!(
        (read_response(client).body.as_str(), node.counter("curlewusher_withdrawals_unheard_total")),
        ("x", 3)
    );
}

/// Its connection is closed, and it is withdrawn by name on another.
fn is_given_up(worker: &ScriptedServer, id: &str, connection: usize) {
    let both = [worker.next_event(), worker.next_event()];
    let (ends, calls): (Vec<_>, Vec<_>) = both.iter().partition(|got| got.message.start_line.is_empty());
    assert_eq!(ends.iter().map(|end| end.connection).collect::<Vec<_>>(), [connection]);
    assert_eq!(calls[0].message.start_line, format!("DELETE /jobs/{id} HTTP/1.1"));
    assert_ne!(calls[0].connection, connection);
}

#[test]
fn client_closes_connection_then_its_job_is_withdrawn() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    // After the 202 the job is withdrawn by name.
    let client = node.submit_job("r1", "view", 5.0);
    worker.next_event().accept();
    node.post_callback("r1", "s-1", r#""state":"started""#);
    drop(client);
    let got = worker.next_event();
    assert_eq!(got.message.start_line, "DELETE /jobs/r1 HTTP/1.1");
    got.respond("204 No Content");
    // Before it, the connection is closed as well: on a cut network only a call that is repeated arrives.
    let client = node.submit_job("r2", "view", 5.0);
    let got = worker.next_request();
    assert!(got.message.start_line.starts_with("POST"), "{}", got.message.start_line);
    drop(client);
    is_given_up(&worker, "r2", got.connection);
    assert_eq!(node.counter("curlewusher_clients_gone_total"), 2);
}

#[test]
fn worker_is_silent_then_client_is_answered_by_deadline_and_attempt_is_withdrawn() {
    // It may have run, so that an order fails and a view is deferred; either attempt is given up.
    for (class, status) in [("order", 502), ("view", 503)] {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let client = node.submit_job("r1", class, 0.3);
        let got = worker.next_event();
        assert!(got.message.start_line.starts_with("POST"));
        let answer = read_response(client);
        assert_eq!((answer.status(), answer.header("retry-after").is_some()), (status, status == 503));
        is_given_up(&worker, "r1", got.connection);
        assert_eq!(node.counter("curlewusher_delivery_attempts_given_up_total"), 1);
    }
}

#[test]
fn worker_does_not_accept_then_job_is_sent_to_another_worker() {
    let (one, two) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, _watch, _discovery) = Node::start_with_workers(&[("s-1", &one), ("s-2", &two)]);
    let client = node.submit_job("r1", "view", 9.0);
    // Its connection was closed before the job went to the other.
    let first: Vec<_> = [&one, &two].map(|worker| worker.next_event().message.start_line).into();
    assert!(first.iter().all(|start| start.starts_with("POST")), "{first:?}");
    assert_eq!(node.counter(r#"curlewusher_delivery_attempts_ended_total{outcome="cancelled"}"#), 1);
    for name in ["s-1", "s-2"] {
        node.post_completion("r1", name);
    }
    assert_eq!(read_response(client).status(), 200);
}

#[test]
fn job_id_is_in_flight_then_a_second_job_of_that_id_gets_409() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_job("r1", "order", 5.0);
    worker.next_event().accept();
    assert_eq!(send_request(node.address, &job_request("r1", "order", 5.0, "")).status(), 409);
    node.complete_job(client, "r1", "s-1");
    assert!(!worker.has_pending_request());
}

#[test]
fn worker_returns_job_then_it_goes_to_another_worker() {
    let (first, second) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, watch, _discovery) = Node::start_with_workers(&[("s-1", &first)]);
    let client = node.submit_job("r1", "order", 5.0);
    first.next_event().accept();
    let before = node.counter("curlewusher_transport_map_changes_total");
    let change = [first.endpoint_json("s-1", "terminating"), second.endpoint_json("s-2", "in_service")];
    watch.send_line(&endpoint_list_json(43, false, &change));
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", before + 1);
    node.post_callback("r1", "s-1", r#""state":"returned""#);
    second.next_event().accept();
    // Late and repeated words of the first say nothing of the second.
    node.post_callback("r1", "s-1", r#""state":"returned""#);
    node.complete_job(client, "r1", "s-2");
}

#[test]
fn watch_is_silent_then_it_is_reopened_from_the_last_version() {
    // A change that does not arrive counts as told all the same: silence must not be taken for calm.
    let (discovery, worker) = (ScriptedServer::start(), ScriptedServer::start());
    let _node = Node::start(&node_config(discovery.address, &[worker.endpoint_json("s-1", "in_service")]));
    let first = ScriptedWatch::open(&discovery);
    first.send_line("");
    assert_eq!(ScriptedWatch::open(&discovery).since(), "41");
}

#[test]
fn no_worker_and_no_discovery_then_job_is_rejected_with_retry_after_before_deadline() {
    let discovery = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let node = Node::start(&node_config(discovery, &[]));
    assert_eq!(node.get("/ready").status(), 503);
    let answer = send_request(node.address, &job_request("r1", "view", 0.3, ""));
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").and_then(|v| v.parse().ok()).expect("Retry-After");
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 0);
}

#[test]
fn request_is_malformed_then_it_is_rejected_and_not_sent() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let with = |more: &str| job_request("r1", "view", 5.0, more);
    let good = with("");
    let cases = [
        (good.replace("X-Request-Id: r1\r\n", ""), 400),
        (good.replace("X-Request-Id: r1", "X-Request-Id: a/b"), 400),
        (good.replace("X-Class: view\r\n", ""), 400),
        (good.replace("X-Class: view", "X-Class: other"), 400),
        (good.replace("X-Class: view", "X-Class: register"), 400),
        (good.replace("X-Deadline: 5\r\n", ""), 400),
        (good.replace("X-Deadline: 5", "X-Deadline: -1"), 400),
        (good.replace("X-Cost-Hint: 100000", "X-Cost-Hint: much"), 400),
        (good.replace("X-Deadline: 5", "X-Deadline: 1e300"), 400),
        (good.replace("X-Cost-Hint: 100000", "X-Cost-Hint: inf"), 400),
        (good.replace("X-Cost-Hint: 100000", "X-Cost-Hint: 1e300"), 400),
        (with("X-Extras: slots\r\n"), 400),
        (with("X-Extras: slots=-1\r\n"), 400),
        (with("X-Extras: slots=inf\r\n"), 400),
        (with("X-Extras: slots=1e9\r\n"), 400),
        (with("X-Request-Id: r2\r\n"), 400),
        (with("X-Class: order\r\n"), 400),
        (with("X-Deadline: 9\r\n"), 400),
        // Another server could find a second request in what this one takes for a body, or the reverse.
        (with("Transfer-Encoding: chunked\r\n"), 400),
        (good.replace("\r\n\r\nbody", "\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"), 400),
        (with("Content-Length: 4\r\n"), 400),
        (with("Content-Type: \u{e9}\r\n"), 400),
        (good.replace("/api/k1", &format!("/api/{}", "k".repeat(3000))), 414),
        (good.replace("Content-Length: 4", "Content-Length: -4"), 400),
        (good.replace("Content-Length: 4", "Content-Length: 99999999999999999999"), 400),
        (with(&format!("X-Long: {}\r\n", "a".repeat(20_000))), 431),
        (good.replace("/api/k1", "/elsewhere"), 404),
        (good.replace("POST", "GET"), 405),
        (good.replace("Content-Length: 4", "Content-Length: 65537"), 413),
        ("nonsense\r\n\r\n".to_owned(), 400),
    ];
    for (request, status) in cases {
        assert_eq!(send_request(node.address, &request).status(), status, "{request}");
    }
    // So is a head that follows a good request on one connection.
    let chunked = with("Transfer-Encoding: chunked\r\n");
    let mut stream = open_request(node.address, &format!("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n{chunked}"));
    let mut both = String::new();
    stream.read_to_string(&mut both).expect("it closes");
    assert!(both.starts_with("HTTP/1.1 200") && both.contains("HTTP/1.1 400"), "{both}");
    assert!(!worker.has_pending_request());
    assert_eq!(node.counter("curlewusher_jobs_taken_total"), 0);
}

#[test]
fn body_is_chunked_then_worker_gets_it_with_content_length() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
    let request = job_request("r1", "view", 5.0, "").replace("Content-Length: 4\r\n\r\nbody", chunked);
    let client = open_request(node.address, &request);
    let got = worker.next_event();
    assert_eq!((got.message.body.as_str(), got.message.header("content-length")), ("body", Some("4")));
    got.accept();
    node.post_completion("r1", "s-1");
    assert_eq!(read_response(client).header("connection"), Some("close"));
}

#[test]
fn client_sends_nothing_or_partial_request_then_it_is_closed_but_idle_client_is_kept() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let ready = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut idle = open_request(node.address, ready);
    let starts = ["", "POST /api/k1 HTT", "POST /api/k1 HTTP/1.1\r\nX-Request-Id: r", ready];
    let half_body = job_request("r1", "view", 5.0, "").replace("Content-Length: 4", "Content-Length: 9");
    let cut: Vec<_> = starts
        .iter()
        .map(|s| open_request(node.address, s))
        .chain([open_request(node.address, &half_body)])
        .collect();
    // The half of a second request on a connection that was good before.
    (&cut[3]).write_all(b"POST /api").expect("it reads");
    for (mut stream, owed) in cut.into_iter().zip(["", "400", "400", "200", "408"]) {
        let mut said = String::new();
        let got = stream.read_to_string(&mut said);
        assert!(got.is_ok(), "{owed:?}: {said} {got:?}");
        assert_eq!(said.split(' ').nth(1).unwrap_or(""), owed, "{said}");
    }
    idle.write_all(ready.as_bytes()).expect("it is open");
    let mut read = std::io::BufReader::new(idle);
    for _ in 0..2 {
        assert_eq!(HttpMessage::read(&mut read).expect("an answer").status(), 200);
    }
    assert!(!worker.has_pending_request());
}

#[test]
fn worker_drains_then_it_gets_no_job_and_broken_watch_resumes_from_last_version() {
    let (first, second) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, watch, discovery) = Node::start_with_workers(&[("s-1", &first), ("s-2", &second)]);
    let before = node.counter("curlewusher_transport_map_changes_total");
    watch.send_line(&endpoint_list_json(43, false, &[first.endpoint_json("s-1", "terminating")]));
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", before + 1);
    for id in ["r1", "r2", "r3"] {
        let client = node.submit_job(id, "view", 5.0);
        node.serve_job(client, &second.next_event(), id, "s-2");
    }
    assert!(!first.has_pending_request());
    watch.close();
    assert_eq!(ScriptedWatch::open(&discovery).since(), "43");
}

#[test]
fn sigterm_arrives_then_jobs_in_flight_are_served_and_node_exits_with_success() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_job("r1", "view", 9.0);
    worker.next_event().accept();
    node.signal("-TERM");
    wait_until("it stays ready", || node.get("/ready").status() != 200);
    // It still takes what comes, and tells the client to go on elsewhere.
    let late = node.submit_job("r2", "view", 9.0);
    node.complete_job(client, "r1", "s-1");
    worker.next_event().accept();
    node.post_callback("r2", "s-1", r#""state":"done","result":"y""#);
    let late = read_response(late);
    assert_eq!((late.body.as_str(), late.header("connection")), ("y", Some("close")));
    assert!(node.wait_for_exit().status.success());
}

#[test]
fn job_outlasts_drain_then_it_is_answered_before_exit() {
    // The kill comes 3.7 s after SIGTERM, however long the deadline is: without an answer the job would be lost.
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_job("r1", "order", 60.0);
    worker.next_event().accept();
    node.signal("-TERM");
    assert_eq!(read_response(client).status(), 502);
    assert_eq!(worker.next_request().message.start_line, "DELETE /jobs/r1 HTTP/1.1");
    assert!(node.wait_for_exit().status.success());
}

#[test]
fn connections_exceed_descriptors_then_job_is_still_served() {
    let (discovery, worker) = (ScriptedServer::start(), ScriptedServer::start());
    let known = [worker.endpoint_json("s-1", "in_service")];
    let config = node_config(discovery.address, &known);
    // By its own count it closes idle connections in time, and keeps descriptors for workers.
    let node = Node::start(&config.replace("1024", "64"));
    let _watch = ScriptedWatch::answer(&discovery, &known);
    // Half a request is no idle connection, and holds its place no longer than a silent one.
    let crowd: Vec<_> = (0..100).map(|i| open_request(node.address, ["", "POST /api"][i % 2])).collect();
    let client = node.submit_job("r1", "view", 9.0);
    node.serve_job(client, &worker.next_request(), "r1", "s-1");
    drop(crowd);
    // Told of far more descriptors than it has, it meets the system's refusal, and survives that.
    let node = Node::start_with_descriptors(&config, 48);
    let _watch = ScriptedWatch::answer(&discovery, &known);
    wait_until("it stays unready", || node.get("/ready").status() == 200);
    let _crowd: Vec<_> = (0..100).map(|_| open_request(node.address, "")).collect();
    assert_eq!(node.get("/ready").status(), 200);
    assert!(node.counter("curlewusher_accept_failures_total") > 0);
}

#[test]
fn configuration_is_invalid_then_one_line_names_the_field() {
    let good = node_config("127.0.0.1:1".parse().expect("an address"), &[]);
    let cases = [
        (good.replace(r#""sendCap":3"#, r#""sendCap":"x""#), "limits.sendCap"),
        (good.replace(r#""coldShare":0.2"#, r#""coldShare":7"#), "cold_share"),
        (good.replace("8c1f30d27a5be964", "xyz"), "seed"),
        (good.replace(r#""listen":"127"#, r#""listen":"nowhere"#), "listen"),
        (good.replace(r#""sockets":1024"#, r#""sockets":"many""#), "limits.sockets"),
    ];
    for (config, field) in cases {
        let (mut child, _) = Node::spawn(&config, 1024);
        let mut said = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut said).expect("text");
        assert!(!child.wait().expect("it ends").success(), "{config}");
        assert!(said.contains(field) && said.lines().count() == 1, "{field}: {said}");
    }
}

#[test]
fn configuration_names_new_discovery_then_watch_moves_before_the_old_one_closes() {
    // SIGHUP used to end the program, and with it all jobs in hand.
    let (first, second) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, old, _discovery) = Node::start_with_workers(&[("s-1", &first)]);
    let client = node.submit_job("r1", "view", 9.0);
    first.next_event().accept();
    node.wait_for_log_line("endpoint lease confirmed");
    for _ in 0..2 {
        node.reload_config("{");
        assert!(node.next_log_line().contains("config: "), "a bad file changes nothing");
        node.reload_config(
            &node_config(first.address, &[]).replace(r#""discovery":"127"#, r#""discovery":"x"#),
        );
        assert!(node.next_log_line().contains("config: discovery: "));
    }
    // The new discovery hangs; the old one still tells of a change, and of its end.
    let (hangs, moved) = (ScriptedServer::start(), ScriptedServer::start());
    node.reload_config(&node_config(hangs.address, &[]));
    hangs.next_request();
    let all = [first.endpoint_json("s-1", "terminating"), second.endpoint_json("s-2", "in_service")];
    old.send_line(&endpoint_list_json(43, false, &all[..1]));
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", 3);
    // Another one comes while that hangs. It counts in its own way, so that the whole list is asked for.
    node.reload_config(&node_config(moved.address, &[]));
    let watch = ScriptedWatch::open(&moved);
    assert_eq!(watch.since(), "0");
    watch.send_line(&endpoint_list_json(7, true, &all));
    let late = node.submit_job("r2", "view", 9.0);
    second.next_event().accept();
    node.post_completion("r1", "s-1");
    node.post_callback("r2", "s-2", r#""state":"done","result":"y""#);
    assert_eq!((read_response(client).body, read_response(late).body), ("x".into(), "y".into()));
    watch.close();
    assert_eq!(ScriptedWatch::open(&moved).since(), "7");
    node.signal("-TERM");
    node.signal("-HUP");
    assert!(node.wait_for_exit().status.success());
}

#[test]
fn jobs_have_no_key_then_they_are_served() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client =
        open_request(node.address, &job_request("r1", "view", 5.0, "").replace("/api/k1?q=2", "/api"));
    let got = worker.next_request();
    assert_eq!(got.message.start_line, "POST /api HTTP/1.1");
    node.serve_job(client, &got, "r1", "s-1");
    // Neither a word that only begins like it nor another method is one.
    assert_eq!(
        send_request(node.address, &job_request("r2", "view", 5.0, "").replace("/api/k1?q=2", "/apis"))
            .status(),
        404
    );
    assert_eq!(node.get("/api").status(), 405);
}

#[test]
fn job_names_tenant_then_it_counts_against_that_quota_and_without_tenant_gets_400() {
    // The first tenant may hardly send anything: a job beyond its share waits for room to spare, and there is
    // none.
    let tenants = concat!(
        r#""customers":[{"name":"marl","quotaPerS":0.001},{"name":"tern","quotaPerS":1000}],"#,
        r#""overShareWorth":0.01,"#
    );
    let settings = |discovery, known: &[String]| {
        node_config_with_long_timeouts(discovery, known)
            .replace(r#""settings":{"#, &format!(r#""settings":{{{tenants}"#))
    };
    let worker = ScriptedServer::start();
    let (node, _watch, _discovery) = Node::start_with_config(&[("s-1", &worker)], settings);
    // Each counts as long, so that the worker is not expected to be idle however slow the test is.
    let of = |id: &str, tenant: &str| {
        job_request(id, "view", 600.0, tenant).replace("X-Cost-Hint: 100000", "X-Cost-Hint: 100000000")
    };
    assert_eq!(send_request(node.address, &of("r1", "")).status(), 400);
    assert_eq!(send_request(node.address, &of("r2", "X-Tenant: osier\r\n")).status(), 400);
    assert_eq!(send_request(node.address, &of("r3", "X-Tenant: 2\r\n")).status(), 400);
    // By name and by place in the settings.
    for (id, tenant) in [("r4", "X-Tenant: tern\r\n"), ("r5", "X-Tenant: 1\r\n")] {
        let client = open_request(node.address, &of(id, tenant));
        node.serve_job(client, &worker.next_request(), id, "s-1");
    }
    // What the first tenant's share allows at once is soon used up; behind it the other one's job goes first.
    let mut firsts = Vec::new();
    for n in 0..40 {
        firsts.push(open_request(node.address, &of(&format!("m{n}"), "X-Tenant: marl\r\n")));
    }
    // All are in hand: each has its number, and the next is counted after them.
    let taken = |count| wait_for_counter(&node, "curlewusher_jobs_taken_total", count);
    taken(42);
    let _last = open_request(node.address, &of("r6", "X-Tenant: tern\r\n"));
    taken(43);
    // One by one they are served: the last to come is not the last to be sent.
    let mut order = Vec::new();
    while let Some(got) = (order.len() < 41).then(|| worker.next_request()) {
        let id = got.message.header("x-request-id").expect("an id").to_owned();
        got.accept();
        node.post_completion(&id, "s-1");
        let found = id == "r6";
        order.push(id);
        if found {
            break;
        }
    }
    assert!(order.len() < 41, "{order:?}");
}
