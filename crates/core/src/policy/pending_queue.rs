//! The pending queue: when a job is sent. While no worker is free, jobs wait here and not at a worker: there, small
//! urgent jobs would wait behind large ones, and no job could be recalled.

use super::placement::{MAX_WORKER_WAIT, Placement, PlacementTier, ZONE_CROSSING_WAIT};
use crate::state::{Capacity, Demand, Fleet, Job, QueueKey};
use crate::{Settings, TimeSpan, Timestamp};

/// A job that can still meet its objective is sent at the latest this long before it no longer can.
const OBJECTIVE_MARGIN: TimeSpan = TimeSpan::from_millis(100);
/// Most queued jobs that are skipped in one pass because no worker takes them ...
const MIN_SKIP_LIMIT: usize = 8;
/// ... or one for this many workers of the subset, where that is more: in a large fleet, a few jobs that fit
/// nowhere must not block the rest.
const WORKERS_PER_SKIPPED_JOB: usize = 2;
/// Share of the workers that is reserved for jobs of high weight, as a multiple of the shed share.
const SHED_RESERVE_FACTOR: f64 = 3.0;
/// Jobs of at least this weight ignore that reserve.
const RESERVE_EXEMPT_WEIGHT: f64 = 0.4;

/// The place of a job in the queue.
pub(crate) fn queue_key(fleet: &Fleet, job: &Job) -> QueueKey {
    let latest_start = job.objective_at.saturating_sub(TimeSpan::from_secs_f64(fleet.reliable_run(job)));
    QueueKey { over_quota: job.over_quota, latest_start, job: job.id }
}

/// Most queued jobs that are skipped in one pass because no worker takes them.
pub(crate) fn max_skipped_jobs(fleet: &Fleet) -> usize {
    MIN_SKIP_LIMIT.max(fleet.subset().len() / WORKERS_PER_SKIPPED_JOB)
}

/// Share of the workers that is reserved for jobs of high weight, while work is being shed.
pub(crate) fn reserved_share(now: Timestamp, demand: &Demand) -> f64 {
    (SHED_RESERVE_FACTOR * demand.shed_share(now)).min(1.0)
}

/// What the moment at which a queued job is sent depends on.
pub(crate) struct QueueContext<'a> {
    /// The present moment.
    pub now: Timestamp,
    /// The settings of this node.
    pub settings: &'a Settings,
    /// All workers.
    pub fleet: &'a Fleet,
    /// The capacity of the subset's workers.
    pub capacity: &'a Capacity,
    /// See [`reserved_share`].
    pub reserved_share: f64,
    /// Number of queued jobs.
    pub queue_len: usize,
}

impl QueueContext<'_> {
    /// Whether a job stays in the queue without looking for a worker.
    pub fn must_wait(&self, job: &Job) -> bool {
        self.is_capacity_reserved(job) || self.is_capacity_exhausted(job)
    }

    /// Whether a job is sent now: a slot is about to be free, or waiting longer would miss its objective. A
    /// job that looks late everywhere is still sent when it is the only one queued, since hints are rough.
    pub fn should_send(&self, job: &Job, placement: &Placement) -> bool {
        let estimate = &placement.estimate;
        let slack = job.objective_at.seconds_since(self.now) - estimate.reliable_run - estimate.wait;
        match placement.rating.tier {
            PlacementTier::Immediate => true,
            PlacementTier::Queued => !job.over_quota && slack < OBJECTIVE_MARGIN.as_secs_f64(),
            PlacementTier::Late => estimate.wait <= MAX_WORKER_WAIT.as_secs_f64() && self.queue_len == 1,
        }
    }

    /// Whether a job leaves free capacity to others: while work is being shed, and the sooner the lower its
    /// weight.
    fn is_capacity_reserved(&self, job: &Job) -> bool {
        let reserved_share = self.reserved_share * (1.0 - job.weight / RESERVE_EXEMPT_WEIGHT);
        self.capacity.free_share < reserved_share
    }

    /// Whether no worker could take the job now: in overload, rating all for each job costs too much CPU.
    fn is_capacity_exhausted(&self, job: &Job) -> bool {
        let slack = job.objective_at.seconds_since(self.now) - self.capacity.shortest_wait;
        let is_start_near =
            slack > 0.0 && slack - self.fleet.reliable_run(job) < 2.0 * OBJECTIVE_MARGIN.as_secs_f64();
        let max_wait =
            MAX_WORKER_WAIT.as_secs_f64() + self.settings.cross_zone_price * ZONE_CROSSING_WAIT.as_secs_f64();
        self.capacity.shortest_wait > max_wait && (job.over_quota || !is_start_near)
    }
}
