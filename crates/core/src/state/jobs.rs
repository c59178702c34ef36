//! Jobs of this node, which are open or still have an attempt in flight, and the queue of the jobs that wait
//! to be sent.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::job::{Attempt, AttemptId, Job, QueueKey};
use crate::{JobId, Outcome};

/// All jobs of this node, and the queue.
#[derive(Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    /// Jobs without an attempt in flight, in the order in which they are sent. The entry of a job that was
    /// closed in the queue is removed when dispatch reaches it.
    queue: BTreeSet<QueueKey>,
}

impl JobTable {
    /// Returns whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns whether the table contains a job.
    pub fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Returns a job.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns a job for an update of its record.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Returns the record that a job has of an attempt, in flight or ended.
    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.get(id.job)?.attempts.get(id.number as usize)
    }

    /// Removes a job from the table while decisions on it are made. [`JobTable::store`] or
    /// [`JobTable::enqueue`] returns it to the table.
    pub fn take(&mut self, id: JobId) -> Option<Job> {
        self.jobs.remove(&id)
    }

    /// Stores a job if an event of it may still arrive, and drops it otherwise.
    pub fn store(&mut self, job: Job) {
        if !job.is_answered || !job.is_idle() {
            self.jobs.insert(job.id, job);
        }
    }

    /// Stores a job that has no attempt in flight, and adds it to the queue.
    pub fn enqueue(&mut self, key: QueueKey, job: Job) {
        self.queue.insert(key);
        self.jobs.insert(job.id, job);
    }

    /// Removes a job from the queue. Returns whether the queue contained it.
    pub fn dequeue(&mut self, key: &QueueKey) -> bool {
        self.queue.remove(key)
    }

    /// Removes a job from the queue by its id.
    pub fn dequeue_job(&mut self, id: JobId) {
        self.queue.retain(|key| key.job != id);
    }

    /// Returns the number of queued jobs.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the first queued job, or the next one after a given sort key.
    pub fn next_queued(&self, after: Option<QueueKey>) -> Option<QueueKey> {
        let after = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.queue.range((after, Bound::Unbounded)).next().copied()
    }

    /// Returns the open jobs (see [`Job::is_open`]) in the order of their ids.
    pub fn open_jobs(&self) -> Vec<JobId> {
        self.jobs.values().filter(|job| job.is_open()).map(|job| job.id).collect()
    }

    /// Records the outcome of an attempt. Returns false if the attempt has ended before or was never sent: a
    /// duplicate report must not queue the job twice.
    pub fn record_outcome(&mut self, id: AttemptId, outcome: Outcome) -> bool {
        let attempt = self.jobs.get_mut(&id.job).and_then(|job| job.attempts.get_mut(id.number as usize));
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else { return false };
        attempt.outcome = Some(outcome);
        true
    }
}
