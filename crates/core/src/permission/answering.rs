//! Permission to end a job that was not served, with a rejection or an error as its response.

use super::Denial;
use crate::state::Job;
use crate::{Action, DeduplicationScope, Idempotency, Settings, TimeSpan};

/// Retry delay that a rejection advises to the client, unless the settings limit it to less.
const REJECT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// Checks rule 2: a job is rejected only if a client retry does no harm.
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

/// Returns the response to a job that will not be served here: a rejection that advises the client when to
/// retry, or an error if a rejection is not permitted.
pub(crate) fn reject_or_fail(settings: &Settings, job: &Job) -> Action {
    reject_or_fail_after(settings, job, REJECT_RETRY_AFTER.min(settings.max_retry_after))
}

/// Returns the response to a job whose client should try another node at once.
pub(crate) fn redirect(settings: &Settings, job: &Job) -> Action {
    reject_or_fail_after(settings, job, TimeSpan::ZERO)
}

/// Returns a rejection if that is permitted, otherwise an error.
fn reject_or_fail_after(settings: &Settings, job: &Job, retry_after: TimeSpan) -> Action {
    match may_reject(settings, job) {
        Ok(()) => Action::Reject { job: job.id, retry_after },
        Err(_) => Action::Fail { job: job.id },
    }
}
