//! Observations of each job by the scripted workers and clients, and the invariants that the node must keep
//! for it.
//!
//! The checks use only these observations, never the node's own state.

use std::time::{Duration, Instant};

use crate::common::HttpMessage;

/// Maximum time that an attempt may spend in transit. The node keeps the same margin before the end of the
/// deduplication window.
const TRANSIT_TOLERANCE: Duration = Duration::from_millis(200);
/// Maximum time after the deadline at which a response breaks no invariant, although it is useless to the
/// client.
const LATE_RESPONSE_TOLERANCE: Duration = Duration::from_millis(500);

/// Class of a job, one for each kind of idempotency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobClass {
    /// Jobs that are safe to run more than once.
    View,
    /// Jobs that must not run more than once.
    Order,
    /// Jobs with an idempotency key.
    Register,
}

impl JobClass {
    /// Returns the name of the class in requests and settings.
    pub fn name(self) -> &'static str {
        match self {
            JobClass::View => "view",
            JobClass::Order => "order",
            JobClass::Register => "register",
        }
    }
}

/// End of an attempt as its worker observed it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Whether the job may have run.
    pub may_have_run: bool,
}

/// An attempt whose last byte has arrived at a worker.
#[derive(Debug)]
pub struct Attempt {
    pub worker: usize,
    /// Zone of the worker, and group in the zone.
    pub cell: (usize, usize),
    pub arrived_at: Instant,
    /// Whether the worker has written its 202.
    pub accepted: bool,
    /// Whether the worker wrote its 202 while the node was paused. Closing the connection then no longer
    /// cancels the attempt.
    pub accepted_while_paused: bool,
    /// Number of cancellations that have arrived, answered or not.
    pub cancellation_count: u32,
    pub started: bool,
    pub ended: Option<AttemptEnd>,
}

impl Attempt {
    /// Returns whether the job may have run, or still runs, by this attempt.
    pub fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|ended| ended.may_have_run)
    }
}

/// Outcome of a request as its client observed it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The client has written only a part of the request.
    PartlyWritten,
    /// The client waits for the response.
    Pending,
    /// The client received a response with this status.
    Answered(u16),
    /// The client disconnected before the response.
    ClientDisconnected,
    /// The node closed the connection without reading the request, where HTTP allows it, such as between two
    /// requests.
    ClosedUnserved,
}

/// A job with all observations of it.
#[derive(Debug)]
pub struct Job {
    pub id: String,
    pub class: JobClass,
    pub path: String,
    /// Idempotency key of the job.
    pub key: Option<String>,
    pub body: String,
    /// Deadline, counted from `sent_at`.
    pub deadline: Duration,
    /// Time and event number at which the client wrote the last byte of the request.
    pub sent_at: Option<(Instant, u64)>,
    pub outcome: Outcome,
    /// Time at which the client disconnected.
    pub disconnected_at: Option<Instant>,
    /// Whether the node has had enough time to notice that the client disconnected.
    pub notified_of_disconnect: bool,
    /// Whether the client wrote further bytes behind the request.
    pub has_pipelined_data: bool,
    pub attempts: Vec<Attempt>,
    /// Results that workers have reported for the job.
    pub results: Vec<String>,
    /// Log of the events of the job, which the message of a violation includes.
    pub history: Vec<String>,
}

/// Scope within which the workers discard duplicate attempts of a keyed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    Cell,
    Zone,
    All,
}

impl DedupScope {
    /// Returns the name of the scope in settings.
    pub fn name(self) -> &'static str {
        match self {
            DedupScope::Cell => "cell",
            DedupScope::Zone => "zone",
            DedupScope::All => "all",
        }
    }

    /// Returns whether workers of these two cells share one deduplication domain.
    fn includes_both(self, first: (usize, usize), second: (usize, usize)) -> bool {
        match self {
            DedupScope::Cell => first == second,
            DedupScope::Zone => first.0 == second.0,
            DedupScope::All => true,
        }
    }
}

/// Settings of a run that the invariants depend on.
#[derive(Clone, Copy, Debug)]
pub struct JobRules {
    pub scope: DedupScope,
    pub dedup_window: Duration,
    pub max_attempts: usize,
}

/// A drain of a worker that the node has read.
#[derive(Clone, Copy, Debug)]
pub struct DrainRecord {
    /// Time by which the node had read the drain.
    pub read_at: Instant,
    /// Number of events by which the node had read the drain.
    pub event_count: u64,
    /// Whether the time has passed within which the node must stop sending to the worker.
    pub is_effective: bool,
}

/// A complete request of an attempt that has arrived at a worker.
pub struct Arrival<'a> {
    pub message: &'a HttpMessage,
    pub worker: usize,
    pub cell: (usize, usize),
    /// Drain of the worker, if the node has read it.
    pub drain: Option<DrainRecord>,
    /// Time before which the request cannot have arrived.
    pub earliest_arrival: Instant,
}

