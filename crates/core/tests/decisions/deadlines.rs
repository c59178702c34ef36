//! Deadlines and shutdown: every job is answered in time, even when its node shuts down.

use crate::common::*;

#[test]
fn latency_objective_cannot_be_met_then_the_job_is_rejected_early() {
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.start_job(1, 0, 4.0);
    assert!(!has_rejection(&node.submit(2, 0, 0.05)));
    let actions = node.advance(millis(300));
    assert!(has_rejection(&actions), "{actions:?}");
}

#[test]
fn attempt_can_no_longer_start_in_time_then_it_is_cancelled() {
    let mut node = TestNode::new(settings(), &endpoints(1));
    assert!(node.place_job(1, 0, 0.1).is_some());
    let actions = node.advance(seconds(4));
    assert!(has_rejection(&actions), "{actions:?}");
    assert!(actions.contains(&Action::CancelAttempt { job: JobId(1), attempt: 0 }), "{actions:?}");
    // A running attempt is not cancelled.
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.start_job(1, 0, 0.1);
    assert!(!has_rejection(&node.advance(seconds(4))));
}

#[test]
fn deadline_is_near_then_every_job_is_answered() {
    let mut node = TestNode::new(settings(), &endpoints(2));
    node.submit(1, 0, 0.1);
    node.submit(2, 2, 0.1);
    node.start_attempt(1, 0);
    let actions = node.advance(seconds(5) - millis(10));
    assert!(has_rejection(&actions) && has_failure(&actions), "{actions:?}");
}

#[test]
fn no_time_is_left_on_arrival_then_the_job_is_answered_immediately() {
    // The last retry of a client can arrive with no time left. The next expiry of the timer would be too late
    // for a response.
    let mut node = TestNode::new(settings(), &endpoints(1));
    let deadline = node.now + millis(5);
    let last_retry = JobSubmission { deadline, is_retry: true, ..submission(1, 0, 0.1, node.now) };
    assert!(has_rejection(&node.submit_job(last_retry)));
    assert!(node.advance(SECOND).is_empty());
}

fn rejects(actions: &[Action], job: u64) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { job: rejected, .. } if rejected.0 == job))
}

#[test]
fn shutdown_starts_then_all_jobs_are_answered_before_its_deadline() {
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.deliver_endpoints(&[]);
    // Neither job can be sent now. Job 1 could still be served in time, job 2 could not.
    node.submit(1, 2, 0.5);
    node.submit(2, 2, 4.0);
    let deadline = node.now + seconds(3);
    let actions = node.handle(Event::ShutdownStarted { deadline });
    assert!(rejects(&actions, 2) && !rejects(&actions, 1), "{actions:?}");
    assert!(
        rejects(&node.submit(3, 2, 4.0), 3),
        "the job is not rejected although another node is more likely to serve it"
    );
    node.deliver_endpoints(&endpoints(1));
    assert!(sent_to(&node.advance(millis(20))).is_some());
    // A job that may have run fails before the deadline of the shutdown, regardless of the deadline of its
    // client.
    assert!(has_failure(&node.advance(seconds(3) - millis(40))));
}

#[test]
fn shutdown_starts_then_long_idempotent_jobs_are_rejected_and_cancelled_immediately() {
    let mut node = TestNode::new(settings(), &endpoints(3));
    // All three jobs run: two long jobs, of which job 2 must not run again, and a short job.
    for (job, class, work) in [(1, 0, 1.5), (2, 2, 1.5), (3, 0, 0.2)] {
        assert!(node.place_job(job, class, work).is_some());
        node.start_attempt(job, 0);
    }
    let actions = node.handle(Event::ShutdownStarted { deadline: node.now + SECOND });
    let is_response = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
    let responses: Vec<_> = actions.iter().filter(is_response).collect();
    assert!(matches!(responses[..], [Action::Reject { job: JobId(1), .. }]), "{actions:?}");
    assert!(actions.contains(&Action::CancelAttempt { job: JobId(1), attempt: 0 }));
}
