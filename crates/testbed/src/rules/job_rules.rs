//! The rules on jobs: one answer, one effect, quiet drain, gentle start.
//!
//! The checker goes through the event log once and keeps the state of each request, of each worker as each node was
//! told of it, and of each node's processes.

use std::collections::HashMap;

use curlewusher_model::{TimeSpan, Timestamp};

use super::{RepeatPolicy, Rule, RuleParameters, UPGRADE_AFTERMATH, Violation, timeline};
use crate::event_log::{Event, FailureReason, Record};

/// Starts that differ by less than this are the same: the registry gives them in milliseconds.
const START_PRECISION: TimeSpan = TimeSpan::from_millis(2);
/// Later than any event, and far enough from the largest number that limits can be added.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX / 2);

struct Attempt {
    number: u64,
    bay: u32,
    arrived_at: Timestamp,
    is_outstanding: bool,
    may_have_run: bool,
}

struct Failure {
    at: Timestamp,
    reason: FailureReason,
}

struct Request {
    sent_at: Timestamp,
    timeout: TimeSpan,
    class: usize,
    node: usize,
    responses: usize,
    failure: Option<Failure>,
    attempts: Vec<Attempt>,
}

/// Work that arrived at a worker.
struct Arrival {
    at: Timestamp,
    node: usize,
    work_seconds: f64,
}

/// What a node was told of a worker last.
struct KnownEndpoint {
    /// Since when the node knows that the worker drains or has ended.
    unavailable_since: Option<Timestamp>,
    started_at: Timestamp,
}

struct NodeExit {
    at: Timestamp,
    killed: bool,
}

/// An upgrade, from its begin over the successor's first yes to its end.
struct UpgradeWindow {
    began_at: Timestamp,
    ready_at: Option<Timestamp>,
    ended_at: Option<Timestamp>,
}

struct Finding<'log> {
    rule: Rule,
    at: Timestamp,
    description: String,
    request: Option<&'log str>,
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

struct Checker<'log> {
    parameters: &'log RuleParameters,
    requests: HashMap<&'log str, Request>,
    request_by_attempt: HashMap<u64, &'log str>,
    /// By node and worker.
    endpoints: HashMap<(usize, usize), KnownEndpoint>,
    /// By worker that drains or has ended: when discovery had that and was up. None: it has not been up since.
    published: HashMap<usize, Option<Timestamp>>,
    is_discovery_down: bool,
    /// By worker.
    arrivals: HashMap<usize, Vec<Arrival>>,
    worker_starts: HashMap<usize, Timestamp>,
    /// By node, like all that follow.
    exits: HashMap<usize, Vec<NodeExit>>,
    sigterms: HashMap<usize, Vec<Timestamp>>,
    /// When the testbed killed one of the two processes of an upgrade.
    kills: HashMap<usize, Vec<Timestamp>>,
    upgrades: HashMap<usize, Vec<UpgradeWindow>>,
    findings: Vec<Finding<'log>>,
}

/// Returns the violations in the order of their detection.
pub(super) fn check(records: &[Record], parameters: &RuleParameters) -> Vec<Violation> {
    let mut checker = Checker::new(parameters);
    for Record { at, event } in records {
        checker.observe(*at, event);
    }
    checker.check_missing_responses();
    let to_violation = |finding: Finding| {
        let Finding { rule, at, description, request } = finding;
        let timeline = match request {
            Some(request) => timeline::of_request(records, request),
            None => timeline::of_workers(records, at),
        };
        Violation { rule, at, description, timeline }
    };
    checker.findings.into_iter().map(to_violation).collect()
}

impl<'log> Checker<'log> {
    fn new(parameters: &'log RuleParameters) -> Self {
        Checker {
            parameters,
            requests: HashMap::new(),
            request_by_attempt: HashMap::new(),
            endpoints: HashMap::new(),
            published: HashMap::new(),
            is_discovery_down: false,
            arrivals: HashMap::new(),
            worker_starts: HashMap::new(),
            exits: HashMap::new(),
            sigterms: HashMap::new(),
            kills: HashMap::new(),
            upgrades: HashMap::new(),
            findings: Vec::new(),
        }
    }

