//! Environment of a node with random but valid events. All speeds are 1, so that the checker can bound the
//! capacity. Service times are not modelled beyond that.

use crate::checker::{CheckResult, Checker};
use crate::common::*;

/// Interval between two steps of the environment.
const STEP: TimeSpan = millis(5);

#[derive(Clone, Copy)]
struct InFlightAttempt {
    job: JobId,
    attempt: u32,
    /// Time at which the start was reported.
    started_at: Option<Timestamp>,
}

pub struct Environment {
    rng: fastrand::Rng,
    node: TestNode,
    checker: Checker,
    submitted_jobs: u64,
    in_flight: Vec<InFlightAttempt>,
}

fn sample_settings(rng: &mut fastrand::Rng) -> Settings {
    let scopes = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
    let scope = scopes[rng.usize(0..3)];
    let mut settings = settings();
    settings.classes[1].idempotency = Idempotency::WithKey { scope, window: seconds(rng.u64(0..8)) };
    settings.nodes = if rng.bool() { rng.u32(1..4) } else { rng.u32(8..40) };
    settings.node_index = rng.u32(0..settings.nodes);
    settings.may_cancel = rng.bool();
    settings.may_hedge = rng.bool();
    settings.may_gossip = rng.bool();
    settings.endpoints_on_request = rng.bool();
    settings.max_attempts = rng.u32(1..12);
    settings.tenant_quotas = if rng.bool() { vec![3.0] } else { Vec::new() };
    settings.classes[0].required_kind = rng.bool().then_some(KindId(1));
    settings
}

