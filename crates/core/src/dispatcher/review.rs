//! Sweep over open jobs: answers jobs that can no longer be served in time, and tries other workers for jobs
//! whose attempts do not start.

use super::Dispatcher;
use crate::policy::deadlines::Review;
use crate::policy::hedging;
use crate::policy::placement::PlacementRequest;
use crate::policy::retries::{LateAttempt, find_unaccepted_attempt};
use crate::state::Job;
use crate::{Action, JobId, Timestamp};

impl Dispatcher {
    /// Reviews all open jobs.
    pub(super) fn sweep(&mut self, now: Timestamp) {
        for id in self.jobs.open_jobs() {
            self.review_job(now, id);
        }
    }

    /// Reviews an open job: answers it if it can no longer be served in time. Otherwise, if it has attempts
    /// in flight, tries to have it started at another worker.
    fn review_job(&mut self, now: Timestamp, id: JobId) {
        let Some(mut job) = self.jobs.take(id) else { return };
        match self.deadline_context(now).review(&job) {
            Review::RejectOrFail => self.reject_or_fail(&mut job),
            Review::Shed => {
                self.demand.record_shed(now, &job);
                self.reject_or_fail(&mut job);
            }
            Review::Keep if job.is_idle() => {}
            Review::Keep => {
                self.cancel_stuck_attempt(now, &job);
                self.hedge_job(now, &mut job);
            }
        }
        self.jobs.store(job);
    }

    /// Cancels an attempt that its worker does not accept, or whose job would now cost less at another
    /// worker.
    fn cancel_stuck_attempt(&mut self, now: Timestamp, job: &Job) {
        let unaccepted = find_unaccepted_attempt(now, &self.send_rules(), job);
        let attempt = unaccepted.or_else(|| self.find_attempt_to_relocate(now, job));
        self.outbox.extend(attempt.map(|attempt| Action::CancelAttempt { job: job.id, attempt }));
    }

    /// Finds an attempt to cancel because the job would now cost less at another worker.
    fn find_attempt_to_relocate(&mut self, now: Timestamp, job: &Job) -> Option<u32> {
        if !self.budgets.has_retry_budget() || self.check_endpoint_lease(now).is_err() {
            return None;
        }
        let late = LateAttempt::find(now, &self.settings, &self.fleet, job)?;
        self.refresh_estimates(now);
        let cancelled = job.with_cancelled_attempt(late.number);
        let request = PlacementRequest::new(now, &self.fleet, &cancelled);
        let alternative = self.choose_worker(&request)?;
        late.costs_less_at(&self.fleet, &request, &alternative).then_some(late.number)
    }

    /// Sends a hedged request for a job that should have started, if another worker has a free slot.
    fn hedge_job(&mut self, now: Timestamp, job: &mut Job) {
        let may_send = self.settings.may_cancel && self.check_endpoint_lease(now).is_ok();
        if !may_send
            || !self.budgets.has_hedge_budget(job)
            || !hedging::is_start_overdue(now, &self.settings, &self.fleet, job)
        {
            return;
        }
        self.refresh_estimates(now);
        let Some(placement) = self.choose_worker(&PlacementRequest::new(now, &self.fleet, job)) else {
            return;
        };
        if hedging::is_useful(&self.fleet, job, &placement) {
            self.budgets.charge_hedge(job);
            self.send_attempt(now, job, &placement);
        }
    }
}
