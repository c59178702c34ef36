//! Rules on operations: admin commands, drains of nodes, maintenance of workers, and upgrades.
//!
//! The checker reads the event log once and passes each event to the modules, each of which keeps the state
//! of one kind of operation.

mod admin_command;
mod maintenance;
mod node_drain;
mod upgrades;
mod violation;

use std::collections::HashMap;

use curlewusher_model::Timestamp;

use admin_command::AdminCommand;
use maintenance::{Maintenance, WorkerAtNode};
use node_drain::{ConnectionCount, DrainAction, NodeDrains};
use upgrades::Upgrades;
use violation::TimedViolation;

use super::operation_figures::OperationFigures;
use super::{RuleParameters, Violation};
use crate::event_log::{Event, FailureReason, Readiness, Record};

/// Result of the check: the violations in order of time, and the figures.
pub(super) struct OperationsCheck {
    pub(super) violations: Vec<Violation>,
    figures: OperationFigures,
}

/// Request of a client.
struct Request {
    job: usize,
    node: usize,
    /// Whether an attempt for the request has arrived at a worker.
    has_reached_worker: bool,
}

/// State of the check while it reads the event log.
struct Checker<'log> {
    parameters: &'log RuleParameters,
    requests: HashMap<&'log str, Request>,
    maintenance: Maintenance<'log>,
    drains: NodeDrains,
    upgrades: Upgrades,
    figures: OperationFigures,
    violations: Vec<TimedViolation<'log>>,
}

/// Checks the rules on operations, and computes the figures of operator actions.
pub(super) fn check(records: &[Record], parameters: &RuleParameters) -> OperationsCheck {
    let mut checker = Checker::new(parameters);
    for Record { at, event } in records {
        checker.observe(*at, event);
    }
    checker.finish(records.last().map_or(Timestamp::ZERO, |record| record.at))
}

/// Returns the figures of operator actions.
pub fn compute_operation_figures(records: &[Record], parameters: &RuleParameters) -> OperationFigures {
    check(records, parameters).figures
}

impl<'log> Checker<'log> {
    fn new(parameters: &'log RuleParameters) -> Self {
        Checker {
            parameters,
            requests: HashMap::new(),
            maintenance: Maintenance::default(),
            drains: NodeDrains::default(),
            upgrades: Upgrades::default(),
            figures: OperationFigures::default(),
            violations: Vec::new(),
        }
    }

    fn observe(&mut self, at: Timestamp, event: &'log Event) {
        match event {
            Event::RequestSent { id, job, node, .. } => {
                let request = Request { job: *job, node: *node, has_reached_worker: false };
                self.requests.insert(id, request);
            }
            Event::RequestFailed {
                id, reason: FailureReason::Reset | FailureReason::Unreachable, ..
            } => {
                self.count_harmed_job(at, id);
            }
            Event::RequestFailed { id, reason: FailureReason::NoNode, .. }
            | Event::ResponseReceived { id, status: 429 | 503, .. } => self.count_rejection(at, id),
            Event::AttemptArrived { id, node, worker, head_at, .. } => {
                self.observe_arrival(id, WorkerAtNode { node: *node, worker: *worker }, *head_at);
            }
            Event::AdminCommandEnded { node, command, expected, response, took } => {
                let (node, line, expected, response) =
                    (*node, command.as_str(), *expected, response.as_deref());
                let (begun_at, ended_at) = (at - *took, at);
                self.observe_command(&AdminCommand { node, line, expected, response, begun_at, ended_at });
            }
            Event::ReadinessChanged { node, readiness } => {
                if *readiness == Readiness::No {
                    self.upgrades.count_not_ready_response(at, *node);
                }
                self.drains.observe_readiness(at, *node, *readiness);
            }
            Event::ConnectionsCounted { node, idle, fresh } => {
                let connections = ConnectionCount { idle: *idle, fresh: *fresh };
                self.violations.extend(self.drains.check_drained(at, *node, connections));
            }
            Event::UpgradeBegan { .. }
            | Event::SuccessorReady { .. }
            | Event::ProcessExited { .. }
            | Event::UpgradeEnded { .. } => self.upgrades.observe(at, event),
            _ => {}
        }
    }

    /// Counts a job as harmed if its connection was refused or reset before any worker had the job.
    fn count_harmed_job(&mut self, at: Timestamp, id: &str) {
        if let Some(Request { job, node, has_reached_worker: false }) = self.requests.get(id) {
            self.upgrades.count_harmed_job(at, *node, *job);
        }
    }

    fn count_rejection(&mut self, at: Timestamp, id: &str) {
        if let Some(request) = self.requests.get(id) {
            self.upgrades.count_rejection(at, request.node);
        }
    }

    fn observe_arrival(&mut self, id: &'log str, target: WorkerAtNode, head_at: Timestamp) {
        if let Some(request) = self.requests.get_mut(id) {
            request.has_reached_worker = true;
        }
        self.maintenance.observe_arrival(id, target, head_at, self.parameters);
    }

    fn observe_command(&mut self, command: &AdminCommand<'log>) {
        let figures = self.figures.commands.entry(command.verb().to_owned()).or_default();
        figures.count += 1;
        figures.slowest_ms = figures.slowest_ms.max(command.duration().as_micros() as f64 / 1e3);
        let wrong_responses =
            [command.check_response_time(self.parameters.tolerance), command.check_response()]
                .into_iter()
                .flatten();
        self.violations
            .extend(wrong_responses.map(|violation| TimedViolation { at: command.ended_at, violation }));
        let (node, begun_at) = (command.node, command.begun_at);
        match (command.verb(), command.worker()) {
            ("DISABLE", Some(worker)) => self.maintenance.disable(command, worker),
            ("ENABLE", Some(worker)) => {
                let violations = self.maintenance.enable(begun_at, WorkerAtNode { node, worker });
                self.violations.extend(violations);
            }
            ("DRAIN", _) => self.drains.observe_command(begun_at, node, DrainAction::Begin),
            ("UNDRAIN", _) => self.drains.observe_command(begun_at, node, DrainAction::End),
            _ => {}
        }
    }

    /// Adds the violations that the end of the log shows: required events that have not occurred by then.
    fn finish(self, end: Timestamp) -> OperationsCheck {
        let Checker { parameters, maintenance, drains, upgrades, mut figures, mut violations, .. } = self;
        violations.extend(drains.finish(end, parameters.tolerance));
        violations.extend(maintenance.finish(end));
        let upgrades = upgrades.finish();
        violations.extend(upgrades.violations);
        figures.upgrades = upgrades.figures;
        violations.sort_by_key(|violation| violation.at);
        OperationsCheck { violations: violations.iter().map(TimedViolation::describe).collect(), figures }
    }
}
