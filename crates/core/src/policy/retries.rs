//! Retries: what may run again, and what follows an attempt that has ended or does not start.

use crate::state::{Dispatcher, Job, PlacementTier, Worker};
use crate::{Action, JobId, Outcome, Timestamp};

/// A job whose start is this late, in seconds, may be placed elsewhere: reports of starts arrive sooner than
/// that.
const RELOCATION_DELAY_S: f64 = 0.15;

impl Dispatcher {
    /// Decides what follows the end of an attempt: the job is over, retried, or answered.
    pub(crate) fn follow_up(&mut self, now: Timestamp, id: JobId, settled: bool, actions: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        if settled && !job.is_answered {
            self.close_job(&mut job, actions);
        }
        if !job.is_answered && job.is_idle() {
            // Retries are bounded: when much fails, more attempts would only add to the load.
            let may_send = |worker| self.may_send(now, worker, &job).is_ok();
            if self.budgets.allow_retry() && self.fleet.workers.iter().any(may_send) {
                self.budgets.spend_retry();
                self.enqueue_job(job);
                return self.dispatch_pending(now, actions);
            }
            self.reject_or_fail(&mut job, actions);
        }
        self.store_job(job);
        self.dispatch_pending(now, actions);
    }

    /// Finds an attempt to take back from a worker that does not accept it, if another worker may run the
    /// job. If none may, the job waits on, since the worker may only be slow.
    pub(super) fn find_unaccepted_attempt(&self, now: Timestamp, job: &Job) -> Option<u32> {
        let attempt = job.in_flight().next().filter(|_| self.settings.may_cancel)?;
        let in_flight = self.in_flight_attempt(job.id, attempt)?;
        let is_overdue = in_flight.is_acceptance_overdue(now, self.settings.accept_timeout);
        let may_take = |worker: &Worker| {
            worker.id != attempt.worker
                && self.fleet.takes_work(worker)
                && self.may_repeat(now, worker, job).is_ok()
        };
        (is_overdue && self.fleet.workers.iter().any(may_take)).then_some(attempt.number)
    }

    /// Finds an attempt to cancel because the job would now cost less elsewhere: it has not started, and the
    /// unpredicted wait so far is taken as the wait still to come. Other nodes' work at a worker shows only
    /// in such late starts.
    pub(super) fn find_attempt_to_relocate(&mut self, now: Timestamp, job: &mut Job) -> Option<u32> {
        if !self.is_idempotent(job)
            || !self.budgets.allow_retry()
            || !self.settings.may_cancel
            || self.settings.may_hedge
            || self.check_endpoint_lease(now).is_err()
        {
            return None;
        }
        let attempt = job.in_flight().next()?;
        let in_flight = self.in_flight_attempt(job.id, attempt)?;
        let delay = in_flight.start_delay(now);
        if in_flight.has_started() || !in_flight.accepted || delay < RELOCATION_DELAY_S {
            return None;
        }
        self.refresh_estimates(now);
        let index = attempt.number as usize;
        job.attempts[index].outcome = Some(Outcome::Cancelled);
        let found = self.choose_worker(now, job);
        job.attempts[index].outcome = None;
        let here = self.fleet.find(attempt.worker)?;
        let there = found.filter(|found| found.rating.tier == PlacementTier::Immediate)?;
        let run = self.estimate_placement(now, here, job).run;
        let cost_here = Self::cost(run, delay, self.fleet.workers[here].estimates.utilisation);
        (there.worker_index != here && there.rating.cost < cost_here).then_some(attempt.number)
    }
}
