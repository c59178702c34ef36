//! Load of this node: the demand of its clients, and the capacity of its workers.

use super::estimators::DecayingSum;
use super::job::Job;
use crate::{TimeSpan, Timestamp};

/// Time constant of the sums of demand.
pub(crate) const DEMAND_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(10);

/// Work that was recently admitted and shed, in seconds at speed 1.
pub(crate) struct Demand {
    /// All admitted work, client retries included.
    admitted: DecayingSum,
    /// Admitted work of first submissions within their quotas.
    within_quota: DecayingSum,
    /// Work of first submissions within their quotas that was shed.
    shed: DecayingSum,
    /// Time at which the first job was admitted.
    pub first_submission_at: Timestamp,
}

impl Default for Demand {
    fn default() -> Self {
        let none = DecayingSum::default();
        Demand { admitted: none, within_quota: none, shed: none, first_submission_at: Timestamp::MAX }
    }
}

impl Demand {
    /// Records an admitted job.
    pub fn record_admitted(&mut self, now: Timestamp, job: &Job) {
        self.first_submission_at = self.first_submission_at.min(now);
        self.admitted.add(now, job.load(), DEMAND_TIME_CONSTANT);
        if job.is_first_submission && !job.over_quota {
            self.within_quota.add(now, job.load(), DEMAND_TIME_CONSTANT);
        }
    }

    /// Records a job that was shed for lack of capacity.
    pub fn record_shed(&mut self, now: Timestamp, job: &Job) {
        if job.is_first_submission && !job.over_quota {
            self.shed.add(now, job.load(), DEMAND_TIME_CONSTANT);
        }
    }

    /// Returns the recently admitted work.
    pub fn admitted(&self, now: Timestamp) -> f64 {
        self.admitted.get(now, DEMAND_TIME_CONSTANT)
    }

    /// Returns the share of the work within quotas that was recently shed.
    pub fn shed_share(&self, now: Timestamp) -> f64 {
        self.shed.get(now, DEMAND_TIME_CONSTANT) / self.within_quota.get(now, DEMAND_TIME_CONSTANT).max(1e-9)
    }
}

/// Last estimated capacity of the subset's workers.
pub(crate) struct Capacity {
    /// Share of the workers that have a free slot or will have one shortly, but at most the share of attempts
    /// that start promptly.
    pub free_share: f64,
    /// Shortest wait for one slot at any worker, in seconds.
    pub shortest_wait: f64,
    /// Number of workers that are warming up.
    pub warming_up: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { free_share: 1.0, shortest_wait: 0.0, warming_up: 0 }
    }
}
