//! Estimates derived from the records: x, w and r of the cost x + w / (1 - r), for each worker and each kind.
//!
//! The record of a worker caches its estimates for a few milliseconds, or until an event of the worker.

use arrayvec::ArrayVec;

use super::fleet::{Fleet, MAX_WORKER_SLOTS};
use super::job::{AttemptRef, Job};
use super::load::Capacity;
use super::worker::{Worker, WorkerEstimates};
use crate::{JobId, Settings, TimeSpan, Timestamp, gossip};

/// Upper bound of r. With a higher r, the factor 1 / (1 - r) would outweigh x in the cost.
const MAX_UTILISATION: f64 = 0.9;
/// Time constant of the average rate at which work is sent.
pub(super) const SEND_RATE_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(5);
/// Share of the hint of a job that is relied on. Latency objectives grow with the true work, which may be
/// less than the hint.
pub(crate) const RELIABLE_HINT_SHARE: f64 = 0.3;
/// Maximum wait at a worker that counts as free.
const MAX_FREE_WORKER_WAIT: TimeSpan = TimeSpan::from_millis(25);
/// Time for which a report of another node is used.
const REMOTE_BACKLOG_LIFETIME: TimeSpan = TimeSpan::from_millis(1500);
/// Maximum number of slots of other nodes' work that count at one worker.
const MAX_REMOTE_SLOTS: u32 = 32;
/// Maximum cost of one gossip entry to all nodes, as a share of the value of a job.
const MAX_GOSSIP_COST: f64 = 0.004;

/// Times from now, in seconds, at which the slots of a worker become free if its queue is served in order.
struct SlotSchedule(ArrayVec<f64, MAX_WORKER_SLOTS>);

impl SlotSchedule {
    /// Returns a schedule of `count` free slots.
    fn new(count: f64) -> Self {
        let count = (count.round() as usize).clamp(1, MAX_WORKER_SLOTS);
        SlotSchedule(std::iter::repeat_n(0.0, count).collect())
    }

    /// Appends an attempt of `run` seconds in `slots` slots to the queue. Returns its start, in seconds from
    /// now.
    fn enqueue(&mut self, run: f64, slots: f64) -> f64 {
        let mut start: f64 = 0.0;
        for _ in 0..(slots as usize).clamp(1, self.0.len()) {
            let Some(free_at) = self.0.iter_mut().min_by(|a, b| a.total_cmp(b)) else { break };
            start = start.max(*free_at);
            *free_at = start + run;
        }
        start
    }
}

/// Estimated wait and run of a job at a worker.
#[derive(Clone, Copy)]
pub(crate) struct RunEstimate {
    /// Index of the worker.
    pub worker_index: usize,
    /// x: seconds of running at the worker, fetch included.
    pub run: f64,
    /// Part of `run` that is relied on, see [`RELIABLE_HINT_SHARE`].
    pub reliable_run: f64,
    /// w: seconds of waiting at the worker before the run.
    pub wait: f64,
}

impl Fleet {
    /// Refreshes the expired estimates of the workers of the subset, and the estimates of all kinds. Returns
    /// the capacity that results from them.
    pub fn refresh_estimates(&mut self, now: Timestamp, settings: &Settings) -> Capacity {
        let (mut ready_workers, mut free_workers) = (0.0, 0.0);
        let mut capacity = Capacity { shortest_wait: f64::INFINITY, ..Capacity::default() };
        self.kinds.iter_mut().for_each(|kind| kind.capacity = 0.0);
        for position in 0..self.subset.len() {
            let index = self.subset.members()[position];
            if self.workers[index].are_estimates_expired(now) {
                self.refresh_worker(now, settings, index);
            }
            let worker = &self.workers[index];
            self.kinds[worker.kind_index].capacity += worker.estimates.speed * self.slots(worker);
            ready_workers += 1.0;
            free_workers += f64::from(u8::from(worker.estimates.wait < MAX_FREE_WORKER_WAIT.as_secs_f64()));
            capacity.warming_up += usize::from(worker.estimates.warm_up_fraction < 1.0);
            capacity.shortest_wait = capacity.shortest_wait.min(worker.estimates.wait);
        }
        self.refresh_kinds(now, settings);
        let free_share = free_workers / f64::max(ready_workers, 1.0);
        capacity.free_share = free_share.min(self.prompt_start_share);
        capacity
    }

    /// Refreshes the estimates of one worker.
    pub fn refresh_worker(&mut self, now: Timestamp, settings: &Settings, index: usize) {
        let nodes = f64::from(self.subset.nodes());
        let worker = &self.workers[index];
        let warm_up_fraction = worker.warm_up_fraction(now, settings);
        let speed = self.learned_speed(worker) * warm_up_fraction;
        let send_rate = worker.sent_work.get(now, SEND_RATE_TIME_CONSTANT)
            / SEND_RATE_TIME_CONSTANT.as_secs_f64()
            * nodes;
        let utilisation = (send_rate / (speed * self.slots(worker))).min(MAX_UTILISATION);
        let estimates = &mut self.workers[index].estimates;
        *estimates =
            WorkerEstimates { derived_at: now, warm_up_fraction, speed, utilisation, wait: estimates.wait };
        let wait = self.estimate_wait(now, &self.workers[index], 1.0);
        self.workers[index].estimates.wait = wait;
    }

