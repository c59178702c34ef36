//! Affinity: jobs with the same key go to the same workers, on all nodes and without messages between the
//! nodes.

use std::collections::{BTreeMap, BTreeSet};

use crate::common::*;

#[test]
fn jobs_have_the_same_key_then_they_go_to_the_same_worker() {
    // Without affinity, each of six equal workers would get jobs of each key.
    let mut node = TestNode::new(settings(), &endpoints(6));
    let mut worker_of_key = BTreeMap::new();
    for job in 0..60 {
        let key = job % 3;
        let worker = node
            .place_job_with_key(job, 0, 0.1, key)
            .expect("the job is not sent although all workers are free");
        assert_eq!(*worker_of_key.entry(key).or_insert(worker), worker, "key {key}");
        node.run_first_attempt(job, millis(100));
    }
}

/// Returns the worker that a node chooses for a key of which it has had no job.
fn worker_of_new_key(nodes: u32, node_index: u32, workers: u64, key: u64) -> Option<u64> {
    let mut node = TestNode::new(node_settings(nodes, node_index), &endpoints(workers));
    // Each node has had a different number of jobs.
    for job in 100..140 + u64::from(node_index) {
        node.place_job_with_key(job, 0, 0.1, job);
        node.run_first_attempt(job, millis(100));
    }
    node.now += seconds(60);
    node.place_job_with_key(1, 0, 0.1, key)
}

#[test]
fn nodes_do_not_gossip_then_they_send_jobs_of_a_key_to_the_same_worker() {
    for (nodes, workers) in [(3, 6), (100, 60)] {
        let mut chosen = BTreeSet::new();
        for key in 0..20 {
            let [first, second, third] = [0, 1, 2].map(|index| worker_of_new_key(nodes, index, workers, key));
            assert!(first.is_some() && first == second && second == third, "key {key}");
            chosen.insert(first);
        }
        assert!(chosen.len() > 3, "the keys are not spread over the workers: {chosen:?}");
    }
}

/// Affinity key that several jobs of a node have. Each other job of the node has a key of its own.
const SHARED_KEY: u64 = 7;

/// Returns the number of workers that 30 nodes use for a key that one in `jobs_per_use` jobs has.
fn count_workers_of_shared_key(jobs_per_use: u64) -> usize {
    let mut chosen = BTreeSet::new();
    for node_index in 0..30 {
        let mut workers = endpoints(20);
        let mut node = TestNode::new(node_settings(30, node_index), &workers);
        for job in 0..40 {
            let key = if job % jobs_per_use == 0 { SHARED_KEY } else { 1000 + job };
            let worker = node
                .place_job_with_key(job, 0, 0.1, key)
                .expect("the job is not sent although all workers are free");
            // Workers that the node itself has used for the key are not counted: they drain.
            if key == SHARED_KEY {
                workers[worker as usize].status = WorkerStatus::Draining;
            }
            node.run_first_attempt(job, millis(100));
        }
        node.deliver_endpoints(&workers);
        // Different numbers of jobs bring the random generators of the nodes into different states.
        for job in 100..100 + u64::from(node_index) {
            node.run_job(job, 0, 0.1, millis(100));
        }
        node.now += seconds(60);
        chosen.extend(node.place_job_with_key(1, 0, 0.1, SHARED_KEY));
    }
    chosen.len()
}

#[test]
fn key_has_a_large_share_of_jobs_then_it_gets_more_workers() {
    // Every second job has the key. Half of the work of 20 workers would overload a single worker.
    let (half, fortieth) = (count_workers_of_shared_key(2), count_workers_of_shared_key(40));
    assert!(half >= 5, "only {half} workers for a key that half of all jobs have");
    assert!(fortieth <= 2, "{fortieth} workers for a key that one in 40 jobs has");
}
