//! Retries: the jobs that may run again, and the reaction to an attempt that does not start.

use super::placement::{Placement, PlacementRequest, PlacementTier, cost};
use crate::permission::{SendRules, max_attempts};
use crate::state::{EndedAttempt, Fleet, Job, Worker};
use crate::{Idempotency, Settings, TimeSpan, Timestamp};

/// Delay of a start after which a job may be relocated. Reports of starts arrive sooner than that.
const RELOCATION_DELAY: TimeSpan = TimeSpan::from_millis(150);

/// Budget that a retry is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryCharge {
    /// The budget of all retries.
    Budget,
    /// No budget, since the retry adds no work. Each job has at most one such retry, see
    /// [`needs_new_connection`].
    None,
}

impl RetryCharge {
    /// Returns the charge for the retry after the given end of an attempt.
    pub fn after(ended: &EndedAttempt) -> Self {
        if ended.is_lost_with_stale_connection() { RetryCharge::None } else { RetryCharge::Budget }
    }
}

/// Returns whether any worker may take a job whose attempts have all ended.
pub(crate) fn may_be_retried(now: Timestamp, rules: &SendRules, job: &Job) -> bool {
    rules.fleet.workers().iter().any(|worker| rules.may_send(now, worker, job).is_ok())
}

/// Returns whether the next attempt of a job needs a new connection. An idle connection may have been closed
/// unnoticed, and an attempt written to it is lost. Therefore only one attempt of each job may use an idle
/// connection, and only if a retry may follow its loss.
pub(crate) fn needs_new_connection(settings: &Settings, job: &Job) -> bool {
    let is_non_idempotent = settings.classes[job.class].idempotency == Idempotency::NonIdempotent;
    let is_last = job.attempt_count() + 1 >= max_attempts(settings);
    is_non_idempotent || is_last || job.first_possible_run().is_some()
}

/// Finds an attempt to cancel because its worker does not accept it, if another worker may run the job. If
/// none may, the job continues to wait, since the worker may only be slow.
pub(crate) fn find_unaccepted_attempt(now: Timestamp, rules: &SendRules, job: &Job) -> Option<u32> {
    let (settings, fleet) = (rules.settings, rules.fleet);
    let attempt = job.in_flight().next().filter(|_| settings.may_cancel)?;
    let in_flight = fleet.in_flight_attempt(job.id, attempt)?;
    let is_overdue = in_flight.is_acceptance_overdue(now, settings.accept_timeout);
    let may_take = |worker: &Worker| {
        worker.id() != attempt.worker
            && fleet.is_available(worker)
            && rules.check_duplicate_run(now, worker, job).is_ok()
    };
    (is_overdue && fleet.workers().iter().any(may_take)).then_some(attempt.number)
}

/// Attempt that waits at its worker for longer than predicted.
#[derive(Clone, Copy)]
pub(crate) struct LateAttempt {
    /// Number of the attempt among those of the job.
    pub number: u32,
    worker_index: usize,
    /// Seconds since the predicted start of the attempt.
    delay: f64,
}

impl LateAttempt {
    /// Returns the attempt of a job that may be relocated: it was accepted, has not started and is late.
    pub fn find(now: Timestamp, settings: &Settings, fleet: &Fleet, job: &Job) -> Option<Self> {
        if !settings.is_idempotent(job.class) || !settings.may_cancel || settings.may_hedge {
            return None;
        }
        let attempt = job.in_flight().next()?;
        let in_flight = fleet.in_flight_attempt(job.id, attempt)?;
        let delay = in_flight.start_delay(now);
        if in_flight.has_started() || !in_flight.accepted || delay < RELOCATION_DELAY.as_secs_f64() {
            return None;
        }
        Some(LateAttempt { number: attempt.number, worker_index: fleet.find(attempt.worker)?, delay })
    }

    /// Returns whether the job would now cost less at the alternative, which must be another worker that can
    /// start it immediately. The unpredicted part of the wait so far is taken as the wait still to come,
    /// because the work of other nodes at a worker shows only in such late starts.
    pub fn costs_less_at(&self, fleet: &Fleet, request: &PlacementRequest, alternative: &Placement) -> bool {
        let current_worker = fleet.worker(self.worker_index);
        let current_run = request.estimate(fleet, self.worker_index).run;
        let current_cost = cost(current_run, self.delay, current_worker.estimates().utilisation);
        alternative.rating.tier == PlacementTier::Immediate
            && alternative.estimate.worker_index != self.worker_index
            && alternative.rating.cost < current_cost
    }
}
