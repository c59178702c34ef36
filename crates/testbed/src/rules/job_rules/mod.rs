//! Rules on jobs: [`Rule::OneAnswer`], [`Rule::OneEffect`], [`Rule::QuietDrain`] and [`Rule::GentleStart`].
//!
//! The checker reads the event log once. It keeps the requests, the endpoint notifications of each node, the
//! history of the nodes' processes and the work offered to each worker, each in a module of its own, and
//! checks the events against them.
//!
//! [`Rule::OneAnswer`]: super::Rule::OneAnswer
//! [`Rule::OneEffect`]: super::Rule::OneEffect
//! [`Rule::QuietDrain`]: super::Rule::QuietDrain
//! [`Rule::GentleStart`]: super::Rule::GentleStart

mod endpoint_notifications;
mod offered_work;
mod process_history;
mod requests;
mod violation;

use curlewusher_model::Timestamp;

use endpoint_notifications::EndpointNotifications;
use offered_work::OfferedWork;
use process_history::ProcessHistory;
use requests::{Attempt, AttemptOutcome, Failure, Request, Requests};
use violation::JobViolation;

use super::{RetryPolicy, RuleParameters, Violation, timeline};
use crate::event_log::{Event, Record};

/// Violation and the time for which it is reported.
struct TimedViolation<'log> {
    at: Timestamp,
    violation: JobViolation<'log>,
}

/// Recorded arrival of an attempt at a worker.
struct ArrivedAttempt<'log> {
    number: u64,
    request: &'log str,
    node: usize,
    worker: usize,
    cell: u32,
    /// Time at which the head of the attempt arrived.
    head_at: Timestamp,
}

/// Recorded arrival of a response at a client.
struct Response<'log> {
    request: &'log str,
    status: u16,
    /// Whether the response is a 200 with the result that a worker made for this request.
    has_own_result: bool,
}

/// State of the check while it reads the event log.
struct Checker<'log> {
    parameters: &'log RuleParameters,
    requests: Requests<'log>,
    endpoints: EndpointNotifications,
    processes: ProcessHistory,
    offered_work: OfferedWork,
    violations: Vec<TimedViolation<'log>>,
}

/// Returns the violations in order of their detection.
pub(super) fn check(records: &[Record], parameters: &RuleParameters) -> Vec<Violation> {
    let mut checker = Checker::new(parameters);
    for Record { at, event } in records {
        checker.observe(*at, event);
    }
    checker.check_missing_responses();
    checker.violations.iter().map(|violation| violation.describe(records)).collect()
}

impl TimedViolation<'_> {
    /// Converts the violation into its reported form.
    fn describe(&self, records: &[Record]) -> Violation {
        let timeline = match self.violation.request() {
            Some(request) => timeline::render_request_events(records, request),
            None => timeline::render_worker_events(records, self.at),
        };
        let description = self.violation.to_string();
        Violation { rule: self.violation.rule(), at: self.at, description, timeline }
    }
}

impl<'log> Checker<'log> {
    fn new(parameters: &'log RuleParameters) -> Self {
        Checker {
            parameters,
            requests: Requests::default(),
            endpoints: EndpointNotifications::default(),
            processes: ProcessHistory::default(),
            offered_work: OfferedWork::default(),
            violations: Vec::new(),
        }
    }

    fn observe(&mut self, at: Timestamp, event: &'log Event) {
        match event {
            Event::RequestSent { .. } | Event::ResponseReceived { .. } | Event::RequestFailed { .. } => {
                self.observe_request(at, event);
            }
            Event::AttemptArrived { attempt, id, node, worker, bay, work_seconds, head_at } => {
                self.offered_work.observe_arrival(at, *node, *worker, *work_seconds);
                let (number, node, worker, cell, head_at) = (*attempt, *node, *worker, *bay, *head_at);
                self.observe_arrival(
                    at,
                    &ArrivedAttempt { number, request: id, node, worker, cell, head_at },
                );
            }
            Event::AttemptRejected { attempt } | Event::AttemptReturned { attempt } => {
                self.requests.end_attempt(*attempt, AttemptOutcome::NeverRan);
            }
            Event::AttemptCompleted { attempt }
            | Event::AttemptLost { attempt }
            | Event::AttemptCancelled { attempt } => {
                self.requests.end_attempt(*attempt, AttemptOutcome::MayHaveRun);
            }
            Event::EndpointSent { .. } | Event::EndpointPublished { .. } | Event::DiscoveryChanged { .. } => {
                self.endpoints.observe(at, event);
            }
            Event::WorkerStarted { worker } => self.offered_work.observe_start(at, *worker),
            Event::WorkerOverloaded { worker } => self.check_gentle_start(at, *worker),
            Event::NodeExited { node, .. } => {
                self.processes.observe(at, event);
                self.endpoints.remove_node(*node);
            }
            Event::NodeTerminated { .. }
            | Event::ProcessExited { .. }
            | Event::UpgradeBegan { .. }
            | Event::SuccessorReady { .. }
            | Event::UpgradeEnded { .. }
            | Event::IdleClients { .. } => self.processes.observe(at, event),
            Event::AttemptAccepted { .. } | Event::AttemptStarted { .. } | Event::NodeReady { .. } => {}
            Event::ReadinessChanged { .. } | Event::AdminCommandEnded { .. } => {}
            Event::ConnectionsCounted { .. } | Event::Fault { .. } => {}
        }
    }

