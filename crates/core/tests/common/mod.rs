//! Settings, workers and a node to drive, for all tests.
#![allow(dead_code)]

use curlewusher_core::*;

pub mod golden;

pub const SECOND: Micros = 1_000_000;

pub fn class(effect: Idempotency) -> JobClass {
    JobClass {
        idempotency: effect,
        latency_objective: 200_000,
        latency_objective_stretch: 2.0,
        priority_weight: 1.0,
        client_timeout: 5 * SECOND,
        required_kind: None,
    }
}

/// Class 0 safe, 1 keyed within a cell, 2 unsafe.
pub fn settings() -> Settings {
    let keyed = Idempotency::WithKey { scope: DeduplicationScope::Cell, window: 5 * SECOND };
    Settings {
        nodes: 1,
        node_index: 0,
        zone: ZoneId(0),
        classes: vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::NonIdempotent)],
        tenant_quotas: Vec::new(),
        endpoints_on_request: false,
        max_poll_interval: 10 * SECOND,
        assumed_notified_after: 0,
        reports_start: true,
        sizes_listed: false,
        accept_timeout: 0,
        may_cancel: true,
        may_hedge: true,
        may_gossip: false,
        gossip_price: 0.0,
        max_attempts: 4,
        max_retry_after: 2 * SECOND,
        over_quota_weight: 0.1,
        cross_zone_price: 0.0,
        warm_up_floor: 0.2,
        warm_up: 20 * SECOND,
        overload_factor: 3.0,
        overload_window: SECOND,
    }
}

pub fn listing(worker: u64) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(worker as u32 / 2),
        status: WorkerStatus::Ready,
        started_at: 0,
        size: 1.0,
    }
}

pub fn offer(job: u64, class: usize, work: f64, now: Micros) -> JobSubmission {
    JobSubmission {
        job: JobId(job),
        class: ClassId(class),
        tenant: TenantId(0),
        deadline: now + 5 * SECOND,
        cost_hint: Some(work),
        slots: 1.0,
        key: None,
        is_retry: false,
    }
}

/// A dispatcher with its clock and what it last asked for.
pub struct Node {
    pub dispatcher: Dispatcher,
    pub now: Micros,
}

impl Node {
    pub fn new(settings: Settings, workers: &[Endpoint]) -> Self {
        let mut node =
            Node { dispatcher: Dispatcher::new(settings, 7).expect("good settings"), now: 10 * SECOND };
        node.tell(Event::TimerExpired);
        node.now += 1;
        node.tell(Event::EndpointsChanged { endpoints: workers, snapshot: true });
        node
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, event, &mut out);
        out
    }

    /// Lets time pass with a wake-up every 10 ms; returns what is asked for but for the wake-ups.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        let end = self.now + span;
        while self.now < end {
            self.now += 10_000.min(end - self.now);
            all.extend(self.tell(Event::TimerExpired));
        }
        all.retain(|a| !matches!(a, Action::SetTimer { .. }));
        all
    }

    pub fn offer(&mut self, job: u64, class: usize, work: f64) -> Vec<Action> {
        self.tell(Event::JobSubmitted(offer(job, class, work, self.now)))
    }

    pub fn start(&mut self, job: u64, attempt: u32) -> Vec<Action> {
        self.tell(Event::AttemptStarted { job: JobId(job), attempt })
    }

    pub fn end(&mut self, job: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let settled = outcome == Outcome::Done;
        self.tell(Event::AttemptEnded { job: JobId(job), attempt, outcome, settled })
    }

    /// Teaches the speed of the only worker that may be chosen, with jobs numbered from `first`.
    pub fn teach(&mut self, workers: &[Endpoint], which: usize, speed: f64, first: u64) {
        let mut drained = workers.to_vec();
        drained
            .iter_mut()
            .filter(|w| w.worker != workers[which].worker)
            .for_each(|w| w.status = WorkerStatus::Draining);
        self.tell(Event::EndpointsChanged { endpoints: &drained, snapshot: true });
        for job in first..first + 12 {
            self.offer(job, 0, 0.1);
            self.start(job, 0);
            self.now += (0.1 / speed * 1e6) as Micros;
            self.end(job, 0, Outcome::Done);
        }
        self.tell(Event::EndpointsChanged { endpoints: workers, snapshot: true });
        self.pass(20 * SECOND);
    }
}

/// The worker that the actions send to, if they send.
pub fn sent(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|a| match a {
        Action::SendAttempt { worker, .. } => Some(worker.0),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
