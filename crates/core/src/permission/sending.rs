//! Permission to send first attempts, retries and hedged requests.

use super::slow_start::SlowStart;
use super::{Denial, EndpointLease};
use crate::state::{Fleet, Job, MAX_ATTEMPTS, Worker};
use crate::{Idempotency, Settings, TimeSpan, Timestamp};

/// Minimum time before the end of its deduplication window at which a retry with an idempotency key is sent.
const DEDUPLICATION_MARGIN: TimeSpan = TimeSpan::from_millis(200);

/// Returns the maximum number of attempts of a job.
pub(crate) fn max_attempts(settings: &Settings) -> usize {
    (settings.max_attempts as usize).min(MAX_ATTEMPTS)
}

/// Inputs of the permission to send.
pub(crate) struct SendRules<'a> {
    /// Settings of this node.
    pub settings: &'a Settings,
    /// All workers.
    pub fleet: &'a Fleet,
    /// Lease on the endpoint list.
    pub lease: &'a EndpointLease,
    /// Budgets of workers that are warming up.
    pub slow_start: SlowStart<'a>,
}

impl SendRules<'_> {
    /// Checks whether an attempt may be sent now. Every send is checked by this function, regardless of its
    /// cause.
    pub fn check_send(&self, now: Timestamp, worker: &Worker, job: &Job) -> Result<(), Denial> {
        self.lease.check(now)?;
        self.may_send(now, worker, job)
    }

    /// Checks whether a job may be sent to a worker according to the four rules and the limits of the
    /// settings, provided that the endpoint list may be used.
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

    /// Checks rule 3: no new job to a worker that is draining or was removed, or that operators have
    /// disabled.
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

    /// Checks rule 2: a job may be sent to a worker only if its effect cannot happen twice.
    pub fn check_duplicate_run(&self, now: Timestamp, worker: &Worker, job: &Job) -> Result<(), Denial> {
        let Some(first) = job.first_possible_run() else { return Ok(()) };
        match self.settings.classes[job.class].idempotency {
            Idempotency::Idempotent => Ok(()),
            Idempotency::NonIdempotent => Err(Denial::MayHaveRun),
            Idempotency::WithKey { scope, .. } if !worker.deduplicates(first, scope) => {
                Err(Denial::OutsideDeduplicationScope)
            }
            Idempotency::WithKey { window, .. } => {
                // Workers that report acceptance receive attempts over sockets, and a connection may be late.
                // A retry that reaches its worker after the window would run again.
                let transit = DEDUPLICATION_MARGIN.max(self.settings.accept_timeout);
                if now + transit < first.deduplicated_until(window) {
                    Ok(())
                } else {
                    Err(Denial::DeduplicationWindowOver)
                }
            }
        }
    }

    /// Returns the time before which the first byte of the next attempt of a job must be written: while this
    /// node may rely on its endpoint list and, if the job may have run, while workers still discard duplicate
    /// runs. `None`: there is no such limit.
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

/// Checks rule 1: no attempt after the final response or the deadline, and no more attempts than the settings
/// allow.
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
