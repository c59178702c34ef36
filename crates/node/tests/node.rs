//! The program as a process: clients, next hops and discovery are played by the test.

mod command_line;
mod common;
mod connections;
mod crowds;
mod departures;
mod links;
mod moves;
mod operation;
mod outputs;
mod random_lives;
mod versions;
mod watch;

use std::io::{Read, Write};
use std::net::TcpListener;

use common::*;

#[test]
fn a_job_passes_through_unchanged_and_its_result_comes_back() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    assert_eq!(node.get("/ready").status(), 200);
    let request = job("r1", "register", 5.0, "Idempotency-Key: k9\r\n");
    let client = write(node.address, &request.replace("/api", "http://backend.local/api"));
    let got = hop.next();
    assert_eq!(got.message.start, "POST /api/k1?q=2 HTTP/1.1");
    assert_eq!(got.message.header("x-request-id"), Some("r1"));
    assert_eq!(got.message.header("idempotency-key"), Some("k9"));
    assert_eq!(got.message.body, "body");
    let wait: f64 = got.message.header("x-deadline").and_then(|v| v.parse().ok()).expect("a deadline");
    assert!(wait > 0.0 && wait <= 5.0, "{wait}");
    got.answer("202 Accepted");
    node.tell("r1", "s-1", r#""state":"started""#);
    node.tell("r1", "s-1", r#""state":"running","share":0.4"#);
    node.tell("r1", "s-1", r#""state":"done","result":"a\nb""#);
    let answer = answer(client);
    assert_eq!((answer.status(), answer.body.as_str()), (200, "a\nb"));
    assert_eq!(node.count(r#"curlewusher_answers_total{kind="served"}"#), 1);
}

#[test]
fn calls_before_the_202_and_repeats_and_strangers_change_nothing_more() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let client = write(node.address, &job("r1", "view", 5.0, ""));
    let got = hop.next();
    // Neither another next hop nor another job is meant.
    node.tell("r1", "s-9", r#""state":"failed""#);
    node.tell("r9", "s-1", r#""state":"failed""#);
    for _ in 0..3 {
        node.tell("r1", "s-1", r#""state":"done","result":"first""#);
    }
    assert_eq!(answer(client).body, "first");
    got.answer("202 Accepted");
    assert_eq!(node.count("curlewusher_callbacks_without_effect_total"), 4);
    assert_eq!(node.count("curlewusher_delivery_attempts_total"), 1);
    for bad in ["", "{", r#"{"id":"a","from":"b"}"#, r#"{"id":"a","from":"b","state":"running"}"#] {
        assert_eq!(node.callback(bad), 400, "{bad}");
    }
}

#[test]
fn a_connection_is_used_again_one_request_at_a_time() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    for id in ["r1", "r2", "r3"] {
        let client = write(node.address, &job(id, "view", 5.0, ""));
        let got = hop.next();
        assert_eq!(got.connection, 0, "{id}");
        got.answer("202 Accepted");
        node.tell(id, "s-1", r#""state":"done","result":"x""#);
        assert_eq!(answer(client).status(), 200);
    }
}

#[test]
fn a_connection_that_has_stood_idle_is_not_trusted_with_a_job() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let client = write(node.address, &job("r1", "order", 5.0, ""));
    hop.next().answer("202 Accepted");
    node.tell("r1", "s-1", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
    // The node ends it long before the far end would.
    let end = hop.next();
    assert_eq!((end.message.start.as_str(), end.connection), ("", 0));
}

#[test]
fn an_unsafe_job_goes_out_again_only_when_it_never_ran() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    // Turned away unstarted: it goes out once more. Lost without a 202: it may have run.
    let client = write(node.address, &job("r1", "order", 5.0, ""));
    hop.next().answer("503 Service Unavailable\r\nX-Not-Run: 1");
    hop.next().reset();
    let lost = answer(client);
    assert_eq!(lost.status(), 502, "a refusal would call it harmless to come again");
    assert_eq!(node.count("curlewusher_delivery_attempts_total"), 2);
    // A 503 without that header says nothing.
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let client = write(node.address, &job("r2", "order", 5.0, ""));
    hop.request().answer("503 Service Unavailable");
    assert_eq!(answer(client).status(), 502);
    assert_eq!(node.count("curlewusher_delivery_attempts_total"), 1);
}

#[test]
fn a_connection_closed_while_idle_costs_no_attempt() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    for id in ["r1", "r2"] {
        let client = write(node.address, &job(id, "order", 5.0, ""));
        let got = hop.request();
        got.answer("202 Accepted");
        node.tell(id, "s-1", r#""state":"done","result":"x""#);
        assert_eq!(answer(client).status(), 200);
        got.reset();
    }
    assert_eq!(node.count("curlewusher_delivery_attempts_total"), 2);
}

#[test]
fn a_job_given_up_while_its_202_is_on_its_way_is_withdrawn_by_name() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    for id in ["r1", "r2", "r3", "r4"] {
        let client = write(node.address, &job(id, "view", 5.0, ""));
        let got = hop.request();
        // Held still, the node finds both when it goes on: that its client has left, and the 202.
        node.signal("-STOP");
        drop(client);
        got.answer("202 Accepted");
        node.signal("-CONT");
        // Closing the connection would leave the job to run, and another attempt beside it.
        let call = hop.request();
        assert_eq!(call.message.start, format!("DELETE /jobs/{id} HTTP/1.1"));
        call.answer("200 OK");
    }
}

#[test]
fn a_job_goes_on_elsewhere_only_once_its_withdrawal_was_heard() {
    let (first, second) = (Server::start(), Server::start());
    let (node, _watch, _discovery) = Node::with(&[("s-1", &first), ("s-2", &second)]);
    let client = write(node.address, &job("r1", "view", 8.0, ""));
    // Whichever of the two it goes to takes it on and never starts it.
    let begun = std::time::Instant::now();
    let (hop, got, other) = loop {
        assert!(begun.elapsed() < LONG, "the job reached neither");
        std::thread::yield_now();
        if let Some(got) = first.waiting() {
            break (&first, got, &second);
        }
        if let Some(got) = second.waiting() {
            break (&second, got, &first);
        }
    };
    got.answer("202 Accepted");
    for _ in 0..3 {
        let call = hop.request();
        assert_eq!(call.message.start, "DELETE /jobs/r1 HTTP/1.1");
        assert!(!other.has_more(), "a second copy beside one that may still run");
        call.reset();
    }
    let call = hop.request();
    assert!(!other.has_more(), "a second copy beside one that may still run");
    call.answer("200 OK");
    other.request().answer("202 Accepted");
    let name = if std::ptr::eq(other, &first) { "s-1" } else { "s-2" };
    node.tell("r1", name, r#""state":"done","result":"x""#);
    assert_eq!((answer(client).body.as_str(), node.count("curlewusher_withdrawals_unheard_total")), ("x", 3));
}

/// Its connection is closed, and it is withdrawn by name on another.
fn is_given_up(hop: &Server, id: &str, connection: usize) {
    let both = [hop.next(), hop.next()];
    let (ends, calls): (Vec<_>, Vec<_>) = both.iter().partition(|got| got.message.start.is_empty());
    assert_eq!(ends.iter().map(|end| end.connection).collect::<Vec<_>>(), [connection]);
    assert_eq!(calls[0].message.start, format!("DELETE /jobs/{id} HTTP/1.1"));
    assert_ne!(calls[0].connection, connection);
}

#[test]
fn a_client_that_closes_is_gone_and_its_job_withdrawn() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    // After the 202 the job is withdrawn by name.
    let client = write(node.address, &job("r1", "view", 5.0, ""));
    hop.next().answer("202 Accepted");
    node.tell("r1", "s-1", r#""state":"started""#);
    drop(client);
    let got = hop.next();
    assert_eq!(got.message.start, "DELETE /jobs/r1 HTTP/1.1");
    got.answer("204 No Content");
    // Before it, the connection is closed as well: on a cut network only a call that is repeated arrives.
    let client = write(node.address, &job("r2", "view", 5.0, ""));
    let got = hop.request();
    assert!(got.message.start.starts_with("POST"), "{}", got.message.start);
    drop(client);
    is_given_up(&hop, "r2", got.connection);
    assert_eq!(node.count("curlewusher_clients_gone_total"), 2);
}

#[test]
fn a_silent_next_hop_costs_the_answer_no_time_and_is_told_to_stop() {
    // It may have run, so that an order fails and a view is deferred; either attempt is given up.
    for (class, status) in [("order", 502), ("view", 503)] {
        let hop = Server::start();
        let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
        let client = write(node.address, &job("r1", class, 0.3, ""));
        let got = hop.next();
        assert!(got.message.start.starts_with("POST"));
        let answer = answer(client);
        assert_eq!((answer.status(), answer.header("retry-after").is_some()), (status, status == 503));
        is_given_up(&hop, "r1", got.connection);
        assert_eq!(node.count("curlewusher_delivery_attempts_given_up_total"), 1);
    }
}

#[test]
fn a_job_leaves_a_next_hop_that_does_not_take_it_on() {
    let (one, two) = (Server::start(), Server::start());
    let (node, _watch, _discovery) = Node::with(&[("s-1", &one), ("s-2", &two)]);
    let client = write(node.address, &job("r1", "view", 9.0, ""));
    // Its connection was closed before the job went to the other.
    let first: Vec<_> = [&one, &two].map(|hop| hop.next().message.start).into();
    assert!(first.iter().all(|start| start.starts_with("POST")), "{first:?}");
    assert_eq!(node.count(r#"curlewusher_delivery_attempts_ended_total{outcome="cancelled"}"#), 1);
    for name in ["s-1", "s-2"] {
        node.tell("r1", name, r#""state":"done","result":"x""#);
    }
    assert_eq!(answer(client).status(), 200);
}

#[test]
fn an_id_in_hand_is_not_taken_again_and_its_first_job_is_not_disturbed() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let client = write(node.address, &job("r1", "order", 5.0, ""));
    hop.next().answer("202 Accepted");
    assert_eq!(ask(node.address, &job("r1", "order", 5.0, "")).status(), 409);
    node.tell("r1", "s-1", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
    assert!(!hop.has_more());
}

#[test]
fn a_job_handed_back_goes_to_another_next_hop() {
    let (first, second) = (Server::start(), Server::start());
    let (node, watch, _discovery) = Node::with(&[("s-1", &first)]);
    let client = write(node.address, &job("r1", "order", 5.0, ""));
    first.next().answer("202 Accepted");
    let before = node.count("curlewusher_transport_map_changes_total");
    let change =
        [endpoint("s-1", first.address, "terminating"), endpoint("s-2", second.address, "in_service")];
    watch.line(&list(43, false, &change));
    while node.count("curlewusher_transport_map_changes_total") <= before {}
    node.tell("r1", "s-1", r#""state":"returned""#);
    second.next().answer("202 Accepted");
    // Late and repeated words of the first say nothing of the second.
    node.tell("r1", "s-1", r#""state":"returned""#);
    node.tell("r1", "s-2", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
}

#[test]
fn a_silent_watch_is_opened_again() {
    // A change that does not arrive counts as told all the same: silence must not be taken for calm.
    let (discovery, hop) = (Server::start(), Server::start());
    let _node = Node::start(&config(discovery.address, &[endpoint("s-1", hop.address, "in_service")]));
    let first = Watch::open(&discovery);
    first.line("");
    assert_eq!(Watch::open(&discovery).since(), "41");
}

#[test]
fn without_next_hops_or_discovery_a_job_is_deferred_before_its_deadline() {
    let discovery = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let node = Node::start(&config(discovery, &[]));
    assert_eq!(node.get("/ready").status(), 503);
    let answer = ask(node.address, &job("r1", "view", 0.3, ""));
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").and_then(|v| v.parse().ok()).expect("Retry-After");
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert_eq!(node.count("curlewusher_delivery_attempts_total"), 0);
}

#[test]
fn what_is_malformed_gets_a_plain_answer_and_goes_no_further() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let with = |more: &str| job("r1", "view", 5.0, more);
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
        assert_eq!(ask(node.address, &request).status(), status, "{request}");
    }
    // So is a head that follows a good request on one connection.
    let chunked = with("Transfer-Encoding: chunked\r\n");
    let mut stream = write(node.address, &format!("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n{chunked}"));
    let mut both = String::new();
    stream.read_to_string(&mut both).expect("it closes");
    assert!(both.starts_with("HTTP/1.1 200") && both.contains("HTTP/1.1 400"), "{both}");
    assert!(!hop.has_more());
    assert_eq!(node.count("curlewusher_jobs_taken_total"), 0);
}

#[test]
fn a_chunked_body_is_delivered_with_its_length() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
    let request = job("r1", "view", 5.0, "").replace("Content-Length: 4\r\n\r\nbody", chunked);
    let client = write(node.address, &request);
    let got = hop.next();
    assert_eq!((got.message.body.as_str(), got.message.header("content-length")), ("body", Some("4")));
    got.answer("202 Accepted");
    node.tell("r1", "s-1", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).header("connection"), Some("close"));
}

#[test]
fn who_says_nothing_or_half_a_request_is_cut_and_an_idle_client_is_not() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let ready = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut idle = write(node.address, ready);
    let starts = ["", "POST /api/k1 HTT", "POST /api/k1 HTTP/1.1\r\nX-Request-Id: r", ready];
    let half_body = job("r1", "view", 5.0, "").replace("Content-Length: 4", "Content-Length: 9");
    let cut: Vec<_> =
        starts.iter().map(|s| write(node.address, s)).chain([write(node.address, &half_body)]).collect();
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
        assert_eq!(Message::read(&mut read).expect("an answer").status(), 200);
    }
    assert!(!hop.has_more());
}

#[test]
fn a_drain_is_heeded_and_a_broken_watch_goes_on_where_it_ended() {
    let (first, second) = (Server::start(), Server::start());
    let (node, watch, discovery) = Node::with(&[("s-1", &first), ("s-2", &second)]);
    let before = node.count("curlewusher_transport_map_changes_total");
    watch.line(&list(43, false, &[endpoint("s-1", first.address, "terminating")]));
    while node.count("curlewusher_transport_map_changes_total") <= before {}
    for id in ["r1", "r2", "r3"] {
        let client = write(node.address, &job(id, "view", 5.0, ""));
        second.next().answer("202 Accepted");
        node.tell(id, "s-2", r#""state":"done","result":"x""#);
        assert_eq!(answer(client).status(), 200);
    }
    assert!(!first.has_more());
    watch.end();
    assert_eq!(Watch::open(&discovery).since(), "43");
}

#[test]
fn after_sigterm_it_serves_what_it_has_and_ends_well() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let client = write(node.address, &job("r1", "view", 9.0, ""));
    hop.next().answer("202 Accepted");
    node.signal("-TERM");
    while node.get("/ready").status() == 200 {}
    // It still takes what comes, and tells the client to go on elsewhere.
    let late = write(node.address, &job("r2", "view", 9.0, ""));
    node.tell("r1", "s-1", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
    hop.next().answer("202 Accepted");
    node.tell("r2", "s-1", r#""state":"done","result":"y""#);
    let late = answer(late);
    assert_eq!((late.body.as_str(), late.header("connection")), ("y", Some("close")));
    assert!(node.end().status.success());
}

#[test]
fn a_job_that_outlasts_the_drain_is_answered_before_the_end() {
    // The kill comes 3.7 s after SIGTERM, however long the deadline is: without an answer the job would be lost.
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let client = write(node.address, &job("r1", "order", 60.0, ""));
    hop.next().answer("202 Accepted");
    node.signal("-TERM");
    assert_eq!(answer(client).status(), 502);
    assert_eq!(hop.request().message.start, "DELETE /jobs/r1 HTTP/1.1");
    assert!(node.end().status.success());
}

#[test]
fn more_connections_than_descriptors_do_not_shut_a_job_out() {
    let (discovery, hop) = (Server::start(), Server::start());
    let config = config(discovery.address, &[endpoint("s-1", hop.address, "in_service")]);
    // By its own count it closes idle connections in time, and keeps descriptors for next hops.
    let node = Node::start(&config.replace("1024", "64"));
    // Half a request is no idle connection, and holds its place no longer than a silent one.
    let crowd: Vec<_> = (0..100).map(|i| write(node.address, ["", "POST /api"][i % 2])).collect();
    let client = write(node.address, &job("r1", "view", 9.0, ""));
    hop.request().answer("202 Accepted");
    node.tell("r1", "s-1", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
    drop(crowd);
    // Told of far more descriptors than it has, it meets the system's refusal, and survives that.
    let node = Node::start_within(&config, 48);
    let _crowd: Vec<_> = (0..100).map(|_| write(node.address, "")).collect();
    assert_eq!(node.get("/ready").status(), 200);
    assert!(node.count("curlewusher_accept_failures_total") > 0);
}

#[test]
fn a_bad_configuration_is_named_in_one_line() {
    let good = config("127.0.0.1:1".parse().expect("an address"), &[]);
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
fn a_new_configuration_moves_the_watch_before_the_old_one_is_dropped() {
    // SIGHUP used to end the program, and with it all jobs in hand.
    let (first, second) = (Server::start(), Server::start());
    let (node, old, _discovery) = Node::with(&[("s-1", &first)]);
    let client = write(node.address, &job("r1", "view", 9.0, ""));
    first.next().answer("202 Accepted");
    for _ in 0..2 {
        node.reload("{");
        assert!(node.says().contains("config: "), "a bad file changes nothing");
        node.reload(&config(first.address, &[]).replace(r#""discovery":"127"#, r#""discovery":"x"#));
        assert!(node.says().contains("config: discovery: "));
    }
    // The new discovery hangs; the old one still tells of a change, and of its end.
    let (hangs, moved) = (Server::start(), Server::start());
    node.reload(&config(hangs.address, &[]));
    hangs.request();
    let all = [endpoint("s-1", first.address, "terminating"), endpoint("s-2", second.address, "in_service")];
    old.line(&list(43, false, &all[..1]));
    while node.count("curlewusher_transport_map_changes_total") < 3 {}
    // Another one comes while that hangs. It counts in its own way, so that the whole list is asked for.
    node.reload(&config(moved.address, &[]));
    let watch = Watch::open(&moved);
    assert_eq!(watch.since(), "0");
    watch.line(&list(7, true, &all));
    let late = write(node.address, &job("r2", "view", 9.0, ""));
    second.next().answer("202 Accepted");
    node.tell("r1", "s-1", r#""state":"done","result":"x""#);
    node.tell("r2", "s-2", r#""state":"done","result":"y""#);
    assert_eq!((answer(client).body, answer(late).body), ("x".into(), "y".into()));
    watch.end();
    assert_eq!(Watch::open(&moved).since(), "7");
    node.signal("-TERM");
    node.signal("-HUP");
    assert!(node.end().status.success());
}

#[test]
fn where_jobs_have_no_key_they_come_without_one_and_are_served() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::with(&[("s-1", &hop)]);
    let client = write(node.address, &job("r1", "view", 5.0, "").replace("/api/k1?q=2", "/api"));
    let got = hop.request();
    assert_eq!(got.message.start, "POST /api HTTP/1.1");
    got.answer("202 Accepted");
    node.tell("r1", "s-1", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
    // Neither a word that only begins like it nor another method is one.
    assert_eq!(ask(node.address, &job("r2", "view", 5.0, "").replace("/api/k1?q=2", "/apis")).status(), 404);
    assert_eq!(node.get("/api").status(), 405);
}

#[test]
fn a_job_counts_against_its_own_tenants_share_and_one_of_nobody_is_malformed() {
    // The first tenant may hardly send anything: a job beyond its share waits for room to spare, and there is
    // none.
    let tenants = concat!(
        r#""customers":[{"name":"marl","quotaPerS":0.001},{"name":"tern","quotaPerS":1000}],"#,
        r#""overShareWorth":0.01,"#
    );
    let settings = |discovery, known: &[String]| {
        config(discovery, known).replace(r#""settings":{"#, &format!(r#""settings":{{{tenants}"#))
    };
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::configured(&[("s-1", &hop)], settings);
    let of = |id: &str, tenant: &str| job(id, "view", 5.0, tenant);
    assert_eq!(ask(node.address, &of("r1", "")).status(), 400);
    assert_eq!(ask(node.address, &of("r2", "X-Tenant: osier\r\n")).status(), 400);
    assert_eq!(ask(node.address, &of("r3", "X-Tenant: 2\r\n")).status(), 400);
    // By name and by place in the settings.
    for (id, tenant) in [("r4", "X-Tenant: tern\r\n"), ("r5", "X-Tenant: 1\r\n")] {
        let client = write(node.address, &of(id, tenant));
        hop.request().answer("202 Accepted");
        node.tell(id, "s-1", r#""state":"done","result":"x""#);
        assert_eq!(answer(client).status(), 200);
    }
    // What the first tenant's share allows at once is soon used up; behind it the other one's job goes first.
    let mut firsts = Vec::new();
    for n in 0..40 {
        firsts.push(write(node.address, &of(&format!("m{n}"), "X-Tenant: marl\r\n")));
    }
    // All are in hand: each has its number, and the next is counted after them.
    let taken = |count| while node.count("curlewusher_jobs_taken_total") < count {};
    taken(42);
    let _last = write(node.address, &of("r6", "X-Tenant: tern\r\n"));
    taken(43);
    // One by one they are served: the last to come is not the last to be sent.
    let mut order = Vec::new();
    while let Some(got) = (order.len() < 41).then(|| hop.request()) {
        let id = got.message.header("x-request-id").expect("an id").to_owned();
        got.answer("202 Accepted");
        node.tell(&id, "s-1", r#""state":"done","result":"x""#);
        let found = id == "r6";
        order.push(id);
        if found {
            break;
        }
    }
    assert!(order.len() < 41, "{order:?}");
}