    /// Refreshes the estimates of the kinds. They replace values that one of many nodes cannot observe
    /// at each worker: r is derived from this node's part of the traffic, and w from the start delays of its
    /// own attempts.
    fn refresh_kinds(&mut self, now: Timestamp, settings: &Settings) {
        let nodes = f64::from(self.subset.nodes());
        let observes_all_work = self.observes_all_work(settings);
        for kind in &mut self.kinds {
            let send_rate = kind.sent_work.get(now, SEND_RATE_TIME_CONSTANT)
                / SEND_RATE_TIME_CONSTANT.as_secs_f64()
                * nodes;
            let utilisation = (send_rate / kind.capacity.max(1e-9)).min(MAX_UTILISATION);
            kind.utilisation = if nodes == 1.0 { 0.0 } else { utilisation };
            kind.wait = if observes_all_work { 0.0 } else { kind.start_delay.get(now) };
        }
    }

    /// Returns w: the seconds that a job of `slots` slots waits at a worker, estimated from this node's
    /// attempts there and the reports of other nodes.
    fn estimate_wait(&self, now: Timestamp, worker: &Worker, slots: f64) -> f64 {
        let unreported_wait = worker.unreported_wait(now);
        if worker.in_flight.is_empty() && worker.remote_backlogs.is_empty() {
            return unreported_wait;
        }
        let speed = worker.estimates.speed;
        let mut schedule = SlotSchedule::new(self.slots(worker).max(slots));
        for attempt in &worker.in_flight {
            schedule.enqueue(attempt.remaining_work(now, speed) / speed, attempt.slots);
        }
        let (mut remote_work, mut remote_slots) = (0.0, 0.0);
        for backlog in &worker.remote_backlogs {
            let age = now.seconds_since(backlog.at);
            if age < REMOTE_BACKLOG_LIFETIME.as_secs_f64() {
                remote_work += (backlog.work - age * backlog.slots * speed).max(0.0);
                remote_slots += backlog.slots;
            }
        }
        for _ in 0..(remote_slots as u32).min(MAX_REMOTE_SLOTS) {
            schedule.enqueue(remote_work / remote_slots / speed, 1.0);
        }
        schedule.enqueue(0.0, slots) + unreported_wait
    }

    /// Estimates the wait and the run of a job at a worker. The owners of the key of the job are the workers
    /// whose rendezvous weight is at least `affinity_threshold`, see [`Fleet::affinity_threshold`].
    pub fn estimate_run(
        &self,
        now: Timestamp,
        worker_index: usize,
        job: &Job,
        affinity_threshold: u64,
    ) -> RunEstimate {
        let worker = &self.workers[worker_index];
        let wait =
            if job.slots > 1.0 { self.estimate_wait(now, worker, job.slots) } else { worker.estimates.wait };
        let work = job.work / worker.estimates.speed;
        let fetch = self.estimate_fetch(worker, job.key, affinity_threshold);
        RunEstimate {
            worker_index,
            run: work + fetch,
            reliable_run: RELIABLE_HINT_SHARE * work + fetch,
            wait,
        }
    }

    /// Returns the seconds that a job runs at a typical worker, based on the reliable share of its hint.
    pub fn reliable_run(&self, job: &Job) -> f64 {
        RELIABLE_HINT_SHARE * job.work / self.overall_speed.speed
    }

    /// Returns the seconds that an attempt in flight is likely to continue to run; `None` if there is no
    /// record of it.
    pub fn remaining_run(&self, now: Timestamp, job: JobId, attempt: AttemptRef) -> Option<f64> {
        let speed = self.workers[self.find(attempt.worker)?].estimates.speed;
        Some(self.in_flight_attempt(job, attempt)?.remaining_work(now, speed) / speed)
    }

    /// Returns whether this node observes all work at its workers: it is the only node of its subset, or the
    /// nodes gossip their work.
    pub fn observes_all_work(&self, settings: &Settings) -> bool {
        self.subset.nodes() == 1 || self.is_gossip_enabled(settings)
    }

    /// Returns whether nodes gossip their work. With many nodes, messages cost CPU time at all of them and
    /// would have to be so rare that their contents are out of date.
    pub fn is_gossip_enabled(&self, settings: &Settings) -> bool {
        let messages = f64::from(self.subset.nodes() - 1) * gossip::ENTRY_BYTES as f64
            / gossip::MAX_MESSAGE_BYTES as f64;
        settings.may_gossip && messages > 0.0 && settings.gossip_price * messages <= MAX_GOSSIP_COST
    }
}
