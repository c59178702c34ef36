//! Settings, workers and a node to drive, for all tests.
#![allow(dead_code)]

use curlewusher::*;

pub mod golden;

pub const SECOND: Micros = 1_000_000;

pub fn class(effect: Effect) -> Class {
    Class { effect, aim: 200_000, stretch: 2.0, worth: 1.0, give_up: 5 * SECOND, kind: None }
}

/// Class 0 safe, 1 keyed within a cell, 2 unsafe.
pub fn settings() -> Settings {
    let keyed = Effect::Keyed { scope: KeyScope::Cell, window: 5 * SECOND };
    Settings {
        nodes: 1,
        rank: 0,
        zone: ZoneId(0),
        classes: vec![class(Effect::Safe), class(keyed), class(Effect::Unsafe)],
        tenant_quotas: Vec::new(),
        list_on_request: false,
        ask_within: 10 * SECOND,
        told_within: 0,
        tells_start: true,
        sizes_told: false,
        accepts_within: 0,
        may_cancel: true,
        may_duplicate: true,
        may_tell: false,
        tell_price: 0.0,
        max_attempts: 4,
        max_advice: 2 * SECOND,
        over_quota_worth: 0.1,
        cross_zone_price: 0.0,
        cold_share: 0.2,
        warm_up: 20 * SECOND,
        overload_factor: 3.0,
        fall_window: SECOND,
    }
}

pub fn listing(worker: u64) -> Listing {
    Listing {
        worker: WorkerId(worker),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(worker as u32 / 2),
        life: Life::Ready,
        started: 0,
        size: 1.0,
    }
}

pub fn offer(job: u64, class: usize, work: f64, now: Micros) -> Offer {
    Offer {
        job: JobId(job),
        class: ClassId(class),
        tenant: TenantId(0),
        deadline: now + 5 * SECOND,
        hint: Some(work),
        slots: 1.0,
        key: None,
        repeat: false,
    }
}

/// A dispatcher with its clock and what it last asked for.
pub struct Node {
    pub dispatcher: Dispatcher,
    pub now: Micros,
}

impl Node {
    pub fn new(settings: Settings, workers: &[Listing]) -> Self {
        let mut node =
            Node { dispatcher: Dispatcher::new(settings, 7).expect("good settings"), now: 10 * SECOND };
        node.tell(Event::Woken);
        node.now += 1;
        node.tell(Event::Listed { entries: workers, whole: true });
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
            all.extend(self.tell(Event::Woken));
        }
        all.retain(|a| !matches!(a, Action::Wake { .. }));
        all
    }

    pub fn offer(&mut self, job: u64, class: usize, work: f64) -> Vec<Action> {
        self.tell(Event::Offered(offer(job, class, work, self.now)))
    }

    pub fn start(&mut self, job: u64, attempt: u32) -> Vec<Action> {
        self.tell(Event::Started { job: JobId(job), attempt })
    }

    pub fn end(&mut self, job: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let settled = outcome == Outcome::Done;
        self.tell(Event::Ended { job: JobId(job), attempt, outcome, settled })
    }

    /// Teaches the speed of the only worker that may be chosen, with jobs numbered from `first`.
    pub fn teach(&mut self, workers: &[Listing], which: usize, speed: f64, first: u64) {
        let mut drained = workers.to_vec();
        drained
            .iter_mut()
            .filter(|w| w.worker != workers[which].worker)
            .for_each(|w| w.life = Life::Draining);
        self.tell(Event::Listed { entries: &drained, whole: true });
        for job in first..first + 12 {
            self.offer(job, 0, 0.1);
            self.start(job, 0);
            self.now += (0.1 / speed * 1e6) as Micros;
            self.end(job, 0, Outcome::Done);
        }
        self.tell(Event::Listed { entries: workers, whole: true });
        self.pass(20 * SECOND);
    }
}

/// The worker that the actions send to, if they send.
pub fn sent(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|a| match a {
        Action::Send { worker, .. } => Some(worker.0),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
