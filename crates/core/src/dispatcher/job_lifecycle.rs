//! Lifecycle of a job, from its submission to its final response.

use super::Dispatcher;
use crate::permission::{redirect, reject_or_fail};
use crate::policy::admission::{self, AdmissionDecision};
use crate::policy::pending_queue::queue_key;
use crate::policy::retries::{RetryCharge, may_be_retried};
use crate::policy::unsent_attempts::may_requeue_unsent;
use crate::state::Job;
use crate::{Action, JobId, JobSubmission, Settings, Timestamp};

impl Dispatcher {
    /// Queues a submitted job, or answers it at once.
    pub(super) fn admit_job(&mut self, now: Timestamp, submission: &JobSubmission) {
        if submission.class.0 >= self.settings.classes.len() {
            self.outbox.push(Action::Fail { job: submission.job });
            return;
        }
        if self.jobs.contains(submission.job) {
            return;
        }
        let mut job =
            admission::assess_job(now, &self.settings, &self.fleet, &mut self.admission, submission);
        match admission::decide(&self.deadline_context(now), self.poll_schedule.lease(), &job) {
            AdmissionDecision::Queue => self.accept_job(now, job),
            AdmissionDecision::RejectOrFail => self.reject_or_fail(&mut job),
            AdmissionDecision::Redirect => {
                self.outbox.push(redirect(&self.settings, &job));
                self.close_job(&mut job);
            }
        }
    }

    /// Queues an admitted job and adds it to the estimates of demand.
    fn accept_job(&mut self, now: Timestamp, job: Job) {
        self.budgets.credit_job(&job, self.fleet.prompt_start_share());
        self.demand.record_admitted(now, &job);
        self.fleet.record_key(job.key);
        self.fleet.record_work(job.work);
        self.enqueue_job(job);
        self.dispatch_pending(now);
    }

    /// Queues a job that has no attempt in flight.
    pub(super) fn enqueue_job(&mut self, job: Job) {
        let key = queue_key(&self.fleet, &job);
        self.jobs.enqueue(key, job);
    }

    /// Closes or retries a job after an attempt has ended, or answers it without a result. `job_answered`
    /// states whether the client has its response.
    pub(super) fn close_or_retry_job(
        &mut self,
        now: Timestamp,
        id: JobId,
        job_answered: bool,
        charge: RetryCharge,
    ) {
        let Some(mut job) = self.jobs.take(id) else { return };
        if job_answered && !job.is_answered() {
            self.close_job(&mut job);
        }
        if !job.is_answered() && job.is_idle() {
            // Retries are limited: when many attempts fail, more attempts would only add to the load.
            let is_affordable = charge == RetryCharge::None || self.budgets.has_retry_budget();
            if is_affordable && may_be_retried(now, &self.send_rules(), &job) {
                if charge == RetryCharge::Budget {
                    self.budgets.charge_retry();
                }
                self.enqueue_job(job);
                self.dispatch_pending(now);
                return;
            }
            self.reject_or_fail(&mut job);
        }
        self.jobs.store(job);
        self.dispatch_pending(now);
    }

    /// Requeues a job whose revoked attempt was not sent, if that does not count as a retry. Returns whether
    /// the job was queued.
    pub(super) fn requeue_unsent_job(&mut self, now: Timestamp, id: JobId) -> bool {
        if !self.jobs.get(id).is_some_and(|job| may_requeue_unsent(&self.settings, job)) {
            return false;
        }
        if let Some(job) = self.jobs.take(id) {
            self.enqueue_job(job);
            self.dispatch_pending(now);
        }
        true
    }

    /// Closes a job whose client has disconnected: no response is needed any more.
    pub(super) fn disconnect_client(&mut self, id: JobId) {
        let Some(mut job) = self.jobs.take(id) else { return };
        if !job.is_answered() {
            self.close_job(&mut job);
        }
        self.jobs.store(job);
    }

    /// Answers a job that will not be served.
    pub(super) fn reject_or_fail(&mut self, job: &mut Job) {
        self.outbox.push(reject_or_fail(&self.settings, job));
        self.close_job(job);
    }

    /// Marks a job as answered and cancels its attempts in flight.
    fn close_job(&mut self, job: &mut Job) {
        job.mark_answered();
        self.outbox.extend(cancellations(&self.settings, job, None));
    }
}

/// Returns the cancellations of a job's attempts in flight. The attempt with the number `except`
/// continues.
pub(super) fn cancellations(
    settings: &Settings,
    job: &Job,
    except: Option<u32>,
) -> impl Iterator<Item = Action> {
    let cancelled = job.in_flight().filter(move |attempt| Some(attempt.number) != except);
    cancelled
        .filter(|_| settings.may_cancel)
        .map(|attempt| Action::CancelAttempt { job: job.id, attempt: attempt.number })
}
