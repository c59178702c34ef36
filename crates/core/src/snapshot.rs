//! What one process of a node has learned, as a record that its successor takes on. It must never be trusted: a figure
//! that cannot be is passed over, and nothing in it can put work on a worker that the list does not name.

use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;
use crate::interface::*;
use crate::state::{
    Attempt, InFlightAttempt, Job, MAX_ATTEMPTS, MAX_WORKER_KEYS, MachineKind, Progress, SpeedEstimate,
    WarmUpSend, Worker, to_micros,
};

/// No more workers, keys and sends than these are taken on, whatever a record holds.
const MOST_WORKERS: usize = 4096;
const MOST_SENDS: usize = 1024;
/// No logarithm of a speed is further from 0.
const MOST_LN: f64 = 10.0;
/// Failures in a row that are taken on.
const MOST_STRIKES: u32 = 16;

/// What a dispatcher has learned. Times are microseconds since the Unix epoch, which both processes read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSnapshot {
    workers: Vec<WorkerSnapshot>,
    kinds: Vec<KindSnapshot>,
    /// Middle logarithm of the fleet's speed, and how many jobs taught it.
    all: (f64, u32),
    hint_error: f64,
    usual_work: f64,
    keys: Vec<u64>,
    first_came: Micros,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkerSnapshot {
    id: u64,
    offset: f64,
    lessons: u32,
    seen_slots: f64,
    started: Micros,
    strikes: u32,
    avoid_until: Micros,
    unreachable: bool,
    owed: Option<Micros>,
    keys: Vec<u64>,
    /// Work sent while cold, which its budget has been spent on.
    cold_sent: Vec<(Micros, f64)>,
}

/// A job that goes from one process of a node to another, with all that was tried for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MigratedJob {
    class: usize,
    over_quota: bool,
    value: f64,
    first: bool,
    work: f64,
    slots: f64,
    key: Option<u64>,
    aim_at: Micros,
    deadline: Micros,
    attempts: Vec<MigratedAttempt>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MigratedAttempt {
    worker: u64,
    zone: u32,
    cell: u32,
    sent: Micros,
    end: Option<Outcome>,
    flight: Option<MigratedInFlight>,
}

impl MigratedJob {
    /// Its class.
    pub fn class(&self) -> ClassId {
        ClassId(self.class)
    }

    /// When its client stops waiting.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }
}

/// What is known of an attempt that is out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MigratedInFlight {
    work: f64,
    slots: f64,
    accepted: bool,
    foreseen: f64,
    started: Option<Micros>,
    progress: Option<(f64, Micros)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KindSnapshot {
    id: u32,
    ln_speed: f64,
    lessons: u32,
}

/// A logarithm that can be one of a speed.
fn ln(value: f64) -> Option<f64> {
    value.is_finite().then(|| value.clamp(-MOST_LN, MOST_LN))
}

fn positive(value: f64, most: f64) -> Option<f64> {
    (value.is_finite() && value > 0.0).then(|| value.min(most))
}

impl Dispatcher {
    /// What is known now, for a successor.
    pub fn snapshot(&self) -> StateSnapshot {
        let worker = |w: &Worker| WorkerSnapshot {
            id: w.id.0,
            offset: w.log_speed_ratio,
            lessons: w.speed_samples,
            seen_slots: w.max_concurrent_slots,
            started: w.started_at,
            strikes: w.consecutive_failures,
            avoid_until: w.ejected_until,
            unreachable: w.unreachable,
            owed: w.reenabled_at,
            keys: w.recent_keys.iter().copied().collect(),
            cold_sent: w.warm_up_sends.iter().map(|send| (send.at, send.work)).take(MOST_SENDS).collect(),
        };
        let kind = |k: &MachineKind| KindSnapshot {
            id: k.id.0,
            ln_speed: k.speed.log_speed,
            lessons: k.speed.samples,
        };
        let fleet = &self.fleet;
        StateSnapshot {
            workers: fleet.workers.iter().take(MOST_WORKERS).map(worker).collect(),
            kinds: fleet.kinds.iter().map(kind).collect(),
            all: (fleet.overall_speed.log_speed, fleet.overall_speed.samples),
            hint_error: fleet.hint_error,
            usual_work: fleet.mean_work,
            keys: fleet.recent_keys().collect(),
            first_came: self.demand.first_at,
        }
    }

    /// Takes on what the process before this one has learned of workers that this one's list names too. Of those that it
    /// has taught itself it knows better.
    pub fn restore(&mut self, now: Micros, learned: &StateSnapshot) {
        for k in &learned.kinds {
            let at = self.fleet.kind_index(KindId(k.id));
            if let Some(ln_speed) = ln(k.ln_speed).filter(|_| self.fleet.kinds[at].speed.samples == 0) {
                self.fleet.kinds[at].speed =
                    SpeedEstimate { log_speed: ln_speed, speed: ln_speed.exp(), samples: k.lessons };
            }
        }
        if let Some(ln_speed) = ln(learned.all.0).filter(|_| self.fleet.overall_speed.samples == 0) {
            self.fleet.overall_speed =
                SpeedEstimate { log_speed: ln_speed, speed: ln_speed.exp(), samples: learned.all.1 };
        }
        if let Some(error) = positive(learned.hint_error, MOST_LN) {
            self.fleet.hint_error = error;
        }
        if let Some(work) = positive(learned.usual_work, 1e4) {
            self.fleet.mean_work = work;
        }
        self.demand.first_at = self.demand.first_at.min(learned.first_came);
        learned.keys.iter().for_each(|key| self.fleet.record_key(Some(*key)));
        for l in learned.workers.iter().take(MOST_WORKERS) {
            if let Some(i) = self.fleet.find(WorkerId(l.id)) {
                l.teach(now, &mut self.fleet.workers[i]);
            }
        }
    }
}

