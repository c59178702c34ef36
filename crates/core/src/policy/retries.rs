//! Retries: which jobs may run again, and what follows an attempt that does not start.

use super::placement::{Placement, PlacementRequest, PlacementTier, cost};
use crate::permission::{SendRules, max_attempts};
use crate::state::{EndedAttempt, Fleet, Job, Worker};
use crate::{Idempotency, Settings, TimeSpan, Timestamp};

/// A job whose start is this late may be relocated: reports of starts arrive sooner than that.
const RELOCATION_DELAY: TimeSpan = TimeSpan::from_millis(150);

/// What a retry is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryCharge {
    /// The budget of all retries.
    Budget,
    /// Nothing: it adds no work. Each job has at most one such retry, see [`needs_new_connection`].
    None,
}

impl RetryCharge {
    /// What the retry after this end is charged to.
    pub fn after(ended: &EndedAttempt) -> Self {
        if ended.is_lost_with_stale_connection() { RetryCharge::None } else { RetryCharge::Budget }
    }
}

/// Whether any worker may take a job whose attempts have all ended.
pub(crate) fn may_be_retried(now: Timestamp, rules: &SendRules, job: &Job) -> bool {
    rules.fleet.workers().iter().any(|worker| rules.may_send(now, worker, job).is_ok())
}

/// Whether the next attempt of a job needs a new connection: one that was idle may have ended unnoticed, and an attempt
/// written to it is lost. So only an attempt whose loss may be repaired by a retry takes an idle one, and one of each job.
pub(crate) fn needs_new_connection(settings: &Settings, job: &Job) -> bool {
    let is_non_idempotent = settings.classes[job.class].idempotency == Idempotency::NonIdempotent;
    let is_last = job.attempt_count() + 1 >= max_attempts(settings);
    is_non_idempotent || is_last || job.first_possible_run().is_some()
}

/// Finds an attempt to cancel because its worker does not accept it, if another worker may run the
/// job. If none may, the job waits on, since the worker may only be slow.
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

/// An attempt that waits at its worker for longer than predicted.
#[derive(Clone, Copy)]
pub(crate) struct LateAttempt {
    /// Its number among the job's attempts.
    pub number: u32,
    worker_index: usize,
    /// Seconds since its predicted start.
    delay: f64,
}

impl LateAttempt {
    /// The attempt of a job that may be relocated: it was accepted, has not started and is late.
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

    /// Whether the job would now cost less at another worker. The wait so far that was not predicted is taken as the
    /// wait still to come: other nodes' work at a worker shows only in such late starts.
    pub fn costs_less_at(&self, fleet: &Fleet, request: &PlacementRequest, there: &Placement) -> bool {
        let here = fleet.worker(self.worker_index);
        let run_here = request.estimate(fleet, self.worker_index).run;
        let cost_here = cost(run_here, self.delay, here.estimates().utilisation);
        there.rating.tier == PlacementTier::Immediate
            && there.estimate.worker_index != self.worker_index
            && there.rating.cost < cost_here
    }
}
