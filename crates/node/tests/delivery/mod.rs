//! Delivery of jobs to workers: requests that workers receive, callbacks, reused connections and retries.

use std::collections::HashSet;

use crate::common::{Node, ScriptedServer, job_request, next_request_at_either, open_request, read_response};

#[test]
fn job_is_submitted_then_worker_gets_it_unchanged_and_client_gets_result() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    assert_eq!(node.get("/ready").status(), 200);
    let submission = job_request("r1", "register", 5.0, "Idempotency-Key: k9\r\n");
    let client = open_request(node.address, &submission.replace("/api", "http://backend.local/api"));
    let request = worker.next_event();
    assert_eq!(request.message.start_line, "POST /api/k1?q=2 HTTP/1.1");
    assert_eq!(request.message.header("x-request-id"), Some("r1"));
    assert_eq!(request.message.header("idempotency-key"), Some("k9"));
    assert_eq!(request.message.body, "body");
    let deadline_s: f64 = request
        .message
        .header("x-deadline")
        .and_then(|v| v.parse().ok())
        .expect("the request has no valid X-Deadline");
    assert!(deadline_s > 0.0 && deadline_s <= 5.0, "{deadline_s}");
    request.accept();
    node.post_callback("r1", "s-1", r#""state":"started""#);
    node.post_callback("r1", "s-1", r#""state":"running","share":0.4"#);
    node.post_callback("r1", "s-1", r#""state":"done","result":"a\nb""#);
    let response = read_response(client);
    assert_eq!((response.status(), response.body.as_str()), (200, "a\nb"));
    assert_eq!(node.counter(r#"curlewusher_answers_total{kind="served"}"#), 1);
}

#[test]
fn callbacks_are_early_repeated_or_mismatched_then_only_the_first_valid_one_counts() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_job("r1", "view", 5.0);
    let request = worker.next_event();
    // These callbacks name a different worker or a different job.
    node.post_callback("r1", "s-9", r#""state":"failed""#);
    node.post_callback("r9", "s-1", r#""state":"failed""#);
    for _ in 0..3 {
        node.post_callback("r1", "s-1", r#""state":"done","result":"first""#);
    }
    assert_eq!(read_response(client).body, "first");
    request.accept();
    assert_eq!(node.counter("curlewusher_callbacks_without_effect_total"), 4);
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 1);
    for bad in ["", "{", r#"{"id":"a","from":"b"}"#, r#"{"id":"a","from":"b","state":"running"}"#] {
        assert_eq!(node.send_callback(bad), 400, "{bad}");
    }
}

#[test]
fn jobs_are_submitted_one_after_another_then_worker_connection_is_reused() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    for id in ["r1", "r2", "r3"] {
        let client = node.submit_job(id, "view", 5.0);
        let request = worker.next_event();
        assert_eq!(request.connection, 0, "{id}");
        node.serve_job(client, &request, id, "s-1");
    }
}

#[test]
fn worker_connection_stays_idle_then_node_closes_it() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    node.assert_serves(&worker, "r1", "order", "s-1");
    // The node closes the connection long before the worker would.
    let end = worker.next_event();
    assert_eq!((end.message.start_line.as_str(), end.connection), ("", 0));
}

#[test]
fn worker_closes_idle_connection_then_no_attempt_is_lost() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    for (id, class) in [("r1", "order"), ("r2", "order"), ("r3", "view"), ("r4", "view")] {
        let client = node.submit_job(id, class, 5.0);
        let request = worker.next_request();
        node.serve_job(client, &request, id, "s-1");
        request.close();
    }
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 4);
}

#[test]
fn non_idempotent_job_fails_then_it_is_retried_only_if_it_never_ran() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    // A rejected attempt that was not started is retried. An attempt that is lost without a 202 may have run.
    let client = node.submit_job("r1", "order", 5.0);
    worker.next_event().respond("503 Service Unavailable\r\nX-Not-Run: 1");
    worker.next_event().close();
    let lost = read_response(client);
    assert_eq!(lost.status(), 502, "the response states that a client retry is safe");
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 2);
    // After a 503 without `X-Not-Run` the job may have run.
    let (node, _watch, _discovery) = Node::start_with_workers(&[("s-1", &worker)]);
    let client = node.submit_job("r2", "order", 5.0);
    worker.next_request().respond("503 Service Unavailable");
    assert_eq!(read_response(client).status(), 502);
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 1);
}