impl Dispatcher {
    /// Lets a job go that has no answer yet: nothing of it is known here any more, and nothing is called off.
    pub fn release_job(&mut self, job: JobId) -> Option<MigratedJob> {
        let job = self.jobs.get(&job).filter(|j| j.is_open())?.id;
        let job = self.jobs.remove(&job)?;
        self.queue.retain(|key| key.job != job.id);
        let mut attempts = Vec::new();
        for (a, number) in job.attempts.iter().zip(0..) {
            let at = self.fleet.find(a.worker);
            let flight = at.and_then(|i| self.fleet.workers[i].remove_attempt(job.id, number));
            attempts.push(MigratedAttempt {
                worker: a.worker.0,
                zone: a.zone.0,
                cell: a.cell.0,
                sent: a.sent_at,
                end: a.outcome,
                flight: flight.map(|f| MigratedInFlight {
                    work: f.work,
                    slots: f.slots,
                    accepted: f.accepted,
                    foreseen: f.predicted_wait,
                    started: f.started_at,
                    progress: f.progress.map(|progress| (progress.share, progress.at)),
                }),
            });
        }
        Some(MigratedJob {
            class: job.class,
            over_quota: job.over_quota,
            value: job.weight,
            first: job.is_first_submission,
            work: job.work,
            slots: job.slots,
            key: job.key,
            aim_at: job.objective_at,
            deadline: job.deadline,
            attempts,
        })
    }

    /// Whether that can be a job here.
    pub fn accepts_migrated_job(&self, moved: &MigratedJob) -> bool {
        moved.class < self.settings.classes.len()
            && [moved.work, moved.slots, moved.value].iter().all(|v| v.is_finite() && *v >= 0.0)
            && moved.attempts.len() <= MAX_ATTEMPTS
    }

    /// Takes a job on that another process of this node let go, under a number of this one's. False where it
    /// cannot be one.
    pub fn adopt_job(&mut self, now: Micros, id: JobId, moved: &MigratedJob, out: &mut Vec<Action>) -> bool {
        if !self.accepts_migrated_job(moved) || self.jobs.contains_key(&id) {
            return false;
        }
        let offer = JobSubmission {
            job: id,
            class: ClassId(moved.class),
            tenant: TenantId(0),
            deadline: moved.deadline,
            cost_hint: None,
            slots: moved.slots,
            key: moved.key,
            is_retry: !moved.first,
        };
        let mut job = Job {
            over_quota: moved.over_quota,
            weight: moved.value,
            is_first_submission: moved.first,
            work: moved.work,
            slots: moved.slots,
            objective_at: moved.aim_at,
            ..Job::new(&offer)
        };
        for (a, number) in moved.attempts.iter().zip(0..) {
            let worker = WorkerId(a.worker);
            let (zone, cell) = (ZoneId(a.zone), CellId(a.cell));
            job.attempts.push(Attempt { worker, zone, cell, sent_at: a.sent, outcome: a.end });
            if let (Some(f), Some(i), None) = (&a.flight, self.fleet.find(worker), a.end) {
                let w = &mut self.fleet.workers[i];
                job.key.into_iter().for_each(|key| w.record_key(key));
                w.in_flight.push(InFlightAttempt {
                    job: id,
                    attempt: number,
                    work: positive(f.work, 1e4).unwrap_or(0.0),
                    slots: positive(f.slots, 64.0).unwrap_or(1.0),
                    sent_at: a.sent.min(now),
                    accepted: f.accepted,
                    revoked: false,
                    predicted_wait: positive(f.foreseen, 1e4).unwrap_or(0.0),
                    started_at: f.started.map(|at| at.min(now)),
                    progress: f
                        .progress
                        .map(|(done, at)| Progress { share: done.clamp(0.0, 1.0), at: at.min(now) }),
                    unhinted: None,
                });
                (w.estimated_at, w.gossip_pending) = (0, true);
            }
        }
        let idle = job.is_idle();
        match idle {
            true => self.enqueue_job(job),
            false => self.store_job(job),
        }
        if idle {
            self.dispatch_pending(now, out);
        }
        self.set_timer(now, out);
        true
    }
}

impl WorkerSnapshot {
    fn teach(&self, now: Micros, w: &mut Worker) {
        if w.speed_samples == 0
            && let Some(offset) = ln(self.offset)
        {
            (w.log_speed_ratio, w.speed_ratio, w.speed_samples) = (offset, offset.exp(), self.lessons);
            w.max_concurrent_slots =
                w.max_concurrent_slots.max(positive(self.seen_slots, 64.0).unwrap_or(0.0));
        }
        w.started_at = w.started_at.max(self.started.min(now));
        w.consecutive_failures = w.consecutive_failures.max(self.strikes.min(MOST_STRIKES));
        // A pause is seconds long; one that ends far ahead is nonsense.
        w.ejected_until = w.ejected_until.max(self.avoid_until.min(now + to_micros(60.0)));
        w.unreachable |= self.unreachable;
        w.reenabled_at = w.reenabled_at.or(self.owed.map(|at| at.min(now)));
        self.keys.iter().rev().take(MAX_WORKER_KEYS).for_each(|key| w.record_key(*key));
        let sent = self.cold_sent.iter().filter(|(at, work)| *at <= now && work.is_finite() && *work >= 0.0);
        let own = std::mem::take(&mut w.warm_up_sends);
        w.warm_up_sends =
            sent.take(MOST_SENDS).map(|(at, work)| WarmUpSend { at: *at, work: *work }).chain(own).collect();
        (w.estimated_at, w.gossip_pending) = (0, true);
    }
}
