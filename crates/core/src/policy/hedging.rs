//! Hedging: another attempt of a job that does not start. The first attempt to start runs, and the others are
//! cancelled.

use super::placement::{Placement, PlacementTier};
use crate::state::{Fleet, InFlightAttempt, Job, LATE_START_THRESHOLD};
use crate::{Settings, TimeSpan, Timestamp};

/// Delay of a start after which a worker counts as unresponsive, if this node observes all work at workers.
/// In that case, only an unresponsive worker starts a job late.
const UNRESPONSIVE_START_DELAY: TimeSpan = TimeSpan::from_secs(1);

/// Returns whether no attempt of a job has started and each is later than predicted by more than the allowed
/// delay: [`UNRESPONSIVE_START_DELAY`] if this node observes all work at workers, otherwise
/// [`LATE_START_THRESHOLD`]. The work of other nodes may be queued before the attempt, or its worker may be
/// unresponsive.
pub(crate) fn is_start_overdue(now: Timestamp, settings: &Settings, fleet: &Fleet, job: &Job) -> bool {
    let allowed_delay =
        if fleet.observes_all_work(settings) { UNRESPONSIVE_START_DELAY } else { LATE_START_THRESHOLD };
    let allowed_delay = allowed_delay.as_secs_f64();
    let is_overdue =
        |attempt: &InFlightAttempt| !attempt.has_started() && attempt.start_delay(now) > allowed_delay;
    job.in_flight().all(|attempt| fleet.in_flight_attempt(job.id, attempt).is_some_and(is_overdue))
}

/// Returns whether a hedged request is sent to the worker that was chosen for it: the worker must have a slot
/// that is free or about to become free, and the job must not have been sent to it before.
pub(crate) fn is_useful(fleet: &Fleet, job: &Job, placement: &Placement) -> bool {
    let worker = fleet.worker(placement.estimate.worker_index).id();
    placement.rating.tier == PlacementTier::Immediate && !job.was_sent_to(worker)
}
