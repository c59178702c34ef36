//! Outlier ejection: which workers are avoided, and for how long after failures.

use crate::state::{EndedAttempt, Job, Worker};
use crate::{Outcome, Settings, TimeSpan, Timestamp};

/// Mean time of a first ejection, in seconds; it doubles with each failure in a row.
const BASE_EJECTION: TimeSpan = TimeSpan::from_millis(100);
/// Most doublings of that time.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// The jitter factor of an ejection is drawn from this ...
const MIN_JITTER: f64 = 0.75;
/// ... to this much more.
const JITTER_RANGE: f64 = 0.5;

/// What the end of an attempt shows of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndAssessment {
    /// It served the job.
    Success,
    /// It could not be reached. It may have restarted.
    ConnectFailure,
    /// It failed.
    Failure,
    /// The job waited there for as long as it was in flight.
    CancelledWait,
    /// Nothing.
    Inconclusive,
}

/// What the end of an attempt shows of its worker.
pub(crate) fn assess_end(now: Timestamp, settings: &Settings, ended: &EndedAttempt) -> EndAssessment {
    let attempt = &ended.attempt;
    match ended.outcome {
        Outcome::Done => EndAssessment::Success,
        Outcome::Lost if ended.is_lost_with_stale_connection() => EndAssessment::Inconclusive,
        // A broken connection alone does not show a restart, so a warm worker stays warm.
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

/// Whether a worker is avoided: while it does not accept what it was sent, while it is ejected, and then
/// until an idempotent job has been served there. A late start counts in w instead.
pub(super) fn is_avoided(now: Timestamp, settings: &Settings, worker: &Worker, job: &Job) -> bool {
    let may_probe = settings.is_idempotent(job.class) && worker.is_idle();
    let on_trial = worker.health().consecutive_failures > 1 && !may_probe;
    now < worker.health().ejected_until
        || on_trial
        || worker.has_overdue_acceptance(now, settings.accept_timeout)
}

/// How long a worker is ejected after a failure that follows so many others: with exponential backoff, so that a dead
/// one costs few attempts, and with jitter, so that nodes do not return in step. `random_fraction` is a random number
/// from 0 to 1.
pub(crate) fn ejection_duration(earlier_failures: u32, random_fraction: f64) -> TimeSpan {
    let jitter = MIN_JITTER + JITTER_RANGE * random_fraction;
    let factor = f64::from(1u32 << earlier_failures.min(MAX_EJECTION_DOUBLINGS));
    TimeSpan::from_secs_f64(BASE_EJECTION.as_secs_f64() * factor * jitter)
}
