//! The four rules, held against every action by a checker that shares nothing with the module. The events are
//! random but legal; no service times are modelled.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use curlewusher_core::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A final answer may come so long after the deadline.
const ANSWER_SLACK: Micros = 20_000;

struct Try {
    worker: WorkerId,
    zone: ZoneId,
    cell: CellId,
    sent: Micros,
    outcome: Option<Outcome>,
}

struct Known {
    class: usize,
    deadline: Micros,
    load: f64,
    tries: Vec<Try>,
    answered: bool,
}

/// What the node has been told, and what it has done.
struct Checker {
    settings: Settings,
    jobs: BTreeMap<JobId, Known>,
    list: BTreeMap<WorkerId, Endpoint>,
    /// Those that operators have taken out.
    out: BTreeSet<WorkerId>,
    /// Most slots that any worker was seen to use: bounds the capacity at speed 1.
    slots: f64,
    cold: BTreeMap<WorkerId, Vec<(Micros, f64)>>,
}

impl Checker {
    fn new(settings: Settings) -> Self {
        let (jobs, list, cold) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Checker { settings, jobs, list, out: BTreeSet::new(), slots: 1.0, cold }
    }

    fn offered(&mut self, o: &JobSubmission) {
        let load = o.cost_hint.unwrap_or(0.1) * o.slots;
        let known =
            Known { class: o.class.0, deadline: o.deadline, load, tries: Vec::new(), answered: false };
        self.jobs.insert(o.job, known);
    }

    fn check(&mut self, now: Micros, action: &Action) -> Result<(), String> {
        match action {
            Action::SendAttempt { job, worker, timeout, send_by: leave_by } => {
                self.check_send(now, *job, *worker, *timeout, *leave_by)
            }
            Action::Reject { job, .. } => {
                let k = self.jobs.get_mut(job).ok_or("refused an unknown job")?;
                let ran = k.tries.iter().any(|t| !t.outcome.is_some_and(Outcome::never_ran));
                let all = matches!(
                    self.settings.classes[k.class].idempotency,
                    Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
                );
                answer(k, now)?;
                if ran && !all { Err("rule 2: refused what may have run".into()) } else { Ok(()) }
            }
            Action::Fail { job } => answer(self.jobs.get_mut(job).ok_or("failed an unknown job")?, now),
            Action::CancelAttempt { job, attempt } => {
                let k = self.jobs.get(job).ok_or("cancelled an unknown job")?;
                let sent = k.tries.get(*attempt as usize).is_some();
                if sent && self.settings.may_cancel {
                    Ok(())
                } else {
                    Err("cancelled what was not sent".into())
                }
            }
            Action::RevokeAttempt { job, attempt } => {
                let k = self.jobs.get(job).ok_or("recalled an unknown job")?;
                let sent = k.tries.get(*attempt as usize).filter(|t| t.outcome.is_none());
                if sent.is_some() { Ok(()) } else { Err("recalled what is not out".into()) }
            }
            Action::SendGossip { data, .. } if data.len() > 256 || !self.settings.may_gossip => {
                Err("told too much".into())
            }
            Action::SendGossip { .. } | Action::SetTimer { .. } | Action::WatchEndpoints => Ok(()),
        }
    }

    fn check_send(
        &mut self,
        now: Micros,
        job: JobId,
        worker: WorkerId,
        timeout: Micros,
        leave_by: Option<Micros>,
    ) -> Result<(), String> {
        let s = &self.settings;
        let k = self.jobs.get_mut(&job).ok_or("sent an unknown job")?;
        let entry = self.list.get(&worker).ok_or("rule 3: sent to a worker that is gone")?;
        if k.answered || now + timeout > k.deadline {
            return Err("rule 1: sent after the answer, or past the deadline".into());
        }
        if entry.status != WorkerStatus::Ready {
            return Err("rule 3: sent to a draining worker".into());
        }
        if self.out.contains(&worker) {
            return Err("rule 3: sent to a worker that operators have taken out".into());
        }
        if k.tries.len() >= s.max_attempts as usize
            || (!s.may_hedge && k.tries.iter().any(|t| t.outcome.is_none()))
        {
            return Err("limits: too many attempts".into());
        }
        let ran = k.tries.iter().filter(|t| !t.outcome.is_some_and(Outcome::never_ran));
        for t in ran {
            let fine = match s.classes[k.class].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::WithKey { scope, window } => {
                    leave_by.is_some_and(|by| now < by && by < t.sent + window)
                        && match scope {
                            DeduplicationScope::All => true,
                            DeduplicationScope::Zone => t.zone == entry.zone,
                            DeduplicationScope::Cell => t.cell == entry.cell,
                        }
                }
            };
            if !fine {
                return Err("rule 2: tried again what may have run".into());
            }
        }
        if entry.started_at > 0 && now < entry.started_at + s.warm_up {
            let age = (now - entry.started_at) as f64 / s.warm_up as f64;
            let warmth = s.warm_up_floor + (1.0 - s.warm_up_floor) * age;
            let window = s.overload_window as f64 / 1e6;
            // One of many nodes may have its turn, but never the whole budget.
            let share = f64::from(s.nodes.min(2));
            let budget = s.overload_factor * warmth * self.slots * window / share;
            let sends = self.cold.entry(worker).or_default();
            sends.push((now, k.load));
            let sum: f64 = sends.iter().filter(|x| x.0 + s.overload_window > now).map(|x| x.1).sum();
            if sum > budget {
                return Err(format!("rule 4: {sum} s of work to a cold worker, {budget} s allowed"));
            }
        }
        k.tries.push(Try { worker, zone: entry.zone, cell: entry.cell, sent: now, outcome: None });
        Ok(())
    }

    fn overdue(&self, now: Micros) -> Option<JobId> {
        self.jobs.iter().find(|(_, k)| !k.answered && now > k.deadline + ANSWER_SLACK).map(|(id, _)| *id)
    }
}

