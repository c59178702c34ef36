//! Requests of clients: which are valid, which are rejected, and for which tenant and job id they count.

use std::io::{Read, Write};
use std::net::TcpListener;

use crate::common::{
    HttpMessage, Node, ScriptedServer, job_request, node_config, node_config_with_long_timeouts,
    open_request, read_response, send_request, wait_for_counter,
};

#[test]
fn job_id_is_in_flight_then_a_second_job_of_that_id_gets_409() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "order", 5.0);
    assert_eq!(send_request(node.address, &job_request("r1", "order", 5.0, "")).status(), 409);
    node.complete_job(client, "r1", "s-1");
    assert!(!worker.has_pending_request());
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
    for (mut stream, expected) in cut.into_iter().zip(["", "400", "400", "200", "408"]) {
        let mut said = String::new();
        let got = stream.read_to_string(&mut said);
        assert!(got.is_ok(), "{expected:?}: {said} {got:?}");
        assert_eq!(said.split(' ').nth(1).unwrap_or(""), expected, "{said}");
    }
    idle.write_all(ready.as_bytes()).expect("it is open");
    let mut read = std::io::BufReader::new(idle);
    for _ in 0..2 {
        assert_eq!(HttpMessage::read(&mut read).expect("an answer").status(), 200);
    }
    assert!(!worker.has_pending_request());
}

#[test]
fn jobs_have_no_key_then_they_are_served() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client =
        open_request(node.address, &job_request("r1", "view", 5.0, "").replace("/api/k1?q=2", "/api"));
    let got = worker.next_request();
    assert_eq!(got.message.start_line, "POST /api HTTP/1.1");
    node.serve_job(client, &got, "r1", "s-1");
    // Neither a longer path nor another method is a job.
    assert_eq!(
        send_request(node.address, &job_request("r2", "view", 5.0, "").replace("/api/k1?q=2", "/apis"))
            .status(),
        404
    );
    assert_eq!(node.get("/api").status(), 405);
}

#[test]
fn job_names_tenant_then_it_is_charged_to_that_quota_and_without_tenant_gets_400() {
    // The first tenant has hardly any quota: a job beyond it waits for spare capacity, and there is none.
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
    // The first tenant's quota is soon used up; the job of the other tenant then goes first.
    let mut firsts = Vec::new();
    for n in 0..40 {
        firsts.push(open_request(node.address, &of(&format!("m{n}"), "X-Tenant: marl\r\n")));
    }
    // All have been accepted, in this order, before the next arrives.
    let wait_for_jobs = |count| wait_for_counter(&node, "curlewusher_jobs_taken_total", count);
    wait_for_jobs(42);
    let _last = open_request(node.address, &of("r6", "X-Tenant: tern\r\n"));
    wait_for_jobs(43);
    // They are served one by one: the last to arrive is not the last to be sent.
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
