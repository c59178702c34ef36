//! Ejection and maintenance: no attempt goes to a worker that drains, is disabled, silent or unreachable.

use crate::common::*;

#[test]
fn worker_drains_then_it_gets_no_job() {
    let mut workers = endpoints(2);
    let mut node = TestNode::new(settings(), &workers);
    workers[0].status = WorkerStatus::Draining;
    node.handle(Event::EndpointsChanged { endpoints: &workers[..1], snapshot: false });
    for job in 0..20 {
        assert_ne!(node.place(job, 0, 0.01), Some(0));
        node.advance(millis(100));
    }
    // A whole list that no longer names a worker removes it.
    node.list(&[]);
    assert_eq!(node.place(50, 0, 0.01), None);
}

#[test]
fn worker_disabled_then_it_gets_no_job_until_it_is_enabled() {
    let workers = endpoints(2);
    let mut node = TestNode::new(settings(), &workers);
    node.set_disabled(0, true);
    node.set_disabled(0, true);
    // Whatever the list says meanwhile: gone, there again, restarted.
    let mut restarted = workers.clone();
    restarted[0].started_at = node.now;
    for (job, list) in [&workers[1..], &workers[..], &restarted[..]].into_iter().enumerate() {
        node.list(list);
        assert_eq!(node.run_job(job as u64, 0, 0.1, TimeSpan::ZERO), Some(1));
        node.now += millis(10);
    }
    // Its only other worker being gone, a job waits.
    node.list(&restarted[..1]);
    assert_eq!(node.place(9, 0, 0.1), None);
    // It is enabled by one call, however often it was disabled.
    assert_eq!(sent_to(&node.set_disabled(0, false)), Some(0));
}

#[test]
fn worker_enabled_after_failures_then_it_is_tried_and_warms_up() {
    let mut node = TestNode::with_speeds(&endpoints(2), &[1.0]);
    // Its failures would eject it for seconds, and its long run costs more than the other's.
    for job in 0..8 {
        let worker = node.place(job, 2, 0.05);
        node.start(job, 0);
        node.end_after(millis(50), job, 0, if worker == Some(0) { Outcome::Error } else { Outcome::Done });
    }
    node.set_disabled(0, true);
    node.advance(SECOND);
    node.set_disabled(0, false);
    assert_eq!(node.place(20, 0, 0.02), Some(0));
    // It is warming up: another job would fill its budget, and goes to the warm one.
    assert_eq!(node.place(21, 0, 0.15), Some(1));
}

#[test]
fn most_workers_unreachable_then_they_are_ejected_all_the_same() {
    let mut node = TestNode::new(settings(), &endpoints(4));
    let mut attempts = 0;
    let mut actions = Vec::new();
    for job in 0..200 {
        actions.extend(node.submit(job, 0, 0.05));
        while let Some(at) = actions.iter().position(|action| matches!(action, Action::SendAttempt { .. })) {
            let Action::SendAttempt { job, worker, .. } = actions.remove(at) else { continue };
            let cancelled = actions.iter().filter(|action| matches!(action, Action::CancelAttempt { .. }));
            let first_attempt = cancelled.count() as u32;
            if worker.0 != 0 {
                attempts += 1;
            }
            let outcome = if worker.0 == 0 { Outcome::Done } else { Outcome::Unreachable };
            for attempt in first_attempt..4 {
                actions.extend(node.end(job.0, attempt, outcome));
            }
        }
        node.advance(millis(20));
    }
    assert!(attempts < 40, "{attempts} attempts at unreachable workers in 4 s");
}

#[test]
fn attempt_not_accepted_in_time_then_its_worker_loses_it_and_gets_no_other() {
    // A silent worker would cost a job its whole deadline, and the next ones would follow it.
    let settings = Settings { accept_timeout: millis(500), ..settings() };
    for (class, is_cancelled) in [(0, true), (1, true), (2, false)] {
        let mut node = TestNode::new(settings.clone(), &endpoints(2));
        let silent = node.place(1, class, 2.0).expect("both are free");
        let actions = node.advance(SECOND);
        let cancel = Action::CancelAttempt { job: JobId(1), attempt: 0 };
        assert_eq!(actions.contains(&cancel), is_cancelled, "class {class}");
        if is_cancelled {
            assert_eq!(sent_to(&node.end(1, 0, Outcome::Cancelled)), Some(1 - silent));
        }
        assert_ne!(node.place(2, 0, 0.1), Some(silent));
        // One that has accepted the job may take its time.
        let mut node = TestNode::new(settings.clone(), &endpoints(2));
        node.submit(1, class, 2.0);
        node.accept(1, 0);
        let actions = node.advance(SECOND);
        assert!(!actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. })));
    }
}
