//! Estimates derived from the records: x, w and r of the cost x + w / (1 - r), for each worker and each kind.
//!
//! Those of a worker are cached in its record for [`ESTIMATE_LIFETIME`], or until something happens there.

use arrayvec::ArrayVec;

use super::{AttemptRef, Dispatcher, InFlightAttempt, Job, PlacementEstimate, Worker, WorkerEstimates};
use crate::{JobId, TimeSpan, Timestamp, gossip};

/// Time for which the estimates of a worker hold, unless something happens there.
const ESTIMATE_LIFETIME: TimeSpan = TimeSpan::from_millis(4);
/// Upper bound of r: beyond it, 1 / (1 - r) would outweigh x.
const MAX_UTILISATION: f64 = 0.9;
/// Time constant over which the rate of work sent is averaged, in seconds.
pub(super) const SEND_RATE_SPAN_S: f64 = 5.0;
/// Total work of a running attempt, as a multiple of its hint: hints are rough ...
const RUNNING_HINT_FACTOR: f64 = 1.1;
/// ... and least work that it has left, as a share of what it has done: work has a long tail.
const MIN_REMAINING_SHARE: f64 = 0.35;
/// Share of a job's hint that is relied on: latency objectives grow with the true work, which may be less.
pub(crate) const RELIABLE_HINT_SHARE: f64 = 0.3;
/// Lower bound of the warm-up fraction, whatever the settings are, so that speeds stay above zero.
const MIN_WARM_UP_FRACTION: f64 = 0.01;
/// A worker with no longer a wait than this counts as free, in seconds.
const FREE_WORKER_WAIT_S: f64 = 0.025;
/// Time for which a peer's report counts, in seconds.
const PEER_BACKLOG_LIFETIME_S: f64 = 1.5;
/// Most slots of peers' work that count at one worker.
const MAX_PEER_SLOTS: u32 = 32;
/// Highest cost of one gossip entry to all nodes, as a share of a job's worth.
const MAX_GOSSIP_COST: f64 = 0.004;
/// Capacity of [`SlotSchedule`].
const MAX_SCHEDULED_SLOTS: usize = 16;

/// Times from now, in seconds, at which a worker's slots come free if its queue is served in order.
struct SlotSchedule(ArrayVec<f64, MAX_SCHEDULED_SLOTS>);

impl SlotSchedule {
    /// A schedule of `count` free slots.
    fn new(count: f64) -> Self {
        let count = (count.round() as usize).clamp(1, MAX_SCHEDULED_SLOTS);
        SlotSchedule(std::iter::repeat_n(0.0, count).collect())
    }

    /// Adds an attempt of `run` seconds in `slots` slots at the end of the queue. Returns when it starts.
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

impl Dispatcher {
    /// Refreshes the estimates of the subset's workers that have aged, and all that is derived from them.
    pub(crate) fn refresh_estimates(&mut self, now: Timestamp) {
        let (mut ready_workers, mut free_workers) = (0.0, 0.0);
        self.capacity.shortest_wait = f64::INFINITY;
        self.capacity.warming_up = 0;
        self.fleet.kinds.iter_mut().for_each(|kind| kind.capacity = 0.0);
        for position in 0..self.fleet.subset.len() {
            let index = self.fleet.subset[position];
            if now >= self.fleet.workers[index].estimates.derived_at.saturating_add(ESTIMATE_LIFETIME) {
                self.refresh_worker(now, index);
            }
            let worker = &self.fleet.workers[index];
            self.fleet.kinds[worker.kind_index].capacity += worker.estimates.speed * self.fleet.slots(worker);
            ready_workers += 1.0;
            free_workers += f64::from(u8::from(worker.estimates.wait < FREE_WORKER_WAIT_S));
            self.capacity.warming_up += usize::from(worker.estimates.warm_up_fraction < 1.0);
            self.capacity.shortest_wait = self.capacity.shortest_wait.min(worker.estimates.wait);
        }
        self.refresh_kinds(now);
        let free_share = free_workers / f64::max(ready_workers, 1.0);
        self.capacity.free_share = free_share.min(self.fleet.prompt_start_share);
    }

    /// Refreshes the estimates of one worker.
    pub(crate) fn refresh_worker(&mut self, now: Timestamp, index: usize) {
        let nodes = f64::from(self.subset_nodes());
        let worker = &self.fleet.workers[index];
        let warm_up_fraction = self.warm_up_fraction(now, worker);
        let speed = self.fleet.learned_speed(worker) * warm_up_fraction;
        let send_rate = worker.sent_work.get(now, SEND_RATE_SPAN_S) / SEND_RATE_SPAN_S * nodes;
        let utilisation = (send_rate / (speed * self.fleet.slots(worker))).min(MAX_UTILISATION);
        let known = &mut self.fleet.workers[index].estimates;
        *known = WorkerEstimates { derived_at: now, warm_up_fraction, speed, utilisation, wait: known.wait };
        let wait = self.estimate_wait(now, &self.fleet.workers[index], 1.0);
        self.fleet.workers[index].estimates.wait = wait;
    }

