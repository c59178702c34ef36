//! Takeover: a successor process restores the state snapshot and adopts the open jobs.

use crate::common::*;

/// A node that knows worker 1 to be fast, and has spent the budget of worker 2, which has just started.
fn predecessor(workers: &mut [Endpoint]) -> TestNode {
    let mut node = TestNode::new(settings(), workers);
    node.observe_speed(workers, 1, 4.0, 100);
    workers[2].started_at = node.now;
    node.list(workers);
    // Jobs that end immediately spend the budget.
    node.list(&workers[2..]);
    let sent = (1..100).take_while(|job| {
        let is_sent = node.place(*job, 2, 0.05).is_some();
        node.end(*job, 0, Outcome::Done);
        is_sent
    });
    assert!((2..99).contains(&sent.count()));
    node.list(workers);
    node
}

#[test]
fn state_snapshot_is_restored_then_the_successor_knows_speeds_and_spent_budgets() {
    let mut workers = endpoints(3);
    let mut older = predecessor(&mut workers);
    let snapshot = older.dispatcher.snapshot();

    let successor = |snapshot: &StateSnapshot| {
        let mut node = TestNode::new(settings(), &workers);
        node.now = older.now;
        node.dispatcher.restore(node.now, snapshot);
        node
    };
    assert_eq!(successor(&snapshot).place(1, 0, 0.1), Some(1), "the fast worker");
    let mut node = successor(&snapshot);
    node.list(&workers[2..]);
    assert_eq!(node.place(1, 2, 0.05), None, "the predecessor has spent its budget");
    let mut node = successor(&StateSnapshot::default());
    node.list(&workers[2..]);
    assert_eq!(node.place(1, 2, 0.05), Some(2));

    // The predecessor sends nothing to that worker while the successor is active.
    older.handle(Event::SuccessorActive { active: true });
    older.list(&workers[2..]);
    assert_eq!(sent_to(&older.advance(seconds(2))), None);
    assert_eq!(older.place(200, 2, 0.05), None);
    older.handle(Event::SuccessorActive { active: false });
    assert_eq!(sent_to(&older.advance(millis(100))), Some(2));
}

#[test]
fn job_is_migrated_then_it_keeps_its_attempts_and_their_rules() {
    let settings = Settings { may_hedge: false, ..settings() };
    let mut older = TestNode::new(settings.clone(), &endpoints(2));
    // Job 1 runs and is not idempotent, job 2 is in flight, and job 3 is pending because both workers are busy.
    let first = older.place(1, 2, 0.1).expect("a worker");
    older.start(1, 0);
    assert_ne!(older.place(2, 0, 0.1).expect("the other"), first);
    assert_eq!(older.place(3, 0, 0.01), None);
    let mut newer = TestNode::new(settings, &endpoints(2));
    let mut actions = Vec::new();
    for (job, new_id) in [(1, 11), (2, 12), (3, 13)] {
        let migrated = older.dispatcher.release_job(JobId(job)).expect("an open job");
        assert!(newer.dispatcher.adopt_job(newer.now, JobId(new_id), &migrated, &mut actions));
    }
    assert_eq!(sent_to(&actions), None, "the attempts in flight are known");
    assert!(older.advance(seconds(6)).is_empty(), "the predecessor has released all jobs");
    assert_eq!(older.dispatcher.release_job(JobId(1)), None);
    // Job 1 is lost after it may have run. The pending job 3 is sent to the worker that becomes free.
    assert!(has_failure(&newer.end(11, 0, Outcome::Lost)));
    assert_eq!(sent_to(&newer.end(12, 0, Outcome::Done)), Some(1 - first));
}