fn answer(k: &mut Known, now: Micros) -> Result<(), String> {
    if k.answered || now > k.deadline + ANSWER_SLACK {
        return Err("rule 1: a second answer, or one too late".into());
    }
    k.answered = true;
    Ok(())
}

/// A node under random events. Speeds are 1, so that the checker can bound capacity.
struct World {
    rng: fastrand::Rng,
    node: Node,
    checker: Checker,
    next_job: u64,
    /// Attempts out: job, number, start once told.
    out: Vec<(JobId, u32, Option<Micros>)>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let scope =
            [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell][rng.usize(0..3)];
        let mut s = settings();
        s.classes[1].idempotency = Idempotency::WithKey { scope, window: rng.u64(0..8) * SECOND };
        s.nodes = if rng.bool() { rng.u32(1..4) } else { rng.u32(8..40) };
        s.node_index = rng.u32(0..s.nodes);
        s.may_cancel = rng.bool();
        s.may_hedge = rng.bool();
        s.may_gossip = rng.bool();
        s.endpoints_on_request = rng.bool();
        s.max_attempts = rng.u32(1..12);
        s.tenant_quotas = if rng.bool() { vec![3.0] } else { Vec::new() };
        s.classes[0].required_kind = rng.bool().then_some(KindId(1));
        let node = Node { dispatcher: Dispatcher::new(s.clone(), seed).expect("good"), now: 10 * SECOND };
        World { rng, node, checker: Checker::new(s), next_job: 0, out: Vec::new() }
    }

    fn tell(&mut self, event: Event) -> Result<(), String> {
        for action in self.node.tell(event) {
            self.checker.check(self.node.now, &action)?;
            if let Action::SendAttempt { job, .. } = action {
                self.out.push((job, self.checker.jobs[&job].tries.len() as u32 - 1, None));
            }
        }
        Ok(())
    }

    fn list(&mut self) -> Result<(), String> {
        let whole = self.rng.bool();
        let mut entries = Vec::new();
        let most = if self.rng.bool() { 7 } else { 30 };
        for id in 0..self.rng.u64(0..most) {
            let mut l = listing(id);
            l.zone = ZoneId(id as u32 / 4);
            l.kind = KindId(self.rng.u32(0..2));
            let lives = if whole { 2 } else { 3 };
            l.status = [WorkerStatus::Ready, WorkerStatus::Draining, WorkerStatus::Gone]
                [self.rng.usize(0..lives).min(self.rng.usize(0..3))];
            let before = self.checker.list.get(&l.worker).map_or(0, |b| b.started_at);
            l.started_at = if self.rng.u8(0..4) == 0 { self.node.now } else { before };
            entries.push(l);
        }
        if whole {
            self.checker.list.clear();
        }
        for l in &entries {
            match l.status {
                WorkerStatus::Gone => _ = self.checker.list.remove(&l.worker),
                _ => _ = self.checker.list.insert(l.worker, l.clone()),
            }
        }
        self.tell(Event::EndpointsChanged { endpoints: &entries, snapshot: whole })
    }

    fn step(&mut self) -> Result<(), String> {
        self.node.now += 5_000;
        match self.rng.u32(0..100) {
            0..2 => self.list()?,
            2..30 => {
                let mut o =
                    offer(self.next_job, self.rng.usize(0..3), 0.02 + self.rng.f64() * 0.3, self.node.now);
                o.deadline = self.node.now + self.rng.u64(0..6 * SECOND);
                o.slots = f64::from(self.rng.u32(1..3));
                self.next_job += 1;
                self.checker.offered(&o);
                self.tell(Event::JobSubmitted(o))?;
            }
            30..33 => {
                let data: Vec<u8> = (0..self.rng.usize(0..40)).map(|_| self.rng.u8(..)).collect();
                let from = self.rng.u32(0..5);
                self.tell(Event::GossipReceived { from, data: &data })?;
            }
            33 => self.tell(Event::WatchFailed)?,
            36 => {
                let (worker, out) = (WorkerId(self.rng.u64(0..8)), self.rng.bool());
                match out {
                    true => _ = self.checker.out.insert(worker),
                    false => _ = self.checker.out.remove(&worker),
                }
                self.tell(Event::MaintenanceChanged { worker, disabled: out })?;
            }
            34..36 if self.next_job > 0 => {
                let job = JobId(self.rng.u64(0..self.next_job));
                if let Some(k) = self.checker.jobs.get_mut(&job) {
                    k.answered = true;
                }
                self.tell(Event::ClientDisconnected { job })?;
            }
            _ => {}
        }
        self.run()?;
        self.tell(Event::TimerExpired)?;
        match self.checker.overdue(self.node.now) {
            Some(job) => Err(format!("rule 1: {job:?} was never answered")),
            None => Ok(()),
        }
    }

    /// Starts and ends attempts; a job that is served takes just its work.
    fn run(&mut self) -> Result<(), String> {
        for (job, attempt, started) in std::mem::take(&mut self.out) {
            let k = &self.checker.jobs[&job];
            let worker = k.tries[attempt as usize].worker;
            let outcome = match (started, self.rng.u32(0..1000)) {
                (Some(at), _) if self.node.now >= at + (k.load * 1e6) as Micros => Some(Outcome::Done),
                _ if self.node.now >= k.deadline => Some(Outcome::TimedOut),
                (_, 0..4) => Some(Outcome::Lost),
                (_, 4..8) => Some(Outcome::Error),
                (None, 8..20) => Some(Outcome::Rejected),
                (None, 20..40) => Some(Outcome::Unreachable),
                _ => None,
            };
            if let Some(outcome) = outcome {
                let k = self.checker.jobs.get_mut(&job).ok_or("unknown job")?;
                k.tries[attempt as usize].outcome = Some(outcome);
                k.answered |= outcome == Outcome::Done;
                let settled = k.answered;
                self.tell(Event::AttemptEnded { job, attempt, outcome, settled })?;
            } else if started.is_none() && self.rng.u32(0..3) == 0 {
                self.out.push((job, attempt, Some(self.node.now)));
                self.tell(Event::AttemptStarted { job, attempt })?;
                let jobs = &self.checker.jobs;
                let here = |o: &&(JobId, u32, Option<Micros>)| {
                    o.2.is_some() && jobs[&o.0].tries[o.1 as usize].worker == worker
                };
                self.checker.slots =
                    self.checker.slots.max(2.0 * self.out.iter().filter(here).count() as f64);
            } else {
                self.out.push((job, attempt, started));
            }
        }
        Ok(())
    }
}

