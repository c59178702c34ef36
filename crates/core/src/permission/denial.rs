//! Reasons for which an operation is not permitted now.

use std::fmt;

/// Reason for which an operation is not permitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// Discovery has not confirmed the endpoint list since this process started, so the list may be of any
    /// age.
    EndpointsUnconfirmed,
    /// Discovery confirmed the endpoint list so long ago that this node counts as notified of changes that it
    /// may not have received.
    EndpointsExpired,
    /// The worker is draining or was removed, or operators have disabled it.
    WorkerUnavailable,
    /// The worker is of a different kind from the one that the class of the job requires.
    WorkerUnsuitable,
    /// The worker is warming up, and the job exceeds the work that this node may send to it now.
    WarmUpBudgetExhausted,
    /// The job has its final response, or its response has begun.
    JobAnswered,
    /// The deadline of the job has passed: the client no longer waits.
    DeadlinePassed,
    /// The client has closed its connection.
    ClientGone,
    /// The job has had as many attempts as the settings allow.
    NoAttemptsLeft,
    /// Another attempt of the job is in flight, and the settings allow one at a time.
    AttemptInFlight,
    /// The worker may still report the end of an earlier attempt, which would be mistaken for the end of the
    /// next one.
    StaleCallbackPossible,
    /// The job may have run, and must not run twice.
    MayHaveRun,
    /// The job may have run at a worker outside the deduplication scope of this worker, which has no record
    /// of that run.
    OutsideDeduplicationScope,
    /// The job may have run so long ago that the worker no longer discards a duplicate run.
    DeduplicationWindowOver,
    /// The attempt was decided on too long ago to be written now.
    WriteTooLate,
    /// A request on the connection has not been answered yet.
    RequestUnanswered,
    /// A request may be on its way on the connection.
    RequestMayArrive,
}

impl Denial {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Denial; 17] = [
        Denial::EndpointsUnconfirmed,
        Denial::EndpointsExpired,
        Denial::WorkerUnavailable,
        Denial::WorkerUnsuitable,
        Denial::WarmUpBudgetExhausted,
        Denial::JobAnswered,
        Denial::DeadlinePassed,
        Denial::ClientGone,
        Denial::NoAttemptsLeft,
        Denial::AttemptInFlight,
        Denial::StaleCallbackPossible,
        Denial::MayHaveRun,
        Denial::OutsideDeduplicationScope,
        Denial::DeduplicationWindowOver,
        Denial::WriteTooLate,
        Denial::RequestUnanswered,
        Denial::RequestMayArrive,
    ];

    /// Returns the name of the reason in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Denial::EndpointsUnconfirmed => "endpoints_unconfirmed",
            Denial::EndpointsExpired => "endpoints_expired",
            Denial::WorkerUnavailable => "worker_unavailable",
            Denial::WorkerUnsuitable => "worker_unsuitable",
            Denial::WarmUpBudgetExhausted => "warm_up_budget_exhausted",
            Denial::JobAnswered => "job_answered",
            Denial::DeadlinePassed => "deadline_passed",
            Denial::ClientGone => "client_gone",
            Denial::NoAttemptsLeft => "no_attempts_left",
            Denial::AttemptInFlight => "attempt_in_flight",
            Denial::StaleCallbackPossible => "stale_callback_possible",
            Denial::MayHaveRun => "may_have_run",
            Denial::OutsideDeduplicationScope => "outside_deduplication_scope",
            Denial::DeduplicationWindowOver => "deduplication_window_over",
            Denial::WriteTooLate => "write_too_late",
            Denial::RequestUnanswered => "request_unanswered",
            Denial::RequestMayArrive => "request_may_arrive",
        }
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
