//! Daily operation: drains, maintenance of workers, and upgrades to another version.

mod loaded_upgrade;
mod upgrade;
mod upgrade_scenario;

use std::io::Read;

use crate::common::{
    Client, Node, ScriptedServer, job_request, node_config_with_admin, open_request, read_response,
    send_admin_command, wait_for_counter, wait_until,
};

#[test]
fn operator_drains_node_then_clients_are_redirected_until_undrain() {
    let worker = ScriptedServer::start();
    let (node, _watch, _discovery) = Node::start_with_config(&[("s-1", &worker)], node_config_with_admin);
    let admin_address = node.admin_address();
    // The node logs its admin address before it applies the endpoint list.
    wait_until("the node did not become ready", || node.get("/ready").status() == 200);
    assert_eq!(send_admin_command(admin_address, "READY\n"), "+OK");
    let (mut idle, mut busy) = (Client::connect(node.address), Client::connect(node.address));
    // A connection may stay idle for a minute after a response.
    idle.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(idle.read_response().map(|response| response.status()), Some(200));
    busy.send(&job_request("r1", "order", 8.0, ""));
    let request = worker.next_event();
    request.accept();
    assert_eq!(send_admin_command(admin_address, "DRAIN\n"), "+OK");
    assert_eq!(node.get("/ready").status(), 503);
    assert!(send_admin_command(admin_address, "READY\n").starts_with("-ERR drained: send UNDRAIN"));
    // Idle connections are closed. A waiting client gets its result with `Connection: close`.
    assert!(idle.read_response().is_none());
    // Jobs that arrive during the drain are served.
    let mut late_client = Client::connect(node.address);
    late_client.send(&job_request("r2", "view", 8.0, ""));
    worker.next_request().accept();
    for (id, client) in [("r1", &mut busy), ("r2", &mut late_client)] {
        node.post_completion(id, "s-1");
        let response = client.read_response().expect("no response arrived");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
        assert!(client.read_response().is_none(), "the connection was not closed");
    }
    // DRAIN can be repeated, and UNDRAIN may follow at once.
    for line in ["DRAIN\n", "UNDRAIN\n", "UNDRAIN\n", "DRAIN\n", "UNDRAIN\n"] {
        assert_eq!(send_admin_command(admin_address, line), "+OK", "{line}");
    }
    assert_eq!(
        (node.get("/ready").status(), send_admin_command(admin_address, "READY\n").as_str()),
        (200, "+OK")
    );
    let mut new_client = Client::connect(node.address);
    new_client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(
        new_client.read_response().and_then(|response| response.header("connection").map(str::to_owned)),
        None
    );
}

#[test]
fn drained_node_gets_sigterm_then_it_answers_jobs_and_exits_with_success() {
    let worker = ScriptedServer::start();
    let (node, _watch, _discovery) = Node::start_with_config(&[("s-1", &worker)], node_config_with_admin);
    let admin_address = node.admin_address();
    let client = node.submit_accepted_job(&worker, "r1", "view", 8.0);
    assert_eq!(send_admin_command(admin_address, "DRAIN\n"), "+OK");
    node.signal("-TERM");
    while !node.next_log_line().ends_with("graceful shutdown started node=n0") {}
    assert!(send_admin_command(admin_address, "UNDRAIN\n").starts_with("-ERR this process is ending"));
    node.complete_job(client, "r1", "s-1");
    assert_eq!(node.wait_for_exit().status.code(), Some(0));
}

#[test]
fn operator_connections_send_no_complete_line_then_other_operators_are_answered() {
    let (node, _watch, _discovery) = Node::start_with_config(&[], node_config_with_admin);
    let admin_address = node.admin_address();
    let mut incomplete: Vec<_> = (0..200)
        .map(|number| open_request(admin_address, if number % 2 == 0 { "" } else { "READ" }))
        .collect();
    assert!(send_admin_command(admin_address, "UNDRAIN\n").starts_with("+OK"));
    // The node has evicted the first of these connections.
    assert_eq!(incomplete[0].read(&mut [0; 8]).unwrap_or(0), 0);
    for (line, error) in [
        ("\n", "-ERR empty line"),
        ("REBOOT\n", "-ERR no such call"),
        ("DISABLE\n", "-ERR DISABLE needs the id"),
        ("READY now\n", "-ERR READY takes nothing more"),
        ("\u{e9}\n", "-ERR not plain text"),
    ] {
        assert!(send_admin_command(admin_address, line).starts_with(error), "{line}");
    }
    assert!(send_admin_command(admin_address, &"x".repeat(3000)).starts_with("-ERR line over"));
}

#[test]
fn worker_is_disabled_by_operator_then_it_gets_no_job_until_enabled() {
    let (first, second) = (ScriptedServer::start(), ScriptedServer::start());
    let workers = [("s-1", &first), ("s-2", &second)];
    let (node, watch, _discovery) = Node::start_with_config(&workers, node_config_with_admin);
    let admin_address = node.admin_address();
    assert!(send_admin_command(admin_address, "DISABLE s-9\n").starts_with("-ERR never listed: s-9"));
    assert!(send_admin_command(admin_address, "ENABLE s-9\n").starts_with("-ERR never listed: s-9"));
    assert_eq!(send_admin_command(admin_address, "DISABLE s-1\n"), "+OK");
    assert_eq!(send_admin_command(admin_address, "DISABLE s-1\n"), "+OK");
    let serve = |id: &str, worker: &ScriptedServer, name: &str| {
        node.assert_serves(worker, id, "view", name);
    };
    let endpoint = |worker: &ScriptedServer, name, status: &str| worker.endpoint_json(name, status);
    let restarted = endpoint(&first, "s-1", "in_service").replace("\"since_ms\":0", "\"since_ms\":5");
    // Discovery lists the worker as terminated, then as restarted. It stays disabled, and its id stays valid.
    watch.send_endpoints(43, false, &[endpoint(&first, "s-1", "terminated")]);
    serve("r1", &second, "s-2");
    watch.send_endpoints(44, false, std::slice::from_ref(&restarted));
    // The disabled worker is the only one left, so jobs are rejected.
    watch.send_endpoints(45, false, &[endpoint(&second, "s-2", "terminated")]);
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", 5);
    assert_eq!(read_response(node.submit_job("r2", "view", 0.3)).status(), 503);
    watch.send_endpoints(46, false, &[endpoint(&second, "s-2", "in_service")]);
    assert!(!first.has_pending_request(), "the disabled worker received a job");
    watch.close();
    assert_eq!(send_admin_command(admin_address, "ENABLE s-1\n"), "+OK");
    // The worker receives the next job that is safe to retry, although it counts as cold.
    serve("r3", &first, "s-1");
}
