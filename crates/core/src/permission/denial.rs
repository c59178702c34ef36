//! Reasons for which something may not be done now.

use std::fmt;

/// Why something may not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// Discovery has not confirmed the endpoint list since this process started: it may be of any age.
    EndpointsUnconfirmed,
    /// Discovery has not confirmed the endpoint list for so long that an unknown change counts as notified.
    EndpointsExpired,
    /// The worker is draining or gone, or operators have disabled it.
    WorkerUnavailable,
    /// The worker is of another kind than the class of the job needs.
    WorkerUnsuitable,
    /// A worker that is warming up has received as much as it can take.
    WarmUpBudgetExhausted,
    /// The job has its final answer, or its answer has begun.
    JobAnswered,
    /// The client no longer waits.
    DeadlinePassed,
    /// The client has closed its connection.
    ClientGone,
    /// The job has had as many attempts as the settings allow.
    NoAttemptsLeft,
    /// Another attempt of the job is in flight, and the settings allow one at a time.
    AttemptInFlight,
    /// The worker may still report the end of an earlier attempt, which would be taken for the end of the next.
    StaleCallbackPossible,
    /// The job may have run, and may not run twice.
    MayHaveRun,
    /// The job may have run where the worker does not know of it.
    OutsideDeduplicationScope,
    /// The job may have run so long ago that the worker no longer discards a repeat.
    DeduplicationWindowOver,
    /// The attempt was decided on too long ago.
    WriteTooLate,
    /// A request on the connection has no answer yet.
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

    /// Its name in logs and metrics.
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
