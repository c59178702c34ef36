//! Placement: a job goes to the worker with the lowest cost, given by speed, backlog, slots and zone.

use crate::common::*;

#[test]
fn two_workers_are_idle_then_the_faster_is_chosen() {
    let mut node = TestNode::with_speeds(&endpoints(2), &[1.0, 2.0]);
    assert_eq!(node.place_job(1, 0, 1.0), Some(1));
}

#[test]
fn faster_worker_has_a_backlog_then_the_cost_formula_decides() {
    // The cost is x + w / (1 - r). Speed 1.25 and 0.02 s of work ahead: x = 0.016, w = 0.016 and r near 0.
    // Speed 1 and idle: x = 0.02.
    let mut node = TestNode::with_speeds(&endpoints(2), &[1.0, 1.25]);
    assert_eq!(node.place_job(1, 0, 0.02), Some(1));
    assert_eq!(node.place_job(2, 0, 0.02), Some(0));
    // A job of 1 s: x = 0.8 and w = 0.016 at the faster worker, x = 1 and w = 0.02 at the other.
    assert_eq!(node.place_job(3, 0, 1.0), Some(1));
}

#[test]
fn costs_are_equal_then_the_choice_is_random() {
    let mut node = TestNode::new(settings(), &endpoints(4));
    let mut chosen = [false; 4];
    for job in 0..40 {
        let worker = node.run_job(job, 0, 0.01, millis(10)).expect("the job is not sent");
        chosen[worker as usize] = true;
        node.advance(seconds(20));
    }
    assert_eq!(chosen, [true; 4]);
}

#[test]
fn size_is_listed_then_it_counts_as_slots() {
    let workers = [Endpoint { size: 2.0, ..endpoint(0) }];
    let mut node = TestNode::new(Settings { sizes_listed: true, ..settings() }, &workers);
    for job in 1..3 {
        assert!(node.place_job(job, 0, 0.5).is_some());
        node.start_attempt(job, 0);
    }
    assert!(node.place_job(3, 0, 1.0).is_none());
}

#[test]
fn wait_in_the_same_zone_is_short_then_no_job_crosses_zones() {
    let workers = [endpoint(0), Endpoint { zone: ZoneId(1), ..endpoint(1) }];
    let mut node = TestNode::new(Settings { cross_zone_price: 0.06, ..settings() }, &workers);
    assert_eq!(node.place_job(1, 0, 0.08), Some(0));
    assert_eq!(
        node.place_job(2, 0, 0.08),
        Some(0),
        "the job crosses zones, which costs 0.12 s, although a wait of 0.08 s costs less"
    );
    assert_eq!(node.place_job(3, 0, 0.08), Some(1));
}

#[test]
fn job_is_in_flight_at_the_only_worker_then_another_job_is_not_sent_there() {
    // Jobs of other nodes, which this node does not observe, may queue there too. An expected wait of 30 ms
    // is already too long.
    let mut node = TestNode::new(settings(), &endpoints(1));
    assert!(node.place_job(1, 0, 0.03).is_some());
    assert!(node.place_job(2, 0, 0.03).is_none());
    node.start_attempt(1, 0);
    assert!(sent_to(&node.end_attempt(1, 0, Outcome::Done)).is_some());
}