impl Environment {
    pub fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = sample_settings(&mut rng);
        let node = TestNode::without_endpoints(settings.clone(), seed);
        Environment { rng, node, checker: Checker::new(settings), submitted_jobs: 0, in_flight: Vec::new() }
    }

    fn handle(&mut self, event: Event) -> CheckResult {
        for action in self.node.handle(event) {
            self.checker.check(self.node.now, &action)?;
            if let Action::SendAttempt { job, .. } = action {
                let attempt = self.checker.jobs[&job].attempts.len() as u32 - 1;
                self.in_flight.push(InFlightAttempt { job, attempt, started_at: None });
            }
        }
        Ok(())
    }

    /// Delivers an endpoint list or changes to it.
    pub fn change_endpoints(&mut self) -> CheckResult {
        let snapshot = self.rng.bool();
        let mut endpoints = Vec::new();
        let max_workers = if self.rng.bool() { 7 } else { 30 };
        for id in 0..self.rng.u64(0..max_workers) {
            let mut entry = endpoint(id);
            entry.zone = ZoneId(id as u32 / 4);
            entry.kind = KindId(self.rng.u32(0..2));
            let statuses = [WorkerStatus::Ready, WorkerStatus::Draining, WorkerStatus::Removed];
            let status_count = if snapshot { 2 } else { 3 };
            entry.status = statuses[self.rng.usize(0..status_count).min(self.rng.usize(0..3))];
            let started_at =
                self.checker.endpoints.get(&entry.worker).map_or(Timestamp::ORIGIN, |old| old.started_at);
            entry.started_at = if self.rng.u8(0..4) == 0 { self.node.now } else { started_at };
            endpoints.push(entry);
        }
        if snapshot {
            self.checker.endpoints.clear();
        }
        for entry in &endpoints {
            match entry.status {
                WorkerStatus::Removed => _ = self.checker.endpoints.remove(&entry.worker),
                _ => _ = self.checker.endpoints.insert(entry.worker, entry.clone()),
            }
        }
        self.handle(Event::EndpointsChanged { endpoints: &endpoints, update: endpoint_update(snapshot) })
    }

    /// Advances the time by one step, with at most one external event.
    pub fn step(&mut self) -> CheckResult {
        self.node.now += STEP;
        match self.rng.u32(0..100) {
            0..2 => self.change_endpoints()?,
            2..30 => self.submit_job()?,
            30..33 => {
                let data: Vec<u8> = (0..self.rng.usize(0..40)).map(|_| self.rng.u8(..)).collect();
                let from = self.rng.u32(0..5);
                self.handle(Event::GossipReceived { from, data: &data })?;
            }
            33 => self.handle(Event::WatchFailed)?,
            34..36 if self.submitted_jobs > 0 => self.disconnect_client()?,
            36 => self.change_maintenance()?,
            _ => {}
        }
        self.advance_attempts()?;
        self.handle(Event::TimerExpired)?;
        self.checker.check_all_answered(self.node.now)
    }

    fn submit_job(&mut self) -> CheckResult {
        let class = self.rng.usize(0..3);
        let work = 0.02 + self.rng.f64() * 0.3;
        let mut submission = submission(self.submitted_jobs, class, work, self.node.now);
        submission.deadline = self.node.now + random_duration(&mut self.rng, ..seconds(6));
        submission.slots = f64::from(self.rng.u32(1..3));
        self.submitted_jobs += 1;
        self.checker.record_submission(submission.clone());
        self.handle(Event::JobSubmitted(submission))
    }

    fn disconnect_client(&mut self) -> CheckResult {
        let job = JobId(self.rng.u64(0..self.submitted_jobs));
        if let Some(state) = self.checker.jobs.get_mut(&job) {
            state.is_answered = true;
        }
        self.handle(Event::ClientDisconnected { job })
    }

    fn change_maintenance(&mut self) -> CheckResult {
        let (worker, disabled) = (WorkerId(self.rng.u64(0..8)), self.rng.bool());
        if disabled {
            self.checker.disabled.insert(worker);
        } else {
            self.checker.disabled.remove(&worker);
        }
        self.handle(maintenance_event(worker, disabled))
    }

    /// Starts and ends attempts. An attempt that succeeds runs for the load of its job, in seconds.
    fn advance_attempts(&mut self) -> CheckResult {
        for in_flight in std::mem::take(&mut self.in_flight) {
            let InFlightAttempt { job, attempt, started_at } = in_flight;
            if let Some(outcome) = self.sample_outcome(in_flight) {
                let state = self.checker.job(job)?;
                state.attempts[attempt as usize].outcome = Some(outcome);
                state.is_answered |= outcome == Outcome::Done;
                let job_answered = state.is_answered;
                self.handle(Event::AttemptEnded { job, attempt, outcome, job_answered })?;
            } else if started_at.is_none() && self.rng.u32(0..3) == 0 {
                self.in_flight.push(InFlightAttempt { started_at: Some(self.node.now), ..in_flight });
                self.handle(Event::AttemptStarted { job, attempt })?;
                self.observe_slots(in_flight);
            } else {
                self.in_flight.push(in_flight);
            }
        }
        Ok(())
    }

    fn sample_outcome(&mut self, in_flight: InFlightAttempt) -> Option<Outcome> {
        let (now, job) = (self.node.now, &self.checker.jobs[&in_flight.job]);
        match (in_flight.started_at, self.rng.u32(0..1000)) {
            (Some(at), _) if now >= at + TimeSpan::from_secs_f64(job.load()) => Some(Outcome::Done),
            _ if now >= job.submission.deadline => Some(Outcome::TimedOut),
            (_, 0..4) => Some(Outcome::Lost),
            (_, 4..8) => Some(Outcome::Error),
            (None, 8..20) => Some(Outcome::Rejected),
            (None, 20..40) => Some(Outcome::Unreachable),
            _ => None,
        }
    }

    fn worker_of(&self, in_flight: &InFlightAttempt) -> WorkerId {
        self.checker.jobs[&in_flight.job].attempts[in_flight.attempt as usize].endpoint.worker
    }

    /// Raises the upper bound of the slots, if needed, after an attempt has started. Each attempt that runs
    /// at its worker uses at most two slots.
    fn observe_slots(&mut self, started: InFlightAttempt) {
        let worker = self.worker_of(&started);
        let running = self.in_flight.iter().filter(|other| other.started_at.is_some());
        let count = running.filter(|other| self.worker_of(other) == worker).count();
        self.checker.slots = self.checker.slots.max(2.0 * count as f64);
    }
}
