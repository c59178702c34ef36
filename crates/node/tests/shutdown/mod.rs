//! Graceful shutdown after SIGTERM.

use crate::common::{Node, read_response, wait_until};

#[test]
fn sigterm_arrives_then_jobs_in_flight_are_served_and_node_exits_with_success() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "view", 9.0);
    node.signal("-TERM");
    wait_until("it stays ready", || node.get("/ready").status() != 200);
    // It still takes what comes, and tells the client to go on elsewhere.
    let late = node.submit_job("r2", "view", 9.0);
    node.complete_job(client, "r1", "s-1");
    worker.next_event().accept();
    node.post_callback("r2", "s-1", r#""state":"done","result":"y""#);
    let late = read_response(late);
    assert_eq!((late.body.as_str(), late.header("connection")), ("y", Some("close")));
    assert!(node.wait_for_exit().status.success());
}

#[test]
fn job_outlasts_shutdown_then_it_is_answered_before_exit() {
    // The kill comes 3.7 s after SIGTERM, however long the deadline is: without an answer the job would be lost.
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    let client = node.submit_accepted_job(&worker, "r1", "order", 60.0);
    node.signal("-TERM");
    assert_eq!(read_response(client).status(), 502);
    assert_eq!(worker.next_request().message.start_line, "DELETE /jobs/r1 HTTP/1.1");
    assert!(node.wait_for_exit().status.success());
}
