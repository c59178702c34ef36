//! Attempts that were decided on and of which no byte was sent. An attempt of which a byte may have left is not taken
//! back.

use crate::state::{Dispatcher, Job};
use crate::{Action, JobId, Timestamp};

impl Dispatcher {
    /// Queues a job again whose revoked attempt was never sent, if no other attempt may have run: that was no
    /// failure and costs no retry. Returns whether it was queued.
    pub(crate) fn requeue_unsent_job(
        &mut self,
        now: Timestamp,
        id: JobId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_as_submitted = |job: &Job| {
            !job.is_answered
                && job.is_idle()
                && job.first_possible_run().is_none()
                && job.attempts.len() < self.max_attempts()
        };
        if !self.jobs.get(&id).is_some_and(is_as_submitted) {
            return false;
        }
        if let Some(job) = self.jobs.remove(&id) {
            self.enqueue_job(job);
            self.dispatch_pending(now, actions);
        }
        true
    }
}
