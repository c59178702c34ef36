//! Retries: jobs that may run again, and the workers to which they may go.

use crate::common::*;

#[test]
fn job_is_not_idempotent_then_it_is_retried_only_if_it_has_not_run() {
    let mut node = TestNode::new(settings(), &endpoints(3));
    let first = node.place_job(1, 2, 0.1);
    let retried = node.end_attempt(1, 0, Outcome::Rejected);
    assert!(sent_to(&retried).is_some() && sent_to(&retried) != first, "{retried:?}");
    let actions = node.end_attempt(1, 1, Outcome::Lost);
    assert!(has_failure(&actions) && sent_to(&actions).is_none() && !has_rejection(&actions), "{actions:?}");
}

#[test]
fn end_is_reported_repeatedly_then_it_counts_once() {
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.submit(1, 0, 0.1);
    node.end_attempt(1, 0, Outcome::Unreachable);
    node.advance(millis(20));
    for _ in 0..5 {
        assert_eq!(sent_to(&node.end_attempt(1, 0, Outcome::Unreachable)), None);
    }
    let actions = node.advance(millis(200));
    assert_eq!(count_sends(&actions), 1, "{actions:?}");
}

#[test]
fn job_has_an_idempotency_key_then_it_is_retried_only_in_its_cell_and_window() {
    // With real sockets, the connection of a retry may be established late. The retry must still reach its
    // worker within the window.
    const ZERO: TimeSpan = TimeSpan::ZERO;
    let (slow, late) = (millis(900), millis(4_300));
    for (wait, accept_timeout, is_retried) in [
        (ZERO, ZERO, true),
        (seconds(5), ZERO, false),
        (late, ZERO, true),
        (late, slow, false),
        (ZERO, slow, true),
    ] {
        let mut settings = Settings { accept_timeout, ..settings() };
        settings.classes[1].client_timeout = seconds(60);
        settings.classes[1].latency_objective = seconds(40);
        let mut node = TestNode::new(settings, &endpoints(6));
        let deadline = node.now + seconds(60);
        let actions = node.submit_job(JobSubmission { deadline, ..submission(1, 1, 0.1, node.now) });
        let first = sent_to(&actions).expect("the job is not sent");
        node.start_attempt(1, 0);
        let actions = node.end_attempt_after(wait, 1, 0, Outcome::Error);
        match sent_to(&actions) {
            Some(second) => assert!(is_retried && second / 2 == first / 2 && second != first),
            None => assert!(!is_retried && has_failure(&actions)),
        }
    }
}

#[test]
fn attempt_may_still_run_at_its_worker_then_the_job_is_not_retried_there() {
    // A late report of the end of the first attempt names the job but no attempt. It would end a retry at the
    // same worker, and the next retry would run concurrently with that one.
    for outcome in [Outcome::Lost, Outcome::Cancelled] {
        let mut node = TestNode::new(Settings { may_hedge: false, ..settings() }, &endpoints(2));
        let first = node.place_job(0, 0, 0.01).expect("the job is not sent although a worker is free");
        let second =
            sent_to(&node.end_attempt(0, 0, outcome)).expect("the retry is not sent to the other worker");
        assert_ne!(first, second, "{outcome:?}");
        assert_eq!(sent_to(&node.end_attempt(0, 1, outcome)), None, "{outcome:?}");
        assert_eq!(sent_to(&node.advance(seconds(4))), None, "{outcome:?}");
    }
}

#[test]
fn attempt_is_revoked_before_it_is_sent_then_the_retry_budget_is_not_charged_and_the_job_is_requeued() {
    // Many more attempts are revoked than the retry budget allows. Each job is sent to the remaining worker,
    // or is pending while there is none.
    let workers = endpoints(2);
    let mut node = TestNode::new(settings(), &workers);
    for job in 0..60 {
        node.deliver_endpoints(&workers);
        let first = node.place_job(job, 2, 0.01).expect("the job is not sent");
        let other = (1 - first) as usize;
        let remaining = if job % 2 == 0 { &workers[other..=other] } else { &[] };
        node.deliver_endpoints(remaining);
        let mut actions = node.end_attempt(job, 0, Outcome::NotSent);
        if remaining.is_empty() {
            let is_open = sent_to(&actions).is_none() && !has_rejection(&actions) && !has_failure(&actions);
            assert!(is_open, "job {job}: {actions:?}");
            node.deliver_endpoints(&workers[other..=other]);
            actions = node.advance(millis(20));
        }
        assert_eq!(sent_to(&actions), Some(1 - first), "job {job}");
        node.end_attempt(job, 1, Outcome::Done);
    }
}

/// Returns, for each attempt that the actions send, whether it needs a new connection.
fn new_connections(actions: &[Action]) -> Vec<bool> {
    let needs_new_connection = |action: &Action| match action {
        Action::SendAttempt { needs_new_connection, .. } => Some(*needs_new_connection),
        _ => None,
    };
    actions.iter().filter_map(needs_new_connection).collect()
}

#[test]
fn attempt_could_not_be_retried_after_a_loss_then_it_needs_a_new_connection() {
    // An idle connection may have closed unnoticed. A job that was lost on an idle connection must not be
    // lost on another.
    let (idempotent, with_key, non_idempotent) = (0, 1, 2);
    for (class, first_needs_new_connection) in
        [(idempotent, false), (with_key, false), (non_idempotent, true)]
    {
        let mut node = TestNode::new(settings(), &endpoints(4));
        assert_eq!(
            new_connections(&node.submit(1, class, 0.1)),
            [first_needs_new_connection],
            "class {class}"
        );
        // The first attempt has not run, so the same rule applies to the next one.
        assert_eq!(
            new_connections(&node.end_attempt(1, 0, Outcome::Rejected)),
            [first_needs_new_connection],
            "class {class}"
        );
        if class != non_idempotent {
            assert_eq!(new_connections(&node.submit(2, class, 0.1)), [false], "class {class}");
            assert_eq!(new_connections(&node.end_attempt(2, 0, Outcome::Lost)), [true], "class {class}");
        }
    }
    // Settings that allow no retry make each first attempt the last one.
    let mut node = TestNode::new(Settings { max_attempts: 1, ..settings() }, &endpoints(2));
    assert_eq!(new_connections(&node.submit(1, idempotent, 0.1)), [true]);
}

#[test]
fn reused_connections_are_lost_then_retries_do_not_charge_the_retry_budget() {
    // Many more connections are lost than the retry budget allows retries. Each job has one retry, over a new
    // connection.
    let mut node = TestNode::new(settings(), &endpoints(4));
    for job in 0..60 {
        let first = node.place_job(job, 0, 0.01).expect("the job is not sent although a worker is free");
        let retried = node.lose_reused_connection(job);
        assert!(sent_to(&retried).is_some_and(|second| second != first), "job {job}: {retried:?}");
        node.end_attempt(job, 1, Outcome::Done);
        node.advance(seconds(1));
    }
}
