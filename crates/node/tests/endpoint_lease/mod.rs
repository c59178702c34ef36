//! The endpoint lease on real processes. A restarted process does not send jobs according to its saved
//! endpoint list before discovery has responded, since workers on that list may have been removed meanwhile.

use crate::common::{
    COMPLETION_FIELDS, Node, ScriptedServer, ScriptedWatch, node_config, read_response, wait_for_counter,
};

/// Counter of the jobs that a node has accepted.
const ACCEPTED_JOBS: &str = "curlewusher_jobs_taken_total";

/// Reproduces an incident: a node was killed, a worker was removed while the node was down, and the node
/// restarted with its old endpoint list.
#[test]
fn worker_is_removed_while_node_is_down_then_restarted_process_sends_it_nothing() {
    let (removed, remaining, discovery) =
        (ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start());
    let saved_endpoints = [removed.endpoint_json("s-1", "in_service")];
    let config = node_config(discovery.address, &saved_endpoints);
    let killed_node = Node::start(&config);
    ScriptedWatch::open(&discovery).send_endpoints(41, true, &saved_endpoints);
    killed_node.assert_serves(&removed, "r1", "view", "s-1");
    killed_node.kill();

    let node = Node::start(&config);
    let client = node.submit_job("r2", "order", 9.0);
    wait_for_counter(&node, ACCEPTED_JOBS, 1);
    let watch = ScriptedWatch::open(&discovery);
    assert_eq!(watch.since(), "41");
    watch.send_endpoints(42, true, &[remaining.endpoint_json("s-2", "in_service")]);
    let (_, request, other) = crate::common::next_request_at_either(&remaining, &removed);
    assert!(request.message.start_line.starts_with("POST"), "{}", request.message.start_line);
    assert!(std::ptr::eq(other, &removed), "an attempt reached the removed worker");
    request.accept();
    node.post_callback("r2", "s-2", COMPLETION_FIELDS);
    assert_eq!(read_response(client).status(), 200);
    assert!(!removed.has_pending_request(), "an attempt reached the removed worker");
}

/// After a change that does not follow the node's list, the list may be incomplete. Jobs wait until the node
/// has read a complete list.
#[test]
fn change_is_older_than_the_list_then_jobs_wait_for_a_complete_list() {
    let (worker, node, watch, discovery) = Node::start_with_worker();
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", 2);
    watch.send_endpoints(40, false, &[worker.endpoint_json("s-1", "in_service")]);
    node.wait_for_log_line("version 40 after version 42");
    node.wait_for_log_line("endpoint lease expired");
    let client = node.submit_job("r1", "view", 9.0);
    wait_for_counter(&node, ACCEPTED_JOBS, 1);
    let reopened = ScriptedWatch::open(&discovery);
    assert_eq!(reopened.since(), "0");
    assert!(!worker.has_pending_request(), "the job was sent according to an incomplete list");
    reopened.send_endpoints(43, true, &[worker.endpoint_json("s-1", "in_service")]);
    node.serve_job(client, &worker.next_request(), "r1", "s-1");
    assert_eq!(node.counter(r#"curlewusher_violations_total{reason="endpoints_expired"}"#), 0);
}
