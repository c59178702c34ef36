//! Hedging: a second attempt of a job that does not start. The first one to start runs, the others are
//! cancelled.

use crate::state::{Dispatcher, InFlightAttempt, Job, LATE_START_S, PlacementTier};
use crate::{Action, Timestamp};

/// Where all work is known, only a silent worker starts a job late: this long after it should, in seconds.
const SILENT_START_S: f64 = 1.0;

impl Dispatcher {
    /// Sends a second attempt of a job that should have started, where another worker has a slot free: other
    /// nodes' work may be queued before it, or its worker may be silent.
    pub(super) fn hedge_job(&mut self, now: Timestamp, job: &mut Job, actions: &mut Vec<Action>) {
        let may_send = self.settings.may_cancel && self.check_endpoint_lease(now).is_ok();
        if !may_send || !self.budgets.allow_hedge(job) || !self.is_start_overdue(now, job) {
            return;
        }
        self.refresh_estimates(now);
        let Some(placement) = self.choose_worker(now, job) else { return };
        let worker = self.fleet.workers[placement.worker_index].id;
        if placement.rating.tier == PlacementTier::Immediate && !job.was_sent_to(worker) {
            self.budgets.spend_hedge(job);
            actions.extend(self.send_attempt(now, job, &placement));
        }
    }

    /// Whether no attempt of a job has started, and each is later than predicted.
    fn is_start_overdue(&self, now: Timestamp, job: &Job) -> bool {
        let allowed_delay = if self.observes_all_work() { SILENT_START_S } else { LATE_START_S };
        let is_overdue =
            |attempt: &InFlightAttempt| !attempt.has_started() && attempt.start_delay(now) > allowed_delay;
        job.in_flight().all(|attempt| self.in_flight_attempt(job.id, attempt).is_some_and(is_overdue))
    }
}
