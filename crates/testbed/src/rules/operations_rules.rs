//! The rules on operations: admin commands, drains of nodes, maintenance of workers, and upgrades.

use std::collections::{BTreeMap, HashMap, HashSet};

use curlewusher_model::{TimeSpan, Timestamp};

use super::operation_figures::{OperationFigures, UpgradeFigures};
use super::{Rule, RuleParameters, UPGRADE_AFTERMATH, Violation};
use crate::event_log::{Event, ExpectedAnswer, FailureReason, Readiness, Record};

/// An admin command is answered within this; a disabled worker is out of use this long after the command at the latest.
const ANSWER_WITHIN: TimeSpan = TimeSpan::from_secs(1);
/// A node is ready this long after the end of its drain.
const READY_AFTER_DRAIN_WITHIN: TimeSpan = TimeSpan::from_secs(2);
/// A worker that is enabled again is used within this.
const USED_WITHIN: TimeSpan = TimeSpan::from_secs(5);
/// Over so many attempts for each worker, each worker should have had one.
const ATTEMPTS_PER_WORKER: usize = 4;
/// Number of jobs that an upgrade may harm.
const MAX_HARMED_JOBS: usize = 2;

/// Violations in the order of time, and the figures.
pub(super) struct OperationsCheck {
    pub(super) violations: Vec<Violation>,
    figures: OperationFigures,
}

struct Request {
    job: usize,
    node: usize,
    has_reached_worker: bool,
}

#[derive(Default)]
struct UpgradeWindow {
    began_at: Timestamp,
    ended_at: Option<Timestamp>,
    harmed_jobs: HashSet<usize>,
    figures: UpgradeFigures,
}

/// Work that a disabled worker got. Its violation stands unless an ENABLE turns out to have begun before; that command
/// is on record at its end only.
struct Suspect {
    head_at: Timestamp,
    description: String,
}

struct EnabledWorker {
    since: Timestamp,
    /// Attempts since then, by worker.
    attempts: HashMap<usize, usize>,
}

struct ReadinessSample {
    at: Timestamp,
    readiness: Readiness,
}

struct DrainCommand {
    begun_at: Timestamp,
    /// DRAIN, as opposed to UNDRAIN.
    is_drain: bool,
}

/// An admin command that has ended.
struct AdminCommand<'log> {
    node: usize,
    line: &'log str,
    expected: ExpectedAnswer,
    answer: Option<&'log str>,
    took: TimeSpan,
}

/// A worker as one node has it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct WorkerAtNode {
    node: usize,
    worker: usize,
}

struct Checker<'log> {
    parameters: &'log RuleParameters,
    violations: Vec<Violation>,
    figures: OperationFigures,
    /// By node, oldest first.
    upgrades: BTreeMap<usize, Vec<UpgradeWindow>>,
    requests: HashMap<&'log str, Request>,
    /// From when a disabled worker must get nothing.
    disabled: HashMap<WorkerAtNode, Timestamp>,
    suspects: HashMap<WorkerAtNode, Vec<Suspect>>,
    /// By worker.
    enabled: BTreeMap<usize, EnabledWorker>,
    used_workers: HashSet<usize>,
    /// By node.
    readiness: HashMap<usize, Vec<ReadinessSample>>,
    /// By node.
    drains: HashMap<usize, Vec<DrainCommand>>,
}

/// Checks the rules on operations.
pub(super) fn check(records: &[Record], parameters: &RuleParameters) -> OperationsCheck {
    let mut checker = Checker::new(parameters);
    for Record { at, event } in records {
        checker.observe(*at, event);
    }
    checker.finish(records.last().map_or(Timestamp::ZERO, |record| record.at));
    let Checker { mut violations, figures, .. } = checker;
    violations.sort_by_key(|violation| violation.at);
    OperationsCheck { violations, figures }
}

/// Returns the figures of operators' work.
pub fn operation_figures(records: &[Record], parameters: &RuleParameters) -> OperationFigures {
    check(records, parameters).figures
}

