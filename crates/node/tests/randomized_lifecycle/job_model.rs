//! What the scripted workers and clients have seen of each job, and the invariants that the node must keep for it.
//!
//! The checks use these observations only, never the node's own state.

use std::time::{Duration, Instant};

use crate::common::HttpMessage;

/// Time that an attempt may spend in transit; the node stays clear of the end of the deduplication window by as much.
const WIRE_SLACK: Duration = Duration::from_millis(200);
/// A response that is late by no more than this is useless to the client but breaks no invariant.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobClass {
    View,
    Order,
    Register,
}

impl JobClass {
    /// The name of the class in requests and settings.
    pub fn name(self) -> &'static str {
        match self {
            JobClass::View => "view",
            JobClass::Order => "order",
            JobClass::Register => "register",
        }
    }
}

/// How an attempt ended, as its worker knows it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The job may have run.
    pub ran: bool,
}

/// A delivery attempt whose last byte has arrived.
#[derive(Debug)]
pub struct Attempt {
    pub worker: usize,
    pub cell: (usize, usize),
    pub at: Instant,
    /// Its 202 is written.
    pub accepted: bool,
    /// The 202 arrived while the node was paused, so that closing the connection no longer gives the attempt up.
    pub surely_accepted: bool,
    /// How many withdrawals have arrived, answered or not.
    pub withdrawals: u32,
    pub started: bool,
    pub ended: Option<AttemptEnd>,
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|ended| ended.ran)
    }
}

/// What became of a request, as its client knows it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A part of the request is written.
    PartlyWritten,
    Pending,
    Answered(u16),
    /// Its client has disconnected.
    ClientLeft,
    /// Its connection ended unread where HTTP allows that, such as between two requests.
    ClosedUnserved,
}

#[derive(Debug)]
pub struct Job {
    pub id: String,
    pub class: JobClass,
    pub path: String,
    pub key: Option<String>,
    pub body: String,
    pub deadline: Duration,
    /// When its last byte was written, and after how many events.
    pub sent_at: Option<(Instant, u64)>,
    pub outcome: Outcome,
    pub left_at: Option<Instant>,
    /// The node has had enough time to see that its client left.
    pub departure_known: bool,
    /// Further bytes were written behind the request.
    pub has_pipelined_data: bool,
    pub attempts: Vec<Attempt>,
    pub results: Vec<String>,
    pub history: Vec<String>,
}

/// The workers among which repeats of a keyed job are discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    Cell,
    Zone,
    All,
}

impl DedupScope {
    pub fn name(self) -> &'static str {
        match self {
            DedupScope::Cell => "cell",
            DedupScope::Zone => "zone",
            DedupScope::All => "all",
        }
    }

    fn same_domain(self, first: (usize, usize), second: (usize, usize)) -> bool {
        match self {
            DedupScope::Cell => first == second,
            DedupScope::Zone => first.0 == second.0,
            DedupScope::All => true,
        }
    }
}

/// The settings of a run that the invariants depend on.
#[derive(Clone, Copy, Debug)]
pub struct JobRules {
    pub scope: DedupScope,
    pub window: Duration,
    pub max_attempts: usize,
}

/// A drain of a worker that the node has read.
#[derive(Clone, Copy, Debug)]
pub struct DrainRecord {
    /// The node had read it by this time, after so many events.
    pub read: Instant,
    pub event_count: u64,
    /// The time has passed within which the node must stop sending there.
    pub settled: bool,
}

/// A complete request for a job that has arrived at a worker.
pub struct Arrival<'a> {
    pub message: &'a HttpMessage,
    pub worker: usize,
    pub cell: (usize, usize),
    pub drain: Option<DrainRecord>,
    /// It cannot have arrived before this.
    pub earliest_arrival: Instant,
}

impl Job {
    pub fn is_open(&self) -> bool {
        matches!(self.outcome, Outcome::PartlyWritten | Outcome::Pending)
    }

    /// The result that an attempt of the job reports.
    pub fn result(&self, attempt: usize) -> String {
        format!("result {attempt} of {}", self.id)
    }