    fn observe_request(&mut self, at: Timestamp, event: &'log Event) {
        match event {
            Event::RequestSent { id, node, class, timeout, .. } => {
                let request = Request {
                    sent_at: at,
                    timeout: *timeout,
                    class: *class,
                    node: *node,
                    responses: 0,
                    failure: None,
                    attempts: Vec::new(),
                };
                self.requests.insert(id, request);
            }
            Event::ResponseReceived { id, status, has_own_result } => {
                let response = Response { request: id, status: *status, has_own_result: *has_own_result };
                self.check_response(at, &response);
            }
            Event::RequestFailed { id, reason, on_new_connection } => {
                if let Some(request) = self.requests.get_mut(id) {
                    let (reason, on_new_connection) = (*reason, *on_new_connection);
                    request.failure = Some(Failure { at, reason, on_new_connection });
                }
            }
            _ => {}
        }
    }

    fn observe_arrival(&mut self, at: Timestamp, arrived: &ArrivedAttempt<'log>) {
        self.requests.assign_attempt(arrived.number, arrived.request);
        self.check_one_effect(at, arrived);
        self.check_quiet_drain(at, arrived);
    }

    fn report(&mut self, at: Timestamp, violation: JobViolation<'log>) {
        self.violations.push(TimedViolation { at, violation });
    }

    fn check_one_effect(&mut self, at: Timestamp, arrived: &ArrivedAttempt<'log>) {
        let ArrivedAttempt { number, request: id, cell, .. } = *arrived;
        let Some(request) = self.requests.get_mut(id) else { return };
        let policy = self.parameters.classes[request.class];
        let problem = request.check_next_attempt(policy, cell, at, self.parameters.tolerance);
        request.attempts.push(Attempt::new(number, cell, at));
        if let Some(problem) = problem {
            self.report(at, JobViolation::ForbiddenAttempt { request: id, problem });
        }
    }

    fn check_quiet_drain(&mut self, at: Timestamp, arrived: &ArrivedAttempt<'log>) {
        let ArrivedAttempt { request, node, worker, head_at, .. } = *arrived;
        let Some(notified_at) = self.notification_time(node, worker) else { return };
        if head_at <= notified_at + self.parameters.max_stop_delay + self.parameters.tolerance {
            return;
        }
        let after = head_at - notified_at;
        self.report(at, JobViolation::SentToUnavailableWorker { request, node, worker, after });
    }

    /// Returns the time from which a node counts as notified that a worker is draining or has terminated.
    /// This is the earlier of two times: the time from which it counts as notified by the entry that it was
    /// sent, and the publication by discovery plus [`RuleParameters::max_notification_delay`].
    fn notification_time(&self, node: usize, worker: usize) -> Option<Timestamp> {
        let RuleParameters { max_notification_delay, successor_grace, .. } = *self.parameters;
        let sent_at = self.endpoints.unavailable_since(node, worker);
        let notified_by_entry =
            sent_at.map(|sent_at| self.processes.notification_time(node, sent_at, successor_grace));
        let published_at = self.endpoints.unavailability_published_at(worker);
        let notified_by_publication = published_at.map(|published_at| published_at + max_notification_delay);
        notified_by_entry.into_iter().chain(notified_by_publication).min()
    }

    fn check_response(&mut self, at: Timestamp, response: &Response<'log>) {
        let Response { request: id, status, has_own_result } = *response;
        let Some(request) = self.requests.get_mut(id) else { return };
        request.responses += 1;
        let responses = request.responses;
        let deadline = request.deadline();
        let may_have_run = request.may_have_run();
        let policy = self.parameters.classes[request.class];
        if responses > 1 {
            self.report(at, JobViolation::MultipleResponses { request: id, responses });
        }
        if status == 200 && !has_own_result {
            self.report(at, JobViolation::ForeignResult { request: id });
        }
        if at > deadline + self.parameters.response_tolerance {
            self.report(at, JobViolation::LateResponse { request: id, late_by: at - deadline });
        }
        if matches!(status, 429 | 503) && may_have_run && policy != RetryPolicy::Idempotent {
            self.report(at, JobViolation::RejectedAfterStart { request: id });
        }
    }

    /// Reports a worker's crash under overload if nodes that were notified of the worker's start sent at
    /// least two thirds of its work.
    fn check_gentle_start(&mut self, at: Timestamp, worker: usize) {
        let start = self.offered_work.started_at(worker);
        let is_notified = |node| self.endpoints.was_notified_of_start(node, worker, start);
        let work = self.offered_work.work_within(at, worker, self.parameters.overload_window, is_notified);
        if work.is_mostly_from_notified() {
            let seconds_from_notified = work.seconds_from_notified;
            self.report(at, JobViolation::OverloadedDuringWarmUp { worker, seconds_from_notified });
        }
    }

    /// Reports requests without a response, in order of sending, unless an event of their node allows it.
    fn check_missing_responses(&mut self) {
        let missing = self.requests.without_response().into_iter();
        let missing = missing
            .filter(|missing| !self.processes.allows_missing_response(missing.request, self.parameters));
        let violations = missing.map(|missing| {
            let (node, reason) = (missing.request.node, missing.request.failure_reason());
            let violation = JobViolation::MissingResponse { request: missing.id, node, reason };
            TimedViolation { at: missing.request.sent_at, violation }
        });
        self.violations.extend(violations);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/job_rules.rs"]
mod tests;
