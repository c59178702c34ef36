//! Outlier ejection: the workers that are avoided after failures, and the time for which they are ejected.

use crate::state::{EndedAttempt, Job, Worker};
use crate::{Outcome, Settings, TimeSpan, Timestamp};

/// Mean time of a first ejection. It doubles with each consecutive failure.
const BASE_EJECTION_TIME: TimeSpan = TimeSpan::from_millis(100);
/// Maximum number of doublings of [`BASE_EJECTION_TIME`].
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// Minimum of the random factor of an ejection time.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Difference between the maximum and the minimum of the random factor of an ejection time.
const JITTER_FACTOR_RANGE: f64 = 0.5;

/// Conclusion about a worker from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndAssessment {
    /// The worker served the job.
    Success,
    /// The worker could not be reached. It may have restarted.
    ConnectFailure,
    /// The worker failed.
    Failure,
    /// The job waited at the worker for as long as it was in flight.
    CancelledWait,
    /// The end of the attempt shows nothing about the worker.
    Inconclusive,
}

/// Assesses a worker by the end of an attempt.
pub(crate) fn assess_end(now: Timestamp, settings: &Settings, ended: &EndedAttempt) -> EndAssessment {
    let attempt = &ended.attempt;
    match ended.outcome {
        Outcome::Done => EndAssessment::Success,
        Outcome::Lost if ended.is_lost_with_stale_connection() => EndAssessment::Inconclusive,
        // Only a failure to connect may show a restart. A broken connection does not, so a warm worker stays
        // warm.
        Outcome::Unreachable => EndAssessment::ConnectFailure,
        Outcome::Error | Outcome::Rejected | Outcome::Lost => EndAssessment::Failure,
        Outcome::TimedOut if !attempt.has_started() => EndAssessment::Failure,
        Outcome::Cancelled if attempt.is_acceptance_overdue(now, settings.accept_timeout) => {
            EndAssessment::Failure
        }
        Outcome::Cancelled if !attempt.has_started() => EndAssessment::CancelledWait,
        Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => EndAssessment::Inconclusive,
    }
}

/// Returns whether a job avoids a worker. All jobs avoid a worker while it is ejected, and while its
/// acceptance of an attempt is overdue. Afterwards, while the failure count of the worker exceeds 1, only an
/// idempotent job may probe the worker, and only if no attempt is in flight there. Each success halves the
/// count. A late start is not a reason to avoid a worker; it increases the wait w instead.
pub(super) fn is_avoided(now: Timestamp, settings: &Settings, worker: &Worker, job: &Job) -> bool {
    let may_probe = settings.is_idempotent(job.class) && worker.is_idle();
    let awaits_probe = worker.health().consecutive_failures > 1 && !may_probe;
    now < worker.health().ejected_until
        || awaits_probe
        || worker.has_overdue_acceptance(now, settings.accept_timeout)
}

/// Returns the duration of an ejection after a failure that follows `earlier_failures` others. Exponential
/// backoff limits the attempts that fail at an unavailable worker, and jitter keeps nodes from returning to
/// it simultaneously. `random_fraction` is a random number from 0 to 1.
pub(crate) fn ejection_duration(earlier_failures: u32, random_fraction: f64) -> TimeSpan {
    let jitter = MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * random_fraction;
    let factor = f64::from(1u32 << earlier_failures.min(MAX_EJECTION_DOUBLINGS));
    TimeSpan::from_secs_f64(BASE_EJECTION_TIME.as_secs_f64() * factor * jitter)
}
