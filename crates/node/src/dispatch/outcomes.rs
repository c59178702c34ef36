//! What an attempt's outcome and a job's response are counted as.

use curlewusher_core::Outcome;

use super::jobs::JobResponse;
use crate::telemetry::metrics::{Counter, ResponseKind};

/// The counter of attempts that ended so.
pub(super) fn outcome_counter(outcome: Outcome) -> Counter {
    match outcome {
        Outcome::Done => Counter::AttemptsSucceeded,
        Outcome::Error => Counter::AttemptsFailed,
        Outcome::Rejected => Counter::AttemptsRejected,
        Outcome::TimedOut => Counter::AttemptsTimedOut,
        Outcome::Unreachable => Counter::AttemptsUnreachable,
        Outcome::Lost => Counter::AttemptsLost,
        Outcome::Cancelled => Counter::AttemptsCancelled,
        Outcome::NotSent => Counter::AttemptsNotSent,
    }
}

/// The kind that a job's response is counted as.
pub(super) fn response_kind(response: &JobResponse) -> ResponseKind {
    match response {
        JobResponse::Served(_) => ResponseKind::Served,
        JobResponse::Rejected { .. } => ResponseKind::Rejected,
        JobResponse::Failed | JobResponse::Duplicate => ResponseKind::Failed,
    }
}
