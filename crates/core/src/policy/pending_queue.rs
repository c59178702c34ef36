//! Pending queue: the time at which a job is sent. While no worker is free, jobs wait here instead of at a
//! worker. There, small urgent jobs would wait behind large ones, and no job could be recalled.

use super::placement::{MAX_WORKER_WAIT, Placement, PlacementTier, ZONE_CROSSING_WAIT};
use crate::state::{Capacity, Demand, Fleet, Job, QueueKey};
use crate::{Settings, TimeSpan, Timestamp};

/// Margin before the last start with which a job still meets its objective. A job that can meet its
/// objective is sent before this margin begins.
const OBJECTIVE_MARGIN: TimeSpan = TimeSpan::from_millis(100);
/// Minimum value of the limit on the queued jobs that are skipped in one pass because no worker can take
/// them.
const MIN_SKIP_LIMIT: usize = 8;
/// Divisor for the limit on the queued jobs that are skipped in one pass: the number of workers of the subset
/// divided by this value, if that is more than [`MIN_SKIP_LIMIT`]. In a large fleet, a few jobs that fit no
/// worker must not block the others.
const WORKERS_PER_SKIPPED_JOB: usize = 2;
/// Share of the workers that is reserved for jobs of high weight, as a multiple of the share of work that is
/// shed.
const SHED_RESERVE_FACTOR: f64 = 3.0;
/// Minimum weight of jobs that may use all workers that are reserved according to [`SHED_RESERVE_FACTOR`].
const RESERVE_EXEMPT_WEIGHT: f64 = 0.4;

/// Returns the position of a job in the queue.
pub(crate) fn queue_key(fleet: &Fleet, job: &Job) -> QueueKey {
    let latest_start = job.objective_at.saturating_sub(TimeSpan::from_secs_f64(fleet.reliable_run(job)));
    QueueKey { over_quota: job.over_quota, latest_start, job: job.id }
}

/// Returns the maximum number of queued jobs that are skipped in one pass because no worker can take them.
pub(crate) fn max_skipped_jobs(fleet: &Fleet) -> usize {
    MIN_SKIP_LIMIT.max(fleet.subset().len() / WORKERS_PER_SKIPPED_JOB)
}

/// Returns the share of the workers that is reserved for jobs of high weight, while work is being shed.
pub(crate) fn reserved_share(now: Timestamp, demand: &Demand) -> f64 {
    (SHED_RESERVE_FACTOR * demand.shed_share(now)).min(1.0)
}

/// Inputs of the decision whether a queued job is sent.
pub(crate) struct QueueContext<'a> {
    /// Present time.
    pub now: Timestamp,
    /// Settings of this node.
    pub settings: &'a Settings,
    /// All workers.
    pub fleet: &'a Fleet,
    /// Capacity of the workers of the subset.
    pub capacity: &'a Capacity,
    /// Share of the workers that is reserved, see [`reserved_share`].
    pub reserved_share: f64,
    /// Number of queued jobs.
    pub queue_len: usize,
}

impl QueueContext<'_> {
    /// Returns whether a job stays in the queue without a search for a worker.
    pub fn must_wait(&self, job: &Job) -> bool {
        self.is_capacity_reserved(job) || self.is_capacity_exhausted(job)
    }

    /// Returns whether a job is sent now: a slot is about to become free, or the job is within its quota and
    /// a longer wait here would miss its objective. A job that is estimated to be late at every worker is
    /// still sent if it is the only one queued and would wait at the worker for at most [`MAX_WORKER_WAIT`],
    /// since hints are rough.
    pub fn should_send(&self, job: &Job, placement: &Placement) -> bool {
        let estimate = &placement.estimate;
        let slack = job.objective_at.seconds_since(self.now) - estimate.reliable_run - estimate.wait;
        match placement.rating.tier {
            PlacementTier::Immediate => true,
            PlacementTier::Queued => !job.over_quota && slack < OBJECTIVE_MARGIN.as_secs_f64(),
            PlacementTier::Late => estimate.wait <= MAX_WORKER_WAIT.as_secs_f64() && self.queue_len == 1,
        }
    }

    /// Returns whether a job leaves free capacity to others, which happens only while work is being shed.
    /// Lower weights yield first.
    fn is_capacity_reserved(&self, job: &Job) -> bool {
        let reserved_share = self.reserved_share * (1.0 - job.weight / RESERVE_EXEMPT_WEIGHT);
        self.capacity.free_share < reserved_share
    }

    /// Returns whether no worker could take the job now, judged by the shortest wait at any worker. In
    /// overload, rating all workers for each job would cost too much CPU.
    fn is_capacity_exhausted(&self, job: &Job) -> bool {
        let slack = job.objective_at.seconds_since(self.now) - self.capacity.shortest_wait;
        let is_start_near =
            slack > 0.0 && slack - self.fleet.reliable_run(job) < 2.0 * OBJECTIVE_MARGIN.as_secs_f64();
        let max_wait =
            MAX_WORKER_WAIT.as_secs_f64() + self.settings.cross_zone_price * ZONE_CROSSING_WAIT.as_secs_f64();
        self.capacity.shortest_wait > max_wait && (job.over_quota || !is_start_near)
    }
}
