//! Pending queue: jobs wait for capacity, and do not block those behind them.

use crate::common::*;

#[test]
fn all_workers_busy_then_a_job_waits_until_one_is_free() {
    let mut node = TestNode::new(settings(), &endpoints(1));
    assert!(node.place(1, 0, 0.5).is_some());
    node.start(1, 0);
    assert!(node.place(2, 0, 1.0).is_none(), "enqueued while the worker is busy");
    node.now += 500_000;
    assert!(sent_to(&node.end(1, 0, Outcome::Done)).is_some(), "sent as the slot becomes free");
}

#[test]
fn jobs_without_a_fitting_worker_then_those_behind_them_are_sent() {
    let mut settings = settings();
    settings.classes[0].required_kind = Some(KindId(9));
    let last_class = settings.classes.len() - 1;
    let mut node = TestNode::new(settings, &endpoints(32));
    for job in 1..=10 {
        assert_eq!(node.place(job, 0, 0.01), None, "no worker is of that kind");
    }
    assert!(node.place(11, last_class, 0.01).is_some());
}
