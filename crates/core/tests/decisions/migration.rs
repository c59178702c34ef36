//! Takeover: a successor process restores the state snapshot and adopts the open jobs.

use crate::common::*;

/// Returns a node that has learned that worker 1 is fast. It has spent the budget of worker 2, which has just
/// started.
fn predecessor_with_spent_budget(workers: &mut [Endpoint]) -> TestNode {
    let mut node = TestNode::new(settings(), workers);
    node.observe_speed(workers, 1, 4.0, 100);
    workers[2].started_at = node.now;
    node.deliver_endpoints(workers);
    // Jobs that complete immediately spend the budget.
    node.deliver_endpoints(&workers[2..]);
    let sent = (1..100).take_while(|job| {
        let is_sent = node.place_job(*job, 2, 0.05).is_some();
        node.end_attempt(*job, 0, Outcome::Done);
        is_sent
    });
    assert!((2..99).contains(&sent.count()));
    node.deliver_endpoints(workers);
    node
}

#[test]
fn state_snapshot_is_restored_then_the_successor_has_the_speeds_and_spent_budgets() {
    let mut workers = endpoints(3);
    let mut predecessor = predecessor_with_spent_budget(&mut workers);
    let snapshot = predecessor.dispatcher.snapshot();

    let successor = |snapshot: &StateSnapshot| {
        let mut node = TestNode::new(settings(), &workers);
        node.now = predecessor.now;
        node.dispatcher.restore(node.now, snapshot);
        node
    };
    assert_eq!(successor(&snapshot).place_job(1, 0, 0.1), Some(1), "the job is not sent to the fast worker");
    let mut node = successor(&snapshot);
    node.deliver_endpoints(&workers[2..]);
    assert_eq!(
        node.place_job(1, 2, 0.05),
        None,
        "the job is sent although the predecessor has spent the budget"
    );
    let mut node = successor(&StateSnapshot::default());
    node.deliver_endpoints(&workers[2..]);
    assert_eq!(node.place_job(1, 2, 0.05), Some(2));

    // The predecessor sends nothing to that worker while the successor is active.
    predecessor.handle(Event::SuccessorActive { active: true });
    predecessor.deliver_endpoints(&workers[2..]);
    assert_eq!(sent_to(&predecessor.advance(seconds(2))), None);
    assert_eq!(predecessor.place_job(200, 2, 0.05), None);
    predecessor.handle(Event::SuccessorActive { active: false });
    assert_eq!(sent_to(&predecessor.advance(millis(100))), Some(2));
}

#[test]
fn job_is_migrated_then_it_keeps_its_attempts_and_their_rules() {
    let settings = Settings { may_hedge: false, ..settings() };
    let mut predecessor = TestNode::new(settings.clone(), &endpoints(2));
    // Job 1 runs and is not idempotent, job 2 is in flight, and job 3 is pending because both workers are
    // busy.
    let first = predecessor.place_job(1, 2, 0.1).expect("job 1 is not sent");
    predecessor.start_attempt(1, 0);
    assert_ne!(predecessor.place_job(2, 0, 0.1).expect("job 2 is not sent"), first);
    assert_eq!(predecessor.place_job(3, 0, 0.01), None);
    let mut successor = TestNode::new(settings, &endpoints(2));
    let mut actions = Vec::new();
    for (job, new_id) in [(1, 11), (2, 12), (3, 13)] {
        let migrated = predecessor.dispatcher.release_job(JobId(job)).expect("the job is not open");
        assert!(successor.dispatcher.adopt_job(successor.now, JobId(new_id), &migrated, &mut actions));
    }
    assert_eq!(sent_to(&actions), None, "a job is sent again although its attempt is in flight");
    assert!(predecessor.advance(seconds(6)).is_empty(), "the predecessor acts on jobs that it has released");
    assert_eq!(predecessor.dispatcher.release_job(JobId(1)), None);
    // Job 1 is lost and may have run. The pending job 3 is sent to the worker that becomes free.
    assert!(has_failure(&successor.end_attempt(11, 0, Outcome::Lost)));
    assert_eq!(sent_to(&successor.end_attempt(12, 0, Outcome::Done)), Some(1 - first));
}
