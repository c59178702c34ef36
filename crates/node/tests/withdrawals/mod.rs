//! Withdrawals of jobs whose client has disconnected or whose deadline has passed.

use crate::common::{Node, ScriptedServer, next_request_at_either, read_response};

#[test]
fn client_disconnects_while_202_is_in_transit_then_job_is_withdrawn_by_id() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    for id in ["r1", "r2", "r3", "r4"] {
        let client = node.submit_job(id, "view", 5.0);
        let got = worker.next_request();
        // The stopped node finds both when it continues: that its client has disconnected, and the 202.
        node.signal("-STOP");
        drop(client);
        got.accept();
        node.signal("-CONT");
        // Closing the connection would leave the job to run, and another attempt beside it.
        worker.expect_withdrawal(id).respond("200 OK");
    }
}

/// Asserts that the connection of an attempt is closed, and that the job is withdrawn by id on another.
fn assert_withdrawn(worker: &ScriptedServer, id: &str, connection: usize) {
    let both = [worker.next_event(), worker.next_event()];
    let (ends, calls): (Vec<_>, Vec<_>) = both.iter().partition(|got| got.message.start_line.is_empty());
    assert_eq!(ends.iter().map(|end| end.connection).collect::<Vec<_>>(), [connection]);
    assert_eq!(calls[0].message.start_line, format!("DELETE /jobs/{id} HTTP/1.1"));
    assert_ne!(calls[0].connection, connection);
}

#[test]
fn client_closes_connection_then_its_job_is_withdrawn() {
    let (worker, node, _watch, _discovery) = Node::start_with_worker();
    // After the 202 the job is withdrawn by id.
    let client = node.submit_accepted_job(&worker, "r1", "view", 5.0);
    node.post_callback("r1", "s-1", r#""state":"started""#);
    drop(client);
    let got = worker.next_event();
    assert_eq!(got.message.start_line, "DELETE /jobs/r1 HTTP/1.1");
    got.respond("204 No Content");
    // Before it, the connection is closed as well: on a cut network only a repeated withdrawal arrives.
    let client = node.submit_job("r2", "view", 5.0);
    let got = worker.next_request();
    assert!(got.message.start_line.starts_with("POST"), "{}", got.message.start_line);
    drop(client);
    assert_withdrawn(&worker, "r2", got.connection);
    assert_eq!(node.counter("curlewusher_clients_gone_total"), 2);
}

#[test]
fn worker_is_silent_then_client_is_answered_by_deadline_and_attempt_is_withdrawn() {
    // It may have run, so that an order fails and a view is rejected; either attempt is withdrawn.
    for (class, status) in [("order", 502), ("view", 503)] {
        let (worker, node, _watch, _discovery) = Node::start_with_worker();
        let client = node.submit_job("r1", class, 0.3);
        let got = worker.next_event();
        assert!(got.message.start_line.starts_with("POST"));
        let answer = read_response(client);
        assert_eq!((answer.status(), answer.header("retry-after").is_some()), (status, status == 503));
        assert_withdrawn(&worker, "r1", got.connection);
        assert_eq!(node.counter("curlewusher_delivery_attempts_given_up_total"), 1);
    }
}

#[test]
fn withdrawal_is_answered_with_error_then_accepted_job_is_not_retried() {
    // The worker answers, and runs on: another attempt would be a second copy.
    for status in
        ["503 Service Unavailable", "500 Internal Server Error", "429 Too Many Requests", "302 Found"]
    {
        let ([one, two], node, _watch, _discovery) = Node::start_with_two_workers();
        let client = node.submit_job("r1", "view", 8.0);
        let (worker, got, other) = next_request_at_either(&one, &two);
        // It does not start, so that it is withdrawn.
        got.accept();
        for _ in 0..3 {
            let (at, withdrawal, _) = next_request_at_either(&one, &two);
            assert!(std::ptr::eq(at, worker), "a second attempt beside one that runs, after {status}");
            assert_eq!(withdrawal.message.start_line, "DELETE /jobs/r1 HTTP/1.1");
            withdrawal.respond(status);
        }
        worker.expect_withdrawal("r1").respond("204 No Content");
        let got = other.next_request();
        node.serve_job(client, &got, "r1", if std::ptr::eq(other, &one) { "s-1" } else { "s-2" });
    }
}