    /// Checks an attempt whose last byte has arrived at a worker; an error says which invariant it breaks.
    pub fn check_arrival(&self, arrival: &Arrival<'_>, rules: JobRules) -> Result<(), String> {
        let &Arrival { message, worker, cell, drain, earliest_arrival } = arrival;
        let Some((_, event_count)) = self.sent_at else {
            return Err("forwarded before it was complete".into());
        };
        let start = format!("POST {} HTTP/1.1", self.path);
        let same = message.start_line == start
            && message.body == self.body
            && message.header("idempotency-key") == self.key.as_deref();
        if !same {
            return Err(format!("not forwarded unchanged: {message:?}"));
        }
        if let Some(at) = self.attempts.iter().position(|a| a.ended.is_none()) {
            return Err(format!("a second attempt at {worker} beside attempt {at}"));
        }
        if let Outcome::Answered(_) | Outcome::ClosedUnserved = self.outcome {
            return Err(format!("forwarded to {worker} after it was {:?}", self.outcome));
        }
        if self.departure_known {
            return Err(format!("forwarded to {worker} long after its client disconnected"));
        }
        if self.attempts.len() >= rules.max_attempts {
            return Err("more attempts than the settings allow".into());
        }
        if let Some(drain) = drain
            && (drain.settled || event_count > drain.event_count)
        {
            return Err(format!("sent to {worker}, which is draining"));
        }
        let Some(first) = self.attempts.iter().find(|a| a.may_have_run()) else { return Ok(()) };
        match self.class {
            JobClass::View => Ok(()),
            JobClass::Order => Err(format!("retried at {worker}, though it may have run")),
            JobClass::Register if !rules.scope.same_domain(first.cell, cell) => {
                Err(format!("retried at {worker} of another {}, though it may have run", rules.scope.name()))
            }
            JobClass::Register if earliest_arrival > first.at + rules.window + WIRE_SLACK => {
                Err(format!("retried at {worker} after the deduplication window"))
            }
            JobClass::Register => Ok(()),
        }
    }

    /// Checks the response that its client has read; `node_terminates` after SIGTERM.
    pub fn check_response(
        &self,
        message: &HttpMessage,
        rules: JobRules,
        node_terminates: bool,
    ) -> Result<(), String> {
        let status = message.status();
        match self.outcome {
            Outcome::Answered(before) => return Err(format!("answered {status} after {before}")),
            Outcome::PartlyWritten if status == 408 || status == 400 => return Ok(()),
            // A node that has answered all jobs and shuts down reads no more of it: it was never forwarded.
            Outcome::PartlyWritten if node_terminates && status == 503 && self.attempts.is_empty() => {
                return Ok(());
            }
            Outcome::PartlyWritten => return Err(format!("answered {status} before it was complete")),
            _ => {}
        }
        let harmless = match self.class {
            JobClass::View => true,
            JobClass::Order => false,
            JobClass::Register => rules.scope == DedupScope::All,
        };
        match status {
            200 if !self.results.contains(&message.body) => {
                Err(format!("served with a result that no worker made for it: {:?}", message.body))
            }
            429 | 503 if !harmless && self.attempts.iter().any(Attempt::may_have_run) => {
                Err("rejected, though an attempt may have run".into())
            }
            200 | 429 | 502 | 503 => Ok(()),
            _ => Err(format!("answered {status}: {}", message.body)),
        }
    }

    /// Whether a worker still runs an attempt that was never withdrawn.
    pub fn runs_without_withdrawal(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.ended.is_none() && attempt.withdrawals == 0)
    }

    /// Whether it still waits although the node was responsive after its deadline, at `responsive_since`.
    pub fn is_overdue(&self, responsive_since: Instant) -> bool {
        let due = |(sent, _): (Instant, _)| responsive_since > sent + self.deadline + ANSWER_SLACK;
        self.outcome == Outcome::Pending && self.sent_at.is_some_and(due)
    }
}
