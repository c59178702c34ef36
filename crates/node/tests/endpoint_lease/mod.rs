//! The endpoint lease on real processes: a process that was restarted sends nothing by its saved list before discovery
//! has answered, since the workers on it may have left meanwhile.

use crate::common::{
    COMPLETED, Node, ScriptedServer, ScriptedWatch, endpoint_list_json, node_config, read_response,
    wait_for_counter,
};

const SUBMITTED: &str = "curlewusher_jobs_taken_total";

/// The incident: a node dies, a worker leaves while it is down, and the node starts again with its list of before.
#[test]
fn worker_leaves_while_the_node_is_down_then_the_restarted_process_sends_nothing_there() {
    let (left, stays, discovery) =
        (ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start());
    let saved = [left.endpoint_json("s-1", "in_service")];
    let config = node_config(discovery.address, &saved);
    let before = Node::start(&config);
    ScriptedWatch::open(&discovery).send_line(&endpoint_list_json(41, true, &saved));
    let client = before.submit_job("r1", "view", 9.0);
    before.serve_job(client, &left.next_request(), "r1", "s-1");
    before.kill();

    let node = Node::start(&config);
    let client = node.submit_job("r2", "order", 9.0);
    wait_for_counter(&node, SUBMITTED, 1);
    let watch = ScriptedWatch::open(&discovery);
    assert_eq!(watch.since(), "41");
    watch.send_line(&endpoint_list_json(42, true, &[stays.endpoint_json("s-2", "in_service")]));
    let (_, request, other) = crate::common::next_request_at_either(&stays, &left);
    assert!(request.message.start_line.starts_with("POST"), "{}", request.message.start_line);
    assert!(std::ptr::eq(other, &left), "an attempt reaches the worker that has left");
    request.accept();
    node.post_callback("r2", "s-2", COMPLETED);
    assert_eq!(read_response(client).status(), 200);
    assert!(!left.has_pending_request(), "an attempt reaches the worker that has left");
}

/// A change that cannot follow the list that is known leaves a hole: jobs wait until the complete list is read.
#[test]
fn change_is_older_than_the_list_then_jobs_wait_for_the_whole_list() {
    let (worker, node, watch, discovery) = Node::start_with_worker();
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", 2);
    watch.send_line(&endpoint_list_json(40, false, &[worker.endpoint_json("s-1", "in_service")]));
    node.wait_for_log_line("version 40 after version 42");
    node.wait_for_log_line("endpoint lease expired");
    let client = node.submit_job("r1", "view", 9.0);
    wait_for_counter(&node, SUBMITTED, 1);
    let again = ScriptedWatch::open(&discovery);
    assert_eq!(again.since(), "0");
    assert!(!worker.has_pending_request(), "it is sent by a list with a hole");
    again.send_line(&endpoint_list_json(43, true, &[worker.endpoint_json("s-1", "in_service")]));
    node.serve_job(client, &worker.next_request(), "r1", "s-1");
    assert_eq!(node.counter(r#"curlewusher_violations_total{reason="endpoints_expired"}"#), 0);
}
