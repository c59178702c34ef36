//! The pending queue: when a job goes out. While no worker is free, jobs wait here and not at a worker:
//! there, small urgent jobs would be stuck behind large ones, and nothing could be taken back.

use std::ops::Bound;

use super::placement::{MAX_WORKER_QUEUE_S, ZONE_CROSSING_S};
use crate::state::{Dispatcher, Job, PlacementEstimate, PlacementTier, QueueKey};
use crate::{Action, TimeSpan, Timestamp};

/// A job that can still meet its objective is sent at the latest this long before it no longer can, in
/// seconds.
const LAST_START_MARGIN_S: f64 = 0.1;
/// Most queued jobs that are skipped in one pass because no worker takes them ...
const MIN_SKIPPED_JOBS: usize = 8;
/// ... or one for this many workers of the subset, where that is more: in a large fleet, a few jobs that fit
/// nowhere must not block the rest.
const WORKERS_PER_SKIPPED_JOB: usize = 2;
/// Share of the workers that is reserved for jobs of high weight, as a multiple of the shed share.
const SHED_RESERVE_FACTOR: f64 = 3.0;
/// Jobs of at least this weight ignore that reserve.
const RESERVE_EXEMPT_WEIGHT: f64 = 0.4;

impl Dispatcher {
    /// Puts a job that has no attempt in flight into the queue.
    pub(crate) fn enqueue_job(&mut self, job: Job) {
        let start_by = job.objective_at.saturating_sub(TimeSpan::from_secs_f64(self.reliable_run(&job)));
        self.queue.insert(QueueKey { over_quota: job.over_quota, start_by, job: job.id });
        self.jobs.insert(job.id, job);
    }

    /// Sends queued jobs while workers are free for them.
    pub(crate) fn dispatch_pending(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        // Rule 3: a node whose list may be out of date sends nothing by it. Jobs wait for the next.
        if self.queue.is_empty() || self.check_endpoint_lease(now).is_err() {
            return;
        }
        self.refresh_estimates(now);
        self.capacity.reserved_share = (SHED_RESERVE_FACTOR * self.demand.shed_share(now)).min(1.0);
        let max_skipped = MIN_SKIPPED_JOBS.max(self.fleet.subset.len() / WORKERS_PER_SKIPPED_JOB);
        let (mut skipped, mut last) = (0, None);
        while skipped < max_skipped {
            let after = last.map_or(Bound::Unbounded, Bound::Excluded);
            let Some(&key) = self.queue.range((after, Bound::Unbounded)).next() else { return };
            skipped += usize::from(!self.dispatch_job(now, key, actions));
            last = Some(key);
        }
    }

    /// Sends a queued job if a worker is free for it. Returns whether it has left the queue.
    fn dispatch_job(&mut self, now: Timestamp, key: QueueKey, actions: &mut Vec<Action>) -> bool {
        let is_held_back = |job| self.yields_capacity(job) || self.is_capacity_exhausted(now, job);
        if self.jobs.get(&key.job).is_some_and(is_held_back) {
            return false;
        }
        let Some(mut job) = self.jobs.remove(&key.job) else { return self.queue.remove(&key) };
        let placement = self.choose_worker(now, &mut job);
        let placement = placement.filter(|placement| self.is_timely(now, &job, placement));
        let send = placement.and_then(|placement| self.send_attempt(now, &mut job, &placement));
        self.store_job(job);
        let is_sent = send.is_some();
        if is_sent {
            self.queue.remove(&key);
        }
        actions.extend(send);
        is_sent
    }

    /// Whether a job is sent now: a slot is about to be free, or waiting longer would miss its objective. A
    /// job that looks late everywhere is still sent when it is the only one queued, since hints are rough.
    fn is_timely(&self, now: Timestamp, job: &Job, placement: &PlacementEstimate) -> bool {
        let spare = job.objective_at.seconds_since(now) - placement.reliable_run - placement.wait;
        match placement.rating.tier {
            PlacementTier::Immediate => true,
            PlacementTier::Queued => !job.over_quota && spare < LAST_START_MARGIN_S,
            PlacementTier::Late => placement.wait <= MAX_WORKER_QUEUE_S && self.queue.len() == 1,
            PlacementTier::Ineligible => false,
        }
    }

    /// Whether a job leaves free capacity to others: while work is being shed, and the sooner the lower its
    /// weight.
    fn yields_capacity(&self, job: &Job) -> bool {
        let reserved_share = self.capacity.reserved_share * (1.0 - job.weight / RESERVE_EXEMPT_WEIGHT);
        self.capacity.free_share < reserved_share
    }

    /// Whether no worker could take the job now: in overload, rating all for each job costs too much CPU.
    fn is_capacity_exhausted(&self, now: Timestamp, job: &Job) -> bool {
        let spare = job.objective_at.seconds_since(now) - self.capacity.shortest_wait;
        let is_due = spare > 0.0 && spare - self.reliable_run(job) < 2.0 * LAST_START_MARGIN_S;
        let max_wait = MAX_WORKER_QUEUE_S + self.settings.cross_zone_price * ZONE_CROSSING_S;
        self.capacity.shortest_wait > max_wait && (job.over_quota || !is_due)
    }

    /// Records an attempt at the chosen worker. Returns the action that sends it. All sends pass here: one without
    /// permission is counted as a violation and not made.
    pub(super) fn send_attempt(
        &mut self,
        now: Timestamp,
        job: &mut Job,
        placement: &PlacementEstimate,
    ) -> Option<Action> {
        if let Err(denial) = self.check_send(now, &self.fleet.workers[placement.worker_index], job) {
            self.violations.record(denial);
            return None;
        }
        let send_by = self.latest_send(job);
        self.record_send(now, job, placement, self.warm_up_window());
        self.refresh_worker(now, placement.worker_index);
        let worker = self.fleet.workers[placement.worker_index].id;
        Some(Action::SendAttempt { job: job.id, worker, timeout: job.deadline - now, send_by })
    }
}
