//! Permission to send: first attempts, retries and hedged requests.

use super::slow_start::SlowStart;
use super::{Denial, EndpointLease};
use crate::state::{Fleet, Job, MAX_ATTEMPTS, Worker};
use crate::{Idempotency, Settings, TimeSpan, Timestamp};

/// A retry with an idempotency key is sent at least this long before its deduplication window closes.
const DEDUPLICATION_MARGIN: TimeSpan = TimeSpan::from_millis(200);

/// Most attempts of a job.
pub(crate) fn max_attempts(settings: &Settings) -> usize {
    (settings.max_attempts as usize).min(MAX_ATTEMPTS)
}

/// What permission to send depends on.
pub(crate) struct SendRules<'a> {
    /// The settings of this node.
    pub settings: &'a Settings,
    /// All workers.
    pub fleet: &'a Fleet,
    /// The lease on the endpoint list.
    pub lease: &'a EndpointLease,
    /// The budgets of workers that are warming up.
    pub slow_start: SlowStart<'a>,
}

impl SendRules<'_> {
    /// Whether this attempt may be sent now. Every send is checked by this, whatever led to it.
    pub fn check_send(&self, now: Timestamp, worker: &Worker, job: &Job) -> Result<(), Denial> {
        self.lease.check(now)?;
        self.may_send(now, worker, job)
    }

    /// Whether a job may be sent to a worker, if the endpoint list may be used: by the four rules and the limits of
    /// the settings.
    pub fn may_send(&self, now: Timestamp, worker: &Worker, job: &Job) -> Result<(), Denial> {
        check_job(now, self.settings, job)?;
        self.check_worker(worker, job)?;
        if !self.settings.may_hedge && !job.is_idle() {
            return Err(Denial::AttemptInFlight);
        }
        self.check_duplicate_run(now, worker, job)?;
        // Rule 4: no more work than a worker that is warming up can take.
        if job.load() > self.slow_start.budget(now, worker) {
            return Err(Denial::WarmUpBudgetExhausted);
        }
        Ok(())
    }

    /// Rule 3: no new job to a worker that is draining or gone, or that operators have disabled.
    fn check_worker(&self, worker: &Worker, job: &Job) -> Result<(), Denial> {
        if !self.fleet.is_available(worker) {
            return Err(Denial::WorkerUnavailable);
        }
        let required_kind = self.settings.classes[job.class].required_kind;
        if required_kind.is_some_and(|kind| kind != worker.kind()) {
            return Err(Denial::WorkerUnsuitable);
        }
        if job.may_receive_stale_callback(worker.id()) {
            return Err(Denial::StaleCallbackPossible);
        }
        Ok(())
    }

    /// Rule 2: whether a job may go to a worker without its effect happening twice.
    pub fn check_duplicate_run(&self, now: Timestamp, worker: &Worker, job: &Job) -> Result<(), Denial> {
        let Some(first) = job.first_possible_run() else { return Ok(()) };
        match self.settings.classes[job.class].idempotency {
            Idempotency::Idempotent => Ok(()),
            Idempotency::NonIdempotent => Err(Denial::MayHaveRun),
            Idempotency::WithKey { scope, .. } if !worker.deduplicates(first, scope) => {
                Err(Denial::OutsideDeduplicationScope)
            }
            Idempotency::WithKey { window, .. } => {
                // Where workers report acceptance, attempts are sent over sockets and a connection may be late: a
                // retry that reaches its worker after the window would run again.
                let transit = DEDUPLICATION_MARGIN.max(self.settings.accept_timeout);
                if now + transit < first.deduplicated_until(window) {
                    Ok(())
                } else {
                    Err(Denial::DeduplicationWindowOver)
                }
            }
        }
    }

    /// Latest time at which the next attempt of a job may be sent: while this node may rely on its endpoint
    /// list and, if the job may have run, while workers still discard retries.
    pub fn send_deadline(&self, job: &Job) -> Option<Timestamp> {
        let deduplicated_until = match self.settings.classes[job.class].idempotency {
            Idempotency::WithKey { window, .. } => {
                job.first_possible_run().map(|first| first.deduplicated_until(window))
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        };
        let retry_deadline = deduplicated_until.map(|until| until.saturating_sub(DEDUPLICATION_MARGIN));
        retry_deadline.into_iter().chain(self.lease.write_deadline()).min()
    }
}

/// Rule 1: no attempt after the final answer or the deadline, and no more attempts than the settings allow.
fn check_job(now: Timestamp, settings: &Settings, job: &Job) -> Result<(), Denial> {
    if !job.is_open() {
        return Err(Denial::JobAnswered);
    }
    if now >= job.deadline {
        return Err(Denial::DeadlinePassed);
    }
    if job.attempt_count() >= max_attempts(settings) {
        return Err(Denial::NoAttemptsLeft);
    }
    Ok(())
}