impl<'log> Checker<'log> {
    fn new(parameters: &'log RuleParameters) -> Self {
        Checker {
            parameters,
            violations: Vec::new(),
            figures: OperationFigures::default(),
            upgrades: BTreeMap::new(),
            requests: HashMap::new(),
            disabled: HashMap::new(),
            suspects: HashMap::new(),
            enabled: BTreeMap::new(),
            used_workers: HashSet::new(),
            readiness: HashMap::new(),
            drains: HashMap::new(),
        }
    }

    fn observe(&mut self, at: Timestamp, event: &'log Event) {
        match event {
            Event::RequestSent { id, job, node, .. } => {
                let request = Request { job: *job, node: *node, has_reached_worker: false };
                self.requests.insert(id, request);
            }
            Event::RequestFailed { id, reason: FailureReason::Reset | FailureReason::Unreachable } => {
                self.count_harmed_job(at, id);
            }
            Event::RequestFailed { id, reason: FailureReason::NoNode }
            | Event::ResponseReceived { id, status: 429 | 503, .. } => self.count_rejection(at, id),
            Event::AttemptArrived { id, node, worker, head_at, .. } => {
                self.observe_arrival(id, WorkerAtNode { node: *node, worker: *worker }, *head_at);
            }
            Event::AdminCommandEnded { node, command, expected, answer, took } => {
                let (node, line, expected, took) = (*node, command.as_str(), *expected, *took);
                let command = AdminCommand { node, line, expected, answer: answer.as_deref(), took };
                self.observe_command(at, &command);
            }
            Event::ReadinessChanged { node, readiness } => self.observe_readiness(at, *node, *readiness),
            Event::ConnectionsCounted { node, idle, fresh } => {
                self.check_drained_connections(at, *node, *idle, *fresh);
            }
            Event::UpgradeBegan { node } => {
                let figures =
                    UpgradeFigures { node: *node, at_s: at.as_secs_f64(), ..UpgradeFigures::default() };
                let window = UpgradeWindow { began_at: at, figures, ..UpgradeWindow::default() };
                self.upgrades.entry(*node).or_default().push(window);
            }
            Event::SuccessorReady { node }
            | Event::ProcessExited { node, .. }
            | Event::UpgradeEnded { node } => self.observe_upgrade_step(at, *node, event),
            _ => {}
        }
    }

    fn report(&mut self, rule: Rule, at: Timestamp, description: String) {
        self.violations.push(Violation::without_events(rule, at, description));
    }

    /// The upgrade of a node that was in progress at a moment, or had just ended.
    fn upgrade_at(&mut self, node: usize, at: Timestamp) -> Option<&mut UpgradeWindow> {
        let last = self.upgrades.get_mut(&node)?.last_mut()?;
        last.ended_at.is_none_or(|ended_at| at <= ended_at + UPGRADE_AFTERMATH).then_some(last)
    }

    fn count_harmed_job(&mut self, at: Timestamp, id: &str) {
        let Some(Request { job, node, has_reached_worker: false }) = self.requests.get(id) else { return };
        let (job, node) = (*job, *node);
        if let Some(window) = self.upgrade_at(node, at) {
            window.harmed_jobs.insert(job);
        }
    }

    fn count_rejection(&mut self, at: Timestamp, id: &str) {
        let Some(node) = self.requests.get(id).map(|request| request.node) else { return };
        if let Some(window) = self.upgrade_at(node, at) {
            window.figures.rejected += 1;
        }
    }

    fn observe_upgrade_step(&mut self, at: Timestamp, node: usize, event: &Event) {
        let Some(window) = self.upgrade_at(node, at) else { return };
        let elapsed_s = (at - window.began_at).as_secs_f64();
        match event {
            Event::SuccessorReady { .. } => window.figures.ready_s = Some(elapsed_s),
            Event::ProcessExited { killed, .. } => window.figures.killed |= killed,
            Event::UpgradeEnded { .. } => {
                window.ended_at = Some(at);
                window.figures.ended_s = Some(elapsed_s);
            }
            _ => {}
        }
    }

