//! Pre-send checks: what happens to an attempt between the decision to send it and its first byte. No worker
//! is chosen here, and an attempt of which a byte may have left is not taken back.

use super::retries::DEDUPLICATION_MARGIN;
use crate::state::{Dispatcher, Job};
use crate::{Action, Idempotency, JobId, Micros};

impl Dispatcher {
    /// Queues a job again whose revoked attempt was never sent, if no other attempt may have run: that was no
    /// failure and costs no retry. Returns whether it was queued.
    pub(crate) fn requeue_unsent_job(&mut self, now: Micros, id: JobId, actions: &mut Vec<Action>) -> bool {
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

    /// Latest time at which the next attempt of a job may leave: while this node may rely on its endpoint
    /// list and, if the job may have run, while workers still discard repeats.
    pub(super) fn latest_send(&self, job: &Job) -> Option<Micros> {
        let deduplicated_until = match self.settings.classes[job.class].idempotency {
            Idempotency::WithKey { window, .. } => {
                job.first_possible_run().map(|first| first.deduplicated_until(window))
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        };
        let last_repeat = deduplicated_until.map(|until| until.saturating_sub(DEDUPLICATION_MARGIN));
        last_repeat.into_iter().chain(self.poll_schedule.send_by()).min()
    }
}
