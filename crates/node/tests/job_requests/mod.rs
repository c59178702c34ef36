//! Requests of clients: validation, rejection, and the tenant and job id that a request belongs to.

use std::io::{Read, Write};
use std::net::TcpListener;

use crate::common::{
    HttpMessage, Node, ScriptedServer, job_request, node_config, node_config_with_long_timeouts,
    open_request, read_response, send_request, wait_for_counter,
};

#[test]
fn job_id_is_in_flight_then_second_job_with_that_id_gets_409() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "order", 5.0);
    assert_eq!(send_request(node.address, &job_request("r1", "order", 5.0, "")).status(), 409);
    node.complete_job(client, "r1", "s-1");
    assert!(!worker.has_pending_request());
}

#[test]
fn no_worker_and_no_discovery_then_job_is_rejected_with_retry_after_before_deadline() {
    let discovery =
        TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("binding a port failed");
    let node = Node::start(&node_config(discovery, &[]));
    assert_eq!(node.get("/ready").status(), 503);
    let response = send_request(node.address, &job_request("r1", "view", 0.3, ""));
    assert_eq!(response.status(), 503);
    let retry_after_s: f64 = response
        .header("retry-after")
        .and_then(|v| v.parse().ok())
        .expect("the response has no valid Retry-After");
    assert!(retry_after_s > 0.0 && retry_after_s <= 2.0, "{retry_after_s}");
    assert_eq!(node.counter("curlewusher_delivery_attempts_total"), 0);
}

#[test]
fn request_is_malformed_then_it_is_rejected_and_not_sent() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let with_headers = |headers: &str| job_request("r1", "view", 5.0, headers);
    let valid_request = with_headers("");
    let cases = [
        (valid_request.replace("X-Request-Id: r1\r\n", ""), 400),
        (valid_request.replace("X-Request-Id: r1", "X-Request-Id: a/b"), 400),
        (valid_request.replace("X-Class: view\r\n", ""), 400),
        (valid_request.replace("X-Class: view", "X-Class: other"), 400),
        (valid_request.replace("X-Class: view", "X-Class: register"), 400),
        (valid_request.replace("X-Deadline: 5\r\n", ""), 400),
        (valid_request.replace("X-Deadline: 5", "X-Deadline: -1"), 400),
        (valid_request.replace("X-Cost-Hint: 100000", "X-Cost-Hint: much"), 400),
        (valid_request.replace("X-Deadline: 5", "X-Deadline: 1e300"), 400),
        (valid_request.replace("X-Cost-Hint: 100000", "X-Cost-Hint: inf"), 400),
        (valid_request.replace("X-Cost-Hint: 100000", "X-Cost-Hint: 1e300"), 400),
        (with_headers("X-Extras: slots\r\n"), 400),
        (with_headers("X-Extras: slots=-1\r\n"), 400),
        (with_headers("X-Extras: slots=inf\r\n"), 400),
        (with_headers("X-Extras: slots=1e9\r\n"), 400),
        (with_headers("X-Request-Id: r2\r\n"), 400),
        (with_headers("X-Class: order\r\n"), 400),
        (with_headers("X-Deadline: 9\r\n"), 400),
        // With two framings, another server could read a second request where this one reads a body, or the
        // reverse.
        (with_headers("Transfer-Encoding: chunked\r\n"), 400),
        (valid_request.replace("\r\n\r\nbody", "\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"), 400),
        (with_headers("Content-Length: 4\r\n"), 400),
        (with_headers("Content-Type: \u{e9}\r\n"), 400),
        (valid_request.replace("/api/k1", &format!("/api/{}", "k".repeat(3000))), 414),
        (valid_request.replace("Content-Length: 4", "Content-Length: -4"), 400),
        (valid_request.replace("Content-Length: 4", "Content-Length: 99999999999999999999"), 400),
        (with_headers(&format!("X-Long: {}\r\n", "a".repeat(20_000))), 431),
        (valid_request.replace("/api/k1", "/elsewhere"), 404),
        (valid_request.replace("POST", "GET"), 405),
        (valid_request.replace("Content-Length: 4", "Content-Length: 65537"), 413),
        ("nonsense\r\n\r\n".to_owned(), 400),
    ];
    for (request, status) in cases {
        assert_eq!(send_request(node.address, &request).status(), status, "{request}");
    }
    // A malformed head behind a valid request on the same connection is rejected as well.
    let chunked = with_headers("Transfer-Encoding: chunked\r\n");
    let mut stream = open_request(node.address, &format!("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n{chunked}"));
    let mut responses = String::new();
    stream.read_to_string(&mut responses).expect("the node reset the connection");
    assert!(responses.starts_with("HTTP/1.1 200") && responses.contains("HTTP/1.1 400"), "{responses}");
    assert!(!worker.has_pending_request());
    assert_eq!(node.counter("curlewusher_jobs_taken_total"), 0);
}

#[test]
fn body_is_chunked_then_worker_gets_it_with_content_length() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
    let request = job_request("r1", "view", 5.0, "").replace("Content-Length: 4\r\n\r\nbody", chunked);
    let client = open_request(node.address, &request);
    let received = worker.next_event();
    assert_eq!(
        (received.message.body.as_str(), received.message.header("content-length")),
        ("body", Some("4"))
    );
    received.accept();
    node.post_completion("r1", "s-1");
    assert_eq!(read_response(client).header("connection"), Some("close"));
}

