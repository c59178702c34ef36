//! Estimates: speeds, slots and waits that a node learns from the attempts that it observes.

use crate::common::*;

#[test]
fn worker_has_no_samples_then_it_has_the_median_speed() {
    let mut node = TestNode::with_speeds(&endpoints(4), &[0.5, 2.0, 1.0]);
    // The fast worker is busy. The worker without samples costs the same as the one of median speed. The slow
    // worker costs more.
    node.submit(1, 0, 1.0);
    let second = node.place_job(2, 0, 1.0);
    assert!(second == Some(2) || second == Some(3), "{second:?}");
}

#[test]
fn worker_has_no_samples_then_it_has_the_speed_of_its_kind() {
    let mut workers = endpoints(4);
    workers[1].kind = KindId(1);
    workers[3].kind = KindId(1);
    let mut node = TestNode::with_speeds(&workers, &[0.5, 2.0]);
    // Of the two workers without samples, the one of the fast kind is the second choice.
    node.submit(1, 0, 1.0);
    assert_eq!(node.place_job(2, 0, 1.0), Some(3));
}

#[test]
fn attempts_fail_early_then_the_speed_estimate_does_not_change() {
    let mut node = TestNode::with_speeds(&endpoints(2), &[1.0, 2.0]);
    for job in 0..5 {
        assert_eq!(node.place_job(job, 2, 0.5), Some(1));
        node.start_attempt(job, 0);
        assert!(has_failure(&node.end_attempt_after(millis(10), job, 0, Outcome::Error)));
        node.advance(seconds(10));
        // The worker has to serve an idempotent job before it gets others.
        node.run_job(50 + job, 0, 0.5, millis(250));
        node.advance(seconds(10));
    }
    assert_eq!(node.place_job(90, 0, 1.0), Some(1));
}

#[test]
fn start_is_reported_before_the_previous_end_then_no_extra_slot_is_learned() {
    // The worker has one slot. The start of the next job is reported just before the end that freed the slot.
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.start_job(0, 0, 0.05);
    for job in 1..20 {
        node.submit(job, 0, 0.05);
        node.advance(millis(50));
        node.start_attempt(job, 0);
        node.now += millis(2);
        node.handle(Event::TimerExpired);
        node.end_attempt(job - 1, 0, Outcome::Done);
    }
    node.end_attempt(19, 0, Outcome::Done);
    node.advance(SECOND);
    // The slot runs one job, and the next job is enqueued: two slots would run both.
    assert!(node.place_job(50, 0, 0.2).is_some());
    node.start_attempt(50, 0);
    assert!(node.place_job(51, 0, 0.4).is_none());
}

#[test]
fn fleet_slows_down_then_its_estimate_adapts_before_those_of_its_workers() {
    let mut settings = settings();
    settings.classes.push(JobClass { latency_objective_work_factor: 0.0, ..class(Idempotency::Idempotent) });
    let mut node = TestNode::new(settings, &endpoints(20));
    let mut run_round = |first: u64, work: f64, speed: f64, completes: bool| {
        (first..first + 20).for_each(|job| _ = node.submit(job, 0, work));
        (first..first + 20).for_each(|job| _ = node.start_attempt(job, 0));
        node.now += TimeSpan::from_secs_f64(work / speed);
        (first..first + 20).filter(|_| completes).for_each(|job| _ = node.end_attempt(job, 0, Outcome::Done));
        node.advance(SECOND);
    };
    (0..8).for_each(|round| run_round(100 + 20 * round, 0.1, 1.0, true));
    // Two jobs at each worker run four times longer. They are few of the ten samples of a worker, but all of
    // the latest 40 samples of the fleet.
    (0..2).for_each(|round| run_round(300 + 20 * round, 0.1, 0.25, true));
    run_round(400, 8.0, 1e9, false);
    // All workers are busy. At the speeds in the samples of each, a job of 0.5 s could wait for 0.07 s.
    node.submit(1, 3, 0.5);
    let actions = node.advance(millis(40));
    assert!(has_rejection(&actions), "{actions:?}");
}

#[test]
fn long_wait_is_observed_then_the_worker_is_avoided_until_its_backlog_may_have_run() {
    let mut node = TestNode::new(node_settings(2, 0), &endpoints(2));
    let first = node.place_job(1, 0, 0.05);
    node.now += millis(4_400);
    node.run_first_attempt(1, millis(50));
    // Half of that wait counts as a backlog, which is 2.2 s. Otherwise, the other worker has the same cost.
    node.now += millis(2_000);
    for job in 2..12 {
        assert_ne!(node.run_job(job, 0, 0.001, millis(1)), first, "job {job}");
    }
}

/// Returns the workers of two concurrent jobs of one key at one of several nodes. Before them, the node has
/// run 20 jobs of the key, one after another.
fn workers_of_two_concurrent_jobs(nodes: u32) -> (Option<u64>, Option<u64>) {
    let mut node = TestNode::new(node_settings(nodes, 0), &endpoints(10));
    for job in 0..20 {
        node.place_job_with_key(job, 0, 1.0, 1);
        node.start_attempt(job, 0);
        node.advance(SECOND);
        node.end_attempt(job, 0, Outcome::Done);
    }
    let first = node.place_job_with_key(50, 0, 1.0, 1);
    node.start_attempt(50, 0);
    (first, node.place_job_with_key(51, 0, 1.0, 1))
}

#[test]
fn one_of_many_nodes_has_few_jobs_then_slots_are_estimated_from_the_jobs_of_all_nodes() {
    // There are 30 nodes and 10 workers, and this node always runs one job. If the other nodes do the same,
    // three jobs run at each worker concurrently.
    let (first, second) = workers_of_two_concurrent_jobs(30);
    assert!(
        first.is_some() && second == first,
        "the jobs are not sent to the same worker: {first:?}, {second:?}"
    );
    let (first, second) = workers_of_two_concurrent_jobs(1);
    assert!(
        second != first,
        "the jobs are sent to the same worker although the node has observed only one slot: {first:?}, {second:?}"
    );
}
