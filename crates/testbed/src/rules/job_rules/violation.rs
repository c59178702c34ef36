//! Violations of the rules on jobs, and their texts.

use curlewusher_model::TimeSpan;
use thiserror::Error;

use crate::event_log::FailureReason;
use crate::rules::Rule;

/// Violation of a rule on jobs.
#[derive(Debug, Error)]
pub(super) enum JobViolation<'log> {
    /// The client received more than one response to a request.
    #[error("{request} was answered {responses} times")]
    MultipleResponses { request: &'log str, responses: usize },
    /// The response has status 200, but not the result that a worker made for the request.
    #[error("{request} was served with something that no worker made for it")]
    ForeignResult { request: &'log str },
    /// The response arrived after the client's timeout and the tolerance.
    #[error("{request} was answered {} ms after its time", late_by.as_millis())]
    LateResponse { request: &'log str, late_by: TimeSpan },
    /// The client received no response, and no event of the node allows it.
    #[error("{request} had no answer from node {node}: {reason:?}")]
    MissingResponse { request: &'log str, node: usize, reason: Option<FailureReason> },
    /// An attempt arrived that the class of the job forbids.
    #[error("{request} went out {problem}")]
    ForbiddenAttempt { request: &'log str, problem: AttemptProblem },
    /// The node rejected the request, which states that a resubmission is safe, although an attempt may have
    /// run.
    #[error("{request} was refused, which calls a repeat harmless, and may have run")]
    RejectedAfterStart { request: &'log str },
    /// The node sent an attempt to a worker that was draining or had terminated, after the time within which
    /// it must stop.
    #[error(
        "node {node} sent {request} to worker {worker} {} ms after it was notified of its drain or end, or counted as notified",
        after.as_millis()
    )]
    SentToUnavailableWorker { request: &'log str, node: usize, worker: usize, after: TimeSpan },
    /// A worker that was warming up crashed under work that was sent mostly by nodes that had been notified
    /// of its start.
    #[error(
        "worker {worker}, just started, was sent {seconds_from_notified:.1} s of work by nodes that knew"
    )]
    OverloadedDuringWarmUp { worker: usize, seconds_from_notified: f64 },
}

/// Reason for which another attempt of a job is forbidden.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum AttemptProblem {
    /// An earlier attempt has not ended.
    #[error("while an attempt of it was out")]
    WhileOutstanding,
    /// An earlier attempt may have run, and the class allows no retry.
    #[error("again and may have run; its class allows no repeat")]
    NonIdempotent,
    /// An earlier attempt may have run in another cell.
    #[error("again in bay {cell} and may have run in bay {first_cell}")]
    OtherCell { cell: u32, first_cell: u32 },
    /// An earlier attempt may have run, and the deduplication window of its cell has ended.
    #[error("again after the time in which its bay drops repeats")]
    AfterWindow,
}

impl<'log> JobViolation<'log> {
    /// Returns the violated rule.
    pub(super) fn rule(&self) -> Rule {
        match self {
            JobViolation::MultipleResponses { .. }
            | JobViolation::ForeignResult { .. }
            | JobViolation::LateResponse { .. }
            | JobViolation::MissingResponse { .. } => Rule::OneAnswer,
            JobViolation::ForbiddenAttempt { .. } | JobViolation::RejectedAfterStart { .. } => {
                Rule::OneEffect
            }
            JobViolation::SentToUnavailableWorker { .. } => Rule::QuietDrain,
            JobViolation::OverloadedDuringWarmUp { .. } => Rule::GentleStart,
        }
    }

    /// Returns the request whose events show the violation, or `None` if events about workers show it.
    pub(super) fn request(&self) -> Option<&'log str> {
        match self {
            JobViolation::MultipleResponses { request, .. }
            | JobViolation::ForeignResult { request }
            | JobViolation::LateResponse { request, .. }
            | JobViolation::MissingResponse { request, .. }
            | JobViolation::ForbiddenAttempt { request, .. }
            | JobViolation::RejectedAfterStart { request }
            | JobViolation::SentToUnavailableWorker { request, .. } => Some(request),
            JobViolation::OverloadedDuringWarmUp { .. } => None,
        }
    }
}
