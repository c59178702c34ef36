//! Daily operation, played on the program as a process: drains, maintenance, a version beside another.

mod upgrade;

use std::io::Read;

use crate::common::*;

#[test]
fn a_drain_sends_clients_on_and_its_end_brings_them_back() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::configured(&[("s-1", &hop)], operated);
    let operators = node.operators();
    // The line that says where operators are answered comes before the list has been looked at.
    while node.get("/ready").status() != 200 {}
    assert_eq!(call(operators, "READY\n"), "+OK");
    let (mut idle, mut busy) = (Client::connect(node.address), Client::connect(node.address));
    // One that was used once may stand idle for a minute.
    idle.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(idle.answer().map(|answer| answer.status()), Some(200));
    busy.send(&job("r1", "order", 8.0, ""));
    let got = hop.next();
    got.answer("202 Accepted");
    assert_eq!(call(operators, "DRAIN\n"), "+OK");
    assert_eq!(node.get("/ready").status(), 503);
    assert!(call(operators, "READY\n").starts_with("-ERR drained: send UNDRAIN"));
    // Who is idle is closed; who waits gets the result, and is told to go on elsewhere.
    assert!(idle.answer().is_none());
    // What still comes while the drain lasts is served.
    let mut late = Client::connect(node.address);
    late.send(&job("r2", "view", 8.0, ""));
    hop.request().answer("202 Accepted");
    for (id, client) in [("r1", &mut busy), ("r2", &mut late)] {
        node.tell(id, "s-1", r#""state":"done","result":"x""#);
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.answer().is_none(), "it is closed");
    }
    // A drain can be told twice, and ended in its first moment.
    for line in ["DRAIN\n", "UNDRAIN\n", "UNDRAIN\n", "DRAIN\n", "UNDRAIN\n"] {
        assert_eq!(call(operators, line), "+OK", "{line}");
    }
    assert_eq!((node.get("/ready").status(), call(operators, "READY\n").as_str()), (200, "+OK"));
    let mut kept = Client::connect(node.address);
    kept.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(kept.answer().and_then(|a| a.header("connection").map(str::to_owned)), None);
}

#[test]
fn a_drained_node_that_is_told_to_end_answers_and_ends_well() {
    let hop = Server::start();
    let (node, _watch, _discovery) = Node::configured(&[("s-1", &hop)], operated);
    let operators = node.operators();
    let client = write(node.address, &job("r1", "view", 8.0, ""));
    hop.next().answer("202 Accepted");
    assert_eq!(call(operators, "DRAIN\n"), "+OK");
    node.signal("-TERM");
    while !node.says().ends_with("n0: drains") {}
    assert!(call(operators, "UNDRAIN\n").starts_with("-ERR this process is ending"));
    node.tell("r1", "s-1", r#""state":"done","result":"x""#);
    assert_eq!(answer(client).status(), 200);
    assert_eq!(node.end().status.code(), Some(0));
}

#[test]
fn callers_who_finish_no_call_keep_nobody_waiting() {
    let (node, _watch, _discovery) = Node::configured(&[], operated);
    let operators = node.operators();
    let mut silent: Vec<_> =
        (0..200).map(|n| write(operators, if n % 2 == 0 { "" } else { "READ" })).collect();
    assert!(call(operators, "UNDRAIN\n").starts_with("+OK"));
    // The first of them has made way; it is told by its end.
    assert_eq!(silent[0].read(&mut [0; 8]).unwrap_or(0), 0);
    for (line, said) in [
        ("\n", "-ERR empty line"),
        ("REBOOT\n", "-ERR no such call"),
        ("DISABLE\n", "-ERR DISABLE needs the id"),
        ("READY now\n", "-ERR READY takes nothing more"),
        ("\u{e9}\n", "-ERR not plain text"),
    ] {
        assert!(call(operators, line).starts_with(said), "{line}");
    }
    assert!(call(operators, &"x".repeat(3000)).starts_with("-ERR line over"));
}

#[test]
fn a_next_hop_that_is_out_gets_nothing_until_its_call_back_whatever_discovery_says() {
    let (first, second) = (Server::start(), Server::start());
    let hops = [("s-1", &first), ("s-2", &second)];
    let (node, watch, _discovery) = Node::configured(&hops, operated);
    let operators = node.operators();
    assert!(call(operators, "DISABLE s-9\n").starts_with("-ERR never listed: s-9"));
    assert!(call(operators, "ENABLE s-9\n").starts_with("-ERR never listed: s-9"));
    assert_eq!(call(operators, "DISABLE s-1\n"), "+OK");
    assert_eq!(call(operators, "DISABLE s-1\n"), "+OK");
    let serve = |id: &str, hop: &Server, name: &str| {
        let client = write(node.address, &job(id, "view", 8.0, ""));
        hop.request().answer("202 Accepted");
        node.tell(id, name, r#""state":"done","result":"x""#);
        assert_eq!(answer(client).status(), 200);
    };
    let line = |hop: &Server, name, status: &str| endpoint(name, hop.address, status);
    let again = line(&first, "s-1", "in_service").replace("\"since_ms\":0", "\"since_ms\":5");
    // Discovery lists it as gone, then as started anew: it stays out, and the id stays known.
    watch.line(&list(43, false, &[line(&first, "s-1", "terminated")]));
    serve("r1", &second, "s-2");
    watch.line(&list(44, false, std::slice::from_ref(&again)));
    // It is the only one that is left: what comes is turned away.
    watch.line(&list(45, false, &[line(&second, "s-2", "terminated")]));
    while node.count("curlewusher_transport_map_changes_total") < 5 {}
    assert_eq!(answer(write(node.address, &job("r2", "view", 0.3, ""))).status(), 503);
    watch.line(&list(46, false, &[line(&second, "s-2", "in_service")]));
    assert!(!first.has_more(), "it is out");
    watch.end();
    assert_eq!(call(operators, "ENABLE s-1\n"), "+OK");
    // Its first job is the next that may be repeated, though it counts as cold.
    serve("r3", &first, "s-1");
}
