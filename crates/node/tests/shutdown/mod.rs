//! Graceful shutdown after SIGTERM.

use crate::common::{Node, read_response, wait_until};

#[test]
fn sigterm_arrives_then_open_and_new_jobs_complete_and_node_exits_with_success() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "view", 9.0);
    node.signal("-TERM");
    wait_until("the node did not become unready", || node.get("/ready").status() != 200);
    // The node still accepts new jobs, and redirects their clients with `Connection: close`.
    let late_client = node.submit_job("r2", "view", 9.0);
    node.complete_job(client, "r1", "s-1");
    worker.next_event().accept();
    node.post_callback("r2", "s-1", r#""state":"done","result":"y""#);
    let response = read_response(late_client);
    assert_eq!((response.body.as_str(), response.header("connection")), ("y", Some("close")));
    assert!(node.wait_for_exit().status.success());
}

#[test]
fn job_deadline_exceeds_shutdown_period_then_client_gets_error_before_exit() {
    // SIGKILL follows 3.7 s after SIGTERM regardless of the deadline, so a job without a response by then
    // would be lost.
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "order", 60.0);
    node.signal("-TERM");
    assert_eq!(read_response(client).status(), 502);
    worker.expect_cancellation("r1");
    assert!(node.wait_for_exit().status.success());
}
