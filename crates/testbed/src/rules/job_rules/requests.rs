//! Requests of clients and the attempts of nodes for them, according to the event log.

use std::collections::HashMap;

use curlewusher_model::{TimeSpan, Timestamp};

use super::violation::AttemptProblem;
use crate::event_log::FailureReason;
use crate::rules::RetryPolicy;

/// Attempt that has arrived at a worker.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) number: u64,
    pub(super) cell: u32,
    pub(super) arrived_at: Timestamp,
    /// Whether the attempt has not ended yet.
    is_outstanding: bool,
    may_have_run: bool,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    /// The worker rejected or returned the attempt before it ran.
    NeverRan,
    /// The attempt was completed, lost or cancelled.
    MayHaveRun,
}

/// End of a request without a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    pub(super) at: Timestamp,
    pub(super) reason: FailureReason,
    /// Whether the connection was opened for the request.
    pub(super) on_new_connection: bool,
}

/// Request of a client.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) sent_at: Timestamp,
    pub(super) timeout: TimeSpan,
    pub(super) class: usize,
    pub(super) node: usize,
    /// Number of responses that the client has received.
    pub(super) responses: usize,
    pub(super) failure: Option<Failure>,
    /// Attempts that have arrived at workers, oldest first.
    pub(super) attempts: Vec<Attempt>,
}

impl Attempt {
    /// Returns an attempt that has just arrived: it is outstanding, and may run from now on.
    pub(super) fn new(number: u64, cell: u32, arrived_at: Timestamp) -> Self {
        Attempt { number, cell, arrived_at, is_outstanding: true, may_have_run: true }
    }

    /// Records the end of the attempt.
    fn end(&mut self, outcome: AttemptOutcome) {
        self.is_outstanding = false;
        self.may_have_run &= outcome == AttemptOutcome::MayHaveRun;
    }
}

impl Request {
    /// Returns the time at which the client's timeout expires.
    pub(super) fn deadline(&self) -> Timestamp {
        self.sent_at + self.timeout
    }

    /// Returns the reason for the failure of the request, if it failed.
    pub(super) fn failure_reason(&self) -> Option<FailureReason> {
        self.failure.map(|failure| failure.reason)
    }

    /// Returns whether any attempt of the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// Returns whether a connection to a node was established for the request.
    fn has_reached_node(&self) -> bool {
        !matches!(self.failure_reason(), Some(FailureReason::Unreachable | FailureReason::NoNode))
    }

    /// Returns the reason for which another attempt that arrives now in a cell is forbidden, if it is.
    pub(super) fn check_next_attempt(
        &self,
        policy: RetryPolicy,
        cell: u32,
        now: Timestamp,
        tolerance: TimeSpan,
    ) -> Option<AttemptProblem> {
        if self.attempts.iter().any(|attempt| attempt.is_outstanding) {
            return Some(AttemptProblem::WhileOutstanding);
        }
        let first = self.attempts.iter().find(|attempt| attempt.may_have_run)?;
        match policy {
            RetryPolicy::Idempotent => None,
            RetryPolicy::NonIdempotent => Some(AttemptProblem::NonIdempotent),
            RetryPolicy::IdempotentWithKey { .. } if first.cell != cell => {
                Some(AttemptProblem::OtherCell { cell, first_cell: first.cell })
            }
            RetryPolicy::IdempotentWithKey { window } => {
                let is_late = now > first.arrived_at + window + tolerance;
                is_late.then_some(AttemptProblem::AfterWindow)
            }
        }
    }
}

/// Requests of a run.
#[derive(Debug, Default)]
pub(super) struct Requests<'log> {
    by_id: HashMap<&'log str, Request>,
    id_by_attempt: HashMap<u64, &'log str>,
}

impl<'log> Requests<'log> {
    /// Adds a request that was sent.
    pub(super) fn insert(&mut self, id: &'log str, request: Request) {
        self.by_id.insert(id, request);
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Request> {
        self.by_id.get_mut(id)
    }

    /// Records that an attempt belongs to the request with this id, even if there is no record of the
    /// request.
    pub(super) fn assign_attempt(&mut self, number: u64, id: &'log str) {
        self.id_by_attempt.insert(number, id);
    }

    /// Records the end of an attempt; ignores attempts without a recorded request.
    pub(super) fn end_attempt(&mut self, number: u64, outcome: AttemptOutcome) {
        let request_id = self.id_by_attempt.get(&number);
        let Some(request) = request_id.and_then(|request_id| self.by_id.get_mut(request_id)) else { return };
        if let Some(attempt) = request.attempts.iter_mut().find(|attempt| attempt.number == number) {
            attempt.end(outcome);
        }
    }

    /// Returns the requests that reached a node and got no response, in order of sending and then of their
    /// ids.
    pub(super) fn without_response(&self) -> Vec<RequestWithoutResponse<'log, '_>> {
        let open =
            self.by_id.iter().filter(|(_, request)| request.responses == 0 && request.has_reached_node());
        let mut open: Vec<_> = open.map(|(id, request)| RequestWithoutResponse { id, request }).collect();
        // The map's iteration order differs between runs.
        open.sort_unstable_by_key(|open| (open.request.sent_at, open.id));
        open
    }
}

/// Request that reached a node and got no response.
pub(super) struct RequestWithoutResponse<'log, 'requests> {
    pub(super) id: &'log str,
    pub(super) request: &'requests Request,
}
