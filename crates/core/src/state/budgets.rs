//! Budgets: the tenants' quotas, and what retries and hedged requests may use.

use super::estimators::TokenBucket;
use super::job::Job;
use crate::{Settings, TimeSpan, Timestamp};

/// Burst of a tenant, in seconds of its quota.
const QUOTA_BURST: TimeSpan = TimeSpan::from_millis(1500);
/// Jobs by which a tenant may exceed its quota in addition, since chance alone would use a small quota up.
const QUOTA_BURST_JOBS: f64 = 4.0;
/// Retries that each admitted job earns.
const RETRIES_PER_JOB: f64 = 0.1;
/// Most retries that are saved up.
const MAX_RETRY_TOKENS: f64 = 10.0;
/// Share of its work that each admitted job earns for hedged requests.
const HEDGE_WORK_SHARE: f64 = 0.1;
/// Most work that is saved up for hedged requests, in seconds at speed 1.
const MAX_HEDGE_WORK: f64 = 5.0;

/// What admission knows of tenants and classes.
pub(crate) struct AdmissionState {
    /// For each tenant the jobs that this node may admit within its quota.
    quotas: Vec<TokenBucket>,
    /// For each class, the longest time to its deadline that a job had when it was submitted: that of a first
    /// submission.
    longest_time_left: Vec<TimeSpan>,
    /// Highest priority weight of a class.
    pub max_priority_weight: f64,
}

impl AdmissionState {
    /// Full quotas.
    pub fn new(settings: &Settings) -> Self {
        let burst = |quota: &f64| {
            TokenBucket::with_tokens(quota / f64::from(settings.nodes) * QUOTA_BURST.as_secs_f64())
        };
        AdmissionState {
            quotas: settings.tenant_quotas.iter().map(burst).collect(),
            longest_time_left: vec![TimeSpan::ZERO; settings.classes.len()],
            max_priority_weight: settings
                .classes
                .iter()
                .map(|class| class.priority_weight)
                .fold(1e-9, f64::max),
        }
    }

    /// Time that a client has waited already when it submits a job, by the time that the job has left.
    pub fn estimate_client_wait(&mut self, class: usize, time_left: TimeSpan) -> TimeSpan {
        let longest = &mut self.longest_time_left[class];
        *longest = time_left.max(*longest);
        *longest - time_left
    }

    /// Charges a job to its tenant's quota, if it is a first submission. Returns whether the job is beyond
    /// this node's part of the quota.
    pub fn charge_quota(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        tenant: usize,
        is_first: bool,
    ) -> bool {
        let Some(bucket) = self.quotas.get_mut(tenant) else { return false };
        let rate = settings.tenant_quotas[tenant] / f64::from(settings.nodes);
        bucket.refill(now, rate, rate * QUOTA_BURST.as_secs_f64() + QUOTA_BURST_JOBS);
        let has_token = bucket.has_token();
        if is_first {
            bucket.take();
        }
        !has_token
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
    /// Credits the budgets for an admitted job, with the less hedged work the fewer attempts start promptly.
    pub fn credit_job(&mut self, job: &Job, prompt_start_share: f64) {
        self.retry_tokens = (self.retry_tokens + RETRIES_PER_JOB).min(MAX_RETRY_TOKENS);
        let earned = HEDGE_WORK_SHARE * prompt_start_share * job.load();
        self.hedge_work = (self.hedge_work + earned).min(MAX_HEDGE_WORK);
    }

    /// Whether a retry may be made.
    pub fn has_retry_budget(&self) -> bool {
        self.retry_tokens >= 1.0
    }

    /// Charges a retry.
    pub fn charge_retry(&mut self) {
        self.retry_tokens -= 1.0;
    }

    /// Whether a hedged request of that job may be made.
    pub fn has_hedge_budget(&self, job: &Job) -> bool {
        self.hedge_work >= job.load()
    }

    /// Charges a hedged request of that job.
    pub fn charge_hedge(&mut self, job: &Job) {
        self.hedge_work -= job.load();
    }
}
