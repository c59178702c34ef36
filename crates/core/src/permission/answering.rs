//! Permission to answer a job that was not served, and so to end it.

use crate::state::{Dispatcher, Job};
use crate::{Action, DeduplicationScope, Idempotency, TimeSpan};

use super::Denial;

/// Delay that a rejection advises to the client.
const REJECT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

impl Dispatcher {
    /// Rule 2: a job is rejected only if a retry by its client does no harm.
    fn may_reject(&self, job: &Job) -> Result<(), Denial> {
        let is_harmless = match self.settings.classes[job.class].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NonIdempotent => false,
        };
        if !job.is_open() {
            return Err(Denial::JobAnswered);
        }
        if !is_harmless && job.first_possible_run().is_some() {
            return Err(Denial::MayHaveRun);
        }
        Ok(())
    }

    /// Answers a job that will not be served.
    pub(crate) fn reject_or_fail(&mut self, job: &mut Job, actions: &mut Vec<Action>) {
        actions.push(if self.may_reject(job).is_ok() {
            let retry_after = REJECT_RETRY_AFTER.min(self.settings.max_retry_after);
            Action::Reject { job: job.id, retry_after }
        } else {
            Action::Fail { job: job.id }
        });
        self.close_job(job, actions);
    }

    /// Rejects a job that no worker has seen, for its client to try another node at once.
    pub(crate) fn redirect(&mut self, job: &mut Job, actions: &mut Vec<Action>) {
        match self.may_reject(job) {
            Ok(()) => actions.push(Action::Reject { job: job.id, retry_after: TimeSpan::ZERO }),
            Err(_) => actions.push(Action::Fail { job: job.id }),
        }
        self.close_job(job, actions);
    }

    /// Marks a job as answered and cancels what is still in flight for it.
    pub(crate) fn close_job(&self, job: &mut Job, actions: &mut Vec<Action>) {
        job.is_answered = true;
        self.cancel_in_flight(job, None, actions);
    }
}