#[test]
fn accepted_job_does_not_start_then_it_is_retried_elsewhere_after_acknowledged_cancellation() {
    let ([first, second], node, _watch, _discovery) = Node::start_with_two_workers();
    let client = node.submit_job("r1", "view", 8.0);
    // The worker that receives the job accepts it and never starts it.
    let (worker, request, other) = next_request_at_either(&first, &second);
    request.accept();
    worker.ignore_cancellations("r1", 3, other);
    let cancellation = worker.next_request();
    assert!(!other.has_pending_request(), "another attempt began while the first one may still run");
    cancellation.respond("200 OK");
    other.next_request().accept();
    let name = if std::ptr::eq(other, &first) { "s-1" } else { "s-2" };
    node.post_completion("r1", name);
    assert_eq!(
        (read_response(client).body.as_str(), node.counter("curlewusher_withdrawals_unheard_total")),
        ("x", 3)
    );
}

#[test]
fn worker_does_not_accept_then_job_is_retried_at_another_worker() {
    let ([one, two], node, _watch, _discovery) = Node::start_with_two_workers();
    let client = node.submit_job("r1", "view", 9.0);
    // The node closes the connection to the first worker before it sends the job to the other.
    let first: Vec<_> = [&one, &two].map(|worker| worker.next_event().message.start_line).into();
    assert!(first.iter().all(|start| start.starts_with("POST")), "{first:?}");
    assert_eq!(node.counter(r#"curlewusher_delivery_attempts_ended_total{outcome="cancelled"}"#), 1);
    for name in ["s-1", "s-2"] {
        node.post_completion("r1", name);
    }
    assert_eq!(read_response(client).status(), 200);
}

#[test]
fn worker_returns_job_then_it_is_retried_at_another_worker() {
    let (first, second) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, watch, _discovery) = Node::start_with_workers(&[("s-1", &first)]);
    let client = node.submit_accepted_job(&first, "r1", "order", 5.0);
    let changes = [first.endpoint_json("s-1", "terminating"), second.endpoint_json("s-2", "in_service")];
    watch.send_endpoints_and_wait(43, false, &changes, &node);
    node.post_callback("r1", "s-1", r#""state":"returned""#);
    second.next_event().accept();
    // Late and repeated callbacks of the first worker do not affect the second attempt.
    node.post_callback("r1", "s-1", r#""state":"returned""#);
    node.complete_job(client, "r1", "s-2");
}

/// Submits jobs of a class one after another to two workers. The workers serve the first request on each
/// connection and close the connection at the second request. Returns the number of jobs that arrived as a
/// second request.
fn count_requests_on_stale_connections(class: &str) -> usize {
    const JOB_COUNT: usize = 30;
    let ([one, two], node, watch, discovery) = Node::start_with_two_workers();
    let _heartbeats = watch.keep_alive(discovery);
    let mut used = HashSet::new();
    let mut stale_requests = 0;
    for job in 0..JOB_COUNT {
        let id = format!("r{job}");
        let client = node.submit_job(&id, class, 9.0);
        let (worker, request) = loop {
            let (worker, request, _) = next_request_at_either(&one, &two);
            if used.insert((worker.address, request.connection)) {
                break (worker, request);
            }
            stale_requests += 1;
            request.close();
        };
        node.serve_job(client, &request, &id, if std::ptr::eq(worker, &one) { "s-1" } else { "s-2" });
    }
    stale_requests
}

#[test]
fn workers_close_connections_at_second_request_then_non_idempotent_job_is_not_lost() {
    assert_eq!(count_requests_on_stale_connections("order"), 0);
}

#[test]
fn workers_close_connections_at_second_request_then_idempotent_job_is_served() {
    // Idle connections are still used for idempotent jobs. A connection that closes at the write does not
    // count against its worker.
    assert!(count_requests_on_stale_connections("view") > 0);
}
