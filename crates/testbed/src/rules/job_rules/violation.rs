//! What a node did against a rule on jobs, and the text of it.

use curlewusher_model::TimeSpan;
use thiserror::Error;

use crate::event_log::FailureReason;
use crate::rules::Rule;

/// A broken rule on jobs.
#[derive(Debug, Error)]
pub(super) enum JobViolation<'log> {
    #[error("{request} was answered {responses} times")]
    AnsweredRepeatedly { request: &'log str, responses: usize },
    #[error("{request} was served with something that no worker made for it")]
    ForeignResult { request: &'log str },
    #[error("{request} was answered {} ms after its time", late_by.as_millis())]
    LateResponse { request: &'log str, late_by: TimeSpan },
    #[error("{request} had no answer from node {node}: {reason:?}")]
    MissingResponse { request: &'log str, node: usize, reason: Option<FailureReason> },
    #[error("{request} went out {problem}")]
    ForbiddenRepeat { request: &'log str, problem: RepeatProblem },
    #[error("{request} was refused, which calls a repeat harmless, and may have run")]
    RejectedAfterStart { request: &'log str },
    #[error(
        "node {node} sent {request} to worker {worker} {} ms after it was notified of its drain or end, or counted as notified",
        after.as_millis()
    )]
    SentToUnavailableWorker { request: &'log str, node: usize, worker: usize, after: TimeSpan },
    #[error("worker {worker}, just started, was sent {informed_seconds:.1} s of work by nodes that knew")]
    OverloadedDuringWarmUp { worker: usize, informed_seconds: f64 },
}

/// Why another attempt of a job is against its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RepeatProblem {
    #[error("while an attempt of it was out")]
    WhileOutstanding,
    #[error("again and may have run; its class allows no repeat")]
    NonIdempotent,
    #[error("again in bay {bay} and may have run in bay {first_bay}")]
    OtherBay { bay: u32, first_bay: u32 },
    #[error("again after the time in which its bay drops repeats")]
    AfterWindow,
}

impl<'log> JobViolation<'log> {
    pub(super) fn rule(&self) -> Rule {
        match self {
            JobViolation::AnsweredRepeatedly { .. }
            | JobViolation::ForeignResult { .. }
            | JobViolation::LateResponse { .. }
            | JobViolation::MissingResponse { .. } => Rule::OneAnswer,
            JobViolation::ForbiddenRepeat { .. } | JobViolation::RejectedAfterStart { .. } => Rule::OneEffect,
            JobViolation::SentToUnavailableWorker { .. } => Rule::QuietDrain,
            JobViolation::OverloadedDuringWarmUp { .. } => Rule::GentleStart,
        }
    }

    /// The request whose events show the violation; none if those of the workers do.
    pub(super) fn request(&self) -> Option<&'log str> {
        match self {
            JobViolation::AnsweredRepeatedly { request, .. }
            | JobViolation::ForeignResult { request }
            | JobViolation::LateResponse { request, .. }
            | JobViolation::MissingResponse { request, .. }
            | JobViolation::ForbiddenRepeat { request, .. }
            | JobViolation::RejectedAfterStart { request }
            | JobViolation::SentToUnavailableWorker { request, .. } => Some(request),
            JobViolation::OverloadedDuringWarmUp { .. } => None,
        }
    }
}
