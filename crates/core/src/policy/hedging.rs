//! Hedging: a second attempt of a job that does not start. The first one to start runs, the others are
//! cancelled.

use super::placement::{Placement, PlacementTier};
use crate::state::{Fleet, InFlightAttempt, Job, LATE_START_THRESHOLD};
use crate::{Settings, TimeSpan, Timestamp};

/// Where all work is known, only a silent worker starts a job late: this long after it should.
const UNRESPONSIVE_START_DELAY: TimeSpan = TimeSpan::from_secs(1);

/// Whether no attempt of a job has started, and each is later than predicted: other nodes' work may be queued before
/// it, or its worker may be silent.
pub(crate) fn is_start_overdue(now: Timestamp, settings: &Settings, fleet: &Fleet, job: &Job) -> bool {
    let allowed_delay =
        if fleet.observes_all_work(settings) { UNRESPONSIVE_START_DELAY } else { LATE_START_THRESHOLD };
    let allowed_delay = allowed_delay.as_secs_f64();
    let is_overdue =
        |attempt: &InFlightAttempt| !attempt.has_started() && attempt.start_delay(now) > allowed_delay;
    job.in_flight().all(|attempt| fleet.in_flight_attempt(job.id, attempt).is_some_and(is_overdue))
}

/// Whether a hedged request is made at the worker that was chosen for it: one with a slot free, and another one.
pub(crate) fn is_useful(fleet: &Fleet, job: &Job, placement: &Placement) -> bool {
    let worker = fleet.worker(placement.estimate.worker_index).id();
    placement.rating.tier == PlacementTier::Immediate && !job.was_sent_to(worker)
}
