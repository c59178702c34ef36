//! The requests of clients and the attempts that nodes made for them, as the log shows them.

use std::collections::HashMap;

use curlewusher_model::{TimeSpan, Timestamp};

use super::violation::RepeatProblem;
use crate::event_log::FailureReason;
use crate::rules::RepeatPolicy;

/// An attempt that has arrived at a worker.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) number: u64,
    pub(super) bay: u32,
    pub(super) arrived_at: Timestamp,
    is_outstanding: bool,
    may_have_run: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The worker rejected or returned it before it ran.
    NeverRan,
    /// It was completed, lost or cancelled.
    MayHaveRun,
}

/// The end of a request without a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    pub(super) at: Timestamp,
    pub(super) reason: FailureReason,
    pub(super) on_new_connection: bool,
}

/// A request of a client.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) sent_at: Timestamp,
    pub(super) timeout: TimeSpan,
    pub(super) class: usize,
    pub(super) node: usize,
    pub(super) responses: usize,
    pub(super) failure: Option<Failure>,
    pub(super) attempts: Vec<Attempt>,
}

impl Attempt {
    /// An attempt that has just arrived: it is outstanding, and may run from now on.
    pub(super) fn new(number: u64, bay: u32, arrived_at: Timestamp) -> Self {
        Attempt { number, bay, arrived_at, is_outstanding: true, may_have_run: true }
    }

    fn end(&mut self, end: AttemptEnd) {
        self.is_outstanding = false;
        self.may_have_run &= end == AttemptEnd::MayHaveRun;
    }
}

impl Request {
    /// When the client's timeout expires.
    pub(super) fn deadline(&self) -> Timestamp {
        self.sent_at + self.timeout
    }

    pub(super) fn failure_reason(&self) -> Option<FailureReason> {
        self.failure.map(|failure| failure.reason)
    }

    /// Whether any attempt of it may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    fn has_reached_node(&self) -> bool {
        !matches!(self.failure_reason(), Some(FailureReason::Unreachable | FailureReason::NoNode))
    }

    /// What is wrong with another attempt that arrives now in a bay, if anything.
    pub(super) fn repeat_problem(
        &self,
        policy: RepeatPolicy,
        bay: u32,
        now: Timestamp,
        slack: TimeSpan,
    ) -> Option<RepeatProblem> {
        if self.attempts.iter().any(|attempt| attempt.is_outstanding) {
            return Some(RepeatProblem::WhileOutstanding);
        }
        let first = self.attempts.iter().find(|attempt| attempt.may_have_run)?;
        match policy {
            RepeatPolicy::Idempotent => None,
            RepeatPolicy::NonIdempotent => Some(RepeatProblem::NonIdempotent),
            RepeatPolicy::IdempotentWithKey { .. } if first.bay != bay => {
                Some(RepeatProblem::OtherBay { bay, first_bay: first.bay })
            }
            RepeatPolicy::IdempotentWithKey { window } => {
                let is_late = now > first.arrived_at + window + slack;
                is_late.then_some(RepeatProblem::AfterWindow)
            }
        }
    }
}

/// All requests of a run.
#[derive(Debug, Default)]
pub(super) struct Requests<'log> {
    by_id: HashMap<&'log str, Request>,
    id_by_attempt: HashMap<u64, &'log str>,
}

impl<'log> Requests<'log> {
    pub(super) fn insert(&mut self, id: &'log str, request: Request) {
        self.by_id.insert(id, request);
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Request> {
        self.by_id.get_mut(id)
    }

    /// Records that an attempt belongs to a request, known or not.
    pub(super) fn assign_attempt(&mut self, number: u64, id: &'log str) {
        self.id_by_attempt.insert(number, id);
    }

    pub(super) fn end_attempt(&mut self, number: u64, end: AttemptEnd) {
        let request_id = self.id_by_attempt.get(&number);
        let Some(request) = request_id.and_then(|request_id| self.by_id.get_mut(request_id)) else { return };
        if let Some(attempt) = request.attempts.iter_mut().find(|attempt| attempt.number == number) {
            attempt.end(end);
        }
    }

    /// The requests that reached a node and got no response, in the order of sending and then of their ids.
    pub(super) fn without_response(&self) -> Vec<RequestWithoutResponse<'log, '_>> {
        let open =
            self.by_id.iter().filter(|(_, request)| request.responses == 0 && request.has_reached_node());
        let mut open: Vec<_> = open.map(|(id, request)| RequestWithoutResponse { id, request }).collect();
        // The map's iteration order differs between runs.
        open.sort_unstable_by_key(|open| (open.request.sent_at, open.id));
        open
    }
}

/// A request that reached a node and got no response.
pub(super) struct RequestWithoutResponse<'log, 'requests> {
    pub(super) id: &'log str,
    pub(super) request: &'requests Request,
}
