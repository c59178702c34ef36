//! Hard rules: every send and every final answer is checked here, whatever the other modules decided.

use crate::state::{Dispatcher, Job, Worker};
use crate::{Action, DeduplicationScope, Idempotency, Micros};

/// Delay that a rejection advises to the client.
const REJECT_RETRY_AFTER: Micros = 500_000;

impl Dispatcher {
    /// Whether a job may be sent to a worker now, by the four rules and the settings' limits.
    pub(super) fn may_send(&self, now: Micros, worker: &Worker, job: &Job) -> bool {
        // Rule 1: nothing after the final answer or the deadline.
        let is_open = job.is_open() && now < job.deadline;
        // Rule 3: nothing new to a worker that drains or is gone, or that operators have disabled.
        let required_kind = self.settings.classes[job.class].required_kind;
        let is_suitable =
            self.fleet.takes_work(worker) && required_kind.is_none_or(|kind| kind == worker.kind);
        let may_attempt = job.attempts.len() < self.max_attempts()
            && (self.settings.may_hedge || job.is_idle())
            && !job.may_receive_stale_callback(worker.id);
        is_open
            && is_suitable
            && may_attempt
            && self.may_repeat(now, worker, job)
            // Rule 4: nothing beyond what a worker that is warming up can take.
            && job.load() <= self.warm_up_budget(now, worker)
    }

    /// Rule 2: a job is rejected only if a retry by its client does no harm.
    fn may_reject(&self, job: &Job) -> bool {
        let is_harmless = match self.settings.classes[job.class].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NonIdempotent => false,
        };
        job.is_open() && (is_harmless || job.first_possible_run().is_none())
    }

    /// Answers a job that will not be served.
    pub(super) fn reject_or_fail(&mut self, job: &mut Job, actions: &mut Vec<Action>) {
        actions.push(if self.may_reject(job) {
            let retry_after = REJECT_RETRY_AFTER.min(self.settings.max_retry_after);
            Action::Reject { job: job.id, retry_after }
        } else {
            Action::Fail { job: job.id }
        });
        self.close_job(job, actions);
    }

    /// Marks a job as answered and cancels what is still in flight for it.
    pub(crate) fn close_job(&self, job: &mut Job, actions: &mut Vec<Action>) {
        job.is_answered = true;
        self.cancel_in_flight(job, None, actions);
    }
}
