//! The rules on jobs: one answer, one effect, quiet drain, gentle start.
//!
//! The checker goes through the event log once. It keeps the requests, what each node knows of the workers, the history
//! of the nodes' processes and the work offered to each worker, each in a module of its own, and judges by them.

mod endpoint_knowledge;
mod offered_work;
mod process_history;
mod requests;
mod violation;

use curlewusher_model::Timestamp;

use endpoint_knowledge::EndpointKnowledge;
use offered_work::OfferedWork;
use process_history::ProcessHistory;
use requests::{Attempt, AttemptEnd, Failure, Request, Requests};
use violation::JobViolation;

use super::{RepeatPolicy, RuleParameters, Violation, timeline};
use crate::event_log::{Event, Record};

/// A violation and the moment that it is reported for.
struct Finding<'log> {
    at: Timestamp,
    violation: JobViolation<'log>,
}

/// An attempt that arrived at a worker, as it was recorded.
struct ArrivedAttempt<'log> {
    number: u64,
    request: &'log str,
    node: usize,
    worker: usize,
    bay: u32,
    head_at: Timestamp,
}

/// A response that arrived at a client, as it was recorded.
struct Response<'log> {
    request: &'log str,
    status: u16,
    has_own_result: bool,
}

struct Checker<'log> {
    parameters: &'log RuleParameters,
    requests: Requests<'log>,
    endpoints: EndpointKnowledge,
    processes: ProcessHistory,
    offered_work: OfferedWork,
    findings: Vec<Finding<'log>>,
}

/// Returns the violations in the order of their detection.
pub(super) fn check(records: &[Record], parameters: &RuleParameters) -> Vec<Violation> {
    let mut checker = Checker::new(parameters);
    for Record { at, event } in records {
        checker.observe(*at, event);
    }
    checker.check_missing_responses();
    checker.findings.iter().map(|finding| finding.describe(records)).collect()
}

impl Finding<'_> {
    fn describe(&self, records: &[Record]) -> Violation {
        let timeline = match self.violation.request() {
            Some(request) => timeline::of_request(records, request),
            None => timeline::of_workers(records, self.at),
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
            endpoints: EndpointKnowledge::default(),
            processes: ProcessHistory::default(),
            offered_work: OfferedWork::default(),
            findings: Vec::new(),
        }
    }

    fn observe(&mut self, at: Timestamp, event: &'log Event) {
        match event {
            Event::RequestSent { .. } | Event::ResponseReceived { .. } | Event::RequestFailed { .. } => {
                self.observe_request(at, event);
            }
            Event::AttemptArrived { attempt, id, node, worker, bay, work_seconds, head_at } => {
                self.offered_work.observe_arrival(at, *node, *worker, *work_seconds);
                let (number, node, worker, bay, head_at) = (*attempt, *node, *worker, *bay, *head_at);
                self.observe_arrival(at, &ArrivedAttempt { number, request: id, node, worker, bay, head_at });
            }
            Event::AttemptRejected { attempt } | Event::AttemptReturned { attempt } => {
                self.requests.end_attempt(*attempt, AttemptEnd::NeverRan);
            }
            Event::AttemptCompleted { attempt }
            | Event::AttemptLost { attempt }
            | Event::AttemptCancelled { attempt } => {
                self.requests.end_attempt(*attempt, AttemptEnd::MayHaveRun);
            }
            Event::EndpointSent { .. } | Event::EndpointPublished { .. } | Event::DiscoveryChanged { .. } => {
                self.endpoints.observe(at, event);
            }
            Event::WorkerStarted { worker } => self.offered_work.observe_start(at, *worker),
            Event::WorkerOverloaded { worker } => self.check_gentle_start(at, *worker),
            Event::NodeExited { node, .. } => {
                self.processes.observe(at, event);
                self.endpoints.forget_node(*node);
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
        self.findings.push(Finding { at, violation });
    }

    fn check_one_effect(&mut self, at: Timestamp, arrived: &ArrivedAttempt<'log>) {
        let ArrivedAttempt { number, request: id, bay, .. } = *arrived;
        let Some(request) = self.requests.get_mut(id) else { return };
        let policy = self.parameters.classes[request.class];
        let problem = request.repeat_problem(policy, bay, at, self.parameters.slack);
        request.attempts.push(Attempt::new(number, bay, at));
        if let Some(problem) = problem {
            self.report(at, JobViolation::ForbiddenRepeat { request: id, problem });
        }
    }

    fn check_quiet_drain(&mut self, at: Timestamp, arrived: &ArrivedAttempt<'log>) {
        let ArrivedAttempt { request, node, worker, head_at, .. } = *arrived;
        let Some(bound_from) = self.bound_from(node, worker) else { return };
        if head_at <= bound_from + self.parameters.stop_within + self.parameters.slack {
            return;
        }
        let after = head_at - bound_from;
        self.report(at, JobViolation::SentToUnavailableWorker { request, node, worker, after });
    }

    /// From when a node must send nothing to a worker that is draining or has ended: since it was sent that, or since
    /// it counts as notified of what discovery has published, whichever is earlier.
    fn bound_from(&self, node: usize, worker: usize) -> Option<Timestamp> {
        let RuleParameters { notified_within, successor_grace, .. } = *self.parameters;
        let sent_at = self.endpoints.unavailable_since(node, worker);
        let bound_by_entry = sent_at.map(|sent_at| self.processes.bound_from(node, sent_at, successor_grace));
        let published_at = self.endpoints.unavailability_published_at(worker);
        let bound_by_publication = published_at.map(|published_at| published_at + notified_within);
        bound_by_entry.into_iter().chain(bound_by_publication).min()
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
            self.report(at, JobViolation::AnsweredRepeatedly { request: id, responses });
        }
        if status == 200 && !has_own_result {
            self.report(at, JobViolation::ForeignResult { request: id });
        }
        if at > deadline + self.parameters.answer_slack {
            self.report(at, JobViolation::LateResponse { request: id, late_by: at - deadline });
        }
        if matches!(status, 429 | 503) && may_have_run && policy != RepeatPolicy::Idempotent {
            self.report(at, JobViolation::RejectedAfterStart { request: id });
        }
    }

    /// A crash under overload is the nodes' fault if those that knew of the worker's start sent most of the work.
    fn check_gentle_start(&mut self, at: Timestamp, worker: usize) {
        let start = self.offered_work.started_at(worker);
        let is_informed = |node| self.endpoints.knows_start(node, worker, start);
        let work = self.offered_work.work_within(at, worker, self.parameters.fall_window, is_informed);
        if work.is_mostly_informed() {
            let informed_seconds = work.informed_seconds;
            self.report(at, JobViolation::OverloadedDuringWarmUp { worker, informed_seconds });
        }
    }

    /// Reports requests without a response for which there is no excuse, in the order of sending.
    fn check_missing_responses(&mut self) {
        let missing = self.requests.without_response().into_iter();
        let missing = missing.filter(|missing| !self.processes.excuses(missing.request, self.parameters));
        let findings = missing.map(|missing| {
            let (node, reason) = (missing.request.node, missing.request.failure_reason());
            let violation = JobViolation::MissingResponse { request: missing.id, node, reason };
            Finding { at: missing.request.sent_at, violation }
        });
        self.findings.extend(findings);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/job_rules.rs"]
mod tests;