    fn observe_arrival(&mut self, id: &str, target: WorkerAtNode, head_at: Timestamp) {
        let WorkerAtNode { node, worker } = target;
        if let Some(request) = self.requests.get_mut(id) {
            request.has_reached_worker = true;
        }
        self.used_workers.insert(worker);
        for enabled in self.enabled.values_mut() {
            if (enabled.since..enabled.since + USED_WITHIN).contains(&head_at) {
                *enabled.attempts.entry(worker).or_default() += 1;
            }
        }
        let Some(since) = self.disabled.get(&target).copied() else { return };
        let limit = since + self.parameters.stop_within + self.parameters.slack;
        if head_at > limit {
            let late = (head_at - limit).as_millis();
            let description =
                format!("node {node} sent {id} to worker {worker}, which is out, {late} ms too late");
            self.suspects.entry(target).or_default().push(Suspect { head_at, description });
        }
    }

    fn observe_readiness(&mut self, at: Timestamp, node: usize, readiness: Readiness) {
        if readiness == Readiness::No
            && let Some(window) = self.upgrade_at(node, at)
        {
            window.figures.not_ready_answers += 1;
        }
        self.readiness.entry(node).or_default().push(ReadinessSample { at, readiness });
    }

    fn readiness_at(&self, node: usize, at: Timestamp) -> Readiness {
        let samples = self.readiness.get(&node).into_iter().flatten();
        let last = samples.take_while(|sample| sample.at <= at).last();
        last.map_or(Readiness::Nothing, |sample| sample.readiness)
    }

    fn check_drained_connections(&mut self, at: Timestamp, node: usize, idle: usize, fresh: usize) {
        if idle + fresh > 0 {
            let description = format!(
                "node {node}, 4 s after its drain: {idle} clients' connections idle, \
                 {fresh} with a job of the last 2 s"
            );
            self.report(Rule::NodeDrain, at, description);
        }
        if self.readiness_at(node, at) == Readiness::Yes {
            let description = format!("node {node} says yes 4 s after the call of its drain");
            self.report(Rule::NodeDrain, at, description);
        }
    }

    fn observe_command(&mut self, at: Timestamp, command: &AdminCommand) {
        let verb = command.verb();
        let figures = self.figures.commands.entry(verb.to_owned()).or_default();
        figures.count += 1;
        figures.slowest_ms = figures.slowest_ms.max(command.took.as_micros() as f64 / 1e3);
        self.check_answer(at, command);
        let (node, begun_at) = (command.node, at - command.took);
        match (verb, command.worker()) {
            ("DISABLE", Some(worker)) if !command.is_refused() => {
                let limit = begun_at + ANSWER_WITHIN;
                let since = if command.is_confirmed() { at.min(limit) } else { limit };
                self.disabled.entry(WorkerAtNode { node, worker }).or_insert(since);
                self.enabled.remove(&worker);
            }
            ("ENABLE", Some(worker)) => self.enable_worker(begun_at, WorkerAtNode { node, worker }),
            ("DRAIN", _) => {
                self.drains.entry(node).or_default().push(DrainCommand { begun_at, is_drain: true });
            }
            ("UNDRAIN", _) => {
                self.drains.entry(node).or_default().push(DrainCommand { begun_at, is_drain: false });
            }
            _ => {}
        }
    }

    fn check_answer(&mut self, at: Timestamp, command: &AdminCommand) {
        let AdminCommand { node, line, expected, answer, took } = *command;
        if answer.is_some() && took > ANSWER_WITHIN + self.parameters.slack {
            let description = format!("node {node} answered {line} after {} ms", took.as_millis());
            self.report(Rule::Console, at, description);
        }
        if !command.has_expected_answer() {
            let answer = answer.map_or("nothing".into(), |answer| format!("{answer:?}"));
            let description = format!("node {node} said {answer} to {line}; {expected:?} was owed");
            self.report(Rule::Console, at, description);
        }
    }

