//! Hedging: a job that waits at its worker gets a hedged request or is relocated, if it may run twice.

use crate::common::*;

/// Serves jobs 10 to 39, which credit enough work to the budget for a hedged request.
fn serve_thirty_jobs(node: &mut TestNode) {
    for job in 10..40 {
        node.run_job(job, 0, 0.1, millis(100));
    }
}

/// Returns one of `nodes` nodes, which may hedge, and the worker to which it has sent job 1.
fn node_with_a_waiting_job(nodes: u32, class: usize) -> (TestNode, Option<u64>) {
    let mut settings = node_settings(nodes, 0);
    settings.classes.iter_mut().for_each(|class| class.latency_objective = seconds(2));
    let mut node = TestNode::new(settings, &endpoints(4));
    serve_thirty_jobs(&mut node);
    node.advance(SECOND);
    let first = node.place_job(1, class, 0.1);
    (node, first)
}

#[test]
fn job_of_a_single_node_waits_then_it_is_hedged_once_and_only_after_half_a_second() {
    let (mut node, first) = node_with_a_waiting_job(1, 0);
    assert_eq!(
        sent_to(&node.advance(millis(500))),
        None,
        "hedged too early: all work at the worker is from this node, so the worker is slow"
    );
    let actions = node.advance(SECOND);
    assert_eq!(count_sends(&actions), 1, "{actions:?}");
    assert_ne!(sent_to(&actions), first);
}

#[test]
fn start_is_late_at_one_of_several_nodes_then_the_job_is_hedged_and_the_slower_attempt_cancelled() {
    let (mut node, first) = node_with_a_waiting_job(3, 0);
    let actions = node.advance(millis(50));
    assert!(sent_to(&actions).is_some_and(|hedged| Some(hedged) != first), "{actions:?}");
    // The hedged request has started, so the attempt that still waits must not run too.
    let actions = node.start_attempt(1, 1);
    assert!(actions.contains(&Action::CancelAttempt { job: JobId(1), attempt: 0 }), "{actions:?}");
    assert!(!actions.contains(&Action::CancelAttempt { job: JobId(1), attempt: 1 }), "{actions:?}");
}

#[test]
fn waiting_job_is_not_idempotent_then_it_is_not_hedged() {
    let (mut node, first) = node_with_a_waiting_job(3, 2);
    assert!(first.is_some());
    assert_eq!(sent_to(&node.advance(SECOND)), None);
}

#[test]
fn job_is_running_or_not_idempotent_then_it_is_not_hedged() {
    let mut node = TestNode::new(settings(), &endpoints(3));
    serve_thirty_jobs(&mut node);
    node.start_job(1, 0, 0.1);
    node.submit(2, 2, 0.1);
    assert_eq!(sent_to(&node.advance(seconds(2))), None);
}

#[test]
fn starts_are_not_reported_then_a_long_job_is_not_hedged() {
    let mut node = TestNode::new(Settings { reports_start: false, ..settings() }, &endpoints(2));
    for job in 10..40 {
        node.submit(job, 0, 0.1);
        node.end_attempt_after(millis(100), job, 0, Outcome::Done);
    }
    node.submit(1, 0, 0.1);
    assert_eq!(sent_to(&node.advance(seconds(2))), None, "a long job is hedged");
    assert!(node.place_job(2, 2, 0.1).is_some(), "the other worker is not used");
}

/// Returns one of `nodes` nodes, which may not hedge, and the worker to which it has sent job 1. The worker
/// has accepted the job.
fn node_with_an_accepted_job(nodes: u32, class: usize) -> (TestNode, Option<u64>) {
    let mut settings = Settings { may_hedge: false, ..node_settings(nodes, 0) };
    settings.classes.iter_mut().for_each(|class| class.latency_objective = seconds(2));
    let mut node = TestNode::new(settings, &endpoints(12));
    let first = node.place_job_with_key(1, class, 0.1, 7);
    node.now += millis(10);
    node.accept_attempt(1, 0);
    (node, first)
}

#[test]
fn job_waits_at_a_busy_worker_then_it_is_relocated_to_the_next_worker_of_its_key() {
    let cancel = Action::CancelAttempt { job: JobId(1), attempt: 0 };
    for nodes in [3, 300] {
        let (mut node, first) = node_with_an_accepted_job(nodes, 0);
        assert_eq!(node.advance(millis(130)), [], "relocated too early: the start may still be reported");
        let actions = node.advance(millis(30));
        assert!(!actions.is_empty() && actions.iter().all(|action| *action == cancel), "{actions:?}");
        let second = sent_to(&node.end_attempt(1, 0, Outcome::Cancelled));
        assert!(second.is_some() && second != first, "{first:?}, {second:?}");
        node.accept_attempt(1, 1);
        node.start_attempt(1, 1);
        assert_eq!(node.advance(millis(500)), [], "a running job is relocated");
    }
    for class in [1, 2] {
        let (mut node, _) = node_with_an_accepted_job(300, class);
        assert_eq!(
            node.advance(SECOND),
            [],
            "a job of class {class} is relocated, but may not run at a second worker"
        );
    }
}