#[test]
fn no_action_breaks_a_rule() {
    let config = Config { cases: 48, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let result = runner.run(&any::<u64>(), |seed| {
        let mut world = World::new(seed);
        let mut run = || {
            world.list()?;
            (0..3_000).try_for_each(|_| world.step())
        };
        run().map_err(TestCaseError::fail)
    });
    result.unwrap();
}

#[test]
fn the_checker_catches_each_rule() {
    let now = 10 * SECOND;
    let fresh = |class| {
        let mut c = Checker::new(settings());
        (0..4).for_each(|id| _ = c.list.insert(WorkerId(id), listing(id)));
        c.offered(&offer(1, class, 0.1, now));
        c
    };
    let leaves = |worker, leave_by| {
        let (job, worker) = (JobId(1), WorkerId(worker));
        Action::SendAttempt { job, worker, timeout: SECOND, send_by: leave_by }
    };
    let send = |worker| leaves(worker, Some(now + SECOND));
    let refuse = Action::Reject { job: JobId(1), retry_after: 0 };
    let fail = Action::Fail { job: JobId(1) };
    let says =
        |r: Result<(), String>, rule: &str| assert!(r.as_ref().is_err_and(|e| e.starts_with(rule)), "{r:?}");

    let mut c = fresh(0);
    c.check(now, &fail).unwrap();
    says(c.check(now, &fail), "rule 1");
    says(c.check(now, &send(0)), "rule 1");
    says(fresh(0).check(now + 6 * SECOND, &fail), "rule 1");
    assert_eq!(fresh(0).overdue(now + 6 * SECOND), Some(JobId(1)));

    let mut c = fresh(2);
    c.check(now, &send(0)).unwrap();
    says(c.check(now, &send(1)), "rule 2");
    says(c.check(now, &refuse), "rule 2");
    let mut c = fresh(1);
    c.check(now, &send(0)).unwrap();
    says(c.check(now, &send(2)), "rule 2");
    for late in [None, Some(now), Some(now + 5 * SECOND)] {
        says(c.check(now, &leaves(1, late)), "rule 2");
    }
    c.check(now, &send(1)).unwrap();

    let mut c = fresh(0);
    c.list.get_mut(&WorkerId(0)).unwrap().status = WorkerStatus::Draining;
    says(c.check(now, &send(0)), "rule 3");
    says(c.check(now, &send(9)), "rule 3");
    c.out.insert(WorkerId(1));
    says(c.check(now, &send(1)), "rule 3");

    let mut c = fresh(0);
    c.list.get_mut(&WorkerId(0)).unwrap().started_at = now - 1;
    c.offered(&offer(1, 0, 2.0, now));
    says(c.check(now, &send(0)), "rule 4");
}
