//! Migration of jobs to or from the peer, the other process of this node.

use super::Dispatcher;
use crate::{Action, JobId, MigratedJob, Timestamp};

impl Dispatcher {
    /// Removes a job that has no response yet, so that the peer can adopt it. Its attempts in flight are not
    /// cancelled. Returns `None` if there is no such job, or if its response has begun.
    pub fn release_job(&mut self, job: JobId) -> Option<MigratedJob> {
        if !self.jobs.get(job)?.is_open() {
            return None;
        }
        let job = self.jobs.take(job)?;
        self.jobs.dequeue_job(job.id);
        let remove_in_flight = |worker, id| {
            let index = self.fleet.find(worker)?;
            self.fleet.worker_mut(index).remove_attempt(id)
        };
        Some(MigratedJob::capture(&job, remove_in_flight))
    }

    /// Returns whether a job can be adopted here: its class exists, and its values are in range.
    pub fn accepts_migrated_job(&self, migrated: &MigratedJob) -> bool {
        migrated.is_valid(&self.settings)
    }

    /// Adopts a job that the peer released, under a new number of this process. Returns false and changes
    /// nothing if the job cannot be adopted or the number is in use.
    pub fn adopt_job(
        &mut self,
        now: Timestamp,
        id: JobId,
        migrated: &MigratedJob,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.accepts_migrated_job(migrated) || self.jobs.contains(id) {
            return false;
        }
        let job = migrated.restore(id);
        for (worker, attempt) in migrated.restore_in_flight(now, id) {
            if let Some(index) = self.fleet.find(worker) {
                self.fleet.worker_mut(index).adopt_attempt(attempt, job.key);
            }
        }
        if job.is_idle() {
            self.enqueue_job(job);
            self.dispatch_pending(now);
        } else {
            self.jobs.store(job);
        }
        self.set_timer(now);
        actions.append(&mut self.outbox);
        true
    }
}