    /// Refreshes the estimates of kinds, for what a node of many cannot see of each worker: r by this node's
    /// part of the traffic, and w by the waits beyond the predicted ones that its own jobs had.
    fn refresh_kinds(&mut self, now: Timestamp) {
        let nodes = f64::from(self.subset_nodes());
        let observes_all_work = self.observes_all_work();
        for kind in &mut self.fleet.kinds {
            let send_rate = kind.sent_work.get(now, SEND_RATE_SPAN_S) / SEND_RATE_SPAN_S * nodes;
            let utilisation = (send_rate / kind.capacity.max(1e-9)).min(MAX_UTILISATION);
            kind.utilisation = if nodes == 1.0 { 0.0 } else { utilisation };
            kind.wait = if observes_all_work { 0.0 } else { kind.start_delay.get(now) };
        }
    }

    /// Lower bound of the share of its capacity that a worker has now, growing evenly with its age; 1 when
    /// warm.
    pub(crate) fn warm_up_fraction(&self, now: Timestamp, worker: &Worker) -> f64 {
        if worker.started_at == Timestamp::ORIGIN || self.settings.warm_up.is_zero() {
            return 1.0;
        }
        let floor = self.settings.warm_up_floor;
        let age = now.seconds_since(worker.started_at) / self.settings.warm_up.as_secs_f64();
        (floor + (1.0 - floor) * age).clamp(MIN_WARM_UP_FRACTION, 1.0)
    }

    /// w: seconds that a job of that many slots waits at a worker, by this node's attempts there and peers'
    /// reports.
    pub(crate) fn estimate_wait(&self, now: Timestamp, worker: &Worker, slots: f64) -> f64 {
        let unobserved_wait = worker.unobserved_wait(now);
        if worker.in_flight.is_empty() && worker.peer_backlogs.is_empty() {
            return unobserved_wait;
        }
        let speed = worker.estimates.speed;
        let mut schedule = SlotSchedule::new(self.fleet.slots(worker).max(slots));
        for attempt in &worker.in_flight {
            schedule.enqueue(self.remaining_work(now, speed, attempt) / speed, attempt.slots);
        }
        let (mut peer_work, mut peer_slots) = (0.0, 0.0);
        let is_recent = |age: f64| age < PEER_BACKLOG_LIFETIME_S;
        for backlog in worker.peer_backlogs.iter().filter(|backlog| is_recent(now.seconds_since(backlog.at)))
        {
            peer_work += (backlog.work - now.seconds_since(backlog.at) * backlog.slots * speed).max(0.0);
            peer_slots += backlog.slots;
        }
        for _ in 0..(peer_slots as u32).min(MAX_PEER_SLOTS) {
            schedule.enqueue(peer_work / peer_slots / speed, 1.0);
        }
        schedule.enqueue(0.0, slots) + unobserved_wait
    }

    /// Work that an attempt has left, in seconds at speed 1: by its progress if reported, else by its hint.
    pub(crate) fn remaining_work(&self, now: Timestamp, speed: f64, attempt: &InFlightAttempt) -> f64 {
        let Some(started_at) = attempt.started_at else { return attempt.work };
        let ran = now.seconds_since(started_at);
        match attempt.progress {
            Some(progress) if progress.share > 0.0 => {
                (progress.at.seconds_since(started_at) / progress.share - ran).max(0.0) * speed
            }
            _ => (attempt.work * RUNNING_HINT_FACTOR - ran * speed).max(MIN_REMAINING_SHARE * ran * speed),
        }
    }

    /// What a job would meet at a worker.
    pub(crate) fn estimate_placement(
        &self,
        now: Timestamp,
        worker_index: usize,
        job: &Job,
    ) -> PlacementEstimate {
        let worker = &self.fleet.workers[worker_index];
        let wait =
            if job.slots > 1.0 { self.estimate_wait(now, worker, job.slots) } else { worker.estimates.wait };
        let (work, fetch) = (job.work / worker.estimates.speed, self.fleet.estimate_fetch(worker, job));
        let (run, reliable_run) = (work + fetch, RELIABLE_HINT_SHARE * work + fetch);
        PlacementEstimate { worker_index, rating: worker.rating, run, reliable_run, wait }
    }

    /// Seconds that a job runs at a typical worker, as far as its hint is relied on.
    pub(crate) fn reliable_run(&self, job: &Job) -> f64 {
        RELIABLE_HINT_SHARE * job.work / self.fleet.overall_speed.speed
    }

    /// Seconds that an attempt in flight is likely to run on; only known while this node shuts down.
    pub(crate) fn remaining_run(&self, now: Timestamp, job: JobId, attempt: AttemptRef) -> Option<f64> {
        let is_shutting_down = self.lifecycle.shutdown_at < Timestamp::MAX;
        let index = self.fleet.find(attempt.worker).filter(|_| is_shutting_down)?;
        let speed = self.fleet.workers[index].estimates.speed;
        Some(self.remaining_work(now, speed, self.in_flight_attempt(job, attempt)?) / speed)
    }

    /// Whether this node knows all work at its workers: its own is all there is, or peers gossip theirs.
    pub(crate) fn observes_all_work(&self) -> bool {
        self.subset_nodes() == 1 || self.is_gossip_enabled()
    }

    /// Whether nodes gossip their work. With many nodes, messages cost all of them CPU and have to be so rare
    /// that they are out of date.
    pub(crate) fn is_gossip_enabled(&self) -> bool {
        let messages = f64::from(self.subset_nodes() - 1) * gossip::ENTRY_BYTES as f64
            / gossip::MAX_MESSAGE_BYTES as f64;
        self.settings.may_gossip && messages > 0.0 && self.settings.gossip_price * messages <= MAX_GOSSIP_COST
    }
}