    /// From its begin on, a command to enable a worker justifies work for it.
    fn enable_worker(&mut self, begun_at: Timestamp, target: WorkerAtNode) {
        self.disabled.remove(&target);
        for suspect in self.suspects.remove(&target).unwrap_or_default() {
            if suspect.head_at < begun_at {
                self.report(Rule::Maintenance, suspect.head_at, suspect.description);
            }
        }
        if self.used_workers.contains(&target.worker) {
            let enabled = EnabledWorker { since: begun_at, attempts: HashMap::new() };
            self.enabled.insert(target.worker, enabled);
        }
    }

    /// Reports what has not happened by the end of the log.
    fn finish(&mut self, end: Timestamp) {
        self.check_readiness_after_drains(end);
        for suspect in std::mem::take(&mut self.suspects).into_values().flatten() {
            self.report(Rule::Maintenance, suspect.head_at, suspect.description);
        }
        self.check_use_of_enabled_workers(end);
        self.finish_upgrades();
    }

    fn check_readiness_after_drains(&mut self, end: Timestamp) {
        let mut late = Vec::new();
        for (node, commands) in &self.drains {
            for (index, undrain) in commands.iter().enumerate().filter(|(_, command)| !command.is_drain) {
                let limit = undrain.begun_at + READY_AFTER_DRAIN_WITHIN + self.parameters.slack;
                let has_next = commands.get(index + 1).is_some_and(|next| next.begun_at <= limit);
                if limit <= end && !has_next && self.readiness_at(*node, limit) != Readiness::Yes {
                    late.push((limit, *node));
                }
            }
        }
        for (at, node) in late {
            let description = format!("node {node} says no yes 2 s after the end of its drain was called");
            self.report(Rule::NodeDrain, at, description);
        }
    }

    fn check_use_of_enabled_workers(&mut self, end: Timestamp) {
        let enough_attempts = ATTEMPTS_PER_WORKER * self.used_workers.len();
        for (worker, EnabledWorker { since, attempts }) in std::mem::take(&mut self.enabled) {
            let limit = since + USED_WITHIN;
            let has_enough_attempts = attempts.values().sum::<usize>() >= enough_attempts;
            if limit <= end && has_enough_attempts && !attempts.contains_key(&worker) {
                let description =
                    format!("worker {worker} was used before, and not for 5 s after it was called back");
                self.report(Rule::Maintenance, limit, description);
            }
        }
    }

    fn finish_upgrades(&mut self) {
        for window in std::mem::take(&mut self.upgrades).into_values().flatten() {
            let UpgradeWindow { began_at, harmed_jobs, mut figures, .. } = window;
            figures.harmed = harmed_jobs.len();
            if figures.harmed > MAX_HARMED_JOBS && !figures.killed {
                let description = format!(
                    "an upgrade of node {} harmed {} jobs by refused or reset connections; \
                     {MAX_HARMED_JOBS} are allowed",
                    figures.node, figures.harmed
                );
                self.report(Rule::Upgrade, began_at, description);
            }
            self.figures.upgrades.push(figures);
        }
        self.figures.upgrades.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }
}

impl AdminCommand<'_> {
    fn verb(&self) -> &str {
        self.line.split_whitespace().next().unwrap_or_default()
    }

    /// The worker that the command names, if it is one of the testbed's.
    fn worker(&self) -> Option<usize> {
        self.line.split_whitespace().nth(1)?.strip_prefix("w-")?.parse().ok()
    }

    fn is_confirmed(&self) -> bool {
        self.answer.is_some_and(|answer| answer.starts_with("+OK"))
    }

    fn is_refused(&self) -> bool {
        self.answer.is_some_and(|answer| answer.starts_with("-ERR"))
    }

    fn has_expected_answer(&self) -> bool {
        match self.expected {
            ExpectedAnswer::Yes => self.is_confirmed(),
            ExpectedAnswer::No => self.is_refused(),
            ExpectedAnswer::Either => self.is_confirmed() || self.is_refused(),
        }
    }
}