impl Job {
    /// Returns whether the client may still get a response.
    pub fn is_open(&self) -> bool {
        matches!(self.outcome, Outcome::PartlyWritten | Outcome::Pending)
    }

    /// Returns the result that an attempt of the job reports.
    pub fn result(&self, attempt: usize) -> String {
        format!("result {attempt} of {}", self.id)
    }

    /// Checks an attempt whose last byte has arrived at a worker. An error names the violated invariant.
    pub fn check_arrival(&self, arrival: &Arrival<'_>, rules: JobRules) -> Result<(), String> {
        let &Arrival { message, worker, cell, drain, earliest_arrival } = arrival;
        let Some((_, event_count)) = self.sent_at else {
            return Err("sent to a worker before the request was complete".into());
        };
        let start_line = format!("POST {} HTTP/1.1", self.path);
        let is_unchanged = message.start_line == start_line
            && message.body == self.body
            && message.header("idempotency-key") == self.key.as_deref();
        if !is_unchanged {
            return Err(format!("the worker received a changed request: {message:?}"));
        }
        if let Some(index) = self.attempts.iter().position(|a| a.ended.is_none()) {
            return Err(format!("a second attempt at worker {worker} before attempt {index} has ended"));
        }
        if let Outcome::Answered(_) | Outcome::ClosedUnserved = self.outcome {
            return Err(format!(
                "sent to worker {worker} after the outcome of the job was {:?}",
                self.outcome
            ));
        }
        if self.notified_of_disconnect {
            return Err(format!("sent to worker {worker} long after the client disconnected"));
        }
        if self.attempts.len() >= rules.max_attempts {
            return Err("more attempts than the settings allow".into());
        }
        if let Some(drain) = drain
            && (drain.is_effective || event_count > drain.event_count)
        {
            return Err(format!("sent to worker {worker}, which is draining"));
        }
        let Some(first) = self.attempts.iter().find(|a| a.may_have_run()) else { return Ok(()) };
        match self.class {
            JobClass::View => Ok(()),
            JobClass::Order => Err(format!("retried at worker {worker}, although the job may have run")),
            JobClass::Register if !rules.scope.includes_both(first.cell, cell) => Err(format!(
                "retried at worker {worker} outside the deduplication scope {}, but the job may have run",
                rules.scope.name()
            )),
            JobClass::Register
                if earliest_arrival > first.arrived_at + rules.dedup_window + TRANSIT_TOLERANCE =>
            {
                Err(format!("retried at worker {worker} after the deduplication window"))
            }
            JobClass::Register => Ok(()),
        }
    }

    /// Checks the response that the client has read. `after_sigterm` tells whether the node has received
    /// SIGTERM.
    pub fn check_response(
        &self,
        message: &HttpMessage,
        rules: JobRules,
        after_sigterm: bool,
    ) -> Result<(), String> {
        let status = message.status();
        match self.outcome {
            Outcome::Answered(earlier_status) => {
                return Err(format!("the client received {status} after {earlier_status}"));
            }
            Outcome::PartlyWritten if status == 408 || status == 400 => return Ok(()),
            // A node that shuts down and has answered all jobs does not read the rest of the request, so that
            // no worker has received it.
            Outcome::PartlyWritten if after_sigterm && status == 503 && self.attempts.is_empty() => {
                return Ok(());
            }
            Outcome::PartlyWritten => {
                return Err(format!("the client received {status} before the request was complete"));
            }
            _ => {}
        }
        let is_resubmission_safe = match self.class {
            JobClass::View => true,
            JobClass::Order => false,
            JobClass::Register => rules.scope == DedupScope::All,
        };
        match status {
            200 if !self.results.contains(&message.body) => Err(format!(
                "the client received a result that no worker reported for the job: {:?}",
                message.body
            )),
            429 | 503 if !is_resubmission_safe && self.attempts.iter().any(Attempt::may_have_run) => {
                Err("rejected, although an attempt may have run".into())
            }
            200 | 429 | 502 | 503 => Ok(()),
            _ => Err(format!("the client received the unexpected status {status}: {}", message.body)),
        }
    }

    /// Returns whether a worker still runs an attempt that was never cancelled.
    pub fn has_uncancelled_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.ended.is_none() && attempt.cancellation_count == 0)
    }

    /// Returns whether the client still waits, although the node was responsive at `responsive_since`, after
    /// the deadline.
    pub fn is_overdue(&self, responsive_since: Instant) -> bool {
        let is_past_deadline =
            |(sent, _): (Instant, _)| responsive_since > sent + self.deadline + LATE_RESPONSE_TOLERANCE;
        self.outcome == Outcome::Pending && self.sent_at.is_some_and(is_past_deadline)
    }
}
