//! Attempts that were decided on and of which no byte was sent. An attempt of which a byte may have been sent
//! is not revoked.

use crate::Settings;
use crate::permission::max_attempts;
use crate::state::Job;

/// Returns whether a job whose revoked attempt was not sent is requeued as if it had just been submitted,
/// because no other attempt may have run. The unsent attempt was no failure and costs no retry.
pub(crate) fn may_requeue_unsent(settings: &Settings, job: &Job) -> bool {
    !job.is_answered()
        && job.is_idle()
        && job.first_possible_run().is_none()
        && job.attempt_count() < max_attempts(settings)
}
