//! Permission to answer a job that was not served, and so to end it.

use super::Denial;
use crate::state::Job;
use crate::{Action, DeduplicationScope, Idempotency, Settings, TimeSpan};

/// Delay that a rejection advises to the client.
const REJECT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// Rule 2: a job is rejected only if a retry by its client does no harm.
fn may_reject(settings: &Settings, job: &Job) -> Result<(), Denial> {
    let is_harmless = match settings.classes[job.class].idempotency {
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

/// The answer to a job that will not be served here: a rejection that advises its client when to retry.
pub(crate) fn reject_or_fail(settings: &Settings, job: &Job) -> Action {
    reject_or_fail_after(settings, job, REJECT_RETRY_AFTER.min(settings.max_retry_after))
}

/// The answer to a job whose client is to try another node at once.
pub(crate) fn redirect(settings: &Settings, job: &Job) -> Action {
    reject_or_fail_after(settings, job, TimeSpan::ZERO)
}

/// A rejection where that is permitted, else an error.
fn reject_or_fail_after(settings: &Settings, job: &Job, retry_after: TimeSpan) -> Action {
    match may_reject(settings, job) {
        Ok(()) => Action::Reject { job: job.id, retry_after },
        Err(_) => Action::Fail { job: job.id },
    }
}
