//! Ejection and maintenance: no attempt goes to a worker that is draining, disabled, unresponsive or
//! unreachable.

use crate::common::*;

#[test]
fn worker_drains_then_it_gets_no_job() {
    let mut workers = endpoints(2);
    let mut node = TestNode::new(settings(), &workers);
    workers[0].status = WorkerStatus::Draining;
    node.handle(Event::EndpointsChanged { endpoints: &workers[..1], update: EndpointUpdate::Delta });
    for job in 0..20 {
        assert_ne!(node.place_job(job, 0, 0.01), Some(0));
        node.advance(millis(100));
    }
    // A complete list without a worker removes the worker.
    node.deliver_endpoints(&[]);
    assert_eq!(node.place_job(50, 0, 0.01), None);
}

#[test]
fn worker_is_disabled_then_it_gets_no_job_until_it_is_enabled() {
    let workers = endpoints(2);
    let mut node = TestNode::new(settings(), &workers);
    node.set_disabled(0, true);
    node.set_disabled(0, true);
    // The endpoint list does not enable the worker: it is removed, listed again and restarted.
    let mut restarted = workers.clone();
    restarted[0].started_at = node.now;
    for (job, list) in [&workers[1..], &workers[..], &restarted[..]].into_iter().enumerate() {
        node.deliver_endpoints(list);
        assert_eq!(node.run_job(job as u64, 0, 0.1, TimeSpan::ZERO), Some(1));
        node.now += millis(10);
    }
    // The other worker is removed so that the job waits.
    node.deliver_endpoints(&restarted[..1]);
    assert_eq!(node.place_job(9, 0, 0.1), None);
    // One call enables the worker, although it was disabled twice.
    assert_eq!(sent_to(&node.set_disabled(0, false)), Some(0));
}

#[test]
fn worker_is_enabled_after_failures_then_it_gets_a_job_and_warms_up() {
    let mut node = TestNode::with_speeds(&endpoints(2), &[1.0]);
    // The failures would eject worker 0 for seconds, and its estimated run time is longer than that of the
    // other worker.
    for job in 0..8 {
        let worker = node.place_job(job, 2, 0.05);
        node.start_attempt(job, 0);
        node.end_attempt_after(
            millis(50),
            job,
            0,
            if worker == Some(0) { Outcome::Error } else { Outcome::Done },
        );
    }
    node.set_disabled(0, true);
    node.advance(SECOND);
    node.set_disabled(0, false);
    assert_eq!(node.place_job(20, 0, 0.02), Some(0));
    // Worker 0 is warming up. Another job would exceed its budget, so it goes to the warm worker.
    assert_eq!(node.place_job(21, 0, 0.15), Some(1));
}

#[test]
fn most_workers_are_unreachable_then_they_are_ejected() {
    let mut node = TestNode::new(settings(), &endpoints(4));
    let mut attempts = 0;
    let mut actions = Vec::new();
    for job in 0..200 {
        actions.extend(node.submit(job, 0, 0.05));
        while let Some(position) =
            actions.iter().position(|action| matches!(action, Action::SendAttempt { .. }))
        {
            let Action::SendAttempt { job, worker, .. } = actions.remove(position) else { continue };
            let cancelled = actions.iter().filter(|action| matches!(action, Action::CancelAttempt { .. }));
            let first_attempt = cancelled.count() as u32;
            if worker.0 != 0 {
                attempts += 1;
            }
            let outcome = if worker.0 == 0 { Outcome::Done } else { Outcome::Unreachable };
            for attempt in first_attempt..4 {
                actions.extend(node.end_attempt(job.0, attempt, outcome));
            }
        }
        node.advance(millis(20));
    }
    assert!(attempts < 40, "{attempts} attempts at unreachable workers in 4 s");
}

#[test]
fn attempt_is_not_accepted_in_time_then_it_is_cancelled_and_its_worker_gets_no_other_attempt() {
    // Otherwise, an unresponsive worker would use up the whole time of a job, and of each later job.
    let settings = Settings { accept_timeout: millis(500), ..settings() };
    for (class, is_cancelled) in [(0, true), (1, true), (2, false)] {
        let mut node = TestNode::new(settings.clone(), &endpoints(2));
        let unresponsive =
            node.place_job(1, class, 2.0).expect("the job is not sent although both workers are free");
        let actions = node.advance(SECOND);
        let cancel = Action::CancelAttempt { job: JobId(1), attempt: 0 };
        assert_eq!(actions.contains(&cancel), is_cancelled, "class {class}");
        if is_cancelled {
            assert_eq!(sent_to(&node.end_attempt(1, 0, Outcome::Cancelled)), Some(1 - unresponsive));
        }
        assert_ne!(node.place_job(2, 0, 0.1), Some(unresponsive));
        // A worker that has accepted the job may take longer to start it.
        let mut node = TestNode::new(settings.clone(), &endpoints(2));
        node.submit(1, class, 2.0);
        node.accept_attempt(1, 0);
        let actions = node.advance(SECOND);
        assert!(!actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. })));
    }
}

#[test]
fn reused_connection_is_lost_then_its_worker_is_not_ejected() {
    // The connection had closed while it was idle, which does not count against the worker.
    for (is_reused, next_worker) in [(true, Some(0)), (false, None)] {
        let mut node = TestNode::new(settings(), &endpoints(1));
        assert_eq!(node.place_job(1, 0, 0.01), Some(0));
        if is_reused {
            node.lose_reused_connection(1);
        } else {
            node.end_attempt(1, 0, Outcome::Lost);
        }
        assert_eq!(node.place_job(2, 0, 0.01), next_worker, "reused: {is_reused}");
    }
}
