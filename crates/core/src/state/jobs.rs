//! The jobs of this node: those that are open, and those that still have an attempt in flight; and the queue of those
//! that wait to be sent.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::job::{Attempt, AttemptId, Job, QueueKey};
use crate::{JobId, Outcome};

/// All jobs of this node.
#[derive(Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    /// Jobs without an attempt in flight, in the order in which they are sent.
    queue: BTreeSet<QueueKey>,
}

impl JobTable {
    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether a job is known.
    pub fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// A job.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// A job, to be changed in place.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// The job's own record of an attempt, in flight or ended.
    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.get(id.job)?.attempts.get(id.number as usize)
    }

    /// Takes a job out while something is decided on it; [`JobTable::store`] or [`JobTable::enqueue`] puts it back.
    pub fn take(&mut self, id: JobId) -> Option<Job> {
        self.jobs.remove(&id)
    }

    /// Keeps a job for as long as an event of it may still arrive.
    pub fn store(&mut self, job: Job) {
        if !job.is_answered || !job.is_idle() {
            self.jobs.insert(job.id, job);
        }
    }

    /// Puts a job that has no attempt in flight into the queue.
    pub fn enqueue(&mut self, key: QueueKey, job: Job) {
        self.queue.insert(key);
        self.jobs.insert(job.id, job);
    }

    /// Takes a job out of the queue. Returns whether it was in it.
    pub fn dequeue(&mut self, key: &QueueKey) -> bool {
        self.queue.remove(key)
    }

    /// Takes a job out of the queue, wherever it stands.
    pub fn dequeue_job(&mut self, id: JobId) {
        self.queue.retain(|key| key.job != id);
    }

    /// Number of queued jobs.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// The first queued job, or the one after another one.
    pub fn next_queued(&self, after: Option<QueueKey>) -> Option<QueueKey> {
        let after = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.queue.range((after, Bound::Unbounded)).next().copied()
    }

    /// The jobs whose answer has not begun, in the order of their numbers.
    pub fn open_jobs(&self) -> Vec<JobId> {
        self.jobs.values().filter(|job| job.is_open()).map(|job| job.id).collect()
    }

    /// Records how an attempt ended. Returns false if its end was known or it was never sent: a repeated
    /// report must not queue the job twice.
    pub fn record_outcome(&mut self, id: AttemptId, outcome: Outcome) -> bool {
        let known = self.jobs.get_mut(&id.job).and_then(|job| job.attempts.get_mut(id.number as usize));
        let Some(attempt) = known.filter(|attempt| attempt.outcome.is_none()) else { return false };
        attempt.outcome = Some(outcome);
        true
    }
}
