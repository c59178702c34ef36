//! Admission and the pending queue: jobs that wait for capacity, and their order by quota and weight.

use crate::common::*;

fn settings_with_quotas(tenant_quotas: Vec<f64>) -> Settings {
    Settings { tenant_quotas, ..settings() }
}

fn assert_first_sent(actions: &[Action], expected: u64) {
    assert!(matches!(actions[0], Action::SendAttempt { job, .. } if job.0 == expected), "{actions:?}");
}

#[test]
fn tenant_exceeds_its_quota_then_its_jobs_are_sent_last() {
    // Tenant 0 has a quota of two jobs. The second arrives a few milliseconds after its submission, as jobs
    // do, and still uses up the quota. The third job is the most urgent but is sent after the job of the
    // other tenant.
    let mut node = TestNode::new(settings_with_quotas(vec![1.4, 50.0]), &endpoints(1));
    node.start_job(9, 0, 0.5);
    let mut delayed = submission(1, 0, 3.0, node.now);
    delayed.deadline = delayed.deadline - millis(3);
    node.submit_job(delayed);
    node.submit(3, 0, 0.5);
    node.place_job_for_tenant(2, 0, 2.0, 1);
    assert_first_sent(&node.end_attempt_after(millis(500), 9, 0, Outcome::Done), 2);
}

#[test]
fn quota_share_of_a_node_is_small_then_a_random_burst_is_within_it() {
    // The quota is a tenth of a job per second at this node. Two concurrent jobs may be a random burst, so
    // the second is sent before the job of the other tenant, which is less urgent.
    let settings = Settings { nodes: 10, ..settings_with_quotas(vec![1.0, 50.0]) };
    let mut node = TestNode::new(settings, &endpoints(1));
    node.now += seconds(60);
    node.start_job(9, 0, 0.5);
    node.place_job_for_tenant(2, 0, 2.0, 1);
    node.submit(3, 0, 1.6);
    assert_first_sent(&node.end_attempt_after(millis(500), 9, 0, Outcome::Done), 3);
}

/// Returns a node that has rejected many jobs of tenant 1, which were within its quota. Of the two workers
/// with one slot each, one has just become free. Tenant 0 has no quota, and class 1 has a tenth of the
/// priority weight of the others.
fn node_after_load_shedding() -> TestNode {
    let mut settings = settings_with_quotas(vec![0.0, 1000.0]);
    settings.classes[1].priority_weight = 0.1;
    let mut node = TestNode::new(settings, &endpoints(2));
    for job in 0..22 {
        node.place_job_for_tenant(job, 0, if job < 2 { 4.0 } else { 0.4 }, 1);
    }
    (0..2).for_each(|job| _ = node.start_attempt(job, 0));
    let rejections =
        node.advance(millis(500)).into_iter().filter(|action| matches!(action, Action::Reject { .. }));
    assert!(rejections.count() > 10);
    node.end_attempt(0, 0, Outcome::Done);
    node
}

#[test]
fn load_is_shed_then_jobs_beyond_quotas_leave_capacity_free() {
    let mut idle_node = TestNode::new(settings_with_quotas(vec![0.0, 1000.0]), &endpoints(2));
    assert!(
        idle_node.place_job(50, 0, 0.1).is_some(),
        "the job is not sent although no load is shed and there is free capacity"
    );
    let mut node = node_after_load_shedding();
    assert!(node.place_job(50, 0, 0.1).is_none());
    assert!(node.place_job_for_tenant(51, 0, 0.1, 1).is_some());
}

#[test]
fn load_is_shed_then_jobs_of_low_priority_weight_leave_capacity_free() {
    let mut node = node_after_load_shedding();
    assert!(node.place_job_for_tenant(50, 1, 0.1, 1).is_none(), "the job of low weight is sent");
    assert!(node.place_job_for_tenant(51, 0, 0.1, 1).is_some(), "the job of high weight is not sent");
}

#[test]
fn all_workers_are_busy_then_a_job_waits_until_one_is_free() {
    let mut node = TestNode::new(settings(), &endpoints(1));
    assert!(node.place_job(1, 0, 0.5).is_some());
    node.start_attempt(1, 0);
    assert!(node.place_job(2, 0, 1.0).is_none(), "the job is sent while the worker is busy");
    node.now += millis(500);
    assert!(
        sent_to(&node.end_attempt(1, 0, Outcome::Done)).is_some(),
        "the job is not sent when the slot becomes free"
    );
}

#[test]
fn jobs_have_no_suitable_worker_then_later_jobs_are_sent() {
    let mut settings = settings();
    settings.classes[0].required_kind = Some(KindId(9));
    let last_class = settings.classes.len() - 1;
    let mut node = TestNode::new(settings, &endpoints(32));
    for job in 1..=10 {
        assert_eq!(node.place_job(job, 0, 0.01), None, "the job is sent although no worker is of its kind");
    }
    assert!(node.place_job(11, last_class, 0.01).is_some());
}
