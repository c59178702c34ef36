//! Affinity: jobs of one key go to the same workers, at all nodes and without messages between them.

use std::collections::{BTreeMap, BTreeSet};

use crate::common::*;

#[test]
fn key_was_sent_before_then_its_jobs_go_to_the_same_worker() {
    // Without affinity, each of six equal workers would get jobs of each key.
    let mut node = TestNode::new(settings(), &endpoints(6));
    let mut worker_of_key = BTreeMap::new();
    for job in 0..60 {
        let key = job % 3;
        let worker = node.place_with_key(job, 0, 0.1, key).expect("all are free");
        assert_eq!(*worker_of_key.entry(key).or_insert(worker), worker, "key {key}");
        node.serve(job, millis(100));
    }
}

/// The worker that a node chooses for a key of which it has had no job.
fn worker_of_new_key(nodes: u32, node_index: u32, workers: u64, key: u64) -> Option<u64> {
    let mut node = TestNode::new(node_settings(nodes, node_index), &endpoints(workers));
    // The nodes' earlier jobs differ.
    for job in 100..140 + u64::from(node_index) {
        node.place_with_key(job, 0, 0.1, job);
        node.serve(job, millis(100));
    }
    node.now += seconds(60);
    node.place_with_key(1, 0, 0.1, key)
}

#[test]
fn nodes_do_not_gossip_then_they_send_a_key_to_the_same_worker() {
    for (nodes, workers) in [(3, 6), (100, 60)] {
        let mut chosen = BTreeSet::new();
        for key in 0..20 {
            let [first, second, third] = [0, 1, 2].map(|index| worker_of_new_key(nodes, index, workers, key));
            assert!(first.is_some() && first == second && second == third, "key {key}");
            chosen.insert(first);
        }
        assert!(chosen.len() > 3, "keys are spread: {chosen:?}");
    }
}

const POPULAR_KEY: u64 = 7;

/// How many workers 30 nodes use for a key that one in `interval` jobs has.
fn count_workers_of_popular_key(interval: u64) -> usize {
    let mut chosen = BTreeSet::new();
    for node_index in 0..30 {
        let mut workers = endpoints(20);
        let mut node = TestNode::new(node_settings(30, node_index), &workers);
        for job in 0..40 {
            let key = if job % interval == 0 { POPULAR_KEY } else { 1000 + job };
            let worker = node.place_with_key(job, 0, 0.1, key).expect("all are free");
            // The worker that the node itself has used does not count: it is draining.
            if key == POPULAR_KEY {
                workers[worker as usize].status = WorkerStatus::Draining;
            }
            node.serve(job, millis(100));
        }
        node.list(&workers);
        // The random generators of the nodes are at different positions.
        for job in 100..100 + u64::from(node_index) {
            node.run_job(job, 0, 0.1, millis(100));
        }
        node.now += seconds(60);
        chosen.extend(node.place_with_key(1, 0, 0.1, POPULAR_KEY));
    }
    chosen.len()
}

#[test]
fn key_has_many_jobs_then_it_has_workers_in_proportion() {
    // Every second job has the key: half of the work of 20 workers would overload a single worker.
    let (half, fortieth) = (count_workers_of_popular_key(2), count_workers_of_popular_key(40));
    assert!(half >= 5, "{half} workers of a key that is half of all jobs");
    assert!(fortieth <= 2, "{fortieth} workers of a rare key");
}
