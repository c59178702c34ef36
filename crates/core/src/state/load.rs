//! Figures that admission, queueing, retries and hedging go by: the queue's order, demand, capacity and
//! budgets.

use super::estimators::{DecayingSum, TokenBucket};
use super::job::Job;
use crate::{JobId, Micros, Settings};

/// Time constant over which demand is summed up, in seconds.
pub(crate) const DEMAND_SPAN_S: f64 = 10.0;
/// Seconds of its quota that a tenant may be ahead of it.
const QUOTA_BURST_S: f64 = 1.5;
/// Jobs that a tenant may be ahead of its quota beside that: a small quota would be used up by chance.
const QUOTA_BURST_JOBS: f64 = 4.0;
/// Retries that each admitted job earns.
const RETRIES_PER_JOB: f64 = 0.1;
/// Most retries that are saved up.
const MAX_RETRY_TOKENS: f64 = 10.0;
/// Share of its work that each admitted job earns for hedged requests.
const HEDGE_WORK_SHARE: f64 = 0.1;
/// Most work that is saved up for hedged requests, in seconds at speed 1.
const MAX_HEDGE_WORK_S: f64 = 5.0;

/// Place of a job in the queue. Jobs beyond a quota come last, since their answers are worth little; among
/// others, the one that must start soonest comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// The job is beyond its tenant's quota.
    pub over_quota: bool,
    /// Latest start with which its objective can be met.
    pub start_by: Micros,
    /// Which job.
    pub job: JobId,
}

/// What admission knows of tenants and classes.
pub(crate) struct Admission {
    /// For each tenant the jobs that this node may admit within its quota.
    quotas: Vec<TokenBucket>,
    /// For each class the longest time to its deadline that a job came with: that of a first submission.
    longest_time_left: Vec<Micros>,
    /// Highest priority weight of a class.
    pub max_priority_weight: f64,
}

impl Admission {
    /// Full quotas.
    pub fn new(settings: &Settings) -> Self {
        let burst = |quota: &f64| TokenBucket::with_tokens(quota / f64::from(settings.nodes) * QUOTA_BURST_S);
        Admission {
            quotas: settings.tenant_quotas.iter().map(burst).collect(),
            longest_time_left: vec![0; settings.classes.len()],
            max_priority_weight: settings.classes.iter().map(|c| c.priority_weight).fold(1e-9, f64::max),
        }
    }

    /// How long a client has waited for a job of that class when it came, by the time that it had left.
    pub fn time_waited(&mut self, class: usize, time_left: Micros) -> Micros {
        let longest = &mut self.longest_time_left[class];
        *longest = time_left.max(*longest);
        *longest - time_left
    }

    /// Whether a job is beyond this node's part of its tenant's quota. First submissions alone use the quota
    /// up.
    pub fn is_over_quota(&mut self, now: Micros, settings: &Settings, tenant: usize, is_first: bool) -> bool {
        let Some(bucket) = self.quotas.get_mut(tenant) else { return false };
        let rate = settings.tenant_quotas[tenant] / f64::from(settings.nodes);
        bucket.refill(now, rate, rate * QUOTA_BURST_S + QUOTA_BURST_JOBS);
        let has_token = bucket.has_token();
        if is_first {
            bucket.take();
        }
        !has_token
    }
}

/// Work that was submitted and shed lately, in seconds at speed 1.
pub(crate) struct Demand {
    /// All work that was admitted, retries of clients too.
    submitted: DecayingSum,
    /// Of that, first submissions within their quotas.
    within_quota: DecayingSum,
    /// Of that, what was shed.
    shed: DecayingSum,
    /// When the first job was admitted.
    pub first_at: Micros,
}

impl Default for Demand {
    fn default() -> Self {
        let none = DecayingSum::default();
        Demand { submitted: none, within_quota: none, shed: none, first_at: Micros::MAX }
    }
}

impl Demand {
    /// A job was admitted.
    pub fn record_submitted(&mut self, now: Micros, job: &Job) {
        self.first_at = self.first_at.min(now);
        self.submitted.add(now, job.load(), DEMAND_SPAN_S);
        if job.is_first_submission && !job.over_quota {
            self.within_quota.add(now, job.load(), DEMAND_SPAN_S);
        }
    }

    /// A job was given up for want of capacity.
    pub fn record_shed(&mut self, now: Micros, job: &Job) {
        if job.is_first_submission && !job.over_quota {
            self.shed.add(now, job.load(), DEMAND_SPAN_S);
        }
    }

    /// Work admitted lately.
    pub fn submitted(&self, now: Micros) -> f64 {
        self.submitted.get(now, DEMAND_SPAN_S)
    }

    /// Share of the work within quotas that was shed lately.
    pub fn shed_share(&self, now: Micros) -> f64 {
        self.shed.get(now, DEMAND_SPAN_S) / self.within_quota.get(now, DEMAND_SPAN_S).max(1e-9)
    }
}

/// The capacity of the subset's workers, as estimated last.
pub(crate) struct Capacity {
    /// Share of the workers that have a slot free or about to be.
    pub free_share: f64,
    /// Share of the workers that jobs of little weight leave to others.
    pub reserved_share: f64,
    /// Shortest wait for one slot at any worker, in seconds.
    pub shortest_wait: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { free_share: 1.0, reserved_share: 0.0, shortest_wait: 0.0 }
    }
}

/// Budgets that admitted jobs fill, so that retries and hedged requests stay a bounded share of all work.
pub(crate) struct Budgets {
    /// Retries that may be made.
    retry_tokens: f64,
    /// Work that hedged requests may put on workers, in seconds at speed 1.
    hedge_work: f64,
}

impl Default for Budgets {
    fn default() -> Self {
        Budgets { retry_tokens: MAX_RETRY_TOKENS, hedge_work: 0.0 }
    }
}

impl Budgets {
    /// A job was admitted. The fewer attempts start promptly, the less it earns for hedged requests.
    pub fn earn(&mut self, job: &Job, prompt_start_share: f64) {
        self.retry_tokens = (self.retry_tokens + RETRIES_PER_JOB).min(MAX_RETRY_TOKENS);
        let earned = HEDGE_WORK_SHARE * prompt_start_share * job.load();
        self.hedge_work = (self.hedge_work + earned).min(MAX_HEDGE_WORK_S);
    }

    /// Whether a retry may be made.
    pub fn allow_retry(&self) -> bool {
        self.retry_tokens >= 1.0
    }

    /// A retry is made.
    pub fn spend_retry(&mut self) {
        self.retry_tokens -= 1.0;
    }

    /// Whether a hedged request of that job may be made.
    pub fn allow_hedge(&self, job: &Job) -> bool {
        self.hedge_work >= job.load()
    }

    /// A hedged request of that job is made.
    pub fn spend_hedge(&mut self, job: &Job) {
        self.hedge_work -= job.load();
    }
}