#[test]
fn client_sends_nothing_or_partial_request_then_it_is_closed_but_idle_client_is_kept() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let ready = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut idle = open_request(node.address, ready);
    let partial_requests = ["", "POST /api/k1 HTT", "POST /api/k1 HTTP/1.1\r\nX-Request-Id: r", ready];
    let partial_body = job_request("r1", "view", 5.0, "").replace("Content-Length: 4", "Content-Length: 9");
    let partial_clients: Vec<_> = partial_requests
        .iter()
        .map(|request| open_request(node.address, request))
        .chain([open_request(node.address, &partial_body)])
        .collect();
    // A partial second request on a connection whose first request was answered.
    (&partial_clients[3]).write_all(b"POST /api").expect("writing to the node failed");
    for (mut stream, expected) in partial_clients.into_iter().zip(["", "400", "400", "200", "408"]) {
        let mut response = String::new();
        let result = stream.read_to_string(&mut response);
        assert!(result.is_ok(), "{expected:?}: {response} {result:?}");
        assert_eq!(response.split(' ').nth(1).unwrap_or(""), expected, "{response}");
    }
    idle.write_all(ready.as_bytes()).expect("the idle connection was closed");
    let mut reader = std::io::BufReader::new(idle);
    for _ in 0..2 {
        assert_eq!(HttpMessage::read(&mut reader).expect("no response arrived").status(), 200);
    }
    assert!(!worker.has_pending_request());
}

#[test]
fn jobs_have_no_key_then_they_are_served() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client =
        open_request(node.address, &job_request("r1", "view", 5.0, "").replace("/api/k1?q=2", "/api"));
    let received = worker.next_request();
    assert_eq!(received.message.start_line, "POST /api HTTP/1.1");
    node.serve_job(client, &received, "r1", "s-1");
    // A path that only begins with `/api` and a method other than POST are rejected.
    assert_eq!(
        send_request(node.address, &job_request("r2", "view", 5.0, "").replace("/api/k1?q=2", "/apis"))
            .status(),
        404
    );
    assert_eq!(node.get("/api").status(), 405);
}

#[test]
fn job_names_tenant_then_it_is_charged_to_that_quota_and_without_tenant_gets_400() {
    // The first tenant has hardly any quota. A job that exceeds it waits for unused capacity, and there is
    // none.
    let tenants = concat!(
        r#""customers":[{"name":"marl","quotaPerS":0.001},{"name":"tern","quotaPerS":1000}],"#,
        r#""overShareWorth":0.01,"#
    );
    let settings = |discovery, endpoints: &[String]| {
        node_config_with_long_timeouts(discovery, endpoints)
            .replace(r#""settings":{"#, &format!(r#""settings":{{{tenants}"#))
    };
    let worker = ScriptedServer::start();
    let (node, _watch, _discovery) = Node::start_with_config(&[("s-1", &worker)], settings);
    // Quotas are charged for first submissions only. A job with less time left than others counts as a client
    // retry, even if a slow node made it wait. All jobs request more time than their class allows, so that
    // they have the same time left.
    let tenant_request = |id: &str, tenant: &str| job_request(id, "view", 2000.0, tenant);
    assert_eq!(send_request(node.address, &tenant_request("r1", "")).status(), 400);
    assert_eq!(send_request(node.address, &tenant_request("r2", "X-Tenant: osier\r\n")).status(), 400);
    assert_eq!(send_request(node.address, &tenant_request("r3", "X-Tenant: 2\r\n")).status(), 400);
    // Tenants can be given by name, or by index in the settings.
    for (id, tenant) in [("r4", "X-Tenant: tern\r\n"), ("r5", "X-Tenant: 1\r\n")] {
        let client = open_request(node.address, &tenant_request(id, tenant));
        node.serve_job(client, &worker.next_request(), id, "s-1");
    }
    // The first tenant soon exhausts its quota. The job of the other tenant is then sent first.
    let mut first_tenant_clients = Vec::new();
    for n in 0..40 {
        first_tenant_clients
            .push(open_request(node.address, &tenant_request(&format!("m{n}"), "X-Tenant: marl\r\n")));
    }
    // The node has accepted all of them, in this order, before the next job arrives.
    let wait_for_jobs = |count| wait_for_counter(&node, "curlewusher_jobs_taken_total", count);
    wait_for_jobs(42);
    let _last_arrival = open_request(node.address, &tenant_request("r6", "X-Tenant: tern\r\n"));
    wait_for_jobs(43);
    // The worker serves the jobs one by one. The last job to arrive must not be the last one to be sent.
    let mut order = Vec::new();
    while let Some(received) = (order.len() < 41).then(|| worker.next_request()) {
        let id = received.message.header("x-request-id").expect("the request has no job id").to_owned();
        received.accept();
        node.post_completion(&id, "s-1");
        let is_last_arrival = id == "r6";
        order.push(id);
        if is_last_arrival {
            break;
        }
    }
    assert!(order.len() < 41, "{order:?}");
}