    fn observe(&mut self, at: Timestamp, event: &'log Event) {
        match event {
            Event::RequestSent { .. } | Event::ResponseReceived { .. } | Event::RequestFailed { .. } => {
                self.observe_request(at, event);
            }
            Event::AttemptArrived { attempt, id, node, worker, bay, work_seconds, head_at } => {
                let arrival = Arrival { at, node: *node, work_seconds: *work_seconds };
                self.arrivals.entry(*worker).or_default().push(arrival);
                let (number, node, worker, bay, head_at) = (*attempt, *node, *worker, *bay, *head_at);
                self.observe_arrival(at, ArrivedAttempt { number, request: id, node, worker, bay, head_at });
            }
            Event::AttemptRejected { attempt } | Event::AttemptReturned { attempt } => {
                self.end_attempt(*attempt, false);
            }
            Event::AttemptCompleted { attempt }
            | Event::AttemptLost { attempt }
            | Event::AttemptCancelled { attempt } => self.end_attempt(*attempt, true),
            Event::EndpointSent { node, worker, in_service, started_at } => {
                let known = self.endpoints.get(&(*node, *worker));
                let since = known.and_then(|known| known.unavailable_since).or(Some(at));
                let unavailable_since = if *in_service { None } else { since };
                let known = KnownEndpoint { unavailable_since, started_at: *started_at };
                self.endpoints.insert((*node, *worker), known);
            }
            Event::EndpointPublished { worker, in_service: true } => _ = self.published.remove(worker),
            Event::EndpointPublished { worker, in_service: false } => {
                let since = (!self.is_discovery_down).then_some(at);
                self.published.entry(*worker).or_insert(since);
            }
            Event::DiscoveryChanged { is_down } => {
                self.is_discovery_down = *is_down;
                if !is_down {
                    self.published.values_mut().for_each(|since| _ = since.get_or_insert(at));
                }
            }
            Event::WorkerStarted { worker } => _ = self.worker_starts.insert(*worker, at),
            Event::WorkerOverloaded { worker } => self.check_gentle_start(at, *worker),
            Event::NodeExited { node, killed } => {
                self.exits.entry(*node).or_default().push(NodeExit { at, killed: *killed });
                // Its next process has been told nothing.
                self.endpoints.retain(|(of, _), _| of != node);
            }
            Event::NodeTerminated { node } => self.sigterms.entry(*node).or_default().push(at),
            Event::ProcessExited { .. }
            | Event::UpgradeBegan { .. }
            | Event::SuccessorReady { .. }
            | Event::UpgradeEnded { .. } => self.observe_upgrade(at, event),
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
                self.check_response(at, id, *status, *has_own_result);
            }
            Event::RequestFailed { id, reason } => {
                if let Some(request) = self.requests.get_mut(id.as_str()) {
                    request.failure = Some(Failure { at, reason: *reason });
                }
            }
            _ => {}
        }
    }

    fn observe_upgrade(&mut self, at: Timestamp, event: &Event) {
        match event {
            Event::ProcessExited { node, killed: true, .. } => self.kills.entry(*node).or_default().push(at),
            Event::UpgradeBegan { node } => {
                let window = UpgradeWindow { began_at: at, ready_at: None, ended_at: None };
                self.upgrades.entry(*node).or_default().push(window);
            }
            Event::SuccessorReady { node } => {
                if let Some(window) = self.last_upgrade(*node) {
                    window.ready_at = Some(at);
                }
            }
            Event::UpgradeEnded { node } => {
                if let Some(window) = self.last_upgrade(*node) {
                    window.ended_at = Some(at);
                }
            }
            _ => {}
        }
    }

    fn report(&mut self, rule: Rule, at: Timestamp, request: Option<&'log str>, description: String) {
        self.findings.push(Finding { rule, at, description, request });
    }

    fn last_upgrade(&mut self, node: usize) -> Option<&mut UpgradeWindow> {
        self.upgrades.get_mut(&node)?.last_mut()
    }

    fn end_attempt(&mut self, number: u64, may_have_run: bool) {
        let Some(request) = self.request_by_attempt.get(&number).and_then(|id| self.requests.get_mut(id))
        else {
            return;
        };
        if let Some(attempt) = request.attempts.iter_mut().find(|attempt| attempt.number == number) {
            attempt.is_outstanding = false;
            attempt.may_have_run &= may_have_run;
        }
    }

    fn observe_arrival(&mut self, at: Timestamp, arrived: ArrivedAttempt<'log>) {
        self.request_by_attempt.insert(arrived.number, arrived.request);
        self.check_one_effect(at, &arrived);
        self.check_quiet_drain(at, &arrived);
    }

    fn check_one_effect(&mut self, at: Timestamp, arrived: &ArrivedAttempt<'log>) {
        let ArrivedAttempt { number, request: id, bay, .. } = *arrived;
        let Some(request) = self.requests.get_mut(id) else { return };
        let policy = self.parameters.classes[request.class];
        let problem = repeat_problem(request, policy, bay, at, self.parameters.slack);
        request.attempts.push(Attempt {
            number,
            bay,
            arrived_at: at,
            is_outstanding: true,
            may_have_run: true,
        });
        if let Some(problem) = problem {
            self.report(Rule::OneEffect, at, Some(id), format!("{id} went out {problem}"));
        }
    }

    fn check_quiet_drain(&mut self, at: Timestamp, arrived: &ArrivedAttempt<'log>) {
        let ArrivedAttempt { request: id, node, worker, head_at, .. } = *arrived;
        let known = self.endpoints.get(&(node, worker));
        let told_at = known.and_then(|known| known.unavailable_since);
        let told_since = told_at.map(|told_at| self.binding_since(node, told_at));
        let notified_since = self.published.get(&worker).copied().flatten();
        let notified_since = notified_since.map(|since| since + self.parameters.notified_within);
        let Some(binding_since) = told_since.into_iter().chain(notified_since).min() else { return };
        if head_at <= binding_since + self.parameters.stop_within + self.parameters.slack {
            return;
        }
        let after = (head_at - binding_since).as_millis();
        let description = format!(
            "node {node} sent {id} to worker {worker} {after} ms after it was told of its drain or end, or counted as told"
        );
        self.report(Rule::QuietDrain, at, Some(id), description);
    }

    /// From when a node is bound by what it was told: in an upgrade the successor has a grace from its first yes.
    fn binding_since(&self, node: usize, told_at: Timestamp) -> Timestamp {
        let Some(upgrade) = self.upgrades.get(&node).and_then(|upgrades| upgrades.last()) else {
            return told_at;
        };
        if told_at < upgrade.began_at {
            return told_at;
        }
        match (upgrade.ready_at, upgrade.ended_at) {
            (Some(ready_at), _) => told_at.max(ready_at + self.parameters.successor_grace),
            (None, Some(_)) => told_at,
            (None, None) => NEVER,
        }
    }

    fn check_response(&mut self, at: Timestamp, id: &'log str, status: u16, has_own_result: bool) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.responses += 1;
        let responses = request.responses;
        let deadline = request.sent_at + request.timeout;
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
        let policy = self.parameters.classes[request.class];
        if responses > 1 {
            self.report(Rule::OneAnswer, at, Some(id), format!("{id} was answered {responses} times"));
        }
        if status == 200 && !has_own_result {
            let description = format!("{id} was served with something that no worker made for it");
            self.report(Rule::OneAnswer, at, Some(id), description);
        }
        if at > deadline + self.parameters.answer_slack {
            let late = (at - deadline).as_millis();
            let description = format!("{id} was answered {late} ms after its time");
            self.report(Rule::OneAnswer, at, Some(id), description);
        }
        if matches!(status, 429 | 503) && may_have_run && policy != RepeatPolicy::Idempotent {
            let description = format!("{id} was refused, which calls a repeat harmless, and may have run");
            self.report(Rule::OneEffect, at, Some(id), description);
        }
    }

    /// A crash under overload is the nodes' fault if those that knew of the worker's start sent most of the work.
    fn check_gentle_start(&mut self, at: Timestamp, worker: usize) {
        let start = self.worker_starts.get(&worker).copied().unwrap_or_default();
        let window = self.parameters.fall_window;
        let (mut informed_seconds, mut uninformed_seconds) = (0.0, 0.0);
        let arrivals = self.arrivals.get(&worker).into_iter().flatten();
        for arrival in arrivals.filter(|arrival| arrival.at + window >= at) {
            let known = self.endpoints.get(&(arrival.node, worker));
            if known.is_some_and(|known| known.started_at.abs_diff(start) < START_PRECISION) {
                informed_seconds += arrival.work_seconds;
            } else {
                uninformed_seconds += arrival.work_seconds;
            }
        }
        if informed_seconds >= 2.0 * uninformed_seconds && informed_seconds > 0.0 {
            let description = format!(
                "worker {worker}, just started, was sent {informed_seconds:.1} s of work by nodes that knew"
            );
            self.report(Rule::GentleStart, at, None, description);
        }
    }

    /// Reports requests without a response for which there is no excuse, in the order of sending.
    fn check_missing_responses(&mut self) {
        let mut missing: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.responses == 0 && request.has_reached_node())
            .filter(|(_, request)| !self.is_excused_by_upgrade(request) && !self.is_excused_by_exit(request))
            .map(|(id, request)| (request.sent_at, *id))
            .collect();
        // The map's iteration order differs between runs.
        missing.sort_unstable();
        for (sent_at, id) in missing {
            let Request { node, failure, .. } = &self.requests[id];
            let reason = failure.as_ref().map(|failure| failure.reason);
            let description = format!("{id} had no answer from node {node}: {reason:?}");
            self.report(Rule::OneAnswer, sent_at, Some(id), description);
        }
    }

    /// Whether the connection ended in an upgrade in a way that another rule accounts for: the node reset it without
    /// reading the request, or it ended with the process that the testbed killed. The other process must still respond
    /// to its own requests.
    fn is_excused_by_upgrade(&self, request: &Request) -> bool {
        let Some(Failure { at, reason }) = request.failure else { return false };
        if !matches!(reason, FailureReason::Reset | FailureReason::Closed) {
            return false;
        }
        let is_within = |window: &UpgradeWindow| {
            window.began_at <= at && window.ended_at.is_none_or(|ended_at| at <= ended_at + UPGRADE_AFTERMATH)
        };
        let in_upgrade = self.upgrades.get(&request.node).into_iter().flatten().any(is_within);
        let was_unread = reason == FailureReason::Reset && request.attempts.is_empty();
        let mut kills = self.kills.get(&request.node).into_iter().flatten();
        in_upgrade && was_unread || kills.any(|kill| kill.abs_diff(at) <= UPGRADE_AFTERMATH)
    }

    /// Whether the node exited while the request was open: a killed one may lose it; another one only if the request was
    /// sent later than the grace after SIGTERM.
    fn is_excused_by_exit(&self, request: &Request) -> bool {
        let Request { sent_at, node, .. } = *request;
        let open = sent_at..=sent_at + request.timeout + self.parameters.slack;
        let exits = self.exits.get(&node).into_iter().flatten();
        exits.filter(|exit| open.contains(&exit.at)).any(|exit| {
            let sigterms = self.sigterms.get(&node).into_iter().flatten();
            let sigterm = sigterms.copied().rfind(|sigterm| *sigterm <= exit.at);
            let sent_late = sigterm.is_some_and(|sigterm| sent_at > sigterm + self.parameters.drain_grace);
            exit.killed || sent_late
        })
    }
}

impl Request {
    fn has_reached_node(&self) -> bool {
        let reason = self.failure.as_ref().map(|failure| failure.reason);
        !matches!(reason, Some(FailureReason::Unreachable | FailureReason::NoNode))
    }
}

/// What is wrong with another attempt that arrives now, if anything.
fn repeat_problem(
    request: &Request,
    policy: RepeatPolicy,
    bay: u32,
    now: Timestamp,
    slack: TimeSpan,
) -> Option<String> {
    if request.attempts.iter().any(|attempt| attempt.is_outstanding) {
        return Some("while an attempt of it was out".into());
    }
    let first = request.attempts.iter().find(|attempt| attempt.may_have_run)?;
    match policy {
        RepeatPolicy::Idempotent => None,
        RepeatPolicy::NonIdempotent => Some("again and may have run; its class allows no repeat".into()),
        RepeatPolicy::IdempotentWithKey { .. } if first.bay != bay => {
            Some(format!("again in bay {bay} and may have run in bay {}", first.bay))
        }
        RepeatPolicy::IdempotentWithKey { window } => {
            let is_late = now > first.arrived_at + window + slack;
            is_late.then(|| "again after the time in which its bay drops repeats".into())
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/job_rules.rs"]
mod tests;
