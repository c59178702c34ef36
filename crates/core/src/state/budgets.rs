//! Budgets: quotas of the tenants, and budgets of retries and hedged requests.

use super::estimators::TokenBucket;
use super::job::Job;
use crate::{Settings, TimeSpan, Timestamp};

/// Burst of a tenant: the jobs that its quota allows in this time.
const QUOTA_BURST: TimeSpan = TimeSpan::from_millis(1500);
/// Number of jobs by which the burst of a tenant is increased. Without them, random variation alone would
/// exhaust a small quota.
const QUOTA_BURST_JOBS: f64 = 4.0;
/// Number of retries that each admitted job adds to the budget.
const RETRIES_PER_JOB: f64 = 0.1;
/// Maximum number of retries in the budget.
const MAX_RETRY_TOKENS: f64 = 10.0;
/// Share of the work of each admitted job that is added to the budget of hedged requests.
const HEDGE_WORK_SHARE: f64 = 0.1;
/// Maximum work in the budget of hedged requests, in seconds at speed 1.
const MAX_HEDGE_WORK: f64 = 5.0;

/// State of admission for each tenant and class.
pub(crate) struct AdmissionState {
    /// Token bucket of each tenant. A token is a job that this node may admit within the quota.
    quotas: Vec<TokenBucket>,
    /// Longest time to the deadline of a submitted job, for each class. A first submission has that much time
    /// left.
    longest_time_left: Vec<TimeSpan>,
    /// Highest priority weight of any class.
    pub max_priority_weight: f64,
}

impl AdmissionState {
    /// Returns the initial state. The bucket of each tenant contains the jobs that this node's part of the
    /// quota allows in [`QUOTA_BURST`].
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

    /// Returns the time that the client has waited before it submitted a job, estimated from the time that
    /// the job has left.
    pub fn estimate_client_wait(&mut self, class: usize, time_left: TimeSpan) -> TimeSpan {
        let longest = &mut self.longest_time_left[class];
        *longest = time_left.max(*longest);
        *longest - time_left
    }

    /// Charges a job to the quota of its tenant if it is a first submission. Returns whether the job exceeds
    /// this node's part of the quota.
    pub fn charge_quota(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        tenant: usize,
        is_first_submission: bool,
    ) -> bool {
        let Some(bucket) = self.quotas.get_mut(tenant) else { return false };
        let rate = settings.tenant_quotas[tenant] / f64::from(settings.nodes);
        bucket.refill(now, rate, rate * QUOTA_BURST.as_secs_f64() + QUOTA_BURST_JOBS);
        let has_token = bucket.has_token();
        if is_first_submission {
            bucket.take();
        }
        !has_token
    }
}

/// Budgets that admitted jobs fill. They bound the share of retries and hedged requests in all work.
pub(crate) struct Budgets {
    /// Number of retries that the budget allows.
    retry_tokens: f64,
    /// Work of hedged requests that the budget allows, in seconds at speed 1.
    hedge_work: f64,
}

impl Default for Budgets {
    fn default() -> Self {
        Budgets { retry_tokens: MAX_RETRY_TOKENS, hedge_work: 0.0 }
    }
}

impl Budgets {
    /// Credits the budgets for an admitted job. The credit for hedged requests is proportional to the share
    /// of attempts that start promptly.
    pub fn credit_job(&mut self, job: &Job, prompt_start_share: f64) {
        self.retry_tokens = (self.retry_tokens + RETRIES_PER_JOB).min(MAX_RETRY_TOKENS);
        let credit = HEDGE_WORK_SHARE * prompt_start_share * job.load();
        self.hedge_work = (self.hedge_work + credit).min(MAX_HEDGE_WORK);
    }

    /// Returns whether the budget allows a retry.
    pub fn has_retry_budget(&self) -> bool {
        self.retry_tokens >= 1.0
    }

    /// Charges a retry to the budget.
    pub fn charge_retry(&mut self) {
        self.retry_tokens -= 1.0;
    }

    /// Returns whether the budget allows a hedged request of a job.
    pub fn has_hedge_budget(&self, job: &Job) -> bool {
        self.hedge_work >= job.load()
    }

    /// Charges a hedged request of a job to the budget.
    pub fn charge_hedge(&mut self, job: &Job) {
        self.hedge_work -= job.load();
    }
}
