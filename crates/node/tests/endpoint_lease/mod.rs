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
