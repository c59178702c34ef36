//! Which counter an attempt's outcome and a job's response are counted by.

use curlewusher_core::Outcome;

use super::jobs::JobResponse;
use crate::telemetry::metrics::Counter;

/// The counter of attempts that ended so.
pub(super) fn outcome_counter(outcome: Outcome) -> Counter {
    match outcome {
        Outcome::Done => Counter::EndedDone,
        Outcome::Error => Counter::EndedError,
        Outcome::Rejected => Counter::EndedFull,
        Outcome::TimedOut => Counter::EndedTimedOut,
        Outcome::Unreachable => Counter::EndedUnreachable,
        Outcome::Lost => Counter::EndedLost,
        Outcome::Cancelled => Counter::EndedCancelled,
        Outcome::NotSent => Counter::EndedNeverSent,
    }
}

/// The counter of jobs that were answered so.
pub(super) fn response_counter(response: &JobResponse) -> Counter {
    match response {
        JobResponse::Served(_) => Counter::Served,
        JobResponse::Rejected { .. } => Counter::Deferred,
        JobResponse::Failed | JobResponse::Duplicate => Counter::Failed,
    }
}
