//! Counters of attempt outcomes and job responses.

use curlewusher_core::Outcome;

use super::jobs::JobResponse;
use crate::telemetry::metrics::{Counter, ResponseKind};

/// Returns the counter of attempts with this outcome.
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

/// Returns the kind under which a job response is counted.
pub(super) fn response_kind(response: &JobResponse) -> ResponseKind {
    match response {
        JobResponse::Served(_) => ResponseKind::Served,
        JobResponse::Rejected { .. } => ResponseKind::Rejected,
        JobResponse::Failed | JobResponse::Duplicate => ResponseKind::Failed,
    }
}
